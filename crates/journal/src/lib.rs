//! Durable journal of charge entries: each batch is stored atomically and shipped to the quota server at least once.
//!
//! Entries are stored in `redb`, an embedded database whose commits are atomic and survive a crash at any write. A batch
//! of entries is one commit, so that many charges share one disk sync. Entries are keyed by response and number. A
//! duplicate is ignored, an entry that differs from the stored one with its key is reported and not stored, and stored
//! entries are never modified.

pub mod output_barrier;

use std::path::Path;

use bitternlatch_budget::charge::{Entries, Entry};
use redb::{
    Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, Table, TableDefinition,
    WriteTransaction,
};

/// Table of the entries as JSON, keyed by response id and entry number.
const ENTRIES: TableDefinition<'_, (&str, u32), &[u8]> = TableDefinition::new("entries");
/// Table of the entries' keys by sequence number, in the order in which they were written.
const ORDER: TableDefinition<'_, u64, (&str, u32)> = TableDefinition::new("order");
/// Table of named sequence numbers; the only one is [`SHIPPED`].
const MARKS: TableDefinition<'_, &str, u64> = TableDefinition::new("marks");
/// Name in [`MARKS`] of the sequence number up to which all entries have been shipped and acknowledged.
const SHIPPED: &str = "shipped";

/// Why a journal cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The file cannot be opened. Possible causes are its path, its permissions, or another process that has it open.
    #[error("{file}: {cause}")]
    Open {
        /// Path of the file.
        file: String,
        /// The error of the database.
        cause: String,
    },
    /// The database failed, usually because of the disk. The call had no effect and may be retried.
    #[error("the journal: {0}")]
    Store(String),
    /// A stored entry cannot be parsed: it was written by a later version or is corrupted.
    #[error("the journal holds an entry that cannot be read: {0}")]
    Entry(#[from] serde_json::Error),
}

/// Converts any `redb` error: callers cannot do more than retry, whatever the kind.
fn store_error<E: std::fmt::Display>(e: E) -> JournalError {
    JournalError::Store(e.to_string())
}

/// Position of an entry in the order in which entries were written, starting at 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SequenceNumber(pub u64);

/// Result of appending a batch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Appended {
    /// Number of entries that were written.
    pub written: usize,
    /// Number of entries that were already stored with the same content.
    pub duplicates: usize,
    /// Response id and number of each entry that differs from the stored one with the same key.
    pub conflicts: Vec<(String, u32)>,
}

/// An open journal file.
pub struct Journal {
    db: Database,
}

impl Journal {
    /// Opens or creates a journal. A commit that a crash interrupted is rolled back.
    ///
    /// # Errors
    /// [`JournalError::Open`] if the file is not a journal, is corrupted, is open in another process, or cannot be
    /// created.
    pub fn open(path: &Path) -> Result<Journal, JournalError> {
        let open_error = |cause: String| JournalError::Open {
            file: path.display().to_string(),
            cause,
        };
        let db = Builder::new()
            .create(path)
            .map_err(|e| open_error(e.to_string()))?;
        Journal::with_tables(db).map_err(|e| open_error(e.to_string()))
    }

    /// Opens or creates a journal in the given storage backend.
    ///
    /// # Errors
    /// [`JournalError::Store`] if the storage fails or its content is not a journal.
    pub fn with_backend(storage: impl StorageBackend) -> Result<Journal, JournalError> {
        let db = Builder::new()
            .create_with_backend(storage)
            .map_err(store_error)?;
        Journal::with_tables(db)
    }

    fn with_tables(db: Database) -> Result<Journal, JournalError> {
        let write = db.begin_write().map_err(store_error)?;
        write.open_table(ENTRIES).map_err(store_error)?;
        write.open_table(ORDER).map_err(store_error)?;
        write.open_table(MARKS).map_err(store_error)?;
        write.commit().map_err(store_error)?;
        Ok(Journal { db })
    }

