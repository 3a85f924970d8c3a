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
const OWN: usize = 10;
const WATCH: usize = 1;
const FINISHING: usize = 16;

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
        let shares = ConnectionLimits::of(&limits(descriptors));
        let all = shares.clients + shares.servers + OWN + WATCH + FINISHING;
        assert!(all <= descriptors, "{descriptors}: {shares:?} make {all}");
        assert!(
            shares.clients >= 8 && shares.servers >= 4,
            "{descriptors}: {shares:?}"
        );
        // A request in hand holds a connection of either kind: some clients' places are left for newcomers.
        assert!(shares.servers < shares.clients, "{descriptors}: {shares:?}");
    }
    // Clients hold a third of the descriptors for requests at the most: there is a place and a host's for each.
    for descriptors in [256, 512, 1024] {
        let shares = ConnectionLimits::of(&limits(descriptors));
        assert!(
            shares.servers >= descriptors / 3,
            "{descriptors}: {shares:?}"
        );
    }
    let few = ConnectionLimits::of(&limits(0));
    assert!(
        few.clients >= 8 && few.servers >= 4,
        "the fewest places are there however few descriptors are"
    );
}

#[test]
fn smaller_descriptor_limit_counts() {
    let table = [
        ("no limit", None, OWN, 256),
        ("a lower one", Some(48), OWN, 48),
        ("just below", Some(255), OWN, 255),
        ("the same", Some(256), OWN, 256),
        ("a higher one", Some(20_000), OWN, 256),
        ("fewer of its own than may be", Some(256), 3, 256),
        ("some handed to it", Some(256), OWN + 100, 156),
        ("many handed to it, of more", Some(1024), OWN + 300, 256),
        ("all handed to it", Some(256), 256 + OWN, 0),
    ];
    for (name, allowed, held, descriptors) in table {
        assert_eq!(
            limits(256).within(allowed, held),
            limits(descriptors),
            "{name}"
        );
    }
}

/// What fills the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Crowd {
    /// Has had an answer, and keeps its connection.
    Idle,
    Silent,
    /// Half a request.
    Half,
    /// A whole request, which its host does not answer.
    Busy,
}

const CROWDS: [Crowd; 4] = [Crowd::Idle, Crowd::Silent, Crowd::Half, Crowd::Busy];

const READY: &str = "GET /ready HTTP/1.1\r\n\r\n";

