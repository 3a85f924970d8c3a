//! Tests for the discovery watch, for shutdown and for configuration reload.
mod common;

use bitternlatch_platform::config::Config;
use bitternlatch_platform::types::Input;
use common::*;

fn watch_calls(harness: &Harness) -> usize {
    harness
        .calls
        .iter()
        .filter(|c| c.request_line().contains("watch=1"))
        .count()
}

fn send_line(harness: &mut Harness, text: &str) {
    let conn = harness.watch_conn();
    harness.receive_text(conn, &chunk(&format!("{text}\n")));
}

/// Sends a new request and returns the address of its prefill server, or `None` if the request is not forwarded.
fn prefill_address(harness: &mut Harness, id: &str) -> Option<String> {
    let is_request = |c: &Call| c.request_line().starts_with("POST");
    let before = harness.count_calls(is_request);
    harness.send_request(id, "ask");
    (harness.count_calls(is_request) > before).then(|| harness.last_call(is_request).to.to_string())
}

#[test]
fn watch_asks_for_changes_once_the_list_is_confirmed() {
    let mut harness = Harness::new();
    assert_eq!(
        harness.calls[0].request_line(),
        "GET /v1/endpoints?watch=1&from=0 HTTP/1.1"
    );
    let conn = harness.watch_conn();
    harness.step(Input::Ended { conn });
    harness.advance(0.3);
    assert_eq!(
        harness
            .last_call(|c| c.request_line().contains("watch=1"))
            .request_line(),
        "GET /v1/endpoints?watch=1&from=7 HTTP/1.1"
    );
    let conn = harness.watch_conn();
    harness.receive_text(conn, DISCOVERY_HEAD);
    send_line(
        &mut harness,
        &endpoint_list_json(
            8,
            false,
            &[endpoint_json(
                "h-r1",
                "127.0.1.1:80",
                "reads",
                "terminating",
            )],
        ),
    );
    send_line(&mut harness, "");
    for i in 0..6 {
        assert_eq!(
            prefill_address(&mut harness, &format!("a{i}")).as_deref(),
            Some("127.0.1.2:80")
        );
    }
    send_line(
        &mut harness,
        &endpoint_list_json(
            9,
            true,
            &[endpoint_json(
                "h-w1",
                "127.0.1.3:80",
                "writes",
                "in_service",
            )],
        ),
    );
    let to = prefill_address(&mut harness, "b").expect("the decode server takes the prefill");
    assert_eq!(
        to, "127.0.1.3:80",
        "a server that a complete list omits was used"
    );
}

/// Guards against a first list that is refused for good, or that brings back what the list of the configuration excludes.
#[test]
fn first_list_is_combined_with_the_list_of_the_configuration() {
    let first = "127.0.1.1:80";
    let prefill = |state: &str| endpoint_json("h-r1", first, "reads", state);
    let decode = endpoint_json("h-w1", "127.0.1.3:80", "writes", "in_service");
    let restarted = prefill("in_service").replace("\"boot_ms\":0", "\"boot_ms\":5");
    let full = |version, prefill: &str| {
        endpoint_list_json(version, true, &[prefill.into(), decode.clone()])
    };
    // State of the first prefill server in the configuration, the first line, and whether the server is used after it.
    let table = [
        ("in_service", String::new(), true),
        ("terminating", String::new(), false),
        (
            "in_service",
            endpoint_list_json(8, false, &[prefill("terminating")]),
            false,
        ),
        (
            "terminating",
            endpoint_list_json(8, false, &[prefill("in_service")]),
            true,
        ),
        ("in_service", full(8, &prefill("in_service")), true),
        ("terminating", full(8, &prefill("in_service")), true),
        // Lists that are older than the configuration's: its drains are kept, but for a process that has restarted.
        ("in_service", full(3, &prefill("in_service")), true),
        ("terminating", full(3, &prefill("in_service")), false),
        ("terminating", full(3, &restarted), true),
    ];
    for (known_state, line, is_used) in table {
        let known = config_json(256).replace(&prefill("in_service"), &prefill(known_state));
        let mut harness =
            Harness::starting(Config::parse(&known).expect("the configuration is valid"));
        let waiting = harness.send_request("waits", "ask");
        assert_eq!(
            harness.count_calls(|c| c.request_line().starts_with("POST")),
            0,
            "{line}"
        );
        let conn = harness.watch_conn();
        harness.receive_text(conn, DISCOVERY_HEAD);
        send_line(&mut harness, &line);
        assert!(
            harness.node.is_ready() && harness.client_output(waiting).is_empty(),
            "{line}"
        );
        let used: Vec<_> = (0..8)
            .filter_map(|i| prefill_address(&mut harness, &format!("a{i}")))
            .collect();
        assert_eq!(
            used.iter().any(|to| to == first),
            is_used,
            "{known_state}, {line}: {used:?}"
        );
        assert!(!harness.closed.contains(&conn), "{line}");
    }
    // Changes older than the configuration's list cannot be combined with it.
    let mut harness = Harness::starting(config());
    let conn = harness.watch_conn();
    harness.receive_text(conn, DISCOVERY_HEAD);
    send_line(
        &mut harness,
        &endpoint_list_json(3, false, &[prefill("in_service")]),
    );
    assert!(harness.closed.contains(&conn) && !harness.node.is_ready());
}

