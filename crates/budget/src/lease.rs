//! Leases by which many dispatchers share one tenant's rate without a round trip for each request.
//!
//! The quota server issues leases on fractions of the rate, each for a limited time. A dispatcher spends its lease on its
//! own and requests the next one before it expires, stating its demand; the quota server sizes the leases by the
//! demands. A lease that is not renewed expires on both sides, each by its own clock. It expires `skew_s` earlier at the
//! dispatcher, so that the same tokens are not spent there while they are leased to another dispatcher. A dispatcher
//! without a lease spends at the fallback rate: the rate divided by the number of dispatchers, times
//! `fallback_fraction`.
//!
//! **Upper bound on spending.** Leases of one quota server never add up to more than the rate. Each of `n` dispatchers
//! spends at most `fallback_fraction * rate / n` per second after its lease has expired. Over a time `t` all dispatchers
//! together therefore spend at most `burst + rate * t` from leases, `fallback_fraction * rate * t` in addition, and one
//! request each as a deficit (see [`crate::book::Accounts::set_lease`]). Each restart of a dispatcher adds the burst of
//! its fallback rate.

use std::collections::BTreeMap;

/// Parameters of leases.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseRules {
    /// Duration of a lease, seconds.
    pub duration_s: f64,
    /// How much earlier a lease expires at the dispatcher than at the quota server, seconds.
    pub skew_s: f64,
    /// Fraction of an equal share of the rate that a dispatcher may spend without a lease.
    pub fallback_fraction: f64,
    /// Fraction of the rate that is held back for dispatchers that join or raise their demand.
    pub spare_fraction: f64,
}

impl Default for LeaseRules {
    fn default() -> Self {
        LeaseRules {
            duration_s: 10.0,
            skew_s: 2.0,
            fallback_fraction: 0.1,
            spare_fraction: 0.1,
        }
    }
}

/// Identifies one run of a dispatcher; after a restart a dispatcher is a different holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderId(pub u64);

/// A lease on a fraction of a tenant's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// Increases with each lease that the quota server issues for the tenant, so that a delayed response to an older
    /// request does not replace a newer lease.
    pub number: u64,
    /// Leased rate, tokens per second.
    pub rate: f64,
    /// Duration, seconds.
    pub duration_s: f64,
}

struct IssuedLease {
    lease: Lease,
    /// When the lease expires by the quota server's clock, seconds.
    expires_s: f64,
    /// Demand that the holder last reported, tokens per second.
    demand: f64,
}

/// Issues the leases on one tenant's rate; used by the quota server.
pub struct LeaseIssuer {
    rules: LeaseRules,
    rate: f64,
    last_number: u64,
    issued: BTreeMap<HolderId, IssuedLease>,
    /// No lease is issued before this time, seconds: after a restart, unknown leases of the previous run may be active.
    opens_s: f64,
}

impl LeaseIssuer {
    /// Creates an issuer for `rate` tokens per second. It issues leases once all leases of a previous run have expired,
    /// after `duration_s`, or at once if `first` states that there was no previous run.
    pub fn new(rules: LeaseRules, rate: f64, now_s: f64, first: bool) -> LeaseIssuer {
        let opens_s = if first {
            now_s
        } else {
            now_s + rules.duration_s
        };
        // Numbers start at the clock in microseconds, so that they exceed those of a previous run.
        LeaseIssuer {
            last_number: (now_s.max(0.0) * 1e6) as u64,
            rules,
            rate,
            issued: BTreeMap::new(),
            opens_s,
        }
    }

    fn expire(&mut self, now_s: f64) {
        self.issued.retain(|_, l| l.expires_s > now_s);
    }

    /// Sum of the rates of all active leases, tokens per second.
    pub fn issued_rate(&self, now_s: f64) -> f64 {
        self.issued
            .values()
            .filter(|l| l.expires_s > now_s)
            .map(|l| l.lease.rate)
            .sum()
    }

    /// Issues a lease for a demand in tokens per second; it replaces the holder's previous lease. `None` while leases of
    /// a previous run may still be active.
    pub fn issue(&mut self, now_s: f64, holder: HolderId, demand: f64) -> Option<Lease> {
        if now_s < self.opens_s {
            return None;
        }
        self.expire(now_s);
        let demand = if demand.is_finite() {
            demand.max(0.0)
        } else {
            0.0
        };
        let others: f64 = self
            .issued
            .iter()
            .filter(|(h, _)| **h != holder)
            .map(|(_, l)| l.lease.rate)
            .sum();
        let fair_rate = self.fair_rate(holder, demand);
        let rate = fair_rate.min(self.rate - others).max(0.0);
        self.last_number += 1;
        let lease = Lease {
            number: self.last_number,
            rate,
            duration_s: self.rules.duration_s,
        };
        self.issued.insert(
            holder,
            IssuedLease {
                lease,
                expires_s: now_s + lease.duration_s,
                demand,
            },
        );
        Some(lease)
    }

