//! Checks that no attempt starts for a client that has disconnected, whatever else becomes ready at the same moment.
//!
//! Each test pauses the process, so that everything that servers and clients do meanwhile is ready when it resumes. The test
//! checks the result after a later request has been served, because everything that was ready before has been handled then.
mod common;
#[path = "common/bench.rs"]
mod harness;
#[path = "common/gated.rs"]
mod scripted_servers;

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use common::*;
use harness::*;
use rustix::net::sockopt::set_socket_linger;
use rustix::process::Signal;
use scripted_servers::*;

/// Waits until the dispatcher's side of these clients' connections is no longer in the state ESTABLISHED.
fn wait_until_disconnected(dispatcher: &Dispatcher, ports: &[u16]) {
    let own = table_form(dispatcher.listen);
    let others: Vec<String> = ports.iter().map(|p| format!(":{p:04X}")).collect();
    let open = |row: &Vec<&str>| {
        let (at, to, state) = (row.get(1), row.get(2), row.get(3));
        at.is_some_and(|a| *a == own)
            && to.is_some_and(|a| others.iter().any(|o| a.ends_with(o)))
            && state == Some(&ESTABLISHED)
    };
    let until = Instant::now() + SOON;
    loop {
        let text = std::fs::read_to_string(TABLE).expect("the table");
        let rows = text
            .lines()
            .skip(1)
            .map(|l| l.split_whitespace().collect::<Vec<_>>());
        let left = rows.filter(open).count();
        if left == 0 {
            return;
        }
        assert!(Instant::now() < until, "{left} ends have not come");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// The kernel's table of TCP connections.
const TABLE: &str = "/proc/self/net/tcp";
/// State ESTABLISHED in the table.
const ESTABLISHED: &str = "01";
/// State SYN_SENT in the table.
const CONNECTING: &str = "02";

/// Formats an address as in the table. The IP address is included because dispatchers of other tests use the same port.
fn table_form(address: SocketAddr) -> String {
    let SocketAddr::V4(v4) = address else {
        panic!("{address} is no address over IPv4")
    };
    format!(
        "{:08X}:{:04X}",
        u32::from_ne_bytes(v4.ip().octets()),
        v4.port()
    )
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Close,
    Reset,
    /// It shuts down only its sending side.
    HalfClose,
    /// It closes the connection behind further requests that are still unread.
    SentAhead,
}

const DEPARTURES: [Departure; 4] = [
    Departure::Close,
    Departure::Reset,
    Departure::HalfClose,
    Departure::SentAhead,
];

impl Departure {
    /// Disconnects all clients and waits until the dispatcher's side has received it. The returned connections must be kept until
    /// the test has checked the result.
    fn disconnect_all(self, harness: &Harness, clients: Vec<TcpStream>) -> Vec<TcpStream> {
        let ports: Vec<u16> = clients
            .iter()
            .map(|c| c.local_addr().expect("an address").port())
            .collect();
        let kept = clients
            .into_iter()
            .filter_map(|c| self.disconnect(c))
            .collect();
        wait_until_disconnected(&harness.dispatcher, &ports);
        kept
    }

    fn disconnect(self, mut client: TcpStream) -> Option<TcpStream> {
        match self {
            Departure::Close => {}
            Departure::Reset => {
                set_socket_linger(&client, Some(Duration::ZERO)).expect("an option")
            }
            Departure::HalfClose => {
                client.shutdown(Shutdown::Write).expect("its sending ends");
                return Some(client);
            }
            Departure::SentAhead => {
                for i in 0..50 {
                    let more = request(&format!("ahead-{i}"), "");
                    client.write_all(more.as_bytes()).expect("sent ahead");
                }
            }
        }
        None
    }
}

#[test]
fn disconnected_between_prefill_and_decode() {
    let harness = Harness::start("gone-between", 1, &[LONG_LATENCY_OBJECTIVE]);
    for (i, departure) in DEPARTURES.into_iter().enumerate() {
        let id = format!("between-{i}");
        let client = harness.send_request(&id);
        harness.servers.wait(EventKind::Post, &id, 1);
        harness.pause();
        harness.servers.respond(&id, PREFILL_RESPONSE);
        let kept = departure.disconnect_all(&harness, vec![client]);
        harness.resume();
        harness.servers.wait(EventKind::Delete, &id, 1);
        harness.assert_serving();
        assert_eq!(
            harness.servers.count(EventKind::Post, &id),
            1,
            "{departure:?}: no writer is asked"
        );
        drop(kept);
    }
    assert!(
        !harness
            .servers
            .request_ids()
            .iter()
            .any(|id| id.starts_with("ahead")),
        "nor for what was sent ahead"
    );
}

/// Guards against a request that runs twice because it comes again, under its id, after its client has left.
#[test]
fn id_that_comes_again_after_its_client_has_left_is_not_sent_twice() {
    let harness = Harness::start("gone-again", 1, &[UNSAFE, LONG_LATENCY_OBJECTIVE]);
    for (i, departure) in [Departure::Close, Departure::Reset].into_iter().enumerate() {
        let id = format!("again-{i}");
        let client = harness.send_request(&id);
        harness.servers.wait(EventKind::Post, &id, 1);
        harness.servers.respond(&id, PREFILL_RESPONSE);
        // The answer has been asked for, and may run.
        harness.servers.wait(EventKind::Post, &id, 2);
        departure.disconnect_all(&harness, vec![client]);
        harness.servers.wait(EventKind::Closed, &id, 1);
        let answer = read_until_closed(harness.send_request(&id));
        assert!(
            answer.starts_with("HTTP/1.1 409"),
            "{departure:?}: {answer}"
        );
        assert_eq!(
            harness.servers.count(EventKind::Post, &id),
            2,
            "{departure:?}"
        );
        harness.assert_serving();
    }
}

#[test]
fn disconnected_before_a_second_attempt() {
    let harness = Harness::start("gone-second", 2, &[LONG_LATENCY_OBJECTIVE]);
    for (i, departure) in DEPARTURES.into_iter().enumerate() {
        for (answer, name) in [(DECLINED, "declined"), (FAILED, "failed")] {
            let id = format!("second-{i}-{name}");
            let client = harness.send_request(&id);
            harness.servers.wait(EventKind::Post, &id, 1);
            harness.pause();
            harness.servers.respond(&id, answer);
            let kept = departure.disconnect_all(&harness, vec![client]);
            harness.resume();
            harness.assert_serving();
            assert_eq!(
                harness.servers.count(EventKind::Post, &id),
                1,
                "{departure:?}, {name}: no second reader"
            );
            drop(kept);
        }
        let id = format!("writer-{i}");
        let client = harness.send_request(&id);
        harness.servers.wait(EventKind::Post, &id, 1);
        harness.servers.respond(&id, PREFILL_RESPONSE);
        harness.servers.wait(EventKind::Post, &id, 2);
        harness.pause();
        harness.servers.respond(&id, DECLINED);
        let kept = departure.disconnect_all(&harness, vec![client]);
        harness.resume();
        harness.servers.wait(EventKind::Delete, &id, 1);
        harness.assert_serving();
        assert_eq!(
            harness.servers.count(EventKind::Post, &id),
            2,
            "{departure:?}: no second writer"
        );
        drop(kept);
    }
}

/// The client sends more data before it disconnects than the system buffers for a connection that is not read.
#[test]
fn disconnected_behind_much_unread_data() {
    let harness = Harness::start("gone-much", 1, &[LONG_LATENCY_OBJECTIVE]);
    let mut client = harness.dispatcher.connect();
    let long = request("much", "").replace("Deadline-Ms: 20000", "Deadline-Ms: 90000");
    client.write_all(long.as_bytes()).expect("asked");
    harness.servers.wait(EventKind::Post, "much", 1);
    client.set_write_timeout(Some(SOON)).expect("a bound");
    let more = request("ahead", "").replace(
        "Content-Length: 2\r\n\r\n{}",
        "Content-Length: 262144\r\n\r\n",
    );
    client.write_all(more.as_bytes()).expect("a head");
    for _ in 0..64 {
        client.write_all(&[b'x'; 262_144]).expect("it is read on");
    }
    drop(client);
    harness.servers.wait(EventKind::Closed, "much", 1);
    harness.servers.wait(EventKind::Delete, "much", 1);
    harness.assert_serving();
    assert_eq!(harness.servers.count(EventKind::Post, "much"), 1);
    assert_eq!(harness.servers.count(EventKind::Post, "ahead"), 0);
}

/// A client sends until the dispatcher stops reading from it, and then resets its connection. The disconnect must be detected
/// all the same.
#[test]
fn disconnected_while_it_is_not_read() {
    let harness = Harness::start("gone-paused", 1, &[LONG_LATENCY_OBJECTIVE]);
    let mut client = harness.send_request("paused");
    harness.servers.wait(EventKind::Post, "paused", 1);
    client
        .set_write_timeout(Some(Duration::from_millis(500)))
        .expect("a bound");
    let sent = (0..2048)
        .take_while(|_| client.write_all(&[b'x'; 65_536]).is_ok())
        .count();
    assert!(
        (1280..2048).contains(&sent),
        "80 MiB are dropped, and not much more: {sent} times 64 KiB"
    );
    Departure::Reset.disconnect_all(&harness, vec![client]);
    harness.servers.wait(EventKind::Closed, "paused", 1);
    harness.servers.wait(EventKind::Delete, "paused", 1);
    harness.assert_serving();
    assert_eq!(harness.servers.count(EventKind::Post, "paused"), 1);
}

#[test]
fn many_clients_disconnected_while_the_process_is_paused() {
    let harness = Harness::start("gone-crowd", 1, &[LONG_LATENCY_OBJECTIVE]);
    for departure in [Departure::Close, Departure::Reset, Departure::HalfClose] {
        harness.pause();
        let clients = (0..100)
            .map(|i| harness.send_request(&format!("crowd-{i}")))
            .collect();
        let kept = departure.disconnect_all(&harness, clients);
        harness.resume();
        harness.assert_serving();
        let sent: Vec<String> = harness
            .servers
            .request_ids()
            .into_iter()
            .filter(|id| id.starts_with("crowd"))
            .collect();
        assert!(sent.is_empty(), "{departure:?}: {sent:?}");
        drop(kept);
    }
    // Clients that are connected already send a request and disconnect.
    let kept: Vec<TcpStream> = (0..100).map(|_| harness.dispatcher.connect()).collect();
    harness.assert_serving();
    harness.pause();
    for (i, mut client) in kept.iter().enumerate() {
        // On a busy machine the dispatcher may have closed the idle connection by now.
        let _ = client.write_all(request(&format!("crowd-{i}"), "").as_bytes());
    }
    Departure::Close.disconnect_all(&harness, kept);
    harness.resume();
    harness.assert_serving();
    let sent: Vec<String> = harness
        .servers
        .request_ids()
        .into_iter()
        .filter(|id| id.starts_with("crowd"))
        .collect();
    assert!(sent.is_empty(), "{sent:?}");
}

/// The wait for probe responses ends at the same moment as the client disconnects.
#[test]
fn disconnected_while_probes_are_in_flight() {
    let probing = [
        (r#""cancel":true"#, r#""cancel":true,"probing":true"#),
        LONG_LATENCY_OBJECTIVE,
    ];
    let harness = Harness::start("gone-probes", 2, &probing);
    let mut in_time = 0;
    for i in 0..40 {
        harness.servers.hold_probes(true);
        let id = format!("probes-{i}");
        let probes = harness.servers.count(EventKind::Probe, "");
        let client = harness.send_request(&id);
        // The dispatcher sends probes for the request, or sends it at once if earlier probe results are fresh enough.
        let until = Instant::now() + SOON;
        while harness.servers.count(EventKind::Probe, "") == probes
            && harness.servers.count(EventKind::Post, &id) == 0
        {
            assert!(Instant::now() < until, "neither a probe nor a request");
            std::thread::yield_now();
        }
        harness.pause();
        // The probe responses, the end of the wait for them and the disconnect become ready together.
        harness.servers.hold_probes(false);
        std::thread::sleep(Duration::from_millis(20));
        let before = harness.servers.count(EventKind::Post, &id);
        Departure::Close.disconnect_all(&harness, vec![client]);
        harness.resume();
        harness.assert_serving();
        assert_eq!(
            harness.servers.count(EventKind::Post, &id),
            before,
            "nothing is sent after it has gone"
        );
        in_time += usize::from(before == 0);
        if in_time == 3 {
            return;
        }
        // The next request causes probes once the earlier results are no longer fresh.
        std::thread::sleep(Duration::from_millis(550));
    }
    assert!(in_time > 0, "it was never stopped in time");
}

/// Counts the connections to an address that are being established.
fn connecting_sockets(to: SocketAddr) -> usize {
    let text = std::fs::read_to_string(TABLE).expect("the table");
    let to = table_form(to);
    let rows = text
        .lines()
        .skip(1)
        .map(|l| l.split_whitespace().collect::<Vec<_>>());
    rows.filter(|r| r.get(2).is_some_and(|a| *a == to) && r.get(3) == Some(&CONNECTING))
        .count()
}

#[test]
fn disconnected_while_a_server_connection_is_being_established() {
    for cancel in ["true", "false"] {
        let servers = ScriptedServers::default();
        let (listener, fill) = full_listener();
        let to = listener.local_addr().expect("an address");
        let targets = [
            target("h0", to, "reads"),
            target("h1", servers.server(1, false), "writes"),
        ];
        let cancels = format!(r#""cancel":{cancel}"#);
        let changes = [
            (r#""cancel":true"#, cancels.as_str()),
            (r#""connectTimeoutS":1.0"#, r#""connectTimeoutS":30.0"#),
            LONG_LATENCY_OBJECTIVE,
        ];
        let harness = Harness::with(&format!("gone-up-{cancel}"), servers, &targets, &changes);
        let client = harness.send_request("up");
        let wait = |many: usize| {
            let until = Instant::now() + Duration::from_secs(10);
            while connecting_sockets(to) != many {
                assert!(
                    Instant::now() < until,
                    "cancel {cancel}: {many} connections being dialled"
                );
                std::thread::sleep(Duration::from_millis(2));
            }
        };
        wait(1);
        drop(client);
        wait(0);
        // The server accepts connections again; the one that was being established must not carry the request.
        harness.servers.serve(listener, 0, true);
        drop(fill);
        harness.assert_serving();
        assert_eq!(
            harness.servers.count(EventKind::Post, "up"),
            0,
            "cancel {cancel}"
        );
    }
}

/// More responses end at once than connections may be kept after their response, and each connection has an unread byte. Closing
/// a connection with unread data resets it, and the client would lose the rest of its response.
#[test]
fn response_is_not_lost_when_its_connection_has_unread_bytes() {
    let harness = Harness::start("gone-unread", 1, &[LONG_LATENCY_OBJECTIVE]);
    let event = format!("data: {}\n\n", "x".repeat(992));
    let stream = format!("{STREAM_HEAD}{}{LAST_CHUNK}", chunk(&event).repeat(50));
    let ids: Vec<String> = (0..30).map(|i| format!("unread-{i}")).collect();
    let ask = |id: &String| {
        let mut client = slow_client(harness.dispatcher.listen);
        client
            .write_all(request(id, "Connection: close\r\n").as_bytes())
            .expect("asked");
        harness.servers.wait(EventKind::Post, id, 1);
        harness.servers.respond(id, PREFILL_RESPONSE);
        harness.servers.wait(EventKind::Post, id, 2);
        client
    };
    let mut clients: Vec<TcpStream> = ids.iter().map(ask).collect();
    harness.pause();
    ids.iter()
        .for_each(|id| harness.servers.respond(id, &stream));
    clients
        .iter_mut()
        .for_each(|c| c.write_all(b"x").expect("a byte"));
    harness.resume();
    harness.assert_serving();
    for (id, client) in ids.iter().zip(clients) {
        let received = read_until_closed(client);
        assert_eq!(
            received.matches(&event).count(),
            50,
            "{id}: {} bytes",
            received.len()
        );
        assert!(received.ends_with("0\r\n\r\n"), "{id}");
    }
}

/// A request that arrives while the process stops must be answered completely or never be sent to a server.
#[test]
fn request_during_shutdown_is_answered_or_never_sent_to_a_server() {
    for after_s in [0.0, 0.5, 0.56, 0.7] {
        let mut harness = Harness::start(&format!("gone-term-{after_s}"), 2, &[]);
        let mut clients: Vec<TcpStream> = (0..20).map(|_| harness.dispatcher.connect()).collect();
        for (i, client) in clients.iter().enumerate() {
            let mut client = client;
            client
                .write_all(request(&format!("{IMMEDIATE_PREFIX}first-{i}"), "").as_bytes())
                .expect("asked");
        }
        for client in &mut clients {
            assert!(
                read_response(client).ends_with(LAST_CHUNK),
                "a whole stream"
            );
        }
        harness.dispatcher.signal(Signal::TERM);
        std::thread::sleep(Duration::from_secs_f64(after_s));
        for (i, client) in clients.iter().enumerate() {
            let mut client = client;
            // The dispatcher may have closed the connection by now.
            let _ =
                client.write_all(request(&format!("{IMMEDIATE_PREFIX}last-{i}"), "").as_bytes());
        }
        let received: Vec<String> = clients.into_iter().map(read_until_closed).collect();
        assert_eq!(
            harness.dispatcher.exit_status().and_then(|s| s.code()),
            Some(0)
        );
        for (i, received) in received.iter().enumerate() {
            let sent = harness
                .servers
                .count(EventKind::Post, &format!("{IMMEDIATE_PREFIX}last-{i}"));
            let whole = received.starts_with("HTTP/1.1 200") && received.ends_with("0\r\n\r\n");
            assert!(
                whole && sent == 2 || received.is_empty() && sent == 0,
                "{after_s} s, {sent} sent: {received:?}"
            );
        }
    }
}
