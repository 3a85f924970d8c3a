//! Checks the dispatcher while idle clients use up its file descriptors and discovery is unavailable, with the configured number
//! of descriptors and with fewer.
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
    descriptors, first_free, head, idle, join, limited, memory_mb, open, ready_after, ClientKind,
    CountingServer, Discovery, Outage,
};
use rustix::process::{prlimit, Pid, Resource, Rlimit, Signal};

/// Number of idle clients: more than `limits.sockets`, which is 256.
const IDLE_CLIENTS: usize = 300;
/// Maximum time from discovery's recovery until its list is applied.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(6);
/// A restarted process must be ready within this time.
const READY_AGAIN: Duration = Duration::from_secs(10);

struct Site {
    /// In service in the configuration's endpoint list.
    prefill: CountingServer,
    decode: CountingServer,
    /// Only in the list that discovery returns after its recovery.
    other: CountingServer,
    discovery: Discovery,
    dispatcher: Dispatcher,
}

fn site(name: &str, outage: Outage, program: fn(&Path) -> Command) -> Site {
    let (prefill, decode, other) = (
        crowd::server(true),
        crowd::server(false),
        crowd::server(true),
    );
    let discovery = Discovery::with_outage(outage);
    let known = [
        target("a", prefill.at, "reads"),
        target("b", decode.at, "writes"),
    ];
    let listen = reserved_address();
    let text = configuration_with(listen, discovery.at, &known);
    let dispatcher = Dispatcher::start_with(name, listen, text, program);
    discovery.begin_outage();
    Site {
        prefill,
        decode,
        other,
        discovery,
        dispatcher,
    }
}

impl Site {
    /// The list after the recovery: the known prefill server drains and another one is in service.
    fn drains(&self) -> String {
        let old = target("a", self.prefill.at, "reads").replace("in_service", "terminating");
        list(8, false, &[old, target("c", self.other.at, "reads")])
    }
}

/// Starts a stream whose server holds the rest until the test releases it.
fn begin_stream(site: &Site) -> TcpStream {
    site.decode.is_holding.store(true, Ordering::SeqCst);
    let mut stream = site.dispatcher.connect();
    stream
        .write_all(request("held", "Connection: close\r\n").as_bytes())
        .expect("asked");
    let head = head(&mut stream, SOON);
    assert!(head.starts_with("HTTP/1.1 200"), "{head:?}");
    stream
}

fn assert_works_when_full(name: &str, outage: Outage, limit: usize, program: fn(&Path) -> Command) {
    let site = site(name, outage, program);
    let pid = site.dispatcher.child.id();
    let held = begin_stream(&site);
    let crowd = idle(site.dispatcher.listen, IDLE_CLIENTS);
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

    // A response in flight is delivered while no descriptor is free.
    site.decode.is_holding.store(false, Ordering::SeqCst);
    assert!(
        rest_of(held).ends_with("data: 2\n\n\r\n0\r\n\r\n"),
        "{name}: the stream in hand"
    );
    // Connections to servers still get descriptors.
    site.dispatcher.assert_served("one");
    assert_eq!(site.other.asked.load(Ordering::SeqCst), 0);

    // A silent discovery call times out and is repeated while no descriptor is free. Discovery recovers just after the repeated
    // call, which therefore gets no response either.
    let by = Instant::now() + SOON;
    while outage == Outage::Silent && site.discovery.calls.load(Ordering::SeqCst) < 2 {
        assert!(Instant::now() < by, "{name}: the watch is not begun anew");
        thread::sleep(Duration::from_millis(10));
    }
    let after = time_until_updated(&site);
    let stayed = open(&crowd);
    assert!(
        stayed > 0 && descriptors(pid) <= limit,
        "{name}: {stayed} are left"
    );
    assert!(
        after <= MAX_UPDATE_DELAY,
        "{name}: acted on after {after:?}"
    );
    println!("{name}: {kept} idle clients stayed; acted on after {after:?}");
    let before = site.prefill.asked.load(Ordering::SeqCst);
    (0..5).for_each(|i| site.dispatcher.assert_served(&format!("after{i}")));
    assert_eq!(
        site.prefill.asked.load(Ordering::SeqCst),
        before,
        "{name}: what drains gets nothing new"
    );
    drop(crowd);
}

