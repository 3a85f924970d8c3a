//! One member's part: voter, steward where it is one, and borrower.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlatch_membership::NameKey;
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::hearsay::{latest, Gathered};
use crate::{
    usable, Ballot, Hearsay, Host, Lender, Message, Number, Process, Sight, Trait, Verdict, LOAN,
};

/// Between two steps: a steward asks its voters anew, a borrower its steward. A part is asked for five times before it ends.
const BEAT: Duration = Duration::from_millis(300);
/// Millionths of the whole that are never lent: each member of the roster spends an even part of them in any case, so
/// that one that is cut off still lets something through.
const CAREFUL: u32 = 100_000;
const WHOLE: u32 = 1_000_000;
/// Questions whose answers are waited for; older ones' parts would have ended.
const ASKED_MOST: usize = 8;

/// What each member of a roster may spend of the whole without asking anybody.
pub fn base(roster: usize) -> f64 {
    f64::from(CAREFUL) / f64::from(WHOLE) / roster.max(1) as f64
}

/// What is lent to this member, as a share of the whole, and until when, by its own clock. Beside [`base`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Part {
    pub lent: f64,
    pub until: Duration,
}

/// What there is to do and to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    Say(NameKey, Vec<u8>),
    /// This process has become steward, or is it no more.
    Steward(bool),
    /// What others see of hosts, and how many of them tell anything.
    Heard {
        of: u16,
        heard: Vec<Hearsay>,
    },
    /// That member was started with another roster; neither helps the other, and both spend carefully.
    OtherRoster(NameKey),
}

pub struct Shares {
    own: Process,
    roster: BTreeSet<NameKey>,
    /// Short form of the roster.
    digest: u32,
    ballot: Ballot,
    lender: Option<(Duration, Lender)>,
    /// As steward: what members see.
    gathered: Gathered,
    seen: BTreeMap<(Host, Trait), Duration>,
    next: u64,
    beat_at: Duration,
    asked: BTreeMap<Number, Duration>,
    part: Part,
    /// The question that brought it.
    part_of: Number,
    /// Whom it takes for the steward, and questions to it in a row that brought nothing.
    steward: Option<NameKey>,
    misses: u32,
    turn: usize,
    random: Xoshiro256PlusPlus,
    others: BTreeSet<NameKey>,
    left: bool,
}

impl Shares {
    /// `start` tells this process from others under its name; the roster holds its own name too.
    pub fn new(
        own: NameKey,
        start: u64,
        roster: BTreeSet<NameKey>,
        seed: u64,
        now: Duration,
    ) -> Shares {
        let own = Process { name: own, start };
        // FNV-1a over the names in order.
        let digest = roster.iter().fold(0x811C_9DC5u32, |sum, name| {
            (sum ^ name.0).wrapping_mul(0x0100_0193)
        });
        Shares {
            own,
            ballot: Ballot::new(own, &roster, now),
            roster,
            digest,
            lender: None,
            gathered: Gathered::default(),
            seen: BTreeMap::new(),
            next: 0,
            beat_at: now,
            asked: BTreeMap::new(),
            part: Part::default(),
            part_of: Number::default(),
            steward: None,
            misses: 0,
            turn: seed as usize % 1024,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            others: BTreeSet::new(),
            left: false,
        }
    }

    pub fn wake_at(&self) -> Option<Duration> {
        (!self.left).then_some(self.beat_at)
    }

    /// What it was lent last; whether that counts still is for the act to check.
    pub fn part(&self) -> Part {
        self.part
    }

    /// All that this member sees of hosts now, and since when, by its clock.
    pub fn sees(&mut self, seen: BTreeMap<(Host, Trait), Duration>) {
        self.seen = seen;
    }

    /// Whom it asks.
    pub fn steward(&self) -> Option<NameKey> {
        self.steward
    }

    /// Those that may be using a part lent by this one, where it is steward.
    pub fn lends_to(&self, now: Duration) -> Option<usize> {
        self.ballot.stewards_since(now)?;
        self.lender.as_ref().map(|(_, lender)| lender.borrowers())
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Duration, out: &mut Vec<Told>) {
        if self.left || now < self.beat_at {
            return;
        }
        self.beat_at = now + BEAT;
        if self.ballot.stands(now) {
            let wait = Duration::from_millis(self.random.next_u64() % 400);
            match self.ballot.give_up(now, wait) {
                Some(number) => self.say_voters(now, &Message::Released { number }, out),
                None => {
                    let number = self.number();
                    self.ballot.ask(now, number);
                    self.say_voters(
                        now,
                        &Message::Vote {
                            number,
                            roster: self.digest,
                        },
                        out,
                    );
                }
            }
        }
        self.borrow(now, out);
        self.look(now, out);
    }

    /// Takes what another process said, proven and in its name.
    pub fn heard(&mut self, now: Duration, from: Process, said: &[u8], out: &mut Vec<Told>) {
        let Ok(message) = Message::read(said) else {
            return;
        };
        if !self.left && self.roster.contains(&from.name) {
            self.take(now, from, message, out);
            self.look(now, out);
        }
    }

    /// Gives back all that it has; nothing is said or heard after it. Only for one that uses nothing any more.
    pub fn leave(&mut self, now: Duration, out: &mut Vec<Told>) {
        if self.left {
            return;
        }
        if let Some(number) = self.ballot.step_down(now) {
            self.say_voters(now, &Message::Released { number }, out);
        }
        self.part = Part::default();
        if let Some(steward) = self.steward.filter(|s| *s != self.own.name) {
            out.push(Told::Say(steward, Message::Done.write()));
        }
        self.look(now, out);
        self.left = true;
    }

