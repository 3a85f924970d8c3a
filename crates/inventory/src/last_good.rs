//! Keeps the last valid list of a file that is reread periodically, until a new valid list is complete and stable.

use crate::{parse, ListError, ServerSet};

/// Difference between two lists, by server name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Servers only in the new list.
    pub added: Vec<String>,
    /// Servers only in the old list.
    pub removed: Vec<String>,
    /// Servers in both lists with a different value in any field.
    pub changed: Vec<String>,
}

impl Difference {
    /// Computes the difference from `old` to `new`.
    pub fn between(old: &ServerSet, new: &ServerSet) -> Self {
        let names = |selects: &dyn Fn(&String) -> bool, of: &ServerSet| {
            of.keys()
                .filter(|n| selects(n))
                .cloned()
                .collect::<Vec<_>>()
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

/// Result of [`LastValidList::update`].
#[derive(Clone, Debug, PartialEq)]
pub enum UpdateOutcome {
    /// No change: the text is the one in effect, has not been read twice in a row yet, or was reported as invalid before.
    Unchanged,
    /// A new list is in effect from now on.
    Applied(Difference),
    /// The text is invalid; the last valid list stays in effect. Reported once for each invalid text.
    Invalid(ListError),
}

/// The last valid list of one file.
///
/// A text is applied only after it has been read twice in a row, because a file that is still being written may mix old
/// and new content and nevertheless be valid. The first text is applied at once.
#[derive(Debug, Default)]
pub struct LastValidList {
    servers: ServerSet,
    /// Hash of the text in effect.
    in_effect: Option<u64>,
    /// Hash of the text that was read last.
    last_read: Option<u64>,
    /// Hash of the invalid text that was reported last.
    reported_invalid: Option<u64>,
}

impl LastValidList {
    /// The list in effect; empty before the first valid one.
    pub fn servers(&self) -> &ServerSet {
        &self.servers
    }

    /// Whether an invalid text has been reported and no valid text has been applied or read again since.
    pub fn is_invalid(&self) -> bool {
        self.reported_invalid.is_some()
    }

    /// Processes the current text of the file. `file` is its name for error messages.
    pub fn update(&mut self, file: &str, text: &str) -> UpdateOutcome {
        let hash = xxhash_rust::xxh3::xxh3_64(text.as_bytes());
        let is_stable = self.last_read.replace(hash) == Some(hash) || self.in_effect.is_none();
        if self.in_effect == Some(hash) {
            self.reported_invalid = None;
            return UpdateOutcome::Unchanged;
        }
        if !is_stable || self.reported_invalid == Some(hash) {
            return UpdateOutcome::Unchanged;
        }
        match parse(file, text) {
            Ok(servers) => {
                let difference = Difference::between(&self.servers, &servers);
                (self.servers, self.in_effect, self.reported_invalid) = (servers, Some(hash), None);
                UpdateOutcome::Applied(difference)
            }
            Err(e) => {
                self.reported_invalid = Some(hash);
                UpdateOutcome::Invalid(e)
            }
        }
    }
}
