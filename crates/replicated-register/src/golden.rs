//! Tests of the encodings of messages and disk records, which other processes and later versions depend on.
//!
//! The fixtures under `tests/fixtures` were written by an earlier version of this crate, so a difference shows an incompatible
//! change. Each line of a fixture consists of a label and the bytes in hexadecimal.

use std::collections::BTreeMap;

use bitternlatch_membership::NameKey;

use crate::disk_records::{self, ReplicaMetadata, StoredState};
use crate::message::{Message, Provenance, RejectReason, StateChunk, TransferSession};
use crate::recovery::{Completeness, Incarnation};
use crate::register::{Accepted, Acceptor, Ballot, RegisterKey, State, Version};

const MESSAGES: &str = include_str!("../tests/fixtures/messages.txt");
const DISK_RECORDS: &str = include_str!("../tests/fixtures/disk_records.txt");

const KEY: RegisterKey = RegisterKey([0xA1; 16]);

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len() / 2)
        .map(|i| u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).expect("valid hexadecimal digits"))
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
        proposer: NameKey(7),
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
        replaces: Some(version(11)),
        body: Some(b"value".to_vec()),
    }
}

fn accepted() -> Accepted {
    Accepted {
        ballot: ballot(),
        state: state(),
        voted: true,
    }
}

fn provenance() -> Provenance {
    Provenance {
        incarnation: 1000,
        count: 200,
        incarnations: vec![(NameKey(8), 2000), (NameKey(9), 3000)],
    }
}

fn session() -> TransferSession {
    TransferSession {
        start: 70_000,
        number: 5,
    }
}

fn incarnation() -> Incarnation {
    Incarnation {
        number: 1000,
        count: 200,
        lost: true,
    }
}

fn acceptor() -> Acceptor {
    Acceptor {
        promised: Some(ballot().next()),
        accepted: Some(accepted()),
    }
}

fn chunk(completeness: Completeness, up_to: Option<RegisterKey>) -> Message {
    let items = postcard::to_allocvec(&vec![
        (KEY, acceptor()),
        (RegisterKey([2; 16]), Acceptor::default()),
    ])
    .expect("plain data can be encoded");
    Message::StateChunk(Box::new(StateChunk {
        session: session(),
        after: Some(RegisterKey([1; 16])),
        up_to,
        completeness,
        missing: vec![NameKey(8)],
        incarnations: vec![(NameKey(9), incarnation())],
        sum: crc32fast::hash(&items),
        items,
    }))
}

fn rejected(reason: RejectReason) -> Message {
    Message::Rejected {
        key: KEY,
        ballot: ballot(),
        reason,
    }
}

