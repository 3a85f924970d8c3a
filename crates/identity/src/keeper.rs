//! Cache of the issuer's key set: when it is fetched, how long the last valid one is used, and how unknown key ids
//! trigger a fetch.
//!
//! The cache performs no I/O. Its user asks whether a fetch is due, and reports each result with the time.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::keys::{InvalidKeySet, KeySet};

/// Timing of the key set cache, seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct KeySetCacheRules {
    /// Interval between two fetches. Each is shifted by up to a tenth either way, so that the fetches of many dispatchers
    /// are spread.
    pub refresh_interval_s: f64,
    /// How long a key set may be used after it was fetched while the issuer is unavailable.
    pub max_age_s: f64,
    /// First and longest delay before a retry after a failed fetch; each further failure doubles the delay.
    pub retry_delay_s: (f64, f64),
    /// Minimum interval between two fetches that unknown key ids trigger.
    pub min_unknown_key_interval_s: f64,
}

impl Default for KeySetCacheRules {
    fn default() -> Self {
        KeySetCacheRules {
            refresh_interval_s: 60.0,
            max_age_s: 24.0 * 3600.0,
            retry_delay_s: (0.5, 60.0),
            min_unknown_key_interval_s: 5.0,
        }
    }
}

/// Maximum number of key ids remembered as unknown to the issuer; beyond it the oldest is removed.
const MAX_UNKNOWN_KEYS: usize = 256;

/// Result of processing a fetched document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchOutcome {
    /// The document differs from the previous one and its key set is in effect.
    Replaced {
        /// Key ids of the previous set that the new set lacks.
        removed: Vec<String>,
    },
    /// The document equals the previous one.
    Unchanged,
    /// The document is invalid; the last valid key set stays in effect.
    Invalid(InvalidKeySet),
}

/// The key set in effect, and the schedule of fetches.
pub struct KeySetCache {
    rules: KeySetCacheRules,
    set: Option<Arc<KeySet>>,
    document: Vec<u8>,
    /// When the document in effect was fetched, seconds.
    fetched_at: f64,
    /// When the next fetch is due, seconds.
    next_fetch_at: f64,
    /// Consecutive failed fetches.
    failures: u32,
    /// A fetch is in flight.
    fetching: bool,
    /// When an unknown key id last triggered a fetch, seconds.
    unknown_key_fetch_at: f64,
    /// Key ids that the issuer did not know, and when each triggered a fetch, seconds.
    unknown_keys: BTreeMap<String, f64>,
}

impl KeySetCache {
    /// Creates a cache without a key set; the first fetch is due at once.
    pub fn new(rules: KeySetCacheRules, now: f64) -> KeySetCache {
        KeySetCache {
            rules,
            set: None,
            document: Vec::new(),
            fetched_at: 0.0,
            next_fetch_at: now,
            failures: 0,
            fetching: false,
            unknown_key_fetch_at: f64::NEG_INFINITY,
            unknown_keys: BTreeMap::new(),
        }
    }

    /// Restores the last valid document from disk. It is used for the remainder of `max_age_s` after `age_s`, its age in
    /// seconds.
    ///
    /// # Errors
    /// As [`KeySet::parse`]; the cache is unchanged then.
    pub fn restore(&mut self, now: f64, document: &[u8], age_s: f64) -> Result<(), InvalidKeySet> {
        let set = KeySet::parse(document)?;
        (self.set, self.document, self.fetched_at) =
            (Some(Arc::new(set)), document.to_vec(), now - age_s.max(0.0));
        Ok(())
    }

    /// The key set in effect; `None` before the first fetch and once the last valid set is older than `max_age_s`.
    pub fn current(&self, now: f64) -> Option<&Arc<KeySet>> {
        self.set
            .as_ref()
            .filter(|_| now - self.fetched_at < self.rules.max_age_s)
    }

    /// The last valid document and its age in seconds, to be stored on disk.
    pub fn document(&self, now: f64) -> Option<(&[u8], f64)> {
        self.set
            .as_ref()
            .map(|_| (self.document.as_slice(), now - self.fetched_at))
    }

    /// Whether a fetch is due now. After `true` no other is due until [`KeySetCache::fetched`] or
    /// [`KeySetCache::fetch_failed`] reports the result.
    pub fn fetch_due(&mut self, now: f64) -> bool {
        // A clock that was set back must not delay the fetch.
        let due = !self.fetching && (now >= self.next_fetch_at || now < self.fetched_at);
        self.fetching |= due;
        due
    }

    /// When [`KeySetCache::fetch_due`] should be called next at the latest, seconds.
    pub fn next_fetch_at(&self) -> f64 {
        self.next_fetch_at
    }

    /// Reports that a token named a key that is not in the key set, which makes a fetch due. At most one fetch per
    /// `min_unknown_key_interval_s` is triggered this way, and none for an id that already triggered one within
    /// `refresh_interval_s`. Ignored while a fetch is in flight or being retried.
    pub fn report_unknown_key(&mut self, now: f64, id: &str) {
        let was_fetched = self
            .unknown_keys
            .get(id)
            .is_some_and(|at| now - at < self.rules.refresh_interval_s);
        if was_fetched
            || self.fetching
            || now - self.unknown_key_fetch_at < self.rules.min_unknown_key_interval_s
            || self.failures > 0
        {
            return;
        }
        if self.unknown_keys.len() >= MAX_UNKNOWN_KEYS {
            let oldest = self
                .unknown_keys
                .iter()
                .min_by(|a, b| a.1.total_cmp(b.1))
                .map(|o| o.0.clone());
            oldest.map(|id| self.unknown_keys.remove(&id));
        }
        self.unknown_keys.insert(id.to_string(), now);
        (self.unknown_key_fetch_at, self.next_fetch_at) = (now, now);
    }

    /// Processes a fetched document. `chance` is a random number from 0 to 1 that shifts the next fetch.
    pub fn fetched(&mut self, now: f64, document: &[u8], chance: f64) -> FetchOutcome {
        let set = match KeySet::parse(document) {
            Ok(set) => set,
            Err(e) => {
                self.fetch_failed(now, chance);
                return FetchOutcome::Invalid(e);
            }
        };
        let unchanged = self.set.is_some() && self.document == document;
        let missing = |old: &Arc<KeySet>| {
            old.ids()
                .filter(|id| set.get(id).is_none())
                .map(str::to_string)
                .collect()
        };
        let removed = self.set.as_ref().map(missing).unwrap_or_default();
        self.unknown_keys.retain(|id, _| set.get(id).is_none());
        (self.set, self.document, self.fetched_at) = (Some(Arc::new(set)), document.to_vec(), now);
        (self.fetching, self.failures) = (false, 0);
        self.next_fetch_at = now + self.rules.refresh_interval_s * (0.9 + 0.2 * chance);
        if unchanged {
            FetchOutcome::Unchanged
        } else {
            FetchOutcome::Replaced { removed }
        }
    }

    /// Reports that a fetch failed or timed out; returns the delay until the next, seconds. `chance` is a random number
    /// from 0 to 1 that shortens the delay by up to half.
    pub fn fetch_failed(&mut self, now: f64, chance: f64) -> f64 {
        let doubled = self.rules.retry_delay_s.0 * f64::from(1u32 << self.failures.min(20));
        let delay_s = doubled.min(self.rules.retry_delay_s.1) * (0.5 + 0.5 * chance);
        (self.fetching, self.failures) = (false, self.failures.saturating_add(1));
        self.next_fetch_at = now + delay_s;
        delay_s
    }
}
