//! Ids of requests whose clients disconnected after an attempt was sent. The attempt may have run, or may yet, so a request
//! that comes again under such an id is not sent.

use std::collections::{BTreeSet, VecDeque};

use bitternlatch_core::Micros;

/// Most ids that are kept.
const MAX_IDS: usize = 4096;
/// Time for which an id is kept, seconds.
const RETENTION_SECS: f64 = 60.0;

/// Recently abandoned ids, oldest first.
#[derive(Debug, Default)]
pub struct AbandonedIds {
    oldest_first: VecDeque<(Micros, String)>,
    ids: BTreeSet<String>,
}

impl AbandonedIds {
    /// Keeps an id from now on. Returns whether another one was dropped for it before its time.
    pub fn insert(&mut self, now: Micros, id: &str) -> bool {
        if self.contains(now, id) {
            return false;
        }
        let is_full = self.oldest_first.len() >= MAX_IDS;
        if is_full {
            self.remove_oldest();
        }
        self.ids.insert(id.to_string());
        self.oldest_first.push_back((now, id.to_string()));
        is_full
    }

    /// Whether a client of this id has disconnected recently.
    pub fn contains(&mut self, now: Micros, id: &str) -> bool {
        self.expire(now);
        self.ids.contains(id)
    }

    fn expire(&mut self, now: Micros) {
        while let Some((since, _)) = self.oldest_first.front() {
            if now.since(*since) < RETENTION_SECS {
                return;
            }
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, id)) = self.oldest_first.pop_front() {
            self.ids.remove(&id);
        }
    }
}