fn messages() -> Vec<(&'static str, Message)> {
    let (key, ballot) = (KEY, ballot());
    vec![
        ("look", Message::Read { key, ballot }),
        ("prepare", Message::Prepare { key, ballot }),
        (
            "accept",
            Message::Accept {
                key,
                ballot,
                state: state(),
            },
        ),
        (
            "accept-gap",
            Message::Accept {
                key,
                ballot,
                state: State {
                    replaces: None,
                    body: None,
                    ..state()
                },
            },
        ),
        (
            "promised",
            Message::Promise {
                key,
                ballot,
                provenance: provenance(),
                accepted: Some(accepted()),
            },
        ),
        (
            "promised-empty",
            Message::Promise {
                key,
                ballot,
                provenance: provenance(),
                accepted: None,
            },
        ),
        (
            "took",
            Message::Accepted {
                key,
                ballot,
                provenance: provenance(),
            },
        ),
        (
            "refused-passed",
            rejected(RejectReason::HigherBallot(ballot.next())),
        ),
        ("refused-catching-up", rejected(RejectReason::CatchingUp)),
        ("refused-lost", rejected(RejectReason::Lost)),
        ("refused-full", rejected(RejectReason::Full)),
        ("refused-disk-full", rejected(RejectReason::DiskFull)),
        ("refused-disk-fault", rejected(RejectReason::DiskFault)),
        (
            "gone",
            Message::Forget {
                key,
                version: version(12),
            },
        ),
        (
            "catch-up",
            Message::FetchState {
                session: session(),
                incarnation: 1000,
                count: 200,
                after: Some(KEY),
            },
        ),
        ("chunk-whole", chunk(Completeness::Complete, Some(KEY))),
        ("chunk-fresh", chunk(Completeness::Fresh, None)),
        ("chunk-lost", chunk(Completeness::Lost, None)),
        (
            "beat",
            Message::Heartbeat {
                incarnation: 1000,
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
        assert_eq!(line[..], [label, &hex(&message.encode())]);
        assert_eq!(Message::decode(&bytes(line[1])), Ok(message), "{label}");
    }
}

#[test]
fn chunks_of_the_fixture_open_to_the_same_registers() {
    for line in lines(MESSAGES) {
        let Ok(Message::StateChunk(chunk)) = Message::decode(&bytes(line[1])) else {
            continue;
        };
        let registers = chunk.decode_items().expect("the checksum matches");
        assert_eq!(
            registers,
            [
                (KEY, acceptor()),
                (RegisterKey([2; 16]), Acceptor::default())
            ]
        );
    }
}

fn metadata_records() -> Vec<(&'static str, ReplicaMetadata)> {
    let metadata = |completeness| ReplicaMetadata {
        incarnation: 1000,
        completeness,
        count: 200,
        incarnations: BTreeMap::from([
            (NameKey(8), Incarnation::default()),
            (NameKey(9), incarnation()),
        ]),
    };
    vec![
        ("meta-whole", metadata(Completeness::Complete)),
        ("meta-fresh", metadata(Completeness::Fresh)),
        ("meta-lost", metadata(Completeness::Lost)),
    ]
}

fn tombstone_acceptor() -> Acceptor {
    let mut acceptor = acceptor();
    acceptor.promised = None;
    acceptor.accepted = Some(Accepted {
        voted: false,
        state: State {
            replaces: None,
            body: None,
            ..state()
        },
        ..accepted()
    });
    acceptor
}

fn registers() -> Vec<(&'static str, RegisterKey, u64, Acceptor)> {
    vec![
        ("register", KEY, 1000, acceptor()),
        (
            "register-gap",
            RegisterKey([2; 16]),
            1000,
            tombstone_acceptor(),
        ),
        (
            "register-empty",
            RegisterKey([3; 16]),
            1000,
            Acceptor::default(),
        ),
        ("register-stale", RegisterKey([4; 16]), 999, acceptor()),
    ]
}

#[test]
fn records_are_written_to_disk_as_in_the_fixture() {
    let metadata = metadata_records()
        .into_iter()
        .map(|(label, metadata)| (label, disk_records::metadata(&metadata)));
    let registers = registers()
        .into_iter()
        .map(|(label, key, incarnation, acceptor)| {
            (
                label,
                disk_records::register(key, incarnation, 201, &acceptor),
            )
        });
    let written: Vec<String> = metadata
        .chain(registers)
        .map(|(label, record)| format!("{label} {} {}", hex(&record.name), hex(&record.bytes)))
        .collect();
    assert_eq!(written.join("\n"), DISK_RECORDS.trim_end());
}

/// One line of the fixture of disk records.
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
    let labels = [
        ("meta-whole", Completeness::Complete),
        ("meta-fresh", Completeness::Fresh),
        ("meta-lost", Completeness::Lost),
    ];
    for (label, completeness) in labels {
        let found = records
            .iter()
            .filter(|record| record.label == label || record.label.starts_with("register"))
            .map(|record| (record.name.clone(), record.bytes.clone()))
            .collect();
        let StoredState::Intact {
            metadata,
            registers,
            stale,
        } = disk_records::open(found)
        else {
            panic!("{label}: the fixture is intact");
        };
        assert_eq!(
            (metadata.incarnation, metadata.completeness),
            (1000, completeness)
        );
        // The records of the registers contain a number of changes that is higher by one than that in the metadata.
        assert_eq!(metadata.count, 201);
        assert_eq!(metadata.incarnations.len(), 2);
        assert_eq!(metadata.incarnations[&NameKey(8)], Incarnation::default());
        let known = metadata.incarnations[&NameKey(9)];
        assert_eq!((known.number, known.count, known.lost), (1000, 200, true));
        let keys: Vec<RegisterKey> = registers.iter().map(|(key, _)| *key).collect();
        assert_eq!(keys, [KEY, RegisterKey([2; 16]), RegisterKey([3; 16])]);
        assert_eq!(stale, [disk_records::name(RegisterKey([4; 16]))]);
        let stored = &registers[0].1;
        let promised = stored.promised.expect("the acceptor has a promise");
        assert_eq!(
            (promised.round, promised.proposer, promised.start),
            (301, NameKey(7), 70_000)
        );
        let accepted_state = stored
            .accepted
            .as_ref()
            .expect("the acceptor has an accepted state");
        assert_eq!(
            (accepted_state.ballot, accepted_state.voted),
            (ballot(), true)
        );
        let value = &accepted_state.state;
        assert_eq!((value.version.epoch, value.version.count), (3, 12));
        assert_eq!(
            (value.version.writer, value.version.start),
            (NameKey(9), 90_000)
        );
        assert_eq!(value.replaces, Some(version(11)));
        assert_eq!(value.body.as_deref(), Some(&b"value"[..]));
        assert_eq!(registers[1].1, tombstone_acceptor());
        assert_eq!(registers[2].1, Acceptor::default());
    }
}
