//! The latest load report of each dispatcher, which loses weight with its age, and the cluster's totals computed from them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::Process;

use crate::order::LEVELS;
use crate::LoadReport;

/// Age up to which a load report has its full weight in the totals. From then on the weight falls linearly to 0.
const FULL_WEIGHT_AGE: Duration = Duration::from_millis(1000);
/// Age at which a load report has no weight in the totals and is removed.
const MAX_AGE: Duration = Duration::from_millis(2500);
/// Multiple of the median over all dispatchers' reports above which a value in a load report is an outlier and is limited to that multiple.
const OUTLIER_RATIO: f64 = 10.0;
/// Least median that values are compared with to find outliers, so that no small value is an outlier; in seconds of work, or seconds of
/// work per second for rates.
const MIN_OUTLIER_MEDIAN: f64 = 0.5;
/// Number of dispatchers, including this one, from which on the median is meaningful and outliers are limited.
const MIN_MEMBERS_FOR_MEDIAN: usize = 3;

/// A load report that was received from another dispatcher.
struct ReceivedReport {
    /// Start number of the sending process.
    start: u64,
    received_at: Duration,
    report: LoadReport,
}

/// The load of the whole cluster. Work is in seconds of a server of weight 1, rates are per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterTotals {
    /// Sum of the work, per second, of all requests that are not retries, whether admitted or not, by priority level.
    pub demand: Vec<f64>,
    /// Sum of the work admitted per second.
    pub admitted: f64,
    /// Sum of the work whose first token was received, per second.
    pub completed: f64,
    /// Sum of the admitted work that waits for its first token.
    pub backlog: f64,
    /// Sum of the admitted work of the last 5 s that retries nothing.
    pub new_work: f64,
    /// Sum of the work of the last 5 s that was charged to the retry budget.
    pub retry_work: f64,
    /// Median, over the dispatchers with a backlog, of the mean work of the requests that wait for their first token.
    pub mean_request_work: f64,
    /// Median, over the dispatchers' reports, of the work that is queued at all servers according to the servers' own load reports.
    pub queued_at_servers: f64,
    /// Median, over the dispatchers' reports, of the total weight of all ready servers that can prefill.
    pub server_weight: f64,
    /// Median, over the dispatchers' reports, of the mean time to first token as a fraction of the latency objective.
    pub ttft_ratio: f64,
    /// Median, over the dispatchers' reports, of the estimated work that all servers together can do per second.
    pub capacity: f64,
    /// Mean of the admission thresholds (ranks) of the other dispatchers, weighted by the age of their reports; this dispatcher's own
    /// threshold if there are no reports.
    pub threshold: f64,
    /// Number of dispatchers: this one counts as 1, each other one as the weight, from 0 to 1, of its report.
    pub members: f64,
    /// Dispatchers that reported an outlier, which was limited.
    pub outliers: BTreeSet<NameKey>,
}

impl ClusterTotals {
    /// Demand summed over all priority levels, work per second.
    pub fn total_demand(&self) -> f64 {
        self.demand.iter().sum()
    }
}

/// The latest load reports of the other dispatchers, at most one for each name on the cluster's roster.
#[derive(Default)]
pub struct LoadReports(BTreeMap<NameKey, ReceivedReport>);

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    match values.len() {
        0 => 0.0,
        n => (values[(n - 1) / 2] + values[n / 2]) / 2.0,
    }
}

impl LoadReports {
    /// Stores a received report, unless the stored one of the same dispatcher is as new or newer.
    pub fn receive(&mut self, now: Duration, from: Process, report: LoadReport) {
        let stored = self.0.get(&from.name).map(|r| (r.start, r.report.sequence));
        if stored.is_none_or(|stored| stored < (from.start, report.sequence)) {
            self.0.insert(
                from.name,
                ReceivedReport {
                    start: from.start,
                    received_at: now,
                    report,
                },
            );
        }
    }

    /// Removes reports that have lost all weight. Until then the start and sequence numbers are kept, so that delayed datagrams of a
    /// dispatcher's earlier process are ignored.
    pub fn remove_expired(&mut self, now: Duration) {
        self.0
            .retain(|_, r| now.saturating_sub(r.received_at) < MAX_AGE);
    }

    /// The weight in the totals of a report received at this time.
    fn weight(now: Duration, received_at: Duration) -> f64 {
        let age = now.saturating_sub(received_at);
        let decline_s = (MAX_AGE - FULL_WEIGHT_AGE).as_secs_f64();
        (1.0 - age.saturating_sub(FULL_WEIGHT_AGE).as_secs_f64() / decline_s).clamp(0.0, 1.0)
    }

