//! The line that says why a request fared as it did.
mod common;

use bitternlatch_platform::access_log::{AccessLog, DecisionReasons};
use bitternlatch_platform::types::Input;
use common::*;

fn explaining() -> Harness {
    let mut harness = Harness::new();
    harness
        .node
        .enable_access_log(AccessLog::new(&config().settings));
    harness
}

fn answer(harness: &mut Harness, writer: bitternlatch_platform::types::ConnId) {
    harness.receive_text(
        writer,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
    );
}

#[test]
fn request_served_in_time_has_no_line() {
    let mut harness = explaining();
    let (_, writer) = harness.start_decode("x0", "ask");
    answer(&mut harness, writer);
    assert_eq!(harness.access_log_lines, Vec::<String>::new());
}

#[test]
fn line_names_why_request_was_not_served_in_time() {
    type Act = fn(&mut Harness);
    let table: [(&str, Act, &[&str]); 5] = [
        (
            "late",
            |harness| {
                let (_, writer) = harness.start_decode("x1", "book");
                harness.advance(3.5);
                answer(harness, writer);
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
                let (_, writer) = harness.start_decode("x1", "book");
                harness.receive_text(writer, &plain_response("500 Oops", "", ""));
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
            "again",
            |harness| {
                let (_, writer) = harness.start_decode("x1", "ask");
                harness.receive_text(writer, &plain_response("500 Oops", "", ""));
                let writer = harness.last_call(Call::is_decode).conn;
                answer(harness, writer);
            },
            &["x1 served class 0", "Error after", "Served after"],
        ),
        (
            "refused",
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
            "gone",
            |harness| {
                let client = harness.send_request("x1", "ask");
                harness.step(Input::Ended { conn: client });
            },
            &["x1 gone", "Cancelled"],
        ),
    ];
    for (name, act, words) in table {
        let mut harness = explaining();
        act(&mut harness);
        assert_eq!(
            harness.access_log_lines.len(),
            1,
            "{name}: {:?}",
            harness.access_log_lines
        );
        for word in words {
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
        let (_, writer) = harness.start_decode(&format!("n{i}"), "ask");
        answer(&mut harness, writer);
    }
    for traced in harness.node.take_trace() {
        access_log.record(&traced, |_| String::new(), |_| DecisionReasons::default());
        assert!(access_log.len() <= 2);
    }
    assert!(access_log.is_empty());
}
