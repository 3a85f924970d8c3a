//! The durable store of a service: entries survive a reopening and a full disk, and a damaged or foreign file is rejected with a
//! message that says what to do.

use std::fs;
use std::io::{Error, ErrorKind};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use bitternlatch_cluster_net::{Batch, DurableStore, Store};
use bitternlatch_quota_lease::StorageError;
use redb::StorageBackend;

fn entry(name: &str, bytes: &[u8]) -> (Vec<u8>, Option<Vec<u8>>) {
    (name.as_bytes().to_vec(), Some(bytes.to_vec()))
}

fn message(error: StorageError) -> String {
    match error {
        StorageError::Io(message) => message,
        other => panic!("{other:?}"),
    }
}

#[test]
fn entries_survive_a_reopening_and_removed_entries_do_not() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("copies.redb");
    let mut store = DurableStore::new(&path);
    assert_eq!(store.load(), Ok(vec![]));
    let batch: Batch = vec![entry("a", b"1"), entry("b", &[7; 50_000]), entry("c", b"")];
    store.put(batch).expect("stored");
    store
        .put(vec![entry("a", b"2"), (b"b".to_vec(), None)])
        .expect("stored");
    let remaining = vec![(b"a".to_vec(), b"2".to_vec()), (b"c".to_vec(), vec![])];
    assert_eq!(store.load(), Ok(remaining.clone()));
    let other = message(DurableStore::new(&path).load().expect_err("open already"));
    assert!(other.contains("another process"), "{other}");
    drop(store);
    assert_eq!(DurableStore::new(&path).load(), Ok(remaining));
}

#[test]
fn a_truncated_foreign_or_later_version_file_is_rejected_with_advice() {
    let dir = tempfile::tempdir().expect("a directory");
    let at = |name: &str| dir.path().join(name);
    let good = at("good.redb");
    let mut store = DurableStore::new(&good);
    let batch = (0..200u32)
        .map(|i| entry(&format!("name-{i}"), &[i as u8; 300]))
        .collect();
    store.put(batch).expect("stored");
    let found = store.load().expect("all");
    drop(store);
    let bytes = fs::read(&good).expect("the file");
    let mut refused = 0;
    for sixteenths in 1..16 {
        let torn = at(&format!("torn-{sixteenths}"));
        fs::write(&torn, &bytes[..bytes.len() * sixteenths / 16]).expect("a file");
        // A truncated file may still be complete, as the end of the file is unused space; it never has other content.
        match DurableStore::new(&torn).load() {
            Ok(entries) => assert_eq!(entries, found, "{sixteenths}/16 of the file"),
            Err(e) => {
                refused += 1;
                assert!(
                    message(e).contains("move it away"),
                    "{sixteenths}/16 of the file"
                );
            }
        }
    }
    assert!(refused > 8, "{refused} of 15 torn ones are refused");
    let mut noticed = 0;
    for i in (0..bytes.len()).step_by(bytes.len() / 150) {
        let flipped = at("flipped");
        let mut other = bytes.clone();
        other[i] ^= 0x10;
        fs::write(&flipped, other).expect("a file");
        match DurableStore::new(&flipped).load() {
            Ok(entries) => assert_eq!(entries, found, "byte {i}"),
            Err(_) => noticed += 1,
        }
    }
    assert!(noticed > 3, "{noticed} flipped bits are noticed");
    fs::write(
        at("text"),
        "not a store at all, but some longer text".repeat(200),
    )
    .expect("a file");
    assert!(
        message(DurableStore::new(&at("text")).load().expect_err("foreign"))
            .contains("move it away")
    );
    let make = |name: &str, table: redb::TableDefinition<'_, &str, u64>| {
        let db = redb::Database::create(at(name)).expect("a database");
        let write = db.begin_write().expect("a write");
        write
            .open_table(table)
            .expect("a table")
            .insert("version", 9)
            .expect("put");
        write.commit().expect("written");
    };
    make("foreign", redb::TableDefinition::new("others"));
    assert!(message(
        DurableStore::new(&at("foreign"))
            .load()
            .expect_err("foreign")
    )
    .contains("something else"));
    make("later", redb::TableDefinition::new("about"));
    assert!(
        message(DurableStore::new(&at("later")).load().expect_err("later"))
            .contains("of version 9")
    );
}

/// An in-memory storage backend with a limited capacity.
#[derive(Clone, Debug)]
struct LimitedStorage {
    bytes: Arc<Mutex<Vec<u8>>>,
    /// Maximum length of the storage, bytes.
    capacity: Arc<AtomicU64>,
}

impl StorageBackend for LimitedStorage {
    fn len(&self) -> Result<u64, Error> {
        Ok(self.bytes.lock().expect("not poisoned").len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let bytes = self.bytes.lock().expect("not poisoned");
        let from = offset as usize;
        let part = bytes
            .get(from..from + out.len())
            .ok_or(Error::from(ErrorKind::UnexpectedEof))?;
        out.copy_from_slice(part);
        Ok(())
    }
    fn set_len(&self, len: u64) -> Result<(), Error> {
        if len > self.capacity.load(Ordering::SeqCst) {
            return Err(Error::from(ErrorKind::StorageFull));
        }
        self.bytes
            .lock()
            .expect("not poisoned")
            .resize(len as usize, 0);
        Ok(())
    }
    fn sync_data(&self) -> Result<(), Error> {
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        let mut bytes = self.bytes.lock().expect("not poisoned");
        let (from, to) = (offset as usize, offset as usize + data.len());
        if to > bytes.len() {
            bytes.resize(to, 0);
        }
        bytes[from..to].copy_from_slice(data);
        Ok(())
    }
}

#[test]
fn a_full_disk_is_reported_loses_no_entry_and_recovers_when_space_is_free() {
    let disk = LimitedStorage {
        bytes: Arc::default(),
        capacity: Arc::new(AtomicU64::new(4 << 20)),
    };
    let backend = disk.clone();
    let mut store = DurableStore::with_backend(move || backend.clone());
    store.put(vec![entry("first", b"1")]).expect("stored");
    let big = |i: u32| {
        vec![
            entry(&format!("big-{i}"), &vec![i as u8; 300_000]),
            entry("last", &i.to_le_bytes()),
        ]
    };
    let full = (0..100).find_map(|i| store.put(big(i)).err().map(|e| (i, e)));
    let (at, error) = full.expect("it runs full");
    assert_eq!(error, StorageError::Full);
    assert!(error.advice().contains("free space"));
    assert_eq!(store.put(big(at)), Err(StorageError::Full), "still");
    let found = store.load().expect("the stored entries");
    assert_eq!(found.len(), 2 + at as usize, "complete batches only");
    assert!(found.contains(&(b"last".to_vec(), (at - 1).to_le_bytes().to_vec())));
    disk.capacity.store(64 << 20, Ordering::SeqCst);
    store.put(big(at)).expect("there is room again");
    assert_eq!(store.load().expect("all").len(), 3 + at as usize);
}
