//! How many dispatchers share one tenant's rate without asking for each request.
//!
//! A ledger lends out parts of the rate, each for a time. A dispatcher spends its part alone and asks for a new one
//! before it ends, saying how much it used; the ledger sizes the parts by that. A part that is not renewed ends by the time, on
//! both sides by a clock of their own: the dispatcher's ends `skew_s` earlier than the ledger's, so that no part is spent here and lent
//! again there. With the ledger away a dispatcher goes on at a careful rate: the whole divided by all dispatchers, times `careful`.
//!
//! **The bound.** While the ledger serves, parts never add up to more than the rate. Each of `n` dispatchers that cannot reach it spends
//! `careful * rate / n` a second at the most once its part has ended. So over a time `t` all together spend no more than
//! `burst + rate * t` from parts, `careful * rate * t` beside them, and one request each that is owed (see [`crate::book::Book::lend`]);
//! a dispatcher that was started again brings its careful burst.

use std::collections::BTreeMap;

/// Times and shares of leases.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseRules {
    /// How long a part lasts, seconds.
    pub lasts_s: f64,
    /// How much earlier it ends where it is spent.
    pub skew_s: f64,
    /// Share of an even part that is spent without the ledger.
    pub careful: f64,
    /// Share of the rate that is kept for dispatchers that come new or ask for more.
    pub free: f64,
}

impl Default for LeaseRules {
    fn default() -> Self {
        LeaseRules {
            lasts_s: 10.0,
            skew_s: 2.0,
            careful: 0.1,
            free: 0.1,
        }
    }
}

/// A dispatcher, by its run: one that was started again is another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holder(pub u64);

/// A part of a rate, as it was lent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// Never used twice by one ledger: an answer to an older question does not undo a newer one.
    pub number: u64,
    /// Tokens a second.
    pub rate: f64,
    pub lasts_s: f64,
}

struct Lent {
    lease: Lease,
    ends_s: f64,
    /// Tokens a second that the holder wants, as it last said.
    wants: f64,
}

/// The ledger's side for one tenant.
pub struct Lender {
    rules: LeaseRules,
    rate: f64,
    next: u64,
    lent: BTreeMap<Holder, Lent>,
    /// Nothing is lent before this: after a restart, parts may be out that are not known any more.
    opens_s: f64,
}

impl Lender {
    /// After a start: whatever was lent before has ended once `lasts_s` are over. A first start with nothing lent before may open at once.
    pub fn new(rules: LeaseRules, rate: f64, now_s: f64, first: bool) -> Lender {
        let opens_s = if first { now_s } else { now_s + rules.lasts_s };
        // Numbers go on above those of an earlier run, as the clock does.
        Lender {
            next: (now_s.max(0.0) * 1e6) as u64,
            rules,
            rate,
            lent: BTreeMap::new(),
            opens_s,
        }
    }

    fn expire(&mut self, now_s: f64) {
        self.lent.retain(|_, l| l.ends_s > now_s);
    }

    /// What is lent out now, tokens a second.
    pub fn out(&self, now_s: f64) -> f64 {
        self.lent
            .values()
            .filter(|l| l.ends_s > now_s)
            .map(|l| l.lease.rate)
            .sum()
    }

    /// Lends a holder a part for what it wants (tokens a second); its part before ends with this. `None` while parts of an
    /// earlier run may still be out.
    pub fn lend(&mut self, now_s: f64, holder: Holder, wants: f64) -> Option<Lease> {
        if now_s < self.opens_s {
            return None;
        }
        self.expire(now_s);
        let wants = if wants.is_finite() {
            wants.max(0.0)
        } else {
            0.0
        };
        let others: f64 = self
            .lent
            .iter()
            .filter(|(h, _)| **h != holder)
            .map(|(_, l)| l.lease.rate)
            .sum();
        let fair = self.fair(holder, wants);
        let rate = fair.min(self.rate - others).max(0.0);
        self.next += 1;
        let lease = Lease {
            number: self.next,
            rate,
            lasts_s: self.rules.lasts_s,
        };
        self.lent.insert(
            holder,
            Lent {
                lease,
                ends_s: now_s + lease.lasts_s,
                wants,
            },
        );
        Some(lease)
    }

