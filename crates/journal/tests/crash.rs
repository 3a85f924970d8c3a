//! Simulates a crash at every write, length change and sync of the storage. Of the operations after the last sync, all,
//! none or half have reached the disk.

use std::sync::{Arc, Mutex};

use bitternlatch_budget::charge::{Entry, Usage};
use bitternlatch_budget::Amount;
use bitternlatch_journal::{Journal, SequenceNumber};
use redb::StorageBackend;

#[derive(Clone, Debug)]
enum Op {
    Write(u64, Vec<u8>),
    Length(u64),
    Sync,
}

fn apply(bytes: &mut Vec<u8>, op: &Op) {
    match op {
        Op::Write(at, data) => {
            let (from, to) = (*at as usize, *at as usize + data.len());
            if bytes.len() < to {
                bytes.resize(to, 0);
            }
            bytes[from..to].copy_from_slice(data);
        }
        Op::Length(len) => bytes.resize(*len as usize, 0),
        Op::Sync => {}
    }
}

#[derive(Debug, Default)]
struct Inner {
    bytes: Vec<u8>,
    operations: Vec<Op>,
    /// Number of further operations that succeed; none after that.
    remaining: Option<usize>,
}

/// An in-memory disk that records all operations and can be made to run full.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<Inner>>);

impl Disk {
    fn of(bytes: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(Inner {
            bytes,
            ..Inner::default()
        })))
    }

    fn act(&self, op: Op) -> Result<(), std::io::Error> {
        let mut inner = self.0.lock().expect("not poisoned");
        match &mut inner.remaining {
            Some(0) => return Err(std::io::Error::from(std::io::ErrorKind::StorageFull)),
            Some(remaining) => *remaining -= 1,
            None => {}
        }
        apply(&mut inner.bytes, &op);
        inner.operations.push(op);
        Ok(())
    }

    fn ops(&self) -> Vec<Op> {
        self.0.lock().expect("not poisoned").operations.clone()
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, std::io::Error> {
        Ok(self.0.lock().expect("not poisoned").bytes.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        let inner = self.0.lock().expect("not poisoned");
        let from = offset as usize;
        let Some(part) = inner.bytes.get(from..from + out.len()) else {
            return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof));
        };
        out.copy_from_slice(part);
        Ok(())
    }
    fn set_len(&self, len: u64) -> Result<(), std::io::Error> {
        self.act(Op::Length(len))
    }
    fn sync_data(&self) -> Result<(), std::io::Error> {
        self.act(Op::Sync)
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        self.act(Op::Write(offset, data.to_vec()))
    }
}

fn entry(i: u32, number: u32, output: u32) -> Entry {
    Entry {
        response: format!("resp_{i}"),
        number,
        tenant: "bands".into(),
        class: "query".into(),
        owner: String::new(),
        key: String::new(),
        accepted_us: 1,
        used: Usage::Known(Amount { prompt: 10, output }),
    }
}

/// Batch `n`: three first entries and, after the first batch, a correction of the previous batch's last entry.
fn batch(n: u32) -> Vec<Entry> {
    let mut batch: Vec<Entry> = (0..3).map(|i| entry(n * 3 + i, 1, 1)).collect();
    if n > 0 {
        batch.push(entry(n * 3 - 1, 2, 5));
    }
    batch
}

const BATCHES: u32 = 6;

/// Contents of the disk after a crash before operation `at`: everything that was synced and, of the later operations, all
/// (`kept` 0), none (1), or every other one with the last one torn in half (2).
fn contents_after_crash(ops: &[Op], at: usize, kept: usize) -> Vec<u8> {
    let synced = ops[..at]
        .iter()
        .rposition(|o| matches!(o, Op::Sync))
        .map_or(0, |i| i + 1);
    let mut bytes = Vec::new();
    ops[..synced].iter().for_each(|op| apply(&mut bytes, op));
    let rest = &ops[synced..at];
    for (i, op) in rest.iter().enumerate() {
        let torn = match op {
            Op::Write(to, data) if kept == 2 && i + 1 == rest.len() => {
                Op::Write(*to, data[..data.len() / 2].to_vec())
            }
            op => op.clone(),
        };
        if kept == 0 || kept == 2 && i % 2 == 0 {
            apply(&mut bytes, &torn);
        }
    }
    bytes
}

