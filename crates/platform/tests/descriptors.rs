//! File descriptors run short while discovery is down: the watch, hosts and answers in hand still get theirs, and a
//! newcomer is heard, whatever the clients are that fill the table.
mod common;

use bitternlatch_platform::config::Config;
use bitternlatch_platform::pool::ConnectionPool;
use bitternlatch_platform::resource_limits::ConnectionLimits;
use bitternlatch_platform::resource_limits::Limits;
use bitternlatch_platform::types::{ConnId, Input};
use common::*;

/// Standard streams, readiness queue, listener, peers, signals; the watch; clients that see their last answer.
const RESERVED_DESCRIPTORS: usize = 10;
const WATCH_CONNECTIONS: usize = 1;
const LINGERING_CONNECTIONS: usize = 16;

const DISCOVERY: &str = "127.0.2.1:8500";

fn limits(descriptors: usize) -> Limits {
    Limits {
        memory_bytes: 64 << 20,
        descriptors,
    }
}

/// A configuration of so many descriptors whose settings bound no requests in hand.
fn config_of(sockets: u32) -> Config {
    let text = config_json(sockets).replace(r#""mostHeld":100,"#, "");
    Config::parse(&text).expect("the test's configuration")
}

#[test]
fn connection_limits_fit_descriptors() {
    for descriptors in [48, 49, 64, 128, 256, 300, 1024, 20_000] {
        let connection_limits = ConnectionLimits::of(&limits(descriptors));
        let all = connection_limits.clients
            + connection_limits.servers
            + RESERVED_DESCRIPTORS
            + WATCH_CONNECTIONS
            + LINGERING_CONNECTIONS;
        assert!(
            all <= descriptors,
            "{descriptors}: {connection_limits:?} make {all}"
        );
        assert!(
            connection_limits.clients >= 8 && connection_limits.servers >= 4,
            "{descriptors}: {connection_limits:?}"
        );
        // A request in hand holds a connection of either kind: some clients' places are left for newcomers.
        assert!(
            connection_limits.servers < connection_limits.clients,
            "{descriptors}: {connection_limits:?}"
        );
    }
    // Clients hold a third of the descriptors for requests at the most: there is a place and a host's for each.
    for descriptors in [256, 512, 1024] {
        let connection_limits = ConnectionLimits::of(&limits(descriptors));
        assert!(
            connection_limits.servers >= descriptors / 3,
            "{descriptors}: {connection_limits:?}"
        );
    }
    let four_servers = ConnectionLimits::of(&limits(0));
    assert!(
        four_servers.clients >= 8 && four_servers.servers >= 4,
        "the fewest places are there however few descriptors are"
    );
}

#[test]
fn smaller_descriptor_limit_counts() {
    let table = [
        ("no limit", None, RESERVED_DESCRIPTORS, 256),
        ("a lower one", Some(48), RESERVED_DESCRIPTORS, 48),
        ("just below", Some(255), RESERVED_DESCRIPTORS, 255),
        ("the same", Some(256), RESERVED_DESCRIPTORS, 256),
        ("a higher one", Some(20_000), RESERVED_DESCRIPTORS, 256),
        ("fewer of its own than may be", Some(256), 3, 256),
        (
            "some handed to it",
            Some(256),
            RESERVED_DESCRIPTORS + 100,
            156,
        ),
        (
            "many handed to it, of more",
            Some(1024),
            RESERVED_DESCRIPTORS + 300,
            256,
        ),
        ("all handed to it", Some(256), 256 + RESERVED_DESCRIPTORS, 0),
    ];
    for (name, allowed, open_descriptors, descriptors) in table {
        assert_eq!(
            limits(256).within(allowed, open_descriptors),
            limits(descriptors),
            "{name}"
        );
    }
}

/// What fills the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientKind {
    /// Has had an answer, and keeps its connection.
    Idle,
    Silent,
    /// Half a request.
    PartialRequest,
    /// A whole request, which its host does not answer.
    OpenRequest,
}

const CLIENT_KINDS: [ClientKind; 4] = [
    ClientKind::Idle,
    ClientKind::Silent,
    ClientKind::PartialRequest,
    ClientKind::OpenRequest,
];

const READY: &str = "GET /ready HTTP/1.1\r\n\r\n";

fn connect_client_of_kind(harness: &mut Harness, clients: ClientKind, i: usize) -> ConnId {
    let conn = harness.connect_client();
    let whole = request(&format!("q{i}"), "ask", 4800);
    match clients {
        ClientKind::Idle => harness.receive_text(conn, READY),
        ClientKind::Silent => {}
        ClientKind::PartialRequest => harness.receive_text(conn, &whole[..whole.len() - 4]),
        ClientKind::OpenRequest => harness.receive_text(conn, &whole),
    }
    conn
}

/// A rig whose discovery takes the call and says nothing.
fn harness(sockets: u32) -> Harness {
    let mut harness = Harness::with_config(config_of(sockets));
    assert!(harness
        .connects
        .iter()
        .any(|(_, to)| to.to_string() == DISCOVERY));
    harness.advance(0.1);
    harness
}

