//! The budget accounts of all tenants at one dispatcher.
//!
//! At admission the maximum number of tokens that a request can use is reserved. When the request ends, the reservation
//! is replaced by its actual usage.

use std::collections::BTreeMap;

use crate::bucket::{InsufficientBudget, TokenBucket};
use crate::period::{PeriodAllowance, PeriodId};
use crate::plan::Budget;
use crate::Amount;

/// The tokens reserved for one request in its tenant's account. Released once, by [`Accounts::settle`].
#[derive(Clone, Debug, PartialEq)]
#[must_use = "a reservation must be settled"]
pub struct Reservation {
    tenant: u32,
    amount: Amount,
    period: Option<PeriodId>,
}

impl Reservation {
    /// The reserved amount: the maximum that the request can use.
    pub fn amount(&self) -> Amount {
        self.amount
    }
}

struct Account {
    rate: Option<TokenBucket>,
    period: Option<PeriodAllowance>,
    /// Fractions of the budget that are reserved for single classes, by class number.
    reserve: BTreeMap<u16, f64>,
    /// Capacity of the token bucket, tokens; 0 without a rate limit.
    burst: f64,
    /// Tokens per period at this dispatcher; 0 without a period limit.
    period_tokens: u64,
    /// The tenant's full rate (tokens per second) and burst (tokens) when this dispatcher spends a lease on them.
    full_limits: Option<(f64, f64)>,
}

impl Account {
    /// Fraction of the budget that requests of `class` must leave because it is reserved for other classes.
    fn reserved_for_others(&self, class: u16) -> f64 {
        self.reserve
            .iter()
            .filter(|(c, _)| **c != class)
            .map(|(_, share)| share)
            .sum()
    }
}

/// The tokens that a tenant may still use at this dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RemainingBudget {
    /// Tokens in the token bucket, negative for a deficit; `None` without a rate limit.
    pub rate: Option<f64>,
    /// Tokens left in the current period; `None` without a period limit.
    pub period: Option<u64>,
}

/// A client is notified of a limit once less than this fraction of it remains.
const NOTIFY_BELOW_FRACTION: f64 = 0.2;

/// The limit of which a tenant has the smallest fraction left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NearestLimit {
    /// The limit, tokens.
    pub limit: f64,
    /// Tokens that remain of the limit.
    pub remaining: f64,
    /// Seconds until the whole limit is available again if no tokens are used.
    pub reset_s: f64,
}

impl NearestLimit {
    fn remaining_fraction(&self) -> f64 {
        self.remaining / self.limit.max(1.0)
    }
}

/// Budget accounts by tenant number. A tenant without an account has no limit.
#[derive(Default)]
pub struct Accounts {
    accounts: BTreeMap<u32, Account>,
}

impl Accounts {
    /// Creates a tenant's account or applies a changed budget to it. `share` is the fraction of the budget that this
    /// dispatcher may spend; `class` maps a class name to its number. Unknown class names are ignored, because the
    /// validation of the settings rejects them.
    pub fn set_budget(
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
        let period_tokens = budget
            .period
            .as_ref()
            .map(|p| (p.tokens as f64 * share) as u64);
        let burst = rate.map_or(0.0, |r| r.1);
        let previous = self.accounts.remove(&tenant);
        let (old_rate, old_period) = previous.map_or((None, None), |a| (a.rate, a.period));
        let rate = rate.map(|(rate, burst)| match old_rate {
            Some(mut old) => {
                old.set_limits(now_s, rate, burst);
                old
            }
            None => TokenBucket::new(rate, burst, now_s),
        });
        let period = budget
            .period
            .as_ref()
            .zip(period_tokens)
            .and_then(|(p, tokens)| match old_period {
                Some(mut old) => {
                    old.set_tokens(tokens);
                    Some(old)
                }
                None => Some(PeriodAllowance::new(tokens, p.per, p.time_zone()?)),
            });
        let account = Account {
            rate,
            period,
            reserve,
            burst,
            period_tokens: period_tokens.unwrap_or(0),
            full_limits: None,
        };
        self.accounts.insert(tenant, account);
    }

    /// Limits the tenant's rate and burst to a leased fraction `share` of the full ones, `full` (tokens per second,
    /// tokens).
    ///
    /// When the rate is divided among many dispatchers, each burst may be smaller than a large request, which would then
    /// be admitted nowhere. With a lease, a request larger than the leased burst is therefore admitted when that burst
    /// is full, and the remainder becomes a deficit.
    pub fn set_lease(&mut self, now_s: f64, tenant: u32, share: f64, full: (f64, f64)) {
        let Some(account) = self.accounts.get_mut(&tenant) else {
            return;
        };
        let Some(bucket) = &mut account.rate else {
            return;
        };
        account.full_limits = Some(full);
        account.burst = full.1 * share;
        bucket.set_limits(now_s, full.0 * share, account.burst);
    }

