//! One member's part: voter, leader where it is one, and borrower.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlatch_membership::NameKey;
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::peer_reports::{latest, PeerReports};
use crate::{
    usable, LeaderElection, Message, Number, Observation, PeerReport, Process, QuotaLeases,
    ServerCondition, ServerNumber, Verdict, LEASE_COUNTED_FOR,
};

/// Between two steps: a leader asks its voters anew, a borrower its leader. A part is asked for five times before it ends.
const TICK: Duration = Duration::from_millis(300);
/// Millionths of the whole that are never lent: each member of the roster spends an even part of them in any case, so
/// that one that is cut off still lets something through.
const UNLEASED_PPM: u32 = 100_000;
const WHOLE_PPM: u32 = 1_000_000;
/// Questions whose answers are waited for; older ones' parts would have ended.
const MAX_PENDING: usize = 8;

/// What each member of a roster may spend of the whole without asking anybody.
pub fn unleased_quota(roster: usize) -> f64 {
    f64::from(UNLEASED_PPM) / f64::from(WHOLE_PPM) / roster.max(1) as f64
}

/// What is lent to this member, as a share of the whole, and until when, by its own clock. Beside [`unleased_quota`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaLease {
    pub lent: f64,
    pub until: Duration,
}

/// What there is to do and to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Send(NameKey, Vec<u8>),
    /// This process has become leader, or is it no more.
    Leader(bool),
    /// What others see of servers, and how many of them tell anything.
    PeerReports {
        of: u16,
        heard: Vec<PeerReport>,
    },
    /// That member was started with another roster; neither helps the other, and both spend carefully.
    RosterMismatch(NameKey),
}

pub struct QuotaMember {
    own: Process,
    roster: BTreeSet<NameKey>,
    /// Short form of the roster.
    digest: u32,
    election: LeaderElection,
    leases: Option<(Duration, QuotaLeases)>,
    /// As leader: what members see.
    reports: PeerReports,
    seen: BTreeMap<(ServerNumber, ServerCondition), Duration>,
    next: u64,
    beat_at: Duration,
    asked: BTreeMap<Number, Duration>,
    part: QuotaLease,
    /// The question that brought it.
    part_of: Number,
    /// Whom it takes for the leader, and questions to it in a row that brought nothing.
    leader: Option<NameKey>,
    misses: u32,
    turn: usize,
    random: Xoshiro256PlusPlus,
    others: BTreeSet<NameKey>,
    left: bool,
}

