//! Bytes that other processes and later versions depend on: every message, and every record on disk.
//!
//! The fixtures under `tests/fixtures` were written by the version before the crate's names changed. Each line is a label and
//! the bytes in hexadecimal.

use std::collections::BTreeMap;

use bitternlatch_membership::NameKey;

use crate::disk::{self, Disk, Meta};
use crate::memory::{Kind, Life};
use crate::message::{Chunk, Said, Session, Stamp, Why};
use crate::register::{Accepted, Ballot, Copy, RegisterKey, State, Version};

const MESSAGES: &str = include_str!("../tests/fixtures/messages.txt");
const DISK_RECORDS: &str = include_str!("../tests/fixtures/disk_records.txt");

const KEY: RegisterKey = RegisterKey([0xA1; 16]);

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len() / 2)
        .map(|i| u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).expect("hexadecimal"))
        .collect()
}

fn lines(fixture: &'static str) -> Vec<Vec<&'static str>> {
    fixture
        .lines()
        .map(|line| line.split(' ').collect())
        .collect()
}

fn ballot() -> Ballot {
    Ballot {
        round: 300,
        by: NameKey(7),
        start: 70_000,
    }
}

fn version(count: u64) -> Version {
    Version {
        epoch: 3,
        count,
        writer: NameKey(9),
        start: 90_000,
    }
}

fn state() -> State {
    State {
        version: version(12),
        before: Some(version(11)),
        body: Some(b"value".to_vec()),
    }
}

fn accepted() -> Accepted {
    Accepted {
        ballot: ballot(),
        state: state(),
        own: true,
    }
}

fn stamp() -> Stamp {
    Stamp {
        life: 1000,
        count: 200,
        lives: vec![(NameKey(8), 2000), (NameKey(9), 3000)],
    }
}

fn session() -> Session {
    Session {
        start: 70_000,
        number: 5,
    }
}

fn life() -> Life {
    Life {
        life: 1000,
        count: 200,
        lost: true,
    }
}

fn copy() -> Copy {
    Copy {
        promised: Some(ballot().next()),
        accepted: Some(accepted()),
    }
}

fn chunk(kind: Kind, upto: Option<RegisterKey>) -> Said {
    let items = postcard::to_allocvec(&vec![
        (KEY, copy()),
        (RegisterKey([2; 16]), Copy::default()),
    ])
    .expect("plain data");
    Said::Chunk(Box::new(Chunk {
        session: session(),
        after: Some(RegisterKey([1; 16])),
        upto,
        kind,
        miss: vec![NameKey(8)],
        lives: vec![(NameKey(9), life())],
        sum: crc32fast::hash(&items),
        items,
    }))
}

fn refused(why: Why) -> Said {
    Said::Refused {
        key: KEY,
        ballot: ballot(),
        why,
    }
}

fn messages() -> Vec<(&'static str, Said)> {
    let (key, ballot) = (KEY, ballot());
    vec![
        ("look", Said::Look { key, ballot }),
        ("prepare", Said::Prepare { key, ballot }),
        (
            "accept",
            Said::Accept {
                key,
                ballot,
                state: state(),
            },
        ),
        (
            "accept-gap",
            Said::Accept {
                key,
                ballot,
                state: State {
                    before: None,
                    body: None,
                    ..state()
                },
            },
        ),
        (
            "promised",
            Said::Promised {
                key,
                ballot,
                stamp: stamp(),
                accepted: Some(accepted()),
            },
        ),
        (
            "promised-empty",
            Said::Promised {
                key,
                ballot,
                stamp: stamp(),
                accepted: None,
            },
        ),
        (
            "took",
            Said::Took {
                key,
                ballot,
                stamp: stamp(),
            },
        ),
        ("refused-passed", refused(Why::Passed(ballot.next()))),
        ("refused-catching-up", refused(Why::CatchingUp)),
        ("refused-lost", refused(Why::Lost)),
        ("refused-full", refused(Why::Full)),
        ("refused-disk-full", refused(Why::DiskFull)),
        ("refused-disk-fault", refused(Why::DiskFault)),
        (
            "gone",
            Said::Gone {
                key,
                version: version(12),
            },
        ),
        (
            "catch-up",
            Said::CatchUp {
                session: session(),
                life: 1000,
                count: 200,
                after: Some(KEY),
            },
        ),
        ("chunk-whole", chunk(Kind::Whole, Some(KEY))),
        ("chunk-fresh", chunk(Kind::Fresh, None)),
        ("chunk-lost", chunk(Kind::Lost, None)),
        (
            "beat",
            Said::Beat {
                life: 1000,
                count: 200,
            },
        ),
    ]
}

#[test]
fn every_message_has_the_bytes_of_the_fixture() {
    let fixture = lines(MESSAGES);
    let messages = messages();
    assert_eq!(fixture.len(), messages.len());
    for (line, (label, message)) in fixture.iter().zip(messages) {
        assert_eq!(line[..], [label, &hex(&message.write())]);
        assert_eq!(Said::read(&bytes(line[1])), Ok(message), "{label}");
    }
}

#[test]
fn chunks_of_the_fixture_open_to_the_same_registers() {
    for line in lines(MESSAGES) {
        let Ok(Said::Chunk(chunk)) = Said::read(&bytes(line[1])) else {
            continue;
        };
        let registers = chunk.open().expect("the checksum is right");
        assert_eq!(
            registers,
            [(KEY, copy()), (RegisterKey([2; 16]), Copy::default())]
        );
    }
}

fn metas() -> Vec<(&'static str, Meta)> {
    let meta = |kind| Meta {
        life: 1000,
        kind,
        count: 200,
        lives: BTreeMap::from([(NameKey(8), Life::default()), (NameKey(9), life())]),
    };
    vec![
        ("meta-whole", meta(Kind::Whole)),
        ("meta-fresh", meta(Kind::Fresh)),
        ("meta-lost", meta(Kind::Lost)),
    ]
}

fn gap() -> Copy {
    let mut gap = copy();
    gap.promised = None;
    gap.accepted = Some(Accepted {
        own: false,
        state: State {
            before: None,
            body: None,
            ..state()
        },
        ..accepted()
    });
    gap
}

fn registers() -> Vec<(&'static str, RegisterKey, u64, Copy)> {
    vec![
        ("register", KEY, 1000, copy()),
        ("register-gap", RegisterKey([2; 16]), 1000, gap()),
        (
            "register-empty",
            RegisterKey([3; 16]),
            1000,
            Copy::default(),
        ),
        ("register-stale", RegisterKey([4; 16]), 999, copy()),
    ]
}

#[test]
fn records_are_written_to_disk_as_in_the_fixture() {
    let metas = metas()
        .into_iter()
        .map(|(label, meta)| (label, disk::meta(&meta)));
    let registers = registers()
        .into_iter()
        .map(|(label, key, life, copy)| (label, disk::register(key, life, 201, &copy)));
    let written: Vec<String> = metas
        .chain(registers)
        .map(|(label, (name, bytes))| format!("{label} {} {}", hex(&name), hex(&bytes)))
        .collect();
    assert_eq!(written.join("\n"), DISK_RECORDS.trim_end());
}

/// One line of the records' fixture.
struct StoredRecord {
    label: &'static str,
    name: Vec<u8>,
    bytes: Vec<u8>,
}

#[test]
fn records_of_the_fixture_are_read_field_by_field() {
    let records: Vec<StoredRecord> = lines(DISK_RECORDS)
        .into_iter()
        .map(|line| StoredRecord {
            label: line[0],
            name: bytes(line[1]),
            bytes: bytes(line[2]),
        })
        .collect();
    let kinds = [
        ("meta-whole", Kind::Whole),
        ("meta-fresh", Kind::Fresh),
        ("meta-lost", Kind::Lost),
    ];
    for (label, kind) in kinds {
        let found = records
            .iter()
            .filter(|record| record.label == label || record.label.starts_with("register"))
            .map(|record| (record.name.clone(), record.bytes.clone()))
            .collect();
        let Disk::Whole {
            meta,
            registers,
            stale,
        } = disk::open(found)
        else {
            panic!("{label}: the fixture is whole");
        };
        assert_eq!((meta.life, meta.kind), (1000, kind));
        // The register's record tells of one change more than the metadata.
        assert_eq!(meta.count, 201);
        assert_eq!(meta.lives.len(), 2);
        assert_eq!(meta.lives[&NameKey(8)], Life::default());
        let known = meta.lives[&NameKey(9)];
        assert_eq!((known.life, known.count, known.lost), (1000, 200, true));
        let keys: Vec<RegisterKey> = registers.iter().map(|(key, _)| *key).collect();
        assert_eq!(keys, [KEY, RegisterKey([2; 16]), RegisterKey([3; 16])]);
        assert_eq!(stale, [disk::name(RegisterKey([4; 16]))]);
        let held = &registers[0].1;
        let promised = held.promised.expect("a promise");
        assert_eq!(
            (promised.round, promised.by, promised.start),
            (301, NameKey(7), 70_000)
        );
        let taken = held.accepted.as_ref().expect("a value");
        assert_eq!((taken.ballot, taken.own), (ballot(), true));
        let value = &taken.state;
        assert_eq!((value.version.epoch, value.version.count), (3, 12));
        assert_eq!(
            (value.version.writer, value.version.start),
            (NameKey(9), 90_000)
        );
        assert_eq!(value.before, Some(version(11)));
        assert_eq!(value.body.as_deref(), Some(&b"value"[..]));
        assert_eq!(registers[1].1, gap());
        assert_eq!(registers[2].1, Copy::default());
    }
}
