//! The bytes of a member's load report as peers of other builds send and expect them.

use bitternlatch_overload::{LoadReport, LOAD_REPORT_BYTES};

/// A report with a different figure in each field, so that two swapped fields are noticed.
fn report() -> LoadReport {
    LoadReport {
        sequence: 0x0102_0304_0506_0708,
        demand: vec![0.5, 1.0, 2.0],
        admitted: 3.0,
        completed: 5.0,
        backlog: 7.0,
        mean_request_work: 0.25,
        queued_at_servers: 11.0,
        server_weight: 13.0,
        ttft_ratio: 0.75,
        new_work: 17.0,
        retry_work: 19.0,
        threshold: 23.0,
        capacity: 29.0,
    }
}

/// The version, the sequence number, then one code of 16 bits for each level of demand.
const HEAD: &str = "010807060504030201c176017d4183";
/// The codes of the single figures, in the order of the fields.
const SINGLES: &str = "e986848b8d8e8170a0922294697a8d968e9747995e9b";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

#[test]
fn a_load_report_has_the_bytes_of_version_1() {
    let bytes = report().write();
    assert_eq!(bytes.len(), LOAD_REPORT_BYTES);
    let (head, rest) = bytes.split_at(1 + 8 + 2 * 3);
    let (levels, singles) = rest.split_at(rest.len() - 2 * 11);
    assert_eq!(hex(head), HEAD);
    assert!(
        levels.iter().all(|b| *b == 0),
        "levels without demand are 0"
    );
    assert_eq!(hex(singles), SINGLES);
}

#[test]
fn a_load_report_is_read_back_field_by_field() {
    let read = LoadReport::read(&report().write()).expect("a report");
    let written = report();
    assert_eq!(read.sequence, written.sequence);
    let near = |a: f64, b: f64| (a / b - 1.0).abs() < 1e-3;
    let pairs = [
        (read.demand[0], written.demand[0]),
        (read.demand[1], written.demand[1]),
        (read.demand[2], written.demand[2]),
        (read.admitted, written.admitted),
        (read.completed, written.completed),
        (read.backlog, written.backlog),
        (read.mean_request_work, written.mean_request_work),
        (read.queued_at_servers, written.queued_at_servers),
        (read.server_weight, written.server_weight),
        (read.ttft_ratio, written.ttft_ratio),
        (read.new_work, written.new_work),
        (read.retry_work, written.retry_work),
        (read.threshold, written.threshold),
        (read.capacity, written.capacity),
    ];
    assert!(pairs.iter().all(|(a, b)| near(*a, *b)), "{pairs:?}");
}
