//! Releases of KV cache state: state that a prefill server may hold is released, and the release is repeated until it
//! has certainly arrived.
mod common;

use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_platform::config::Config;
use bitternlatch_platform::discovery::Endpoints;
use bitternlatch_platform::pool::{ConnectionPool, ConnectionUse, ServerConnection};
use bitternlatch_platform::releases::{Release, Releases, MAX_OPEN_RELEASES};
use bitternlatch_platform::resource_limits::ConnectionLimits;
use bitternlatch_platform::responses::ResponseReader;
use bitternlatch_platform::types::{ConnId, Input};
use bitternlatch_policy::interface::{ReleaseRepeat, ServerId};
use common::*;

fn release_calls(harness: &Harness, id: &str) -> Vec<Call> {
    let line = format!("DELETE /bootstrap/rooms/{id} HTTP/1.1");
    harness
        .calls
        .iter()
        .filter(|c| c.request_line() == line)
        .cloned()
        .collect()
}

#[test]
fn released_state_is_deleted() {
    let mut harness = Harness::new();
    let (_, decode_conn) = harness.start_decode("p1", "book");
    harness.receive_text(
        decode_conn,
        "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
    );
    let calls = release_calls(&harness, "p1");
    assert_eq!(calls.len(), 1, "at once");
    harness.receive_text(calls[0].conn, "HTTP/1.1 204 No Content\r\n\r\n");
    harness.advance(3.0);
    assert_eq!(
        release_calls(&harness, "p1").len(),
        1,
        "a confirmed release was called again"
    );
}

#[test]
fn unanswered_release_is_hedged_until_confirmed() {
    let mut harness = Harness::new();
    let (_, decode_conn) = harness.start_decode("p2", "book");
    harness.receive_text(
        decode_conn,
        "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
    );
    harness.advance(0.2);
    let calls = release_calls(&harness, "p2");
    assert!(calls.len() >= 4, "{}", calls.len());
    let addresses = |calls: &[Call]| {
        calls
            .iter()
            .map(|c| c.to)
            .collect::<std::collections::BTreeSet<_>>()
    };
    assert_eq!(
        addresses(&calls[..4]).len(),
        4,
        "a server was called again before all others were called"
    );
    harness.advance(RELEASE_TIMEOUT_SECS - 2.0);
    assert!(
        release_calls(&harness, "p2").len() > 40,
        "the calls ended before the release was confirmed"
    );
    harness.advance(2.0 + MAX_RELEASE_ROUND_SECS);
    let calls_at_timeout = release_calls(&harness, "p2").len();
    assert!(
        calls_at_timeout <= 4 * 40,
        "{calls_at_timeout}: calls are not made in rounds of all servers at growing intervals"
    );
    harness.advance(100.0);
    assert_eq!(
        release_calls(&harness, "p2").len(),
        calls_at_timeout,
        "calls continue after the timeout"
    );
    let counts = harness.node.counts();
    assert_eq!(
        (
            counts.releases,
            counts.releases_confirmed,
            counts.releases_unconfirmed
        ),
        (1, 0, 1)
    );
    assert!(
        harness
            .logs
            .iter()
            .any(|l| l.starts_with("state of p2 may still be held")),
        "{:?}",
        harness.logs
    );
    assert!(harness
        .logs
        .iter()
        .any(|l| l.starts_with("counts") && l.contains("releases_unconfirmed: 1")));
}

#[test]
fn late_release_is_logged_and_counted() {
    let mut harness = Harness::new();
    let (_, decode_conn) = harness.start_decode("p9", "book");
    harness.receive_text(
        decode_conn,
        "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
    );
    harness.advance(0.4);
    let last = release_calls(&harness, "p9")
        .pop()
        .expect("the release was called");
    harness.receive_text(last.conn, "HTTP/1.1 204 No Content\r\n\r\n");
    let counts = harness.node.counts();
    assert_eq!((counts.releases_confirmed, counts.releases_late), (1, 1));
    assert!(
        harness
            .logs
            .iter()
            .any(|l| l.starts_with("state of p9 released late")),
        "{:?}",
        harness.logs
    );
}

