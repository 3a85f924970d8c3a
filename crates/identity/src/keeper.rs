//! When a key set is fetched, how long the last good one counts, and what an unknown key id sets off.
//!
//! A pure state machine on a given clock: the program fetches when told and tells what came.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::keys::{BadKeySet, KeySet};

/// Times of the key set's life, seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct KeeperRules {
    /// Between two fetches; each is moved by up to a tenth either way, so that many dispatchers spread.
    pub refresh_s: f64,
    /// The last good set counts for so long after it was fetched, whatever the issuer does.
    pub keep_s: f64,
    /// First and longest pause after a failed fetch; each failure doubles it.
    pub pause_s: (f64, f64),
    /// Shortest time between two fetches that unknown key ids set off.
    pub unknown_every_s: f64,
}

impl Default for KeeperRules {
    fn default() -> Self {
        KeeperRules {
            refresh_s: 60.0,
            keep_s: 24.0 * 3600.0,
            pause_s: (0.5, 60.0),
            unknown_every_s: 5.0,
        }
    }
}

/// Ids remembered as not known to the issuer; past it the oldest is forgotten.
const UNKNOWN_MOST: usize = 256;

/// What became of a fetched document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Taken {
    /// A new set counts; these ids counted before and are gone.
    New {
        dropped: Vec<String>,
    },
    Same,
    /// Not taken; the last good set stays.
    Refused(BadKeySet),
}

/// The key set in force and what is to be done about it.
pub struct Keeper {
    rules: KeeperRules,
    set: Option<Arc<KeySet>>,
    document: Vec<u8>,
    fetched_at: f64,
    next_at: f64,
    failures: u32,
    fetching: bool,
    unknown_at: f64,
    /// Key ids that a fetch since then did not bring.
    unknown: BTreeMap<String, f64>,
}

impl Keeper {
    /// Without a set; the first fetch is due at once.
    pub fn new(rules: KeeperRules, now: f64) -> Keeper {
        Keeper {
            rules,
            set: None,
            document: Vec::new(),
            fetched_at: 0.0,
            next_at: now,
            failures: 0,
            fetching: false,
            unknown_at: f64::NEG_INFINITY,
            unknown: BTreeMap::new(),
        }
    }

    /// Takes the last good document that was kept on disk, of an age in seconds; it counts for what is left of its time.
    ///
    /// # Errors
    /// As [`KeySet::parse`]; then there is no set until a fetch brings one.
    pub fn restore(&mut self, now: f64, document: &[u8], age_s: f64) -> Result<(), BadKeySet> {
        let set = KeySet::parse(document)?;
        (self.set, self.document, self.fetched_at) =
            (Some(Arc::new(set)), document.to_vec(), now - age_s.max(0.0));
        Ok(())
    }

    /// The set in force; `None` before the first and once the last good one is too old.
    pub fn set(&self, now: f64) -> Option<&Arc<KeySet>> {
        self.set
            .as_ref()
            .filter(|_| now - self.fetched_at < self.rules.keep_s)
    }

    /// The last good document and its age, to be kept on disk.
    pub fn document(&self, now: f64) -> Option<(&[u8], f64)> {
        self.set
            .as_ref()
            .map(|_| (self.document.as_slice(), now - self.fetched_at))
    }

    /// Whether to fetch now; once told, it waits for [`Keeper::fetched`] or [`Keeper::failed`].
    pub fn fetch_due(&mut self, now: f64) -> bool {
        // A clock that went back must not put the fetch off.
        let due = !self.fetching && (now >= self.next_at || now < self.fetched_at);
        self.fetching |= due;
        due
    }

    /// When to ask [`Keeper::fetch_due`] again at the latest.
    pub fn next_at(&self) -> f64 {
        self.next_at
    }

    /// A token named a key that the set does not hold. One fetch is set off for all who ask, at most one in
    /// `unknown_every_s`, and none for an id that a fetch since has not brought.
    pub fn unknown_key(&mut self, now: f64, id: &str) {
        let asked = self
            .unknown
            .get(id)
            .is_some_and(|at| now - at < self.rules.refresh_s);
        if asked
            || self.fetching
            || now - self.unknown_at < self.rules.unknown_every_s
            || self.failures > 0
        {
            return;
        }
        if self.unknown.len() >= UNKNOWN_MOST {
            let oldest = self
                .unknown
                .iter()
                .min_by(|a, b| a.1.total_cmp(b.1))
                .map(|o| o.0.clone());
            oldest.map(|id| self.unknown.remove(&id));
        }
        self.unknown.insert(id.to_string(), now);
        (self.unknown_at, self.next_at) = (now, now);
    }

    /// A document came. `chance` is a number from 0 to 1.
    pub fn fetched(&mut self, now: f64, document: &[u8], chance: f64) -> Taken {
        let set = match KeySet::parse(document) {
            Ok(set) => set,
            Err(e) => {
                self.failed(now, chance);
                return Taken::Refused(e);
            }
        };
        let same = self.set.is_some() && self.document == document;
        let gone = |old: &Arc<KeySet>| {
            old.ids()
                .filter(|id| set.get(id).is_none())
                .map(str::to_string)
                .collect()
        };
        let dropped = self.set.as_ref().map(gone).unwrap_or_default();
        self.unknown.retain(|id, _| set.get(id).is_none());
        (self.set, self.document, self.fetched_at) = (Some(Arc::new(set)), document.to_vec(), now);
        (self.fetching, self.failures) = (false, 0);
        self.next_at = now + self.rules.refresh_s * (0.9 + 0.2 * chance);
        if same {
            Taken::Same
        } else {
            Taken::New { dropped }
        }
    }

    /// A fetch failed or was too late; gives the pause until the next, seconds.
    pub fn failed(&mut self, now: f64, chance: f64) -> f64 {
        let doubled = self.rules.pause_s.0 * f64::from(1u32 << self.failures.min(20));
        let pause = doubled.min(self.rules.pause_s.1) * (0.5 + 0.5 * chance);
        (self.fetching, self.failures) = (false, self.failures.saturating_add(1));
        self.next_at = now + pause;
        pause
    }
}
