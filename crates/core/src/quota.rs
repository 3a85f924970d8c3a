//! This dispatcher's lease on a fraction of the quotas that all dispatchers of the cluster share. Its expiry is checked
//! at each step.

use bitternlatch_membership::{EffectClass, QuotaFraction};
use bitternlatch_policy::interface::Event;
use bitternlatch_quota_lease::unleased_quota;

use crate::machine::Machine;
use crate::types::Micros;

/// The last lease received and the fraction of the quotas that is in force.
#[derive(Debug, Default)]
pub(crate) struct QuotaLease {
    /// Leased fraction of the whole quota, in addition to the unleased fraction.
    leased: f64,
    /// Expiry of the lease.
    until: Micros,
    /// The fraction that was last applied to budgets and the decision module.
    in_force: f64,
}

/// A change of the quota fraction, and the time from which it is in force.
struct FractionChange {
    fraction: f64,
    since: Micros,
}

impl QuotaLease {
    fn renew(&mut self, leased: f64, until: Micros) {
        self.leased = leased;
        self.until = until;
    }

    /// Computes the fraction in force now and returns it if it has changed. An expired lease ends at its expiry and not
    /// at the step that detects this, because the process may have been paused in between. `may_spend` is whether the
    /// quorum state allows the lease to be spent.
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
    /// Number of dispatchers among which quotas are divided: the size of the roster or, without a cluster, the number
    /// of dispatchers in the settings.
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

    /// Applies a changed quota fraction to the decision module and, without a quota server, to the tenants' rate
    /// budgets. It runs first in each step, so that nothing is decided by an expired lease. A new lease counts from the
    /// step in which it is received.
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
            self.accounts.set_lease(since.seconds(), i, fraction, whole);
        }
    }
}
