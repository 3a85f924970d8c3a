//! Tests that a journal file written before the crate's identifiers were renamed is still read.
//!
//! The first line of the fixture is the length of the file in hexadecimal. Each further line is an offset and the bytes
//! at it, both in hexadecimal; `ff*` and a decimal number stand for that many bytes 0xff. All other bytes are zero.

use std::sync::{Arc, Mutex};

use bitternlatch_budget::charge::{Entry, Usage};
use bitternlatch_budget::Amount;
use bitternlatch_journal::{Journal, SequenceNumber};
use redb::StorageBackend;

const FIXTURE: &str = include_str!("fixtures/journal.txt");

/// In-memory storage of a journal.
#[derive(Clone, Debug, Default)]
struct MemoryFile(Arc<Mutex<Vec<u8>>>);

impl StorageBackend for MemoryFile {
    fn len(&self) -> Result<u64, std::io::Error> {
        Ok(self.0.lock().expect("not poisoned").len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        let bytes = self.0.lock().expect("not poisoned");
        let from = offset as usize;
        out.copy_from_slice(&bytes[from..from + out.len()]);
        Ok(())
    }

    fn set_len(&self, length: u64) -> Result<(), std::io::Error> {
        self.0
            .lock()
            .expect("not poisoned")
            .resize(length as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> Result<(), std::io::Error> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        let mut bytes = self.0.lock().expect("not poisoned");
        let from = offset as usize;
        bytes[from..from + data.len()].copy_from_slice(data);
        Ok(())
    }
}

fn stored_file() -> MemoryFile {
    let mut lines = FIXTURE.lines();
    let length = usize::from_str_radix(lines.next().expect("a length"), 16).expect("hexadecimal");
    let mut bytes = vec![0; length];
    for line in lines {
        let (offset, hex) = line.split_once(' ').expect("an offset and bytes");
        let offset = usize::from_str_radix(offset, 16).expect("hexadecimal");
        if let Some(length) = hex.strip_prefix("ff*") {
            let length: usize = length.parse().expect("a number");
            bytes[offset..offset + length].fill(0xff);
            continue;
        }
        for i in 0..hex.len() / 2 {
            bytes[offset + i] =
                u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).expect("hexadecimal");
        }
    }
    MemoryFile(Arc::new(Mutex::new(bytes)))
}

fn amount(prompt: u32, output: u32) -> Amount {
    Amount { prompt, output }
}

fn entry(response: &str, number: u32, used: Usage) -> Entry {
    Entry {
        response: response.to_string(),
        number,
        tenant: "tenant".to_string(),
        class: "class".to_string(),
        owner: "owner".to_string(),
        key: format!("key of {response}"),
        accepted_us: 1_700_000_000_000_000,
        used,
    }
}

/// The entries of the fixture in the order in which they were appended. The first two are marked as shipped.
fn written() -> Vec<Entry> {
    vec![
        entry("resp_1", 1, Usage::Known(amount(10, 20))),
        entry("resp_2", 1, Usage::AtMost(amount(30, 40))),
        entry("resp_2", 2, Usage::Known(amount(30, 7))),
        entry("resp_3", 1, Usage::Known(amount(50, 60))),
    ]
}

#[test]
fn entries_of_the_fixture_are_read_in_order_from_the_shipped_mark() {
    let journal = Journal::with_backend(stored_file()).expect("the file opens");
    let unshipped = journal.unshipped(10).expect("readable");
    let places: Vec<SequenceNumber> = unshipped.iter().map(|(place, _)| *place).collect();
    assert_eq!(places, [SequenceNumber(3), SequenceNumber(4)]);
    let entries: Vec<Entry> = unshipped.into_iter().map(|(_, entry)| entry).collect();
    assert_eq!(entries, written()[2..]);
}

#[test]
fn entries_of_the_fixture_are_read_field_by_field() {
    let journal = Journal::with_backend(stored_file()).expect("the file opens");
    let entries = journal.entries().expect("readable");
    let latest: Vec<&Entry> = entries.latest().collect();
    let [first, second, third] = latest[..] else {
        panic!("three responses, {latest:?}");
    };
    assert_eq!((first.response.as_str(), first.number), ("resp_1", 1));
    assert_eq!((second.response.as_str(), second.number), ("resp_2", 2));
    assert_eq!((third.response.as_str(), third.number), ("resp_3", 1));
    assert_eq!(first.tenant, "tenant");
    assert_eq!(first.class, "class");
    assert_eq!(first.owner, "owner");
    assert_eq!(first.key, "key of resp_1");
    assert_eq!(first.accepted_us, 1_700_000_000_000_000);
    assert_eq!(first.used, Usage::Known(amount(10, 20)));
    assert_eq!(second.used, Usage::Known(amount(30, 7)));
}

/// The journal compares the JSON text of an entry with the stored text, so a change of the JSON would be reported as a
/// conflict.
#[test]
fn entries_of_the_fixture_are_duplicates_when_appended_again() {
    let journal = Journal::with_backend(stored_file()).expect("the file opens");
    let appended = journal.append(&written()).expect("room");
    assert_eq!((appended.written, appended.duplicates), (0, 4));
    assert_eq!(appended.conflicts, []);
}
