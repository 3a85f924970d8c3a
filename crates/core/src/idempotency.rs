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
pub(crate) enum Held {
    Running(RequestId),
    /// The answer as it was given.
    Answered(Box<Response>),
    /// Answered, but the text is no longer kept.
    Forgotten,
}

struct Entry {
    /// Hash of what was asked: a key used again for something else is an error.
    asked: u64,
    held: Held,
    ended: Option<Micros>,
    bytes: usize,
    turn: u64,
}

/// What a key stands for when a request comes with it.
#[derive(Debug)]
pub(crate) enum Known {
    New,
    Attach(RequestId),
    Answer(Box<Response>),
    Forgotten,
    OtherRequest,
    NoRoom,
}

pub(crate) struct Keys {
    most: usize,
    most_bytes: usize,
    kept_s: f64,
    bytes: usize,
    entries: BTreeMap<Key, Entry>,
    /// Ended keys by turn of ending.
    ended: BTreeMap<u64, Key>,
    turns: u64,
}

impl Keys {
    pub(crate) fn new(most: usize, most_bytes: usize, kept_s: f64) -> Self {
        Keys {
            most,
            most_bytes,
            kept_s,
            bytes: 0,
            entries: BTreeMap::new(),
            ended: BTreeMap::new(),
            turns: 0,
        }
    }

    pub(crate) fn know(&self, key: &Key, asked: u64) -> Known {
        match self.entries.get(key) {
            None if self.entries.len() >= self.most => Known::NoRoom,
            None => Known::New,
            Some(e) if e.asked != asked => Known::OtherRequest,
            Some(e) => match &e.held {
                Held::Running(id) => Known::Attach(*id),
                Held::Answered(answer) => Known::Answer(answer.clone()),
                Held::Forgotten => Known::Forgotten,
            },
        }
    }

    pub(crate) fn begin(&mut self, key: Key, asked: u64, request: RequestId) {
        let entry = Entry {
            asked,
            held: Held::Running(request),
            ended: None,
            bytes: 0,
            turn: 0,
        };
        self.entries.insert(key, entry);
    }

    /// Forgets a key whose request is known to be harmless to ask again.
    pub(crate) fn remove(&mut self, key: &Key) {
        if let Some(old) = self.entries.remove(key) {
            self.ended.remove(&old.turn);
            self.bytes -= old.bytes;
        }
    }

    pub(crate) fn end(&mut self, now: Micros, key: &Key, answer: Response, bytes: usize) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        self.turns += 1;
        self.ended.remove(&entry.turn);
        self.bytes = self.bytes + bytes - entry.bytes;
        (entry.held, entry.ended, entry.bytes) =
            (Held::Answered(Box::new(answer)), Some(now), bytes);
        entry.turn = self.turns;
        self.ended.insert(self.turns, key.clone());
        self.forget_texts();
    }

    fn forget_texts(&mut self) {
        let oldest: Vec<Key> = match self.bytes > self.most_bytes {
            true => self.ended.values().cloned().collect(),
            false => return,
        };
        for key in oldest {
            if self.bytes <= self.most_bytes {
                return;
            }
            if let Some(entry) = self.entries.get_mut(&key) {
                self.bytes -= std::mem::take(&mut entry.bytes);
                entry.held = Held::Forgotten;
            }
        }
    }

    /// Lets go of keys whose time is over.
    pub(crate) fn sweep(&mut self, now: Micros) {
        while let Some((turn, key)) = self.ended.first_key_value() {
            let entry = self.entries.get(key);
            if entry
                .and_then(|e| e.ended)
                .is_some_and(|at| now.since(at) < self.kept_s)
            {
                return;
            }
            let (turn, key) = (*turn, key.clone());
            self.ended.remove(&turn);
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
mod tests {
    use super::*;
    use bitternlatch_protocol::client::Status;

    fn key(text: &str) -> Key {
        Key {
            tenant: 0,
            class: 1,
            owner: String::new(),
            text: text.to_string(),
        }
    }

    fn answer() -> Response {
        Response {
            id: "resp_1".into(),
            object: "response".into(),
            created_at: 0,
            status: Status::Completed,
            model: "m".into(),
            previous_response_id: None,
            max_output_tokens: None,
            metadata: BTreeMap::new(),
            output: vec![],
            usage: None,
            error: None,
            incomplete_details: None,
        }
    }

    #[test]
    fn a_key_goes_from_running_to_answered_to_gone() {
        let mut keys = Keys::new(2, 100, 60.0);
        assert!(matches!(keys.know(&key("a"), 1), Known::New));
        keys.begin(key("a"), 1, 9);
        assert!(matches!(keys.know(&key("a"), 1), Known::Attach(9)));
        assert!(matches!(keys.know(&key("a"), 2), Known::OtherRequest));
        keys.end(Micros(0), &key("a"), answer(), 50);
        assert!(matches!(keys.know(&key("a"), 1), Known::Answer(_)));
        keys.sweep(Micros(59_000_000));
        assert!(matches!(keys.know(&key("a"), 1), Known::Answer(_)));
        keys.sweep(Micros(60_000_000));
        assert!(matches!(keys.know(&key("a"), 1), Known::New));
        assert_eq!((keys.bytes, keys.len()), (0, 0));
    }

    #[test]
    fn bytes_cost_the_text_but_never_the_key_and_a_full_table_takes_no_new_key() {
        let mut keys = Keys::new(2, 60, 60.0);
        for (i, name) in ["a", "b"].into_iter().enumerate() {
            keys.begin(key(name), 1, i as u32);
            keys.end(Micros(i as u64), &key(name), answer(), 50);
        }
        assert!(matches!(keys.know(&key("a"), 1), Known::Forgotten));
        assert!(matches!(keys.know(&key("b"), 1), Known::Answer(_)));
        assert!(matches!(keys.know(&key("c"), 1), Known::NoRoom));
        keys.remove(&key("a"));
        assert!(matches!(keys.know(&key("c"), 1), Known::New));
    }
}
