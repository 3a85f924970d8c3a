//! The program while idle clients fill its descriptors and discovery is down, under the system's limit and below it.
mod common;
#[path = "common/crowd.rs"]
mod crowd;

use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use crowd::{
    descriptors, first_free, head, idle, join, limited, memory_mb, open, ready_after, Discovery,
    Down, Host, Kind,
};
use rustix::process::{prlimit, Pid, Resource, Rlimit, Signal};

/// Clients that fill everything: more than `limits.sockets`, which is 256.
const CROWD: usize = 300;
/// Within this of its return, what discovery says is acted on.
const ACTED_ON: Duration = Duration::from_secs(6);
/// A restarted process is ready within this.
const READY_AGAIN: Duration = Duration::from_secs(10);

struct Site {
    /// Known as in service from the start.
    reader: Host,
    writer: Host,
    /// In discovery's news alone.
    other: Host,
    discovery: Discovery,
    dispatcher: Dispatcher,
}

fn site(name: &str, how: Down, program: fn(&Path) -> Command) -> Site {
    let (reader, writer, other) = (crowd::host(true), crowd::host(false), crowd::host(true));
    let discovery = Discovery::down(how);
    let known = [
        target("a", reader.at, "reads"),
        target("b", writer.at, "writes"),
    ];
    let listen = own_address();
    let text = configuration_with(listen, discovery.at, &known);
    let dispatcher = Dispatcher::start_with(name, listen, text, program);
    Site {
        reader,
        writer,
        other,
        discovery,
        dispatcher,
    }
}

impl Site {
    /// The known reader drains, another one is in service.
    fn drains(&self) -> String {
        let old = target("a", self.reader.at, "reads").replace("in_service", "terminating");
        list(8, false, &[old, target("c", self.other.at, "reads")])
    }
}

/// A client whose stream has begun and goes on once its host lets it.
fn begin_stream(site: &Site) -> TcpStream {
    site.writer.holds.store(true, Ordering::SeqCst);
    let mut stream = site.dispatcher.connect();
    stream
        .write_all(request("held", "Connection: close\r\n").as_bytes())
        .expect("asked");
    let head = head(&mut stream, SOON);
    assert!(head.starts_with("HTTP/1.1 200"), "{head:?}");
    stream
}

fn filled(name: &str, how: Down, limit: usize, program: fn(&Path) -> Command) {
    let site = site(name, how, program);
    let pid = site.dispatcher.child.id();
    let held = begin_stream(&site);
    let crowd = idle(site.dispatcher.listen, CROWD);
    let kept = open(&crowd);
    assert!(
        kept > 0 && kept < limit,
        "{name}: {kept} idle clients have stayed"
    );
    assert!(
        descriptors(pid) <= limit,
        "{name}: {} descriptors",
        descriptors(pid)
    );

    // An answer in hand goes out, while the table is full.
    site.writer.holds.store(false, Ordering::SeqCst);
    assert!(
        rest_of(held).ends_with("data: 2\n\n\r\n0\r\n\r\n"),
        "{name}: the stream in hand"
    );
    // Hosts' connections still get theirs.
    site.dispatcher.served("one");
    assert_eq!(site.other.asked.load(Ordering::SeqCst), 0);

    // A silent call is given up and made anew while the table is full; discovery comes back just after, which is late
    // for the call that has just been made.
    let by = Instant::now() + SOON;
    while how == Down::Silent && site.discovery.calls.load(Ordering::SeqCst) < 2 {
        assert!(Instant::now() < by, "{name}: the watch is not begun anew");
        thread::sleep(Duration::from_millis(10));
    }
    let after = acted_on(&site);
    let stayed = open(&crowd);
    assert!(
        stayed > 0 && descriptors(pid) <= limit,
        "{name}: {stayed} are left"
    );
    assert!(after <= ACTED_ON, "{name}: acted on after {after:?}");
    println!("{name}: {kept} idle clients stayed; acted on after {after:?}");
    let before = site.reader.asked.load(Ordering::SeqCst);
    (0..5).for_each(|i| site.dispatcher.served(&format!("after{i}")));
    assert_eq!(
        site.reader.asked.load(Ordering::SeqCst),
        before,
        "{name}: what drains gets nothing new"
    );
    drop(crowd);
}

