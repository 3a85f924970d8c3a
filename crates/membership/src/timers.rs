//! Timers of the failure detector, ordered by due time.

use std::collections::BTreeMap;
use std::time::Duration;

use foca::Timer;

use crate::member::Id;

/// Timers by due time. Timers with the same due time run in the order in which they were set.
#[derive(Default)]
pub(crate) struct Timers {
    queue: BTreeMap<(Duration, u64), Timer<Id>>,
    /// Number of timers set so far; makes keys unique and preserves insertion order.
    set: u64,
}

impl Timers {
    pub(crate) fn insert(&mut self, at: Duration, timer: Timer<Id>) {
        self.set += 1;
        self.queue.insert((at, self.set), timer);
    }

    pub(crate) fn next_at(&self) -> Option<Duration> {
        self.queue.keys().next().map(|(at, _)| *at)
    }

    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<Timer<Id>> {
        let first = self.queue.first_entry().filter(|e| e.key().0 <= now)?;
        Some(first.remove())
    }

    /// Postpones all timers by the same time.
    pub(crate) fn delay(&mut self, by: Duration) {
        let queue = std::mem::take(&mut self.queue);
        self.queue = queue
            .into_iter()
            .map(|((at, set), timer)| ((at + by, set), timer))
            .collect();
    }

    pub(crate) fn clear(&mut self) {
        self.queue.clear();
    }
}
