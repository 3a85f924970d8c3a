//! When model hosts started, as the module is told, though the wall clocks that name it are steps of an hour apart.
mod common;

use bitternlatch_platform::node::Node;
use bitternlatch_policy::interface::Event;
use common::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const DISCOVERY: &str = "127.0.2.1:8500";
const NEW: &str = "h-r9";
const HOUR_SECS: f64 = 3600.0;

/// A new host that is listed with a start so long ago.
fn started(harness: &Harness, age_s: f64) -> String {
    let boot_ms = (harness.now.seconds() - age_s) * 1e3;
    endpoint_json(NEW, "127.0.1.9:80", "reads", "in_service")
        .replace("\"boot_ms\":0", &format!("\"boot_ms\":{boot_ms:.0}"))
}

fn call(harness: &Harness) -> bitternlatch_platform::types::ConnId {
    let to = DISCOVERY.parse().expect("an address");
    harness
        .connects
        .iter()
        .rev()
        .find(|c| c.1 == to)
        .expect("a watch")
        .0
}

/// The age of the new host that the module was told last, seconds.
fn told_age_s(harness: &mut Harness) -> f64 {
    let mut told = harness
        .node
        .take_trace()
        .into_iter()
        .filter_map(|traced| match traced.event {
            Event::Servers { entries, .. } => entries
                .into_iter()
                .max_by(|a, b| a.booted_at.total_cmp(&b.booted_at)),
            _ => None,
        });
    harness.now.seconds() - told.next_back().expect("a list was told").booted_at
}

#[test]
fn start_during_watch_is_not_older_than_last_line() {
    // What is listed, and what it is taken for: a start may be told some seconds late.
    let table = [
        (0.5, 0.5),
        (8.0, 8.0),
        (HOUR_SECS, 0.0),
        (-HOUR_SECS, 0.0),
        (-7.0, 0.0),
    ];
    for (listed_s, taken_s) in table {
        let mut harness = Harness::with_tracing();
        let conn = call(&harness);
        harness.receive_text(conn, HEAD);
        harness.receive_text(conn, &chunk("\n"));
        harness.advance(2.0);
        harness.receive_text(conn, &chunk("\n"));
        harness.advance(0.5);
        let line = endpoint_list_json(8, false, &[started(&harness, listed_s)]);
        harness.receive_text(conn, &chunk(&format!("{line}\n")));
        let told_s = told_age_s(&mut harness);
        assert!(
            (told_s - taken_s).abs() < 0.01,
            "listed {listed_s} s ago, told {told_s:.3}, wanted {taken_s}"
        );
    }
}

#[test]
fn first_list_is_believed_unless_contradictory() {
    // Listed age, whether other hosts have started "long ago", and the age that it is taken for.
    let table = [
        (30.0, true, 30.0),
        (-HOUR_SECS, true, 0.0),
        // A host that started an hour ago is one of long ago, if others are.
        (HOUR_SECS, true, 0.0),
        (HOUR_SECS, false, HOUR_SECS),
    ];
    for (listed_s, others_long_ago, taken_s) in table {
        let text = config_json(256);
        let known = text.find(r#""known":"#).expect("what it knows");
        let settings = text.find(r#""settings":"#).expect("its settings");
        let text = format!("{}\"known\":null,{}", &text[..known], &text[settings..]);
        let config =
            bitternlatch_platform::config::Config::parse(&text).expect("the test's configuration");
        let mut out = Vec::new();
        let node = Node::traced(START, config, &mut out);
        let mut harness = Harness::from_started_node(node, out);
        let conn = call(&harness);
        harness.receive_text(conn, HEAD);
        let others = servers().into_iter().filter(|_| others_long_ago);
        let mut all: Vec<String> = others
            .map(|h| endpoint_json(h.0, h.1, h.2, "in_service"))
            .collect();
        all.push(started(&harness, listed_s));
        harness.receive_text(
            conn,
            &chunk(&format!("{}\n", endpoint_list_json(8, true, &all))),
        );
        let told_s = told_age_s(&mut harness);
        assert!(
            (told_s - taken_s).abs() < 0.01,
            "listed {listed_s} s ago, told {told_s:.3}, wanted {taken_s}"
        );
    }
}

/// The same list once more, whole, changes nothing: a start is reckoned once.
#[test]
fn start_time_listed_again_is_kept() {
    let mut harness = Harness::with_tracing();
    let conn = call(&harness);
    harness.receive_text(conn, HEAD);
    let new = started(&harness, -HOUR_SECS);
    for (rev, passes_s, taken_s) in [(8, 0.0, 0.0), (9, 5.0, 5.0), (10, 5.0, 10.0)] {
        harness.receive_text(conn, &chunk("\n"));
        for _ in 0..(passes_s as usize) {
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
        let told_s = told_age_s(&mut harness);
        assert!(
            (told_s - taken_s).abs() < 0.01,
            "version {rev}: {told_s:.3} for {taken_s}"
        );
    }
}
