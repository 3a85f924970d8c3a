//! Checks a process that is started while discovery does not answer: it counts as notified of all that its predecessor was, so
//! it may not use the list of its configuration, and it has to be ready in time all the same.
mod common;
#[path = "common/crowd.rs"]
mod crowd;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use crowd::{head, ready_after, CountingServer, Discovery, Outage};
use rustix::process::Signal;

/// A restarted process has to be ready within this time.
const READY_AGAIN: Duration = Duration::from_secs(6);
/// Time to first byte of an answer: the class's deadline and the half second after it in which an answer is not lost.
const ANSWER: Duration = Duration::from_millis(6500);
/// Longest time to ready while discovery answers; less than the interval of its empty lines.
const READY_AT_ONCE: Duration = Duration::from_secs(1);

/// What the killed process had been notified of about one server of each role.
#[derive(Clone, Copy, Debug)]
enum Change {
    Drains,
    IsGone,
    /// The server's name is listed with another address.
    Moves,
}

/// A dispatcher with two servers of each role, whose list has changed since its configuration was written.
struct Site {
    /// Servers that may get nothing after the change.
    changed: [CountingServer; 2],
    others: [CountingServer; 2],
    discovery: Discovery,
    dispatcher: Dispatcher,
    /// Line of discovery with the change.
    line: String,
}

impl Site {
    /// Starts the dispatcher and, once the change has been applied, kills and restarts it in an outage.
    fn restarted(name: &str, change: Change, outage: Outage) -> Site {
        let changed = [crowd::server(true), crowd::server(false)];
        let others = [crowd::server(true), crowd::server(false)];
        let entry = |i: usize, at: SocketAddr, uid: &str| target(uid, at, ["reads", "writes"][i]);
        let known = [
            entry(0, changed[0].at, "a"),
            entry(1, changed[1].at, "b"),
            entry(0, others[0].at, "c"),
            entry(1, others[1].at, "d"),
        ];
        let told: Vec<String> = (0..2)
            .map(|i| match change {
                Change::Drains => known[i].replace("in_service", "terminating"),
                Change::IsGone => known[i].replace("in_service", "terminated"),
                Change::Moves => entry(i, others[i].at, ["a", "b"][i]),
            })
            .collect();
        let line = list(8, false, &told);
        let (listen, discovery) = (reserved_address(), Discovery::with_outage(outage));
        let text = configuration_with(listen, discovery.at, &known);
        let mut site = Site {
            dispatcher: Dispatcher::start_with(name, listen, text, program),
            changed,
            others,
            discovery,
            line,
        };
        site.dispatcher.assert_served("before");
        site.discovery.tell(&site.line);
        site.assert_unchanged_servers_serve();
        site.discovery.begin_outage();
        site.dispatcher.signal(Signal::KILL);
        site.start_again();
        site
    }

    fn start_again(&mut self) {
        self.dispatcher.replace_process(program);
        let by = Instant::now() + SOON;
        while TcpStream::connect(self.dispatcher.listen).is_err() {
            assert!(Instant::now() < by, "it does not listen");
        }
    }

    fn asked_of_changed(&self) -> usize {
        asked_of(&self.changed)
    }

    /// Waits until the change has been applied, and checks that it stays so.
    fn assert_unchanged_servers_serve(&self) {
        static SENT: AtomicUsize = AtomicUsize::new(0);
        let mut served_by_others = 0;
        let by = Instant::now() + SOON;
        while served_by_others < 8 {
            assert!(
                Instant::now() < by,
                "{served_by_others} requests avoid the changed servers"
            );
            let before = self.asked_of_changed();
            let id = SENT.fetch_add(1, Ordering::SeqCst).to_string();
            let is_served = self.dispatcher.status("after", &id) == Some(200);
            let avoids = is_served && self.asked_of_changed() == before;
            served_by_others = if avoids { served_by_others + 1 } else { 0 };
        }
    }
}

/// Requests that these servers have received.
fn asked_of(servers: &[CountingServer]) -> usize {
    let asked = |server: &CountingServer| server.asked.load(Ordering::SeqCst);
    servers.iter().map(asked).sum()
}

/// Sends a request on a new connection, and gives the dispatcher time to read it.
fn ask_and_wait(dispatcher: &Dispatcher, id: &str) -> TcpStream {
    let mut client = dispatcher.connect();
    client.write_all(request(id, "").as_bytes()).expect("asked");
    thread::sleep(Duration::from_millis(100));
    client
}

