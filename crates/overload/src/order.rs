//! The priority order of all requests: by priority weight per unit of work, raised by what was already spent on the request, then by a
//! hash of the request's identity. All dispatchers compute the same order, so that a request that one rejects is rejected by the others
//! too.

use std::time::Duration;

use rand_core::{Rng, SeedableRng};
use rand_xoshiro::SplitMix64;

/// Number of priority levels; 0 is the lowest.
pub const LEVELS: usize = 48;
/// Levels for each doubling of the priority weight per unit of work.
const LEVELS_PER_DOUBLING: f64 = 4.0;
/// The level of a request with priority weight 1 and 1 s of work.
const UNIT_LEVEL: f64 = 16.0;
/// How long the order among requests of the same level stays the same.
const TIE_BREAK_PERIOD: Duration = Duration::from_secs(60);

/// What was already spent on a request and is lost if the request is rejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SunkCost {
    #[default]
    Nothing,
    /// The earlier turns of the session.
    EarlierTurns,
    /// The earlier steps of the workflow.
    EarlierSteps,
}

impl SunkCost {
    /// Levels by which the request is raised: as if its priority weight were twice, or nearly three times, as high.
    fn raised_levels(self) -> f64 {
        match self {
            SunkCost::Nothing => 0.0,
            SunkCost::EarlierTurns => LEVELS_PER_DOUBLING,
            SunkCost::EarlierSteps => LEVELS_PER_DOUBLING * 1.5,
        }
    }
}

/// The priority level of a request; 0 if its weight or its work is not a finite number, or the weight is not above 0. `work` is in
/// seconds of a server of weight 1.
pub fn level(priority_weight: f64, work: f64, sunk_cost: SunkCost) -> u8 {
    if !(priority_weight.is_finite() && work.is_finite() && priority_weight > 0.0) {
        return 0;
    }
    let by_work = LEVELS_PER_DOUBLING * (priority_weight / work.max(1e-6)).log2();
    (UNIT_LEVEL + by_work + sunk_cost.raised_levels()).clamp(0.0, LEVELS as f64 - 1.0) as u8
}

/// Hashes 64 bits to 64 uniformly distributed bits: the first output of SplitMix64 with this seed.
pub(crate) fn mix(bits: u64) -> u64 {
    SplitMix64::seed_from_u64(bits).next_u64()
}

/// Hashes 64 bits to a number in [0, 1).
pub(crate) fn hash_to_unit(bits: u64) -> f64 {
    (mix(bits) >> 11) as f64 / (1u64 << 53) as f64
}

/// The rank of a request in the priority order, from 0 to [`LEVELS`]: its level, plus a hash of its identity that orders requests of
/// the same level. The hash changes every minute; all dispatchers compute the same one as long as their clocks show the same minute.
pub fn rank(level: u8, identity: u64, now: Duration) -> f64 {
    let period = now.as_secs() / TIE_BREAK_PERIOD.as_secs();
    f64::from(level) + hash_to_unit(identity ^ mix(period))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn hash_is_the_same_in_all_versions() {
        // The first output of SplitMix64 for seeds 0 and 1, as published.
        assert_eq!(
            (mix(0), mix(1)),
            (0xE220_A839_7B1D_CDAF, 0x910A_2DEC_8902_5CC1)
        );
    }

    #[test]
    fn order_is_by_weight_per_work_then_sunk_cost_then_a_hash_that_changes_by_the_minute() {
        let query = level(1.0, 0.03, SunkCost::Nothing);
        assert!(query > level(2.0, 0.2, SunkCost::Nothing));
        assert!(level(2.0, 0.2, SunkCost::EarlierSteps) > level(2.0, 0.2, SunkCost::EarlierTurns));
        assert!(level(2.0, 0.2, SunkCost::EarlierTurns) > level(2.0, 0.2, SunkCost::Nothing));
        for (priority_weight, work) in [
            (f64::NAN, 1.0),
            (0.0, 1.0),
            (-1.0, 1.0),
            (1.0, f64::INFINITY),
        ] {
            assert_eq!(level(priority_weight, work, SunkCost::EarlierSteps), 0);
        }
        assert_eq!(
            level(f64::MAX, 0.0, SunkCost::EarlierSteps),
            LEVELS as u8 - 1
        );
        let at = |s| rank(7, 99, Duration::from_secs(s));
        assert_eq!(at(60), at(119));
        assert_ne!(at(60), at(120));
        let in_lower_half = (0..200u64)
            .filter(|m| rank(7, 5, Duration::from_secs(60 * m)) < 7.5)
            .count();
        assert!(
            (70..130).contains(&in_lower_half),
            "no identity stays at the end of its level: {in_lower_half}"
        );
    }
}
