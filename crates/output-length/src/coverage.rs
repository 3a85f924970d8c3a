//! Calibrates the estimated 90th percentile of output lengths by adaptive conformal inference (Gibbs and Candès, 2021), so that
//! nine of ten responses are no longer than the estimate, however the traffic changes.
//!
//! Calibration means adjusting, for each model and class, the quantile that is used as the estimated 90th percentile. Coverage is
//! the share of responses, from 0 to 1, that were no longer than the 90th percentile estimated when their requests arrived; the
//! miss rate is one minus the coverage.
//!
//! A response that is longer than its estimate makes the next estimates longer; nine that are not make them shorter by the same
//! amount. The rate of misses therefore converges to the target without any assumption about the distribution of lengths.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{ClassKey, ModelKey};

/// Target share of responses that are longer than the estimated 90th percentile.
pub(crate) const TARGET_MISS_RATE: f64 = 0.1;
/// Step size by which one response adjusts the miss rate: a larger one follows drift sooner but fluctuates more.
const LEARNING_RATE: f64 = 0.01;
/// Range of the calibrated miss rate.
const MISS_RATE_RANGE: (f64, f64) = (0.0, 0.5);
/// Limit of calibrated pairs of model and class; further ones use the target rate.
const MAX_CALIBRATED_CLASSES: usize = 256;
/// Number of responses over which the coverage in the logged status line is averaged, with exponential decay. The coverage is the
/// share of responses that were no longer than their estimated 90th percentile.
const COVERAGE_RESPONSES: f64 = 1000.0;

/// The calibration of the estimated 90th percentile.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Calibration {
    /// The miss rate to use in place of the target rate, by model and class: the 90th percentile is estimated as the quantile
    /// of one minus this rate.
    #[serde(rename = "misses")]
    miss_rates: BTreeMap<(ModelKey, ClassKey), f64>,
    /// Number of responses with an estimate, decayed.
    #[serde(skip)]
    predicted: f64,
    /// Number of responses that were no longer than their estimated 90th percentile, decayed.
    #[serde(skip)]
    covered: f64,
}

impl Calibration {
    /// The calibrated miss rate of a model and class.
    pub fn miss_rate(&self, model: ModelKey, class: ClassKey) -> f64 {
        self.miss_rates
            .get(&(model, class))
            .copied()
            .unwrap_or(TARGET_MISS_RATE)
    }

    /// Adjusts the miss rate of a model and class, from which their 90th percentile is estimated, by one response. `covered`:
    /// whether the response was no longer than the 90th percentile that was estimated when its request arrived.
    pub fn record(&mut self, model: ModelKey, class: ClassKey, covered: bool) {
        let decay = 1.0 - 1.0 / COVERAGE_RESPONSES;
        self.predicted = self.predicted * decay + 1.0;
        self.covered = self.covered * decay + f64::from(u8::from(covered));
        if self.miss_rates.len() < MAX_CALIBRATED_CLASSES
            || self.miss_rates.contains_key(&(model, class))
        {
            let miss_rate = self
                .miss_rates
                .entry((model, class))
                .or_insert(TARGET_MISS_RATE);
            *miss_rate = (*miss_rate
                + LEARNING_RATE * (TARGET_MISS_RATE - f64::from(u8::from(!covered))))
            .clamp(MISS_RATE_RANGE.0, MISS_RATE_RANGE.1);
        }
    }

    /// The share of recent responses, about a thousand, that were no longer than their estimated 90th percentile; `None` before
    /// the first.
    pub fn coverage(&self) -> Option<f64> {
        (self.predicted > 0.0).then(|| self.covered / self.predicted)
    }

    /// Adopts a peer's miss rates for the models and classes for which this process has none. A restarted dispatcher thus
    /// starts from the miss rates of its peers and then adjusts these by the responses that it observes.
    pub fn adopt_missing(&mut self, other: Calibration) {
        for (key, miss_rate) in other.miss_rates {
            if self.miss_rates.len() < MAX_CALIBRATED_CLASSES || self.miss_rates.contains_key(&key)
            {
                self.miss_rates.entry(key).or_insert(miss_rate);
            }
        }
    }

    /// Whether this crate could have produced the calibration; one from a peer or a snapshot may be invalid.
    pub fn is_valid(&self) -> bool {
        self.miss_rates.len() <= MAX_CALIBRATED_CLASSES
            && self
                .miss_rates
                .values()
                .all(|m| (MISS_RATE_RANGE.0..=MISS_RATE_RANGE.1).contains(m))
    }
}
