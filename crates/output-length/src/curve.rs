//! Quantiles of the output lengths of a cell, and the estimates for one response that follow from them. A cell is the group of
//! requests with the same model, the same request class and a similar prompt length ([`Cell`]).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Cell, ClassKey, ModelKey};
use crate::sketch::{quantile, WeightedCounts};

/// Number of quantiles in a curve: the lengths are divided into so many equal shares, and the curve has the median of each.
const QUANTILE_COUNT: usize = 20;
/// Limit of cells with an estimate in a [`CurveTable`]. Beyond this limit, a new cell replaces the first one in sort order. The
/// replaced estimate is added again when the learner ([`crate::Learner`]) next computes it or, in the table of the
/// request-handling core, when [`crate::OutputLengths`] next emits it.
pub const MAX_CURVES: usize = 1024;

/// Distribution of the output lengths of a cell ([`Cell`]), tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuantileCurve {
    /// Quantiles at the middles of equal shares: with 20 of them, at 2.5%, 7.5% and so on to 97.5%.
    #[serde(rename = "points")]
    quantiles: [u32; QUANTILE_COUNT],
    /// The 90th percentile, tokens, adjusted by the observed lengths so that nine of ten responses are no longer.
    #[serde(rename = "high")]
    calibrated_p90: u32,
    /// The 99th percentile, tokens.
    #[serde(rename = "most")]
    p99: u32,
    /// Number of responses that the estimate is based on, weighted by age.
    #[serde(rename = "answers")]
    pub responses: u32,
}

/// The estimated output length of one response, tokens.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LengthEstimate {
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 90th percentile, adjusted by the observed lengths so that nine of ten responses are no longer.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
}

fn round_to_u32(tokens: f64) -> u32 {
    tokens.round().clamp(0.0, f64::from(u32::MAX)) as u32
}

impl QuantileCurve {
    /// The curve of weighted counts that are based on `responses` responses. `miss_rate` is the calibrated share of responses
    /// that are longer than the 90th percentile.
    pub(crate) fn of(counts: &WeightedCounts, responses: f32, miss_rate: f64) -> QuantileCurve {
        let distribution = counts.cumulative_distribution();
        let at = |share: f64| round_to_u32(quantile(&distribution, share));
        QuantileCurve {
            quantiles: std::array::from_fn(|i| at((i as f64 + 0.5) / QUANTILE_COUNT as f64)),
            calibrated_p90: at(1.0 - miss_rate),
            p99: at(0.99),
            responses: responses as u32,
        }
    }

    /// Whether another curve is the same within 1/32 plus one token, so that it need not be sent.
    pub(crate) fn is_close(&self, other: &QuantileCurve) -> bool {
        let close = |a: u32, b: u32| a.abs_diff(b) <= 1 + a / 32;
        close(self.calibrated_p90, other.calibrated_p90)
            && self
                .quantiles
                .iter()
                .zip(&other.quantiles)
                .all(|(a, b)| close(*a, *b))
    }

    /// The estimate for a response that ends at `max_output_tokens` at the latest.
    pub fn estimate(&self, max_output_tokens: u32) -> LengthEstimate {
        let limited = |tokens: u32| f64::from(tokens.min(max_output_tokens));
        let sum = self.quantiles.iter().map(|p| limited(*p)).sum::<f64>();
        LengthEstimate {
            mean: sum / QUANTILE_COUNT as f64,
            p50: (limited(self.quantiles[QUANTILE_COUNT / 2 - 1])
                + limited(self.quantiles[QUANTILE_COUNT / 2]))
                / 2.0,
            p90: limited(self.calibrated_p90),
            p99: limited(self.p99.max(self.calibrated_p90)),
        }
    }