fn descriptors_in_use(harness: &Harness) -> usize {
    let resource_usage = harness.node.resource_usage();
    resource_usage.clients
        + resource_usage.server_connections
        + RESERVED_DESCRIPTORS
        + WATCH_CONNECTIONS
        + LINGERING_CONNECTIONS
}

fn watch_connects(harness: &Harness) -> usize {
    harness
        .connects
        .iter()
        .filter(|(_, to)| to.to_string() == DISCOVERY)
        .count()
}

fn finish_stream(harness: &mut Harness, decode_conn: ConnId) {
    harness.receive_text(
        decode_conn,
        &format!("{}0\r\n\r\n", chunk(&stream_event("two"))),
    );
}

#[test]
fn full_client_table_keeps_its_bound() {
    for sockets in [64, 256, 1024] {
        let connection_limits = ConnectionLimits::of(&limits(sockets as usize));
        for clients in CLIENT_KINDS {
            let name = format!("{sockets} {clients:?}");
            let mut harness = harness(sockets);
            let (streaming_client, decode_conn) = harness.start_decode("good", "ask");
            harness.receive_text(
                decode_conn,
                &format!("{STREAM_HEAD}{}", chunk(&stream_event("one"))),
            );
            let watch_connects_before = watch_connects(&harness);
            for i in 0..2 * sockets as usize {
                connect_client_of_kind(&mut harness, clients, i);
                let resource_usage = harness.node.resource_usage();
                assert!(
                    resource_usage.clients <= connection_limits.clients,
                    "{name}: {} clients",
                    resource_usage.clients
                );
                assert!(
                    resource_usage.server_connections <= connection_limits.servers,
                    "{name}: {} connections to hosts",
                    resource_usage.server_connections
                );
                assert!(
                    descriptors_in_use(&harness) <= sockets as usize,
                    "{name}: {}",
                    descriptors_in_use(&harness)
                );
            }
            // The front's call, and a request, among them.
            let load_balancer = harness.connect_client();
            harness.receive_text(load_balancer, READY);
            assert_eq!(harness.status(load_balancer), "200", "{name}: /ready");
            let prefill_calls = harness.count_calls(Call::is_prefill);
            let new_client = harness.send_request("late", "ask");
            let sent = harness.count_calls(Call::is_prefill) > prefill_calls;
            let shed = harness.status(new_client) == "503";
            assert!(
                sent || shed && clients == ClientKind::OpenRequest,
                "{name}: a request is neither sent on nor refused"
            );
            // Events in hand go out while the table is full; the stream's host still writes.
            finish_stream(&mut harness, decode_conn);
            assert_eq!(
                decode_chunked(harness.client_output(streaming_client)),
                format!("{}{}", stream_event("one"), stream_event("two")),
                "{name}"
            );
            harness.advance(8.0);
            assert!(
                watch_connects(&harness) > watch_connects_before,
                "{name}: the watch is not begun anew"
            );
        }
    }
}

