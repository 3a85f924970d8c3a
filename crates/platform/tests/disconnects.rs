//! A client that closed or cancelled has gone: no attempt begins for it any more, and what is held for it is let go of.
mod common;

use std::net::SocketAddr;

use bitternlatch_platform::config::Config;
use bitternlatch_platform::pool::REUSE_DELAY_SECS;
use bitternlatch_platform::types::{ConnId, Input};
use common::*;

/// A node whose settings let it cancel attempts, or not.
fn rig(cancel: bool) -> Rig {
    rig_with_connect_timeout(cancel, 0.25)
}

/// The same, with a time for connections to come up, seconds.
fn rig_with_connect_timeout(cancel: bool, connect_s: f64) -> Rig {
    let text = config_json(256).replace(r#""cancel":true"#, &format!(r#""cancel":{cancel}"#));
    let text = text.replace(
        r#""connectTimeoutS":0.25"#,
        &format!(r#""connectTimeoutS":{connect_s}"#),
    );
    Rig::with(Config::parse(&text).expect("the test's configuration"))
}

fn is_post(call: &Call) -> bool {
    call.line().starts_with("POST")
}

fn prefill_servers() -> [SocketAddr; 2] {
    ["127.0.1.1:80", "127.0.1.2:80"].map(|a| a.parse().expect("an address"))
}

fn decode_servers() -> [SocketAddr; 2] {
    ["127.0.1.3:80", "127.0.1.4:80"].map(|a| a.parse().expect("an address"))
}

fn declined() -> String {
    plain("503 Service Unavailable", "Srv-Declined: 1\r\n", "")
}

/// A host says something on a connection that the node has not closed.
fn says(rig: &mut Rig, conn: ConnId, text: &str) {
    if !rig.closed.contains(&conn) {
        rig.text(conn, text);
    }
}

/// Every connection that waits to come up does, if it is still wanted.
fn all_come_up(rig: &mut Rig) {
    let dialled = rig.connects.clone();
    for (conn, to) in dialled {
        if rig.dead.contains(&to) && !rig.closed.contains(&conn) {
            rig.tell(Input::Connected { conn });
        }
    }
    rig.dead.clear();
}

/// Every host that still has a request does something with it.
fn all_respond(rig: &mut Rig, text: &str) {
    for call in rig.calls.clone().iter().filter(|c| is_post(c)) {
        says(rig, call.conn, text);
    }
}

fn all_end(rig: &mut Rig) {
    for call in rig.calls.clone().iter().filter(|c| is_post(c)) {
        if !rig.closed.contains(&call.conn) {
            rig.tell(Input::Ended { conn: call.conn });
        }
    }
}

struct Case {
    name: &'static str,
    /// Brings the node to where the client goes; gives the client.
    before: fn(&mut Rig) -> ConnId,
    /// What happens once it has gone.
    after: fn(&mut Rig),
    /// Whether a reader may hold a state then, with leave to cancel and without.
    held: [bool; 2],
}

fn waiting_for_health_checks(rig: &mut Rig) -> ConnId {
    rig.answers_health_checks = false;
    let client = rig.client();
    rig.text(client, &request("g", "ask", 4800));
    assert_eq!(rig.count(is_post), 0, "it waits for a place");
    client
}

fn due_with_its_end(rig: &mut Rig) -> ConnId {
    let client = waiting_for_health_checks(rig);
    // Nobody has looked at the clock meanwhile.
    rig.now = rig.now.after(0.05);
    client
}

fn at_prefill(rig: &mut Rig) -> ConnId {
    rig.ask("g", "ask")
}

fn at_decode(rig: &mut Rig) -> ConnId {
    rig.at_decode("g", "ask").0
}

/// Both writers have declined: the state waits at its reader until one can be asked again.
fn between_prefill_and_decode(rig: &mut Rig) -> ConnId {
    let (client, writer) = rig.at_decode("g", "ask");
    rig.text(writer, &declined());
    let other = rig.last(Call::is_decode).conn;
    assert_ne!(writer, other);
    rig.text(other, &declined());
    client
}

fn held_and_due(rig: &mut Rig) -> ConnId {
    let client = between_prefill_and_decode(rig);
    rig.now = rig.now.after(0.25);
    client
}

fn prefill_server_comes_up(rig: &mut Rig) -> ConnId {
    rig.answers_health_checks = false;
    rig.dead.extend(prefill_servers());
    let client = rig.ask("g", "ask");
    assert!(rig
        .connects
        .iter()
        .any(|c| prefill_servers().contains(&c.1)));
    client
}

fn decode_server_comes_up(rig: &mut Rig) -> ConnId {
    rig.answers_health_checks = false;
    rig.dead.extend(decode_servers());
    let client = rig.ask("g", "ask");
    rig.prefill_done();
    assert_eq!(rig.count(Call::is_decode), 0);
    client
}

fn sent_ahead(rig: &mut Rig) -> ConnId {
    let client = rig.client();
    rig.text(
        client,
        &format!(
            "{}{}",
            request("g", "ask", 4800),
            request("g2", "ask", 4800)
        ),
    );
    rig.pass(0.02);
    client
}

fn much_pipelined(rig: &mut Rig) -> ConnId {
    let client = sent_ahead(rig);
    for _ in 0..40 {
        rig.text(client, &"x".repeat(30_000));
    }
    client
}

#[test]
fn disconnect_begins_no_attempt_and_releases_state() {
    let nothing: fn(&mut Rig) = |_| {};
    let read: fn(&mut Rig) =
        |rig| all_respond(rig, &plain("202 Accepted", "", r#"{"cached_tokens":64}"#));
    let decline: fn(&mut Rig) = |rig| all_respond(rig, &declined());
    let fail: fn(&mut Rig) = |rig| all_respond(rig, &plain("500 Oops", "", ""));
    let table = [
        Case {
            name: "probes out",
            before: waiting_for_health_checks,
            after: nothing,
            held: [false; 2],
        },
        Case {
            name: "its time due with its end",
            before: due_with_its_end,
            after: nothing,
            held: [false; 2],
        },
        Case {
            name: "at a reader that reads",
            before: at_prefill,
            after: read,
            held: [true; 2],
        },
        Case {
            name: "at a reader that declines",
            before: at_prefill,
            after: decline,
            held: [true, false],
        },
        Case {
            name: "at a reader that fails",
            before: at_prefill,
            after: fail,
            held: [true, false],
        },
        Case {
            name: "at a reader that breaks",
            before: at_prefill,
            after: all_end,
            held: [true; 2],
        },
        Case {
            name: "at a silent reader",
            before: at_prefill,
            after: nothing,
            held: [true; 2],
        },
        Case {
            name: "held",
            before: between_prefill_and_decode,
            after: nothing,
            held: [true; 2],
        },
        Case {
            name: "held, its time due with its end",
            before: held_and_due,
            after: nothing,
            held: [true; 2],
        },
        Case {
            name: "at a writer that declines",
            before: at_decode,
            after: decline,
            held: [true; 2],
        },
        Case {
            name: "at a writer that fails",
            before: at_decode,
            after: fail,
            held: [true; 2],
        },
        Case {
            name: "at a writer that breaks",
            before: at_decode,
            after: all_end,
            held: [true; 2],
        },
        Case {
            name: "at a silent writer",
            before: at_decode,
            after: nothing,
            held: [true; 2],
        },
        Case {
            name: "a reader comes up",
            before: prefill_server_comes_up,
            after: all_come_up,
            held: [false; 2],
        },
        Case {
            name: "a reader never comes up",
            before: prefill_server_comes_up,
            after: nothing,
            held: [false; 2],
        },
        Case {
            name: "a writer comes up",
            before: decode_server_comes_up,
            after: all_come_up,
            held: [true; 2],
        },
        Case {
            name: "a writer never comes up",
            before: decode_server_comes_up,
            after: nothing,
            held: [true; 2],
        },
        Case {
            name: "more sent ahead",
            before: sent_ahead,
            after: read,
            held: [true; 2],
        },
        Case {
            name: "much sent ahead",
            before: much_pipelined,
            after: read,
            held: [true; 2],
        },
    ];
    let mut faults = Vec::new();
    for case in &table {
        for cancel in [true, false] {
            let mut rig = rig(cancel);
            let client = (case.before)(&mut rig);
            let posts = rig.count(is_post);
            rig.tell(Input::Ended { conn: client });
            (case.after)(&mut rig);
            let at_once = rig.count(is_post) - posts;
            rig.pass(30.0);
            rig.pass(RELEASE_GIVEN_UP_SECS + LONGEST_ROUND_SECS - 30.0);
            let later = rig.count(is_post) - posts - at_once;
            let released = rig.count(|c| c.line() == "DELETE /bootstrap/rooms/g HTTP/1.1") > 0;
            let resource_usage = rig.node.resource_usage();
            let left = (
                resource_usage.requests,
                resource_usage.clients,
                resource_usage.server_connections,
                resource_usage.releases,
            );
            let told = rig.said(client).to_string();
            let got = (
                at_once,
                later,
                released,
                left,
                rig.node.counts().disconnected,
                told.as_str(),
            );
            if got != (0, 0, case.held[usize::from(!cancel)], (0, 0, 0, 0), 1, "") {
                faults.push(format!("{}, cancel {cancel}: {got:?}", case.name));
            }
        }
    }
    assert!(
        faults.is_empty(),
        "sent at once, later, released, left, gone, told:\n{}",
        faults.join("\n")
    );
}

#[test]
fn no_request_of_many_disconnected_clients_is_sent() {
    for cancel in [true, false] {
        let mut rig = rig(cancel);
        rig.answers_health_checks = false;
        let clients: Vec<ConnId> = (0..20).map(|_| rig.client()).collect();
        for (i, client) in clients.iter().enumerate() {
            rig.text(*client, &request(&format!("m{i}"), "ask", 4800));
        }
        rig.now = rig.now.after(0.05);
        let posts = rig.count(is_post);
        clients
            .iter()
            .for_each(|conn| rig.tell(Input::Ended { conn: *conn }));
        rig.pass(10.0);
        assert_eq!(rig.count(is_post), posts);
        assert_eq!(rig.node.resource_usage().requests, 0);
    }
}

/// An attempt begins with its last byte. Until then it is taken back, whether or not the settings allow to cancel.
#[test]
fn unsent_request_on_idle_connection_is_cancelled() {
    for cancel in [true, false] {
        let mut rig = rig(cancel);
        let (_, writer) = rig.at_decode("first", "ask");
        rig.text(
            writer,
            &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&event("one"))),
        );
        rig.stuck.extend(prefill_servers());
        let dials = |rig: &Rig| {
            rig.connects
                .iter()
                .filter(|c| prefill_servers().contains(&c.1))
                .count()
        };
        rig.pass(REUSE_DELAY_SECS);
        let before = dials(&rig);
        let client = rig.ask("g", "ask");
        let call = rig.last(Call::is_prefill);
        assert!(
            call.text.contains("Req-Id: g\r\n") && dials(&rig) == before,
            "on a kept connection"
        );
        rig.tell(Input::Ended { conn: client });
        assert!(
            rig.closed.contains(&call.conn),
            "cancel {cancel}: what is left of it stays unsent"
        );
        let posts = rig.count(is_post);
        rig.pass(10.0);
        assert_eq!(rig.count(is_post), posts);
        assert_eq!(
            rig.count(|c| c.line().starts_with("DELETE")),
            0,
            "it never ran"
        );
    }
}

/// The same where the module has answered while a connection comes up: nobody waits for what would come of it.
#[test]
fn answered_request_is_not_written_after_connect() {
    for cancel in [true, false] {
        let mut rig = rig_with_connect_timeout(cancel, 5.0);
        rig.answers_health_checks = false;
        rig.dead.extend(prefill_servers());
        let client = rig.client();
        rig.text(client, &request("g", "ask", 1500));
        rig.pass(1.497);
        assert_eq!(rig.status(client), "504");
        all_come_up(&mut rig);
        rig.pass(10.0);
        assert_eq!(rig.count(is_post), 0, "cancel {cancel}");
        assert_eq!(rig.node.resource_usage().requests, 0);
    }
}

/// Where all connections to hosts are in use, a release has one of its own, and further calls wait for one.
#[test]
fn state_is_released_though_no_connection_was_free() {
    let text = config_json(64).replace(r#""cancel":true"#, r#""cancel":false"#);
    let mut rig = Rig::with(Config::parse(&text).expect("the test's configuration"));
    let client = between_prefill_and_decode(&mut rig);
    let deletes = |rig: &Rig| rig.count(|c| c.line() == "DELETE /bootstrap/rooms/g HTTP/1.1");
    // Others are read at silent readers, until no connection is left.
    let others: Vec<ConnId> = (0..12).map(|_| rig.client()).collect();
    for (i, other) in others.iter().enumerate() {
        rig.text(*other, &request(&format!("o{i}"), "ask", 4800));
    }
    rig.answers_health_checks = false;
    rig.now = rig.now.after(0.016);
    rig.tell(Input::Tick);
    assert_eq!(
        rig.node.resource_usage().server_connections,
        10,
        "all that attempts may use"
    );
    rig.tell(Input::Ended { conn: client });
    assert_eq!(deletes(&rig), 1, "on the one that is kept free for it");
    rig.pass(0.06);
    assert_eq!(
        (deletes(&rig), rig.node.resource_usage().server_connections),
        (1, 11),
        "there is no way out for a second call"
    );
    // A connection comes free whose own client has gone, so that no attempt takes its place.
    let read = rig.last(Call::is_prefill);
    let asks = |i: &usize| read.text.contains(&format!("Req-Id: o{i}\r\n"));
    let other = (0..others.len()).find(asks).expect("one of the others");
    rig.tell(Input::Ended {
        conn: others[other],
    });
    rig.text(read.conn, &plain("500 Oops", "", ""));
    assert_eq!(deletes(&rig), 2, "at once");
    rig.pass(RELEASE_GIVEN_UP_SECS + LONGEST_ROUND_SECS);
    let resource_usage = rig.node.resource_usage();
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

/// What comes past the bound is read, as the client's end stands behind it, and dropped; a request behind the gap
/// cannot be read, and one before it is served.
#[test]
fn pipelined_bytes_past_bound_end_connection() {
    let mut rig = Rig::new();
    let client = sent_ahead(&mut rig);
    for _ in 0..100 {
        rig.text(client, &"x".repeat(30_000));
    }
    assert!(!rig.paused.contains(&client), "its end is still heard");
    for id in ["g", "g2"] {
        assert!(rig
            .last(Call::is_prefill)
            .text
            .contains(&format!("Req-Id: {id}\r\n")));
        rig.prefill_done();
        let writer = rig.last(Call::is_decode).conn;
        rig.text(
            writer,
            &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&event("one"))),
        );
        rig.pass(0.02);
    }
    assert_eq!(rig.node.counts().served, 2);
    assert!(
        rig.said(client).contains("HTTP/1.1 413"),
        "what follows is told to be too much"
    );
    assert!(rig.finished.contains(&client));
    assert_eq!(rig.count(is_post), 4);
}

#[test]
fn endless_pipelining_is_paused() {
    let mut rig = Rig::new();
    let client = sent_ahead(&mut rig);
    let much = vec![b'x'; 4 << 20];
    for _ in 0..21 {
        assert!(!rig.paused.contains(&client));
        rig.bytes(client, &much);
    }
    assert!(rig.paused.contains(&client));
    rig.tell(Input::Ended { conn: client });
    assert_eq!(
        rig.node.counts().disconnected,
        1,
        "an end that is known all the same counts"
    );
}

/// A timer that is due when it is told that a request has left whole must not take it for unsent.
#[test]
fn sent_request_may_have_run_after_timeout() {
    for cancel in [true, false] {
        let mut rig = rig(cancel);
        rig.stuck.extend(prefill_servers());
        rig.ask("g", "ask");
        let read = rig.last(Call::is_prefill);
        rig.now = rig.now.after(4.9);
        rig.tell(Input::Wrote {
            conn: read.conn,
            count: read.text.len(),
        });
        rig.tell(Input::Tick);
        let deletes = rig.count(|c| c.line() == "DELETE /bootstrap/rooms/g HTTP/1.1");
        assert_eq!(deletes, 1, "cancel {cancel}: the reader may hold its state");
    }
}

/// A client's close and the first event of its stream in one turn, in either order: nothing further begins, its host's
/// connection ends, and nothing stays in hand.
#[test]
fn close_crossing_first_event_ends_stream() {
    for close_first in [true, false] {
        let mut rig = rig(true);
        let (client, writer) = rig.at_decode("crossed", "book");
        let first = format!("{STREAM_HEAD}{}", chunk(&event("one")));
        if close_first {
            rig.tell(Input::Ended { conn: client });
            says(&mut rig, writer, &first);
        } else {
            rig.text(writer, &first);
            rig.tell(Input::Ended { conn: client });
        }
        let posts = rig.count(is_post);
        rig.pass(2.0);
        assert!(
            rig.closed.contains(&writer),
            "close first {close_first}: nobody reads it"
        );
        assert_eq!(rig.count(is_post), posts);
        assert_eq!(rig.node.resource_usage().requests, 0);
    }
}
