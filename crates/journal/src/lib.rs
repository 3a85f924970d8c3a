//! Charges on disk: written whole or not at all, shipped at least once, billed.
//!
//! The store is `redb`, an embedded one whose commits are atomic and survive a crash at any write. A batch of entries is one
//! commit, so that many charges share one wait for the disk. Entries are kept by response and number: a repeat is dropped, another content
//! under the same number is told and not taken, and nothing is ever edited.

pub mod held;

use std::path::Path;

use bitternlatch_budget::charge::{Entries, Entry};
use redb::{Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};

/// Entries by response and number, as JSON.
const ENTRIES: TableDefinition<'_, (&str, u32), &[u8]> = TableDefinition::new("entries");
/// The order in which they were written.
const ORDER: TableDefinition<'_, u64, (&str, u32)> = TableDefinition::new("order");
/// `shipped`: all up to this place in the order are known to be elsewhere.
const MARKS: TableDefinition<'_, &str, u64> = TableDefinition::new("marks");
const SHIPPED: &str = "shipped";

/// Why a journal cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    #[error("{file}: {cause}")]
    Open { file: String, cause: String },
    /// Nothing of what was asked has been done.
    #[error("the journal: {0}")]
    Store(String),
    #[error("the journal holds an entry that cannot be read: {0}")]
    Entry(#[from] serde_json::Error),
}

/// All of `redb`'s kinds of error become one, as none can be acted on but by trying again.
fn store<E: std::fmt::Display>(e: E) -> JournalError {
    JournalError::Store(e.to_string())
}

/// A place in the order, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place(pub u64);

/// What became of a batch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Appended {
    pub taken: usize,
    pub repeats: usize,
    /// Response and number of entries that differ from the one that is kept.
    pub contradictions: Vec<(String, u32)>,
}

pub struct Journal {
    db: Database,
}

impl Journal {
    /// Opens a journal, or makes one. What a crash has left half done is undone.
    ///
    /// # Errors
    /// [`JournalError::Open`]: a file that is no journal, is damaged, open elsewhere, or cannot be made.
    pub fn open(path: &Path) -> Result<Journal, JournalError> {
        let fault = |cause: String| JournalError::Open {
            file: path.display().to_string(),
            cause,
        };
        let db = Builder::new()
            .create(path)
            .map_err(|e| fault(e.to_string()))?;
        Journal::begin(db).map_err(|e| fault(e.to_string()))
    }

    /// As [`Journal::open`], over a storage of the caller's own.
    ///
    /// # Errors
    /// As [`Journal::open`].
    pub fn over(storage: impl StorageBackend) -> Result<Journal, JournalError> {
        Journal::begin(Builder::new().create_with_backend(storage).map_err(store)?)
    }

    fn begin(db: Database) -> Result<Journal, JournalError> {
        let write = db.begin_write().map_err(store)?;
        write.open_table(ENTRIES).map_err(store)?;
        write.open_table(ORDER).map_err(store)?;
        write.open_table(MARKS).map_err(store)?;
        write.commit().map_err(store)?;
        Ok(Journal { db })
    }

    /// Writes a batch; once this returns it survives a crash.
    ///
    /// # Errors
    /// [`JournalError::Store`]: the disk is full or fails. Then nothing of the batch is kept, and it may be tried again.
    pub fn append(&self, batch: &[Entry]) -> Result<Appended, JournalError> {
        let mut done = Appended::default();
        let write = self.db.begin_write().map_err(store)?;
        {
            let mut entries = write.open_table(ENTRIES).map_err(store)?;
            let mut order = write.open_table(ORDER).map_err(store)?;
            let mut next = order
                .last()
                .map_err(store)?
                .map_or(1, |(place, _)| place.value() + 1);
            for entry in batch {
                let key = (entry.response.as_str(), entry.number);
                let text = serde_json::to_vec(entry)?;
                let known = entries
                    .get(key)
                    .map_err(store)?
                    .map(|kept| kept.value() == text);
                match known {
                    Some(true) => done.repeats += 1,
                    Some(false) => done
                        .contradictions
                        .push((entry.response.clone(), entry.number)),
                    None => {
                        entries.insert(key, text.as_slice()).map_err(store)?;
                        order.insert(next, key).map_err(store)?;
                        next += 1;
                        done.taken += 1;
                    }
                }
            }
        }
        write.commit().map_err(store)?;
        Ok(done)
    }

    /// The oldest entries that are not known to be elsewhere, in order.
    ///
    /// # Errors
    /// As [`Journal::append`]; an entry that cannot be read.
    pub fn unshipped(&self, most: usize) -> Result<Vec<(Place, Entry)>, JournalError> {
        let read = self.db.begin_read().map_err(store)?;
        let marks = read.open_table(MARKS).map_err(store)?;
        let from = marks.get(SHIPPED).map_err(store)?.map_or(0, |m| m.value()) + 1;
        let (entries, order) = (
            read.open_table(ENTRIES).map_err(store)?,
            read.open_table(ORDER).map_err(store)?,
        );
        let mut found = Vec::new();
        for row in order.range(from..).map_err(store)?.take(most) {
            let (place, key) = row.map_err(store)?;
            if let Some(text) = entries.get(key.value()).map_err(store)? {
                found.push((Place(place.value()), serde_json::from_slice(text.value())?));
            }
        }
        Ok(found)
    }

    /// All up to a place are elsewhere. An older place than one told before changes nothing.
    ///
    /// # Errors
    /// As [`Journal::append`].
    pub fn shipped(&self, up_to: Place) -> Result<(), JournalError> {
        let write = self.db.begin_write().map_err(store)?;
        {
            let mut marks = write.open_table(MARKS).map_err(store)?;
            let known = marks.get(SHIPPED).map_err(store)?.map_or(0, |m| m.value());
            marks.insert(SHIPPED, known.max(up_to.0)).map_err(store)?;
        }
        write.commit().map_err(store)
    }

    /// All entries.
    ///
    /// # Errors
    /// As [`Journal::unshipped`].
    pub fn entries(&self) -> Result<Entries, JournalError> {
        let read = self.db.begin_read().map_err(store)?;
        let table = read.open_table(ENTRIES).map_err(store)?;
        let mut all = Entries::default();
        for row in table.iter().map_err(store)? {
            let (_, text) = row.map_err(store)?;
            all.offer(serde_json::from_slice(text.value())?);
        }
        Ok(all)
    }
}
