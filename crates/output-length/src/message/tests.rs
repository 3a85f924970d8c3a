//! Tests of the encoding of messages and snapshots against fixed bytes, which other builds write and read.

use std::time::Duration;

use super::{Message, OriginRecords, Snapshot};
use crate::coverage::Calibration;
use crate::ids::{Cell, ClassKey, ModelKey, Origin, PromptBin, WindowNumber};
use crate::sketch::Counts;
use crate::windows::{Window, WindowRecord};
use bitternlatch_membership::NameKey;

/// A snapshot written by version 0.2.0 (commit 8d105fa).
const SNAPSHOT: &[u8] = include_bytes!("../../tests/fixtures/snapshot-v1.bin");

fn origin() -> Origin {
    Origin {
        member: NameKey(0x0a0b_0c0d),
        incarnation: 300,
    }
}

fn counts(tokens: &[u32]) -> Counts {
    let mut counts = Counts::default();
    tokens.iter().for_each(|t| counts.add(*t));
    counts
}

fn record() -> WindowRecord {
    let cell = Cell {
        model: ModelKey(17),
        class: ClassKey(400),
        prompt_bin: PromptBin(3),
    };
    let window = Window {
        complete: counts(&[10, 10, 200]),
        censored: counts(&[4000]),
        first_end: Duration::from_secs(5),
        last_end: Duration::from_secs(9),
    };
    WindowRecord::of(Duration::from_secs(60), cell, WindowNumber(6), &window)
}

fn calibration() -> Calibration {
    let mut calibration = Calibration::default();
    calibration.record(ModelKey(17), ClassKey(400), false);
    calibration
}

fn windows_of_one_origin() -> Vec<OriginRecords> {
    vec![OriginRecords {
        origin: origin(),
        records: vec![record()],
    }]
}

fn snapshot() -> Snapshot {
    Snapshot {
        saved_at_ms: 1_700_000_000_123,
        calibration: calibration(),
        windows: windows_of_one_origin(),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

#[test]
fn messages_have_the_bytes_of_format_version_1() {
    let messages = [
        (
            Message::Update {
                incarnation: 300,
                records: vec![record()],
            },
            "0100ac02011190030306a604fe030215022e01014901",
        ),
        (
            Message::StateRequest {
                digests: vec![(origin(), 41)],
            },
            "0101018d98ac50ac0229",
        ),
        (
            Message::State {
                windows: windows_of_one_origin(),
                calibration: Some(calibration()),
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
fn snapshot_of_an_earlier_build_is_decoded_with_all_fields() {
    let read = Snapshot::decode(SNAPSHOT).expect("a snapshot");
    assert_eq!(read.saved_at_ms, 1_700_000_000_123);
    assert_eq!(read.windows.len(), 1);
    assert_eq!(read.windows[0].origin.member, NameKey(0x0a0b_0c0d));
    assert_eq!(read.windows[0].origin.incarnation, 300);
    let record = &read.windows[0].records[0];
    assert_eq!(record.cell.model, ModelKey(17));
    assert_eq!(record.cell.class, ClassKey(400));
    assert_eq!(record.cell.prompt_bin, PromptBin(3));
    assert_eq!(record.number, WindowNumber(6));
    assert_eq!(
        (record.first_end_age, record.last_end_age),
        (550, 510),
        "tenths of seconds ago"
    );
    assert_eq!(record.complete, counts(&[10, 10, 200]));
    assert_eq!(record.censored, counts(&[4000]));
    let miss_rate = |calibration: &Calibration| calibration.miss_rate(ModelKey(17), ClassKey(400));
    assert_eq!(miss_rate(&read.calibration), miss_rate(&calibration()));
}

#[test]
fn snapshot_is_encoded_to_the_bytes_of_an_earlier_build() {
    assert_eq!(hex(&snapshot().encode()), hex(SNAPSHOT));
}
