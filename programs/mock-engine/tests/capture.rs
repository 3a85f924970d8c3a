//! The form of a capture's lines on disk: captures outlive the process that wrote them.

use bitternlatch_mock_engine::capture::Line;

/// Written by version 0.2.0 (8d105fa): a connection that opens, one frame each way, a model server that goes down.
const CAPTURE: &str = include_str!("fixtures/capture.jsonl");

fn lines() -> Vec<Line> {
    CAPTURE
        .lines()
        .map(|line| serde_json::from_str(line).expect("a line of a capture"))
        .collect()
}

#[test]
fn a_capture_on_disk_is_read_back_field_by_field() {
    let lines = lines();
    let fields: Vec<_> = lines
        .iter()
        .map(|l| (l.t, &*l.who, &*l.peer, &*l.dir, &*l.text))
        .collect();
    assert_eq!(
        fields,
        [
            (1_764_716_400_000_001, "reader-1", "7", "open", ""),
            (
                1_764_716_400_000_250,
                "reader-1",
                "7",
                "in",
                "{\"type\":\"read\",\"id\":1}"
            ),
            (
                1_764_716_400_004_000,
                "client-3",
                "2",
                "out",
                "line\nfeed \"quoted\""
            ),
            (1_764_716_400_900_000, "reader-1", "7", "down", ""),
        ]
    );
}

#[test]
fn a_capture_is_written_as_it_was() {
    let written: String = lines()
        .iter()
        .map(|line| serde_json::to_string(line).expect("a line") + "\n")
        .collect();
    assert_eq!(written, CAPTURE);
}
