//! Charges on disk: written in full or not at all, shipped at least once, billed.
//!
//! The store is `redb`, an embedded one whose commits are atomic and survive a crash at any write. A batch of entries is one
//! commit, so that many charges share one wait for the disk. Entries are kept by response and number: a repeat is dropped, another
//! content under the same number is reported and not taken, and nothing is ever edited.

pub mod output_barrier;

use std::path::Path;

use bitternlatch_budget::charge::{Entries, Entry};
use redb::{
    Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, Table, TableDefinition,
    WriteTransaction,
};

/// Entries by response and number, as JSON.
const ENTRIES: TableDefinition<'_, (&str, u32), &[u8]> = TableDefinition::new("entries");
/// Keys of the entries by sequence number, the order in which they were written.
const ORDER: TableDefinition<'_, u64, (&str, u32)> = TableDefinition::new("order");
/// Under [`SHIPPED`]: all up to this sequence number are known to be elsewhere.
const MARKS: TableDefinition<'_, &str, u64> = TableDefinition::new("marks");
const SHIPPED: &str = "shipped";

/// Why a journal cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The file cannot be opened: look at its path, its rights, and for another process that has it open.
    #[error("{file}: {cause}")]
    Open {
        /// Path of the file.
        file: String,
        /// What the store reports.
        cause: String,
    },
    /// Nothing of what was asked has been done: look at the disk; the call may be repeated.
    #[error("the journal: {0}")]
    Store(String),
    /// An entry was written by a later version, or is damaged.
    #[error("the journal holds an entry that cannot be read: {0}")]
    Entry(#[from] serde_json::Error),
}

/// All of `redb`'s kinds of error become one, as none can be acted on but by a retry.
fn store<E: std::fmt::Display>(e: E) -> JournalError {
    JournalError::Store(e.to_string())
}

/// Place of an entry in the order of writing, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SequenceNumber(pub u64);

/// What became of a batch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Appended {
    /// Entries that were written.
    pub taken: usize,
    /// Entries that were there already.
    pub repeats: usize,
    /// Response and number of entries that differ from the one that is kept.
    pub contradictions: Vec<(String, u32)>,
}

/// A journal's file.
pub struct Journal {
    db: Database,
}

impl Journal {
    /// Opens a journal, or creates one. What a crash has left half done is undone.
    ///
    /// # Errors
    /// [`JournalError::Open`]: a file that is no journal, is damaged, open elsewhere, or cannot be created.
    pub fn open(path: &Path) -> Result<Journal, JournalError> {
        let fault = |cause: String| JournalError::Open {
            file: path.display().to_string(),
            cause,
        };
        let db = Builder::new()
            .create(path)
            .map_err(|e| fault(e.to_string()))?;
        Journal::with_tables(db).map_err(|e| fault(e.to_string()))
    }

    /// As [`Journal::open`], over a storage of the caller's own.
    ///
    /// # Errors
    /// As [`Journal::open`].
    pub fn over(storage: impl StorageBackend) -> Result<Journal, JournalError> {
        let db = Builder::new().create_with_backend(storage).map_err(store)?;
        Journal::with_tables(db)
    }

    fn with_tables(db: Database) -> Result<Journal, JournalError> {
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
    /// [`JournalError::Store`]: the disk is full or fails. Then nothing of the batch is kept, and it may be retried.
    pub fn append(&self, batch: &[Entry]) -> Result<Appended, JournalError> {
        let write = self.db.begin_write().map_err(store)?;
        let appended = append_to(&write, batch)?;
        write.commit().map_err(store)?;
        Ok(appended)
    }

    /// The oldest entries that are not known to be elsewhere, in order, `max` of them at most.
    ///
    /// # Errors
    /// As [`Journal::append`]; an entry that cannot be read.
    pub fn unshipped(&self, max: usize) -> Result<Vec<(SequenceNumber, Entry)>, JournalError> {
        let read = self.db.begin_read().map_err(store)?;
        let marks = read.open_table(MARKS).map_err(store)?;
        let shipped = marks.get(SHIPPED).map_err(store)?;
        let from = shipped.map_or(0, |mark| mark.value()) + 1;
        let entries = read.open_table(ENTRIES).map_err(store)?;
        let order = read.open_table(ORDER).map_err(store)?;
        let mut found = Vec::new();
        for row in order.range(from..).map_err(store)?.take(max) {
            let (sequence, key) = row.map_err(store)?;
            if let Some(text) = entries.get(key.value()).map_err(store)? {
                let entry = serde_json::from_slice(text.value())?;
                found.push((SequenceNumber(sequence.value()), entry));
            }
        }
        Ok(found)
    }

    /// All up to a sequence number are elsewhere. A lower one than was reported before changes nothing.
    ///
    /// # Errors
    /// As [`Journal::append`].
    pub fn shipped(&self, up_to: SequenceNumber) -> Result<(), JournalError> {
        let write = self.db.begin_write().map_err(store)?;
        {
            let mut marks = write.open_table(MARKS).map_err(store)?;
            let known = marks.get(SHIPPED).map_err(store)?;
            let known = known.map_or(0, |mark| mark.value());
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
            all.insert(serde_json::from_slice(text.value())?);
        }
        Ok(all)
    }
}

fn append_to(write: &WriteTransaction, batch: &[Entry]) -> Result<Appended, JournalError> {
    let mut entries = write.open_table(ENTRIES).map_err(store)?;
    let mut order = write.open_table(ORDER).map_err(store)?;
    let mut next = next_sequence(&order)?;
    let mut appended = Appended::default();
    for entry in batch {
        let key = (entry.response.as_str(), entry.number);
        let text = serde_json::to_vec(entry)?;
        let is_repeat = entries
            .get(key)
            .map_err(store)?
            .map(|kept| kept.value() == text);
        match is_repeat {
            Some(true) => appended.repeats += 1,
            Some(false) => {
                let id = (entry.response.clone(), entry.number);
                appended.contradictions.push(id);
            }
            None => {
                entries.insert(key, text.as_slice()).map_err(store)?;
                order.insert(next, key).map_err(store)?;
                next += 1;
                appended.taken += 1;
            }
        }
    }
    Ok(appended)
}

fn next_sequence(order: &Table<'_, u64, (&str, u32)>) -> Result<u64, JournalError> {
    let last = order.last().map_err(store)?;
    Ok(last.map_or(1, |(sequence, _)| sequence.value() + 1))
}
