//! Client disconnects: no attempt starts for a client that has disconnected, and the KV cache state held for it is
//! released.
mod common;

use std::net::SocketAddr;

use bitternlatch_platform::config::Config;
use bitternlatch_platform::pool::REUSE_DELAY_SECS;
use bitternlatch_platform::types::{ConnId, Input};
use common::*;

/// A node whose settings allow it to cancel attempts, or not.
fn harness(cancel: bool) -> Harness {
    harness_with_connect_timeout(cancel, 0.25)
}

/// A node with the given cancellation setting and connect timeout, in seconds.
fn harness_with_connect_timeout(cancel: bool, connect_timeout_secs: f64) -> Harness {
    let text = config_json(256).replace(r#""cancel":true"#, &format!(r#""cancel":{cancel}"#));
    let text = text.replace(
        r#""connectTimeoutS":0.25"#,
        &format!(r#""connectTimeoutS":{connect_timeout_secs}"#),
    );
    Harness::with_config(Config::parse(&text).expect("the configuration of the test is valid"))
}

fn is_post(call: &Call) -> bool {
    call.request_line().starts_with("POST")
}

fn prefill_servers() -> [SocketAddr; 2] {
    ["127.0.1.1:80", "127.0.1.2:80"].map(|a| a.parse().expect("the address is valid"))
}

fn decode_servers() -> [SocketAddr; 2] {
    ["127.0.1.3:80", "127.0.1.4:80"].map(|a| a.parse().expect("the address is valid"))
}

fn declined() -> String {
    plain_response("503 Service Unavailable", "Srv-Declined: 1\r\n", "")
}

/// Delivers text from a server if the node has not closed the connection.
fn receive_if_open(harness: &mut Harness, conn: ConnId, text: &str) {
    if !harness.closed.contains(&conn) {
        harness.receive_text(conn, text);
    }
}

/// Establishes every pending connection that the node has not closed.
fn establish_all_connections(harness: &mut Harness) {
    let connects = harness.connects.clone();
    for (conn, to) in connects {
        if harness.unreachable_addresses.contains(&to) && !harness.closed.contains(&conn) {
            harness.step(Input::Connected { conn });
        }
    }
    harness.unreachable_addresses.clear();
}

/// Every server that still has a request sends `text` as its response.
fn all_servers_respond(harness: &mut Harness, text: &str) {
    for call in harness.calls.clone().iter().filter(|c| is_post(c)) {
        receive_if_open(harness, call.conn, text);
    }
}

/// Every server that still has a request closes its connection.
fn all_servers_disconnect(harness: &mut Harness) {
    for call in harness.calls.clone().iter().filter(|c| is_post(c)) {
        if !harness.closed.contains(&call.conn) {
            harness.step(Input::Ended { conn: call.conn });
        }
    }
}

/// A state of the request in which its client disconnects.
struct Case {
    name: &'static str,
    /// Brings the request into the state in which its client disconnects. Returns the client connection.
    before: fn(&mut Harness) -> ConnId,
    /// Runs after the client has disconnected.
    after: fn(&mut Harness),
    /// Whether a prefill server may hold KV cache state at that point, with cancellation allowed and without.
    expects_release: [bool; 2],
}

fn waiting_for_health_checks(harness: &mut Harness) -> ConnId {
    harness.answers_health_checks = false;
    let client = harness.connect_client();
    harness.receive_text(client, &request("g", "ask", 4800));
    assert_eq!(
        harness.count_calls(is_post),
        0,
        "the request was sent before the health checks were answered"
    );
    client
}

fn timer_due_at_disconnect(harness: &mut Harness) -> ConnId {
    let client = waiting_for_health_checks(harness);
    // The clock advances past the due timers without running them.
    harness.now = harness.now.after(0.05);
    client
}

fn start_prefill(harness: &mut Harness) -> ConnId {
    harness.send_request("g", "ask")
}

fn start_decode(harness: &mut Harness) -> ConnId {
    harness.start_decode("g", "ask").0
}

/// Both decode servers have declined: the KV cache state stays at its prefill server until a retry is due.
fn between_prefill_and_decode(harness: &mut Harness) -> ConnId {
    let (client, decode_conn) = harness.start_decode("g", "ask");
    harness.receive_text(decode_conn, &declined());
    let other = harness.last_call(Call::is_decode).conn;
    assert_ne!(decode_conn, other);
    harness.receive_text(other, &declined());
    client
}

fn held_with_timer_due(harness: &mut Harness) -> ConnId {
    let client = between_prefill_and_decode(harness);
    harness.now = harness.now.after(0.25);
    client
}

fn connecting_to_prefill_server(harness: &mut Harness) -> ConnId {
    harness.answers_health_checks = false;
    harness.unreachable_addresses.extend(prefill_servers());
    let client = harness.send_request("g", "ask");
    assert!(harness
        .connects
        .iter()
        .any(|c| prefill_servers().contains(&c.1)));
    client
}

fn connecting_to_decode_server(harness: &mut Harness) -> ConnId {
    harness.answers_health_checks = false;
    harness.unreachable_addresses.extend(decode_servers());
    let client = harness.send_request("g", "ask");
    harness.complete_prefill();
    assert_eq!(harness.count_calls(Call::is_decode), 0);
    client
}

fn pipelined(harness: &mut Harness) -> ConnId {
    let client = harness.connect_client();
    harness.receive_text(
        client,
        &format!(
            "{}{}",
            request("g", "ask", 4800),
            request("g2", "ask", 4800)
        ),
    );
    harness.advance(0.02);
    client
}

fn excessively_pipelined(harness: &mut Harness) -> ConnId {
    let client = pipelined(harness);
    for _ in 0..40 {
        harness.receive_text(client, &"x".repeat(30_000));
    }
    client
}

#[test]
fn disconnect_begins_no_attempt_and_releases_state() {
    let no_response: fn(&mut Harness) = |_| {};
    let prefill: fn(&mut Harness) = |harness| {
        all_servers_respond(
            harness,
            &plain_response("202 Accepted", "", r#"{"cached_tokens":64}"#),
        )
    };
    let decline: fn(&mut Harness) = |harness| all_servers_respond(harness, &declined());
    let fail: fn(&mut Harness) =
        |harness| all_servers_respond(harness, &plain_response("500 Oops", "", ""));
    let table = [
        Case {
            name: "health checks in flight",
            before: waiting_for_health_checks,
            after: no_response,
            expects_release: [false; 2],
        },
        Case {
            name: "timer due at the disconnect",
            before: timer_due_at_disconnect,
            after: no_response,
            expects_release: [false; 2],
        },
        Case {
            name: "prefill completes",
            before: start_prefill,
            after: prefill,
            expects_release: [true; 2],
        },
        Case {
            name: "prefill declined",
            before: start_prefill,
            after: decline,
            expects_release: [true, false],
        },
        Case {
            name: "prefill failed",
            before: start_prefill,
            after: fail,
            expects_release: [true, false],
        },
        Case {
            name: "prefill connection lost",
            before: start_prefill,
            after: all_servers_disconnect,
            expects_release: [true; 2],
        },
        Case {
            name: "prefill unanswered",
            before: start_prefill,
            after: no_response,
            expects_release: [true; 2],
        },
        Case {
            name: "state held",
            before: between_prefill_and_decode,
            after: no_response,
            expects_release: [true; 2],
        },
        Case {
            name: "state held, timer due at the disconnect",
            before: held_with_timer_due,
            after: no_response,
            expects_release: [true; 2],
        },
        Case {
            name: "decode declined",
            before: start_decode,
            after: decline,
            expects_release: [true; 2],
        },
        Case {
            name: "decode failed",
            before: start_decode,
            after: fail,
            expects_release: [true; 2],
        },
        Case {
            name: "decode connection lost",
            before: start_decode,
            after: all_servers_disconnect,
            expects_release: [true; 2],
        },
        Case {
            name: "decode unanswered",
            before: start_decode,
            after: no_response,
            expects_release: [true; 2],
        },
        Case {
            name: "prefill server connects",
            before: connecting_to_prefill_server,
            after: establish_all_connections,
            expects_release: [false; 2],
        },
        Case {
            name: "prefill server never connects",
            before: connecting_to_prefill_server,
            after: no_response,
            expects_release: [false; 2],
        },
        Case {
            name: "decode server connects",
            before: connecting_to_decode_server,
            after: establish_all_connections,
            expects_release: [true; 2],
        },
        Case {
            name: "decode server never connects",
            before: connecting_to_decode_server,
            after: no_response,
            expects_release: [true; 2],
        },
        Case {
            name: "a pipelined request",
            before: pipelined,
            after: prefill,
            expects_release: [true; 2],
        },
        Case {
            name: "excess pipelined bytes",
            before: excessively_pipelined,
            after: prefill,
            expects_release: [true; 2],
        },
    ];
    let mut failures = Vec::new();
    for case in &table {
        for cancel in [true, false] {
            let mut harness = harness(cancel);
            let client = (case.before)(&mut harness);
            let posts = harness.count_calls(is_post);
            harness.step(Input::Ended { conn: client });
            (case.after)(&mut harness);
            let at_once = harness.count_calls(is_post) - posts;
            harness.advance(30.0);
            harness.advance(RELEASE_TIMEOUT_SECS + MAX_RELEASE_ROUND_SECS - 30.0);
            let later = harness.count_calls(is_post) - posts - at_once;
            let released = harness
                .count_calls(|c| c.request_line() == "DELETE /bootstrap/rooms/g HTTP/1.1")
                > 0;
            let resource_usage = harness.node.resource_usage();
            let left = (
                resource_usage.requests,
                resource_usage.clients,
                resource_usage.server_connections,
                resource_usage.releases,
            );
            let sent_to_client = harness.client_output(client).to_string();
            let observed = (
                at_once,
                later,
                released,
                left,
                harness.node.counts().disconnected,
                sent_to_client.as_str(),
            );
            if observed
                != (
                    0,
                    0,
                    case.expects_release[usize::from(!cancel)],
                    (0, 0, 0, 0),
                    1,
                    "",
                )
            {
                failures.push(format!("{}, cancel {cancel}: {observed:?}", case.name));
            }
        }
    }
    assert!(
        failures.is_empty(),
        "sent at once, sent later, released, resources in use, disconnected, sent to the client:\n{}",
        failures.join("\n")
    );
}

#[test]
fn no_request_of_many_disconnected_clients_is_sent() {
    for cancel in [true, false] {
        let mut harness = harness(cancel);
        harness.answers_health_checks = false;
        let clients: Vec<ConnId> = (0..20).map(|_| harness.connect_client()).collect();
        for (i, client) in clients.iter().enumerate() {
            harness.receive_text(*client, &request(&format!("m{i}"), "ask", 4800));
        }
        harness.now = harness.now.after(0.05);
        let posts = harness.count_calls(is_post);
        clients
            .iter()
            .for_each(|conn| harness.step(Input::Ended { conn: *conn }));
        harness.advance(10.0);
        assert_eq!(harness.count_calls(is_post), posts);
        assert_eq!(harness.node.resource_usage().requests, 0);
    }
}

/// An attempt counts as started once its last byte is sent. Until then it is withdrawn, whether or not the settings
/// allow cancellation.
#[test]
fn unsent_request_on_idle_connection_is_cancelled() {
    for cancel in [true, false] {
        let mut harness = harness(cancel);
        let (_, decode_conn) = harness.start_decode("first", "ask");
        harness.receive_text(
            decode_conn,
            &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
        );
        harness.blocked_servers.extend(prefill_servers());
        let prefill_connects = |harness: &Harness| {
            harness
                .connects
                .iter()
                .filter(|c| prefill_servers().contains(&c.1))
                .count()
        };
        harness.advance(REUSE_DELAY_SECS);
        let before = prefill_connects(&harness);
        let client = harness.send_request("g", "ask");
        let call = harness.last_call(Call::is_prefill);
        assert!(
            call.text.contains("Req-Id: g\r\n") && prefill_connects(&harness) == before,
            "the request did not reuse an idle connection"
        );
        harness.step(Input::Ended { conn: client });
        assert!(
            harness.closed.contains(&call.conn),
            "cancel {cancel}: the rest of the request may still be sent"
        );
        let posts = harness.count_calls(is_post);
        harness.advance(10.0);
        assert_eq!(harness.count_calls(is_post), posts);
        assert_eq!(
            harness.count_calls(|c| c.request_line().starts_with("DELETE")),
            0,
            "a release was sent for a request that never ran"
        );
    }
}

/// Guards against a request that stands in the system's buffer and reaches its server after its client has left. Whether
/// the class allows cancellation does not matter, but what has arrived by then is left alone.
#[test]
fn written_request_that_is_not_delivered_is_aborted_when_its_client_leaves() {
    for (cancel, delivered) in [(true, false), (false, false), (false, true)] {
        let mut harness = harness(cancel);
        let client = harness.send_request("u", "ask");
        let call = harness.last_call(Call::is_prefill);
        if !delivered {
            harness.undelivered.insert(call.conn);
        }
        harness.step(Input::Ended { conn: client });
        let case = format!("cancel {cancel}, delivered {delivered}");
        assert_eq!(harness.closed.contains(&call.conn), !delivered, "{case}");
        assert_eq!(
            harness.node.counts().attempts_undelivered,
            u64::from(!delivered && !cancel),
            "{case}"
        );
        harness.advance(10.0);
        assert_eq!(harness.count_calls(is_post), 1, "{case}");
        assert!(
            harness.count_calls(|c| c.request_line().starts_with("DELETE")) > 0,
            "{case}: what it may have left is not released"
        );
    }
}

/// A request that the decision module has already answered is not written when its connection is established.
#[test]
fn answered_request_is_not_written_after_connect() {
    for cancel in [true, false] {
        let mut harness = harness_with_connect_timeout(cancel, 5.0);
        harness.answers_health_checks = false;
        harness.unreachable_addresses.extend(prefill_servers());
        let client = harness.connect_client();
        harness.receive_text(client, &request("g", "ask", 1500));
        harness.advance(1.497);
        assert_eq!(harness.status(client), "504");
        establish_all_connections(&mut harness);
        harness.advance(10.0);
        assert_eq!(harness.count_calls(is_post), 0, "cancel {cancel}");
        assert_eq!(harness.node.resource_usage().requests, 0);
    }
}

/// When all server connections are in use, a release uses one that is reserved for releases, and further release calls
/// wait for a free connection.
#[test]
fn state_is_released_though_no_connection_was_free() {
    let text = config_json(64).replace(r#""cancel":true"#, r#""cancel":false"#);
    let mut harness =
        Harness::with_config(Config::parse(&text).expect("the configuration of the test is valid"));
    let client = between_prefill_and_decode(&mut harness);
    let release_calls = |harness: &Harness| {
        harness.count_calls(|c| c.request_line() == "DELETE /bootstrap/rooms/g HTTP/1.1")
    };
    // Other requests occupy prefill servers that do not answer, until no connection is left.
    let others: Vec<ConnId> = (0..12).map(|_| harness.connect_client()).collect();
    for (i, other) in others.iter().enumerate() {
        harness.receive_text(*other, &request(&format!("o{i}"), "ask", 4800));
    }
    harness.answers_health_checks = false;
    harness.now = harness.now.after(0.016);
    harness.step(Input::Tick);
    assert_eq!(
        harness.node.resource_usage().server_connections,
        10,
        "not all connections for attempts are in use"
    );
    harness.step(Input::Ended { conn: client });
    assert_eq!(
        release_calls(&harness),
        1,
        "the release did not use the reserved connection"
    );
    harness.advance(0.06);
    assert_eq!(
        (
            release_calls(&harness),
            harness.node.resource_usage().server_connections
        ),
        (1, 11),
        "a second release call found a connection"
    );
    // A connection becomes free whose client has disconnected, so that no retry uses it.
    let prefill = harness.last_call(Call::is_prefill);
    let is_request_of_call = |i: &usize| prefill.text.contains(&format!("Req-Id: o{i}\r\n"));
    let other = (0..others.len())
        .find(is_request_of_call)
        .expect("the call belongs to one of the requests");
    harness.step(Input::Ended {
        conn: others[other],
    });
    harness.receive_text(prefill.conn, &plain_response("500 Oops", "", ""));
    assert_eq!(
        release_calls(&harness),
        2,
        "no second release call when a connection became free"
    );
    harness.advance(RELEASE_TIMEOUT_SECS + MAX_RELEASE_ROUND_SECS);
    let resource_usage = harness.node.resource_usage();
    assert_eq!(
        (
            resource_usage.requests,
            resource_usage.server_connections,
            resource_usage.releases
        ),
        (0, 0, 0),
        "{resource_usage:?}"
    );
}

/// Pipelined bytes beyond the limit are read and dropped, so that the end of the connection behind them is noticed.
/// Requests before the dropped bytes are served, and later ones are not read.
#[test]
fn pipelined_bytes_past_bound_end_connection() {
    let mut harness = Harness::new();
    let client = pipelined(&mut harness);
    for _ in 0..100 {
        harness.receive_text(client, &"x".repeat(30_000));
    }
    assert!(
        !harness.paused.contains(&client),
        "reading is paused, so the end of the connection goes unnoticed"
    );
    for id in ["g", "g2"] {
        assert!(harness
            .last_call(Call::is_prefill)
            .text
            .contains(&format!("Req-Id: {id}\r\n")));
        harness.complete_prefill();
        let decode_conn = harness.last_call(Call::is_decode).conn;
        harness.receive_text(
            decode_conn,
            &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
        );
        harness.advance(0.02);
    }
    assert_eq!(harness.node.counts().served, 2);
    assert!(
        harness.client_output(client).contains("HTTP/1.1 413"),
        "the dropped bytes were not rejected"
    );
    assert!(harness.finished.contains(&client));
    assert_eq!(harness.count_calls(is_post), 4);
}

#[test]
fn endless_pipelining_is_paused() {
    let mut harness = Harness::new();
    let client = pipelined(&mut harness);
    let excess = vec![b'x'; 4 << 20];
    for _ in 0..21 {
        assert!(!harness.paused.contains(&client));
        harness.receive(client, &excess);
    }
    assert!(harness.paused.contains(&client));
    harness.step(Input::Ended { conn: client });
    assert_eq!(
        harness.node.counts().disconnected,
        1,
        "a disconnect while reading is paused was not counted"
    );
}

/// A timer that is due at the moment when a request is reported as completely sent must not treat it as unsent.
#[test]
fn sent_request_may_have_run_after_timeout() {
    for cancel in [true, false] {
        let mut harness = harness(cancel);
        harness.blocked_servers.extend(prefill_servers());
        harness.send_request("g", "ask");
        let prefill = harness.last_call(Call::is_prefill);
        harness.now = harness.now.after(4.9);
        harness.step(Input::Wrote {
            conn: prefill.conn,
            count: prefill.text.len(),
        });
        harness.step(Input::Tick);
        let release_calls =
            harness.count_calls(|c| c.request_line() == "DELETE /bootstrap/rooms/g HTTP/1.1");
        assert_eq!(
            release_calls, 1,
            "cancel {cancel}: no release, although the prefill server may hold state"
        );
    }
}

/// A client disconnects in the same iteration in which the first event of its stream arrives, in either order: no
/// further attempt starts, the server connection is closed, and no request stays open.
#[test]
fn close_crossing_first_event_ends_stream() {
    for close_first in [true, false] {
        let mut harness = harness(true);
        let (client, decode_conn) = harness.start_decode("crossed", "book");
        let first = format!("{STREAM_HEAD}{}", chunk(&stream_event("one")));
        if close_first {
            harness.step(Input::Ended { conn: client });
            receive_if_open(&mut harness, decode_conn, &first);
        } else {
            harness.receive_text(decode_conn, &first);
            harness.step(Input::Ended { conn: client });
        }
        let posts = harness.count_calls(is_post);
        harness.advance(2.0);
        assert!(
            harness.closed.contains(&decode_conn),
            "close first {close_first}: the server connection stays open"
        );
        assert_eq!(harness.count_calls(is_post), posts);
        assert_eq!(harness.node.resource_usage().requests, 0);
    }
}