fn join(harness: &mut Harness, crowd: Crowd, i: usize) -> ConnId {
    let conn = harness.connect_client();
    let whole = request(&format!("q{i}"), "ask", 4800);
    match crowd {
        Crowd::Idle => harness.receive_text(conn, READY),
        Crowd::Silent => {}
        Crowd::Half => harness.receive_text(conn, &whole[..whole.len() - 4]),
        Crowd::Busy => harness.receive_text(conn, &whole),
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

fn held_together(harness: &Harness) -> usize {
    let resource_usage = harness.node.resource_usage();
    resource_usage.clients + resource_usage.server_connections + OWN + WATCH + FINISHING
}

fn watches(harness: &Harness) -> usize {
    harness
        .connects
        .iter()
        .filter(|(_, to)| to.to_string() == DISCOVERY)
        .count()
}

fn stream_whole(harness: &mut Harness, writer: ConnId) {
    harness.receive_text(writer, &format!("{}0\r\n\r\n", chunk(&stream_event("two"))));
}

#[test]
fn full_client_table_keeps_its_bound() {
    for sockets in [64, 256, 1024] {
        let shares = ConnectionLimits::of(&limits(sockets as usize));
        for crowd in CROWDS {
            let name = format!("{sockets} {crowd:?}");
            let mut harness = harness(sockets);
            let (good, writer) = harness.start_decode("good", "ask");
            harness.receive_text(
                writer,
                &format!("{STREAM_HEAD}{}", chunk(&stream_event("one"))),
            );
            let watches_before = watches(&harness);
            for i in 0..2 * sockets as usize {
                join(&mut harness, crowd, i);
                let resource_usage = harness.node.resource_usage();
                assert!(
                    resource_usage.clients <= shares.clients,
                    "{name}: {} clients",
                    resource_usage.clients
                );
                assert!(
                    resource_usage.server_connections <= shares.servers,
                    "{name}: {} connections to hosts",
                    resource_usage.server_connections
                );
                assert!(
                    held_together(&harness) <= sockets as usize,
                    "{name}: {}",
                    held_together(&harness)
                );
            }
            // The front's call, and a request, among them.
            let front = harness.connect_client();
            harness.receive_text(front, READY);
            assert_eq!(harness.status(front), "200", "{name}: /ready");
            let reads = harness.count_calls(Call::is_prefill);
            let late = harness.send_request("late", "ask");
            let sent = harness.count_calls(Call::is_prefill) > reads;
            let told = harness.status(late) == "503";
            assert!(
                sent || told && crowd == Crowd::Busy,
                "{name}: a request is neither sent on nor refused"
            );
            // Events in hand go out while the table is full; the stream's host still writes.
            stream_whole(&mut harness, writer);
            assert_eq!(
                decode_chunked(harness.client_output(good)),
                format!("{}{}", stream_event("one"), stream_event("two")),
                "{name}"
            );
            harness.advance(8.0);
            assert!(
                watches(&harness) > watches_before,
                "{name}: the watch is not begun anew"
            );
        }
    }
}

#[test]
fn server_connections_run_out_before_client_places() {
    for sockets in [64, 256] {
        let shares = ConnectionLimits::of(&limits(sockets as usize));
        let entry = |i: usize| {
            let (model, at) = (["reads", "writes"][i % 2], format!("127.0.9.{}:80", i + 1));
            endpoint_json(&format!("x{i}"), &at, model, "in_service")
        };
        let few: Vec<String> = servers()
            .iter()
            .map(|h| endpoint_json(h.0, h.1, h.2, "in_service"))
            .collect();
        let many: Vec<String> = (0..150).map(entry).collect();
        let text = config_json(sockets).replace(r#""mostHeld":100,"#, "");
        let text = text.replace(
            &endpoint_list_json(7, true, &few),
            &endpoint_list_json(7, true, &many),
        );
        let mut harness =
            Harness::with_config(Config::parse(&text).expect("the test's configuration"));
        let crowd: Vec<_> = (0..2 * sockets as usize)
            .map(|i| join(&mut harness, Crowd::Busy, i))
            .collect();
        let busy = crowd
            .iter()
            .filter(|c| harness.client_output(**c).is_empty() && !harness.closed.contains(c))
            .count();
        let used = shares.servers - ConnectionPool::reserved(shares.servers);
        assert_eq!(
            (busy, harness.node.resource_usage().server_connections),
            (used, used),
            "{sockets}: all but those for releases are in use"
        );
        let told = crowd
            .iter()
            .filter(|c| harness.status(**c) == "503")
            .count();
        assert_eq!(
            busy + told,
            crowd.len(),
            "{sockets}: the others are refused, not cut off"
        );
        let front = harness.connect_client();
        harness.receive_text(front, READY);
        assert_eq!(harness.status(front), "200", "{sockets}: /ready");
        assert!(
            harness.node.resource_usage().clients <= shares.clients
                && held_together(&harness) <= sockets as usize
        );
    }
}

#[test]
fn discovery_returns_while_client_table_is_full() {
    for crowd in CROWDS {
        let mut harness = harness(256);
        for i in 0..400 {
            join(&mut harness, crowd, i);
        }
        let before = watches(&harness);
        while watches(&harness) == before {
            harness.advance(0.1);
        }
        let (watch, _) = *harness
            .connects
            .iter()
            .rev()
            .find(|c| c.1.to_string() == DISCOVERY)
            .expect("a watch");
        let hosts = servers();
        let drains = [endpoint_json(
            hosts[0].0,
            hosts[0].1,
            "reads",
            "terminating",
        )];
        let line = endpoint_list_json(8, false, &drains) + "\n";
        harness.receive_text(watch, &format!("{}{}", STREAM_HEAD, chunk(&line)));
        harness.advance(6.0);
        let calls = harness.calls.len();
        for i in 0..8 {
            harness.send_request(&format!("after{i}"), "ask");
        }
        let reads: Vec<_> = harness.calls[calls..]
            .iter()
            .filter(|c| c.is_prefill())
            .map(|c| c.to)
            .collect();
        assert!(!reads.is_empty(), "{crowd:?}: nothing is sent on");
        assert!(
            reads.iter().all(|to| to.to_string() != hosts[0].1),
            "{crowd:?}: the drain is not acted on"
        );
    }
}

#[test]
fn partial_requests_are_evicted_first_requests_first() {
    let mut harness = harness(64);
    let most = ConnectionLimits::of(&limits(64)).clients;
    let half = &request("h", "ask", 4800)[..60];
    // One that has been answered before, and now sends its next request in pieces, before all others.
    let known = harness.connect_client();
    harness.receive_text(known, READY);
    harness.receive_text(known, half);
    let strangers: Vec<_> = (1..most)
        .map(|_| {
            let conn = harness.connect_client();
            harness.receive_text(conn, half);
            conn
        })
        .collect();
    assert_eq!(
        harness.node.resource_usage().clients,
        most,
        "the table is full of half requests"
    );
    for i in 0..3 {
        let front = harness.connect_client();
        assert!(
            !harness.closed.contains(&front),
            "newcomer {i} is not heard"
        );
        harness.receive_text(front, &request(&format!("n{i}"), "ask", 4800));
        assert_eq!(
            harness.closed.iter().copied().collect::<Vec<_>>(),
            strangers[..=i],
            "the oldest goes first"
        );
    }
    assert!(!harness.closed.contains(&known));
}

#[test]
fn client_still_reading_is_not_evicted() {
    let mut harness = harness(64);
    let (slow, writer) = harness.start_decode("slow", "ask");
    harness.clients_blocked = true;
    harness.receive_text(
        writer,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
    );
    harness.clients_blocked = false;
    for i in 0..200 {
        join(&mut harness, Crowd::Half, i);
    }
    assert!(
        !harness.closed.contains(&slow),
        "its answer is whole at the node and not at the client"
    );
    harness.step(Input::Wrote {
        conn: slow,
        count: harness.client_output(slow).len(),
    });
    for i in 200..400 {
        join(&mut harness, Crowd::Half, i);
    }
    assert!(
        harness.closed.contains(&slow),
        "once all is taken it is as idle as any"
    );
}

#[test]
fn idle_connections_are_evicted_for_descriptors() {
    let mut harness = harness(256);
    let (_, writer) = harness.start_decode("done", "ask");
    harness.receive_text(
        writer,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
    );
    let (busy, streaming) = harness.start_decode("busy", "ask");
    harness.receive_text(
        streaming,
        &format!("{STREAM_HEAD}{}", chunk(&stream_event("one"))),
    );
    let silent = harness.connect_client();
    harness.advance(1.0);
    let mut gone = Vec::new();
    while harness.node.evict_client(harness.now, &mut gone) {}
    let (clients, links) = (
        harness.node.resource_usage().clients,
        harness.node.resource_usage().server_connections,
    );
    assert_eq!(clients, 1, "the busy one stays");
    assert_eq!(gone.len(), 2, "{gone:?}");
    assert!(
        gone[0] == bitternlatch_platform::types::Command::Close { conn: silent },
        "{gone:?}"
    );
    let mut dropped = Vec::new();
    while harness.node.evict_idle_connection(&mut dropped) {}
    assert_eq!(
        harness.node.resource_usage().server_connections,
        links - dropped.len()
    );
    assert!(
        !dropped.is_empty() && harness.node.resource_usage().server_connections >= 1,
        "the stream's stays"
    );
    stream_whole(&mut harness, streaming);
    assert_eq!(
        decode_chunked(harness.client_output(busy)),
        format!("{}{}", stream_event("one"), stream_event("two"))
    );
}
