//! What is due when.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One time for each thing that may become due.
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

    /// In place of the time that it had.
    pub(crate) fn set(&mut self, what: T, at: Duration) {
        self.clear(what);
        self.order.insert((at, what));
        self.at.insert(what, at);
    }

    pub(crate) fn clear(&mut self, what: T) {
        if let Some(at) = self.at.remove(&what) {
            self.order.remove(&(at, what));
        }
    }

    pub(crate) fn next(&self) -> Option<Duration> {
        self.order.first().map(|(at, _)| *at)
    }

    /// Takes the first that is due.
    pub(crate) fn due(&mut self, now: Duration) -> Option<T> {
        let (_, what) = self.order.first().filter(|(at, _)| *at <= now).copied()?;
        self.clear(what);
        Some(what)
    }
}
