//! Checks that a KV cache state is released that appears late, at a server that goes on with an attempt after the dispatcher
//! gave it up. Until the time that the server was told, a state may appear at any moment, so DELETEs must follow one
//! another within the limit up to then.
mod common;
#[path = "common/bench.rs"]
mod harness;
#[path = "common/gated.rs"]
mod scripted_servers;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::*;
use harness::*;
use scripted_servers::*;

const DEADLINE: (&str, &str) = ("Req-Deadline-Ms: 20000", "Req-Deadline-Ms: 4000");

/// How the attempts that leave a state late come to be given up.
#[derive(Clone, Copy, Debug, PartialEq)]
enum GivenUp {
    /// The server is silent for too long.
    Silent,
    /// The server closes the connection.
    Closed,
}

/// How the request ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Served,
    /// The dispatcher fails the request after the attempts that were given up.
    Failed,
    /// The client disconnects while the last of these attempts is in flight.
    Disconnected,
    /// A decode attempt is given up as well, with the client's deadline.
    DecodeGivenUp,
}

struct Case {
    name: &'static str,
    limit_ms: u64,
    changes: &'static [(&'static str, &'static str)],
    /// Prefill attempts that are given up, each at another server.
    prefills: usize,
    given_up: GivenUp,
    end: End,
}

const SERVED: Case = Case {
    name: "served",
    limit_ms: 1000,
    changes: &[],
    prefills: 1,
    given_up: GivenUp::Silent,
    end: End::Served,
};

const CASES: [Case; 8] = [
    SERVED,
    Case {
        name: "short-limit",
        limit_ms: 300,
        changes: &[LIMIT_OF_300_MS],
        ..SERVED
    },
    Case {
        name: "two-prefills",
        prefills: 2,
        ..SERVED
    },
    Case {
        name: "closed",
        given_up: GivenUp::Closed,
        ..SERVED
    },
    Case {
        name: "no-cancel",
        changes: &[NO_CANCEL],
        ..SERVED
    },
    Case {
        name: "disconnected",
        end: End::Disconnected,
        ..SERVED
    },
    Case {
        name: "failed",
        changes: &[UNSAFE],
        given_up: GivenUp::Closed,
        end: End::Failed,
        ..SERVED
    },
    Case {
        name: "decode-given-up",
        end: End::DecodeGivenUp,
        ..SERVED
    },
];

/// Plays the attempts of a request that are given up, and its end. Returns when the request had no attempt left.
fn play(case: &Case, harness: &Harness) -> Instant {
    let (servers, id) = (&harness.servers, case.name);
    let mut client = harness.dispatcher.connect();
    let text = with_changes(request(id, ""), &[DEADLINE]);
    std::io::Write::write_all(&mut client, text.as_bytes()).expect("asked");
    for number in 1..=case.prefills {
        servers.wait(EventKind::Post, id, number);
        if case.end == End::Disconnected && number == case.prefills {
            client.shutdown(std::net::Shutdown::Both).expect("closed");
        } else if case.given_up == GivenUp::Closed {
            servers.close_connections(servers.request_servers(id)[number - 1]);
        }
        servers.wait(EventKind::Closed, id, number);
    }
    if matches!(case.end, End::Served | End::DecodeGivenUp) {
        servers.wait(EventKind::Post, id, case.prefills + 1);
        servers.respond(id, PREFILL_RESPONSE);
        servers.wait(EventKind::Post, id, case.prefills + 2);
    }
    if case.end == End::Served {
        servers.respond(id, STREAM_RESPONSE);
    }
    if case.end != End::Disconnected {
        assert_ended(&mut client, case);
    }
    Instant::now()
}

fn assert_ended(client: &mut TcpStream, case: &Case) {
    let is_served = read_response(client).starts_with("HTTP/1.1 200");
    assert_eq!(is_served, case.end == End::Served, "{}", case.name);
}

/// Describes a time at which a state could appear and stay beyond the limit, as no DELETE follows; `None` if there is none.
fn unreleased(servers: &ScriptedServers, case: &Case, over: Instant) -> Option<String> {
    let posts = servers.events(EventKind::Post, case.name);
    let told = posts.iter().take(case.prefills).map(|p| p.at + p.told);
    let bound = told.max().expect("a prefill was given up");
    let limit = Duration::from_millis(case.limit_ms) + SLACK;
    std::thread::sleep(bound.saturating_duration_since(Instant::now()) + limit);
    let mut covered = over;
    for delete in servers.events(EventKind::Delete, case.name) {
        let gap = delete.at.saturating_duration_since(covered);
        if gap > limit {
            return Some(format!("no DELETE for {gap:?}"));
        }
        covered = covered.max(delete.at);
    }
    let left = bound.saturating_duration_since(covered);
    (!left.is_zero())
        .then(|| format!("the last DELETE came {left:?} before the attempt had to end"))
}

fn run_case(case: &Case) -> Option<String> {
    let name = format!("late-{}", case.name);
    let harness = Harness::start(&name, 3, case.changes);
    let over = play(case, &harness);
    unreleased(&harness.servers, case, over)
}

/// Guards against a state that stays at a prefill server which hung and went on: one confirmed DELETE counted for good.
#[test]
fn state_that_a_given_up_prefill_leaves_late_is_released() {
    let held: Vec<(&str, Option<String>)> = std::thread::scope(|scope| {
        let plays: Vec<_> = CASES
            .iter()
            .map(|case| (case.name, scope.spawn(|| run_case(case))))
            .collect();
        plays
            .into_iter()
            .map(|(name, play)| (name, play.join().expect("a play")))
            .collect()
    });
    let held: Vec<_> = held.into_iter().filter(|(_, why)| why.is_some()).collect();
    assert!(held.is_empty(), "left unreleased: {held:#?}");
}
