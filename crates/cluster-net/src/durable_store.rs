//! A store of named entries in one `redb` database file. Commits of `redb` are atomic and survive a crash at any write.
//!
//! Each batch is one durable commit. Each value carries a checksum over the entry's name and value, so that data that the disk
//! corrupted is detected and rejected.

use std::io::ErrorKind;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

use bitternlatch_quota_lease::{StorageError, StoredEntries};
use redb::{
    Builder, Database, DatabaseError, ReadableDatabase, ReadableTable, StorageBackend,
    TableDefinition, TableError, TableHandle,
};

use crate::service::{Batch, Store};

/// The table of entries by name. A value is a CRC-32 over name and value, followed by the value.
const ENTRIES: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("kept");
/// The table with the format version of the file, under the key `version`.
const METADATA: TableDefinition<'_, &str, u64> = TableDefinition::new("about");
const VERSION_KEY: &str = "version";
/// The format version that this code reads and writes.
const FORMAT_VERSION: u64 = 1;
/// Size of the checksum before each value, bytes.
const CHECKSUM_BYTES: usize = 4;

/// An error of the store, before the message with the advice is made.
enum DiskError {
    Database(redb::Error),
    ForeignDatabase,
    Version(u64),
    Checksum,
    /// The database library panicked, which a damaged file can cause.
    Panicked,
}

impl<E: Into<redb::Error>> From<E> for DiskError {
    fn from(e: E) -> DiskError {
        DiskError::Database(e.into())
    }
}

/// Opens the database.
type OpenDatabase = Box<dyn FnMut() -> Result<Database, DatabaseError> + Send>;

/// A [`Store`] in a database file. After an error the file is opened again on the next access, so that the store recovers by
/// itself, for example when a full disk has free space again.
pub struct DurableStore {
    /// The path of the file, for messages.
    display_path: String,
    open: OpenDatabase,
    db: Option<Database>,
}

impl DurableStore {
    /// A store in the file at `path`, which is created if it does not exist. The file is opened on the first access.
    pub fn new(path: &Path) -> DurableStore {
        let path_buf = path.to_path_buf();
        let open = move || Builder::new().create(&path_buf);
        DurableStore {
            display_path: path.display().to_string(),
            open: Box::new(open),
            db: None,
        }
    }

    /// A store in a custom storage backend. `storage` is called each time the database is opened.
    pub fn with_backend<B: StorageBackend>(
        mut storage: impl FnMut() -> B + Send + 'static,
    ) -> DurableStore {
        let open = move || Builder::new().create_with_backend(storage());
        DurableStore {
            display_path: "storage".to_string(),
            open: Box::new(open),
            db: None,
        }
    }

    fn with_database<T>(
        &mut self,
        operation: impl FnOnce(&Database) -> Result<T, DiskError>,
    ) -> Result<T, StorageError> {
        let db = self.db.take();
        let open = &mut self.open;
        // `redb` asserts invariants of its own writes. A file that was changed by others may violate them, and the panic must not
        // end the thread.
        let run = move || -> Result<(T, Database), DiskError> {
            let db = match db {
                Some(db) => db,
                None => check_or_init(open()?)?,
            };
            operation(&db).map(|value| (value, db))
        };
        let result = catch_unwind(AssertUnwindSafe(run)).unwrap_or(Err(DiskError::Panicked));
        let (value, db) = result.map_err(|e| error_with_advice(&self.display_path, &e))?;
        self.db = Some(db);
        Ok(value)
    }
}

impl Store for DurableStore {
    fn load(&mut self) -> Result<StoredEntries, StorageError> {
        self.with_database(|db| {
            let read = db.begin_read()?;
            let table = read.open_table(ENTRIES)?;
            let mut entries = StoredEntries::new();
            for row in table.iter()? {
                let (name, value) = row?;
                let (name, value) = (name.value(), value.value());
                let (stored_checksum, bytes) = value
                    .split_at_checked(CHECKSUM_BYTES)
                    .ok_or(DiskError::Checksum)?;
                if stored_checksum != checksum(name, bytes) {
                    return Err(DiskError::Checksum);
                }
                entries.push((name.to_vec(), bytes.to_vec()));
            }
            Ok(entries)
        })
    }

    fn put(&mut self, batch: Batch) -> Result<(), StorageError> {
        self.with_database(|db| {
            let write = db.begin_write()?;
            {
                let mut table = write.open_table(ENTRIES)?;
                for (name, bytes) in &batch {
                    match bytes {
                        None => drop(table.remove(name.as_slice())?),
                        Some(bytes) => {
                            let value = [&checksum(name, bytes)[..], bytes].concat();
                            table.insert(name.as_slice(), value.as_slice())?;
                        }
                    }
                }
            }
            write.commit()?;
            Ok(())
        })
    }
}

fn checksum(name: &[u8], bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut hash = crc32fast::Hasher::new();
    hash.update(&(name.len() as u64).to_le_bytes());
    hash.update(name);
    hash.update(bytes);
    hash.finalize().to_le_bytes()
}

/// Writes the format version to a new database, and checks it in an existing one.
fn check_or_init(db: Database) -> Result<Database, DiskError> {
    let read = db.begin_read()?;
    let version = match read.open_table(METADATA) {
        Ok(metadata) => metadata.get(VERSION_KEY)?.map(|v| v.value()),
        Err(TableError::TableDoesNotExist(_)) => None,
        Err(TableError::Storage(e)) => return Err(e.into()),
        Err(_) => return Err(DiskError::ForeignDatabase),
    };
    match version {
        Some(FORMAT_VERSION) => return Ok(db),
        Some(other) => return Err(DiskError::Version(other)),
        None if read.list_tables()?.any(|t| t.name() != METADATA.name()) => {
            return Err(DiskError::ForeignDatabase)
        }
        None => {}
    }
    drop(read);
    let write = db.begin_write()?;
    write.open_table(ENTRIES)?;
    write
        .open_table(METADATA)?
        .insert(VERSION_KEY, FORMAT_VERSION)?;
    write.commit()?;
    Ok(db)
}

fn error_with_advice(display_path: &str, error: &DiskError) -> StorageError {
    let move_away = "move it away to start with an empty store, which is filled from the copies of other members";
    StorageError::Io(match error {
        DiskError::Database(redb::Error::Io(e)) if is_full(e.kind()) => return StorageError::Full,
        DiskError::Database(redb::Error::Io(e)) if e.kind() == ErrorKind::InvalidData => {
            format!("{display_path} is not a store, or is damaged ({e}); {move_away}")
        }
        DiskError::Database(redb::Error::Io(e)) => format!("{display_path}: {e}"),
        DiskError::Database(redb::Error::DatabaseAlreadyOpen) => {
            format!("{display_path} is open in another process; use a different file for each dispatcher")
        }
        DiskError::Database(redb::Error::Corrupted(why)) => {
            format!("{display_path} is damaged ({why}); {move_away}")
        }
        DiskError::Database(e) => format!("{display_path}: {e}; {move_away}"),
        DiskError::ForeignDatabase => {
            format!("{display_path} holds something else; name another file under 'kept'")
        }
        DiskError::Version(version) => {
            format!("{display_path} is of version {version}, and this program reads version {FORMAT_VERSION}; run a program that reads that version, or {move_away}")
        }
        DiskError::Checksum => {
            format!("{display_path} is damaged (a checksum is wrong); {move_away}")
        }
        DiskError::Panicked => format!("{display_path} is damaged; {move_away}"),
    })
}

fn is_full(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge
    )
}
