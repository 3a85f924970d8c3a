//! Start times of model servers as reported to the decision module, where wall clocks differ by up to an hour.
mod common;

use bitternlatch_platform::node::Node;
use bitternlatch_policy::interface::Event;
use common::*;

const NEW_SERVER: &str = "h-r9";
const HOUR_SECS: f64 = 3600.0;

/// Entry of a new server whose listed start time is `age_s` seconds ago.
fn endpoint_started_ago(harness: &Harness, age_s: f64) -> String {
    let boot_ms = (harness.now.seconds() - age_s) * 1e3;
    endpoint_json(NEW_SERVER, "127.0.1.9:80", "reads", "in_service")
        .replace("\"boot_ms\":0", &format!("\"boot_ms\":{boot_ms:.0}"))
}

/// Age of the new server according to the latest endpoint list that the decision module received, in seconds.
fn reported_age_secs(harness: &mut Harness) -> f64 {
    let mut reported =
        harness
            .node
            .take_trace()
            .into_iter()
            .filter_map(|traced| match traced.event {
                Event::Servers { entries, .. } => entries
                    .into_iter()
                    .max_by(|a, b| a.booted_at.total_cmp(&b.booted_at)),
                _ => None,
            });
    harness.now.seconds()
        - reported
            .next_back()
            .expect("the decision module received a list")
            .booted_at
}

#[test]
fn start_during_watch_is_not_older_than_last_line() {
    // Listed age and expected age, in seconds. A start may be reported some seconds late.
    let table = [
        (0.5, 0.5),
        (8.0, 8.0),
        (HOUR_SECS, 0.0),
        (-HOUR_SECS, 0.0),
        (-7.0, 0.0),
    ];
    for (listed_s, expected_s) in table {
        let mut harness = Harness::with_tracing();
        let conn = harness.watch_conn();
        harness.advance(2.0);
        harness.receive_text(conn, &chunk("\n"));
        harness.advance(0.5);
        let line = endpoint_list_json(8, false, &[endpoint_started_ago(&harness, listed_s)]);
        harness.receive_text(conn, &chunk(&format!("{line}\n")));
        let reported_s = reported_age_secs(&mut harness);
        assert!(
            (reported_s - expected_s).abs() < 0.01,
            "listed {listed_s} s ago, reported {reported_s:.3}, expected {expected_s}"
        );
    }
}

#[test]
fn first_list_is_believed_unless_contradictory() {
    // Listed age, whether other servers are listed with start time 0, which means long ago, and the expected age.
    let table = [
        (30.0, true, 30.0),
        (-HOUR_SECS, true, 0.0),
        // A list that reports long-running servers with start time 0 would also report a start an hour ago as 0, so this
        // one is not believed.
        (HOUR_SECS, true, 0.0),
        (HOUR_SECS, false, HOUR_SECS),
    ];
    for (listed_s, others_long_ago, expected_s) in table {
        let text = config_json(256);
        let known_at = text
            .find(r#""known":"#)
            .expect("the configuration has a known list");
        let settings_at = text
            .find(r#""settings":"#)
            .expect("the configuration has settings");
        let text = format!(
            "{}\"known\":null,{}",
            &text[..known_at],
            &text[settings_at..]
        );
        let config = bitternlatch_platform::config::Config::parse(&text)
            .expect("the configuration of the test is valid");
        let mut out = Vec::new();
        let node = Node::traced(START, config, &mut out);
        let mut harness = Harness::from_started_node(node, out);
        let conn = harness.watch_conn();
        harness.receive_text(conn, DISCOVERY_HEAD);
        let other_servers = servers().into_iter().filter(|_| others_long_ago);
        let mut all: Vec<String> = other_servers
            .map(|h| endpoint_json(h.0, h.1, h.2, "in_service"))
            .collect();
        all.push(endpoint_started_ago(&harness, listed_s));
        harness.receive_text(
            conn,
            &chunk(&format!("{}\n", endpoint_list_json(8, true, &all))),
        );
        let reported_s = reported_age_secs(&mut harness);
        assert!(
            (reported_s - expected_s).abs() < 0.01,
            "listed {listed_s} s ago, reported {reported_s:.3}, expected {expected_s}"
        );
    }
}

/// Receiving the same entry again does not change its start time, which is computed once.
#[test]
fn start_time_listed_again_is_kept() {
    let mut harness = Harness::with_tracing();
    let conn = harness.watch_conn();
    let new = endpoint_started_ago(&harness, -HOUR_SECS);
    for (rev, elapsed_s, expected_s) in [(8, 0.0, 0.0), (9, 5.0, 5.0), (10, 5.0, 10.0)] {
        harness.receive_text(conn, &chunk("\n"));
        for _ in 0..(elapsed_s as usize) {
            harness.advance(1.0);
            harness.receive_text(conn, &chunk("\n"));
        }
        harness.receive_text(
            conn,
            &chunk(&format!(
                "{}\n",
                endpoint_list_json(rev, false, std::slice::from_ref(&new))
            )),
        );
        let reported_s = reported_age_secs(&mut harness);
        assert!(
            (reported_s - expected_s).abs() < 0.01,
            "version {rev}: {reported_s:.3}, expected {expected_s}"
        );
    }
}
