//! Tests for a shortage of file descriptors while discovery is down: the discovery watch, server connections and open
//! responses keep their descriptors, and new clients are accepted, whichever kind of client fills the client table.
mod common;

use bitternlatch_platform::config::Config;
use bitternlatch_platform::pool::ConnectionPool;
use bitternlatch_platform::resource_limits::ConnectionLimits;
use bitternlatch_platform::resource_limits::Limits;
use bitternlatch_platform::types::{Command, ConnId, Input};
use common::*;

/// Descriptors for the standard streams, the poll instance, the listener, the peer socket and signals.
const RESERVED_DESCRIPTORS: usize = 10;
/// Descriptors for the discovery watch.
const WATCH_CONNECTIONS: usize = 1;
/// Descriptors for client connections that linger after their last response.
const LINGERING_CONNECTIONS: usize = 16;

const DISCOVERY: &str = "127.0.2.1:8500";

fn limits(descriptors: usize) -> Limits {
    Limits {
        memory_bytes: 64 << 20,
        descriptors,
    }
}

/// A configuration with `sockets` descriptors whose settings do not limit the requests in flight.
fn config_of(sockets: u32) -> Config {
    let text = config_json(sockets).replace(r#""mostHeld":100,"#, "");
    Config::parse(&text).expect("the configuration of the test is valid")
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
            "{descriptors}: {connection_limits:?} add up to {all}"
        );
        assert!(
            connection_limits.clients >= 8 && connection_limits.servers >= 4,
            "{descriptors}: {connection_limits:?}"
        );
        // An open request uses one connection of each kind, so some client connections remain for new clients.
        assert!(
            connection_limits.servers < connection_limits.clients,
            "{descriptors}: {connection_limits:?}"
        );
    }
    // Server connections get at least a third of the descriptors, so that as many requests can have one.
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
        "the minimum applies however few descriptors there are"
    );
}

#[test]
fn smaller_descriptor_limit_counts() {
    let table = [
        ("no limit", None, RESERVED_DESCRIPTORS, 256),
        ("a lower limit", Some(48), RESERVED_DESCRIPTORS, 48),
        ("just below", Some(255), RESERVED_DESCRIPTORS, 255),
        ("the same limit", Some(256), RESERVED_DESCRIPTORS, 256),
        ("a higher limit", Some(20_000), RESERVED_DESCRIPTORS, 256),
        ("fewer open descriptors than reserved", Some(256), 3, 256),
        (
            "some inherited descriptors",
            Some(256),
            RESERVED_DESCRIPTORS + 100,
            156,
        ),
        (
            "many inherited descriptors of a higher limit",
            Some(1024),
            RESERVED_DESCRIPTORS + 300,
            256,
        ),
        (
            "all descriptors inherited",
            Some(256),
            256 + RESERVED_DESCRIPTORS,
            0,
        ),
    ];
    for (name, allowed, open_descriptors, descriptors) in table {
        assert_eq!(
            limits(256).within(allowed, open_descriptors),
            limits(descriptors),
            "{name}"
        );
    }
}

/// Kind of the clients that fill the client table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientKind {
    /// The client has received a response and keeps its connection open.
    Idle,
    /// The client sends nothing.
    Silent,
    /// The client has sent part of a request.
    PartialRequest,
    /// The client has sent a complete request, which the server does not answer.
    OpenRequest,
}

const CLIENT_KINDS: [ClientKind; 4] = [
    ClientKind::Idle,
    ClientKind::Silent,
    ClientKind::PartialRequest,
    ClientKind::OpenRequest,
];

const READY: &str = "GET /ready HTTP/1.1\r\n\r\n";

fn connect_client_of_kind(harness: &mut Harness, client_kind: ClientKind, i: usize) -> ConnId {
    let conn = harness.connect_client();
    let whole = request(&format!("q{i}"), "ask", 4800);
    match client_kind {
        ClientKind::Idle => harness.receive_text(conn, READY),
        ClientKind::Silent => {}
        ClientKind::PartialRequest => harness.receive_text(conn, &whole[..whole.len() - 4]),
        ClientKind::OpenRequest => harness.receive_text(conn, &whole),
    }
    conn
}

