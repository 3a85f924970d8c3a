//! Conversions of times.

use std::time::Duration;

/// Microseconds of a duration; the highest number where it is longer than that.
pub(crate) fn as_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Microseconds of seconds in a settings file; negative numbers and NaN count as none.
pub(crate) fn micros_of_seconds(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6) as u64
}