    /// A holder's part if all were lent anew now: small wants are met whole and the rest is divided evenly (max-min fairness);
    /// what is left over is lent in the same proportion, so that a burst finds something, but for a part kept free.
    fn fair(&self, holder: Holder, wants: f64) -> f64 {
        let usable = self.rate * (1.0 - self.rules.free);
        let mut all: Vec<f64> = self
            .lent
            .iter()
            .filter(|(h, _)| **h != holder)
            .map(|(_, l)| l.wants)
            .collect();
        all.push(wants);
        all.sort_by(f64::total_cmp);
        let (mut left, mut share) = (usable, f64::INFINITY);
        for (i, want) in all.iter().enumerate() {
            let even = left / (all.len() - i) as f64;
            if *want > even {
                share = even;
                break;
            }
            left -= want;
        }
        if share.is_finite() {
            return wants.min(share);
        }
        wants + left / all.len() as f64
    }

    /// A holder gives its part back. One that says so of an older part is not believed.
    pub fn give_back(&mut self, holder: Holder, number: u64) {
        if self
            .lent
            .get(&holder)
            .is_some_and(|l| l.lease.number == number)
        {
            self.lent.remove(&holder);
        }
    }

    /// Another rate from now on; parts that are out are met within one lease.
    pub fn change(&mut self, rate: f64) {
        self.rate = rate;
    }
}

/// The dispatcher's side for one tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Borrower {
    rules: LeaseRules,
    /// The rate while no part counts.
    careful_rate: f64,
    lease: Option<(Lease, f64)>,
    /// Tokens held of late and since when, for what to ask for.
    spent: f64,
    since_s: f64,
    wants: f64,
}

impl Borrower {
    /// Without a part: at the careful rate.
    pub fn new(rules: LeaseRules, rate: f64, dispatchers: u32, now_s: f64) -> Borrower {
        let careful_rate = rules.careful * rate / f64::from(dispatchers.max(1));
        Borrower {
            rules,
            careful_rate,
            lease: None,
            spent: 0.0,
            since_s: now_s,
            wants: 0.0,
        }
    }

    /// The rate that may be spent at a time.
    pub fn rate(&self, now_s: f64) -> f64 {
        match &self.lease {
            Some((lease, ends_s)) if now_s < *ends_s => lease.rate,
            _ => self.careful_rate,
        }
    }

    /// Tokens were asked for, held or not: what is refused is wanted too.
    pub fn wanted(&mut self, tokens: f64) {
        self.spent += tokens;
    }

    /// The part has been given back: it is spent no more.
    pub fn drop_part(&mut self) {
        self.lease = None;
    }

    /// Whether to ask for a part now: well before the end, so that a lost answer leaves time for another try.
    pub fn asks(&self, now_s: f64) -> bool {
        self.lease
            .as_ref()
            .is_none_or(|(lease, ends_s)| now_s >= ends_s - lease.lasts_s / 2.0)
    }

    /// What to ask for, tokens a second: what was wanted of late, smoothed.
    pub fn wants(&mut self, now_s: f64) -> f64 {
        let over = now_s - self.since_s;
        if over >= self.rules.lasts_s / 4.0 {
            let seen = self.spent / over;
            self.wants = if seen > self.wants {
                seen
            } else {
                0.5 * (self.wants + seen)
            };
            (self.spent, self.since_s) = (0.0, now_s);
        }
        self.wants
    }

    /// A part came, asked for at `asked_s`: its time runs from the question, as the ledger's cannot have begun before it. An
    /// older part than the one that is held changes nothing.
    pub fn lent(&mut self, asked_s: f64, lease: Lease) {
        if self
            .lease
            .as_ref()
            .is_some_and(|(held, _)| held.number >= lease.number)
        {
            return;
        }
        self.lease = Some((
            lease,
            asked_s + (lease.lasts_s - self.rules.skew_s).max(0.0),
        ));
    }
}