/// Guards against a node that is not ready, or sends by the list of its configuration, while discovery stays away.
#[test]
fn node_is_ready_in_time_without_discovery_and_sends_nothing() {
    let mut harness = Harness::starting(config());
    harness.advance(4.9);
    assert!(!harness.node.is_ready());
    harness.advance(0.2);
    assert!(harness.node.is_ready());
    for i in 0..60 {
        let client = harness.send_request(&format!("a{i}"), "ask");
        harness.advance(1.0);
        assert_eq!(harness.status(client), "503");
    }
    assert!(harness
        .calls
        .iter()
        .all(|c| c.request_line().contains("watch=1")));
    let lines = |text: &str| harness.logs.iter().filter(|l| l.contains(text)).count();
    assert_eq!(lines("ready without an endpoint list"), 1);
}

#[test]
fn unreadable_line_restarts_watch_and_keeps_list() {
    let invalid = [
        "{\"rev\":8,\"all\":false,\"targ".to_string(),
        endpoint_list_json(
            8,
            false,
            &[endpoint_json("h-r1", "127.0.1.1:80", "reads", "asleep")],
        ),
        endpoint_list_json(
            8,
            true,
            &[endpoint_json("h-r1", "127.0.1.1:80", "sings", "in_service")],
        ),
        endpoint_list_json(6, true, &[]),
        "noise".to_string(),
    ];
    for text in invalid {
        let mut harness = Harness::new();
        let conn = harness.watch_conn();
        send_line(&mut harness, &text);
        assert!(harness.closed.contains(&conn), "{text}");
        assert_eq!(
            harness
                .logs
                .iter()
                .filter(|l| l.contains("the endpoint list is kept"))
                .count(),
            1,
            "{:?}",
            harness.logs
        );
        harness.advance(0.3);
        assert_eq!(watch_calls(&harness), 2, "{text}");
        assert!(harness
            .calls
            .iter()
            .filter(|c| c.request_line().contains("watch=1"))
            .skip(1)
            .all(|c| c.request_line().contains("from=7")));
        assert!(
            prefill_address(&mut harness, "a").is_some(),
            "the endpoint list was lost"
        );
    }
}

#[test]
fn endless_discovery_line_is_dropped() {
    let mut harness = Harness::new();
    let conn = harness.watch_conn();
    for _ in 0..20 {
        let conn = harness.watch_conn();
        harness.receive_text(conn, &chunk(&"x".repeat(100_000)));
    }
    assert!(harness.closed.contains(&conn));
}

#[test]
fn silent_watch_is_restarted_with_backoff() {
    let mut harness = Harness::new();
    let conn = harness.watch_conn();
    for _ in 0..10 {
        harness.advance(2.0);
        send_line(&mut harness, "");
    }
    assert_eq!(
        watch_calls(&harness),
        1,
        "the watch was restarted despite keep-alive lines"
    );
    harness
        .unreachable_addresses
        .insert("127.0.2.1:8500".parse().expect("the address is valid"));
    harness.advance(5.5);
    assert!(harness.closed.contains(&conn));
    let before = harness.connects.len();
    harness.advance(60.0);
    let connects = harness.connects.len() - before;
    assert!(
        (5..=30).contains(&connects),
        "{connects} connects in a minute without a response"
    );
}

#[test]
fn reload_keeps_list_and_requests() {
    let mut harness = Harness::new();
    let (client, decode_conn) = harness.start_decode("k1", "ask");
    let old = harness.watch_conn();
    let moved = config_json(256).replace("127.0.2.1:8500", "127.0.2.7:8500");
    harness.reload(Config::parse(&moved).expect("the configuration is valid"));
    let (conn, to) = *harness
        .connects
        .last()
        .expect("the node connects to discovery");
    assert_eq!(to.to_string(), "127.0.2.7:8500");
    assert!(harness.closed.contains(&old) && harness.calls.iter().any(|c| c.conn == conn));
    harness.receive_text(
        decode_conn,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
    );
    assert_eq!(
        decode_chunked(harness.client_output(client)),
        stream_event("one")
    );
    assert!(prefill_address(&mut harness, "k2").is_some());
    let connects = harness.connects.iter().filter(|c| c.1 == to).count();
    harness.reload(Config::parse(&moved).expect("the configuration is valid"));
    assert_eq!(
        harness.connects.iter().filter(|c| c.1 == to).count(),
        connects,
        "the watch was restarted although the address did not change"
    );
}

