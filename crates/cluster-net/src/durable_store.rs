//! Keeps names and bytes in one file: the store is `redb`, whose commits are atomic and survive a crash at any write.
//!
//! A batch is one durable commit. Each value bears a checksum of its name and bytes, so that a disk that gives back what was never
//! written is noticed, and not believed.

use std::io::ErrorKind;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

use bitternlatch_quota_lease::{StorageError, StoredEntries};
use redb::{
    Builder, Database, DatabaseError, ReadableDatabase, ReadableTable, StorageBackend,
    TableDefinition, TableError, TableHandle,
};

use crate::service::{Batch, Store};

/// Names, and a CRC-32 of name and bytes before the bytes.
const KEPT: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("kept");
/// `version` of this form.
const ABOUT: TableDefinition<'_, &str, u64> = TableDefinition::new("about");
const VERSION: &str = "version";
const THIS_VERSION: u64 = 1;
const CHECKSUM: usize = 4;

/// What is wrong with the store, before it is put into words.
enum Fault {
    Store(redb::Error),
    Foreign,
    Version(u64),
    Checksum,
    /// The library met what it holds impossible.
    Broken,
}

impl<E: Into<redb::Error>> From<E> for Fault {
    fn from(e: E) -> Fault {
        Fault::Store(e.into())
    }
}

type Open = Box<dyn FnMut() -> Result<Database, DatabaseError> + Send>;

/// A file of names and bytes. After a fault it is opened anew, so that it goes on by itself once there is room again.
pub struct DurableStore {
    /// Its path, for messages.
    shown: String,
    open: Open,
    db: Option<Database>,
}

impl DurableStore {
    /// Keeps in a file, made where there is none; it is opened by the thread that uses it.
    pub fn new(path: &Path) -> DurableStore {
        let own = path.to_path_buf();
        let open = move || Builder::new().create(&own);
        DurableStore {
            shown: path.display().to_string(),
            open: Box::new(open),
            db: None,
        }
    }

    /// Keeps in storage of the caller's own, asked for at each opening.
    pub fn with_backend<B: StorageBackend>(
        mut storage: impl FnMut() -> B + Send + 'static,
    ) -> DurableStore {
        let open = move || Builder::new().create_with_backend(storage());
        DurableStore {
            shown: "storage".to_string(),
            open: Box::new(open),
            db: None,
        }
    }

    fn with<T>(
        &mut self,
        act: impl FnOnce(&Database) -> Result<T, Fault>,
    ) -> Result<T, StorageError> {
        let db = self.db.take();
        let open = &mut self.open;
        // The library asserts what its own writes make true; a file that others wrote to may break that, and a thread with it.
        let run = move || -> Result<(T, Database), Fault> {
            let db = match db {
                Some(db) => db,
                None => begin(open()?)?,
            };
            act(&db).map(|done| (done, db))
        };
        let done = catch_unwind(AssertUnwindSafe(run)).unwrap_or(Err(Fault::Broken));
        let (done, db) = done.map_err(|fault| in_words(&self.shown, &fault))?;
        self.db = Some(db);
        Ok(done)
    }
}

impl Store for DurableStore {
    fn load(&mut self) -> Result<StoredEntries, StorageError> {
        self.with(|db| {
            let read = db.begin_read()?;
            let kept = read.open_table(KEPT)?;
            let mut found = StoredEntries::new();
            for row in kept.iter()? {
                let (name, value) = row?;
                let (name, value) = (name.value(), value.value());
                let (sum, bytes) = value.split_at_checked(CHECKSUM).ok_or(Fault::Checksum)?;
                if sum != checksum(name, bytes) {
                    return Err(Fault::Checksum);
                }
                found.push((name.to_vec(), bytes.to_vec()));
            }
            Ok(found)
        })
    }

    fn put(&mut self, batch: Batch) -> Result<(), StorageError> {
        self.with(|db| {
            let write = db.begin_write()?;
            {
                let mut kept = write.open_table(KEPT)?;
                for (name, bytes) in &batch {
                    match bytes {
                        None => drop(kept.remove(name.as_slice())?),
                        Some(bytes) => {
                            let value = [&checksum(name, bytes)[..], bytes].concat();
                            kept.insert(name.as_slice(), value.as_slice())?;
                        }
                    }
                }
            }
            write.commit()?;
            Ok(())
        })
    }
}

fn checksum(name: &[u8], bytes: &[u8]) -> [u8; CHECKSUM] {
    let mut hash = crc32fast::Hasher::new();
    hash.update(&(name.len() as u64).to_le_bytes());
    hash.update(name);
    hash.update(bytes);
    hash.finalize().to_le_bytes()
}

/// A new store is given its version; one that is there has to have it.
fn begin(db: Database) -> Result<Database, Fault> {
    let read = db.begin_read()?;
    let version = match read.open_table(ABOUT) {
        Ok(about) => about.get(VERSION)?.map(|v| v.value()),
        Err(TableError::TableDoesNotExist(_)) => None,
        Err(TableError::Storage(e)) => return Err(e.into()),
        Err(_) => return Err(Fault::Foreign),
    };
    match version {
        Some(THIS_VERSION) => return Ok(db),
        Some(other) => return Err(Fault::Version(other)),
        None if read.list_tables()?.any(|t| t.name() != ABOUT.name()) => {
            return Err(Fault::Foreign)
        }
        None => {}
    }
    drop(read);
    let write = db.begin_write()?;
    write.open_table(KEPT)?;
    write.open_table(ABOUT)?.insert(VERSION, THIS_VERSION)?;
    write.commit()?;
    Ok(db)
}

fn in_words(shown: &str, fault: &Fault) -> StorageError {
    let away = "move it away to begin empty, and let the copies elsewhere fill it";
    StorageError::Io(match fault {
        Fault::Store(redb::Error::Io(e)) if is_full(e.kind()) => return StorageError::Full,
        Fault::Store(redb::Error::Io(e)) if e.kind() == ErrorKind::InvalidData => {
            format!("{shown} is no store, or is damaged ({e}); {away}")
        }
        Fault::Store(redb::Error::Io(e)) => format!("{shown}: {e}"),
        Fault::Store(redb::Error::DatabaseAlreadyOpen) => {
            format!("{shown} is open in another process; give each dispatcher a file of its own")
        }
        Fault::Store(redb::Error::Corrupted(why)) => format!("{shown} is damaged ({why}); {away}"),
        Fault::Store(e) => format!("{shown}: {e}; {away}"),
        Fault::Foreign => format!("{shown} holds something else; name another file under 'kept'"),
        Fault::Version(version) => {
            format!("{shown} is of version {version}, and {THIS_VERSION} is read here; start that program, or {away}")
        }
        Fault::Checksum => format!("{shown} is damaged (a checksum is wrong); {away}"),
        Fault::Broken => format!("{shown} is damaged; {away}"),
    })
}

fn is_full(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge
    )
}
