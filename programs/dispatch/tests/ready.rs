//! Restarted processes are ready soon: all at once, without discovery, and with hundreds of clients waiting.
mod common;
#[path = "common/crowd.rs"]
mod crowd;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use crowd::{head, join, limited, ready_after, Discovery, Down, Kind, READY};
use rustix::process::Signal;

/// Nine in ten are ready within this.
const READY_AGAIN: Duration = Duration::from_secs(10);
const PROCESSES: usize = 12;

fn ready_in_time(times: &[Option<f64>], name: &str) {
    let ready = times.iter().flatten().count();
    let slowest = times.iter().flatten().fold(0.0, |a: f64, b| a.max(*b));
    println!(
        "{name}: {ready} of {} ready, the slowest after {slowest:.2} s",
        times.len()
    );
    assert!(10 * ready >= 9 * times.len(), "{name}: {times:?}");
}

/// Kills them all, starts them again at once, and asks each as the front does.
fn restart_all(dispatchers: &mut [Dispatcher]) -> Vec<Option<f64>> {
    for dispatcher in &mut *dispatchers {
        dispatcher.signal(Signal::KILL);
    }
    let since = Instant::now();
    for dispatcher in &mut *dispatchers {
        let next = limited::<256>(&dispatcher.file)
            .spawn()
            .expect("the program");
        let mut before = std::mem::replace(&mut dispatcher.child, next);
        before.wait().expect("it has ended");
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

fn all_at_once(name: &str, how: Down) {
    let discovery = Discovery::down(how);
    let (reader, writer) = (crowd::host(true), crowd::host(false));
    let known = [
        target("a", reader.at, "reads"),
        target("b", writer.at, "writes"),
    ];
    let start = |i| {
        let listen = own_address();
        let text = configuration_with(listen, discovery.at, &known);
        Dispatcher::start_with(&format!("{name}{i}"), listen, text, limited::<256>)
    };
    let mut all: Vec<Dispatcher> = (0..PROCESSES).map(start).collect();
    // Clients that the ones before had keep their ends open.
    let kept: Vec<_> = all.iter().flat_map(|d| crowd::idle(d.listen, 10)).collect();
    ready_in_time(&restart_all(&mut all), name);
    all.iter()
        .enumerate()
        .for_each(|(i, d)| d.served(&format!("{name}-{i}")));
    drop(kept);
}

#[test]
fn all_are_ready_while_discovery_refuses() {
    all_at_once("closed", Down::Closed);
}

#[test]
fn all_are_ready_while_discovery_is_silent() {
    all_at_once("silent", Down::Silent);
}

#[test]
fn all_are_ready_while_every_watch_is_slow() {
    all_at_once("slow", Down::Slow(Duration::from_secs(4)));
}

/// Clients ahead of the front's call in the accept queue, and behind it.
const AHEAD: usize = 300;
const BEHIND: usize = 100;

/// Connects, or says that the accept queue had no room.
fn queue(to: SocketAddr, kind: Kind, id: &str, name: &str) -> TcpStream {
    let since = Instant::now();
    let stream = join(to, kind, id).unwrap_or_else(|e| panic!("{name} {id}: {e}"));
    // A connection that finds the queue full is tried again by the system after a second.
    let took = since.elapsed();
    assert!(
        took < Duration::from_millis(900),
        "{name} {id}: the accept queue was full for {took:?}"
    );
    stream
}

/// A restarted process finds hundreds in its accept queue, the front's call among them.
fn crowded(kind: Kind) {
    let name = format!("crowd-{kind:?}");
    let (reader, writer) = (crowd::host(true), crowd::host(false));
    // Whole requests stay in hand, so that they hold their places.
    reader.holds.store(true, Ordering::SeqCst);
    let known = [
        target("a", reader.at, "reads"),
        target("b", writer.at, "writes"),
    ];
    let listen = own_address();
    let text = configuration_with(listen, Discovery::down(Down::Silent).at, &known);
    let mut dispatcher = Dispatcher::start_with(&name, listen, text, limited::<256>);
    dispatcher.signal(Signal::KILL);
    let next = limited::<256>(&dispatcher.file)
        .spawn()
        .expect("the program");
    let since = Instant::now();
    let mut before = std::mem::replace(&mut dispatcher.child, next);
    before.wait().expect("it has ended");
    // It listens, and is held up.
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
    let mut front = queue(listen, Kind::Silent, "front", &name);
    front.write_all(READY.as_bytes()).expect("asked");
    let behind: Vec<_> = (0..BEHIND)
        .map(|i| queue(listen, kind, &format!("b{i}"), &name))
        .collect();
    let since = Instant::now();
    dispatcher.signal(Signal::CONT);
    let said = head(&mut front, READY_AGAIN);
    let after = since.elapsed();
    assert!(
        said.starts_with("HTTP/1.1 200"),
        "{name}: {said:?} after {after:?}"
    );
    // And once more, with all of them there.
    let again = ready_after(listen, Instant::now(), READY_AGAIN);
    assert!(again.is_some(), "{name}: not ready with the crowd there");
    println!(
        "{name}: answered after {after:?}, and again after {:.3} s",
        again.unwrap_or_default()
    );
    reader.holds.store(false, Ordering::SeqCst);
    drop((first, ahead, behind));
    // Once they have gone it serves as ever.
    let by = Instant::now() + SOON;
    loop {
        let mut stream = dispatcher.connect();
        stream
            .write_all(request("last", "Connection: close\r\n").as_bytes())
            .expect("asked");
        let said = head(&mut stream, SOON);
        if said.starts_with("HTTP/1.1 200") {
            break;
        }
        assert!(Instant::now() < by, "{name}: {said:?}");
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn the_fronts_call_is_answered_amid_clients_that_say_nothing() {
    crowded(Kind::Silent);
}

#[test]
fn the_fronts_call_is_answered_amid_half_requests() {
    crowded(Kind::Half);
}

#[test]
fn the_fronts_call_is_answered_amid_requests() {
    crowded(Kind::Whole);
}

#[test]
fn the_fronts_call_is_answered_amid_clients_that_stay() {
    crowded(Kind::Idle);
}

#[test]
fn an_address_that_is_still_in_use_is_waited_for_and_not_for_ever() {
    let listen = own_address();
    let text = configuration_with(listen, own_address(), &[]);
    let file = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("in-use.json");
    std::fs::write(&file, &text).expect("the configuration's file");

    // Somebody else listens there for good: it ends as it does for any setting that cannot be used.
    let held = TcpListener::bind(listen).expect("the address");
    let since = Instant::now();
    let output = program(&file).output().expect("the program");
    let (said, took) = (
        String::from_utf8_lossy(&output.stderr).into_owned(),
        since.elapsed(),
    );
    assert_eq!(output.status.code(), Some(2), "{said}");
    assert!(
        said.lines().last().is_some_and(|l| l.contains("'listen'")),
        "{said}"
    );
    assert_eq!(
        said.lines().filter(|l| l.contains("in use")).count(),
        2,
        "once while it waits: {said}"
    );
    assert!(
        took >= Duration::from_secs(4) && took < READY_AGAIN,
        "{took:?}"
    );

    // The one before goes while it is waited for.
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
