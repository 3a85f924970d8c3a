//! What is told of a cell: quantiles, and what follows from them for one answer under its ceiling.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Cell, ClassKey, ModelKey};
use crate::sketch::{quantile, Mass};

/// Points of a curve, each in the middle of an even share of answers.
const POINTS: usize = 20;
/// Cells of which estimates are kept; a new one past it takes the place of the first by order, which is told anew.
pub const CURVES_MOST: usize = 1024;

/// Lengths of a cell's answers, tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Curve {
    /// At the middles of even shares.
    points: [u32; POINTS],
    /// Calibrated so that nine of ten answers are no longer.
    high: u32,
    /// Of a hundred all but one.
    most: u32,
    /// Answers it rests on, weighed by age.
    pub answers: u32,
}

/// One answer's expected length, tokens.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Expected {
    pub mean: f64,
    pub p50: f64,
    /// Calibrated: nine of ten answers are no longer.
    pub p90: f64,
    pub p99: f64,
}

fn whole(tokens: f64) -> u32 {
    tokens.round().clamp(0.0, f64::from(u32::MAX)) as u32
}

impl Curve {
    /// `miss`: share of answers that may be longer than the calibrated one.
    pub(crate) fn of(mass: &Mass, answers: f32, miss: f64) -> Curve {
        let reached = mass.reached();
        let at = |share: f64| whole(quantile(&reached, share));
        Curve {
            points: std::array::from_fn(|i| at((i as f64 + 0.5) / POINTS as f64)),
            high: at(1.0 - miss),
            most: at(0.99),
            answers: answers as u32,
        }
    }

    /// Whether another one says the same, within three in a hundred.
    pub(crate) fn near(&self, other: &Curve) -> bool {
        let near = |a: u32, b: u32| a.abs_diff(b) <= 1 + a / 32;
        near(self.high, other.high)
            && self
                .points
                .iter()
                .zip(&other.points)
                .all(|(a, b)| near(*a, *b))
    }

    /// Of an answer that ends at its ceiling at the latest.
    pub fn expected(&self, ceiling: u32) -> Expected {
        let under = |tokens: u32| f64::from(tokens.min(ceiling));
        let sum = self.points.iter().map(|p| under(*p)).sum::<f64>();
        Expected {
            mean: sum / POINTS as f64,
            p50: (under(self.points[POINTS / 2 - 1]) + under(self.points[POINTS / 2])) / 2.0,
            p90: under(self.high),
            p99: under(self.most.max(self.high)),
        }
    }

    /// Tokens to come of an answer that has so many and still runs, in the mean.
    pub fn rest(&self, so_far: u32, ceiling: u32) -> f64 {
        let ceiling = ceiling.max(so_far);
        let longer: Vec<u32> = self
            .points
            .iter()
            .copied()
            .filter(|p| *p > so_far)
            .collect();
        let most = self.most.max(self.high);
        if longer.is_empty() {
            // Past all that was seen of nineteen in twenty: towards the longest, then by a tenth each time.
            let to = if most > so_far {
                most
            } else {
                so_far.saturating_add(1 + so_far / 10)
            };
            return f64::from(to.min(ceiling) - so_far);
        }
        let sum = longer
            .iter()
            .map(|p| f64::from((*p).min(ceiling) - so_far))
            .sum::<f64>();
        sum / longer.len() as f64
    }
}

/// Curves by cell, bounded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Curves(BTreeMap<Cell, Curve>);

impl Curves {
    pub fn set(&mut self, cell: Cell, curve: Curve) {
        if self.0.len() >= CURVES_MOST && !self.0.contains_key(&cell) {
            self.0.pop_first();
        }
        self.0.insert(cell, curve);
    }

    pub(crate) fn get(&self, cell: &Cell) -> Option<&Curve> {
        self.0.get(cell)
    }

    pub(crate) fn all(&self) -> Vec<(Cell, Curve)> {
        self.0
            .iter()
            .map(|(cell, curve)| (*cell, curve.clone()))
            .collect()
    }

    pub(crate) fn keep(&mut self, keeps: impl Fn(&Cell) -> bool) {
        self.0.retain(|cell, _| keeps(cell));
    }

    /// By the cell, else by its class, else by all; none where nothing was told.
    pub fn find(&self, model: ModelKey, class: ClassKey, prompt_tokens: u32) -> Option<&Curve> {
        let cell = Cell::of(model, class, prompt_tokens);
        [cell, cell.whole_class(), Cell::ALL]
            .iter()
            .find_map(|cell| self.0.get(cell))
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::sketch::Counts;

    fn curve() -> Curve {
        let mut counts = Counts::default();
        (0..500).for_each(|i| counts.add(100 + i));
        let mut mass = Mass::default();
        mass.count(&counts, &Counts::default(), 1.0);
        Curve::of(&mass, 500.0, 0.1)
    }

    #[test]
    fn estimates_stay_under_the_ceiling_and_the_rest_shrinks_as_an_answer_runs() {
        let (curve, free, tight) = (curve(), curve().expected(4000), curve().expected(200));
        assert!(
            (free.mean - 350.0).abs() < 15.0 && (free.p50 - 350.0).abs() < 25.0,
            "{free:?}"
        );
        assert!((free.p90 - 550.0).abs() < 25.0 && free.p99 >= free.p90);
        assert!(tight.p99 <= 200.0 && tight.mean < 200.0);
        assert!((curve.rest(0, 4000) - 350.0).abs() < 15.0);
        assert!((curve.rest(400, 4000) - 100.0).abs() < 20.0);
        assert!(curve.rest(5000, 5000) == 0.0 && curve.rest(900, 4000) > 0.0);
    }

    #[test]
    fn the_table_is_bounded_and_falls_back() {
        let mut curves = Curves::default();
        for n in 0..10_000 {
            curves.set(Cell::of(ModelKey(1), ClassKey(n), 5), curve());
        }
        assert_eq!(curves.len(), CURVES_MOST);
        assert!(curves.find(ModelKey(7), ClassKey(7), 9).is_none());
        curves.set(Cell::ALL, curve());
        assert!(curves.find(ModelKey(7), ClassKey(7), 9).is_some());
    }
}
