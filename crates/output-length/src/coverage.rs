//! Keeps the p90 at nine answers of ten, whatever the traffic does: adaptive conformal inference (Gibbs and Candès, 2021).
//!
//! Each answer that was longer than told makes the next estimates longer, nine that were not make them as much shorter. So the
//! share of misses goes to the aim without any assumption about the answers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{ClassKey, ModelKey};

/// Share of answers that may be longer than the p90.
pub(crate) const AIM: f64 = 0.1;
/// How far one answer moves it: larger follows drift sooner and wavers more.
const STEP: f64 = 0.01;
/// What it stays within.
const WITHIN: (f64, f64) = (0.0, 0.5);
/// Classes that have one of their own; further ones go by the aim.
const KEPT: usize = 256;
/// Answers over which the share of covered ones is told.
const SHOWN: f64 = 1000.0;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Coverage {
    misses: BTreeMap<(ModelKey, ClassKey), f64>,
    #[serde(skip)]
    judged: f64,
    #[serde(skip)]
    covered: f64,
}

impl Coverage {
    pub fn miss(&self, model: ModelKey, class: ClassKey) -> f64 {
        self.misses.get(&(model, class)).copied().unwrap_or(AIM)
    }

    /// An answer was covered by what it was told at its arrival, or was longer.
    pub fn judge(&mut self, model: ModelKey, class: ClassKey, covered: bool) {
        let fade = 1.0 - 1.0 / SHOWN;
        self.judged = self.judged * fade + 1.0;
        self.covered = self.covered * fade + f64::from(u8::from(covered));
        if self.misses.len() < KEPT || self.misses.contains_key(&(model, class)) {
            let miss = self.misses.entry((model, class)).or_insert(AIM);
            *miss =
                (*miss + STEP * (AIM - f64::from(u8::from(!covered)))).clamp(WITHIN.0, WITHIN.1);
        }
    }

    /// Of the last thousand or so.
    pub fn share(&self) -> Option<f64> {
        (self.judged > 0.0).then(|| self.covered / self.judged)
    }

    /// Takes another one's calibration where there is none yet: a restart begins as its peers are, and goes on by itself.
    pub fn begin_as(&mut self, other: Coverage) {
        for (key, miss) in other.misses {
            if self.misses.len() < KEPT || self.misses.contains_key(&key) {
                self.misses.entry(key).or_insert(miss);
            }
        }
    }

    /// Whether what a snapshot holds can have been made here.
    pub fn sound(&self) -> bool {
        self.misses.len() <= KEPT
            && self
                .misses
                .values()
                .all(|m| (WITHIN.0..=WITHIN.1).contains(m))
    }
}
