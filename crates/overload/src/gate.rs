//! The gate before a dispatcher's decisions: judges each request by what was told last, at the act and by time, and counts what it
//! sees for the others.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::io::{Cut, Millionths, Seen, Settings};
use crate::order::{level, rank, Spent, LEVELS};
use crate::repeats::Repeats;
use crate::returns::Returns;
use crate::window::Rate;

/// How fast demand, and what was done, fades.
const DEMAND: Duration = Duration::from_millis(500);
const DONE: Duration = Duration::from_millis(1000);
/// Between two words of what was seen.
const TELL: Duration = Duration::from_millis(100);
/// Shared prompts that count as read, for how long, and the share of their cost that is left then.
const PREFIXES: usize = 4096;
const READ: Duration = Duration::from_secs(60);
const READ_AGAIN: f64 = 0.1;
/// Hosts whose reports are kept, and for how long.
const HOSTS: usize = 4096;
const REPORT: Duration = Duration::from_secs(2);
/// Tenants whose share is counted.
const TENANTS: usize = 100_000;
/// Requests of a tenant's share that may come at once, in seconds of it.
const TENANT_BURST_S: f64 = 2.0;
/// Levels that a request over its tenant's share comes behind.
const OVER_SHARE: u8 = LEVELS as u8 / 2;
/// Seconds of work that one without knowledge lets run at once of its part.
const ALONE_BURST_S: f64 = 0.3;
/// Of the work that the sums see done, what is held to be free for returns at the least.
const FREE_LEAST: f64 = 0.02;

/// A request that comes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Asked {
    pub worth: f64,
    pub prompt_tokens: f64,
    /// Key of the opening text that it shares, 0 for none, and its length.
    pub prefix: u64,
    pub prefix_tokens: f64,
    /// Of its answer, as far as can be told.
    pub answer_tokens: f64,
    pub spent: Spent,
    /// Whose it is, the same at all dispatchers: of its conversation, key or words.
    pub identity: u64,
    /// What it says, so that its return is known.
    pub fingerprint: u64,
    pub tenant: u32,
    /// Requests a second that its tenant has of all; infinite where it has no share of its own.
    pub quota_rps: f64,
    /// Seconds to a first token that earn its worth.
    pub aim_s: f64,
}

/// Taken work whose answer has not begun.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Taken {
    pub work: f64,
    aim_s: f64,
    at: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Take(Taken),
    Refuse { retry_after_s: f64 },
}

#[derive(Debug)]
struct Bucket {
    left: f64,
    at: Duration,
}

impl Bucket {
    /// Whether so much may go at this rate, of which so much may go at once.
    fn spend(&mut self, now: Duration, what: f64, rate: f64, burst: f64) -> bool {
        let gained = rate * now.saturating_sub(self.at).as_secs_f64();
        self.left = (self.left + gained).min(burst);
        self.at = self.at.max(now);
        let may = self.left >= what;
        if may {
            self.left -= what;
        }
        may
    }
}

/// See the module's page.
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    roster: usize,
    cut: Option<Cut>,
    demand: Vec<Rate>,
    taken: Rate,
    completed: Rate,
    delay: Rate,
    begun: Rate,
    backlog: f64,
    out: u32,
    counts: (u32, u32, u32),
    returns: Returns,
    repeats: Repeats,
    alone: Bucket,
    tenants: BTreeMap<u32, Bucket>,
    prefixes: BTreeMap<u64, Duration>,
    /// Requests that a host says wait at it.
    waits: BTreeMap<u32, (Duration, f64)>,
    tell_at: Duration,
}

impl Gate {
    /// `roster`: dispatchers that there should be; `most_s`: the longest time to come back that callers honour.
    pub fn new(settings: Settings, roster: usize, most_s: f64, seed: u64) -> Gate {
        let roster = roster.max(1);
        Gate {
            settings,
            roster,
            cut: None,
            demand: vec![Rate::new(DEMAND); LEVELS],
            taken: Rate::new(DONE),
            completed: Rate::new(DONE),
            delay: Rate::new(DONE),
            begun: Rate::new(DONE),
            backlog: 0.0,
            out: 0,
            counts: (0, 0, 0),
            returns: Returns::new(most_s, seed),
            repeats: Repeats::new(bitternlatch_quota_lease::unleased_quota(roster)),
            alone: Bucket {
                left: 0.0,
                at: Duration::ZERO,
            },
            tenants: BTreeMap::new(),
            prefixes: BTreeMap::new(),
            waits: BTreeMap::new(),
            tell_at: Duration::ZERO,
        }
    }

