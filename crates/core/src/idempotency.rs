//! Idempotency keys: one run for one key, however often the client asks.
//!
//! A key stands for a request while it runs and for its answer afterwards, for a stated time. The answer's text is
//! let go first when bytes run out; the key itself stays for its time, so that an effect is not caused again. When the
//! table is full of keys that may not be let go, a new keyed request is refused.

use std::collections::BTreeMap;

use bitternlatch_policy::interface::RequestId;
use bitternlatch_protocol::client::Response;

use crate::types::Micros;

/// A key belongs to a tenant and a class, and to its caller where callers are known.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Key {
    pub tenant: u32,
    pub class: u16,
    /// Whose it is, as the caller's grant says; empty where callers are not known.
    pub owner: String,
    pub text: String,
}

#[derive(Clone, Debug)]
pub(crate) enum KeyState {
    Running(RequestId),
    /// The answer as it was given.
    Answered(Box<Response>),
    /// Answered, but the text is no longer kept.
    Evicted,
}

struct IdempotencyEntry {
    /// Hash of what was asked: a key used again for something else is an error.
    fingerprint: u64,
    state: KeyState,
    ended_at: Option<Micros>,
    bytes: usize,
    ended_order: u64,
}

/// What a key stands for when a request comes with it.
#[derive(Debug)]
pub(crate) enum KeyLookup {
    New,
    Attach(RequestId),
    Answer(Box<Response>),
    Evicted,
    OtherRequest,
    CapacityExceeded,
}

pub(crate) struct IdempotencyKeys {
    max_keys: usize,
    max_bytes: usize,
    lifetime_s: f64,
    bytes: usize,
    entries: BTreeMap<Key, IdempotencyEntry>,
    /// Ended keys by turn of ending.
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

    /// Forgets a key whose request is known to be harmless to ask again.
    pub(crate) fn remove(&mut self, key: &Key) {
        if let Some(old) = self.entries.remove(key) {
            self.ended.remove(&old.ended_order);
            self.bytes -= old.bytes;
        }
    }

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

    /// Lets go of keys whose time is over.
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
