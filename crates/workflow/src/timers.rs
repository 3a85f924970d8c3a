//! Timers by what they are for.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// At most one timer for each `T`.
#[derive(Debug)]
pub(crate) struct Timers<T> {
    order: BTreeSet<(Duration, T)>,
    at: BTreeMap<T, Duration>,
}

impl<T: Ord + Copy> Timers<T> {
    pub(crate) fn new() -> Timers<T> {
        Timers {
            order: BTreeSet::new(),
            at: BTreeMap::new(),
        }
    }

    /// Sets a timer, in place of the time that it had.
    pub(crate) fn set(&mut self, timer: T, at: Duration) {
        self.clear(timer);
        self.order.insert((at, timer));
        self.at.insert(timer, at);
    }

    pub(crate) fn clear(&mut self, timer: T) {
        if let Some(at) = self.at.remove(&timer) {
            self.order.remove(&(at, timer));
        }
    }

    /// When the first timer is due.
    pub(crate) fn next(&self) -> Option<Duration> {
        self.order.first().map(|(at, _)| *at)
    }

    /// Removes and returns the first timer that is due.
    pub(crate) fn due(&mut self, now: Duration) -> Option<T> {
        let (at, timer) = self.order.first().copied()?;
        if at > now {
            return None;
        }
        self.clear(timer);
        Some(timer)
    }
}
