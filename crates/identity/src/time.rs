//! The time at which credentials are evaluated when the machine's wall clock may jump.
//!
//! Setting the wall clock back would make expired tokens valid again; setting it forward by mistake would expire every
//! session at once. The credential clock therefore advances with the monotonic clock, and adopts a jump of the wall
//! clock only after the offset between the two has been stable for [`HOLD_S`]. A wall clock that was wrong at the start
//! and is corrected later is adopted too.

/// Offset change that is adopted at once, seconds; time synchronization continually slews the clock by less.
const SLEW_S: f64 = 1.0;
/// How long a jump of the wall clock has to persist before it is adopted, seconds.
pub const HOLD_S: f64 = 5.0;

/// A jump of the wall clock that has been adopted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockStep {
    /// Size of the jump, seconds; positive is forward.
    pub by_s: f64,
}

/// The clock by which credentials are evaluated: the monotonic clock plus an offset.
#[derive(Clone, Debug)]
pub struct CredentialClock {
    /// Wall clock minus monotonic clock, seconds.
    offset_s: f64,
    /// A differing offset that has been observed, and since when on the monotonic clock, seconds.
    candidate: Option<(f64, f64)>,
}

impl CredentialClock {
    /// Creates a clock that starts at the wall clock's time.
    pub fn new(monotonic_s: f64, wall_s: f64) -> CredentialClock {
        CredentialClock {
            offset_s: wall_s - monotonic_s,
            candidate: None,
        }
    }

    /// The time at which credentials are evaluated, Unix seconds.
    pub fn now(&self, monotonic_s: f64) -> f64 {
        monotonic_s + self.offset_s
    }

    /// Whether the wall clock has jumped and the jump has not been adopted yet.
    pub fn has_unconfirmed_jump(&self) -> bool {
        self.candidate.is_some()
    }

    /// Compares both clocks; returns a jump that is adopted now.
    pub fn update(&mut self, monotonic_s: f64, wall_s: f64) -> Option<ClockStep> {
        let observed_s = wall_s - monotonic_s;
        let by_s = observed_s - self.offset_s;
        if by_s.abs() <= SLEW_S {
            (self.offset_s, self.candidate) = (observed_s, None);
            return None;
        }
        match self.candidate {
            Some((offset, since)) if (offset - observed_s).abs() <= SLEW_S => {
                if monotonic_s - since < HOLD_S {
                    return None;
                }
                (self.offset_s, self.candidate) = (observed_s, None);
                Some(ClockStep { by_s })
            }
            _ => {
                self.candidate = Some((observed_s, monotonic_s));
                None
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn jump_is_adopted_once_it_has_persisted() {
        let mut time = CredentialClock::new(0.0, 1000.0);
        assert_eq!(time.update(10.0, 1010.0), None);
        assert_eq!(time.update(11.0, 111_011.0), None, "a day forward");
        assert!(time.has_unconfirmed_jump());
        assert_eq!(time.now(11.0), 1011.0, "the jump is not adopted yet");
        assert_eq!(time.update(15.0, 111_015.0), None);
        assert_eq!(
            time.update(16.0, 111_016.0),
            Some(ClockStep { by_s: 110_000.0 })
        );
        assert_eq!(time.now(16.0), 111_016.0);
    }

    #[test]
    fn reverted_and_unstable_jumps_are_not_adopted() {
        let mut time = CredentialClock::new(0.0, 1000.0);
        assert_eq!(time.update(1.0, 5.0), None, "the clock was set back");
        assert_eq!(time.now(1.0), 1001.0);
        assert_eq!(time.update(2.0, 1002.0), None);
        assert!(!time.has_unconfirmed_jump());
        for i in 0..20 {
            let at = 3.0 + f64::from(i);
            assert_eq!(
                time.update(at, at + 5000.0 + 100.0 * f64::from(i)),
                None,
                "the offset changes on each observation"
            );
        }
        assert_eq!(time.now(23.0), 1023.0);
    }

    #[test]
    fn slewing_is_adopted_at_once() {
        let mut time = CredentialClock::new(0.0, 1000.0);
        for i in 1..100 {
            assert_eq!(
                time.update(f64::from(i), 1000.0 + f64::from(i) * 1.005),
                None
            );
        }
        assert!((time.now(99.0) - 1099.495).abs() < 1e-6);
    }
}