#[test]
fn failed_release_call_is_retried_elsewhere() {
    let mut harness = Harness::new();
    let (_, decode_conn) = harness.start_decode("p3", "book");
    harness.receive_text(
        decode_conn,
        "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
    );
    let first = release_calls(&harness, "p3").remove(0);
    harness.step(Input::Ended { conn: first.conn });
    assert_eq!(release_calls(&harness, "p3").len(), 2);
}

#[test]
fn cancelled_prefill_may_leave_state() {
    let mut harness = Harness::new();
    harness.send_request("p4", "book");
    harness.advance(4.9);
    assert_eq!(release_calls(&harness, "p4").len().min(1), 1);
}

/// Servers that responded before have gone silent. Release calls go first to the servers that responded most recently,
/// and last to those without a connection, regardless of which server is believed to hold the state.
#[test]
fn recently_responding_servers_are_called_first() {
    let mut endpoints = Endpoints::default();
    endpoints.apply(
        START,
        config()
            .cached_list
            .expect("the configuration has a known list"),
    );
    let all: Vec<(ServerId, SocketAddr)> =
        endpoints.iter().map(|(id, t)| (id, t.address)).collect();
    for order in [[0, 1, 2], [2, 1, 0], [1, 3, 0]] {
        let mut pool = ConnectionPool::new(64, 15.0);
        for (seconds, at) in order.into_iter().enumerate() {
            pool.insert(
                ConnId(at as u64),
                idle_connection(all[at], START.after(seconds as f64)),
            );
        }
        let mut releases = Releases::default();
        let unconnected = (0..4)
            .find(|i| !order.contains(i))
            .expect("one server has no connection");
        let now = START.after(5.0);
        let id = releases.start(Release::new(now, now, None, "p7".into())).id;
        let called: Vec<usize> =
            std::iter::from_fn(|| releases.next_call(id, now, &endpoints, &pool))
                .map(|call| {
                    all.iter()
                        .position(|server| server.0 == call.server)
                        .expect("the server is in the list")
                })
                .collect();
        assert_eq!(called, [order[2], order[1], order[0], unconnected]);
    }
}

fn idle_connection((server, to): (ServerId, SocketAddr), since: Micros) -> ServerConnection {
    let (usage, pending_call, response) =
        (ConnectionUse::Idle, Vec::new(), ResponseReader::default());
    ServerConnection {
        address: to,
        server,
        connected: true,
        usage,
        in_use_since: since,
        pending_call,
        unsent_bytes: 0,
        response,
        last_received: Some(since),
    }
}

/// A cancelled prefill may still have completed. Its state is separate from the one that a decode server took, and is
/// released once the response is complete.
#[test]
fn cancelled_prefill_is_released_after_response() {
    let mut harness = Harness::new();
    let client = harness.send_request("p8", "ask");
    let first = harness.last_call(Call::is_prefill);
    harness.step(Input::Ended { conn: first.conn });
    harness.complete_prefill();
    assert_ne!(
        harness.last_call(Call::is_prefill).to,
        first.to,
        "the prefill was not retried on another server"
    );
    let decode_conn = harness.last_call(Call::is_decode).conn;
    harness.receive_text(
        decode_conn,
        &format!("{STREAM_HEAD}{}", chunk(&stream_event("one"))),
    );
    assert!(
        release_calls(&harness, "p8").is_empty(),
        "state was released while an attempt was in flight"
    );
    harness.receive_text(decode_conn, "0\r\n\r\n");
    assert!(harness.client_output(client).ends_with("0\r\n\r\n"));
    assert_eq!(release_calls(&harness, "p8").len(), 1);
}

#[test]
fn taken_state_is_not_deleted() {
    let mut harness = Harness::new();
    let (_, decode_conn) = harness.start_decode("p5", "ask");
    harness.receive_text(
        decode_conn,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
    );
    harness.advance(2.0);
    assert!(release_calls(&harness, "p5").is_empty());
}

/// A release may arrive before another server has noticed the close of the KV transfer that still waits for the state.
/// Such a release is confirmed without having released anything, so it is repeated after the close.
#[test]
fn release_overtaking_close_is_repeated() {
    let mut harness = Harness::new();
    harness.answers_releases = true;
    let client = harness.connect_client();
    harness.receive_text(client, &request("c1", "ask", 600));
    harness.advance(0.02);
    harness.complete_prefill();
    harness.advance(0.6);
    assert_eq!(
        harness.status(client),
        "504",
        "the request did not fail while its KV transfer was in flight"
    );
    assert_eq!(release_calls(&harness, "c1").len(), 1, "at once");
    harness.advance(0.13);
    assert_eq!(
        release_calls(&harness, "c1").len(),
        2,
        "the release was not repeated after the close"
    );
    harness.advance(5.0);
    assert_eq!(
        (
            release_calls(&harness, "c1").len(),
            harness.node.resource_usage().releases
        ),
        (2, 0)
    );
}