/// Ends the outage of discovery and returns the time until the drain is applied; no client has to disconnect for this.
fn time_until_updated(site: &Site) -> Duration {
    let since = Instant::now();
    site.discovery.recover(&site.drains());
    let mut i = 0;
    while site.other.asked.load(Ordering::SeqCst) == 0 && since.elapsed() < 3 * MAX_UPDATE_DELAY {
        i += 1;
        site.dispatcher.assert_served(&format!("poll{i}"));
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
fn full_with_configured_descriptors_and_discovery_refusing() {
    assert_works_when_full("fill-closed", Outage::Closed, 256, limited::<256>);
}

#[test]
fn full_with_configured_descriptors_and_discovery_silent() {
    assert_works_when_full("fill-silent", Outage::Silent, 256, limited::<256>);
}

#[test]
fn full_with_half_the_configured_descriptors() {
    assert_works_when_full("fill-half", Outage::Closed, 128, limited::<128>);
}

#[test]
fn full_with_far_fewer_descriptors_and_discovery_silent() {
    assert_works_when_full("fill-few", Outage::Silent, 48, limited::<48>);
}

#[test]
fn idle_clients_are_closed_for_servers_and_the_watch_when_the_limit_drops() {
    let site = site("taken", Outage::Closed, limited::<256>);
    let pid = site.dispatcher.child.id();
    let held = begin_stream(&site);
    let mut crowd = idle(site.dispatcher.listen, 100);
    assert_eq!(open(&crowd), 100);
    // From here on no descriptor is free.
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
    site.decode.is_holding.store(false, Ordering::SeqCst);
    assert!(
        rest_of(held).ends_with("data: 2\n\n\r\n0\r\n\r\n"),
        "the stream in hand"
    );

    // A client that is connected already causes new connections to both servers.
    let asking = crowd.last_mut().expect("a client");
    asking
        .write_all(request("kept", "").as_bytes())
        .expect("asked");
    let received = head(asking, SOON);
    assert!(received.starts_with("HTTP/1.1 200"), "{received:?}");
    // New clients and the watch of discovery need descriptors too.
    site.dispatcher.assert_served("new");
    let after = time_until_updated(&site);
    assert!(after <= MAX_UPDATE_DELAY, "acted on after {after:?}");
    println!(
        "taken: {} idle clients stayed; acted on after {after:?}",
        open(&crowd)
    );
}

#[test]
fn restart_becomes_ready_while_the_old_clients_stay_connected() {
    for signal in [Signal::TERM, Signal::KILL] {
        let name = if signal == Signal::TERM {
            "again-term"
        } else {
            "again-kill"
        };
        let mut site = site(name, Outage::Silent, limited::<256>);
        let held = begin_stream(&site);
        let crowd = idle(site.dispatcher.listen, IDLE_CLIENTS);
        let since = Instant::now();
        site.dispatcher.signal(signal);
        // Restart at once: after SIGTERM the previous process still listens and has a stream in flight.
        let next = limited::<256>(&site.dispatcher.file)
            .spawn()
            .expect("the program");
        let mut before = std::mem::replace(&mut site.dispatcher.child, next);
        site.decode.is_holding.store(false, Ordering::SeqCst);
        // Wait for the previous process to exit; it answers as long as it listens.
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
        let more = idle(site.dispatcher.listen, IDLE_CLIENTS);
        site.discovery.recover(&site.drains());
        site.dispatcher.wait_until_served("front", "again", SOON);
        site.dispatcher.assert_served("again");
        drop((held, crowd, more));
    }
}

/// Maximum time to first token of regular clients during a flood of connections. On an idle machine a tenth of the class's
/// latency objective would do; this allows for two loaded cores and a flood from the same machine.
const FIRST_TOKEN: Duration = Duration::from_millis(1500);
/// Maximum memory during a flood of connections, in MB: 2 for the process, and 20 KB of unprocessed input for each of 118
/// clients, with as much again for what the allocator retains. The limit of the smallest dispatcher is 32 MB.
const MEMORY_MB: f64 = 7.0;

#[test]
fn connection_flood_delays_no_client_and_memory_is_bounded() {
    let site = site("flood", Outage::Silent, limited::<256>);
    let to = site.dispatcher.listen;
    let until = Instant::now() + Duration::from_secs(5);
    let flood = move |kind| {
        move || {
            let (mut crowd, mut came) = (std::collections::VecDeque::new(), 0usize);
            while Instant::now() < until {
                came += 1;
                // The system has a limited number of ports per address.
                thread::sleep(Duration::from_millis(2));
                if let Ok(stream) = join(to, kind, &format!("{kind:?}{came}")) {
                    crowd.push_back(stream);
                }
                // Old connections are closed, so that the test process stays within its own descriptor limit.
                if crowd.len() > 100 {
                    crowd.pop_front();
                }
            }
            came
        }
    };
    let floods: Vec<_> = [ClientKind::Silent, ClientKind::Half, ClientKind::Idle]
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

/// Maximum memory with many half requests, in MB: an eighth of the configured 64 MB, twice that because buffers grow ahead of
/// their content, and the process itself.
const MAX_HALF_REQUESTS_MB: f64 = 20.0;

#[test]
fn many_half_requests_keep_memory_within_its_limit() {
    let site = site("halves", Outage::Silent, limited::<256>);
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
        // The dispatcher may reject the request while its body is being written.
        let _ = stream.write_all(&body);
        Some(stream)
    };
    let crowd: Vec<TcpStream> = (0..110).filter_map(ask).collect();
    // The program may still be reading buffered data: wait until its memory no longer grows.
    let (mut peak, mut grown) = (memory_mb(pid), Instant::now());
    while grown.elapsed() < Duration::from_secs(1) {
        let now = memory_mb(pid);
        if now > peak {
            (peak, grown) = (now, Instant::now());
        }
        thread::sleep(Duration::from_millis(10));
    }
    println!("{} half requests of 250 KiB: {peak:.1} MB", crowd.len());
    assert!(peak < MAX_HALF_REQUESTS_MB, "{peak} MB");
    drop(crowd);
    site.dispatcher.assert_served("good");
}