/// Discovery is back: the drain is acted on, without a client's leaving first; after how long.
fn acted_on(site: &Site) -> Duration {
    let since = Instant::now();
    site.discovery.back(&site.drains());
    let mut i = 0;
    while site.other.asked.load(Ordering::SeqCst) == 0 && since.elapsed() < 3 * ACTED_ON {
        i += 1;
        site.dispatcher.served(&format!("poll{i}"));
        thread::sleep(Duration::from_millis(20));
    }
    since.elapsed()
}

fn rest_of(mut stream: TcpStream) -> String {
    use std::io::Read;
    let mut rest = String::new();
    stream.set_read_timeout(Some(SOON)).expect("a bound");
    stream
        .read_to_string(&mut rest)
        .expect("the rest and the end");
    rest
}

#[test]
fn with_as_many_descriptors_as_configured_and_discovery_refusing() {
    filled("fill-closed", Down::Closed, 256, limited::<256>);
}

#[test]
fn with_as_many_descriptors_as_configured_and_discovery_silent() {
    filled("fill-silent", Down::Silent, 256, limited::<256>);
}

#[test]
fn with_half_as_many_descriptors_as_configured() {
    filled("fill-half", Down::Closed, 128, limited::<128>);
}

#[test]
fn with_far_fewer_descriptors_than_configured_and_discovery_silent() {
    filled("fill-few", Down::Silent, 48, limited::<48>);
}

#[test]
fn what_the_system_takes_away_idle_clients_give_for_hosts_and_the_watch() {
    let site = site("taken", Down::Closed, limited::<256>);
    let pid = site.dispatcher.child.id();
    let held = begin_stream(&site);
    let mut crowd = idle(site.dispatcher.listen, 100);
    assert_eq!(open(&crowd), 100);
    // No descriptor is left from here on.
    let most = Rlimit {
        current: Some(first_free(pid)),
        maximum: Some(256),
    };
    prlimit(
        Some(Pid::from_child(&site.dispatcher.child)),
        Resource::Nofile,
        most,
    )
    .expect("a lower limit");
    site.writer.holds.store(false, Ordering::SeqCst);
    assert!(
        rest_of(held).ends_with("data: 2\n\n\r\n0\r\n\r\n"),
        "the stream in hand"
    );

    // New connections to both hosts, on behalf of a client that is there already.
    let asking = crowd.last_mut().expect("a client");
    asking
        .write_all(request("kept", "").as_bytes())
        .expect("asked");
    let said = head(asking, SOON);
    assert!(said.starts_with("HTTP/1.1 200"), "{said:?}");
    // New clients, and the watch.
    site.dispatcher.served("new");
    let after = acted_on(&site);
    assert!(after <= ACTED_ON, "acted on after {after:?}");
    println!(
        "taken: {} idle clients stayed; acted on after {after:?}",
        open(&crowd)
    );
}

#[test]
fn a_restart_in_that_state_becomes_ready_while_the_old_clients_connections_exist() {
    for signal in [Signal::TERM, Signal::KILL] {
        let name = if signal == Signal::TERM {
            "again-term"
        } else {
            "again-kill"
        };
        let mut site = site(name, Down::Silent, limited::<256>);
        let held = begin_stream(&site);
        let crowd = idle(site.dispatcher.listen, CROWD);
        let since = Instant::now();
        site.dispatcher.signal(signal);
        // At once: after SIGTERM the one before still listens, and has a stream in hand.
        let next = limited::<256>(&site.dispatcher.file)
            .spawn()
            .expect("the program");
        let mut before = std::mem::replace(&mut site.dispatcher.child, next);
        site.writer.holds.store(false, Ordering::SeqCst);
        // While the one before listens, it is the one that answers.
        let by = Instant::now() + SOON;
        while before.try_wait().expect("its state").is_none() && Instant::now() < by {
            thread::sleep(Duration::from_millis(5));
        }
        assert!(
            before.try_wait().expect("its state").is_some(),
            "{name}: the one before has not ended"
        );
        let after = ready_after(site.dispatcher.listen, since, READY_AGAIN);
        assert!(
            after.is_some(),
            "{name}: not ready again within {READY_AGAIN:?}"
        );
        assert!(
            site.dispatcher
                .child
                .try_wait()
                .expect("its state")
                .is_none(),
            "{name}: it has ended"
        );
        println!(
            "{name}: ready again after {:.2} s",
            after.unwrap_or_default()
        );
        let more = idle(site.dispatcher.listen, CROWD);
        site.dispatcher.served("again");
        drop((held, crowd, more));
    }
}

