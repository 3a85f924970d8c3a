//! The retry budget that all dispatchers share: retried work may be at most a tenth of the new work that the cluster admitted in any
//! 5 s. Each dispatcher spends its own fraction of the budget.

use std::time::Duration;

use crate::io::AdmissionThreshold;
use crate::window::SlidingSum;

/// Work that may be retried, as a fraction of the new work of the same window.
const RETRY_RATIO: f64 = 0.1;
/// Length of the window over which new and retried work are summed.
const WINDOW: Duration = Duration::from_secs(5);

/// New and retried work that this dispatcher admitted within the window, seconds of a server of weight 1.
#[derive(Debug)]
pub struct RetryBudget {
    /// Fraction of the cluster's budget that this dispatcher may spend without a lease.
    unleased_share: f64,
    retry_work: SlidingSum,
    new_work: SlidingSum,
}

impl RetryBudget {
    /// `unleased_share` is the fraction of the cluster's retry budget that this dispatcher may spend without a lease, even when it knows
    /// nothing of the other dispatchers.
    pub fn new(unleased_share: f64) -> RetryBudget {
        RetryBudget {
            unleased_share,
            retry_work: SlidingSum::new(WINDOW),
            new_work: SlidingSum::new(WINDOW),
        }
    }

    /// Counts admitted work that is not a retry.
    pub fn add_new_work(&mut self, now: Duration, work: f64) {
        self.new_work.add(now, work);
    }

    /// New and retried work of the last 5 s.
    pub fn sums(&mut self, now: Duration) -> (f64, f64) {
        (self.new_work.sum(now), self.retry_work.sum(now))
    }

    /// Whether this dispatcher may retry this much work at `now`; if so, the work is charged to the retry budget. The dispatcher may spend
    /// its unleased fraction of the cluster's budget and, until the lease given in `threshold` expires, the leased fraction too. The
    /// cluster's budget is a tenth of the work, other than retries, that the cluster admitted in the last 5 s as given in a valid
    /// `threshold`, or of that which this dispatcher itself admitted if that is more or `threshold` has expired. If this dispatcher has
    /// charged no retry in the last 5 s, a retry of any size is allowed, unless a valid threshold rejects requests.
    pub fn try_spend(
        &mut self,
        now: Duration,
        work: f64,
        threshold: Option<&AdmissionThreshold>,
    ) -> bool {
        let valid = threshold.filter(|t| now < t.valid_until);
        let leased_share = threshold
            .filter(|t| now < t.budget_share_until)
            .map_or(0.0, |t| t.budget_share.get().min(1.0));
        let own_new_work = self.new_work.sum(now);
        let new_work = valid.map_or(own_new_work, |t| t.new_work.get().max(own_new_work));
        let retry_work = self.retry_work.sum(now);
        let first = retry_work == 0.0 && valid.is_none_or(|t| t.rank.get() == 0.0);
        let allowed = first
            || retry_work + work
                <= RETRY_RATIO * new_work * (self.unleased_share + leased_share).min(1.0);
        if allowed {
            self.retry_work.add(now, work);
        }
        allowed
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Millionths;
    use proptest::prelude::*;

    proptest! {
        /// Whichever dispatcher spends when, the cluster retries at most a tenth of its new work in any 5 s, also if a lease expires
        /// in between.
        #[test]
        fn cluster_retries_at_most_a_tenth_of_new_work(
            requests in prop::collection::vec((0usize..4, 0u64..200, 0.01f64..0.4), 1..200), lease_end_ms in 0u64..15_000,
        ) {
            let new_work = 40.0;
            let mut budgets: Vec<RetryBudget> = (0..4).map(|_| RetryBudget::new(0.025)).collect();
            let threshold = AdmissionThreshold {
                valid_until: Duration::from_secs(3600), rank: Millionths::of(3.0), new_work: Millionths::of(new_work),
                budget_share: Millionths::of(0.225), budget_share_until: Duration::from_millis(lease_end_ms), ..AdmissionThreshold::default()
            };
            let (mut now, mut done) = (Duration::from_millis(1), Vec::new());
            for (dispatcher, gap, work) in requests {
                now += Duration::from_millis(gap);
                if budgets[dispatcher].try_spend(now, work, Some(&threshold)) {
                    done.push((now, work));
                }
            }
            for (from, _) in &done {
                let within = done.iter().filter(|(at, _)| at >= from && *at < *from + WINDOW);
                prop_assert!(within.map(|d| d.1).sum::<f64>() <= RETRY_RATIO * new_work + 1e-9);
            }
        }
    }

    #[test]
    fn without_a_threshold_the_unleased_share_of_own_new_work_is_spent() {
        let mut budget = RetryBudget::new(0.1);
        budget.add_new_work(Duration::from_secs(10), 100.0);
        let at = Duration::from_secs(11);
        let done = (0..50).filter(|_| budget.try_spend(at, 0.1, None)).count();
        assert_eq!(done, 10);
    }
}