    /// Reserves the maximum that a request can use, in full or not at all.
    ///
    /// # Errors
    /// [`InsufficientBudget`], with the longer of the waits for the rate limit and for the period limit.
    pub fn reserve(
        &mut self,
        now_s: f64,
        tenant: u32,
        class: u16,
        max_usage: Amount,
    ) -> Result<Reservation, InsufficientBudget> {
        let mut reservation = Reservation {
            tenant,
            amount: max_usage,
            period: None,
        };
        let Some(account) = self.accounts.get_mut(&tenant) else {
            return Ok(reservation);
        };
        let reserved = account.reserved_for_others(class);
        let (burst, period_tokens) = (account.burst, account.period_tokens);
        let total = max_usage.total();
        let is_leased = account
            .full_limits
            .is_some_and(|full| total as f64 <= full.1 * (1.0 - reserved));
        let needed = if is_leased {
            (total as f64).min(burst * (1.0 - reserved))
        } else {
            total as f64
        };
        let by_rate = account
            .rate
            .as_mut()
            .map_or(Ok(()), |b| b.check(now_s, needed, burst * reserved));
        let floor = (period_tokens as f64 * reserved) as u64;
        let by_period = account
            .period
            .as_mut()
            .map_or(Ok(()), |p| p.check(now_s, total, floor));
        match (by_rate, by_period) {
            (Ok(()), Ok(())) => {}
            (Err(InsufficientBudget::Never), _) | (_, Err(InsufficientBudget::Never)) => {
                return Err(InsufficientBudget::Never)
            }
            (Err(InsufficientBudget::RetryAfter(a)), Err(InsufficientBudget::RetryAfter(b))) => {
                return Err(InsufficientBudget::RetryAfter(a.max(b)))
            }
            (Err(cause), Ok(())) | (Ok(()), Err(cause)) => return Err(cause),
        }
        if let Some(bucket) = &mut account.rate {
            bucket.take(total as f64);
        }
        reservation.period = account.period.as_mut().map(|p| p.take(total));
        Ok(reservation)
    }

    /// Replaces a reservation by the actual usage: unused tokens are available again at once, and usage beyond the
    /// reservation becomes a deficit.
    pub fn settle(&mut self, reservation: Reservation, used: Amount) {
        let Some(account) = self.accounts.get_mut(&reservation.tenant) else {
            return;
        };
        let (reserved, used) = (reservation.amount.total(), used.total());
        if let Some(bucket) = &mut account.rate {
            if reserved >= used {
                bucket.refund((reserved - used) as f64);
            } else {
                bucket.take((used - reserved) as f64);
            }
        }
        if let (Some(period), Some(id)) = (&mut account.period, reservation.period) {
            period.settle(id, reserved, used);
        }
    }

    /// The limit of which the smallest fraction remains, if less than a fifth of any limit remains.
    pub fn nearest_limit(&mut self, now_s: f64, tenant: u32) -> Option<NearestLimit> {
        let account = self.accounts.get_mut(&tenant)?;
        let (burst, period_tokens) = (account.burst, account.period_tokens);
        let rate = account.rate.as_mut().map(|b| NearestLimit {
            limit: burst,
            remaining: b.level(now_s).max(0.0),
            reset_s: b.time_until_full_s(now_s),
        });
        let period = account.period.as_mut().map(|p| NearestLimit {
            limit: period_tokens as f64,
            remaining: p.remaining(now_s) as f64,
            reset_s: p.time_until_end_s(now_s),
        });
        let limits = rate
            .into_iter()
            .chain(period)
            .filter(|n| n.remaining_fraction() < NOTIFY_BELOW_FRACTION);
        limits.min_by(|a, b| a.remaining_fraction().total_cmp(&b.remaining_fraction()))
    }

    /// The tokens that a tenant may still use at this dispatcher; no limits for an unknown tenant.
    pub fn remaining(&mut self, now_s: f64, tenant: u32) -> RemainingBudget {
        let Some(account) = self.accounts.get_mut(&tenant) else {
            return RemainingBudget::default();
        };
        RemainingBudget {
            rate: account.rate.as_mut().map(|b| b.level(now_s)),
            period: account.period.as_mut().map(|p| p.remaining(now_s)),
        }
    }
}
