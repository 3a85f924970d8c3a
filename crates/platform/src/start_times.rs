//! Start times of model servers by the node's own clock. Discovery reports them by the wall clocks of other machines,
//! and any of these clocks may have been stepped. The times at which notifications were received come from a clock that
//! was not stepped, so listed start times are checked against them.

use bitternlatch_core::Micros;

/// Longest delay after which discovery reports a server's start, seconds.
const MAX_NOTIFICATION_DELAY_SECS: f64 = 20.0;
/// Oldest plausible start time, as an age in seconds, in a list that reports long-running servers as started long ago.
/// An older start time contradicts such a list.
const LONG_RUNNING_SECS: f64 = 600.0;

/// What is known when an endpoint list is received.
#[derive(Clone, Copy, Debug)]
pub struct StartTimeContext {
    /// When the list was received.
    pub received_at: Micros,
    /// When discovery last sent a complete line before this list; at that time it did not have the new entries.
    pub notified_at: Option<Micros>,
    /// Whether the list has servers whose start is given as 0, i.e. long ago.
    pub lists_long_running: bool,
}

impl StartTimeContext {
    /// Converts a newly listed start time to the node's clock, seconds; 0 (long ago) is kept. An impossible time, in
    /// the future or older than discovery's delay allows, is replaced by the current time: it is better to warm up a
    /// server once more than to overload it.
    pub fn start_s(&self, listed_s: f64) -> f64 {
        if listed_s <= 0.0 {
            return listed_s;
        }
        let now_s = self.received_at.seconds();
        let oldest_s = match self.notified_at {
            Some(notified) => Some(notified.seconds() - MAX_NOTIFICATION_DELAY_SECS),
            None => self.lists_long_running.then_some(now_s - LONG_RUNNING_SECS),
        };
        let impossible = listed_s > now_s || oldest_s.is_some_and(|oldest| listed_s < oldest);
        if impossible {
            now_s
        } else {
            listed_s
        }
    }
}
