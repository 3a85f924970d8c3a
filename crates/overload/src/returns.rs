//! When the clients of rejected requests may retry, and which requests are such retries. The retries are spread so that together they
//! fit the capacity reserved for them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::order::hash_to_unit;

/// Number of rejected requests that are remembered; beyond it the oldest is forgotten and its retry counts as a new request.
const MAX_REJECTED: usize = 16 * 1024;
/// How long a rejected request is remembered.
const REJECTED_LIFETIME: Duration = Duration::from_secs(30);
/// The shortest delay before a retry, seconds.
const MIN_DELAY_S: f64 = 0.2;

/// Schedule of the capacity reserved for retries, and the requests rejected lately.
#[derive(Debug)]
pub struct RetryAfterSchedule {
    /// The longest delay that may be returned, seconds.
    max_delay_s: f64,
    /// State of the random number generator.
    random_state: u64,
    /// Reserved capacity up to this time is already allocated to retries.
    allocated_until: Duration,
    /// Time of the latest rejection by fingerprint of the request.
    rejected: BTreeMap<u64, Duration>,
    /// Rejections from the oldest to the newest.
    order: VecDeque<(Duration, u64)>,
}

impl RetryAfterSchedule {
    /// `max_delay_s` is the longest delay that clients honour, seconds.
    pub fn new(max_delay_s: f64, seed: u64) -> RetryAfterSchedule {
        let max_delay_s = if max_delay_s.is_finite() {
            max_delay_s.max(0.0)
        } else {
            1.0
        };
        RetryAfterSchedule {
            max_delay_s,
            random_state: seed,
            allocated_until: Duration::ZERO,
            rejected: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// A random number in [0, 1).
    fn draw(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(1);
        hash_to_unit(self.random_state)
    }

    /// The delay in seconds after which a request of this much work may be retried, where `retry_capacity` is the work per second
    /// reserved for retries at this dispatcher. Each retry is allocated the next free interval of that capacity. A retry that would
    /// have to wait longer than the limit gets a random delay from half the limit up to the limit, and is then decided on afresh.
    pub fn delay_s(&mut self, now: Duration, work: f64, retry_capacity: f64) -> f64 {
        let length_s = work.max(0.0) / retry_capacity.max(1e-6);
        let earliest = now + Duration::from_secs_f64(MIN_DELAY_S.min(self.max_delay_s));
        let begin = self.allocated_until.max(earliest);
        let wait_s = begin.saturating_sub(now).as_secs_f64();
        let draw = self.draw();
        if wait_s + length_s > self.max_delay_s {
            return self.max_delay_s * (0.5 + 0.5 * draw);
        }
        self.allocated_until = begin + Duration::from_secs_f64(length_s);
        // At random within the allocated interval, so that retries are not synchronized and none comes before its capacity is free.
        wait_s + length_s * draw
    }

    /// Remembers the fingerprint of a rejected request.
    pub fn record_rejection(&mut self, now: Duration, fingerprint: u64) {
        if self.rejected.insert(fingerprint, now).is_none() || self.order.len() < 2 * MAX_REJECTED {
            self.order.push_back((now, fingerprint));
        }
        while self.order.front().is_some_and(|(at, _)| {
            self.rejected.len() > MAX_REJECTED || now.saturating_sub(*at) >= REJECTED_LIFETIME
        }) {
            let Some((at, oldest)) = self.order.pop_front() else {
                break;
            };
            if self.rejected.get(&oldest) == Some(&at) {
                self.rejected.remove(&oldest);
            }
        }
    }

    /// Whether a request with this fingerprint was rejected lately, so that this one is its retry.
    pub fn is_retry(&self, now: Duration, fingerprint: u64) -> bool {
        self.rejected
            .get(&fingerprint)
            .is_some_and(|at| now.saturating_sub(*at) < REJECTED_LIFETIME)
    }

    /// Forgets the rejection of a request that is now admitted: a later request with the same fingerprint is not a retry of it.
    pub fn record_admission(&mut self, fingerprint: u64) {
        self.rejected.remove(&fingerprint);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn rejected_requests_are_bounded_in_number_and_expire() {
        let mut schedule = RetryAfterSchedule::new(5.0, 1);
        let at = Duration::from_secs(100);
        for i in 0..100_000 {
            schedule.record_rejection(at, i % 40_000);
        }
        assert!(
            schedule.rejected.len() <= MAX_REJECTED && schedule.order.len() <= 2 * MAX_REJECTED
        );
        assert!(schedule.is_retry(at, 19_999));
        assert!(!schedule.is_retry(at + REJECTED_LIFETIME, 19_999));
        schedule.record_admission(19_999);
        assert!(!schedule.is_retry(at, 19_999));
    }

    proptest! {
        /// Over any interval, the work of the retries scheduled in it exceeds the reserved capacity by at most two requests.
        #[test]
        fn scheduled_retries_fit_the_reserved_capacity(
            rejected in prop::collection::vec((0u64..50, 0.01f64..0.5), 1..300), retry_capacity in 0.2f64..20.0, seed: u64,
        ) {
            let mut schedule = RetryAfterSchedule::new(1e6, seed);
            let (mut now, mut retries) = (Duration::from_secs(1000), Vec::new());
            for (gap, work) in rejected {
                now += Duration::from_millis(gap);
                retries.push((now.as_secs_f64() + schedule.delay_s(now, work, retry_capacity), work));
            }
            retries.sort_by(|a, b| a.0.total_cmp(&b.0));
            let largest = retries.iter().map(|r| r.1).fold(0.0, f64::max);
            for from in 0..retries.len() {
                let mut sum = 0.0;
                for (at, work) in &retries[from..] {
                    sum += work;
                    prop_assert!(sum <= (at - retries[from].0) * retry_capacity + 2.0 * largest + 1e-6);
                }
            }
        }

        #[test]
        fn delays_at_the_limit_are_spread(seed: u64, max_delay_s in 0.5f64..10.0) {
            let mut schedule = RetryAfterSchedule::new(max_delay_s, seed);
            let at = Duration::from_secs(9);
            let waits: Vec<f64> = (0..400).map(|_| schedule.delay_s(at, 1.0, 0.1)).collect();
            prop_assert!(waits.iter().all(|w| (0.0..=max_delay_s).contains(w)));
            let early = waits.iter().filter(|w| **w < 0.75 * max_delay_s).count();
            prop_assert!((130..270).contains(&early), "{early}");
        }
    }
}
