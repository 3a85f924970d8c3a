//! Timers identified by their purpose.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A set of timers with at most one for each value of `T`.
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

    /// Sets a timer, replacing its previous time if it was set.
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

    /// Returns the time of the earliest timer.
    pub(crate) fn next(&self) -> Option<Duration> {
        self.order.first().map(|(at, _)| *at)
    }

    /// Removes and returns the earliest timer if it is due at `now`.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<T> {
        let (at, timer) = self.order.first().copied()?;
        if at > now {
            return None;
        }
        self.clear(timer);
        Some(timer)
    }
}
