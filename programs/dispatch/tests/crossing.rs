//! Races between two events at the dispatcher's sockets. Each test forces the order that can go wrong: it pauses the process,
//! makes both events ready in that order, and resumes it.
mod common;
#[path = "common/crowd.rs"]
mod crowd;
#[path = "common/bench.rs"]
mod harness;
#[path = "common/gated.rs"]
mod scripted_servers;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use common::*;
use crowd::{descriptors, first_free};
use harness::*;
use rustix::net::sockopt::set_socket_send_buffer_size;
use rustix::process::{prlimit, Pid, Resource, Rlimit, Signal};
use scripted_servers::*;

const PREFILL: usize = 0;
const DECODE: usize = 1;
/// Longer than the dispatcher lets a kept connection rest before reusing it.
const REUSE_DELAY: Duration = Duration::from_millis(100);

/// A stream that belongs to no request of the test.
const STALE_STREAM: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 0\n\n\r\n0\r\n\r\n";

/// Runs rounds of one request each, in which something happens to the kept connection to the decode server just as the prefill
/// ends. Each request must be answered by its own stream, on another connection, and be sent once per stage.
fn as_prefill_ends(harness: &Harness, happens: impl Fn(&ScriptedServers)) {
    for round in 0..5 {
        let id = format!("round-{round}");
        std::thread::sleep(REUSE_DELAY);
        let mut client = harness.send_request(&id);
        harness.servers.wait(EventKind::Post, &id, 1);
        harness.pause();
        harness.servers.respond(&id, PREFILL_RESPONSE);
        happens(&harness.servers);
        harness.resume();
        harness.servers.wait(EventKind::Post, &id, 2);
        harness.servers.respond(&id, STREAM_RESPONSE);
        let received = read_response(&mut client);
        assert!(received.starts_with("HTTP/1.1 200"), "{received}");
        assert!(
            !received.contains("data: 0"),
            "another request's answer: {received}"
        );
        assert!(
            received.contains("data: 1") && received.contains("data: 2"),
            "{received}"
        );
        assert_eq!(harness.servers.request_servers(&id), [PREFILL, DECODE]);
        harness.assert_serving();
    }
}

/// A stale response waits unread on the kept connection when the next request is about to use it.
#[test]
fn unread_data_on_a_kept_connection_does_not_answer_the_next_request() {
    let harness = Harness::start("crossing-late-answer", 1, &[LONG_LATENCY_OBJECTIVE]);
    as_prefill_ends(&harness, |servers| {
        servers.send_unsolicited(DECODE, STALE_STREAM)
    });
}

