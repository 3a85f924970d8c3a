//! The access-log line that states why a request was rejected, failed, retried or late.
mod common;

use bitternlatch_platform::access_log::{AccessLog, DecisionReasons};
use bitternlatch_platform::types::Input;
use common::*;

fn harness_with_access_log() -> Harness {
    let mut harness = Harness::new();
    harness
        .node
        .enable_access_log(AccessLog::new(&config().settings));
    harness
}

fn send_response(harness: &mut Harness, decode_conn: bitternlatch_platform::types::ConnId) {
    harness.receive_text(
        decode_conn,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
    );
}

#[test]
fn request_served_in_time_has_no_line() {
    let mut harness = harness_with_access_log();
    let (_, decode_conn) = harness.start_decode("x0", "ask");
    send_response(&mut harness, decode_conn);
    assert_eq!(harness.access_log_lines, Vec::<String>::new());
}

#[test]
fn line_names_why_request_was_not_served_in_time() {
    type Scenario = fn(&mut Harness);
    let table: [(&str, Scenario, &[&str]); 5] = [
        (
            "late",
            |harness| {
                let (_, decode_conn) = harness.start_decode("x1", "book");
                harness.advance(3.5);
                send_response(harness, decode_conn);
            },
            &[
                "x1 served late",
                "class 1",
                "first token 3.5",
                "reckoned queue",
                "ReadDone",
                "found 64",
                "Served after 3.5",
            ],
        ),
        (
            "failed",
            |harness| {
                let (_, decode_conn) = harness.start_decode("x1", "book");
                harness.receive_text(decode_conn, &plain_response("500 Oops", "", ""));
            },
            &[
                "x1 failed",
                "because MayHaveRun",
                "Error after",
                "state HeldAt(",
                "state Released",
            ],
        ),
        (
            "retried",
            |harness| {
                let (_, decode_conn) = harness.start_decode("x1", "ask");
                harness.receive_text(decode_conn, &plain_response("500 Oops", "", ""));
                let decode_conn = harness.last_call(Call::is_decode).conn;
                send_response(harness, decode_conn);
            },
            &["x1 served class 0", "Error after", "Served after"],
        ),
        (
            "shed",
            |harness| {
                let client = harness.connect_client();
                harness.receive_text(client, &request("x1", "ask", 10));
            },
            &[
                "x1 refused",
                "refused at queue 0.021 read 0.048",
                "of 0.010",
            ],
        ),
        (
            "disconnected",
            |harness| {
                let client = harness.send_request("x1", "ask");
                harness.step(Input::Ended { conn: client });
            },
            &["x1 gone", "Cancelled"],
        ),
    ];
    for (name, run, expected) in table {
        let mut harness = harness_with_access_log();
        run(&mut harness);
        assert_eq!(
            harness.access_log_lines.len(),
            1,
            "{name}: {:?}",
            harness.access_log_lines
        );
        for word in expected {
            assert!(
                harness.access_log_lines[0].contains(word),
                "{name}: '{word}' in {}",
                harness.access_log_lines[0]
            );
        }
    }
}

#[test]
fn records_of_ended_requests_are_dropped() {
    let mut access_log = AccessLog::new(&config().settings);
    let mut harness = Harness::with_tracing();
    for i in 0..50 {
        let (_, decode_conn) = harness.start_decode(&format!("n{i}"), "ask");
        send_response(&mut harness, decode_conn);
    }
    for traced in harness.node.take_trace() {
        access_log.record(&traced, |_| String::new(), |_| DecisionReasons::default());
        assert!(access_log.len() <= 2);
    }
    assert!(access_log.is_empty());
}
