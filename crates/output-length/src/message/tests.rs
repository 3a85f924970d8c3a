//! The bytes of messages and of the snapshot on disk, as other builds write and read them.

use std::time::Duration;

use super::{Message, Snapshot, Told};
use crate::coverage::Coverage;
use crate::ids::{Cell, ClassKey, ModelKey, Number, Origin, PromptBin};
use crate::sketch::Counts;
use crate::windows::{Record, Window};
use bitternlatch_membership::NameKey;

/// Written by version 0.2.0 (8d105fa).
const SNAPSHOT: &[u8] = include_bytes!("../../tests/fixtures/snapshot-v1.bin");

fn origin() -> Origin {
    Origin {
        name: NameKey(0x0a0b_0c0d),
        generation: 300,
    }
}

fn counts(tokens: &[u32]) -> Counts {
    let mut counts = Counts::default();
    tokens.iter().for_each(|t| counts.add(*t));
    counts
}

fn record() -> Record {
    let cell = Cell {
        model: ModelKey(17),
        class: ClassKey(400),
        bin: PromptBin(3),
    };
    let window = Window {
        ended: counts(&[10, 10, 200]),
        cut: counts(&[4000]),
        begun: Duration::from_secs(5),
        last: Duration::from_secs(9),
    };
    Record::of(Duration::from_secs(60), cell, Number(6), &window)
}

fn coverage() -> Coverage {
    let mut coverage = Coverage::default();
    coverage.judge(ModelKey(17), ClassKey(400), false);
    coverage
}

fn windows_of_one_origin() -> Vec<Told> {
    vec![Told {
        origin: origin(),
        records: vec![record()],
    }]
}

fn snapshot() -> Snapshot {
    Snapshot {
        saved: 1_700_000_000_123,
        coverage: coverage(),
        told: windows_of_one_origin(),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

#[test]
fn each_message_has_the_bytes_of_version_1() {
    let messages = [
        (
            Message::News {
                generation: 300,
                records: vec![record()],
            },
            "0100ac02011190030306a604fe030215022e01014901",
        ),
        (
            Message::Want {
                have: vec![(origin(), 41)],
            },
            "0101018d98ac50ac0229",
        ),
        (
            Message::State {
                told: windows_of_one_origin(),
                last: Some(coverage()),
            },
            "0102018d98ac50ac02011190030306a604fe030215022e010149010101119003b29defa7c64bb73f",
        ),
    ];
    for (message, golden) in messages {
        assert_eq!(hex(&message.encode()), golden);
        let read = Message::decode(&message.encode()).expect("a message");
        assert_eq!(hex(&read.encode()), golden);
    }
}

#[test]
fn a_snapshot_on_disk_is_read_back_field_by_field() {
    let read = Snapshot::decode(SNAPSHOT).expect("a snapshot");
    assert_eq!(read.saved, 1_700_000_000_123);
    assert_eq!(read.told.len(), 1);
    assert_eq!(read.told[0].origin.name, NameKey(0x0a0b_0c0d));
    assert_eq!(read.told[0].origin.generation, 300);
    let kept = &read.told[0].records[0];
    assert_eq!(kept.cell.model, ModelKey(17));
    assert_eq!(kept.cell.class, ClassKey(400));
    assert_eq!(kept.cell.bin, PromptBin(3));
    assert_eq!(kept.number, Number(6));
    assert_eq!((kept.begun, kept.last), (550, 510), "tenths of seconds ago");
    assert_eq!(kept.ended, counts(&[10, 10, 200]));
    assert_eq!(kept.cut, counts(&[4000]));
    let miss = |coverage: &Coverage| coverage.miss(ModelKey(17), ClassKey(400));
    assert_eq!(miss(&read.coverage), miss(&coverage()));
}

#[test]
fn a_snapshot_is_written_as_it_was() {
    assert_eq!(hex(&snapshot().encode()), hex(SNAPSHOT));
}