/// State that an earlier prefill may have left is released, while a second prefill, whose connection is established
/// late, continues.
#[test]
fn release_keeps_unsent_prefill() {
    let text = config_json(256).replace(r#""connectTimeoutS":0.25"#, r#""connectTimeoutS":3.0"#);
    let mut harness =
        Harness::with_config(Config::parse(&text).expect("the configuration of the test is valid"));
    harness.answers_releases = true;
    let client = harness.connect_client();
    harness.receive_text(client, &request("f1", "ask", 4800));
    harness.advance(0.02);
    let first = harness.last_call(Call::is_prefill);
    harness.unreachable_addresses.extend(
        servers()
            .iter()
            .map(|h| h.1.parse::<SocketAddr>().expect("the address is valid"))
            .filter(|a| *a != first.to),
    );
    harness.step(Input::Ended { conn: first.conn });
    let (second, _) = harness
        .connects
        .last()
        .copied()
        .expect("the second prefill opens a connection");
    harness.advance(0.95);
    assert_eq!(
        release_calls(&harness, "f1").len(),
        1,
        "state of the first prefill was not released"
    );
    assert!(!harness.closed.contains(&second));
    harness.step(Input::Connected { conn: second });
    assert_ne!(
        harness.last_call(Call::is_prefill).to,
        first.to,
        "the prefill was not retried on another server"
    );
}

/// Guards against releases that take the connections of requests: many prefills were given up, and then no server confirms
/// a repeated release.
#[test]
fn repeated_releases_leave_connections_to_requests() {
    const GIVEN_UP: usize = 120;
    let mut harness = Harness::new();
    harness.answers_releases = true;
    for number in 0..GIVEN_UP {
        let client = harness.connect_client();
        harness.receive_text(client, &request(&format!("jam{number}"), "ask", 4800));
        harness.step(Input::Ended { conn: client });
    }
    harness.advance(0.5);
    assert_eq!(harness.node.resource_usage().releases, GIVEN_UP);
    harness.answers_releases = false;
    let before = harness.calls.len();
    let mut most = 0;
    for _ in 0..100 {
        harness.advance(0.01);
        let repeats = harness.calls[before..].iter();
        let in_flight = repeats.filter(|call| !harness.closed.contains(&call.conn));
        most = most.max(in_flight.count());
    }
    let limits = ConnectionLimits::of(&config().limits);
    let reserved = ConnectionPool::reserved(limits.servers);
    assert!((1..=reserved).contains(&most), "{most} of {reserved}");
    let attempts = harness.node.counts().attempts;
    harness.send_request("after", "ask");
    assert_eq!(harness.node.counts().attempts, attempts + 1);
    harness.answers_releases = true;
    harness.advance(6.0);
    assert_eq!(harness.node.resource_usage().releases, 0, "all end");
}

/// With a full table, the release with the least left to release is given up, and one that was never confirmed is kept.
#[test]
fn full_table_gives_up_the_confirmed_release_that_ends_first() {
    let mut releases = Releases::default();
    let mut start = |until_s: usize| {
        let repeat = ReleaseRepeat {
            interval_s: 0.9,
            until: START.seconds() + until_s as f64,
        };
        let release = Release::new(START, START, Some(repeat), until_s.to_string());
        releases.start(release).id
    };
    let ids: Vec<u64> = (0..MAX_OPEN_RELEASES).map(|n| start(7000 - n)).collect();
    let (unconfirmed, confirmed) = (ids[0], &ids[1..]);
    for id in confirmed {
        let confirmation = releases.confirm(*id, START, 1, START);
        assert!(confirmation.is_some_and(|confirmation| !confirmation.is_final));
    }
    let started = releases.start(Release::new(START, START, None, "new".into()));
    assert!(started.dropped.is_some() && releases.is_open(started.id));
    assert!(releases.is_open(unconfirmed));
    assert!(!releases.is_open(confirmed[confirmed.len() - 1]));
}