impl QuotaMember {
    /// `start` tells this process from others under its name; the roster holds its own name too.
    pub fn new(
        own: NameKey,
        start: u64,
        roster: BTreeSet<NameKey>,
        seed: u64,
        now: Duration,
    ) -> QuotaMember {
        let own = Process { name: own, start };
        // FNV-1a over the names in order.
        let digest = roster.iter().fold(0x811C_9DC5u32, |sum, name| {
            (sum ^ name.0).wrapping_mul(0x0100_0193)
        });
        QuotaMember {
            own,
            election: LeaderElection::new(own, &roster, now),
            roster,
            digest,
            leases: None,
            reports: PeerReports::default(),
            seen: BTreeMap::new(),
            next: 0,
            beat_at: now,
            asked: BTreeMap::new(),
            part: QuotaLease::default(),
            part_of: Number::default(),
            leader: None,
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
    pub fn lease(&self) -> QuotaLease {
        self.part
    }

    /// All that this member sees of servers now, and since when, by its clock.
    pub fn set_observations(&mut self, seen: BTreeMap<(ServerNumber, ServerCondition), Duration>) {
        self.seen = seen;
    }

    /// Whom it asks.
    pub fn leader(&self) -> Option<NameKey> {
        self.leader
    }

    /// Those that may be using a part lent by this one, where it is leader.
    pub fn lease_holders(&self, now: Duration) -> Option<usize> {
        self.election.leader_since(now)?;
        self.leases.as_ref().map(|(_, leases)| leases.borrowers())
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.left || now < self.beat_at {
            return;
        }
        self.beat_at = now + TICK;
        if self.election.stands(now) {
            let wait = Duration::from_millis(self.random.next_u64() % 400);
            match self.election.give_up(now, wait) {
                Some(number) => self.say_voters(now, &Message::VoteReleased { number }, out),
                None => {
                    let number = self.number();
                    self.election.ask(now, number);
                    self.say_voters(
                        now,
                        &Message::VoteRequest {
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
    pub fn heard(&mut self, now: Duration, from: Process, said: &[u8], out: &mut Vec<Action>) {
        let Ok(message) = Message::read(said) else {
            return;
        };
        if !self.left && self.roster.contains(&from.name) {
            self.take(now, from, message, out);
            self.look(now, out);
        }
    }

    /// Gives back all that it has; nothing is said or heard after it. Only for one that uses nothing any more.
    pub fn leave(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.left {
            return;
        }
        if let Some(number) = self.election.step_down(now) {
            self.say_voters(now, &Message::VoteReleased { number }, out);
        }
        self.part = QuotaLease::default();
        if let Some(leader) = self.leader.filter(|s| *s != self.own.name) {
            out.push(Action::Send(leader, Message::Leave.write()));
        }
        self.look(now, out);
        self.left = true;
    }

    fn take(&mut self, now: Duration, from: Process, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::VoteRequest { number, roster } => {
                let verdict = match self.same_roster(from, roster, out) {
                    true => self.election.on_vote(now, from, number),
                    false => Verdict::Denied(None),
                };
                let answer = match verdict {
                    Verdict::Granted => Message::VoteGranted { number },
                    Verdict::Denied(holder) => Message::VoteDenied { number, holder },
                };
                self.say(now, from.name, answer, out);
            }
            Message::VoteGranted { number } => self.election.on_granted(now, from.name, number),
            Message::VoteReleased { number } => self.election.on_released(now, from, number),
            Message::LeaseRequest {
                number,
                roster,
                seen,
            } => {
                let same = self.same_roster(from, roster, out);
                let answer = self.lend(now, from, number, same.then_some(&seen), out);
                self.say(now, from.name, answer, out);
            }
            Message::LeaseGranted {
                number,
                millionths,
                of,
                heard,
            } => {
                if self.on_lent(number, millionths) {
                    out.push(Action::PeerReports { of, heard });
                }
            }
            Message::VoteDenied { holder, .. } | Message::NotLeader { holder, .. } => {
                self.on_elsewhere(holder)
            }
            Message::Leave => {
                if let Some((_, leases)) = &mut self.leases {
                    leases.done(from);
                    self.reports.forget(from);
                }
            }
        }
    }

    /// As leader; checked now, by this process's own clock, whatever it believed a moment ago.
    fn lend(
        &mut self,
        now: Duration,
        to: Process,
        number: Number,
        seen: Option<&Vec<Observation>>,
        out: &mut Vec<Action>,
    ) -> Message {
        self.look(now, out);
        let not_here = Message::NotLeader {
            number,
            holder: self.election.holder(now),
        };
        let (Some((_, leases)), Some(seen)) = (&mut self.leases, seen) else {
            return not_here;
        };
        let Some(millionths) = leases.lend(now, to, number) else {
            return not_here;
        };
        self.reports.keep(|who| leases.counts(who));
        self.reports.told(now, to, seen);
        let (of, heard) = self.reports.for_member(now, to);
        Message::LeaseGranted {
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
            let lent = f64::from(millionths.min(WHOLE_PPM - UNLEASED_PPM)) / f64::from(WHOLE_PPM);
            self.part = QuotaLease {
                lent,
                until: asked + usable(LEASE_COUNTED_FOR),
            };
        }
        number == self.part_of
    }

    fn on_elsewhere(&mut self, holder: Option<NameKey>) {
        if let Some(holder) = holder.filter(|h| self.roster.contains(h)) {
            if self.leader != Some(holder) {
                (self.leader, self.misses) = (Some(holder), 0);
            }
        }
    }

    fn borrow(&mut self, now: Duration, out: &mut Vec<Action>) {
        if let Some(own) = self.election.leader_since(now).map(|_| self.own.name) {
            self.leader = Some(own);
        } else if self.misses >= 2 || self.leader == Some(self.own.name) {
            self.leader = None;
        }
        self.misses += 1;
        // Without one, voters are asked in turn: each knows whom it has promised it.
        let voters = self.election.voters();
        let Some(to) = self
            .leader
            .or_else(|| voters.get(self.turn % voters.len().max(1)).copied())
        else {
            return;
        };
        self.turn += 1;
        let number = self.number();
        self.asked.insert(number, now);
        while self.asked.len() > MAX_PENDING {
            self.asked.pop_first();
        }
        let seen = self
            .seen
            .iter()
            .map(|((server, condition), since)| Observation {
                server: *server,
                condition: *condition,
                age: now.saturating_sub(*since),
            });
        let question = Message::LeaseRequest {
            number,
            roster: self.digest,
            seen: latest(seen.collect()),
        };
        self.say(now, to, question, out);
    }

    /// What it says to itself it hears at once.
    fn say(&mut self, now: Duration, to: NameKey, message: Message, out: &mut Vec<Action>) {
        match to == self.own.name {
            true => self.take(now, self.own, message, out),
            false => out.push(Action::Send(to, message.write())),
        }
    }

    fn say_voters(&mut self, now: Duration, message: &Message, out: &mut Vec<Action>) {
        for voter in self.election.voters().to_vec() {
            self.say(now, voter, message.clone(), out);
        }
    }

    fn same_roster(&mut self, from: Process, digest: u32, out: &mut Vec<Action>) -> bool {
        let same = digest == self.digest;
        if same {
            self.others.remove(&from.name);
        } else if self.others.insert(from.name) {
            out.push(Action::RosterMismatch(from.name));
        }
        same
    }

    /// Begins and ends lending with each leadership, and tells of it; what was lent under one that is over is forgotten, also
    /// where another has begun since.
    fn look(&mut self, now: Duration, out: &mut Vec<Action>) {
        let leaders = self.election.leader_since(now);
        let lends = self.leases.as_ref().map(|(since, _)| *since);
        if lends == leaders {
            return;
        }
        self.leases =
            leaders.map(|since| (since, QuotaLeases::new(WHOLE_PPM - UNLEASED_PPM, since)));
        self.reports = PeerReports::default();
        if lends.is_some() != leaders.is_some() {
            out.push(Action::Leader(leaders.is_some()));
        }
    }

    fn number(&mut self) -> Number {
        self.next += 1;
        Number(self.next)
    }
}