    fn take(&mut self, now: Duration, from: Process, message: Message, out: &mut Vec<Told>) {
        match message {
            Message::Vote { number, roster } => {
                let verdict = match self.same_roster(from, roster, out) {
                    true => self.ballot.on_vote(now, from, number),
                    false => Verdict::Refused(None),
                };
                let answer = match verdict {
                    Verdict::Granted => Message::Granted { number },
                    Verdict::Refused(holder) => Message::Refused { number, holder },
                };
                self.say(now, from.name, answer, out);
            }
            Message::Granted { number } => self.ballot.on_granted(now, from.name, number),
            Message::Released { number } => self.ballot.on_released(now, from, number),
            Message::Borrow {
                number,
                roster,
                seen,
            } => {
                let same = self.same_roster(from, roster, out);
                let answer = self.lend(now, from, number, same.then_some(&seen), out);
                self.say(now, from.name, answer, out);
            }
            Message::Lent {
                number,
                millionths,
                of,
                heard,
            } => {
                if self.on_lent(number, millionths) {
                    out.push(Told::Heard { of, heard });
                }
            }
            Message::Refused { holder, .. } | Message::NotHere { holder, .. } => {
                self.on_elsewhere(holder)
            }
            Message::Done => {
                if let Some((_, lender)) = &mut self.lender {
                    lender.done(from);
                    self.gathered.forget(from);
                }
            }
        }
    }

    /// As steward; checked now, by this process's own clock, whatever it believed a moment ago.
    fn lend(
        &mut self,
        now: Duration,
        to: Process,
        number: Number,
        seen: Option<&Vec<Sight>>,
        out: &mut Vec<Told>,
    ) -> Message {
        self.look(now, out);
        let not_here = Message::NotHere {
            number,
            holder: self.ballot.holder(now),
        };
        let (Some((_, lender)), Some(seen)) = (&mut self.lender, seen) else {
            return not_here;
        };
        let Some(millionths) = lender.lend(now, to, number) else {
            return not_here;
        };
        self.gathered.keep(|who| lender.counts(who));
        self.gathered.told(now, to, seen);
        let (of, heard) = self.gathered.for_member(now, to);
        Message::Lent {
            number,
            millionths,
            of,
            heard,
        }
    }

    /// As borrower. The answer to the latest question counts: it tells of those that came since.
    fn on_lent(&mut self, number: Number, millionths: u32) -> bool {
        let Some(asked) = self.asked.remove(&number) else {
            return false;
        };
        self.misses = 0;
        if number > self.part_of {
            self.part_of = number;
            let lent = f64::from(millionths.min(WHOLE - CAREFUL)) / f64::from(WHOLE);
            self.part = Part {
                lent,
                until: asked + usable(LOAN),
            };
        }
        number == self.part_of
    }

    fn on_elsewhere(&mut self, holder: Option<NameKey>) {
        if let Some(holder) = holder.filter(|h| self.roster.contains(h)) {
            if self.steward != Some(holder) {
                (self.steward, self.misses) = (Some(holder), 0);
            }
        }
    }

    fn borrow(&mut self, now: Duration, out: &mut Vec<Told>) {
        if let Some(own) = self.ballot.stewards_since(now).map(|_| self.own.name) {
            self.steward = Some(own);
        } else if self.misses >= 2 || self.steward == Some(self.own.name) {
            self.steward = None;
        }
        self.misses += 1;
        // Without one, voters are asked in turn: each knows whom it has promised it.
        let voters = self.ballot.voters();
        let Some(to) = self
            .steward
            .or_else(|| voters.get(self.turn % voters.len().max(1)).copied())
        else {
            return;
        };
        self.turn += 1;
        let number = self.number();
        self.asked.insert(number, now);
        while self.asked.len() > ASKED_MOST {
            self.asked.pop_first();
        }
        let seen = self.seen.iter().map(|((host, what), since)| Sight {
            host: *host,
            what: *what,
            age: now.saturating_sub(*since),
        });
        let question = Message::Borrow {
            number,
            roster: self.digest,
            seen: latest(seen.collect()),
        };
        self.say(now, to, question, out);
    }

    /// What it says to itself it hears at once.
    fn say(&mut self, now: Duration, to: NameKey, message: Message, out: &mut Vec<Told>) {
        match to == self.own.name {
            true => self.take(now, self.own, message, out),
            false => out.push(Told::Say(to, message.write())),
        }
    }

    fn say_voters(&mut self, now: Duration, message: &Message, out: &mut Vec<Told>) {
        for voter in self.ballot.voters().to_vec() {
            self.say(now, voter, message.clone(), out);
        }
    }

    fn same_roster(&mut self, from: Process, digest: u32, out: &mut Vec<Told>) -> bool {
        let same = digest == self.digest;
        if same {
            self.others.remove(&from.name);
        } else if self.others.insert(from.name) {
            out.push(Told::OtherRoster(from.name));
        }
        same
    }

    /// Begins and ends lending with each stewardship, and tells of it; what was lent under one that is over is forgotten, also
    /// where another has begun since.
    fn look(&mut self, now: Duration, out: &mut Vec<Told>) {
        let stewards = self.ballot.stewards_since(now);
        let lends = self.lender.as_ref().map(|(since, _)| *since);
        if lends == stewards {
            return;
        }
        self.lender = stewards.map(|since| (since, Lender::new(WHOLE - CAREFUL, since)));
        self.gathered = Gathered::default();
        if lends.is_some() != stewards.is_some() {
            out.push(Told::Steward(stewards.is_some()));
        }
    }

    fn number(&mut self) -> Number {
        self.next += 1;
        Number(self.next)
    }
}
