//! The admission threshold: the rank of the priority order from which on requests are admitted.

use crate::order::LEVELS;

/// The lowest rank such that the demand at and above it does not exceed `admit_rate`; 0 if all demand fits. `demand` is work per second
/// by priority level. More demand never lowers the threshold.
pub fn admission_threshold(demand: &[f64], admit_rate: f64) -> f64 {
    let mut left = admit_rate.max(0.0);
    for (level, level_demand) in demand.iter().enumerate().take(LEVELS).rev() {
        if *level_demand > left {
            return level as f64 + 1.0 - left / level_demand;
        }
        left -= level_demand.max(0.0);
    }
    0.0
}

/// The fraction of the demand whose rank is below a threshold.
pub fn fraction_below(demand: &[f64], rank: f64) -> f64 {
    let total: f64 = demand.iter().sum();
    let below = demand
        .iter()
        .enumerate()
        .map(|(level, level_demand)| level_demand * (rank - level as f64).clamp(0.0, 1.0));
    if total > 0.0 {
        below.sum::<f64>() / total
    } else {
        0.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn demands() -> impl Strategy<Value = Vec<f64>> {
        prop::collection::vec(prop_oneof![Just(0.0), 0.0f64..50.0], LEVELS)
    }

    proptest! {
        #[test]
        fn threshold_never_rises_with_less_demand_and_demand_above_it_fits(
            demand in demands(), less in prop::collection::vec(0.0f64..=1.0, LEVELS), admit_rate in 0.0f64..600.0,
        ) {
            let rank = admission_threshold(&demand, admit_rate);
            let smaller: Vec<f64> = demand.iter().zip(&less).map(|(d, l)| d * l).collect();
            prop_assert!(admission_threshold(&smaller, admit_rate) <= rank + 1e-9);
            let above = demand.iter().sum::<f64>() * (1.0 - fraction_below(&demand, rank));
            prop_assert!(above <= admit_rate + 1e-6, "{above} of {admit_rate}");
            prop_assert!(rank == 0.0 || above >= admit_rate - 1e-6, "no more is rejected than necessary");
        }
    }
}
