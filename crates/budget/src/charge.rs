//! What is written down of requests, and the bill that is made from it.
//!
//! Entries are never edited. A request has one entry that says what it used, or that it may have used up to a bound; what
//! comes to be known later follows as a correction, which takes the place of all before it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Amount;

/// What a request was charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Used {
    /// As its host counted it.
    Known(Amount),
    /// It failed and may have run: no more than this.
    Possibly(Amount),
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The response that it is for, unique over all dispatchers.
    pub response: String,
    /// 1 for the first entry of a response, one more for each correction: a repeat is told from a correction by it.
    pub number: u32,
    pub tenant: String,
    pub class: String,
    /// Whose it is, and the caller's own key, where there are any.
    pub owner: String,
    pub key: String,
    /// Unix microseconds at which the request was taken, which says to which period it belongs.
    pub taken_us: u64,
    pub used: Used,
}

/// A line of a bill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Line {
    pub requests: u64,
    pub prompt: u64,
    pub output: u64,
    /// Requests that may have run, and the most that they may have used; not part of the sums before.
    pub possibly: u64,
    pub possibly_tokens: u64,
}

/// Entries by response; takes each once, in any order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entries {
    last: BTreeMap<String, Entry>,
}

/// What became of an offered entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    Taken,
    /// It, or a later correction, is here already.
    Repeat,
    /// The same number with another content: somebody counts wrong, and neither is believed over the first.
    Contradicts,
}

impl Entries {
    /// Takes an entry. Whichever way repeats and corrections come, the end is the same.
    pub fn offer(&mut self, entry: Entry) -> Offered {
        match self.last.get(&entry.response) {
            Some(known) if known.number == entry.number && *known != entry => Offered::Contradicts,
            Some(known) if known.number >= entry.number => Offered::Repeat,
            _ => {
                self.last.insert(entry.response.clone(), entry);
                Offered::Taken
            }
        }
    }

    /// The entry that stands for each response.
    pub fn standing(&self) -> impl Iterator<Item = &Entry> {
        self.last.values()
    }

    /// Sums by tenant and class of what was taken between two times, Unix microseconds.
    pub fn bill(&self, from_us: u64, to_us: u64) -> BTreeMap<(String, String), Line> {
        let mut bill: BTreeMap<(String, String), Line> = BTreeMap::new();
        for entry in self
            .standing()
            .filter(|e| (from_us..to_us).contains(&e.taken_us))
        {
            let line = bill
                .entry((entry.tenant.clone(), entry.class.clone()))
                .or_default();
            match entry.used {
                Used::Known(a) => {
                    line.requests += 1;
                    line.prompt += u64::from(a.prompt);
                    line.output += u64::from(a.output);
                }
                Used::Possibly(a) => {
                    line.possibly += 1;
                    line.possibly_tokens += a.total();
                }
            }
        }
        bill
    }
}
