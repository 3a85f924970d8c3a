//! One order for all requests: what a request is worth for the work it will cost, with what has been spent on it, then a
//! hash of whose it is. The same at all dispatchers, so that who is refused here is refused there too.

use std::time::Duration;

use rand_core::{Rng, SeedableRng};
use rand_xoshiro::SplitMix64;

/// Levels of the order, the lowest first.
pub const LEVELS: usize = 48;
/// Levels for each doubling of worth by work.
const BY_DOUBLING: f64 = 4.0;
/// The level of worth 1 for a second of work.
const MIDDLE: f64 = 16.0;
/// How long one draw among equals holds.
const SALT: Duration = Duration::from_secs(60);

/// What has already been spent on a request, which is lost if it is refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Spent {
    #[default]
    Nothing,
    /// A session's next turn.
    Turns,
    /// A workflow's later step.
    Steps,
}

impl Spent {
    /// Levels that it lifts by: twice and three times the worth.
    fn lifts(self) -> f64 {
        match self {
            Spent::Nothing => 0.0,
            Spent::Turns => BY_DOUBLING,
            Spent::Steps => BY_DOUBLING * 1.5,
        }
    }
}

/// The level of a request; what cannot be read as a number is worth nothing.
pub fn level(worth: f64, work: f64, spent: Spent) -> u8 {
    if !(worth.is_finite() && work.is_finite() && worth > 0.0) {
        return 0;
    }
    let by_work = BY_DOUBLING * (worth / work.max(1e-6)).log2();
    (MIDDLE + by_work + spent.lifts()).clamp(0.0, LEVELS as f64 - 1.0) as u8
}

/// 64 bits that are spread whatever goes in: the first of SplitMix64 from there.
pub(crate) fn spread(bits: u64) -> u64 {
    SplitMix64::seed_from_u64(bits).next_u64()
}

/// From 0 to 1, without 1.
pub(crate) fn share(bits: u64) -> f64 {
    (spread(bits) >> 11) as f64 / (1u64 << 53) as f64
}

/// The place of a request in the order, from 0 to [`LEVELS`]: its level, and a draw among its equals that is the same at all
/// dispatchers, whose clocks show the same minute but for moments.
pub fn rank(level: u8, identity: u64, now: Duration) -> f64 {
    let minute = now.as_secs() / SALT.as_secs();
    f64::from(level) + share(identity ^ spread(minute))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_versions_draw_alike() {
        // The first of SplitMix64 from 0 and from 1, as published.
        assert_eq!(
            (spread(0), spread(1)),
            (0xE220_A839_7B1D_CDAF, 0x910A_2DEC_8902_5CC1)
        );
    }

    #[test]
    fn worth_for_work_then_what_is_spent_then_a_draw_that_changes_by_the_minute() {
        let query = level(1.0, 0.03, Spent::Nothing);
        assert!(query > level(2.0, 0.2, Spent::Nothing));
        assert!(level(2.0, 0.2, Spent::Steps) > level(2.0, 0.2, Spent::Turns));
        assert!(level(2.0, 0.2, Spent::Turns) > level(2.0, 0.2, Spent::Nothing));
        for (worth, work) in [
            (f64::NAN, 1.0),
            (0.0, 1.0),
            (-1.0, 1.0),
            (1.0, f64::INFINITY),
        ] {
            assert_eq!(level(worth, work, Spent::Steps), 0);
        }
        assert_eq!(level(f64::MAX, 0.0, Spent::Steps), LEVELS as u8 - 1);
        let at = |s| rank(7, 99, Duration::from_secs(s));
        assert_eq!(at(60), at(119));
        assert_ne!(at(60), at(120));
        let lucky = (0..200u64)
            .filter(|m| rank(7, 5, Duration::from_secs(60 * m)) < 7.5)
            .count();
        assert!(
            (70..130).contains(&lucky),
            "nobody is always the unlucky one: {lucky}"
        );
    }
}
