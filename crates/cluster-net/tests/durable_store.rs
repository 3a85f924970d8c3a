//! What a machine keeps on disk: whole after a crash, refused in words where it is not what was written.

use std::fs;
use std::io::{Error, ErrorKind};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use bitternlatch_cluster_net::{Batch, DurableStore, Store};
use bitternlatch_quota_lease::StorageError;
use redb::StorageBackend;

fn some(name: &str, bytes: &[u8]) -> (Vec<u8>, Option<Vec<u8>>) {
    (name.as_bytes().to_vec(), Some(bytes.to_vec()))
}

fn words(error: StorageError) -> String {
    match error {
        StorageError::Io(words) => words,
        other => panic!("{other:?}"),
    }
}

#[test]
fn what_was_put_survives_a_reopening_and_what_was_removed_does_not() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("copies.redb");
    let mut kept = DurableStore::new(&path);
    assert_eq!(kept.load(), Ok(vec![]));
    let batch: Batch = vec![some("a", b"1"), some("b", &[7; 50_000]), some("c", b"")];
    kept.put(batch).expect("kept");
    kept.put(vec![some("a", b"2"), (b"b".to_vec(), None)])
        .expect("kept");
    let whole = vec![(b"a".to_vec(), b"2".to_vec()), (b"c".to_vec(), vec![])];
    assert_eq!(kept.load(), Ok(whole.clone()));
    let other = words(DurableStore::new(&path).load().expect_err("open already"));
    assert!(other.contains("another process"), "{other}");
    drop(kept);
    assert_eq!(DurableStore::new(&path).load(), Ok(whole));
}

#[test]
fn a_file_that_is_torn_foreign_or_of_another_version_is_refused_with_what_to_do() {
    let dir = tempfile::tempdir().expect("a folder");
    let at = |name: &str| dir.path().join(name);
    let good = at("good.redb");
    let mut kept = DurableStore::new(&good);
    let batch = (0..200u32)
        .map(|i| some(&format!("name-{i}"), &[i as u8; 300]))
        .collect();
    kept.put(batch).expect("kept");
    let found = kept.load().expect("all");
    drop(kept);
    let bytes = fs::read(&good).expect("the file");
    let mut refused = 0;
    for part in 1..16 {
        let torn = at(&format!("torn-{part}"));
        fs::write(&torn, &bytes[..bytes.len() * part / 16]).expect("a file");
        // Whole it may be, as the end of the file is room; another content it never is.
        match DurableStore::new(&torn).load() {
            Ok(kept) => assert_eq!(kept, found, "{part}/16 of it"),
            Err(e) => {
                refused += 1;
                assert!(words(e).contains("move it away"), "{part}/16 of it");
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
            Ok(kept) => assert_eq!(kept, found, "byte {i}"),
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
        words(DurableStore::new(&at("text")).load().expect_err("foreign")).contains("move it away")
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
    assert!(words(
        DurableStore::new(&at("foreign"))
            .load()
            .expect_err("foreign")
    )
    .contains("something else"));
    make("later", redb::TableDefinition::new("about"));
    assert!(
        words(DurableStore::new(&at("later")).load().expect_err("later")).contains("of version 9")
    );
}

/// A disk in memory that holds so many bytes.
#[derive(Clone, Debug)]
struct Small {
    bytes: Arc<Mutex<Vec<u8>>>,
    room: Arc<AtomicU64>,
}

impl StorageBackend for Small {
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
        if len > self.room.load(Ordering::SeqCst) {
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
fn a_full_disk_is_named_keeps_what_it_had_and_goes_on_once_there_is_room() {
    let disk = Small {
        bytes: Arc::default(),
        room: Arc::new(AtomicU64::new(4 << 20)),
    };
    let own = disk.clone();
    let mut kept = DurableStore::with_backend(move || own.clone());
    kept.put(vec![some("first", b"1")]).expect("kept");
    let big = |i: u32| {
        vec![
            some(&format!("big-{i}"), &vec![i as u8; 300_000]),
            some("last", &i.to_le_bytes()),
        ]
    };
    let full = (0..100).find_map(|i| kept.put(big(i)).err().map(|e| (i, e)));
    let (at, error) = full.expect("it runs full");
    assert_eq!(error, StorageError::Full);
    assert!(error.advice().contains("free space"));
    assert_eq!(kept.put(big(at)), Err(StorageError::Full), "still");
    let found = kept.load().expect("what was kept is there");
    assert_eq!(found.len(), 2 + at as usize, "whole batches alone");
    assert!(found.contains(&(b"last".to_vec(), (at - 1).to_le_bytes().to_vec())));
    disk.room.store(64 << 20, Ordering::SeqCst);
    kept.put(big(at)).expect("there is room again");
    assert_eq!(kept.load().expect("all").len(), 3 + at as usize);
}
