//! Token bucket rate limiter: refills at a constant rate up to a burst size.

/// A token bucket whose level may be negative: a request's true usage is known only after the model server has
/// processed it and may exceed the estimate. Refills make up the deficit before further tokens can be taken.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    /// Refill rate, tokens per second.
    rate: f64,
    /// Capacity: the maximum number of tokens that accumulate.
    burst: f64,
    /// Tokens available at `updated_at_s`; negative is a deficit.
    level: f64,
    /// Time of the last refill, seconds.
    updated_at_s: f64,
}

/// Why a budget cannot cover a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InsufficientBudget {
    /// Enough tokens will be available after this many seconds, if no other request takes any.
    RetryAfter(f64),
    /// The request needs more tokens than the budget can ever hold, or the rate is 0.
    Never,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate: f64, burst: f64, now_s: f64) -> TokenBucket {
        TokenBucket {
            rate,
            burst,
            level: burst,
            updated_at_s: now_s,
        }
    }

    fn refill(&mut self, now_s: f64) {
        // After the clock is set back nothing is added until it passes `updated_at_s`, so that no interval counts twice.
        if now_s > self.updated_at_s {
            self.level = (self.level + (now_s - self.updated_at_s) * self.rate).min(self.burst);
            self.updated_at_s = now_s;
        }
    }

    /// Checks whether `amount` tokens can be taken while `floor` tokens, reserved for other classes, remain.
    ///
    /// # Errors
    /// [`InsufficientBudget`], with the time after which to retry.
    pub fn check(&mut self, now_s: f64, amount: f64, floor: f64) -> Result<(), InsufficientBudget> {
        self.refill(now_s);
        let missing = amount + floor - self.level;
        if missing <= 0.0 {
            Ok(())
        } else if amount + floor > self.burst || self.rate <= 0.0 {
            Err(InsufficientBudget::Never)
        } else {
            // If the clock was set back, refilling starts only when it reaches `updated_at_s` again.
            Err(InsufficientBudget::RetryAfter(
                missing / self.rate + (self.updated_at_s - now_s).max(0.0),
            ))
        }
    }

    /// Takes `amount` tokens without a check; the level may become negative.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Returns tokens that were taken and not used, up to the burst size.
    pub fn refund(&mut self, amount: f64) {
        self.level = (self.level + amount).min(self.burst);
    }

    /// Tokens available at `now_s`; negative is a deficit.
    pub fn level(&mut self, now_s: f64) -> f64 {
        self.refill(now_s);
        self.level
    }

    /// Seconds until the bucket is full if no tokens are taken; infinite at a rate of 0.
    pub fn time_until_full_s(&mut self, now_s: f64) -> f64 {
        self.refill(now_s);
        if self.rate <= 0.0 {
            return f64::INFINITY;
        }
        (self.burst - self.level).max(0.0) / self.rate + (self.updated_at_s - now_s).max(0.0)
    }

    /// Sets a new rate and burst. The level stays, capped at the new burst. A larger burst is filled only by refills:
    /// if it were filled at once, a lease that shrinks and grows repeatedly would yield the burst each time.
    pub fn set_limits(&mut self, now_s: f64, rate: f64, burst: f64) {
        self.refill(now_s);
        (self.rate, self.burst) = (rate, burst);
        self.level = self.level.min(burst);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn refills_over_time_and_reports_when_to_retry() {
        let mut b = TokenBucket::new(10.0, 100.0, 0.0);
        assert_eq!(b.check(0.0, 100.0, 0.0), Ok(()));
        b.take(100.0);
        assert_eq!(
            b.check(0.0, 30.0, 0.0),
            Err(InsufficientBudget::RetryAfter(3.0))
        );
        assert_eq!(b.check(3.0, 30.0, 0.0), Ok(()));
        assert_eq!(
            b.check(3.0, 30.0, 20.0),
            Err(InsufficientBudget::RetryAfter(2.0)),
            "the reserve is not used"
        );
        assert_eq!(b.check(3.0, 101.0, 0.0), Err(InsufficientBudget::Never));
        assert_eq!(b.level(1e9), 100.0, "capped at the burst");
    }

    #[test]
    fn deficit_is_refilled_first_and_setting_the_clock_back_adds_nothing() {
        let mut b = TokenBucket::new(10.0, 100.0, 100.0);
        b.take(150.0);
        assert_eq!(
            b.check(100.0, 10.0, 0.0),
            Err(InsufficientBudget::RetryAfter(6.0))
        );
        assert_eq!(
            b.check(40.0, 10.0, 0.0),
            Err(InsufficientBudget::RetryAfter(66.0)),
            "the clock was set back by a minute"
        );
        assert_eq!(b.level(105.0), 0.0);
        assert_eq!(b.level(50.0), 0.0);
        assert_eq!(
            b.level(105.0),
            0.0,
            "the same interval does not count twice"
        );
        b.refund(500.0);
        assert_eq!(b.level(105.0), 100.0);
    }
}