/// A harness whose discovery accepts the watch and sends nothing.
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
        for client_kind in CLIENT_KINDS {
            let name = format!("{sockets} {client_kind:?}");
            let mut harness = harness(sockets);
            let (streaming_client, decode_conn) = harness.start_decode("good", "ask");
            harness.receive_text(
                decode_conn,
                &format!("{STREAM_HEAD}{}", chunk(&stream_event("one"))),
            );
            let watch_connects_before = watch_connects(&harness);
            for i in 0..2 * sockets as usize {
                connect_client_of_kind(&mut harness, client_kind, i);
                let resource_usage = harness.node.resource_usage();
                assert!(
                    resource_usage.clients <= connection_limits.clients,
                    "{name}: {} clients",
                    resource_usage.clients
                );
                assert!(
                    resource_usage.server_connections <= connection_limits.servers,
                    "{name}: {} connections to servers",
                    resource_usage.server_connections
                );
                assert!(
                    descriptors_in_use(&harness) <= sockets as usize,
                    "{name}: {}",
                    descriptors_in_use(&harness)
                );
            }
            // A readiness check of the load balancer and a request arrive while the table is full.
            let load_balancer = harness.connect_client();
            harness.receive_text(load_balancer, READY);
            assert_eq!(harness.status(load_balancer), "200", "{name}: /ready");
            let prefill_calls = harness.count_calls(Call::is_prefill);
            let new_client = harness.send_request("late", "ask");
            let sent = harness.count_calls(Call::is_prefill) > prefill_calls;
            let shed = harness.status(new_client) == "503";
            assert!(
                sent || shed && client_kind == ClientKind::OpenRequest,
                "{name}: a request is neither forwarded nor shed"
            );
            // Events of an open stream are forwarded while the table is full.
            finish_stream(&mut harness, decode_conn);
            assert_eq!(
                decode_chunked(harness.client_output(streaming_client)),
                format!("{}{}", stream_event("one"), stream_event("two")),
                "{name}"
            );
            harness.advance(8.0);
            assert!(
                watch_connects(&harness) > watch_connects_before,
                "{name}: the watch is not restarted"
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
        let mut harness = Harness::with_config(
            Config::parse(&text).expect("the configuration of the test is valid"),
        );
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
            "{sockets}: not all connections but those for releases are in use"
        );
        let shed = clients
            .iter()
            .filter(|c| harness.status(**c) == "503")
            .count();
        assert_eq!(
            open + shed,
            clients.len(),
            "{sockets}: some of the other clients are not shed with a response"
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

/// What the open requests of a full client table wait for, without a connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AwaitedEvent {
    /// The first endpoint list.
    EndpointList,
    /// A decode server that may take their KV states.
    DecodeServer,
}

impl AwaitedEvent {
    /// A harness with a request that waits for this, and then many more that do.
    fn fill(self, sockets: u32) -> (Harness, Vec<ConnId>) {
        let mut harness = match self {
            AwaitedEvent::EndpointList => Harness::starting(config_of(sockets)),
            AwaitedEvent::DecodeServer => harness(sockets),
        };
        if self == AwaitedEvent::DecodeServer {
            let draining = servers()
                .into_iter()
                .filter(|server| server.2 == "writes")
                .map(|server| endpoint_json(server.0, server.1, server.2, "terminating"));
            let line = endpoint_list_json(8, false, &draining.collect::<Vec<_>>()) + "\n";
            let watch = harness.watch_conn();
            harness.receive_text(watch, &chunk(&line));
        }
        let mut clients = Vec::new();
        for i in 0..2 * sockets as usize {
            let prefills = harness.count_calls(Call::is_prefill);
            clients.push(connect_client_of_kind(
                &mut harness,
                ClientKind::OpenRequest,
                i,
            ));
            if harness.count_calls(Call::is_prefill) > prefills {
                harness.complete_prefill();
            }
        }
        (harness, clients)
    }
}

/// Requests that waited for the first endpoint list took every place of the client table, and the clients after them were
/// closed without a response.
#[test]
fn requests_without_a_server_connection_leave_client_places() {
    for awaited in [AwaitedEvent::EndpointList, AwaitedEvent::DecodeServer] {
        for sockets in [64, 256, 1024] {
            let name = format!("{awaited:?} {sockets}");
            let connection_limits = ConnectionLimits::of(&limits(sockets as usize));
            let (mut harness, clients) = awaited.fill(sockets);
            let (answered, waiting): (Vec<ConnId>, Vec<ConnId>) = clients
                .into_iter()
                .partition(|client| !harness.client_output(*client).is_empty());
            let lost = waiting.iter().filter(|c| harness.closed.contains(c));
            assert_eq!(lost.count(), 0, "{name}: closed without a response");
            assert!(
                answered
                    .iter()
                    .all(|client| harness.status(*client) == "503"),
                "{name}"
            );
            println!("{name}: {} wait", waiting.len());
            assert!(
                waiting.len() <= connection_limits.servers,
                "{name}: {} wait",
                waiting.len()
            );
            let load_balancer = harness.connect_client();
            harness.receive_text(load_balancer, READY);
            assert!(
                ["200", "503"].contains(&harness.status(load_balancer)),
                "{name}: /ready"
            );
        }
    }
}

#[test]
fn discovery_returns_while_client_table_is_full() {
    for client_kind in CLIENT_KINDS {
        let mut harness = harness(256);
        for i in 0..400 {
            connect_client_of_kind(&mut harness, client_kind, i);
        }
        let before = watch_connects(&harness);
        while watch_connects(&harness) == before {
            harness.advance(0.1);
        }
        let watch = harness.watch_conn();
        let servers = servers();
        let draining = [endpoint_json(
            servers[0].0,
            servers[0].1,
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
        assert!(
            !prefill_calls.is_empty(),
            "{client_kind:?}: nothing is forwarded"
        );
        assert!(
            prefill_calls
                .iter()
                .all(|to| to.to_string() != servers[0].1),
            "{client_kind:?}: a draining server receives a prefill"
        );
    }
}

#[test]
fn partial_requests_are_evicted_first_requests_first() {
    let mut harness = harness(64);
    let max_clients = ConnectionLimits::of(&limits(64)).clients;
    let partial = &request("h", "ask", 4800)[..60];
    // This client was answered before and has sent part of its next request, earlier than all others.
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
        "the table is not full of partial requests"
    );
    for i in 0..3 {
        let load_balancer = harness.connect_client();
        assert!(
            !harness.closed.contains(&load_balancer),
            "new client {i} is not accepted"
        );
        harness.receive_text(load_balancer, &request(&format!("n{i}"), "ask", 4800));
        assert_eq!(
            harness.closed.iter().copied().collect::<Vec<_>>(),
            new_clients[..=i],
            "the oldest client is not evicted first"
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
        "a client was evicted before its response was completely sent"
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
        "an idle client was not evicted after its response was sent"
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
    assert_eq!(clients, 1, "the client with an open request was evicted");
    evicted.retain(|command| matches!(command, Command::Close { .. }));
    assert_eq!(evicted.len(), 2, "{evicted:?}");
    assert!(evicted[0] == Command::Close { conn: silent }, "{evicted:?}");
    let mut closed = Vec::new();
    while harness.node.evict_idle_connection(&mut closed) {}
    assert_eq!(
        harness.node.resource_usage().server_connections,
        server_connections - closed.len()
    );
    assert!(
        !closed.is_empty() && harness.node.resource_usage().server_connections >= 1,
        "the connection of the stream was evicted"
    );
    finish_stream(&mut harness, stream_conn);
    assert_eq!(
        decode_chunked(harness.client_output(open)),
        format!("{}{}", stream_event("one"), stream_event("two"))
    );
}

/// Guards against a client that is closed, for a connection to a server, while its request is on its way or lies unread.
#[test]
fn only_resting_clients_are_evicted_for_connections_to_servers() {
    let mut harness = harness(256);
    let (done, decode_conn) = harness.start_decode("done", "ask");
    harness.receive_text(
        decode_conn,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
    );
    let silent = harness.connect_client();
    harness.advance(1.0);
    let half = harness.connect_client();
    harness.receive_text(half, "POST /v1/chat");
    harness.connect_client();
    let mut evicted = Vec::new();
    while harness.node.evict_resting_client(harness.now, &mut evicted) {}
    evicted.retain(|command| matches!(command, Command::Close { .. }));
    let expected = [silent, done].map(|conn| Command::Close { conn });
    assert_eq!(evicted, expected);
}
