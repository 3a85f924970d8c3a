//! The clock that the core is given: Unix time at the process's first look, then monotonic.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bitternlatch_core::Micros;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base_us: u64,
    start: Instant,
}

impl Clock {
    /// The same in all parts of a process: what one of them says counts until a time is held against another's clock, and
    /// between two looks at the wall clock it may have been set.
    pub fn start() -> Self {
        static FIRST: OnceLock<Clock> = OnceLock::new();
        *FIRST.get_or_init(|| {
            let unix = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            Clock {
                base_us: unix.as_micros() as u64,
                start: Instant::now(),
            }
        })
    }

    pub fn now(&self) -> Micros {
        Micros(self.base_us + self.start.elapsed().as_micros() as u64)
    }

    /// Time from now until a clock time; zero if it is past.
    pub fn until(&self, at: Micros) -> Duration {
        Duration::from_micros(at.0.saturating_sub(self.now().0))
    }
}
