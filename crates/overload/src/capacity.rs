//! Estimates what the servers can do and how much may be admitted, from completed and waiting work instead of from nominal figures.

use std::time::Duration;

use crate::ClusterTotals;

/// Time within which the admission rate brings the backlog back to its target, seconds.
const BACKLOG_CORRECTION_S: f64 = 1.0;
/// Time constant with which the capacity estimate rises towards the completion rate, seconds.
const INCREASE_TIME_S: f64 = 0.5;
/// Time constant with which the capacity estimate falls towards the completion rate, seconds.
const DECREASE_TIME_S: f64 = 0.7;
/// Bounds of the capacity estimate, work per second as a multiple of the total weight of the ready servers that can prefill.
const MIN_CAPACITY_PER_WEIGHT: f64 = 0.05;
const MAX_CAPACITY_PER_WEIGHT: f64 = 50.0;
/// Time to first token, as a fraction of the latency objective, above which the target backlog shrinks.
const MAX_TTFT_RATIO: f64 = 0.4;
/// Limit on the queue that servers report, as a multiple of the dispatchers' own count of waiting work.
const MAX_REPORTED_BACKLOG_RATIO: f64 = 2.0;
/// Rate at which this dispatcher's capacity estimate approaches the median of all dispatchers' estimates, per second.
const CONSENSUS_RATE_PER_S: f64 = 1.0;
/// Time for which servers must have been busy before the completion rate counts as their capacity, seconds.
const LEARNING_TIME_S: f64 = 0.4;
/// Requests admitted per server until the capacity is known.
const LEARNING_REQUESTS_PER_SERVER: f64 = 3.0;

/// Estimate of the work that the servers can do per second. Work is in seconds of a server of weight 1.
#[derive(Clone, Debug, Default)]
pub struct CapacityEstimator {
    work_per_s: f64,
    /// When the estimate was last updated.
    at: Option<Duration>,
    /// For how long servers have been seen busy, seconds; up to [`LEARNING_TIME_S`] the estimate, work per second, is at least the servers'
    /// total weight.
    busy_s: f64,
}

/// How much work may be admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdmissibleLoad {
    /// Work that the servers can do per second.
    pub capacity: f64,
    /// Work that may be admitted per second at present.
    pub admit_rate: f64,
    /// Work that may wait at servers.
    pub max_backlog: f64,
}

impl CapacityEstimator {
    /// The present estimate, work per second; 0 before the first update.
    pub fn per_s(&self) -> f64 {
        self.work_per_s
    }

    /// Updates the estimate from the cluster's totals. `wait_s` is the time for which work may wait at servers, seconds; `share` is
    /// the fraction of the servers' capacity that the dispatchers in `totals` may use.
    pub fn update(
        &mut self,
        now: Duration,
        totals: &ClusterTotals,
        wait_s: f64,
        share: f64,
    ) -> AdmissibleLoad {
        let weight = (totals.server_weight * share).max(0.01);
        let elapsed_s = self
            .at
            .map_or(0.0, |at| now.saturating_sub(at).as_secs_f64().min(1.0));
        if self.busy_s < LEARNING_TIME_S {
            self.work_per_s = self.work_per_s.max(weight);
        }
        self.at = Some(now);
        let waiting = waiting_work(totals);
        // One request at each server is being processed and doesn't wait.
        let in_service = weight * totals.mean_request_work;
        // Until the capacity is known, a few requests per server are admitted to measure it; more would exceed the latency objective.
        let learning = self.busy_s < LEARNING_TIME_S;
        let learning_backlog = if totals.mean_request_work > 0.0 {
            LEARNING_REQUESTS_PER_SERVER * in_service
        } else {
            0.25 * wait_s * self.work_per_s
        };
        let full = if learning {
            0.7 * learning_backlog
        } else {
            f64::INFINITY
        };
        let busy = waiting > (in_service + 0.5 * wait_s * self.work_per_s).min(full);
        self.busy_s += if busy { elapsed_s } else { 0.0 };
        let step = |time_s: f64| 1.0 - (-elapsed_s / time_s).exp();
        if totals.completed > self.work_per_s {
            self.work_per_s += (totals.completed - self.work_per_s) * step(INCREASE_TIME_S);
        } else if busy && self.busy_s >= LEARNING_TIME_S {
            self.work_per_s += (totals.completed - self.work_per_s) * step(DECREASE_TIME_S);
        }
        if totals.capacity > 0.0 && totals.members > 1.0 && share >= 1.0 {
            self.work_per_s +=
                (totals.capacity - self.work_per_s) * step(1.0 / CONSENSUS_RATE_PER_S) * 0.5;
        }
        self.work_per_s = self.work_per_s.clamp(
            weight * MIN_CAPACITY_PER_WEIGHT,
            weight * MAX_CAPACITY_PER_WEIGHT,
        );
        let reduction = if totals.ttft_ratio > MAX_TTFT_RATIO {
            MAX_TTFT_RATIO / totals.ttft_ratio
        } else {
            1.0
        };
        let max_backlog = in_service + self.work_per_s * wait_s * reduction.max(0.25);
        let admit_rate = self.work_per_s + (max_backlog - waiting) / BACKLOG_CORRECTION_S;
        let max_backlog = if learning {
            max_backlog.min(learning_backlog)
        } else {
            max_backlog
        };
        AdmissibleLoad {
            capacity: self.work_per_s,
            admit_rate: admit_rate.max(0.05 * self.work_per_s),
            max_backlog,
        }
    }
}