#[test]
fn server_connections_run_out_before_client_places() {
    for sockets in [64, 256] {
        let connection_limits = ConnectionLimits::of(&limits(sockets as usize));
        let entry = |i: usize| {
            let (model, at) = (["reads", "writes"][i % 2], format!("127.0.9.{}:80", i + 1));
            endpoint_json(&format!("x{i}"), &at, model, "in_service")
        };
        let four_servers: Vec<String> = servers()
            .iter()
            .map(|h| endpoint_json(h.0, h.1, h.2, "in_service"))
            .collect();
        let all_servers: Vec<String> = (0..150).map(entry).collect();
        let text = config_json(sockets).replace(r#""mostHeld":100,"#, "");
        let text = text.replace(
            &endpoint_list_json(7, true, &four_servers),
            &endpoint_list_json(7, true, &all_servers),
        );
        let mut harness =
            Harness::with_config(Config::parse(&text).expect("the test's configuration"));
        let clients: Vec<_> = (0..2 * sockets as usize)
            .map(|i| connect_client_of_kind(&mut harness, ClientKind::OpenRequest, i))
            .collect();
        let open = clients
            .iter()
            .filter(|c| harness.client_output(**c).is_empty() && !harness.closed.contains(c))
            .count();
        let used = connection_limits.servers - ConnectionPool::reserved(connection_limits.servers);
        assert_eq!(
            (open, harness.node.resource_usage().server_connections),
            (used, used),
            "{sockets}: all but those for releases are in use"
        );
        let shed = clients
            .iter()
            .filter(|c| harness.status(**c) == "503")
            .count();
        assert_eq!(
            open + shed,
            clients.len(),
            "{sockets}: the others are refused, not cut off"
        );
        let load_balancer = harness.connect_client();
        harness.receive_text(load_balancer, READY);
        assert_eq!(harness.status(load_balancer), "200", "{sockets}: /ready");
        assert!(
            harness.node.resource_usage().clients <= connection_limits.clients
                && descriptors_in_use(&harness) <= sockets as usize
        );
    }
}

#[test]
fn discovery_returns_while_client_table_is_full() {
    for clients in CLIENT_KINDS {
        let mut harness = harness(256);
        for i in 0..400 {
            connect_client_of_kind(&mut harness, clients, i);
        }
        let before = watch_connects(&harness);
        while watch_connects(&harness) == before {
            harness.advance(0.1);
        }
        let (watch, _) = *harness
            .connects
            .iter()
            .rev()
            .find(|c| c.1.to_string() == DISCOVERY)
            .expect("a watch");
        let hosts = servers();
        let draining = [endpoint_json(
            hosts[0].0,
            hosts[0].1,
            "reads",
            "terminating",
        )];
        let line = endpoint_list_json(8, false, &draining) + "\n";
        harness.receive_text(watch, &format!("{}{}", STREAM_HEAD, chunk(&line)));
        harness.advance(6.0);
        let calls = harness.calls.len();
        for i in 0..8 {
            harness.send_request(&format!("after{i}"), "ask");
        }
        let prefill_calls: Vec<_> = harness.calls[calls..]
            .iter()
            .filter(|c| c.is_prefill())
            .map(|c| c.to)
            .collect();
        assert!(!prefill_calls.is_empty(), "{clients:?}: nothing is sent on");
        assert!(
            prefill_calls.iter().all(|to| to.to_string() != hosts[0].1),
            "{clients:?}: the drain is not acted on"
        );
    }
}

#[test]
fn partial_requests_are_evicted_first_requests_first() {
    let mut harness = harness(64);
    let max_clients = ConnectionLimits::of(&limits(64)).clients;
    let partial = &request("h", "ask", 4800)[..60];
    // One that has been answered before, and now sends its next request in pieces, before all others.
    let earlier_client = harness.connect_client();
    harness.receive_text(earlier_client, READY);
    harness.receive_text(earlier_client, partial);
    let new_clients: Vec<_> = (1..max_clients)
        .map(|_| {
            let conn = harness.connect_client();
            harness.receive_text(conn, partial);
            conn
        })
        .collect();
    assert_eq!(
        harness.node.resource_usage().clients,
        max_clients,
        "the table is full of half requests"
    );
    for i in 0..3 {
        let load_balancer = harness.connect_client();
        assert!(
            !harness.closed.contains(&load_balancer),
            "newcomer {i} is not heard"
        );
        harness.receive_text(load_balancer, &request(&format!("n{i}"), "ask", 4800));
        assert_eq!(
            harness.closed.iter().copied().collect::<Vec<_>>(),
            new_clients[..=i],
            "the oldest goes first"
        );
    }
    assert!(!harness.closed.contains(&earlier_client));
}

#[test]
fn client_still_reading_is_not_evicted() {
    let mut harness = harness(64);
    let (slow_client, decode_conn) = harness.start_decode("slow", "ask");
    harness.clients_blocked = true;
    harness.receive_text(
        decode_conn,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
    );
    harness.clients_blocked = false;
    for i in 0..200 {
        connect_client_of_kind(&mut harness, ClientKind::PartialRequest, i);
    }
    assert!(
        !harness.closed.contains(&slow_client),
        "its answer is whole at the node and not at the client"
    );
    harness.step(Input::Wrote {
        conn: slow_client,
        count: harness.client_output(slow_client).len(),
    });
    for i in 200..400 {
        connect_client_of_kind(&mut harness, ClientKind::PartialRequest, i);
    }
    assert!(
        harness.closed.contains(&slow_client),
        "once all is taken it is as idle as any"
    );
}

#[test]
fn idle_connections_are_evicted_for_descriptors() {
    let mut harness = harness(256);
    let (_, decode_conn) = harness.start_decode("done", "ask");
    harness.receive_text(
        decode_conn,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
    );
    let (open, stream_conn) = harness.start_decode("busy", "ask");
    harness.receive_text(
        stream_conn,
        &format!("{STREAM_HEAD}{}", chunk(&stream_event("one"))),
    );
    let silent = harness.connect_client();
    harness.advance(1.0);
    let mut evicted = Vec::new();
    while harness.node.evict_client(harness.now, &mut evicted) {}
    let (clients, server_connections) = (
        harness.node.resource_usage().clients,
        harness.node.resource_usage().server_connections,
    );
    assert_eq!(clients, 1, "the busy one stays");
    assert_eq!(evicted.len(), 2, "{evicted:?}");
    assert!(
        evicted[0] == bitternlatch_platform::types::Command::Close { conn: silent },
        "{evicted:?}"
    );
    let mut closed = Vec::new();
    while harness.node.evict_idle_connection(&mut closed) {}
    assert_eq!(
        harness.node.resource_usage().server_connections,
        server_connections - closed.len()
    );
    assert!(
        !closed.is_empty() && harness.node.resource_usage().server_connections >= 1,
        "the stream's stays"
    );
    finish_stream(&mut harness, stream_conn);
    assert_eq!(
        decode_chunked(harness.client_output(open)),
        format!("{}{}", stream_event("one"), stream_event("two"))
    );
}
