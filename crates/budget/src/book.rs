//! All accounts of one dispatcher. At admission the most that a request can use is held; at its end the account is put right.

use std::collections::BTreeMap;

use crate::bucket::{Bucket, Short};
use crate::period::{Allowance, PeriodId};
use crate::plan::Budget;
use crate::Amount;

/// What one request holds of its tenant's account. Given back by [`Book::settle`], once.
#[derive(Clone, Debug, PartialEq)]
#[must_use = "what is held must be settled"]
pub struct Hold {
    tenant: u32,
    held: Amount,
    period: Option<PeriodId>,
}

impl Hold {
    /// The most that the request can use.
    pub fn bound(&self) -> Amount {
        self.held
    }
}

struct Account {
    rate: Option<Bucket>,
    period: Option<Allowance>,
    /// Shares that are kept for single classes.
    reserve: BTreeMap<u16, f64>,
    burst: f64,
    amount: u64,
    /// Rate and burst of all dispatchers together, where this one spends a part that changes.
    lent_of: Option<(f64, f64)>,
}

impl Account {
    /// The share that a class has to leave to others.
    fn others(&self, class: u16) -> f64 {
        self.reserve
            .iter()
            .filter(|(c, _)| **c != class)
            .map(|(_, share)| share)
            .sum()
    }
}

/// What is left of a tenant's budget here.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Left {
    /// Tokens of the rate's bucket, and of the period; `None` is without bound.
    pub rate: Option<f64>,
    pub period: Option<u64>,
}

/// Below this share of a bound a caller is told what is left.
const NEAR: f64 = 0.2;

/// The bound that a tenant is nearest to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Near {
    /// Tokens: the whole of it, and what is left.
    pub limit: f64,
    pub remaining: f64,
    /// Seconds until the whole is there again, if nobody takes any.
    pub reset_s: f64,
}

impl Near {
    fn share(&self) -> f64 {
        self.remaining / self.limit.max(1.0)
    }
}

/// The accounts, by tenant. A tenant without one is not bounded.
#[derive(Default)]
pub struct Book {
    accounts: BTreeMap<u32, Account>,
}

impl Book {
    /// Opens or changes a tenant's account. `share` is the part of the budget that this dispatcher spends on its own; `class` gives the
    /// number of a class by its name. Names that are none were refused with the settings and are passed over.
    pub fn open(
        &mut self,
        now_s: f64,
        tenant: u32,
        budget: &Budget,
        share: f64,
        class: impl Fn(&str) -> Option<u16>,
    ) {
        let reserve = budget
            .reserve
            .iter()
            .filter_map(|(name, s)| Some((class(name)?, *s)))
            .collect();
        let rate = budget
            .rate
            .map(|r| (r.tokens_per_s * share, r.burst_tokens * share));
        let amount = budget
            .period
            .as_ref()
            .map(|p| (p.tokens as f64 * share) as u64);
        let burst = rate.map_or(0.0, |r| r.1);
        let before = self.accounts.remove(&tenant);
        let (old_rate, old_period) = before.map_or((None, None), |a| (a.rate, a.period));
        let rate = rate.map(|(rate, burst)| match old_rate {
            Some(mut old) => {
                old.change(now_s, rate, burst);
                old
            }
            None => Bucket::new(rate, burst, now_s),
        });
        let period = budget
            .period
            .as_ref()
            .zip(amount)
            .and_then(|(p, amount)| match old_period {
                Some(mut old) => {
                    old.change(amount);
                    Some(old)
                }
                None => Some(Allowance::new(amount, p.per, p.time_zone()?)),
            });
        let account = Account {
            rate,
            period,
            reserve,
            burst,
            amount: amount.unwrap_or(0),
            lent_of: None,
        };
        self.accounts.insert(tenant, account);
    }

