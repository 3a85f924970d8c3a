//! The watch, stop and reload.
mod common;

use bitternlatch_platform::config::Config;
use bitternlatch_platform::types::{ConnId, Input};
use common::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn watch(rig: &Rig) -> ConnId {
    let to = "127.0.2.1:8500".parse().expect("an address");
    rig.connects
        .iter()
        .rev()
        .find(|c| c.1 == to)
        .expect("a watch")
        .0
}

fn watches(rig: &Rig) -> usize {
    rig.calls
        .iter()
        .filter(|c| c.line().contains("watch=1"))
        .count()
}

fn line(rig: &mut Rig, text: &str) {
    let conn = watch(rig);
    rig.text(conn, &chunk(&format!("{text}\n")));
}

/// Where a new request's read goes.
fn reads_at(rig: &mut Rig, id: &str) -> Option<String> {
    let asked = |c: &Call| c.line().starts_with("POST");
    let before = rig.count(asked);
    rig.ask(id, "ask");
    (rig.count(asked) > before).then(|| rig.last(asked).to.to_string())
}

#[test]
fn watch_begins_at_known_version() {
    let mut rig = Rig::new();
    assert_eq!(
        rig.calls[0].line(),
        "GET /v1/endpoints?watch=1&from=7 HTTP/1.1"
    );
    let conn = watch(&rig);
    rig.text(conn, HEAD);
    line(
        &mut rig,
        &list(
            8,
            false,
            &[target("h-r1", "127.0.1.1:80", "reads", "terminating")],
        ),
    );
    line(&mut rig, "");
    for i in 0..6 {
        assert_eq!(
            reads_at(&mut rig, &format!("a{i}")).as_deref(),
            Some("127.0.1.2:80")
        );
    }
    line(
        &mut rig,
        &list(
            9,
            true,
            &[target("h-w1", "127.0.1.3:80", "writes", "in_service")],
        ),
    );
    let to = reads_at(&mut rig, "b").expect("the writer reads");
    assert_eq!(
        to, "127.0.1.3:80",
        "what a whole list does not name is gone"
    );
}

#[test]
fn unreadable_line_restarts_watch_and_keeps_list() {
    let bad = [
        "{\"rev\":8,\"all\":false,\"targ".to_string(),
        list(
            8,
            false,
            &[target("h-r1", "127.0.1.1:80", "reads", "asleep")],
        ),
        list(
            8,
            true,
            &[target("h-r1", "127.0.1.1:80", "sings", "in_service")],
        ),
        list(6, true, &[]),
        "noise".to_string(),
    ];
    for text in bad {
        let mut rig = Rig::new();
        let conn = watch(&rig);
        rig.text(conn, HEAD);
        line(&mut rig, &text);
        assert!(rig.closed.contains(&conn), "{text}");
        assert_eq!(
            rig.logs.iter().filter(|l| l.contains("discovery")).count(),
            1,
            "{:?}",
            rig.logs
        );
        rig.pass(0.3);
        assert_eq!(watches(&rig), 2, "{text}");
        assert!(rig
            .calls
            .iter()
            .filter(|c| c.line().contains("watch=1"))
            .all(|c| c.line().contains("from=7")));
        assert!(reads_at(&mut rig, "a").is_some(), "the list stays");
    }
}

#[test]
fn endless_discovery_line_is_dropped() {
    let mut rig = Rig::new();
    let conn = watch(&rig);
    rig.text(conn, HEAD);
    for _ in 0..20 {
        let conn = watch(&rig);
        rig.text(conn, &chunk(&"x".repeat(100_000)));
    }
    assert!(rig.closed.contains(&conn));
}

#[test]
fn silent_watch_is_restarted_with_backoff() {
    let mut rig = Rig::new();
    let conn = watch(&rig);
    rig.text(conn, HEAD);
    for _ in 0..10 {
        rig.pass(2.0);
        line(&mut rig, "");
    }
    assert_eq!(watches(&rig), 1, "empty lines keep it open");
    rig.dead
        .insert("127.0.2.1:8500".parse().expect("an address"));
    rig.pass(5.5);
    assert!(rig.closed.contains(&conn));
    let before = rig.connects.len();
    rig.pass(60.0);
    let dials = rig.connects.len() - before;
    assert!(
        (5..=30).contains(&dials),
        "{dials} calls in a minute without an answer"
    );
}

#[test]
fn reload_keeps_list_and_requests() {
    let mut rig = Rig::new();
    let (client, writer) = rig.at_decode("k1", "ask");
    let old = watch(&rig);
    let moved = config_json(256).replace("127.0.2.1:8500", "127.0.2.7:8500");
    rig.reload(Config::parse(&moved).expect("good"));
    let (conn, to) = *rig.connects.last().expect("a call");
    assert_eq!(to.to_string(), "127.0.2.7:8500");
    assert!(rig.closed.contains(&old) && rig.calls.iter().any(|c| c.conn == conn));
    rig.text(
        writer,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&event("one"))),
    );
    assert_eq!(unchunk(rig.said(client)), event("one"));
    assert!(reads_at(&mut rig, "k2").is_some());
    let dials = rig.connects.iter().filter(|c| c.1 == to).count();
    rig.reload(Config::parse(&moved).expect("good"));
    assert_eq!(
        rig.connects.iter().filter(|c| c.1 == to).count(),
        dials,
        "the same address again is no change"
    );
}

