//! The clock that the core is given: Unix time at the start, then monotonic.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bitternlatch_core::Micros;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base_us: u64,
    start: Instant,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base_us: unix.as_micros() as u64, start: Instant::now() }
    }

    pub fn now(&self) -> Micros {
        Micros(self.base_us + self.start.elapsed().as_micros() as u64)
    }

    /// Time from now until a clock time; zero if it is past.
    pub fn until(&self, at: Micros) -> Duration {
        Duration::from_micros(at.0.saturating_sub(self.now().0))
    }
}