/// The decode server closes the kept connection. A request that must not run twice must not lose its only attempt to this.
#[test]
fn kept_connection_closed_by_its_server_costs_no_attempt() {
    let unsafe_class = (r#""effect":"free""#, r#""effect":"single_shot""#);
    let harness = Harness::start(
        "crossing-closed",
        1,
        &[LONG_LATENCY_OBJECTIVE, unsafe_class],
    );
    as_prefill_ends(&harness, |servers| servers.close_connections(DECODE));
}

/// The prefill server responds while the process is paused, and the attempt's timeout passes before it resumes.
#[test]
fn response_that_is_unread_at_the_attempts_timeout_is_used() {
    let no_cancel = (r#""cancel":true"#, r#""cancel":false"#);
    for (name, changes) in [("cancel", vec![]), ("no-cancel", vec![no_cancel])] {
        // The attempt is cancelled, or times out, after at most one second.
        let changes = [changes, vec![(r#""aimS":1.5"#, r#""aimS":0.2"#)]].concat();
        let harness = Harness::start(&format!("crossing-time-out-{name}"), 1, &changes);
        // Only one request: the dispatcher would avoid a server that responded so late.
        let id = "time-out";
        let mut client = harness.send_request(id);
        harness.servers.wait(EventKind::Post, id, 1);
        harness.pause();
        std::thread::sleep(Duration::from_millis(1500));
        harness.servers.respond(id, PREFILL_RESPONSE);
        harness.resume();
        harness.servers.wait(EventKind::Post, id, 2);
        harness.servers.respond(id, STREAM_RESPONSE);
        let received = read_response(&mut client);
        assert!(
            received.starts_with("HTTP/1.1 200") && received.contains("data: 2"),
            "{name}: {received}"
        );
        assert_eq!(
            harness.servers.request_servers(id),
            [PREFILL, DECODE],
            "{name}: read once"
        );
    }
}

/// When listening ends, the accept queue contains more clients than the event loop accepts in one iteration, all with
/// requests written.
#[test]
fn requests_in_the_accept_queue_are_answered_when_listening_ends() {
    let mut harness = Harness::start("crossing-queue", 1, &[]);
    harness.dispatcher.signal(Signal::TERM);
    // After SIGTERM the dispatcher accepts connections for another 0.55 s; the process is paused beyond that.
    std::thread::sleep(Duration::from_millis(200));
    harness.pause();
    let clients: Vec<TcpStream> = (0..150)
        .map(|i| harness.send_request(&format!("{IMMEDIATE_PREFIX}queue-{i}")))
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    harness.resume();
    for (i, client) in clients.into_iter().enumerate() {
        let received = read_until_closed(client);
        let answered = received.starts_with("HTTP/1.1 200") && received.ends_with("0\r\n\r\n");
        assert!(
            answered || received.starts_with("HTTP/1.1 503"),
            "{i}: {received:?}"
        );
    }
    assert_eq!(
        harness.dispatcher.exit_status().and_then(|s| s.code()),
        Some(0)
    );
}

/// Returns how many bytes the system buffers for a client that reads nothing.
fn socket_buffer_bytes() -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let _client = slow_client(listener.local_addr().expect("an address"));
    let (mut stream, _) = listener.accept().expect("the client");
    stream.set_nonblocking(true).expect("an option");
    stream.set_nodelay(true).expect("an option");
    let mut taken = 0;
    while let Ok(n) = stream.write(&[b'x'; 1024]) {
        taken += n;
    }
    taken
}

/// Starts requests whose clients read nothing of responses that exceed the system's buffers by `more` bytes, so that the last
/// bytes wait in the process. Returns the clients with the number of events in each response.
fn slow_clients(harness: &Harness, more: &[usize]) -> Vec<(TcpStream, usize)> {
    let system = socket_buffer_bytes();
    let event = format!("data: {}\n\n", "x".repeat(992));
    let ask = |(i, more): (usize, &usize)| {
        let id = format!("taken-late-{i}");
        let mut client = slow_client(harness.dispatcher.listen);
        client
            .write_all(request(&id, "Connection: close\r\n").as_bytes())
            .expect("asked");
        harness.servers.wait(EventKind::Post, &id, 1);
        harness.servers.respond(&id, PREFILL_RESPONSE);
        harness.servers.wait(EventKind::Post, &id, 2);
        let many = (system + more) / event.len();
        let chunks = chunk(&event).repeat(many);
        harness
            .servers
            .respond(&id, &format!("{STREAM_HEAD}{chunks}{LAST_CHUNK}"));
        (client, many)
    };
    let clients = more.iter().enumerate().map(ask).collect();
    harness.assert_serving();
    clients
}

fn assert_complete(clients: Vec<(TcpStream, usize)>) {
    for (client, many) in clients {
        let received = read_until_closed(client);
        let came = received.matches("data: ").count();
        assert!(
            came == many && received.ends_with("0\r\n\r\n"),
            "{came} of {many} events, {} bytes",
            received.len()
        );
    }
}

#[test]
fn response_that_is_read_late_is_complete() {
    let harness = Harness::start("crossing-taken-late", 1, &[LONG_LATENCY_OBJECTIVE]);
    let clients = slow_clients(&harness, &[20_000, 60_000, 100_000]);
    // Longer than a connection is kept after its response has been sent.
    std::thread::sleep(Duration::from_millis(2300));
    assert_complete(clients);
}

/// More responses wait for their clients than connections may be kept after their response has been sent.
#[test]
fn responses_that_many_clients_read_late_are_complete() {
    let harness = Harness::start("crossing-taken-many", 1, &[LONG_LATENCY_OBJECTIVE]);
    let clients = slow_clients(&harness, &[60_000; 20]);
    harness.assert_serving();
    assert_complete(clients);
}

#[test]
fn response_that_is_read_late_is_complete_while_the_process_stops() {
    let mut harness = Harness::start("crossing-taken-stop", 1, &[LONG_LATENCY_OBJECTIVE]);
    let clients = slow_clients(&harness, &[20_000, 60_000, 100_000]);
    harness.dispatcher.signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(1200));
    assert_complete(clients);
    assert_eq!(
        harness.dispatcher.exit_status().and_then(|s| s.code()),
        Some(0)
    );
}

/// Waits until the number of the process's open descriptors satisfies a condition.
fn wait_for_descriptors(pid: u32, fits: impl Fn(usize) -> bool) {
    let until = Instant::now() + SOON;
    while !fits(descriptors(pid)) {
        assert!(Instant::now() < until, "{} descriptors", descriptors(pid));
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A connection to a server needs a file descriptor when none is free: the dispatcher must close an idle client, not one whose
/// response has not been sent completely.
#[test]
fn unsent_response_is_not_dropped_for_a_descriptor() {
    let harness = Harness::start("crossing-descriptors", 1, &[LONG_LATENCY_OBJECTIVE]);
    let pid = harness.dispatcher.child.id();
    let clients = slow_clients(&harness, &[20_000, 60_000, 100_000]);
    harness.assert_serving();
    // The next request needs new connections to both servers.
    let before = descriptors(pid);
    harness.servers.close_connections(PREFILL);
    harness.servers.close_connections(DECODE);
    wait_for_descriptors(pid, |n| n <= before - 2);
    std::thread::sleep(Duration::from_millis(50));
    // Idle clients take the free descriptor numbers below the limit, so that closing one frees a usable number.
    let without = descriptors(pid);
    let idle: Vec<TcpStream> = (0..20).map(|_| harness.dispatcher.connect()).collect();
    wait_for_descriptors(pid, |n| n >= without + idle.len());
    let most = first_free(pid);
    let limit = Rlimit {
        current: Some(most),
        maximum: Some(most),
    };
    prlimit(
        Some(Pid::from_child(&harness.dispatcher.child)),
        Resource::Nofile,
        limit,
    )
    .expect("a limit");
    harness.assert_serving();
    assert_complete(clients);
    drop(idle);
}

/// SIGHUP and SIGTERM arrive at the same moment, with a request between prefill and decode. The new discovery address must be
/// called, the request served, and the process must exit with code 0.
#[test]
fn simultaneous_reload_and_stop_signals_are_both_handled() {
    let mut harness = Harness::start("crossing-signals", 1, &[LONG_LATENCY_OBJECTIVE]);
    let mut client = harness.send_request("signals");
    harness.servers.wait(EventKind::Post, "signals", 1);
    let (new, calls) = discovery();
    harness.pause();
    let text = harness.dispatcher.text.clone();
    let old = text
        .split(r#""discovery":""#)
        .nth(1)
        .and_then(|t| t.split('"').next())
        .expect("an address");
    std::fs::write(
        &harness.dispatcher.file,
        text.replace(old, &new.to_string()),
    )
    .expect("the new file");
    harness.dispatcher.signal(Signal::HUP);
    harness.dispatcher.signal(Signal::TERM);
    harness.servers.respond("signals", PREFILL_RESPONSE);
    harness.resume();
    let call = calls.recv_timeout(SOON).expect("a call at the new address");
    assert!(call.starts_with("GET /v1/endpoints?watch=1"), "{call}");
    harness.servers.wait(EventKind::Post, "signals", 2);
    harness.servers.respond("signals", STREAM_RESPONSE);
    let received = read_response(&mut client);
    assert!(
        received.starts_with("HTTP/1.1 200") && received.contains("data: 2"),
        "{received}"
    );
    assert_eq!(
        harness.dispatcher.exit_status().and_then(|s| s.code()),
        Some(0)
    );
}

/// A connection is reset after the last byte of a request has been written, at either stage. A non-idempotent request must fail
/// and not be sent again; one with an idempotency key is repeated if the repeat arrives within its window.
#[test]
fn reset_is_retried_only_as_the_class_allows() {
    let keyed = r#""effect":"guarded","keyScope":"all","repeatWindowS":2.0"#;
    let table = [
        ("unsafe-read", r#""effect":"single_shot""#, false, 0, false),
        ("unsafe-write", r#""effect":"single_shot""#, true, 0, false),
        ("keyed-write-in-time", keyed, true, 100, true),
        ("keyed-write-too-late", keyed, true, 1300, false),
        ("safe-write", r#""effect":"free""#, true, 0, true),
    ];
    for (name, effect, at_decode, after_ms, again) in table {
        let class = (r#""effect":"free""#, effect);
        let harness = Harness::start(
            &format!("crossing-{name}"),
            2,
            &[LONG_LATENCY_OBJECTIVE, class],
        );
        let mut client = harness.send_request(name);
        harness.servers.wait(EventKind::Post, name, 1);
        if at_decode {
            harness.servers.respond(name, PREFILL_RESPONSE);
            harness.servers.wait(EventKind::Post, name, 2);
        }
        let before = harness.servers.request_servers(name);
        std::thread::sleep(Duration::from_millis(after_ms));
        harness
            .servers
            .close_connections(*before.last().expect("a host"));
        if again {
            harness
                .servers
                .wait(EventKind::Post, name, before.len() + 1);
            harness.servers.respond(name, STREAM_RESPONSE);
            let received = read_response(&mut client);
            assert!(received.starts_with("HTTP/1.1 200"), "{name}: {received}");
        } else {
            let received = read_response(&mut client);
            let status = if effect == keyed {
                "HTTP/1.1 503"
            } else {
                "HTTP/1.1 504"
            };
            assert!(received.starts_with(status), "{name}: {received}");
            harness.assert_serving();
            assert_eq!(
                harness.servers.request_servers(name),
                before,
                "{name}: sent nowhere else"
            );
        }
    }
}

/// The connection to the server is established at least half a second late. The deadline sent to the server must be the time that
/// is left then.
#[test]
fn forwarded_deadline_is_the_time_left_when_the_connection_is_established() {
    let (listener, fill) = full_listener();
    let targets = [
        target("h0", listener.local_addr().expect("an address"), "reads"),
        target("h1", reserved_address(), "writes"),
    ];
    let patient = (r#""connectTimeoutS":1.0"#, r#""connectTimeoutS":30.0"#);
    let harness = Harness::with(
        "crossing-deadline",
        ScriptedServers::default(),
        &targets,
        &[patient, LONG_LATENCY_OBJECTIVE],
    );
    let since = Instant::now();
    let client = harness.send_request("late");
    std::thread::sleep(Duration::from_millis(500));
    drop(fill);
    // The dispatcher's connection is established when the system repeats the SYN; the others have been closed.
    let told_ms = loop {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.set_read_timeout(Some(SOON)).expect("a bound");
        let (mut received, mut bytes) = (String::new(), [0; 4096]);
        while !received.contains("\r\n\r\n") {
            let n = stream.read(&mut bytes).expect("a request or an end");
            if n == 0 {
                break;
            }
            received.push_str(&String::from_utf8_lossy(&bytes[..n]));
        }
        let field = received
            .split("Req-Deadline-Ms: ")
            .nth(1)
            .and_then(|rest| rest.split("\r\n").next());
        if let Some(told) = field {
            break told.parse::<f64>().expect("a number");
        }
    };
    let passed_ms = since.elapsed().as_secs_f64() * 1e3;
    assert!(passed_ms >= 500.0, "it was late");
    assert!(
        told_ms + passed_ms <= 20_000.0 + 150.0,
        "told {told_ms} ms after {passed_ms} ms of 20 s"
    );
    drop(client);
}

/// Maximum number of connected clients with the limits of `FEW_SOCKETS`.
const MAX_CLIENTS: usize = 13;
const FEW_SOCKETS: (&str, &str) = (r#""sockets":256"#, r#""sockets":64"#);
/// More bytes than the event loop reads from one connection in one iteration.
const MORE_THAN_ONE_READ: usize = 180 * 1024;

/// Connects a client that has been served once and has sent half the head of its next request.
fn client_with_half_request(harness: &Harness, number: usize) -> TcpStream {
    let mut client = harness.send_request(&format!("{IMMEDIATE_PREFIX}before-{number}"));
    read_response(&mut client);
    client
        .write_all(b"POST /v1/chat/completions HTTP/1.1\r\n")
        .expect("half a head");
    client
}

/// All client connections have half a request when a new client connects. The oldest request is complete by then, except for
/// bytes that the event loop has not read in this iteration. The dispatcher must read it and evict another client.
#[test]
fn client_with_unread_data_is_not_evicted_for_a_new_one() {
    let harness = Harness::start("crossing-heard-out", 1, &[FEW_SOCKETS]);
    let mut oldest = client_with_half_request(&harness, 0);
    set_socket_send_buffer_size(&oldest, 2 * MORE_THAN_ONE_READ).expect("an option");
    harness.assert_serving();
    let others: Vec<TcpStream> = (1..MAX_CLIENTS)
        .map(|i| client_with_half_request(&harness, i))
        .collect();
    harness.pause();
    let body = "x".repeat(MORE_THAN_ONE_READ);
    let head = "Req-Id: now-oldest\r\nReq-Kind: ask\r\nReq-Key: 1\r\nReq-Deadline-Ms: 20000";
    let request = format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    oldest.write_all(request.as_bytes()).expect("the rest");
    let mut newcomer = harness.send_request("now-newcomer");
    harness.resume();
    assert!(
        read_response(&mut newcomer).starts_with("HTTP/1.1 200"),
        "the newcomer is served"
    );
    assert!(
        read_response(&mut oldest).starts_with("HTTP/1.1 200"),
        "the oldest is served"
    );
    let ended = |client: &TcpStream| {
        client.set_nonblocking(true).expect("an option");
        !matches!(client.peek(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    };
    assert_eq!(
        others.iter().filter(|client| ended(client)).count(),
        1,
        "one of the others has given way"
    );
}
