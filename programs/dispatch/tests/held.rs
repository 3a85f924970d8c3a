//! Checks that the KV cache state at a prefill server is released within the limit while other servers are silent. The time is
//! measured by the servers, from the response of the prefill to the first DELETE that arrives at any server.
mod common;
#[path = "common/bench.rs"]
mod harness;
#[path = "common/gated.rs"]
mod scripted_servers;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use common::*;
use harness::*;
use scripted_servers::*;

/// Clients' deadline, which is far beyond every limit in this file.
const DEADLINE: (&str, &str) = ("Req-Deadline-Ms: 20000", "Req-Deadline-Ms: 4000");
const REQUESTS: usize = 8;

/// Fault of the decode servers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// They accept connections and data but never handle any.
    Silent,
    /// Connections to them are neither established nor refused.
    NotComingUp,
}

struct Case {
    name: &'static str,
    fault: Fault,
    limit_ms: u64,
    changes: &'static [(&'static str, &'static str)],
    /// Whether the clients disconnect once the prefills are complete.
    clients_go: bool,
}

const FEW_SOCKETS: (&str, &str) = (r#""sockets":256"#, r#""sockets":64"#);

const CASES: [Case; 8] = [
    Case {
        name: "safe",
        fault: Fault::Silent,
        limit_ms: 1000,
        changes: &[],
        clients_go: false,
    },
    Case {
        name: "patient",
        fault: Fault::Silent,
        limit_ms: 1000,
        changes: &[LONG_LATENCY_OBJECTIVE],
        clients_go: false,
    },
    Case {
        name: "unsafe",
        fault: Fault::Silent,
        limit_ms: 1000,
        changes: &[UNSAFE],
        clients_go: false,
    },
    Case {
        name: "short-limit",
        fault: Fault::Silent,
        limit_ms: 300,
        changes: &[UNSAFE, LIMIT_OF_300_MS],
        clients_go: false,
    },
    Case {
        name: "clients-gone",
        fault: Fault::Silent,
        limit_ms: 1000,
        changes: &[NO_CANCEL, LONG_LATENCY_OBJECTIVE],
        clients_go: true,
    },
    Case {
        name: "few-sockets",
        fault: Fault::Silent,
        limit_ms: 1000,
        changes: &[UNSAFE, FEW_SOCKETS],
        clients_go: false,
    },
    Case {
        name: "not-up",
        fault: Fault::NotComingUp,
        limit_ms: 300,
        changes: &[LIMIT_OF_300_MS],
        clients_go: false,
    },
    Case {
        name: "not-up-unsafe",
        fault: Fault::NotComingUp,
        limit_ms: 300,
        changes: &[LIMIT_OF_300_MS, UNSAFE],
        clients_go: false,
    },
];

/// Starts two decode servers with this fault; returns their addresses and what must be kept for the fault to last.
fn decode_servers(fault: Fault) -> (Vec<SocketAddr>, Vec<(TcpListener, Vec<TcpStream>)>) {
    let one = || match fault {
        Fault::Silent => (
            TcpListener::bind("127.0.0.1:0").expect("a port"),
            Vec::new(),
        ),
        Fault::NotComingUp => full_listener(),
    };
    let kept = vec![one(), one()];
    (
        kept.iter()
            .map(|k| k.0.local_addr().expect("an address"))
            .collect(),
        kept,
    )
}

fn send_request(harness: &Harness, id: &str) -> TcpStream {
    use std::io::Write;
    let mut client = harness.dispatcher.connect();
    client
        .write_all(with_changes(request(id, ""), &[DEADLINE]).as_bytes())
        .expect("asked");
    client
}

/// Describes a KV cache state that was held longer than its limit and the slack; `None` if it was released in time.
fn overdue_release(
    servers: &ScriptedServers,
    id: &str,
    since: Instant,
    limit: Duration,
) -> Option<String> {
    let until = since + limit + SLACK;
    let released = servers.first_time(EventKind::Delete, id)?;
    let over = released.saturating_duration_since(until);
    (!over.is_zero()).then(|| format!("{id} {:.2} s", released.duration_since(since).as_secs_f64()))
}

/// Runs one case and describes the KV cache states that were held too long.
fn run_case(case: &Case) -> Vec<String> {
    let servers = ScriptedServers::default();
    let (decode, _kept) = decode_servers(case.fault);
    let prefill = (0..2).map(|i| target(&format!("p{i}"), servers.server(i, true), model(true)));
    let decode = decode
        .iter()
        .enumerate()
        .map(|(i, at)| target(&format!("d{i}"), *at, model(false)));
    let targets: Vec<String> = prefill.chain(decode).collect();
    let harness = Harness::with(
        &format!("held-{}", case.name),
        servers,
        &targets,
        case.changes,
    );
    let ids: Vec<String> = (0..REQUESTS)
        .map(|i| format!("{IMMEDIATE_PREFIX}{}-{i}", case.name))
        .collect();
    let mut clients: Vec<TcpStream> = ids.iter().map(|id| send_request(&harness, id)).collect();
    let read: Vec<&String> = ids
        .iter()
        .filter(|id| prefill_in_time(&harness.servers, id))
        .collect();
    assert!(!read.is_empty(), "{}: some prompts are read", case.name);
    if case.clients_go {
        clients.clear();
    }
    let limit = Duration::from_millis(case.limit_ms);
    let judged = read.into_iter().filter_map(|id| {
        let since = harness
            .servers
            .first_time(EventKind::Responded, id)
            .expect("it was read");
        harness.servers.wait(EventKind::Delete, id, 1);
        overdue_release(&harness.servers, id, since, limit)
    });
    judged.collect()
}

/// Waits up to a second for the prefill of a request. With few free descriptors some requests are rejected before it.
fn prefill_in_time(servers: &ScriptedServers, id: &str) -> bool {
    let until = Instant::now() + Duration::from_secs(1);
    while servers.first_time(EventKind::Responded, id).is_none() {
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    true
}

#[test]
fn kv_state_is_released_within_its_limit_when_the_decode_request_does_not_arrive() {
    let late: Vec<(&str, Vec<String>)> = std::thread::scope(|scope| {
        let plays = CASES
            .iter()
            .map(|case| (case.name, scope.spawn(|| run_case(case))))
            .collect::<Vec<_>>();
        plays
            .into_iter()
            .map(|(name, play)| (name, play.join().expect("a play")))
            .collect()
    });
    let late: Vec<_> = late.into_iter().filter(|l| !l.1.is_empty()).collect();
    assert!(late.is_empty(), "held too long: {late:#?}");
}

/// The connection breaks as the prefill ends, so its server may hold KV cache state; the retried prefill does not arrive.
#[test]
fn kv_state_of_a_broken_prefill_is_released_when_the_retry_does_not_arrive() {
    let harness = Harness::start("held-broken", 2, &[LONG_LATENCY_OBJECTIVE]);
    let _client = send_request(&harness, "broken");
    harness.servers.wait(EventKind::Post, "broken", 1);
    let at = harness.servers.request_servers("broken")[0];
    harness.servers.stop_responding(1 - at);
    let since = Instant::now();
    harness.servers.close_connections(at);
    harness.servers.wait(EventKind::Delete, "broken", 1);
    let late = overdue_release(&harness.servers, "broken", since, Duration::from_secs(1));
    assert_eq!(late, None);
}

/// Guards against a state that no DELETE follows: a decode server that does not reach the prefill server answers that the
/// state is gone, and the request is served from another prefill.
#[test]
fn kv_state_that_one_decode_server_misses_is_released() {
    let harness = Harness::start("held-missing", 2, &[]);
    let mut client = send_request(&harness, "missing");
    harness.servers.wait(EventKind::Post, "missing", 1);
    harness.servers.respond("missing", PREFILL_RESPONSE);
    harness.servers.wait(EventKind::Post, "missing", 2);
    harness.servers.respond("missing", STATE_MISSING);
    harness.servers.wait(EventKind::Post, "missing", 3);
    let since = Instant::now();
    harness.servers.respond("missing", PREFILL_RESPONSE);
    harness.servers.wait(EventKind::Post, "missing", 4);
    harness.servers.respond("missing", STREAM_RESPONSE);
    assert!(read_response(&mut client).starts_with("HTTP/1.1 200"));
    harness.servers.wait(EventKind::Delete, "missing", 1);
    let late = overdue_release(&harness.servers, "missing", since, Duration::from_secs(1));
    assert_eq!(late, None);
}

/// Any server can pass on a release. All but one fall silent a moment after they responded.
#[test]
fn release_reaches_the_only_responding_server_within_the_limit() {
    const PAIRS: usize = 8;
    let harness = Harness::start("held-one", PAIRS, &[LONG_LATENCY_OBJECTIVE]);
    for i in 0..2 * PAIRS {
        let other = request(&format!("{IMMEDIATE_PREFIX}one-{i}"), "")
            .replace("Req-Key: 1", &format!("Req-Key: {i}"));
        let mut client = harness.dispatcher.connect();
        std::io::Write::write_all(&mut client, other.as_bytes()).expect("asked");
        assert!(read_response(&mut client).starts_with("HTTP/1.1 200"));
    }
    let _client = send_request(&harness, "one");
    harness.servers.wait(EventKind::Post, "one", 1);
    harness.servers.respond("one", PREFILL_RESPONSE);
    harness.servers.wait(EventKind::Post, "one", 2);
    let since = harness
        .servers
        .first_time(EventKind::Responded, "one")
        .expect("read");
    let asked = harness.servers.request_servers("one");
    let live = (PAIRS..2 * PAIRS)
        .rev()
        .find(|server| !asked.contains(server))
        .expect("another decode server");
    (0..2 * PAIRS)
        .filter(|server| *server != live)
        .for_each(|server| harness.servers.stop_responding(server));
    harness.servers.wait(EventKind::Delete, "one", 1);
    let late = overdue_release(&harness.servers, "one", since, Duration::from_secs(1));
    assert_eq!(late, None);
}
