//! Admission control: tenants' quotas, and how late first tokens come against what was expected.

use std::collections::VecDeque;

use super::decay::DecayingMean;
use super::EWMA_WEIGHT;
use crate::interface::TenantSettings;

/// Multiple of an estimate that the expected lateness may add, so that a place which looks free is
/// still tried.
const MAX_LATENESS_RATIO: f64 = 2.0;
/// Multiple of its latency objective past which an expected first token is rejected.
const MAX_TTFT_RATIO: f64 = 1.2;
/// The same for what is over its tenant's quota.
const OVER_QUOTA_MAX_TTFT_RATIO: f64 = 0.35;
/// Seconds of a tenant's quota that may come at once.
const QUOTA_BURST_S: f64 = 2.0;
/// Requests beyond that, as few arrivals are a rough count.
const QUOTA_BURST_REQUESTS: f64 = 3.0;
/// Latest requests that show a hot key.
const MAX_RECENT_KEYS: usize = 16;
/// Half-life, in seconds, of delay beyond what admission expected.
const LATENESS_HALF_LIFE_S: f64 = 2.0;

/// A token bucket of the requests that a tenant may begin here within its quota.
#[derive(Debug)]
struct TenantQuota {
    /// Over all dispatchers.
    requests_per_s: f64,
    available_requests: f64,
    refilled_at: f64,
}

impl TenantQuota {
    fn refill(&mut self, quota_fraction: f64, now: f64) {
        let requests_per_s = self.requests_per_s * quota_fraction;
        let burst = QUOTA_BURST_S * requests_per_s + QUOTA_BURST_REQUESTS;
        let earned = (now - self.refilled_at).max(0.0) * requests_per_s;
        self.available_requests = (self.available_requests + earned).min(burst);
        self.refilled_at = now.max(self.refilled_at);
    }
}

/// What decides whether a request is taken, apart from the estimate of its first token.
#[derive(Debug)]
pub(super) struct AdmissionController {
    /// This router's fraction of each quota.
    quota_fraction: f64,
    tenants: Vec<TenantQuota>,
    /// Mean delay of first tokens beyond expectation, seconds.
    lateness: DecayingMean,
    /// Keys of the latest requests, the newest first.
    recent_keys: VecDeque<u64>,
}

impl AdmissionController {
    /// Tenants with full buckets and an even fraction of the quotas.
    pub fn new(dispatchers: u32, tenants: &[TenantSettings]) -> Self {
        let tenants = tenants.iter().map(|tenant| TenantQuota {
            requests_per_s: tenant.quota_rps,
            available_requests: f64::INFINITY,
            refilled_at: 0.0,
        });
        AdmissionController {
            quota_fraction: 1.0 / f64::from(dispatchers),
            tenants: tenants.collect(),
            lateness: DecayingMean::default(),
            recent_keys: VecDeque::new(),
        }
    }

    /// Another fraction of the quotas, from a moment on that may lie back; until then the last one
    /// counts.
    pub fn set_quota_fraction(&mut self, fraction: f64, since: f64) {
        for tenant in &mut self.tenants {
            tenant.refill(self.quota_fraction, since);
        }
        self.quota_fraction = fraction;
    }

    /// Counts a request of a tenant, and says whether it is above this router's fraction of the
    /// quota.
    pub fn is_over_quota(&mut self, now: f64, tenant: u32) -> bool {
        let Some(tenant) = self.tenants.get_mut(tenant as usize) else {
            return false;
        };
        tenant.refill(self.quota_fraction, now);
        let left = tenant.available_requests;
        tenant.available_requests = (left - 1.0).max(0.0);
        left < 1.0
    }

    /// Longest time to the first token at which a request is taken, seconds.
    pub fn max_ttft_s(objective_s: f64, over_quota: bool, time_left_s: f64) -> f64 {
        let ratio = if over_quota {
            OVER_QUOTA_MAX_TTFT_RATIO
        } else {
            MAX_TTFT_RATIO
        };
        (objective_s * ratio).min(time_left_s)
    }

    /// Share of the latest requests by this key, which is counted after.
    pub fn record_key(&mut self, key: u64) -> f64 {
        let same = self.recent_keys.iter().filter(|k| **k == key).count() as f64;
        let share = same / self.recent_keys.len().max(1) as f64;
        self.recent_keys.push_front(key);
        self.recent_keys.truncate(MAX_RECENT_KEYS);
        share
    }

    /// A first token has come so much later than expected.
    pub fn record_lateness(&mut self, now: f64, lateness_s: f64) {
        self.lateness
            .add(lateness_s, 0.5 * EWMA_WEIGHT, now, LATENESS_HALF_LIFE_S);
    }

    /// How late first tokens come against the estimate at admission, whatever the cause;
    /// `waiting_s` are the delays of those that have not come. Harm: rejects too much.
    pub fn expected_lateness_s(
        &self,
        now: f64,
        estimate_s: f64,
        waiting_s: impl Iterator<Item = f64> + Clone,
    ) -> f64 {
        let count = waiting_s.clone().count();
        let mean_wait_s = waiting_s.sum::<f64>() / count.max(1) as f64;
        self.lateness
            .at(now, LATENESS_HALF_LIFE_S)
            .max(mean_wait_s)
            .min(MAX_LATENESS_RATIO * estimate_s)
    }
}

#[cfg(test)]
#[path = "../part_tests/admission.rs"]
mod tests;
