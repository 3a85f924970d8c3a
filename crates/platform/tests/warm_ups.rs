//! The log of the servers that are warming up.
mod common;

use bitternlatch_platform::cold_servers::WarmUpCounts;
use bitternlatch_platform::types::ConnId;
use common::*;

fn harness_with_watch() -> (Harness, ConnId) {
    let harness = Harness::new();
    let conn = harness.watch_conn();
    (harness, conn)
}

/// Tells that both prefill servers are in a state, one of them with a start `age_s` ago.
fn tell(harness: &mut Harness, watch: ConnId, rev: u64, state: &str, start_s: f64) {
    let entry = endpoint_json("h-r1", "127.0.1.1:80", "reads", state);
    let started = entry.replace("\"boot_ms\":0", &format!("\"boot_ms\":{}", start_s * 1e3));
    let other = endpoint_json("h-r2", "127.0.1.2:80", "reads", "terminating");
    let line = endpoint_list_json(rev, false, &[started, other]) + "\n";
    harness.receive_text(watch, &format!("{:x}\r\n{line}\r\n", line.len()));
}

/// Returns the log line that begins with a text.
fn line<'a>(harness: &'a Harness, begin: &str) -> &'a str {
    let found = harness.logs.iter().find(|line| line.starts_with(begin));
    found.unwrap_or_else(|| panic!("no line '{begin}' in {:?}", harness.logs))
}

/// A cold server that fell could not be followed in the logs: no line named its start or what it was sent.
#[test]
fn warm_up_is_logged_with_its_start_and_what_was_sent() {
    let (mut harness, watch) = harness_with_watch();
    harness.advance(1.0);
    let start_s = harness.now.seconds() - 0.5;
    tell(&mut harness, watch, 8, "in_service", start_s);
    let began = line(&harness, "server h-r1 is warming up: ");
    assert!(began.contains("notified_after_s=0.500"), "{began}");
    harness.advance(2.0);
    tell(&mut harness, watch, 9, "terminating", start_s);
    let ended = line(&harness, "warm-up of server h-r1 ended: reason=draining ");
    for field in [
        "age_s=2.500",
        "notified_after_s=0.500",
        "first=",
        "retry=0",
        "decode=0",
        "health_checks=",
        "releases=0",
        "written=",
        "slowest_write_s=",
        "max_in_window=",
        "assumed_capacity=",
    ] {
        assert!(ended.contains(field), "{field} in {ended}");
    }
    let counts = WarmUpCounts {
        starts: 1,
        interrupted: 1,
        ..harness.node.warm_up_counts()
    };
    assert_eq!(harness.node.warm_up_counts(), counts);
}

/// A server that is warm at last ends its warm-up by itself.
#[test]
fn warm_up_ends_when_the_server_is_warm() {
    let (mut harness, watch) = harness_with_watch();
    let start_s = harness.now.seconds() - 13.0;
    tell(&mut harness, watch, 8, "in_service", start_s);
    (0..10).for_each(|_| harness.advance(0.3));
    let ended = line(&harness, "warm-up of server h-r1 ended: reason=warm ");
    assert!(ended.contains("max_in_window=0"), "{ended}");
    assert_eq!(harness.node.warm_up_counts().warm, 1);
}
