//! This dispatcher's lease on the quota that all share: checked at each step, by time.

use bitternlatch_membership::{EffectClass, QuotaFraction};
use bitternlatch_policy::interface::Event;
use bitternlatch_quota_lease::unleased_quota;

use crate::machine::Machine;
use crate::types::Micros;

/// The last lease, and the fraction of the quota that is spent by it.
#[derive(Debug, Default)]
pub(crate) struct QuotaLease {
    /// Fraction of the whole in addition to the unleased quota.
    leased: f64,
    until: Micros,
    /// The fraction that budgets and the decision module go by.
    in_force: f64,
}

/// A new fraction of the quota, and since when it is in force.
struct FractionChange {
    fraction: f64,
    since: Micros,
}

impl QuotaLease {
    fn renew(&mut self, leased: f64, until: Micros) {
        self.leased = leased;
        self.until = until;
    }

    /// The fraction in force from now on, where it is another one. A lease that has expired ends at its time, not at the
    /// step in which that is noticed: the process may have stood still since.
    fn update(&mut self, now: Micros, unleased: f64, may_spend: bool) -> Option<FractionChange> {
        let expired = now >= self.until;
        let fraction = if !expired && may_spend {
            unleased + self.leased
        } else {
            unleased
        };
        if fraction == self.in_force {
            return None;
        }
        self.in_force = fraction;
        let since = if expired { self.until.min(now) } else { now };
        Some(FractionChange { fraction, since })
    }
}

impl Machine {
    /// How many share the quota evenly: all of the roster, or as many as the settings say.
    pub(crate) fn quota_members(&self) -> usize {
        let listed = self.settings.cluster.as_ref().map(|c| c.roster.len());
        listed.unwrap_or(self.settings.dispatchers as usize).max(1)
    }

    pub(crate) fn on_quota_lease(&mut self, now: Micros, leased: f64, until: Micros) {
        if self.settings.cluster.is_some() && (0.0..=1.0).contains(&leased) {
            self.quota_lease.renew(leased, until);
            self.apply_quota_lease(now);
        }
    }

    /// Puts the present fraction in force before anything else is done. What others release counts from the step in which
    /// it is heard of.
    pub(crate) fn apply_quota_lease(&mut self, now: Micros) {
        let Some(mode) = self.admission_mode(now, EffectClass::Idempotent) else {
            return;
        };
        let unleased = unleased_quota(self.quota_members());
        let may_spend = mode.quota == QuotaFraction::Leased;
        let Some(change) = self.quota_lease.update(now, unleased, may_spend) else {
            return;
        };
        let FractionChange { fraction, since } = change;
        self.events.push_back(Event::QuotaFraction {
            fraction,
            since: since.seconds(),
        });
        if self.settings.quota_server.is_some() {
            return;
        }
        let rates = self.settings.tenants.iter().enumerate();
        for (i, rate) in rates.filter_map(|(i, t)| Some((i as u32, t.budget.as_ref()?.rate?))) {
            let whole = (rate.tokens_per_s, rate.burst_tokens);
            self.book.lend(since.seconds(), i, fraction, whole);
        }
    }
}