#[test]
fn crash_at_any_step_keeps_acknowledged_batches_and_no_partial_ones() {
    let disk = Disk::default();
    let journal = Journal::with_backend(disk.clone()).expect("a journal");
    let mut acknowledged = vec![(disk.ops().len(), 0, 0)];
    for n in 0..BATCHES {
        assert_eq!(
            journal.append(&batch(n)).expect("written").written,
            batch(n).len()
        );
        acknowledged.push((
            disk.ops().len(),
            n + 1,
            acknowledged[acknowledged.len() - 1].2,
        ));
        if n % 2 == 1 {
            let place = journal
                .unshipped(100)
                .expect("read")
                .last()
                .expect("some")
                .0;
            journal.mark_shipped(place).expect("written");
            acknowledged.push((disk.ops().len(), n + 1, place.0));
        }
    }
    let ops = disk.ops();
    let first = acknowledged[0].0;
    let mut seen = 0;
    for at in first..=ops.len() {
        for kept in 0..3 {
            let (_, least, shipped) = *acknowledged
                .iter()
                .rfind(|p| p.0 <= at)
                .expect("an acknowledged state");
            let again = Journal::with_backend(Disk::of(contents_after_crash(&ops, at, kept)))
                .unwrap_or_else(|e| panic!("{at} {kept}: {e}"));
            let all = again.entries().expect("read");
            let is_complete = |n: u32| {
                batch(n)
                    .iter()
                    .all(|e| all.latest().any(|s| s.response == e.response))
            };
            let stored = (0..BATCHES).take_while(|n| is_complete(*n)).count() as u32;
            assert!(
                stored >= least,
                "{at} {kept}: {stored} batches of {least} acknowledged"
            );
            assert_eq!(
                all.latest().count() as u32,
                stored * 3,
                "{at} {kept}: a partial batch"
            );
            let rest = again.unshipped(100).expect("read");
            assert!(
                rest.first().is_none_or(|r| r.0 > SequenceNumber(shipped)),
                "{at} {kept}: the shipped mark is kept"
            );
            // Appending the batches again finds duplicates of the stored ones and writes the others.
            for n in 0..BATCHES {
                let done = again.append(&batch(n)).expect("written");
                assert!(
                    done.conflicts.is_empty() && (done.written == 0) == (n < stored),
                    "{at} {kept} {n}: {done:?}"
                );
            }
            let line = again.entries().expect("read").bill(0, 9)
                [&("bands".to_string(), "query".to_string())];
            assert_eq!(
                (line.requests, line.output),
                (18, 13 + 5 * 5),
                "{at} {kept}: the bill is complete"
            );
            seen += 1;
        }
    }
    assert!(seen > 60, "only {seen} crashes were simulated");
}

#[test]
fn full_disk_at_any_step_loses_no_acknowledged_batch() {
    for remaining in 0..60 {
        let disk = Disk::default();
        let journal = Journal::with_backend(disk.clone()).expect("a journal");
        journal.append(&batch(0)).expect("written");
        disk.0.lock().expect("not poisoned").remaining = Some(remaining);
        let mut acknowledged = 1;
        while acknowledged < BATCHES && journal.append(&batch(acknowledged)).is_ok() {
            acknowledged += 1;
        }
        drop(journal);
        let bytes = disk.0.lock().expect("not poisoned").bytes.clone();
        let again =
            Journal::with_backend(Disk::of(bytes)).unwrap_or_else(|e| panic!("{remaining}: {e}"));
        let stored = again.entries().expect("read").latest().count() as u32;
        assert!(
            stored >= acknowledged * 3 && stored.is_multiple_of(3),
            "{remaining}: {stored} entries, {acknowledged} batches acknowledged"
        );
    }
}

#[test]
fn invalid_or_locked_files_are_reported_and_unchanged() {
    let path = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("no.journal");
    std::fs::write(&path, "not a journal").expect("a file");
    let fault = Journal::open(&path).err().expect("rejected").to_string();
    assert!(fault.contains("no.journal"), "{fault}");
    assert_eq!(std::fs::read_to_string(&path).expect("it"), "not a journal");
    std::fs::remove_file(&path).expect("removed");
    let _open = Journal::open(&path).expect("made");
    assert!(Journal::open(&path).is_err(), "one process at a time");
    assert!(Journal::open(std::path::Path::new("/nowhere/at/all")).is_err());
}

#[test]
fn conflict_is_reported_and_the_first_entry_is_kept() {
    let journal = Journal::with_backend(Disk::default()).expect("a journal");
    journal.append(&[entry(1, 1, 7)]).expect("written");
    let done = journal
        .append(&[entry(1, 1, 8), entry(1, 1, 7), entry(2, 1, 1)])
        .expect("written");
    assert_eq!((done.written, done.duplicates), (1, 1));
    assert_eq!(done.conflicts, [("resp_1".to_string(), 1)]);
    assert_eq!(journal.unshipped(9).expect("read")[0].1, entry(1, 1, 7));
}
