//! Admission control: tenant quotas, and how much later first tokens arrive than estimated.

use std::collections::VecDeque;

use super::decay::DecayingMean;
use super::EWMA_WEIGHT;
use crate::interface::TenantSettings;

/// Upper bound of the expected lateness, as a multiple of the estimated time to first token. The
/// bound lets requests still try a server that appears idle.
const MAX_LATENESS_RATIO: f64 = 2.0;
/// Highest estimated time to first token at which a request is admitted, as a multiple of the
/// request's latency objective for the first token.
const MAX_TTFT_RATIO: f64 = 1.2;
/// Highest estimated time to first token at which a request over its tenant's quota is admitted, as
/// a multiple of the request's latency objective for the first token.
const OVER_QUOTA_MAX_TTFT_RATIO: f64 = 0.35;
/// Burst that a tenant's token bucket allows, in seconds of this router's part of the tenant's
/// quota.
const QUOTA_BURST_S: f64 = 2.0;
/// Requests added to a tenant's burst, because a handful of arrivals says little about the request
/// rate.
const QUOTA_BURST_REQUESTS: f64 = 3.0;
/// Number of latest requests in which the occurrences of a placement key (prompt prefix or session)
/// are counted, to detect one that is used by many requests.
const MAX_RECENT_KEYS: usize = 16;
/// Half-life, in seconds, of the mean delay of first tokens beyond the estimate made at admission.
const LATENESS_HALF_LIFE_S: f64 = 2.0;

/// Token bucket of the requests that one tenant may start at this router within its quota.
#[derive(Debug)]
struct TenantQuota {
    /// Quota over all dispatchers, in requests per second.
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

/// Admission state other than the estimate of the time to first token: tenant quotas, observed
/// lateness and recent placement keys.
#[derive(Debug)]
pub(super) struct AdmissionController {
    /// Fraction, from 0 to 1, of each tenant's quota that this router may use.
    quota_fraction: f64,
    tenants: Vec<TenantQuota>,
    /// Mean delay of first tokens beyond the estimate, in seconds.
    lateness: DecayingMean,
    /// Placement keys of the latest requests, newest first.
    recent_keys: VecDeque<u64>,
}

impl AdmissionController {
    /// Creates a controller with a full bucket for each tenant; the quotas are split evenly among
    /// the dispatchers.
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

    /// Sets this router's fraction of the quotas from clock time `since`, which may be in the past.
    /// Until `since`, buckets refill by the previous fraction.
    pub fn set_quota_fraction(&mut self, fraction: f64, since: f64) {
        for tenant in &mut self.tenants {
            tenant.refill(self.quota_fraction, since);
        }
        self.quota_fraction = fraction;
    }

    /// Counts one request of a tenant and returns whether the request exceeds this router's
    /// fraction of the tenant's quota. Unknown tenants have no quota.
    pub fn is_over_quota(&mut self, now: f64, tenant: u32) -> bool {
        let Some(tenant) = self.tenants.get_mut(tenant as usize) else {
            return false;
        };
        tenant.refill(self.quota_fraction, now);
        let left = tenant.available_requests;
        tenant.available_requests = (left - 1.0).max(0.0);
        left < 1.0
    }

    /// Longest estimated time to first token, in seconds, at which a request is admitted.
    pub fn max_ttft_s(objective_s: f64, over_quota: bool, time_left_s: f64) -> f64 {
        let ratio = if over_quota {
            OVER_QUOTA_MAX_TTFT_RATIO
        } else {
            MAX_TTFT_RATIO
        };
        (objective_s * ratio).min(time_left_s)
    }

    /// Returns the fraction of the latest requests that had this placement key, then records the
    /// key.
    pub fn record_key(&mut self, key: u64) -> f64 {
        let same = self.recent_keys.iter().filter(|k| **k == key).count() as f64;
        let share = same / self.recent_keys.len().max(1) as f64;
        self.recent_keys.push_front(key);
        self.recent_keys.truncate(MAX_RECENT_KEYS);
        share
    }

    /// Records how much later than estimated a first token arrived, in seconds; 0 if it was in
    /// time.
    pub fn record_lateness(&mut self, now: f64, lateness_s: f64) {
        self.lateness
            .add(lateness_s, 0.5 * EWMA_WEIGHT, now, LATENESS_HALF_LIFE_S);
    }

    /// Expected delay, in seconds, of a first token beyond the estimate, whatever causes it.
    /// `waiting_s` holds the delays so far of requests whose first token has not arrived. The
    /// drawback is that requests may be rejected that would have been answered in time.
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