#[test]
fn readiness_follows_endpoint_list() {
    let ready = |rig: &mut Rig| {
        let client = rig.client();
        rig.text(client, "GET /ready HTTP/1.1\r\nHost: d\r\n\r\n");
        rig.status(client).to_string()
    };
    assert_eq!(ready(&mut Rig::new()), "200");
    let without = config_json(256).replace(r#""known":"#, r#""once_known":"#);
    let mut rig = Rig::with(Config::parse(&without).expect("good"));
    assert_eq!(ready(&mut rig), "503");
    let conn = watch(&rig);
    rig.text(conn, HEAD);
    line(
        &mut rig,
        &list(
            8,
            true,
            &[target("h-r1", "127.0.1.1:80", "reads", "in_service")],
        ),
    );
    assert_eq!(ready(&mut rig), "200");
    rig.tell(Input::Stop);
    assert_eq!(ready(&mut rig), "503");
}

#[test]
fn stop_answers_late_requests_then_ends() {
    let mut rig = Rig::new();
    let idle = rig.client();
    let (client, writer) = rig.at_decode("e1", "ask");
    rig.tell(Input::Stop);
    rig.pass(0.3);
    let late = rig.ask("e2", "ask");
    assert!(!rig.deaf && !rig.closed.contains(&idle));
    rig.pass(0.4);
    assert!(
        rig.deaf && rig.finished.contains(&idle),
        "idle connections end with the listener"
    );
    assert!(!rig.finished.contains(&client) && !rig.finished.contains(&late) && !rig.stopped);
    rig.text(
        writer,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&event("one"))),
    );
    assert!(rig.said(client).ends_with("0\r\n\r\n") && rig.finished.contains(&client));
    rig.prefill_done();
    let writer = rig.last(Call::is_decode).conn;
    assert!(!rig.stopped);
    rig.text(
        writer,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&event("two"))),
    );
    assert_eq!(unchunk(rig.said(late)), event("two"));
    assert!(rig.stopped);
}

#[test]
fn stop_ends_streams_before_kill() {
    let mut rig = Rig::new();
    let (client, writer) = rig.at_decode("e3", "ask");
    rig.text(writer, STREAM_HEAD);
    rig.text(writer, &chunk(&event("one")));
    rig.tell(Input::Stop);
    rig.pass(2.8);
    assert!(!rig.finished.contains(&client), "what ends by itself may");
    rig.text(writer, &chunk(&event("two")));
    rig.pass(0.2);
    assert!(rig.finished.contains(&client) && rig.closed.contains(&writer));
    assert_eq!(
        unchunk(rig.said(client)),
        [event("one"), event("two")].concat()
    );
    assert!(
        !rig.said(client).ends_with("0\r\n\r\n"),
        "it does not look whole"
    );
    assert!(rig.stopped, "before the kill");
}

#[test]
fn request_completed_while_stopping_is_answered() {
    let mut rig = Rig::new();
    let client = rig.client();
    let text = request("e4", "book", 12_000);
    rig.text(client, &text[..60]);
    rig.tell(Input::Stop);
    rig.pass(1.0);
    rig.text(client, &text[60..]);
    rig.pass(2.0);
    assert_eq!(rig.count(Call::is_prefill), 1, "it is taken");
    assert_eq!(rig.said(client), "");
    rig.pass(0.45);
    assert_eq!(rig.status(client), "504", "no reader has answered it");
}

#[test]
fn peer_datagrams_carry_number_and_own_are_dropped() {
    let mut rig = Rig::tracing();
    rig.node.take_trace();
    for from in ["127.0.3.2:7946", "127.0.3.1:7946", "127.0.9.9:7946"] {
        rig.tell(Input::Datagram {
            from: from.parse().expect("an address"),
            data: b"x",
        });
    }
    let told: Vec<String> = rig
        .node
        .take_trace()
        .iter()
        .map(|t| format!("{:?}", t.event))
        .collect();
    assert_eq!(told, ["PeerMessage { from: 1, data: [120] }"]);
}

#[test]
fn long_run_with_new_ids_leaks_nothing() {
    let mut rig = Rig::new();
    let conn = watch(&rig);
    rig.text(conn, HEAD);
    for i in 0..300u64 {
        let old = target(&format!("n{i}"), "127.0.1.1:80", "reads", "terminated");
        let new = target(
            &format!("n{}", i + 1),
            "127.0.1.1:80",
            "reads",
            "in_service",
        );
        line(&mut rig, &list(8 + i, false, &[old, new]));
        let client = rig.ask(&format!("q{i}"), "ask");
        rig.prefill_done();
        let writer = rig.last(Call::is_decode).conn;
        rig.text(
            writer,
            &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&event("one"))),
        );
        rig.tell(Input::Ended { conn: client });
        rig.pass(0.5);
    }
    let held = rig.node.resource_usage();
    assert_eq!(
        (held.requests, held.clients, held.releases),
        (0, 0, 0),
        "{held:?}"
    );
    assert!(
        held.servers <= 5 && held.server_connections <= 20,
        "{held:?}"
    );
}
