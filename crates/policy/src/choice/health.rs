//! Health of one server: time lost by failures, delay beyond the prediction, and reports by peers.

use super::decay::{non_negative, DecayingMean};
use super::EWMA_WEIGHT;

/// Delay that a probe unanswered in time counts as, as a multiple of the time since it was sent.
const UNANSWERED_PROBE_AGE_FACTOR: f64 = 4.0;
/// Seconds added to the time lost by a failed attempt, for the network and queueing delay of the
/// next attempt.
const FAILURE_EXTRA_COST_S: f64 = 0.1;
/// Half-life, in seconds, of the mean time that failures lost per attempt.
const FAILURE_HALF_LIFE_S: f64 = 2.0;
/// Half-life, in seconds, of the mean delay of answers beyond the prediction: about the time in
/// which the requests in a queue are replaced by new ones.
const EXCESS_HALF_LIFE_S: f64 = 0.7;
/// Lowest mean time lost per attempt, in seconds, assumed for a server that peers report as
/// failing.
const REPORTED_FAILURE_COST_S: f64 = 0.25;
/// Seconds for which a peer report of a failing server stays valid.
const REPORTED_FAILING_WINDOW_S: f64 = 3.0;
/// Seconds for which a server is excluded after peers report it as draining.
const REPORTED_DRAIN_WINDOW_S: f64 = 1.0;
/// Seconds for which a server is excluded after it rejects an attempt.
const REJECTION_PAUSE_S: f64 = 0.2;
/// Minimum age, in seconds, of the latest load report and of the latest probe before a server is
/// probed again.
const MIN_PROBE_INTERVAL_S: f64 = 0.5;

/// Health of one server as shown by this router's attempts and probes and by peer reports. Times
/// are clock times in seconds.
#[derive(Debug, Default)]
pub(super) struct ServerHealth {
    failure_cost: DecayingMean,
    last_success_at: f64,
    excess_delay: DecayingMean,
    /// The server gets no attempts until this time, because it rejected one or peers reported it as
    /// draining.
    excluded_until: f64,
    reported_failing_at: f64,
    probe_sent_at: f64,
    probe_in_flight: bool,
}

impl ServerHealth {
    /// Records an attempt that the server answered, which lowers the server's mean time lost by
    /// failures.
    pub fn record_success(&mut self, now: f64) {
        self.last_success_at = now;
        self.record_cost(0.0, now);
    }

    /// Records a failed attempt or probe. A failure counts by the time that the attempt or probe
    /// lost, because a server that fails fast has a short queue and would otherwise look
    /// attractive.
    pub fn record_failure(&mut self, elapsed_s: f64, now: f64) {
        self.record_cost(non_negative(elapsed_s) + FAILURE_EXTRA_COST_S, now);
    }

    fn record_cost(&mut self, lost_s: f64, now: f64) {
        self.failure_cost
            .add(lost_s, 2.0 * EWMA_WEIGHT, now, FAILURE_HALF_LIFE_S);
    }

    /// Mean time lost per attempt by recent failures, in seconds.
    pub fn failure_cost_s(&self, now: f64) -> f64 {
        self.failure_cost.at(now, FAILURE_HALF_LIFE_S)
    }

    /// Clock time, in seconds, at which the server last answered an attempt.
    pub fn last_success_at(&self) -> f64 {
        self.last_success_at
    }

    /// Recent delay of answers beyond the prediction, in seconds.
    pub fn excess_delay_s(&self, now: f64) -> f64 {
        self.excess_delay.at(now, EXCESS_HALF_LIFE_S)
    }

    /// Records how many seconds later than predicted an answer arrived.
    pub fn record_excess_delay(&mut self, excess_s: f64, now: f64) {
        self.excess_delay
            .average_with(excess_s, now, EXCESS_HALF_LIFE_S);
    }

    /// Records an attempt that timed out or was cancelled after `waited_s` seconds. The excess
    /// delay becomes at least that long.
    pub fn record_abandoned_wait(&mut self, waited_s: f64, now: f64) {
        self.excess_delay
            .raise_to(waited_s, now, EXCESS_HALF_LIFE_S);
    }

    /// Excludes the server for a short time after it rejected an attempt because it was full.
    pub fn record_rejection(&mut self, now: f64) {
        self.excluded_until = self.excluded_until.max(now + REJECTION_PAUSE_S);
    }

    /// Excludes the server for a short time after peers reported it as draining.
    pub fn record_reported_drain(&mut self, now: f64) {
        self.excluded_until = self.excluded_until.max(now + REPORTED_DRAIN_WINDOW_S);
    }

    /// Records that peers report the server as failing.
    pub fn record_reported_failing(&mut self, now: f64) {
        self.reported_failing_at = now;
    }

    /// Returns whether peers have recently reported the server as failing.
    pub fn is_reported_failing(&self, now: f64) -> bool {
        now - self.reported_failing_at < REPORTED_FAILING_WINDOW_S
    }

    /// Applies a credible peer report of failures: raises the mean time lost as if this router had
    /// seen a failure.
    pub fn apply_reported_failure(&mut self, now: f64) {
        self.failure_cost
            .raise_to(REPORTED_FAILURE_COST_S, now, FAILURE_HALF_LIFE_S);
    }

    /// Returns whether the server is excluded from new attempts at this time.
    pub fn is_excluded(&self, now: f64) -> bool {
        now < self.excluded_until
    }

    /// Returns whether both the last load report, at `reported_at`, and the last probe are too old
    /// to rely on.
    pub fn needs_probe(&self, reported_at: f64, now: f64) -> bool {
        now - reported_at.max(self.probe_sent_at) > MIN_PROBE_INTERVAL_S
    }

    pub fn probe_sent(&mut self, now: f64) {
        self.probe_sent_at = now;
        self.probe_in_flight = true;
    }

    pub fn probe_ended(&mut self) {
        self.probe_in_flight = false;
    }

    /// Delay, in seconds, that the probe in flight counts as: 0 until the probe has waited for
    /// about `wait_s` seconds, then [`UNANSWERED_PROBE_AGE_FACTOR`] times its age.
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