#[test]
fn readiness_follows_endpoint_list() {
    let ready = |harness: &mut Harness| {
        let client = harness.connect_client();
        harness.receive_text(client, "GET /ready HTTP/1.1\r\nHost: d\r\n\r\n");
        harness.status(client).to_string()
    };
    assert_eq!(ready(&mut Harness::new()), "200");
    let without = config_json(256).replace(r#""known":"#, r#""once_known":"#);
    let mut harness =
        Harness::starting(Config::parse(&without).expect("the configuration is valid"));
    assert_eq!(ready(&mut harness), "503");
    let conn = harness.watch_conn();
    harness.receive_text(conn, DISCOVERY_HEAD);
    send_line(
        &mut harness,
        &endpoint_list_json(
            8,
            true,
            &[endpoint_json("h-r1", "127.0.1.1:80", "reads", "in_service")],
        ),
    );
    assert_eq!(ready(&mut harness), "200");
    harness.step(Input::Stop);
    assert_eq!(ready(&mut harness), "503");
}

#[test]
fn stop_answers_late_requests_then_ends() {
    let mut harness = Harness::new();
    let idle = harness.connect_client();
    let (client, decode_conn) = harness.start_decode("e1", "ask");
    harness.step(Input::Stop);
    harness.advance(0.3);
    let late_client = harness.send_request("e2", "ask");
    assert!(!harness.listener_closed && !harness.closed.contains(&idle));
    harness.advance(0.4);
    assert!(
        harness.listener_closed && harness.finished.contains(&idle),
        "idle connections stay open after the listener closed"
    );
    assert!(
        !harness.finished.contains(&client)
            && !harness.finished.contains(&late_client)
            && !harness.stopped
    );
    harness.receive_text(
        decode_conn,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
    );
    assert!(
        harness.client_output(client).ends_with("0\r\n\r\n") && harness.finished.contains(&client)
    );
    harness.complete_prefill();
    let decode_conn = harness.last_call(Call::is_decode).conn;
    assert!(!harness.stopped);
    harness.receive_text(
        decode_conn,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("two"))),
    );
    assert_eq!(
        decode_chunked(harness.client_output(late_client)),
        stream_event("two")
    );
    assert!(harness.stopped);
}

#[test]
fn stop_ends_streams_before_kill() {
    let mut harness = Harness::new();
    let (client, decode_conn) = harness.start_decode("e3", "ask");
    harness.receive_text(decode_conn, STREAM_HEAD);
    harness.receive_text(decode_conn, &chunk(&stream_event("one")));
    harness.step(Input::Stop);
    harness.advance(2.8);
    assert!(
        !harness.finished.contains(&client),
        "the stream was ended too early"
    );
    harness.receive_text(decode_conn, &chunk(&stream_event("two")));
    harness.advance(0.2);
    assert!(harness.finished.contains(&client) && harness.closed.contains(&decode_conn));
    assert_eq!(
        decode_chunked(harness.client_output(client)),
        [stream_event("one"), stream_event("two")].concat()
    );
    assert!(
        !harness.client_output(client).ends_with("0\r\n\r\n"),
        "a stream cut at shutdown looks complete"
    );
    assert!(harness.stopped, "the node did not stop before the kill");
}

#[test]
fn request_completed_while_stopping_is_answered() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let text = request("e4", "book", 12_000);
    harness.receive_text(client, &text[..60]);
    harness.step(Input::Stop);
    harness.advance(1.0);
    harness.receive_text(client, &text[60..]);
    harness.advance(2.0);
    assert_eq!(
        harness.count_calls(Call::is_prefill),
        1,
        "the request was not forwarded"
    );
    assert_eq!(harness.client_output(client), "");
    harness.advance(0.45);
    assert_eq!(
        harness.status(client),
        "504",
        "the request was not failed although no prefill server answered"
    );
}

#[test]
fn peer_datagrams_carry_number_and_own_are_dropped() {
    let mut harness = Harness::with_tracing();
    harness.node.take_trace();
    for from in ["127.0.3.2:7946", "127.0.3.1:7946", "127.0.9.9:7946"] {
        harness.step(Input::Datagram {
            from: from.parse().expect("the address is valid"),
            data: b"x",
        });
    }
    let events: Vec<String> = harness
        .node
        .take_trace()
        .iter()
        .map(|t| format!("{:?}", t.event))
        .collect();
    assert_eq!(events, ["PeerMessage { from: 1, data: [120] }"]);
}

#[test]
fn long_run_with_new_ids_leaks_nothing() {
    let mut harness = Harness::new();
    let conn = harness.watch_conn();
    harness.receive_text(conn, DISCOVERY_HEAD);
    for i in 0..300u64 {
        let old = endpoint_json(&format!("n{i}"), "127.0.1.1:80", "reads", "terminated");
        let new = endpoint_json(
            &format!("n{}", i + 1),
            "127.0.1.1:80",
            "reads",
            "in_service",
        );
        send_line(&mut harness, &endpoint_list_json(8 + i, false, &[old, new]));
        let client = harness.send_request(&format!("q{i}"), "ask");
        harness.complete_prefill();
        let decode_conn = harness.last_call(Call::is_decode).conn;
        harness.receive_text(
            decode_conn,
            &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
        );
        harness.step(Input::Ended { conn: client });
        harness.advance(0.5);
    }
    let usage = harness.node.resource_usage();
    assert_eq!(
        (usage.requests, usage.clients, usage.releases),
        (0, 0, 0),
        "{usage:?}"
    );
    assert!(
        usage.servers <= 5 && usage.server_connections <= 20,
        "{usage:?}"
    );
}
