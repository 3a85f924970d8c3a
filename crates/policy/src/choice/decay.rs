//! Values that decay exponentially with age, by a half-life.

/// Moving average whose value halves with each half-life that passes without a sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct DecayingMean {
    value: f64,
    /// Clock time of the latest update, in seconds.
    updated_at: f64,
}

impl DecayingMean {
    /// Returns the value decayed to clock time `now`.
    pub fn at(&self, now: f64, half_life_s: f64) -> f64 {
        // Most servers have a value of 0. Skipping them matters because computing powers dominates
        // a decision among thousands of servers.
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * age_weight(self.updated_at, now, half_life_s)
    }

    /// Adds a sample with a weight from 0 to 1. The decayed value gets the remaining weight.
    pub fn add(&mut self, sample: f64, weight: f64, now: f64, half_life_s: f64) {
        let before = self.at(now, half_life_s);
        self.value = before + weight * (sample - before);
        self.updated_at = now;
    }

    /// Sets the value to the mean of the decayed value and the sample.
    pub fn average_with(&mut self, sample: f64, now: f64, half_life_s: f64) {
        self.value = 0.5 * self.at(now, half_life_s) + 0.5 * sample;
        self.updated_at = now;
    }

    /// Raises the decayed value to at least `floor`; decay starts again at `now`.
    pub fn raise_to(&mut self, floor: f64, now: f64, half_life_s: f64) {
        self.value = self.at(now, half_life_s).max(floor);
        self.updated_at = now;
    }
}

/// Weight, from 0 to 1, of a value last updated at `updated_at`; it halves with each half-life.
pub(super) fn age_weight(updated_at: f64, now: f64, half_life_s: f64) -> f64 {
    // The standard library's functions differ in the last bit from one platform to another.
    libm::exp2(-(now - updated_at).max(0.0) / half_life_s)
}

/// Returns the value, or 0 if it is negative, infinite or not a number.
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
