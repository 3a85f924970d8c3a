//! The line that says why a request fared as it did.
mod common;

use bitternlatch_platform::access_log::{AccessLog, DecisionReasons};
use bitternlatch_platform::types::Input;
use common::*;

fn explaining() -> Rig {
    let mut rig = Rig::new();
    rig.node
        .enable_access_log(AccessLog::new(&config().settings));
    rig
}

fn answer(rig: &mut Rig, writer: bitternlatch_platform::types::ConnId) {
    rig.text(
        writer,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&event("one"))),
    );
}

#[test]
fn request_served_in_time_has_no_line() {
    let mut rig = explaining();
    let (_, writer) = rig.at_decode("x0", "ask");
    answer(&mut rig, writer);
    assert_eq!(rig.explained, Vec::<String>::new());
}

#[test]
fn line_names_why_request_was_not_served_in_time() {
    type Act = fn(&mut Rig);
    let table: [(&str, Act, &[&str]); 5] = [
        (
            "late",
            |rig| {
                let (_, writer) = rig.at_decode("x1", "book");
                rig.pass(3.5);
                answer(rig, writer);
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
            |rig| {
                let (_, writer) = rig.at_decode("x1", "book");
                rig.text(writer, &plain("500 Oops", "", ""));
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
            |rig| {
                let (_, writer) = rig.at_decode("x1", "ask");
                rig.text(writer, &plain("500 Oops", "", ""));
                let writer = rig.last(Call::is_decode).conn;
                answer(rig, writer);
            },
            &["x1 served class 0", "Error after", "Served after"],
        ),
        (
            "refused",
            |rig| {
                let client = rig.client();
                rig.text(client, &request("x1", "ask", 10));
            },
            &[
                "x1 refused",
                "refused at queue 0.021 read 0.048",
                "of 0.010",
            ],
        ),
        (
            "gone",
            |rig| {
                let client = rig.ask("x1", "ask");
                rig.tell(Input::Ended { conn: client });
            },
            &["x1 gone", "Cancelled"],
        ),
    ];
    for (name, act, words) in table {
        let mut rig = explaining();
        act(&mut rig);
        assert_eq!(rig.explained.len(), 1, "{name}: {:?}", rig.explained);
        for word in words {
            assert!(
                rig.explained[0].contains(word),
                "{name}: '{word}' in {}",
                rig.explained[0]
            );
        }
    }
}

#[test]
fn records_of_ended_requests_are_dropped() {
    let mut access_log = AccessLog::new(&config().settings);
    let mut rig = Rig::tracing();
    for i in 0..50 {
        let (_, writer) = rig.at_decode(&format!("n{i}"), "ask");
        answer(&mut rig, writer);
    }
    for traced in rig.node.take_trace() {
        access_log.record(&traced, |_| String::new(), |_| DecisionReasons::default());
        assert!(access_log.len() <= 2);
    }
    assert!(access_log.is_empty());
}
