//! Values that fade with their age by a half-life.

/// A moving mean whose value halves with each half-life that passes without a sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct DecayingMean {
    value: f64,
    /// Clock time of the newest sample, seconds.
    updated_at: f64,
}

impl DecayingMean {
    /// The value as faded by `now`.
    pub fn at(&self, now: f64, half_life_s: f64) -> f64 {
        // Most servers have nothing that fades, and powers are most of a decision's time over
        // thousands.
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * age_weight(self.updated_at, now, half_life_s)
    }

    /// Takes in a sample with a weight from 0 to 1; the faded value has the rest of it.
    pub fn add(&mut self, sample: f64, weight: f64, now: f64, half_life_s: f64) {
        let before = self.at(now, half_life_s);
        self.value = before + weight * (sample - before);
        self.updated_at = now;
    }

    /// The middle between the faded value and a sample.
    pub fn average_with(&mut self, sample: f64, now: f64, half_life_s: f64) {
        self.value = 0.5 * self.at(now, half_life_s) + 0.5 * sample;
        self.updated_at = now;
    }

    /// Raises the faded value to at least `floor`, as if it were seen now.
    pub fn raise_to(&mut self, floor: f64, now: f64, half_life_s: f64) {
        self.value = self.at(now, half_life_s).max(floor);
        self.updated_at = now;
    }
}

/// Weight, from 0 to 1, of what was seen at `updated_at`.
pub(super) fn age_weight(updated_at: f64, now: f64, half_life_s: f64) -> f64 {
    0.5f64.powf((now - updated_at).max(0.0) / half_life_s)
}

/// The value, or 0 where it is negative or not a finite number.
pub(super) fn non_negative(value: f64) -> f64 {
    if value.is_finite() && value > 0.0 {
        value
    } else {
        0.0
    }
}

#[cfg(test)]
#[path = "../part_tests/decay.rs"]
mod tests;
