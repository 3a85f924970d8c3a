//! Nothing is left pinned: what a reader may hold is let go of, until that has certainly arrived.
mod common;

use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_platform::config::Config;
use bitternlatch_platform::discovery::Endpoints;
use bitternlatch_platform::pool::{ConnectionPool, ConnectionUse, ServerConnection};
use bitternlatch_platform::releases::Releases;
use bitternlatch_platform::responses::ResponseReader;
use bitternlatch_platform::types::{ConnId, Input};
use bitternlatch_policy::interface::ServerId;
use common::*;

fn deletes(rig: &Rig, id: &str) -> Vec<Call> {
    let line = format!("DELETE /bootstrap/rooms/{id} HTTP/1.1");
    rig.calls
        .iter()
        .filter(|c| c.line() == line)
        .cloned()
        .collect()
}

#[test]
fn released_state_is_deleted() {
    let mut rig = Rig::new();
    let (_, writer) = rig.at_decode("p1", "book");
    rig.text(writer, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n");
    let calls = deletes(&rig, "p1");
    assert_eq!(calls.len(), 1, "at once");
    rig.text(calls[0].conn, "HTTP/1.1 204 No Content\r\n\r\n");
    rig.pass(3.0);
    assert_eq!(
        deletes(&rig, "p1").len(),
        1,
        "once it has arrived it is not said again"
    );
}

#[test]
fn unanswered_release_is_hedged_until_confirmed() {
    let mut rig = Rig::new();
    let (_, writer) = rig.at_decode("p2", "book");
    rig.text(writer, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n");
    rig.pass(0.2);
    let calls = deletes(&rig, "p2");
    assert!(calls.len() >= 4, "{}", calls.len());
    let places = |calls: &[Call]| {
        calls
            .iter()
            .map(|c| c.to)
            .collect::<std::collections::BTreeSet<_>>()
    };
    assert_eq!(
        places(&calls[..4]).len(),
        4,
        "each to another host, until all have been called"
    );
    rig.pass(RELEASE_GIVEN_UP_SECS - 2.0);
    assert!(
        deletes(&rig, "p2").len() > 40,
        "for as long as nobody has confirmed it"
    );
    rig.pass(2.0 + LONGEST_ROUND_SECS);
    let given_up = deletes(&rig, "p2").len();
    assert!(
        given_up <= 4 * 40,
        "{given_up}: in rounds of all hosts, further and further apart"
    );
    rig.pass(100.0);
    assert_eq!(deletes(&rig, "p2").len(), given_up, "not for ever");
    let counts = rig.node.counts();
    assert_eq!(
        (
            counts.releases,
            counts.releases_confirmed,
            counts.releases_unconfirmed
        ),
        (1, 0, 1)
    );
    assert!(
        rig.logs
            .iter()
            .any(|l| l.starts_with("state of p2 may still be held")),
        "{:?}",
        rig.logs
    );
    assert!(rig
        .logs
        .iter()
        .any(|l| l.starts_with("counts") && l.contains("releases_unconfirmed: 1")));
}

#[test]
fn late_release_is_logged_and_counted() {
    let mut rig = Rig::new();
    let (_, writer) = rig.at_decode("p9", "book");
    rig.text(writer, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n");
    rig.pass(0.4);
    let last = deletes(&rig, "p9").pop().expect("called again");
    rig.text(last.conn, "HTTP/1.1 204 No Content\r\n\r\n");
    let counts = rig.node.counts();
    assert_eq!((counts.releases_confirmed, counts.releases_late), (1, 1));
    assert!(
        rig.logs
            .iter()
            .any(|l| l.starts_with("state of p9 released late")),
        "{:?}",
        rig.logs
    );
}

#[test]
fn failed_release_call_is_retried_elsewhere() {
    let mut rig = Rig::new();
    let (_, writer) = rig.at_decode("p3", "book");
    rig.text(writer, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n");
    let first = deletes(&rig, "p3").remove(0);
    rig.tell(Input::Ended { conn: first.conn });
    assert_eq!(deletes(&rig, "p3").len(), 2);
}

#[test]
fn cancelled_prefill_may_leave_state() {
    let mut rig = Rig::new();
    rig.ask("p4", "book");
    rig.pass(4.9);
    assert_eq!(deletes(&rig, "p4").len().min(1), 1);
}

/// Hosts have fallen silent that were heard of before, while time runs on: those that have answered last are called
/// first, and those without a connection last, wherever the state is believed to be.
#[test]
fn recently_responding_servers_are_called_first() {
    let mut fleet = Endpoints::default();
    fleet.apply(START, config().cached_list.expect("the test's list"));
    let all: Vec<(ServerId, SocketAddr)> = fleet.iter().map(|(id, t)| (id, t.address)).collect();
    for order in [[0, 1, 2], [2, 1, 0], [1, 3, 0]] {
        let mut pool = ConnectionPool::new(64, 15.0);
        for (seconds, at) in order.into_iter().enumerate() {
            pool.insert(
                ConnId(at as u64),
                idle_link(all[at], START.after(seconds as f64)),
            );
        }
        let mut releases = Releases::default();
        let without = (0..4)
            .find(|i| !order.contains(i))
            .expect("one has no connection");
        let now = START.after(5.0);
        let id = releases.start(now, now, "p7".into()).id;
        let called: Vec<usize> = std::iter::from_fn(|| releases.next_call(id, now, &fleet, &pool))
            .map(|call| {
                all.iter()
                    .position(|host| host.0 == call.server)
                    .expect("a host of the list")
            })
            .collect();
        assert_eq!(called, [order[2], order[1], order[0], without]);
    }
}

fn idle_link((server, to): (ServerId, SocketAddr), since: Micros) -> ServerConnection {
    let (usage, waiting, response) = (ConnectionUse::Idle, Vec::new(), ResponseReader::default());
    ServerConnection {
        address: to,
        server,
        connected: true,
        usage,
        in_use_since: since,
        pending_call: waiting,
        unsent_bytes: 0,
        response,
        last_received: Some(since),
    }
}

/// The read that was given up may have ended well all the same: its state is another than the one that a writer took.
#[test]
fn cancelled_prefill_is_released_after_response() {
    let mut rig = Rig::new();
    let client = rig.ask("p8", "ask");
    let first = rig.last(Call::is_prefill);
    rig.tell(Input::Ended { conn: first.conn });
    rig.prefill_done();
    assert_ne!(rig.last(Call::is_prefill).to, first.to, "read elsewhere");
    let writer = rig.last(Call::is_decode).conn;
    rig.text(writer, &format!("{STREAM_HEAD}{}", chunk(&event("one"))));
    assert!(
        deletes(&rig, "p8").is_empty(),
        "not while an attempt is out"
    );
    rig.text(writer, "0\r\n\r\n");
    assert!(rig.said(client).ends_with("0\r\n\r\n"));
    assert_eq!(deletes(&rig, "p8").len(), 1);
}

#[test]
fn taken_state_is_not_deleted() {
    let mut rig = Rig::new();
    let (_, writer) = rig.at_decode("p5", "ask");
    rig.text(
        writer,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&event("one"))),
    );
    rig.pass(2.0);
    assert!(deletes(&rig, "p5").is_empty());
}

/// A release may reach one host before the close of the hand-over has reached another, which still waits for the state:
/// it is confirmed, and has let go of nothing.
#[test]
fn release_overtaking_close_is_repeated() {
    let mut rig = Rig::new();
    rig.answers_releases = true;
    let client = rig.client();
    rig.text(client, &request("c1", "ask", 600));
    rig.pass(0.02);
    rig.prefill_done();
    rig.pass(0.6);
    assert_eq!(
        rig.status(client),
        "504",
        "its time is over while the hand-over is out"
    );
    assert_eq!(deletes(&rig, "c1").len(), 1, "at once");
    rig.pass(0.13);
    assert_eq!(
        deletes(&rig, "c1").len(),
        2,
        "and once the close has certainly arrived"
    );
    rig.pass(5.0);
    assert_eq!(
        (
            deletes(&rig, "c1").len(),
            rig.node.resource_usage().releases
        ),
        (2, 0)
    );
}

/// What an earlier prefill may have left is released; the further prefill, whose connection comes up late, goes on.
#[test]
fn release_keeps_unsent_prefill() {
    let text = config_json(256).replace(r#""connectTimeoutS":0.25"#, r#""connectTimeoutS":3.0"#);
    let mut rig = Rig::with(Config::parse(&text).expect("the test's configuration"));
    rig.answers_releases = true;
    let client = rig.client();
    rig.text(client, &request("f1", "ask", 4800));
    rig.pass(0.02);
    let first = rig.last(Call::is_prefill);
    rig.dead.extend(
        hosts()
            .iter()
            .map(|h| h.1.parse::<SocketAddr>().expect("an address"))
            .filter(|a| *a != first.to),
    );
    rig.tell(Input::Ended { conn: first.conn });
    let (second, _) = rig
        .connects
        .last()
        .copied()
        .expect("the further prefill's connection");
    rig.pass(0.95);
    assert_eq!(deletes(&rig, "f1").len(), 1, "what the first may have left");
    assert!(!rig.closed.contains(&second));
    rig.tell(Input::Connected { conn: second });
    assert_ne!(rig.last(Call::is_prefill).to, first.to, "read elsewhere");
}