    /// The totals of this dispatcher's report and all received ones. `cluster_size` is the number of reachable dispatchers if only a
    /// sample of them sends reports here: the sums are then extrapolated from the sample.
    pub fn totals(
        &self,
        now: Duration,
        own: &LoadReport,
        cluster_size: Option<usize>,
    ) -> ClusterTotals {
        let received: Vec<(NameKey, f64, &LoadReport)> = self
            .0
            .iter()
            .map(|(n, r)| (*n, Self::weight(now, r.received_at), &r.report))
            .collect();
        let weights: f64 = received.iter().map(|r| r.1).sum();
        let scale = cluster_size
            .filter(|_| weights > 0.0)
            .map_or(1.0, |size| (size as f64 - 1.0) / weights);
        let current =
            || std::iter::once(own).chain(received.iter().filter(|r| r.1 > 0.5).map(|r| r.2));
        let median_of = |value: fn(&LoadReport) -> f64| median(current().map(value).collect());
        let limits_outliers = received.len() + 1 >= MIN_MEMBERS_FOR_MEDIAN;
        let mut outliers = BTreeSet::new();
        // A value in a received report that is above the limit counts as the limit.
        let mut sum = |value_of: fn(&LoadReport) -> f64| {
            let limit = if limits_outliers {
                OUTLIER_RATIO * median_of(value_of).max(MIN_OUTLIER_MEDIAN)
            } else {
                f64::INFINITY
            };
            let limited = received.iter().map(|(name, weight, report)| {
                let value = value_of(report);
                if value > limit {
                    outliers.insert(*name);
                }
                value.min(limit) * weight
            });
            value_of(own) + scale * limited.sum::<f64>()
        };
        let (admitted, completed, backlog) = (
            sum(|r| r.admitted),
            sum(|r| r.completed),
            sum(|r| r.backlog),
        );
        let (new_work, retry_work) = (sum(|r| r.new_work), sum(|r| r.retry_work));
        // Only to find outliers of the total demand: the demand is summed by level below.
        sum(LoadReport::total_demand);
        let mut demand = vec![0.0; LEVELS];
        let limit = if limits_outliers {
            OUTLIER_RATIO * median_of(LoadReport::total_demand).max(MIN_OUTLIER_MEDIAN)
        } else {
            f64::INFINITY
        };
        for (i, level) in demand.iter_mut().enumerate() {
            let level_demand = |r: &LoadReport| r.demand.get(i).copied().unwrap_or(0.0);
            let limited =
                |r: &LoadReport| level_demand(r) * (limit / r.total_demand().max(1e-9)).min(1.0);
            *level = level_demand(own)
                + scale
                    * received
                        .iter()
                        .map(|(_, weight, r)| limited(r) * weight)
                        .sum::<f64>();
        }
        let thresholds = received
            .iter()
            .map(|(_, weight, r)| r.threshold.min(LEVELS as f64) * weight)
            .sum::<f64>();
        ClusterTotals {
            demand,
            admitted,
            completed,
            backlog,
            new_work,
            retry_work,
            mean_request_work: median(
                current()
                    .map(|r| r.mean_request_work)
                    .filter(|w| *w > 0.0)
                    .collect(),
            ),
            queued_at_servers: median_of(|r| r.queued_at_servers),
            server_weight: median_of(|r| r.server_weight),
            ttft_ratio: median_of(|r| r.ttft_ratio),
            capacity: median_of(|r| r.capacity),
            threshold: if weights > 0.0 {
                thresholds / weights
            } else {
                own.threshold
            },
            members: 1.0 + weights,
            outliers,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    fn report(sequence: u64, total_demand: f64) -> LoadReport {
        let mut demand = vec![0.0; LEVELS];
        demand[(sequence % 40) as usize] = total_demand;
        LoadReport {
            sequence,
            demand,
            completed: total_demand / 2.0,
            ..LoadReport::default()
        }
    }

    fn process(name: u32, start: u64) -> Process {
        Process {
            name: NameKey(name),
            start,
        }
    }

    #[test]
    fn outlier_is_limited_and_named_and_old_reports_lose_weight() {
        let mut reports = LoadReports::default();
        for name in 1..=3 {
            reports.receive(ms(0), process(name, 1), report(1, 2.0));
        }
        reports.receive(ms(0), process(9, 1), report(1, 1e6));
        let totals = reports.totals(ms(100), &report(1, 2.0), None);
        assert_eq!(totals.outliers, BTreeSet::from([NameKey(9)]));
        assert!(
            (totals.total_demand() - 28.0).abs() < 1e-9,
            "{}",
            totals.total_demand()
        );
        let later = reports.totals(ms(1750), &report(1, 2.0), None);
        assert!(later.members < totals.members && later.total_demand() < totals.total_demand());
        reports.remove_expired(ms(2500));
        assert_eq!(
            reports
                .totals(ms(2500), &report(1, 2.0), None)
                .total_demand(),
            2.0
        );
    }

    #[test]
    fn totals_are_extrapolated_from_a_sample() {
        let mut reports = LoadReports::default();
        for name in 1..=16 {
            reports.receive(ms(0), process(name, 1), report(1, 3.0));
        }
        assert!(
            (reports
                .totals(ms(0), &report(1, 3.0), Some(300))
                .total_demand()
                - 900.0)
                .abs()
                < 1e-6
        );
    }

    proptest! {
        /// Dispatchers that received the same latest reports have the same totals, whatever the order, loss and duplication of datagrams.
        #[test]
        fn totals_converge_after_any_order_loss_and_duplication(
            sent in prop::collection::vec((1u32..6, 1u64..3, 1u64..8, 0.0f64..9.0), 1..60),
            order in prop::collection::vec(any::<prop::sample::Index>(), 0..120),
        ) {
            // One report for each process and sequence number.
            let by_sequence: BTreeMap<(u32, u64, u64), f64> = sent.iter().map(|(n, s, k, a)| ((*n, *s, *k), *a)).collect();
            let all: Vec<_> = by_sequence.into_iter().collect();
            let (mut in_order, mut shuffled) = (LoadReports::default(), LoadReports::default());
            let receive = |reports: &mut LoadReports, ((name, start, sequence), total_demand): ((u32, u64, u64), f64)| {
                reports.receive(ms(5), process(name, start), report(sequence, total_demand));
            };
            all.iter().for_each(|one| receive(&mut in_order, *one));
            order.iter().for_each(|i| receive(&mut shuffled, *i.get(&all)));
            // The latest report of each dispatcher arrives at last, in another order.
            let latest: BTreeMap<u32, _> = all.iter().map(|one| (one.0 .0, *one)).collect();
            latest.into_values().rev().for_each(|one| receive(&mut shuffled, one));
            prop_assert_eq!(in_order.totals(ms(9), &report(1, 1.0), None), shuffled.totals(ms(9), &report(1, 1.0), None));
        }
    }
}