/// Work that waits at servers: the dispatchers' own count, or what the servers report if that is more, within bounds. A server that
/// reports a shorter queue is not believed.
fn waiting_work(totals: &ClusterTotals) -> f64 {
    totals.backlog.max(
        totals
            .queued_at_servers
            .min(MAX_REPORTED_BACKLOG_RATIO * totals.backlog),
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Simulates `steps` of 100 ms with servers that do `can` work per second, queue the rest and report `reported_queue`. Returns the
    /// capacity estimate and the final wait in seconds.
    fn simulate(
        estimator: &mut CapacityEstimator,
        at: &mut u64,
        can: f64,
        demand: f64,
        reported_queue: f64,
        steps: u32,
    ) -> (f64, f64) {
        let (mut backlog, mut admissible, mut longest_wait) = (
            0.0f64,
            AdmissibleLoad {
                admit_rate: demand,
                ..AdmissibleLoad::default()
            },
            0.0f64,
        );
        for _ in 0..steps {
            *at += 100;
            backlog += admissible.admit_rate.min(demand) * 0.1;
            let done = backlog.min(can * 0.1);
            backlog -= done;
            let totals = ClusterTotals {
                completed: done * 10.0,
                backlog,
                queued_at_servers: reported_queue,
                server_weight: 5.0,
                members: 1.0,
                ..ClusterTotals::default()
            };
            admissible = estimator.update(Duration::from_millis(*at), &totals, 0.4, 1.0);
            longest_wait = longest_wait.max(backlog / can);
        }
        (admissible.capacity, backlog / can)
    }

    #[test]
    fn estimate_finds_the_capacity_whatever_servers_report_and_bounds_the_wait() {
        for can in [1.0, 5.0, 20.0] {
            for reported_queue in [0.0, 1e9] {
                let mut estimator = CapacityEstimator::default();
                let (found, wait) =
                    simulate(&mut estimator, &mut 0, can, 100.0, reported_queue, 200);
                assert!(
                    (found / can - 1.0).abs() < 0.1,
                    "{can}, {reported_queue}: {found}"
                );
                assert!(wait < 0.6, "{can}, {reported_queue}: {wait}");
            }
        }
    }

    #[test]
    fn estimate_follows_servers_that_slow_down_to_half() {
        let (mut estimator, mut at) = (CapacityEstimator::default(), 0);
        simulate(&mut estimator, &mut at, 10.0, 100.0, 0.0, 200);
        let (found, wait) = simulate(&mut estimator, &mut at, 5.0, 100.0, 0.0, 60);
        assert!((found - 5.0).abs() < 1.0 && wait < 1.0, "{found} {wait}");
    }
}