    /// Takes what is to be done together.
    pub fn told(&mut self, cut: Cut) {
        self.cut = Some(cut);
    }

    /// Work of a request, seconds of a host.
    fn work(&mut self, now: Duration, asked: &Asked) -> f64 {
        let number = |v: f64| {
            if v.is_finite() {
                v.clamp(0.0, 1e9)
            } else {
                0.0
            }
        };
        let (prompt, answer) = (number(asked.prompt_tokens), number(asked.answer_tokens));
        let read = self
            .prefixes
            .get(&asked.prefix)
            .is_some_and(|at| now.saturating_sub(*at) < READ);
        let spared = if read {
            number(asked.prefix_tokens).min(prompt) * (1.0 - READ_AGAIN)
        } else {
            0.0
        };
        (prompt - spared) / self.settings.read_tokens_per_s
            + answer / self.settings.write_tokens_per_s
    }

    /// Whether its tenant has more in hand than its share, at the act.
    fn over_share(&mut self, now: Duration, asked: &Asked) -> bool {
        if !asked.quota_rps.is_finite() {
            return false;
        }
        let members = self
            .cut
            .as_ref()
            .filter(|c| now < c.until)
            .map_or(self.roster, |c| c.members as usize);
        let rate = asked.quota_rps.max(0.0) / members.max(1) as f64;
        let burst = (rate * TENANT_BURST_S).max(1.0);
        if self.tenants.len() >= TENANTS && !self.tenants.contains_key(&asked.tenant) {
            return true;
        }
        let bucket = self.tenants.entry(asked.tenant).or_insert(Bucket {
            left: burst,
            at: now,
        });
        !bucket.spend(now, 1.0, rate, burst)
    }

    /// Judges a request, and counts it.
    pub fn judge(&mut self, now: Duration, asked: &Asked) -> Verdict {
        let work = self.work(now, asked);
        let place = level(asked.worth, work, asked.spent);
        let over = self.over_share(now, asked);
        let place = if over {
            place.saturating_sub(OVER_SHARE)
        } else {
            place
        };
        let rank = rank(place, asked.identity, now);
        let repeats = self.returns.is_return(now, asked.fingerprint);
        // What may not be taken whatever the cut says is no demand: it would raise the cut for the rest.
        if !repeats {
            self.demand[usize::from(place).min(LEVELS - 1)].add(now, work);
        }
        if !self.passes(now, rank, work)
            || repeats && !self.repeats.may(now, work, self.cut.as_ref())
        {
            return self.refuse(now, work, asked.fingerprint);
        }
        if repeats {
            self.counts.2 += 1;
        } else {
            self.repeats.fresh(now, work);
        }
        self.returns.taken(asked.fingerprint);
        if asked.prefix != 0
            && (self.prefixes.len() < PREFIXES || self.prefixes.contains_key(&asked.prefix))
        {
            self.prefixes.insert(asked.prefix, now);
        }
        self.taken.add(now, work);
        self.backlog += work;
        self.out += 1;
        self.counts.0 += 1;
        Verdict::Take(Taken {
            work,
            aim_s: asked.aim_s,
            at: now,
        })
    }

    /// Whether this rank passes now: by what was told, while that counts, and stricter the more waits than may; else within a part
    /// that holds whatever the others do.
    fn passes(&mut self, now: Duration, rank: f64, work: f64) -> bool {
        match self.cut.as_ref() {
            Some(cut) if now < cut.until => {
                let over = ((self.backlog + work) / cut.room.get().max(1e-6) - 1.0).clamp(0.0, 1.0);
                let bound = cut.rank.get() + (LEVELS as f64 - cut.rank.get()) * over;
                // An idle dispatcher takes what comes, however large.
                rank >= bound || cut.rank.get() <= rank && self.backlog == 0.0
            }
            cut => {
                let capacity = cut.map_or(self.roster as f64, |c| c.capacity.get());
                let lowest = cut.map_or(0.0, |c| c.rank.get());
                let rate = capacity / self.roster as f64;
                let burst = (rate * ALONE_BURST_S).max(work);
                rank >= lowest && self.alone.spend(now, work, rate, burst)
            }
        }
    }

