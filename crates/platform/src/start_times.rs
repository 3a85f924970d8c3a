//! When model servers started, by the node's own clock. Discovery names it by the wall clock of other machines, and any of
//! these clocks may have been stepped; what was heard of discovery, and when, is known by a clock that was not.

use bitternlatch_core::Micros;

/// How late discovery may tell of a start, seconds.
const MAX_NOTIFICATION_DELAY_SECS: f64 = 20.0;
/// Where discovery says of some servers that they started long ago, one for which it names a start that is older than
/// this contradicts it, seconds.
const LONG_AGO_SECS: f64 = 600.0;

/// What is known when a list comes.
#[derive(Clone, Copy, Debug)]
pub struct StartTimeContext {
    /// The time at which the list came.
    pub received_at: Micros,
    /// When discovery said something last, before this list: by then it did not have what is new in it.
    pub notified_at: Option<Micros>,
    /// It lists other servers as started long ago.
    pub lists_unknown_starts: bool,
}

impl StartTimeContext {
    /// A newly listed start by the node's clock, seconds; 0, for long ago, stays. One that cannot be, as it lies ahead
    /// or further back than discovery would be late, is taken for one of now: a server is better warmed up once more than
    /// pushed over.
    pub fn start_s(&self, listed_s: f64) -> f64 {
        if listed_s <= 0.0 {
            return listed_s;
        }
        let now_s = self.received_at.seconds();
        let oldest_s = match self.notified_at {
            Some(notified) => Some(notified.seconds() - MAX_NOTIFICATION_DELAY_SECS),
            None => self.lists_unknown_starts.then_some(now_s - LONG_AGO_SECS),
        };
        let impossible = listed_s > now_s || oldest_s.is_some_and(|oldest| listed_s < oldest);
        if impossible {
            now_s
        } else {
            listed_s
        }
    }
}
