//! This dispatcher's part of what all share, where it is lent one by its peers: checked at each step, by time.

use bitternlatch_membership::{EffectClass, QuotaFraction};
use bitternlatch_policy::interface::Event;
use bitternlatch_quota_lease::unleased_quota;

use crate::machine::Machine;
use crate::types::Micros;

/// What was lent last.
#[derive(Debug, Default)]
pub(crate) struct QuotaLease {
    quota_lease: f64,
    until: Micros,
    /// The part that budgets and the decision module go by.
    spends: f64,
}

impl Machine {
    /// How many share even parts: all of the roster, or as many as the settings say.
    pub(crate) fn quota_members(&self) -> usize {
        let listed = self.settings.cluster.as_ref().map(|c| c.roster.len());
        listed.unwrap_or(self.settings.dispatchers as usize).max(1)
    }

    pub(crate) fn on_quota_lease(&mut self, now: Micros, quota_lease: f64, until: Micros) {
        if self.settings.cluster.is_some() && (0.0..=1.0).contains(&quota_lease) {
            (self.quota_lease.quota_lease, self.quota_lease.until) = (quota_lease, until);
            self.apply_quota_lease(now);
        }
    }

    /// Lets a part that has ended end, at the moment at which it did, before anything is done: this process may have stood
    /// still since. What others release counts from the step in which it is heard of.
    pub(crate) fn apply_quota_lease(&mut self, now: Micros) {
        let Some(duty) = self.duty(now, EffectClass::Safe) else {
            return;
        };
        let careful = unleased_quota(self.quota_members());
        let ended = now >= self.quota_lease.until;
        let may = !ended && duty.share == QuotaFraction::Leased;
        let spends = if may {
            careful + self.quota_lease.quota_lease
        } else {
            careful
        };
        if spends == self.quota_lease.spends {
            return;
        }
        self.quota_lease.spends = spends;
        let since = if ended {
            self.quota_lease.until.min(now)
        } else {
            now
        };
        self.events.push_back(Event::QuotaFraction {
            fraction: spends,
            since: since.seconds(),
        });
        if self.settings.quota_server.is_some() {
            return;
        }
        let rates = self.settings.tenants.iter().enumerate();
        for (i, rate) in rates.filter_map(|(i, t)| Some((i as u32, t.budget.as_ref()?.rate?))) {
            let whole = (rate.tokens_per_s, rate.burst_tokens);
            self.book.lend(since.seconds(), i, spends, whole);
        }
    }
}
