//! Conversions between durations, seconds and microseconds.

use std::time::Duration;

/// Converts a duration to microseconds, saturating at `u64::MAX`.
pub(crate) fn as_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Converts seconds from a settings file to microseconds; a negative number or NaN becomes 0.
pub(crate) fn seconds_to_micros(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6) as u64
}