    /// The rate that a holder would get if all leases were issued anew now, by max-min fairness: small demands are met in
    /// full and the others share the remainder equally. If all demands are met, the surplus is divided equally too, so
    /// that bursts can be absorbed. `spare_fraction` of the rate is not distributed.
    fn fair_rate(&self, holder: HolderId, demand: f64) -> f64 {
        let usable = self.rate * (1.0 - self.rules.spare_fraction);
        let mut all: Vec<f64> = self
            .issued
            .iter()
            .filter(|(h, _)| **h != holder)
            .map(|(_, l)| l.demand)
            .collect();
        all.push(demand);
        all.sort_by(f64::total_cmp);
        let (mut left, mut share) = (usable, f64::INFINITY);
        for (i, other) in all.iter().enumerate() {
            let even = left / (all.len() - i) as f64;
            if *other > even {
                share = even;
                break;
            }
            left -= other;
        }
        if share.is_finite() {
            return demand.min(share);
        }
        demand + left / all.len() as f64
    }

    /// Ends a lease that its holder returns. Ignored unless `number` is the holder's current lease.
    pub fn return_lease(&mut self, holder: HolderId, number: u64) {
        if self
            .issued
            .get(&holder)
            .is_some_and(|l| l.lease.number == number)
        {
            self.issued.remove(&holder);
        }
    }

    /// Sets a new rate. Active leases add up to no more than it after at most one lease duration.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }
}

/// A dispatcher's lease on one tenant's rate, and its demand.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseHolder {
    rules: LeaseRules,
    /// The rate without an active lease, tokens per second.
    fallback_rate: f64,
    /// The latest lease and when it expires at this dispatcher, seconds.
    lease: Option<(Lease, f64)>,
    /// Tokens that requests have asked for since `measured_since_s`.
    requested: f64,
    measured_since_s: f64,
    /// Smoothed demand, tokens per second.
    demand: f64,
}

impl LeaseHolder {
    /// Creates a holder without a lease, at the fallback rate.
    pub fn new(rules: LeaseRules, rate: f64, dispatchers: u32, now_s: f64) -> LeaseHolder {
        let fallback_rate = rules.fallback_fraction * rate / f64::from(dispatchers.max(1));
        LeaseHolder {
            rules,
            fallback_rate,
            lease: None,
            requested: 0.0,
            measured_since_s: now_s,
            demand: 0.0,
        }
    }

    /// The rate that may be spent at `now_s`, tokens per second.
    pub fn rate(&self, now_s: f64) -> f64 {
        match &self.lease {
            Some((lease, expires_s)) if now_s < *expires_s => lease.rate,
            _ => self.fallback_rate,
        }
    }

    /// Records the tokens that a request asked for. Rejected requests are part of the demand too.
    pub fn record_demand(&mut self, tokens: f64) {
        self.requested += tokens;
    }

    /// Drops the lease after it has been returned to the quota server.
    pub fn drop_lease(&mut self) {
        self.lease = None;
    }

    /// Whether to request a lease now. Renewal starts well before the expiry, which leaves time for a retry if a response
    /// is lost.
    pub fn needs_renewal(&self, now_s: f64) -> bool {
        self.lease
            .as_ref()
            .is_none_or(|(lease, expires_s)| now_s >= expires_s - lease.duration_s / 2.0)
    }

    /// The demand to report, tokens per second: follows an increase at once and a decrease smoothed.
    pub fn demand(&mut self, now_s: f64) -> f64 {
        let elapsed_s = now_s - self.measured_since_s;
        if elapsed_s >= self.rules.duration_s / 4.0 {
            let measured = self.requested / elapsed_s;
            self.demand = if measured > self.demand {
                measured
            } else {
                0.5 * (self.demand + measured)
            };
            (self.requested, self.measured_since_s) = (0.0, now_s);
        }
        self.demand
    }

    /// Stores a received lease that was requested at `requested_s`. Its duration counts from the request, which precedes
    /// the issue at the quota server. Ignored unless its number is above that of the current lease.
    pub fn receive(&mut self, requested_s: f64, lease: Lease) {
        if self
            .lease
            .as_ref()
            .is_some_and(|(current, _)| current.number >= lease.number)
        {
            return;
        }
        self.lease = Some((
            lease,
            requested_s + (lease.duration_s - self.rules.skew_s).max(0.0),
        ));
    }
}
