//! When a list that is read again and again counts: the last good one stays until a whole new one has settled.

use crate::{parse, ListError, ServerSet};

/// How a new list differs from the one before, by server name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Servers that are new.
    pub added: Vec<String>,
    /// Servers that are no longer listed.
    pub removed: Vec<String>,
    /// Servers with another value in any field.
    pub changed: Vec<String>,
}

impl Difference {
    /// From `old` to `new`.
    pub fn between(old: &ServerSet, new: &ServerSet) -> Self {
        let names = |keep: &dyn Fn(&String) -> bool, of: &ServerSet| {
            of.keys().filter(|n| keep(n)).cloned().collect::<Vec<_>>()
        };
        Difference {
            added: names(&|n| !old.contains_key(n), new),
            removed: names(&|n| !new.contains_key(n), old),
            changed: names(&|n| old.get(n).is_some_and(|o| Some(o) != new.get(n)), new),
        }
    }

    /// Whether the lists are equal.
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
    /// The text is broken, reported once for each broken text; the last good list stays in force.
    Broken(ListError),
}

/// The last good list of one file.
///
/// A text counts when it has been read alike twice in a row, so that a file in the middle of being written, half old
/// and half new and valid all the same, is passed over. The first text counts at once.
#[derive(Debug, Default)]
pub struct LastGood {
    servers: ServerSet,
    in_force: Option<u64>,
    last_read: Option<u64>,
    reported_broken: Option<u64>,
}

impl LastGood {
    /// The list in force; empty before the first good one.
    pub fn servers(&self) -> &ServerSet {
        &self.servers
    }

    /// Whether the file as it was offered last is broken, and an earlier one counts.
    pub fn is_broken(&self) -> bool {
        self.reported_broken.is_some()
    }

    /// Takes what the file holds now.
    pub fn offer(&mut self, file: &str, text: &str) -> Offer {
        let mark = xxhash_rust::xxh3::xxh3_64(text.as_bytes());
        let settled = self.last_read.replace(mark) == Some(mark) || self.in_force.is_none();
        if self.in_force == Some(mark) {
            self.reported_broken = None;
            return Offer::Nothing;
        }
        if !settled || self.reported_broken == Some(mark) {
            return Offer::Nothing;
        }
        match parse(file, text) {
            Ok(servers) => {
                let difference = Difference::between(&self.servers, &servers);
                (self.servers, self.in_force, self.reported_broken) = (servers, Some(mark), None);
                Offer::Taken(difference)
            }
            Err(e) => {
                self.reported_broken = Some(mark);
                Offer::Broken(e)
            }
        }
    }
}