    /// From now on the rate is a part that is lent: `share` of the whole.
    ///
    /// A burst of many small parts would let no large request in anywhere. So with a part, a request larger than the
    /// part's burst is taken when that burst is full, and the rest of it is owed.
    pub fn lend(&mut self, now_s: f64, tenant: u32, share: f64, whole: (f64, f64)) {
        let Some(account) = self.accounts.get_mut(&tenant) else {
            return;
        };
        let Some(bucket) = &mut account.rate else {
            return;
        };
        account.lent_of = Some(whole);
        account.burst = whole.1 * share;
        bucket.change(now_s, whole.0 * share, account.burst);
    }

    /// Holds the most that a request can use, all of it or nothing.
    ///
    /// # Errors
    /// [`Short`]: the longer of the waits for the rate and for the period.
    pub fn hold(
        &mut self,
        now_s: f64,
        tenant: u32,
        class: u16,
        most: Amount,
    ) -> Result<Hold, Short> {
        let mut hold = Hold {
            tenant,
            held: most,
            period: None,
        };
        let Some(account) = self.accounts.get_mut(&tenant) else {
            return Ok(hold);
        };
        let others = account.others(class);
        let (burst, amount) = (account.burst, account.amount);
        let total = most.total();
        let lent = account
            .lent_of
            .is_some_and(|whole| total as f64 <= whole.1 * (1.0 - others));
        let asks = if lent {
            (total as f64).min(burst * (1.0 - others))
        } else {
            total as f64
        };
        let by_rate = account
            .rate
            .as_mut()
            .map_or(Ok(()), |b| b.check(now_s, asks, burst * others));
        let floor = (amount as f64 * others) as u64;
        let by_period = account
            .period
            .as_mut()
            .map_or(Ok(()), |p| p.check(now_s, total, floor));
        match (by_rate, by_period) {
            (Ok(()), Ok(())) => {}
            (Err(Short::Ever), _) | (_, Err(Short::Ever)) => return Err(Short::Ever),
            (Err(Short::For(a)), Err(Short::For(b))) => return Err(Short::For(a.max(b))),
            (Err(short), Ok(())) | (Ok(()), Err(short)) => return Err(short),
        }
        if let Some(bucket) = &mut account.rate {
            bucket.take(total as f64);
        }
        hold.period = account.period.as_mut().map(|p| p.take(total));
        Ok(hold)
    }

    /// Puts the account right: what was held and not used is there again at once; what was used beyond it is owed.
    pub fn settle(&mut self, hold: Hold, used: Amount) {
        let Some(account) = self.accounts.get_mut(&hold.tenant) else {
            return;
        };
        let (held, used) = (hold.held.total(), used.total());
        if let Some(bucket) = &mut account.rate {
            if held >= used {
                bucket.give_back((held - used) as f64);
            } else {
                bucket.take((used - held) as f64);
            }
        }
        if let (Some(period), Some(id)) = (&mut account.period, hold.period) {
            period.settle(id, held, used);
        }
    }

    /// The bound that a tenant is near to, if any: less than a fifth of it is left.
    pub fn near(&mut self, now_s: f64, tenant: u32) -> Option<Near> {
        let account = self.accounts.get_mut(&tenant)?;
        let (burst, amount) = (account.burst, account.amount);
        let rate = account.rate.as_mut().map(|b| Near {
            limit: burst,
            remaining: b.level(now_s).max(0.0),
            reset_s: b.full_in(now_s),
        });
        let period = account.period.as_mut().map(|p| Near {
            limit: amount as f64,
            remaining: p.left(now_s) as f64,
            reset_s: p.ends_in(now_s),
        });
        let both = rate.into_iter().chain(period).filter(|n| n.share() < NEAR);
        both.min_by(|a, b| a.share().total_cmp(&b.share()))
    }

    /// What is left to a tenant here.
    pub fn left(&mut self, now_s: f64, tenant: u32) -> Left {
        let Some(account) = self.accounts.get_mut(&tenant) else {
            return Left::default();
        };
        Left {
            rate: account.rate.as_mut().map(|b| b.level(now_s)),
            period: account.period.as_mut().map(|p| p.left(now_s)),
        }
    }
}