    /// Refuses and says when to come back.
    fn refuse(&mut self, now: Duration, work: f64, fingerprint: u64) -> Verdict {
        self.counts.1 += 1;
        Verdict::Refuse {
            retry_after_s: self.refused(now, work, fingerprint),
        }
    }

    /// When one that is refused, by whomever, may come back; its return will be known.
    pub fn refused(&mut self, now: Duration, work: f64, fingerprint: u64) -> f64 {
        self.returns.refuse(now, fingerprint);
        let told = self.cut.as_ref().filter(|c| now < c.until);
        let careful = 1.0 / self.roster as f64;
        let free = match told {
            None => careful * FREE_LEAST,
            Some(cut) => (cut.free.get() / f64::from(cut.members.max(1)))
                .max(cut.capacity.get() * FREE_LEAST * careful),
        };
        self.returns.after(now, work, free)
    }

    /// Whether an attempt may repeat so much work now; it is counted then.
    pub fn may_repeat(&mut self, now: Duration, work: f64) -> bool {
        let may = self.repeats.may(now, work, self.cut.as_ref());
        self.counts.2 += u32::from(may);
        may
    }

    /// The answer to something taken has begun.
    pub fn begun(&mut self, now: Duration, taken: Taken) {
        self.gone(taken);
        self.completed.add(now, taken.work);
        let waited = now.saturating_sub(taken.at).as_secs_f64();
        self.delay
            .add(now, taken.work * waited / taken.aim_s.max(1e-3));
        self.begun.add(now, taken.work);
    }

    /// Something taken has ended without an answer.
    pub fn gone(&mut self, taken: Taken) {
        self.out = self.out.saturating_sub(1);
        self.backlog = if self.out == 0 {
            0.0
        } else {
            (self.backlog - taken.work).max(0.0)
        };
    }

    /// A host says how many requests wait at it.
    pub fn reported(&mut self, now: Duration, host: u32, waits: f64) {
        let fits = self.waits.len() < HOSTS || self.waits.contains_key(&host);
        if waits.is_finite() && waits >= 0.0 && fits {
            self.waits.insert(host, (now, waits));
        }
    }

    /// What it has seen, where it is time to tell. `hosts`: those that read and take work, by weight.
    pub fn tell(&mut self, now: Duration, hosts: f64) -> Option<Seen> {
        if now < self.tell_at {
            return None;
        }
        self.tell_at = now + TELL;
        self.waits
            .retain(|_, (at, _)| now.saturating_sub(*at) < REPORT);
        self.prefixes.retain(|_, at| now.saturating_sub(*at) < READ);
        let each = if self.out == 0 {
            0.0
        } else {
            self.backlog / f64::from(self.out)
        };
        let begun = self.begun.per_s(now);
        let (fresh, repeats) = self.repeats.sums(now);
        let (taken_count, refused_count, repeat_count) = std::mem::take(&mut self.counts);
        Some(Seen {
            demand: self
                .demand
                .iter()
                .map(|d| Millionths::of(d.per_s(now)))
                .collect(),
            taken: Millionths::of(self.taken.per_s(now)),
            completed: Millionths::of(self.completed.per_s(now)),
            backlog: Millionths::of(self.backlog),
            each: Millionths::of(each),
            waits: Millionths::of(self.waits.values().map(|(_, many)| many * each).sum()),
            hosts: Millionths::of(hosts),
            delay: Millionths::of(if begun > 0.0 {
                self.delay.per_s(now) / begun
            } else {
                0.0
            }),
            fresh: Millionths::of(fresh),
            repeats: Millionths::of(repeats),
            refused_count,
            taken_count,
            repeat_count,
        })
    }
}
