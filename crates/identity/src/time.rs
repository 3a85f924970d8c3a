//! The time by which proofs are judged, when the machine's clock may jump.
//!
//! A clock that is set back would let ended tokens count again; one set forward by mistake would end every session at once.
//! So the judged time goes on with a clock that never jumps, and follows the wall clock only once the two have disagreed
//! by the same amount for a while. A clock that was wrong at the start and is put right is followed too.

/// Disagreement that is followed without a wait, seconds: clocks are slewed by less all the time.
const SLEW_S: f64 = 1.0;
/// For how long a new disagreement has to hold before it is followed, seconds.
pub const HOLD_S: f64 = 5.0;

/// A step that was followed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stepped {
    /// Seconds; positive is forward.
    pub by_s: f64,
}

/// The judged time: a steady clock plus an offset.
#[derive(Clone, Debug)]
pub struct JudgedTime {
    /// Unix seconds of the wall clock less the steady clock's.
    offset_s: f64,
    /// An offset that has been seen, and since when by the steady clock.
    candidate: Option<(f64, f64)>,
}

impl JudgedTime {
    /// At the start the wall clock is believed.
    pub fn new(steady_s: f64, wall_s: f64) -> JudgedTime {
        JudgedTime {
            offset_s: wall_s - steady_s,
            candidate: None,
        }
    }

    /// Unix seconds by which proofs are judged.
    pub fn now(&self, steady_s: f64) -> f64 {
        steady_s + self.offset_s
    }

    /// Whether the wall clock has jumped and is not followed yet.
    pub fn doubts(&self) -> bool {
        self.candidate.is_some()
    }

    /// Looks at both clocks; tells of a step that is followed from now on.
    pub fn look(&mut self, steady_s: f64, wall_s: f64) -> Option<Stepped> {
        let seen = wall_s - steady_s;
        let by_s = seen - self.offset_s;
        if by_s.abs() <= SLEW_S {
            (self.offset_s, self.candidate) = (seen, None);
            return None;
        }
        match self.candidate {
            Some((offset, since)) if (offset - seen).abs() <= SLEW_S => {
                if steady_s - since < HOLD_S {
                    return None;
                }
                (self.offset_s, self.candidate) = (seen, None);
                Some(Stepped { by_s })
            }
            _ => {
                self.candidate = Some((seen, steady_s));
                None
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_jump_is_followed_once_it_has_held_and_not_before() {
        let mut time = JudgedTime::new(0.0, 1000.0);
        assert_eq!(time.look(10.0, 1010.0), None);
        assert_eq!(time.look(11.0, 111_011.0), None, "a day forward");
        assert!(time.doubts());
        assert_eq!(time.now(11.0), 1011.0, "judged as before meanwhile");
        assert_eq!(time.look(15.0, 111_015.0), None);
        assert_eq!(
            time.look(16.0, 111_016.0),
            Some(Stepped { by_s: 110_000.0 })
        );
        assert_eq!(time.now(16.0), 111_016.0);
    }

    #[test]
    fn a_jump_that_is_taken_back_was_never_there_and_one_that_wanders_waits_anew() {
        let mut time = JudgedTime::new(0.0, 1000.0);
        assert_eq!(
            time.look(1.0, 5.0),
            None,
            "set back: ended tokens stay ended"
        );
        assert_eq!(time.now(1.0), 1001.0);
        assert_eq!(time.look(2.0, 1002.0), None);
        assert!(!time.doubts());
        for i in 0..20 {
            let at = 3.0 + f64::from(i);
            assert_eq!(
                time.look(at, at + 5000.0 + 100.0 * f64::from(i)),
                None,
                "never the same for long"
            );
        }
        assert_eq!(time.now(23.0), 1023.0);
    }

    #[test]
    fn slewing_is_followed_at_once() {
        let mut time = JudgedTime::new(0.0, 1000.0);
        for i in 1..100 {
            assert_eq!(time.look(f64::from(i), 1000.0 + f64::from(i) * 1.005), None);
        }
        assert!((time.now(99.0) - 1099.495).abs() < 1e-6);
    }
}