/// A process that was killed and started again in an outage of discovery was ready at once on the strength of the list in its
/// configuration, and sent to servers whose drain its predecessor had been notified of.
#[test]
fn process_started_in_an_outage_sends_nothing_by_the_list_of_its_configuration() {
    let table = [
        (Change::Drains, Outage::Silent),
        (Change::Drains, Outage::Closed),
        (Change::Drains, Outage::HeadOnly),
        (Change::Drains, Outage::HalfLine),
        (Change::Drains, Outage::Unreadable),
        (Change::IsGone, Outage::Silent),
        (Change::Moves, Outage::Silent),
    ];
    let play = |(change, outage): (Change, Outage)| {
        let name = format!("start-{change:?}-{outage:?}");
        let site = Site::restarted(&name, change, outage);
        let (since, before) = (Instant::now(), site.asked_of_changed());
        // Requests reach the process before it is ready, too.
        let early = site.dispatcher.status("early", "1");
        let ready = ready_after(site.dispatcher.listen, since, READY_AGAIN);
        let late: Vec<_> = (0..3)
            .map(|i| site.dispatcher.status("late", &i.to_string()))
            .collect();
        assert_eq!(
            site.asked_of_changed(),
            before,
            "{name}: sent by an old list"
        );
        assert_eq!(early, Some(503), "{name}");
        assert!(ready.is_some(), "{name}: not ready within {READY_AGAIN:?}");
        assert_eq!(late, [Some(503); 3], "{name}");
        site.discovery.recover(&site.line);
        site.assert_unchanged_servers_serve();
        assert_eq!(site.asked_of_changed(), before, "{name}: after the outage");
        println!("{name}: ready after {ready:?}");
    };
    let played = table.map(|row| (row, thread::spawn(move || play(row))));
    let failed = played
        .into_iter()
        .filter_map(|(row, played)| played.join().err().map(|_| row));
    let failed: Vec<_> = failed.collect();
    assert!(failed.is_empty(), "{failed:?}");
}

/// Guards against requests that are refused though discovery answers a moment later.
#[test]
fn request_before_the_first_list_waits_and_is_served() {
    let site = Site::restarted(
        "start-wait",
        Change::Drains,
        Outage::Slow(Duration::from_millis(300)),
    );
    assert_eq!(site.dispatcher.status("waiting", "1"), Some(200));
}

/// Guards against attempts for a client that has left while its request waited for the list.
#[test]
fn request_whose_client_leaves_before_the_first_list_is_not_sent() {
    let site = Site::restarted(
        "start-leave",
        Change::Drains,
        Outage::Slow(Duration::from_millis(500)),
    );
    let asked = || asked_of(&site.others) + site.asked_of_changed();
    let before = asked();
    let client = ask_and_wait(&site.dispatcher, "leaves");
    drop(client);
    assert!(ready_after(site.dispatcher.listen, Instant::now(), SOON).is_some());
    thread::sleep(Duration::from_millis(200));
    assert_eq!(asked(), before);
}

/// Guards against a stop that loses a request which waits for the list.
#[test]
fn stop_before_the_first_list_answers_what_waits() {
    let mut site = Site::restarted("start-stop", Change::Drains, Outage::Silent);
    let mut client = ask_and_wait(&site.dispatcher, "waits");
    site.dispatcher.signal(Signal::TERM);
    assert!(head(&mut client, ANSWER).starts_with("HTTP/1.1 503"));
    assert_eq!(
        site.dispatcher.exit_status().and_then(|s| s.code()),
        Some(0)
    );
}

/// Guards against a new address of discovery that is not asked for the whole list.
#[test]
fn new_address_of_discovery_before_the_first_list_ends_the_wait() {
    let site = Site::restarted("start-moved", Change::Drains, Outage::Silent);
    let moved = Discovery::with_outage(Outage::Silent);
    moved.tell(&site.line);
    let (old, new) = (site.discovery.at.to_string(), moved.at.to_string());
    std::fs::write(
        &site.dispatcher.file,
        site.dispatcher.text.replace(&old, &new),
    )
    .expect("the new file");
    let since = Instant::now();
    site.dispatcher.signal(Signal::HUP);
    let ready = ready_after(site.dispatcher.listen, since, Duration::from_secs(4));
    assert!(
        ready.is_some(),
        "discovery's new address counts 4 s after the signal"
    );
    let before = site.asked_of_changed();
    site.assert_unchanged_servers_serve();
    assert_eq!(site.asked_of_changed(), before);
}

