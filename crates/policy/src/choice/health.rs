//! Health of one server: time lost by its failures, delay beyond prediction, and what others report
//! of it.

use super::decay::{non_negative, DecayingMean};
use super::EWMA_WEIGHT;

/// Multiple of its age that a probe which is not answered in time stands for.
const UNANSWERED_PROBE_AGE_FACTOR: f64 = 4.0;
/// Seconds that a failure costs beyond its own time: the next attempt's way and wait.
const FAILURE_EXTRA_COST_S: f64 = 0.1;
/// Half-life, in seconds, of time lost by failures.
const FAILURE_HALF_LIFE_S: f64 = 2.0;
/// Half-life, in seconds, of delay beyond prediction: about the time in which a queue turns over.
const EXCESS_HALF_LIFE_S: f64 = 0.7;
/// Mean time lost, in seconds, by failures of a server that others have seen failing.
const REPORTED_FAILURE_COST_S: f64 = 0.25;
/// Seconds for which a server counts as reported to fail.
const REPORTED_FAILING_WINDOW_S: f64 = 3.0;
/// Seconds for which others' reports of a drain count.
const REPORTED_DRAIN_WINDOW_S: f64 = 1.0;
/// Seconds for which a server that has rejected an attempt is passed over.
const REJECTION_PAUSE_S: f64 = 0.2;
/// Seconds for which a load report or a probe in flight is fresh enough not to probe again.
const MIN_PROBE_INTERVAL_S: f64 = 0.5;

/// What own attempts, probes and others' reports show of a server. Times are seconds of the clock.
#[derive(Debug, Default)]
pub(super) struct ServerHealth {
    failure_cost: DecayingMean,
    last_success_at: f64,
    excess_delay: DecayingMean,
    /// Until then it takes nothing: it has rejected an attempt, or others' lists have it draining.
    excluded_until: f64,
    reported_failing_at: f64,
    probe_sent_at: f64,
    probe_in_flight: bool,
}

impl ServerHealth {
    /// An attempt has been answered.
    pub fn record_success(&mut self, now: f64) {
        self.last_success_at = now;
        self.record_cost(0.0, now);
    }

    /// An attempt has failed. It is priced by the time that it has lost, as quick failures leave a
    /// short queue.
    pub fn record_failure(&mut self, elapsed_s: f64, now: f64) {
        self.record_cost(non_negative(elapsed_s) + FAILURE_EXTRA_COST_S, now);
    }

    fn record_cost(&mut self, lost_s: f64, now: f64) {
        self.failure_cost
            .add(lost_s, 2.0 * EWMA_WEIGHT, now, FAILURE_HALF_LIFE_S);
    }

    /// Mean time lost of late by a failure, seconds.
    pub fn failure_cost_s(&self, now: f64) -> f64 {
        self.failure_cost.at(now, FAILURE_HALF_LIFE_S)
    }

    /// When an attempt was last answered.
    pub fn last_success_at(&self) -> f64 {
        self.last_success_at
    }

    /// Delay beyond prediction, seconds.
    pub fn excess_delay_s(&self, now: f64) -> f64 {
        self.excess_delay.at(now, EXCESS_HALF_LIFE_S)
    }

    /// An answer came so much later than predicted.
    pub fn record_excess_delay(&mut self, excess_s: f64, now: f64) {
        self.excess_delay
            .average_with(excess_s, now, EXCESS_HALF_LIFE_S);
    }

    /// An attempt was waited for in vain for as long.
    pub fn record_abandoned_wait(&mut self, waited_s: f64, now: f64) {
        self.excess_delay
            .raise_to(waited_s, now, EXCESS_HALF_LIFE_S);
    }

    /// It has rejected an attempt as full.
    pub fn record_rejection(&mut self, now: f64) {
        self.excluded_until = self.excluded_until.max(now + REJECTION_PAUSE_S);
    }

    /// Others report that it drains.
    pub fn record_reported_drain(&mut self, now: f64) {
        self.excluded_until = self.excluded_until.max(now + REPORTED_DRAIN_WINDOW_S);
    }

    /// Others report that it fails.
    pub fn record_reported_failing(&mut self, now: f64) {
        self.reported_failing_at = now;
    }

    /// Others have reported lately that it fails.
    pub fn is_reported_failing(&self, now: f64) -> bool {
        now - self.reported_failing_at < REPORTED_FAILING_WINDOW_S
    }

    /// A report of failures is believed: it costs time as an own failure does.
    pub fn apply_reported_failure(&mut self, now: f64) {
        self.failure_cost
            .raise_to(REPORTED_FAILURE_COST_S, now, FAILURE_HALF_LIFE_S);
    }

    /// It takes nothing for now.
    pub fn is_excluded(&self, now: f64) -> bool {
        now < self.excluded_until
    }

    /// Nothing fresh is known of it, and no probe is on its way.
    pub fn needs_probe(&self, reported_at: f64, now: f64) -> bool {
        now - reported_at.max(self.probe_sent_at) > MIN_PROBE_INTERVAL_S
    }

    /// A probe is sent.
    pub fn probe_sent(&mut self, now: f64) {
        self.probe_sent_at = now;
        self.probe_in_flight = true;
    }

    /// A probe has ended.
    pub fn probe_ended(&mut self) {
        self.probe_in_flight = false;
    }

    /// Seconds that a probe stands for which has not been answered within `wait_s`.
    pub fn unanswered_probe_delay_s(&self, wait_s: f64, now: f64) -> f64 {
        let age_s = if self.probe_in_flight {
            now - self.probe_sent_at
        } else {
            0.0
        };
        if age_s < 0.9 * wait_s {
            0.0
        } else {
            UNANSWERED_PROBE_AGE_FACTOR * age_s
        }
    }
}

#[cfg(test)]
#[path = "../part_tests/health.rs"]
mod tests;
