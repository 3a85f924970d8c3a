//! Idempotency keys: a request is run once for each key, however often the client repeats it.
//!
//! A key refers to its request while that runs, and to the answer afterwards for a fixed lifetime. Stored answers are
//! evicted when they exceed their byte limit, but a key stays for its whole lifetime, so that a repeated request never
//! has its effect again. While the table is full of keys that have not expired, requests with a new key are rejected.

use std::collections::BTreeMap;

use bitternlatch_policy::interface::RequestId;
use bitternlatch_protocol::client::Response;

use crate::types::Micros;

/// An idempotency key in its scope: the tenant and class of the request, and its caller where callers are
/// authenticated.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Key {
    pub tenant: u32,
    pub class: u16,
    /// Who may use the key, from the caller's grant: one caller, or all whom a rule with shared keys names. Empty where
    /// callers are not authenticated.
    pub owner: String,
    /// The key as the client sent it.
    pub text: String,
}

/// The state of a known key.
#[derive(Clone, Debug)]
pub(crate) enum KeyState {
    /// The key's request is in flight.
    Running(RequestId),
    /// The key's request was answered with this response.
    Answered(Box<Response>),
    /// The key's request was answered, but the response was evicted to stay within the byte limit.
    Evicted,
}

struct IdempotencyEntry {
    /// Hash of the request's content; a request with the same key and other content is an error.
    fingerprint: u64,
    state: KeyState,
    /// When the key's request was answered; `None` while it runs.
    ended_at: Option<Micros>,
    /// Bytes that the stored answer counts for; 0 where none is stored.
    bytes: usize,
    /// Position of the key in the order in which requests ended; 0 while its request runs.
    ended_order: u64,
}

/// How to handle a request, by the state of its idempotency key.
#[derive(Debug)]
pub(crate) enum KeyLookup {
    /// The key is unknown: start the request.
    New,
    /// The key's request is running: attach the session to it.
    Attach(RequestId),
    /// The key's request was answered: repeat the stored answer.
    Answer(Box<Response>),
    /// The key's request was answered, but the answer is no longer stored.
    Evicted,
    /// The key was used for a request with other content.
    OtherRequest,
    /// The key is unknown and the table is full.
    CapacityExceeded,
}

/// The table of idempotency keys, limited in keys and in bytes of stored answers.
pub(crate) struct IdempotencyKeys {
    max_keys: usize,
    /// Limit on bytes of stored answers.
    max_bytes: usize,
    /// How long a key is kept after its request has ended, seconds.
    lifetime_s: f64,
    /// Bytes of stored answers now.
    bytes: usize,
    entries: BTreeMap<Key, IdempotencyEntry>,
    /// Keys whose requests have ended, in the order of ending.
    ended: BTreeMap<u64, Key>,
    last_order: u64,
}

impl IdempotencyKeys {
    pub(crate) fn new(max_keys: usize, max_bytes: usize, lifetime_s: f64) -> Self {
        IdempotencyKeys {
            max_keys,
            max_bytes,
            lifetime_s,
            bytes: 0,
            entries: BTreeMap::new(),
            ended: BTreeMap::new(),
            last_order: 0,
        }
    }

    /// How to handle a request with this key and content hash.
    pub(crate) fn lookup(&self, key: &Key, fingerprint: u64) -> KeyLookup {
        match self.entries.get(key) {
            None if self.entries.len() >= self.max_keys => KeyLookup::CapacityExceeded,
            None => KeyLookup::New,
            Some(e) if e.fingerprint != fingerprint => KeyLookup::OtherRequest,
            Some(e) => match &e.state {
                KeyState::Running(id) => KeyLookup::Attach(*id),
                KeyState::Answered(answer) => KeyLookup::Answer(answer.clone()),
                KeyState::Evicted => KeyLookup::Evicted,
            },
        }
    }

    /// Adds a new key, whose request is running.
    pub(crate) fn begin(&mut self, key: Key, fingerprint: u64, request: RequestId) {
        let entry = IdempotencyEntry {
            fingerprint,
            state: KeyState::Running(request),
            ended_at: None,
            bytes: 0,
            ended_order: 0,
        };
        self.entries.insert(key, entry);
    }

    /// Removes a key whose request is harmless to repeat.
    pub(crate) fn remove(&mut self, key: &Key) {
        if let Some(old) = self.entries.remove(key) {
            self.ended.remove(&old.ended_order);
            self.bytes -= old.bytes;
        }
    }

    /// Stores the answer of a key's request, which counts as `bytes` toward the byte limit.
    pub(crate) fn end(&mut self, now: Micros, key: &Key, answer: Response, bytes: usize) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        self.last_order += 1;
        self.ended.remove(&entry.ended_order);
        self.bytes = self.bytes + bytes - entry.bytes;
        (entry.state, entry.ended_at, entry.bytes) =
            (KeyState::Answered(Box::new(answer)), Some(now), bytes);
        entry.ended_order = self.last_order;
        self.ended.insert(self.last_order, key.clone());
        self.evict_answers();
    }

    /// Evicts the oldest answers until the rest fit the byte limit; their keys stay.
    fn evict_answers(&mut self) {
        let oldest: Vec<Key> = match self.bytes > self.max_bytes {
            true => self.ended.values().cloned().collect(),
            false => return,
        };
        for key in oldest {
            if self.bytes <= self.max_bytes {
                return;
            }
            if let Some(entry) = self.entries.get_mut(&key) {
                self.bytes -= std::mem::take(&mut entry.bytes);
                entry.state = KeyState::Evicted;
            }
        }
    }

    /// Removes keys whose lifetime has passed.
    pub(crate) fn sweep(&mut self, now: Micros) {
        while let Some((ended_order, key)) = self.ended.first_key_value() {
            let entry = self.entries.get(key);
            if entry
                .and_then(|e| e.ended_at)
                .is_some_and(|at| now.since(at) < self.lifetime_s)
            {
                return;
            }
            let (ended_order, key) = (*ended_order, key.clone());
            self.ended.remove(&ended_order);
            if let Some(old) = self.entries.remove(&key) {
                self.bytes -= old.bytes;
            }
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}

#[cfg(test)]
mod tests;
