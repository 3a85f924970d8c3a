//! The rank from which on requests are taken.

use crate::order::LEVELS;

/// The least rank such that what is asked from it on fits what may be taken; 0 where all fits. Never less with more demand.
pub fn cut(demand: &[f64], admits: f64) -> f64 {
    let mut left = admits.max(0.0);
    for (level, asked) in demand.iter().enumerate().take(LEVELS).rev() {
        if *asked > left {
            return level as f64 + 1.0 - left / asked;
        }
        left -= asked.max(0.0);
    }
    0.0
}

/// The share of what is asked that lies below a cut.
pub fn below(demand: &[f64], rank: f64) -> f64 {
    let all: f64 = demand.iter().sum();
    let under = demand
        .iter()
        .enumerate()
        .map(|(level, asked)| asked * (rank - level as f64).clamp(0.0, 1.0));
    if all > 0.0 {
        under.sum::<f64>() / all
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
        fn the_cut_never_rises_with_less_demand_and_what_is_over_it_fits(
            demand in demands(), less in prop::collection::vec(0.0f64..=1.0, LEVELS), admits in 0.0f64..600.0,
        ) {
            let rank = cut(&demand, admits);
            let smaller: Vec<f64> = demand.iter().zip(&less).map(|(d, l)| d * l).collect();
            prop_assert!(cut(&smaller, admits) <= rank + 1e-9);
            let over = demand.iter().sum::<f64>() * (1.0 - below(&demand, rank));
            prop_assert!(over <= admits + 1e-6, "{over} of {admits}");
            prop_assert!(rank == 0.0 || over >= admits - 1e-6, "no more is refused than has to be");
        }
    }
}
