//! Checks that a request gets its final response at its deadline, at whichever stage it hangs, whatever retries its class
//! allows, and whether or not attempts may be cancelled.
mod common;
#[path = "common/bench.rs"]
mod harness;
#[path = "common/gated.rs"]
mod scripted_servers;

use std::io::Write;
use std::time::{Duration, Instant};

use common::*;
use harness::*;
use scripted_servers::*;

const DEADLINE: Duration = Duration::from_millis(900);
/// The final response must arrive within this time after the deadline.
const ANSWERED: Duration = Duration::from_millis(500);
/// Configuration change: a latency objective short enough for an attempt to be cancelled and retried within the deadline.
const SHORT_LATENCY_OBJECTIVE: (&str, &str) = (r#""aimS":1.5"#, r#""aimS":0.2"#);
const EFFECTS: [(&str, &str); 3] = [
    ("safe", r#""effect":"free""#),
    (
        "keyed",
        r#""effect":"guarded","keyScope":"all","repeatWindowS":2.0"#,
    ),
    ("unsafe", r#""effect":"single_shot""#),
];

/// The stage at which a request hangs.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HangsAt {
    Prefill,
    Decode,
    /// The connection to the server is not established.
    Dialling,
}

fn harness(name: &str, hangs: HangsAt, changes: &[(&str, &str)]) -> (Harness, impl Sized) {
    if hangs != HangsAt::Dialling {
        return (Harness::start(name, 2, changes), None);
    }
    let (listener, fill) = full_listener();
    let servers = ScriptedServers::default();
    let reads = target("h0", listener.local_addr().expect("an address"), "reads");
    let writes = target("h1", servers.server(1, false), "writes");
    (
        Harness::with(name, servers, &[reads, writes], changes),
        Some((listener, fill)),
    )
}

/// Checks a request of each class, with and without cancellation of attempts.
fn answered_in_time(hangs: HangsAt) {
    for (class, effect) in EFFECTS {
        for cancel in [true, false] {
            let name = format!("deadline-{hangs:?}-{class}-{cancel}").to_lowercase();
            let mut changes = vec![SHORT_LATENCY_OBJECTIVE, (EFFECTS[0].1, effect)];
            changes.extend((!cancel).then_some(NO_CANCEL));
            let (harness, _held) = harness(&name, hangs, &changes);
            let mut client = harness.dispatcher.connect();
            let text = request("hangs", "Connection: close\r\n")
                .replace("20000", &DEADLINE.as_millis().to_string());
            let since = Instant::now();
            client.write_all(text.as_bytes()).expect("asked");
            if hangs == HangsAt::Decode {
                harness.servers.wait(EventKind::Post, "hangs", 1);
                harness.servers.respond("hangs", PREFILL_RESPONSE);
            }
            let received = read_until_closed(client);
            let took = since.elapsed();
            assert!(received.starts_with("HTTP/1.1 50"), "{name}: {received:?}");
            assert!(took <= DEADLINE + ANSWERED, "{name}: {took:?}");
        }
    }
}

#[test]
fn request_that_hangs_at_prefill_is_answered_in_time() {
    answered_in_time(HangsAt::Prefill);
}

#[test]
fn request_that_hangs_at_decode_is_answered_in_time() {
    answered_in_time(HangsAt::Decode);
}

#[test]
fn request_whose_connection_is_not_established_is_answered_in_time() {
    answered_in_time(HangsAt::Dialling);
}