/// A process that was stopped for a while read the end of a prefill before a drain that had come meanwhile, and sent the state to
/// a server that drains.
#[test]
fn drain_that_came_while_the_process_was_stopped_is_read_before_ends_of_prefills() {
    const REQUESTS: usize = 8;
    let prefill = crowd::server(true);
    let drained: Vec<CountingServer> = (0..3).map(|_| crowd::server(false)).collect();
    let mut known = vec![
        target("a", prefill.at, "reads"),
        target("d", crowd::server(false).at, "writes"),
    ];
    let drained_entry =
        |(i, server): (usize, &CountingServer)| target(&format!("b{i}"), server.at, "writes");
    known.extend(drained.iter().enumerate().map(drained_entry));
    let (listen, discovery) = (reserved_address(), Discovery::with_outage(Outage::Silent));
    let text = configuration_with(listen, discovery.at, &known);
    let dispatcher = Dispatcher::start_with("start-stopped", listen, text, program);
    let ask = |name: &str| -> Vec<TcpStream> {
        let one = |i| {
            let mut client = dispatcher.connect();
            let text = request(&format!("{name}{i}"), "Connection: close\r\n");
            client.write_all(text.as_bytes()).expect("asked");
            client
        };
        (0..REQUESTS).map(one).collect()
    };
    // Connections to all servers are kept, so that the next attempts are written at once.
    for mut client in ask("first") {
        let mut answer = String::new();
        client.read_to_string(&mut answer).expect("an answer");
    }
    let kept = asked_of(&drained);
    prefill.is_holding.store(true, Ordering::SeqCst);
    let before = prefill.asked.load(Ordering::SeqCst);
    let mut clients = ask("stopped");
    let by = Instant::now() + SOON;
    while prefill.asked.load(Ordering::SeqCst) < before + REQUESTS {
        assert!(Instant::now() < by, "not all requests are prefilled");
        thread::sleep(Duration::from_millis(2));
    }
    dispatcher.signal(Signal::STOP);
    prefill.is_holding.store(false, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(200));
    let told: Vec<String> = drained
        .iter()
        .enumerate()
        .map(|server| drained_entry(server).replace("in_service", "terminating"))
        .collect();
    discovery.tell(&list(8, false, &told));
    thread::sleep(Duration::from_millis(500));
    dispatcher.signal(Signal::CONT);
    let answers: Vec<String> = clients
        .iter_mut()
        .map(|client| head(client, ANSWER))
        .collect();
    assert_eq!(asked_of(&drained) - kept, 0, "sent to servers that drain");
    let served = answers
        .iter()
        .filter(|answer| answer.starts_with("HTTP/1.1 200"))
        .count();
    assert_eq!(served, REQUESTS, "{answers:?}");
}

/// An agent that sends its list at once if it is newer than the caller's, and otherwise an empty line each 2 s only.
fn agent(version: u64, targets: &[String]) -> SocketAddr {
    let whole = list(version, true, targets);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let whole = whole.clone();
            thread::spawn(move || -> Option<()> {
                let mut to = stream.try_clone().ok()?;
                let (call, _) = message(&mut BufReader::new(stream))?;
                to.write_all(STREAM_HEAD.as_bytes()).ok()?;
                let from = call
                    .split("from=")
                    .nth(1)?
                    .split(' ')
                    .next()?
                    .parse::<u64>()
                    .ok()?;
                if from < version {
                    to.write_all(chunk(&format!("{whole}\n")).as_bytes()).ok()?;
                }
                loop {
                    thread::sleep(Duration::from_secs(2));
                    to.write_all(chunk("\n").as_bytes()).ok()?;
                }
            });
        }
    });
    at
}

/// Guards against planned restarts that wait for discovery's next line though nothing has changed.
#[test]
fn process_is_ready_at_once_while_discovery_answers() {
    for version in [7, 8] {
        let known = [
            target("a", server(true), "reads"),
            target("b", server(false), "writes"),
        ];
        let listen = reserved_address();
        let text = configuration_with(listen, agent(version, &known), &known);
        let since = Instant::now();
        let dispatcher =
            Dispatcher::start_with(&format!("start-roll{version}"), listen, text, program);
        let took = since.elapsed();
        println!("version {version}: ready after {took:?}");
        assert!(
            took < READY_AT_ONCE,
            "version {version}: ready after {took:?}"
        );
        dispatcher.assert_served("one");
    }
}