    /// Writes a batch of entries in one commit. The batch is durable when this returns.
    ///
    /// # Errors
    /// [`JournalError::Store`] if the disk is full or fails. Nothing of the batch is stored then, and it may be retried.
    pub fn append(&self, batch: &[Entry]) -> Result<Appended, JournalError> {
        let write = self.db.begin_write().map_err(store_error)?;
        let appended = append_to(&write, batch)?;
        write.commit().map_err(store_error)?;
        Ok(appended)
    }

    /// Up to `max` of the oldest entries that have not been marked as shipped, in the order of writing.
    ///
    /// # Errors
    /// [`JournalError::Store`] if the disk fails; [`JournalError::Entry`] if an entry cannot be parsed.
    pub fn unshipped(&self, max: usize) -> Result<Vec<(SequenceNumber, Entry)>, JournalError> {
        let read = self.db.begin_read().map_err(store_error)?;
        let marks = read.open_table(MARKS).map_err(store_error)?;
        let shipped = marks.get(SHIPPED).map_err(store_error)?;
        let from = shipped.map_or(0, |mark| mark.value()) + 1;
        let entries = read.open_table(ENTRIES).map_err(store_error)?;
        let order = read.open_table(ORDER).map_err(store_error)?;
        let mut found = Vec::new();
        for row in order.range(from..).map_err(store_error)?.take(max) {
            let (sequence, key) = row.map_err(store_error)?;
            if let Some(text) = entries.get(key.value()).map_err(store_error)? {
                let entry = serde_json::from_slice(text.value())?;
                found.push((SequenceNumber(sequence.value()), entry));
            }
        }
        Ok(found)
    }

    /// Marks all entries up to a sequence number as shipped. A number below the current mark has no effect.
    ///
    /// # Errors
    /// As [`Journal::append`].
    pub fn mark_shipped(&self, up_to: SequenceNumber) -> Result<(), JournalError> {
        let write = self.db.begin_write().map_err(store_error)?;
        {
            let mut marks = write.open_table(MARKS).map_err(store_error)?;
            let current = marks.get(SHIPPED).map_err(store_error)?;
            let current = current.map_or(0, |mark| mark.value());
            marks
                .insert(SHIPPED, current.max(up_to.0))
                .map_err(store_error)?;
        }
        write.commit().map_err(store_error)
    }

    /// The latest entry of each response in the journal.
    ///
    /// # Errors
    /// As [`Journal::unshipped`].
    pub fn entries(&self) -> Result<Entries, JournalError> {
        let read = self.db.begin_read().map_err(store_error)?;
        let table = read.open_table(ENTRIES).map_err(store_error)?;
        let mut all = Entries::default();
        for row in table.iter().map_err(store_error)? {
            let (_, text) = row.map_err(store_error)?;
            all.insert(serde_json::from_slice(text.value())?);
        }
        Ok(all)
    }
}

fn append_to(write: &WriteTransaction, batch: &[Entry]) -> Result<Appended, JournalError> {
    let mut entries = write.open_table(ENTRIES).map_err(store_error)?;
    let mut order = write.open_table(ORDER).map_err(store_error)?;
    let mut next = next_sequence(&order)?;
    let mut appended = Appended::default();
    for entry in batch {
        let key = (entry.response.as_str(), entry.number);
        let text = serde_json::to_vec(entry)?;
        let is_duplicate = entries
            .get(key)
            .map_err(store_error)?
            .map(|stored| stored.value() == text);
        match is_duplicate {
            Some(true) => appended.duplicates += 1,
            Some(false) => {
                let id = (entry.response.clone(), entry.number);
                appended.conflicts.push(id);
            }
            None => {
                entries.insert(key, text.as_slice()).map_err(store_error)?;
                order.insert(next, key).map_err(store_error)?;
                next += 1;
                appended.written += 1;
            }
        }
    }
    Ok(appended)
}

fn next_sequence(order: &Table<'_, u64, (&str, u32)>) -> Result<u64, JournalError> {
    let last = order.last().map_err(store_error)?;
    Ok(last.map_or(1, |(sequence, _)| sequence.value() + 1))
}
