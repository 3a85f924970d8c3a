//! Exponentially decaying rates and sums over a sliding window.

use std::time::Duration;

/// An exponentially decaying rate of events: an amount loses weight with the decay time as its time constant.
#[derive(Clone, Debug)]
pub struct DecayingRate {
    decay_time_s: f64,
    /// The decayed sum of all amounts.
    sum: f64,
    /// Time to which `sum` is decayed.
    at: Duration,
    /// When the first amount was added. Until several decay times have passed, the rate is normalized by the time since then.
    since: Option<Duration>,
}

impl DecayingRate {
    pub fn new(decay_time: Duration) -> DecayingRate {
        DecayingRate {
            decay_time_s: decay_time.as_secs_f64(),
            sum: 0.0,
            at: Duration::ZERO,
            since: None,
        }
    }

    fn sum_at(&self, now: Duration) -> f64 {
        self.sum * (-now.saturating_sub(self.at).as_secs_f64() / self.decay_time_s).exp()
    }

    pub fn add(&mut self, now: Duration, amount: f64) {
        if amount.is_finite() && amount > 0.0 {
            self.sum = self.sum_at(now) + amount;
            (self.at, self.since) = (self.at.max(now), self.since.or(Some(now)));
        }
    }

    /// The rate per second. The averaging time is at least a fifth of the decay time, so that the first event gives no huge rate.
    pub fn per_s(&self, now: Duration) -> f64 {
        let Some(since) = self.since else { return 0.0 };
        let elapsed_s = now.saturating_sub(since).as_secs_f64();
        let averaging_s = self.decay_time_s * (1.0 - (-elapsed_s / self.decay_time_s).exp());
        self.sum_at(now) / averaging_s.max(self.decay_time_s * 0.2)
    }
}

/// Number of buckets that cover the length of a sliding window.
const BUCKETS: usize = 10;

/// A sum over a sliding window, kept in buckets. It covers up to one bucket more than the window, never less.
#[derive(Clone, Debug)]
pub struct SlidingSum {
    /// Length of time of one bucket.
    bucket: Duration,
    sums: [f64; BUCKETS + 1],
    /// Number of the newest bucket, counted from time 0 in bucket lengths.
    newest: u128,
}

impl SlidingSum {
    pub fn new(length: Duration) -> SlidingSum {
        SlidingSum {
            bucket: length / BUCKETS as u32,
            sums: [0.0; BUCKETS + 1],
            newest: 0,
        }
    }

    fn advance(&mut self, now: Duration) {
        let number = now.as_micros() / self.bucket.as_micros().max(1);
        let passed = number.saturating_sub(self.newest);
        for i in 1..=passed.min(BUCKETS as u128 + 1) {
            self.sums[((self.newest + i) % (BUCKETS as u128 + 1)) as usize] = 0.0;
        }
        self.newest = self.newest.max(number);
    }

    pub fn add(&mut self, now: Duration, amount: f64) {
        self.advance(now);
        self.sums[(self.newest % (BUCKETS as u128 + 1)) as usize] += amount;
    }

    pub fn sum(&mut self, now: Duration) -> f64 {
        self.advance(now);
        self.sums.iter().sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(n: u64) -> Duration {
        Duration::from_millis(1_000_000 + n)
    }

    #[test]
    fn rate_is_correct_before_one_decay_time_and_decays() {
        let mut rate = DecayingRate::new(Duration::from_secs(1));
        for i in 0..500 {
            rate.add(ms(2 * i), 0.5);
        }
        assert!(
            (rate.per_s(ms(1000)) - 250.0).abs() < 3.0,
            "{}",
            rate.per_s(ms(1000))
        );
        assert!(rate.per_s(ms(4000)) < 15.0);
        rate.add(ms(4000), f64::NAN);
        assert!(rate.per_s(ms(4000)).is_finite());
    }

    #[test]
    fn sum_covers_the_whole_window_and_nothing_long_past() {
        let mut window = SlidingSum::new(Duration::from_secs(5));
        for i in 0..100 {
            window.add(ms(100 * i), 1.0);
        }
        assert!(
            (50.0..=55.0).contains(&window.sum(ms(9_900))),
            "{}",
            window.sum(ms(9_900))
        );
        assert_eq!(window.sum(ms(90_000)), 0.0);
        window.add(ms(10), 1.0);
        assert_eq!(
            window.sum(ms(90_000)),
            1.0,
            "an amount added with an earlier time is still counted"
        );
    }
}
