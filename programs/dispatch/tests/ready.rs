//! Checks that restarted processes are ready soon: when all restart at once, without discovery, and with hundreds of clients
//! waiting.
mod common;
#[path = "common/crowd.rs"]
mod crowd;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use crowd::{head, join, limited, ready_after, ClientKind, Discovery, Outage, READY};
use rustix::process::Signal;

/// Nine in ten restarted processes must be ready within this time.
const READY_AGAIN: Duration = Duration::from_secs(10);
const PROCESSES: usize = 12;

fn assert_ready_in_time(times: &[Option<f64>], name: &str) {
    let ready = times.iter().flatten().count();
    let slowest = times.iter().flatten().fold(0.0, |a: f64, b| a.max(*b));
    println!(
        "{name}: {ready} of {} ready, the slowest after {slowest:.2} s",
        times.len()
    );
    assert!(10 * ready >= 9 * times.len(), "{name}: {times:?}");
}

/// Kills all processes, restarts them at once, and polls each as the front-end does.
fn restart_all(dispatchers: &mut [Dispatcher]) -> Vec<Option<f64>> {
    for dispatcher in &mut *dispatchers {
        dispatcher.signal(Signal::KILL);
    }
    let since = Instant::now();
    for dispatcher in &mut *dispatchers {
        dispatcher.replace_process(limited::<256>);
    }
    let ask = |d: &Dispatcher| {
        let at = d.listen;
        thread::spawn(move || ready_after(at, since, READY_AGAIN))
    };
    let asked: Vec<_> = dispatchers.iter().map(ask).collect();
    asked
        .into_iter()
        .map(|a| a.join().expect("no panic"))
        .collect()
}

fn all_at_once(name: &str, outage: Outage) {
    let discovery = Discovery::with_outage(outage);
    let (prefill, decode) = (crowd::server(true), crowd::server(false));
    let known = [
        target("a", prefill.at, "reads"),
        target("b", decode.at, "writes"),
    ];
    let start = |i| {
        let listen = reserved_address();
        let text = configuration_with(listen, discovery.at, &known);
        Dispatcher::start_with(&format!("{name}{i}"), listen, text, limited::<256>)
    };
    let mut all: Vec<Dispatcher> = (0..PROCESSES).map(start).collect();
    discovery.begin_outage();
    // Clients of the killed processes keep their ends of the connections open.
    let kept: Vec<_> = all.iter().flat_map(|d| crowd::idle(d.listen, 10)).collect();
    assert_ready_in_time(&restart_all(&mut all), name);
    // Until discovery has spoken, requests are answered and nothing is sent.
    let is_slow = matches!(outage, Outage::Slow(_));
    for (i, dispatcher) in all.iter().enumerate().filter(|_| !is_slow) {
        let status = dispatcher.status(&format!("early-{i}"), &format!("{name}-early"));
        assert_eq!(status, Some(503), "{name}-{i}");
    }
    assert_eq!(prefill.asked.load(Ordering::SeqCst), 0, "{name}");
    discovery.recover("");
    for (i, dispatcher) in all.iter().enumerate() {
        dispatcher.wait_until_served(&format!("again-{i}"), name, READY_AGAIN);
        dispatcher.assert_served(&format!("{name}-{i}"));
    }
    drop(kept);
}

#[test]
fn all_are_ready_while_discovery_refuses() {
    all_at_once("closed", Outage::Closed);
}

#[test]
fn all_are_ready_while_discovery_is_silent() {
    all_at_once("silent", Outage::Silent);
}

#[test]
fn all_are_ready_while_every_watch_is_slow() {
    all_at_once("slow", Outage::Slow(Duration::from_secs(4)));
}

/// Number of clients before the front-end's readiness check in the accept queue.
const AHEAD: usize = 300;
/// Number of clients after the front-end's readiness check in the accept queue.
const BEHIND: usize = 100;

/// Connects a client and checks that the accept queue was not full.
fn queue(to: SocketAddr, kind: ClientKind, id: &str, name: &str) -> TcpStream {
    let since = Instant::now();
    let stream = join(to, kind, id).unwrap_or_else(|e| panic!("{name} {id}: {e}"));
    // If the queue is full, the system retries the connection after a second.
    let took = since.elapsed();
    assert!(
        took < Duration::from_millis(900),
        "{name} {id}: the accept queue was full for {took:?}"
    );
    stream
}

/// A restarted process finds hundreds of clients in its accept queue, the front-end's readiness check among them, while
/// discovery answers and in an outage of discovery.
fn assert_ready_with_full_queue(kind: ClientKind) {
    play_full_queue(kind, false);
    play_full_queue(kind, true);
}

