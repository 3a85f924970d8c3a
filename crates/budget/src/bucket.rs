//! A rate with a burst: a bucket that fills by the clock.

/// Tokens to spend. May be in debt, as a prompt's true length is known only when it has been read; a debt is paid
/// off by the rate before anything new is taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Bucket {
    /// Tokens a second, and the most that are saved.
    rate: f64,
    burst: f64,
    level: f64,
    at_s: f64,
}

/// Why not enough is there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Short {
    /// There will be, after so many seconds in which nobody else takes any.
    For(f64),
    /// There never will be.
    Ever,
}

impl Bucket {
    /// A full one.
    pub fn new(rate: f64, burst: f64, now_s: f64) -> Bucket {
        Bucket {
            rate,
            burst,
            level: burst,
            at_s: now_s,
        }
    }

    fn fill(&mut self, now_s: f64) {
        // A clock that went back gives nothing, and what it gives again later is not given twice.
        if now_s > self.at_s {
            self.level = (self.level + (now_s - self.at_s) * self.rate).min(self.burst);
            self.at_s = now_s;
        }
    }

    /// Whether an amount can be taken and `floor` be left, a reserve that is somebody else's.
    ///
    /// # Errors
    /// [`Short`], with the time to come back.
    pub fn check(&mut self, now_s: f64, amount: f64, floor: f64) -> Result<(), Short> {
        self.fill(now_s);
        let missing = amount + floor - self.level;
        if missing <= 0.0 {
            Ok(())
        } else if amount + floor > self.burst || self.rate <= 0.0 {
            Err(Short::Ever)
        } else {
            // A clock that went back has the way to where it was before it, too.
            Err(Short::For(
                missing / self.rate + (self.at_s - now_s).max(0.0),
            ))
        }
    }

    /// Takes an amount, checked before or known only now.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Gives back what was taken and not used.
    pub fn give_back(&mut self, amount: f64) {
        self.level = (self.level + amount).min(self.burst);
    }

    /// What is there now; below 0 is a debt.
    pub fn level(&mut self, now_s: f64) -> f64 {
        self.fill(now_s);
        self.level
    }

    /// Seconds until it is full, if nobody takes any.
    pub fn full_in(&mut self, now_s: f64) -> f64 {
        self.fill(now_s);
        if self.rate <= 0.0 {
            return f64::INFINITY;
        }
        (self.burst - self.level).max(0.0) / self.rate + (self.at_s - now_s).max(0.0)
    }

    /// Another rate and burst from now on; what is saved stays, within the new burst. A larger burst is filled by the clock alone:
    /// given at once, it could be had again and again by parts that shrink and grow.
    pub fn change(&mut self, now_s: f64, rate: f64, burst: f64) {
        self.fill(now_s);
        (self.rate, self.burst) = (rate, burst);
        self.level = self.level.min(burst);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_fills_by_the_clock_and_tells_when_to_come_back() {
        let mut b = Bucket::new(10.0, 100.0, 0.0);
        assert_eq!(b.check(0.0, 100.0, 0.0), Ok(()));
        b.take(100.0);
        assert_eq!(b.check(0.0, 30.0, 0.0), Err(Short::For(3.0)));
        assert_eq!(b.check(3.0, 30.0, 0.0), Ok(()));
        assert_eq!(
            b.check(3.0, 30.0, 20.0),
            Err(Short::For(2.0)),
            "a reserve is not touched"
        );
        assert_eq!(b.check(3.0, 101.0, 0.0), Err(Short::Ever));
        assert_eq!(b.level(1e9), 100.0, "no more than the burst");
    }

    #[test]
    fn debts_are_paid_off_first_and_a_clock_that_goes_back_gives_nothing() {
        let mut b = Bucket::new(10.0, 100.0, 100.0);
        b.take(150.0);
        assert_eq!(b.check(100.0, 10.0, 0.0), Err(Short::For(6.0)));
        assert_eq!(
            b.check(40.0, 10.0, 0.0),
            Err(Short::For(66.0)),
            "set back by a minute"
        );
        assert_eq!(b.level(105.0), 0.0);
        assert_eq!(b.level(50.0), 0.0);
        assert_eq!(b.level(105.0), 0.0, "the same seconds are not given twice");
        b.give_back(500.0);
        assert_eq!(b.level(105.0), 100.0);
    }
}
