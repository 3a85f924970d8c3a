//! When a list that is read again and again counts: the last good one stays until a whole new one has settled.

use crate::{parse, HostSet, ListError};

/// How a new list differs from the one before, by host name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    pub added: Vec<String>,
    pub removed: Vec<String>,
    pub changed: Vec<String>,
}

impl Difference {
    /// From `old` to `new`.
    pub fn between(old: &HostSet, new: &HostSet) -> Self {
        let names = |keep: &dyn Fn(&String) -> bool, of: &HostSet| {
            of.keys().filter(|n| keep(n)).cloned().collect::<Vec<_>>()
        };
        Difference {
            added: names(&|n| !old.contains_key(n), new),
            removed: names(&|n| !new.contains_key(n), old),
            changed: names(&|n| old.get(n).is_some_and(|o| Some(o) != new.get(n)), new),
        }
    }

    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.changed.is_empty()
    }
}

/// What became of a text.
#[derive(Clone, Debug, PartialEq)]
pub enum Offer {
    /// The same as before, or not yet read twice alike.
    Nothing,
    /// A new list counts from now on.
    Taken(Difference),
    /// Broken, told once for each broken text; the last good list stays.
    Broken(ListError),
}

/// The last good list of one file.
///
/// A text counts when it has been read alike twice in a row, so that a file in the middle of being written, half old
/// and half new and valid all the same, is passed over. The first text counts at once.
#[derive(Debug, Default)]
pub struct LastGood {
    hosts: HostSet,
    taken: Option<u64>,
    seen: Option<u64>,
    told: Option<u64>,
}

impl LastGood {
    /// The list in force; empty before the first good one.
    pub fn hosts(&self) -> &HostSet {
        &self.hosts
    }

    /// Whether the file as it was offered last is broken, and an earlier one counts.
    pub fn is_broken(&self) -> bool {
        self.told.is_some()
    }

    /// Takes what the file holds now.
    pub fn offer(&mut self, file: &str, text: &str) -> Offer {
        let mark = xxhash_rust::xxh3::xxh3_64(text.as_bytes());
        let settled = self.seen.replace(mark) == Some(mark) || self.taken.is_none();
        if self.taken == Some(mark) {
            self.told = None;
            return Offer::Nothing;
        }
        if !settled || self.told == Some(mark) {
            return Offer::Nothing;
        }
        match parse(file, text) {
            Ok(hosts) => {
                let difference = Difference::between(&self.hosts, &hosts);
                (self.hosts, self.taken, self.told) = (hosts, Some(mark), None);
                Offer::Taken(difference)
            }
            Err(e) => {
                self.told = Some(mark);
                Offer::Broken(e)
            }
        }
    }
}
