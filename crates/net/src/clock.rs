//! The clock that drives the core: it starts at the Unix time of its first use in the process and then runs monotonically.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bitternlatch_core::Micros;

/// A monotonic clock whose epoch is the Unix epoch, as the wall clock had it when the process first used the clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Unix time at `start`, microseconds.
    start_unix_us: u64,
    start: Instant,
}

impl Clock {
    /// Returns the process's clock, the same for every caller. The threads of a process compare each other's times; clocks
    /// started separately could differ, as the wall clock may be set between the two starts.
    pub fn start() -> Self {
        static FIRST: OnceLock<Clock> = OnceLock::new();
        *FIRST.get_or_init(|| {
            let unix = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            Clock {
                start_unix_us: unix.as_micros() as u64,
                start: Instant::now(),
            }
        })
    }

    pub fn now(&self) -> Micros {
        Micros(self.start_unix_us + self.start.elapsed().as_micros() as u64)
    }

    /// Time left until `at`; zero if `at` has passed.
    pub fn until(&self, at: Micros) -> Duration {
        Duration::from_micros(at.0.saturating_sub(self.now().0))
    }
}