fn play_full_queue(kind: ClientKind, is_in_outage: bool) {
    let discovery_state = if is_in_outage { "outage" } else { "answering" };
    let name = format!("crowd-{kind:?}-{discovery_state}");
    let (prefill, decode) = (crowd::server(true), crowd::server(false));
    // Complete requests stay in flight, so that their connections stay open.
    prefill.is_holding.store(true, Ordering::SeqCst);
    let known = [
        target("a", prefill.at, "reads"),
        target("b", decode.at, "writes"),
    ];
    let listen = reserved_address();
    let discovery = Discovery::with_outage(Outage::Silent);
    let text = configuration_with(listen, discovery.at, &known);
    let mut dispatcher = Dispatcher::start_with(&name, listen, text, limited::<256>);
    if is_in_outage {
        discovery.begin_outage();
    }
    dispatcher.signal(Signal::KILL);
    dispatcher.replace_process(limited::<256>);
    let since = Instant::now();
    // The restarted process listens; it is then paused while the accept queue fills.
    let first = loop {
        match join(listen, kind, "first") {
            Ok(stream) => break stream,
            Err(_) if since.elapsed() < SOON => thread::sleep(Duration::from_millis(1)),
            Err(e) => panic!("{name}: it does not listen: {e}"),
        }
    };
    dispatcher.signal(Signal::STOP);
    let ahead: Vec<_> = (0..AHEAD)
        .map(|i| queue(listen, kind, &format!("a{i}"), &name))
        .collect();
    let mut front = queue(listen, ClientKind::Silent, "front", &name);
    front.write_all(READY.as_bytes()).expect("asked");
    let behind: Vec<_> = (0..BEHIND)
        .map(|i| queue(listen, kind, &format!("b{i}"), &name))
        .collect();
    let since = Instant::now();
    dispatcher.signal(Signal::CONT);
    let received = head(&mut front, READY_AGAIN);
    let after = since.elapsed();
    // It may not have heard from discovery yet; the check is answered all the same.
    assert!(
        received.starts_with("HTTP/1.1 200") || received.starts_with("HTTP/1.1 503"),
        "{name}: {received:?} after {after:?}"
    );
    // A readiness check must succeed while all clients are connected.
    let again = ready_after(listen, since, READY_AGAIN);
    assert!(again.is_some(), "{name}: not ready with the crowd there");
    println!(
        "{name}: answered after {after:?}, and again after {:.3} s",
        again.unwrap_or_default()
    );
    prefill.is_holding.store(false, Ordering::SeqCst);
    discovery.recover("");
    drop((first, ahead, behind));
    // After the clients have disconnected, requests are served again.
    let by = Instant::now() + SOON;
    loop {
        let mut stream = dispatcher.connect();
        stream
            .write_all(request("last", "Connection: close\r\n").as_bytes())
            .expect("asked");
        let received = head(&mut stream, SOON);
        if received.starts_with("HTTP/1.1 200") {
            break;
        }
        assert!(Instant::now() < by, "{name}: {received:?}");
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn readiness_check_is_answered_among_silent_clients() {
    assert_ready_with_full_queue(ClientKind::Silent);
}

#[test]
fn readiness_check_is_answered_among_half_requests() {
    assert_ready_with_full_queue(ClientKind::Half);
}

#[test]
fn readiness_check_is_answered_among_requests() {
    assert_ready_with_full_queue(ClientKind::Whole);
}

#[test]
fn readiness_check_is_answered_among_idle_clients() {
    assert_ready_with_full_queue(ClientKind::Idle);
}

#[test]
fn address_in_use_is_retried_for_a_limited_time() {
    let listen = reserved_address();
    let text = configuration_with(listen, reserved_address(), &[]);
    let file = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("in-use.json");
    std::fs::write(&file, &text).expect("the configuration's file");

    // Another process keeps the address: the program exits as for any unusable setting.
    let held = TcpListener::bind(listen).expect("the address");
    let since = Instant::now();
    let output = program(&file).output().expect("the program");
    let (received, took) = (
        String::from_utf8_lossy(&output.stderr).into_owned(),
        since.elapsed(),
    );
    assert_eq!(output.status.code(), Some(2), "{received}");
    assert!(
        received
            .lines()
            .last()
            .is_some_and(|l| l.contains("'listen'")),
        "{received}"
    );
    assert_eq!(
        received.lines().filter(|l| l.contains("in use")).count(),
        2,
        "once while it waits: {received}"
    );
    assert!(
        took >= Duration::from_secs(4) && took < READY_AGAIN,
        "{took:?}"
    );

    // The previous listener closes while the program waits for the address.
    let mut child = limited::<256>(&file).spawn().expect("the program");
    thread::sleep(Duration::from_millis(300));
    assert!(
        child.try_wait().expect("its state").is_none(),
        "it has not waited"
    );
    drop(held);
    let after = ready_after(listen, Instant::now(), READY_AGAIN);
    let _ = child.kill();
    let _ = child.wait();
    assert!(after.is_some(), "not ready once the address was free");
}