    /// The expected number of further tokens of a running response that has `so_far` tokens.
    pub fn expected_remaining(&self, so_far: u32, max_output_tokens: u32) -> f64 {
        let max_output_tokens = max_output_tokens.max(so_far);
        let longer: Vec<u32> = self
            .quantiles
            .iter()
            .copied()
            .filter(|p| *p > so_far)
            .collect();
        let longest = self.p99.max(self.calibrated_p90);
        if longer.is_empty() {
            // The response is longer than the highest quantile: assume that it ends at the 99th percentile, or past that
            // after another tenth of its length.
            let end = if longest > so_far {
                longest
            } else {
                so_far.saturating_add(1 + so_far / 10)
            };
            return f64::from(end.min(max_output_tokens) - so_far);
        }
        let sum = longer
            .iter()
            .map(|p| f64::from((*p).min(max_output_tokens) - so_far))
            .sum::<f64>();
        sum / longer.len() as f64
    }
}

/// Estimates by cell, at most [`MAX_CURVES`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CurveTable(BTreeMap<Cell, QuantileCurve>);

impl CurveTable {
    pub fn set(&mut self, cell: Cell, curve: QuantileCurve) {
        if self.0.len() >= MAX_CURVES && !self.0.contains_key(&cell) {
            self.0.pop_first();
        }
        self.0.insert(cell, curve);
    }

    pub(crate) fn get(&self, cell: &Cell) -> Option<&QuantileCurve> {
        self.0.get(cell)
    }

    pub(crate) fn all(&self) -> Vec<(Cell, QuantileCurve)> {
        self.0
            .iter()
            .map(|(cell, curve)| (*cell, curve.clone()))
            .collect()
    }

    pub(crate) fn retain(&mut self, keep: impl Fn(&Cell) -> bool) {
        self.0.retain(|cell, _| keep(cell));
    }

    /// The estimate of the cell that the arguments select or, without one, that of the model and class for prompts of any length,
    /// or that of all requests. `prompt_tokens` is the prompt length, tokens.
    pub fn find(
        &self,
        model: ModelKey,
        class: ClassKey,
        prompt_tokens: u32,
    ) -> Option<&QuantileCurve> {
        let cell = Cell::of(model, class, prompt_tokens);
        [cell, cell.any_prompt(), Cell::ALL]
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

    fn curve() -> QuantileCurve {
        let mut counts = Counts::default();
        (0..500).for_each(|i| counts.add(100 + i));
        let mut weighted = WeightedCounts::default();
        weighted.add_counts(&counts, &Counts::default(), 1.0);
        QuantileCurve::of(&weighted, 500.0, 0.1)
    }

    #[test]
    fn estimates_respect_the_token_limit_and_expected_remaining_tokens_shrink_as_a_response_grows()
    {
        let (curve, unlimited, limited) = (curve(), curve().estimate(4000), curve().estimate(200));
        assert!(
            (unlimited.mean - 350.0).abs() < 15.0 && (unlimited.p50 - 350.0).abs() < 25.0,
            "{unlimited:?}"
        );
        assert!((unlimited.p90 - 550.0).abs() < 25.0 && unlimited.p99 >= unlimited.p90);
        assert!(limited.p99 <= 200.0 && limited.mean < 200.0);
        assert!((curve.expected_remaining(0, 4000) - 350.0).abs() < 15.0);
        assert!((curve.expected_remaining(400, 4000) - 100.0).abs() < 20.0);
        assert!(
            curve.expected_remaining(5000, 5000) == 0.0
                && curve.expected_remaining(900, 4000) > 0.0
        );
    }

    #[test]
    fn table_is_bounded_and_falls_back_to_the_estimate_of_all_requests() {
        let mut curves = CurveTable::default();
        for n in 0..10_000 {
            curves.set(Cell::of(ModelKey(1), ClassKey(n), 5), curve());
        }
        assert_eq!(curves.len(), MAX_CURVES);
        assert!(curves.find(ModelKey(7), ClassKey(7), 9).is_none());
        curves.set(Cell::ALL, curve());
        assert!(curves.find(ModelKey(7), ClassKey(7), 9).is_some());
    }
}
