//! Rates and sums that fade by time.

use std::time::Duration;

/// A rate over the time just gone: what came fades with this time constant.
#[derive(Clone, Debug)]
pub struct Rate {
    fades: f64,
    sum: f64,
    at: Duration,
    /// Since when it has been counted: a young rate is judged by the time that it has had.
    since: Option<Duration>,
}

impl Rate {
    pub fn new(fades: Duration) -> Rate {
        Rate {
            fades: fades.as_secs_f64(),
            sum: 0.0,
            at: Duration::ZERO,
            since: None,
        }
    }

    fn sum_at(&self, now: Duration) -> f64 {
        self.sum * (-now.saturating_sub(self.at).as_secs_f64() / self.fades).exp()
    }

    pub fn add(&mut self, now: Duration, what: f64) {
        if what.is_finite() && what > 0.0 {
            self.sum = self.sum_at(now) + what;
            (self.at, self.since) = (self.at.max(now), self.since.or(Some(now)));
        }
    }

    /// A second.
    pub fn per_s(&self, now: Duration) -> f64 {
        let Some(since) = self.since else { return 0.0 };
        let had = now.saturating_sub(since).as_secs_f64();
        let whole = self.fades * (1.0 - (-had / self.fades).exp());
        self.sum_at(now) / whole.max(self.fades * 0.2)
    }
}

/// Parts that a span is counted in.
const PARTS: usize = 10;

/// The sum over a whole span just gone, never less than what came in it.
#[derive(Clone, Debug)]
pub struct Span {
    part: Duration,
    sums: [f64; PARTS + 1],
    /// Number of the newest part.
    newest: u128,
}

impl Span {
    pub fn new(whole: Duration) -> Span {
        Span {
            part: whole / PARTS as u32,
            sums: [0.0; PARTS + 1],
            newest: 0,
        }
    }

    fn turn(&mut self, now: Duration) {
        let number = now.as_micros() / self.part.as_micros().max(1);
        let gone = number.saturating_sub(self.newest);
        for i in 1..=gone.min(PARTS as u128 + 1) {
            self.sums[((self.newest + i) % (PARTS as u128 + 1)) as usize] = 0.0;
        }
        self.newest = self.newest.max(number);
    }

    pub fn add(&mut self, now: Duration, what: f64) {
        self.turn(now);
        self.sums[(self.newest % (PARTS as u128 + 1)) as usize] += what;
    }

    pub fn sum(&mut self, now: Duration) -> f64 {
        self.turn(now);
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
    fn a_rate_is_right_while_young_and_fades() {
        let mut rate = Rate::new(Duration::from_secs(1));
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
    fn a_span_holds_all_that_came_in_it_and_nothing_long_after() {
        let mut span = Span::new(Duration::from_secs(5));
        for i in 0..100 {
            span.add(ms(100 * i), 1.0);
        }
        assert!(
            (50.0..=55.0).contains(&span.sum(ms(9_900))),
            "{}",
            span.sum(ms(9_900))
        );
        assert_eq!(span.sum(ms(90_000)), 0.0);
        span.add(ms(10), 1.0);
        assert_eq!(
            span.sum(ms(90_000)),
            1.0,
            "a clock that seems to go back loses nothing"
        );
    }
}