/// First tokens of good clients come within this, also in a flood: a tenth of the class's aim would do on an idle
/// machine; two loaded cores and a flood from the same machine are allowed for.
const FIRST_TOKEN: Duration = Duration::from_millis(1500);
/// Most memory in a flood, MB: 2 for the process, and for each of 118 clients 20 KB of what it has sent ahead, with as
/// much again for what the allocator keeps. The limit of the smallest dispatcher is 32.
const MEMORY_MB: f64 = 7.0;

#[test]
fn in_a_flood_of_connections_others_are_served_in_time_and_memory_is_bounded() {
    let site = site("flood", Down::Silent, limited::<256>);
    let to = site.dispatcher.listen;
    let until = Instant::now() + Duration::from_secs(5);
    let flood = move |kind| {
        move || {
            let (mut crowd, mut came) = (std::collections::VecDeque::new(), 0usize);
            while Instant::now() < until {
                came += 1;
                // The system has only so many ports for one address.
                thread::sleep(Duration::from_millis(2));
                if let Ok(stream) = join(to, kind, &format!("{kind:?}{came}")) {
                    crowd.push_back(stream);
                }
                // Some go, so that this process keeps within its own descriptors.
                if crowd.len() > 100 {
                    crowd.pop_front();
                }
            }
            came
        }
    };
    let floods: Vec<_> = [Kind::Silent, Kind::Half, Kind::Idle]
        .into_iter()
        .map(|k| thread::spawn(flood(k)))
        .collect();
    let pid = site.dispatcher.child.id();
    let before = memory_mb(pid);
    let (mut slowest, mut peak, mut count) = (Duration::ZERO, before, 0);
    while Instant::now() < until {
        count += 1;
        let since = Instant::now();
        let mut stream = site.dispatcher.connect();
        let id = format!("good{count}");
        stream
            .write_all(request(&id, "Connection: close\r\n").as_bytes())
            .expect("asked");
        let head = head(&mut stream, SOON);
        assert!(
            head.starts_with("HTTP/1.1 200"),
            "good client {count}: {head:?}"
        );
        slowest = slowest.max(since.elapsed());
        rest_of(stream);
        peak = peak.max(memory_mb(pid));
        thread::sleep(Duration::from_millis(10));
    }
    let came: usize = floods
        .into_iter()
        .map(|f| f.join().expect("no panic"))
        .sum();
    println!(
        "flood: {came} connections; slowest of {count} first tokens {slowest:?}; {before:.1} to {peak:.1} MB"
    );
    assert!(slowest < FIRST_TOKEN, "first token after {slowest:?}");
    assert!(peak < MEMORY_MB, "{peak} MB");
    assert!(ready_after(to, Instant::now(), READY_AGAIN).is_some());
}

/// An eighth of the configuration's 64 MB, twice as much as buffers have room for more, and what the process itself takes.
const HALVES_MB: f64 = 20.0;

#[test]
fn half_requests_of_hundreds_leave_the_memory_within_its_limit() {
    let site = site("halves", Down::Silent, limited::<256>);
    let to = site.dispatcher.listen;
    let pid = site.dispatcher.child.id();
    let body = vec![b'x'; 250 * 1024];
    let ask = |i: usize| {
        let mut stream = TcpStream::connect(to).ok()?;
        stream
            .set_write_timeout(Some(Duration::from_secs(2)))
            .ok()?;
        let text =
            request(&format!("half{i}"), "").replace("Content-Length: 2", "Content-Length: 262000");
        let head = text.split("{}").next()?.to_string();
        stream.write_all(head.as_bytes()).ok()?;
        // Turned away in the midst of it, perhaps.
        let _ = stream.write_all(&body);
        Some(stream)
    };
    let crowd: Vec<TcpStream> = (0..110).filter_map(ask).collect();
    // The program may still be reading what the system has taken for it: until it grows no more.
    let (mut peak, mut grown) = (memory_mb(pid), Instant::now());
    while grown.elapsed() < Duration::from_secs(1) {
        let now = memory_mb(pid);
        if now > peak {
            (peak, grown) = (now, Instant::now());
        }
        thread::sleep(Duration::from_millis(10));
    }
    println!("{} half requests of 250 KiB: {peak:.1} MB", crowd.len());
    assert!(peak < HALVES_MB, "{peak} MB");
    drop(crowd);
    site.dispatcher.served("good");
}
