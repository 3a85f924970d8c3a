//! The program on loopback: no attempt begins for a client that has gone, whatever is ready in the same moment.
//!
//! The moment is made by stopping the process: what hosts and clients do meanwhile is all ready when it goes on. The
//! verdict is taken once a request asked after that has been served: what was ready before has been acted on by then.
#[path = "common/bench.rs"]
mod bench;
mod common;
#[path = "common/gated.rs"]
mod gated;

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bench::*;
use common::*;
use gated::*;
use rustix::net::sockopt::set_socket_linger;
use rustix::process::Signal;

/// Waits until the ends of these clients have come to the dispatcher's side of their connections.
fn ends_have_come(dispatcher: &Dispatcher, ports: &[u16]) {
    let own = in_table(dispatcher.listen);
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

/// The system's connections, and states of them in it.
const TABLE: &str = "/proc/self/net/tcp";
const ESTABLISHED: &str = "01";
const DIALLED: &str = "02";

/// An address as the table writes it. Dispatchers of other tests have the same port.
fn in_table(address: SocketAddr) -> String {
    let SocketAddr::V4(v4) = address else {
        panic!("{address} is no address over IPv4")
    };
    format!(
        "{:08X}:{:04X}",
        u32::from_ne_bytes(v4.ip().octets()),
        v4.port()
    )
}

/// How a client goes.
#[derive(Clone, Copy, Debug)]
enum Way {
    Close,
    Reset,
    /// It ends its sending alone.
    HalfClose,
    /// More requests stand unread before its end.
    SentAhead,
}

const WAYS: [Way; 4] = [Way::Close, Way::Reset, Way::HalfClose, Way::SentAhead];

impl Way {
    /// All go, and it is known at the dispatcher's side; what is given back has to be kept until the verdict.
    fn all_go(self, bench: &Bench, clients: Vec<TcpStream>) -> Vec<TcpStream> {
        let ports: Vec<u16> = clients
            .iter()
            .map(|c| c.local_addr().expect("an address").port())
            .collect();
        let kept = clients.into_iter().filter_map(|c| self.go(c)).collect();
        ends_have_come(&bench.dispatcher, &ports);
        kept
    }

    fn go(self, mut client: TcpStream) -> Option<TcpStream> {
        match self {
            Way::Close => {}
            Way::Reset => set_socket_linger(&client, Some(Duration::ZERO)).expect("an option"),
            Way::HalfClose => {
                client.shutdown(Shutdown::Write).expect("its sending ends");
                return Some(client);
            }
            Way::SentAhead => {
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
fn gone_between_reader_and_writer() {
    let bench = Bench::start("gone-between", 1, &[PATIENT]);
    for (i, way) in WAYS.into_iter().enumerate() {
        let id = format!("between-{i}");
        let client = bench.ask(&id);
        bench.hosts.wait(What::Post, &id, 1);
        bench.stop();
        bench.hosts.let_go(&id, READ);
        let kept = way.all_go(&bench, vec![client]);
        bench.go_on();
        bench.hosts.wait(What::Delete, &id, 1);
        bench.settled();
        assert_eq!(
            bench.hosts.count(What::Post, &id),
            1,
            "{way:?}: no writer is asked"
        );
        drop(kept);
    }
    assert!(
        !bench.hosts.posts().iter().any(|id| id.starts_with("ahead")),
        "nor for what was sent ahead"
    );
}

#[test]
fn gone_before_a_second_attempt() {
    let bench = Bench::start("gone-second", 2, &[PATIENT]);
    for (i, way) in WAYS.into_iter().enumerate() {
        for (answer, name) in [(DECLINED, "declined"), (FAILED, "failed")] {
            let id = format!("second-{i}-{name}");
            let client = bench.ask(&id);
            bench.hosts.wait(What::Post, &id, 1);
            bench.stop();
            bench.hosts.let_go(&id, answer);
            let kept = way.all_go(&bench, vec![client]);
            bench.go_on();
            bench.settled();
            assert_eq!(
                bench.hosts.count(What::Post, &id),
                1,
                "{way:?}, {name}: no second reader"
            );
            drop(kept);
        }
        let id = format!("writer-{i}");
        let client = bench.ask(&id);
        bench.hosts.wait(What::Post, &id, 1);
        bench.hosts.let_go(&id, READ);
        bench.hosts.wait(What::Post, &id, 2);
        bench.stop();
        bench.hosts.let_go(&id, DECLINED);
        let kept = way.all_go(&bench, vec![client]);
        bench.go_on();
        bench.hosts.wait(What::Delete, &id, 1);
        bench.settled();
        assert_eq!(
            bench.hosts.count(What::Post, &id),
            2,
            "{way:?}: no second writer"
        );
        drop(kept);
    }
}

/// More stands ahead of its end than the system keeps for a connection that is not read.
#[test]
fn gone_behind_much_that_was_sent_ahead() {
    let bench = Bench::start("gone-much", 1, &[PATIENT]);
    let mut client = bench.dispatcher.connect();
    let long = request("much", "").replace("Deadline-Ms: 20000", "Deadline-Ms: 90000");
    client.write_all(long.as_bytes()).expect("asked");
    bench.hosts.wait(What::Post, "much", 1);
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
    bench.hosts.wait(What::Ended, "much", 1);
    bench.hosts.wait(What::Delete, "much", 1);
    bench.settled();
    assert_eq!(bench.hosts.count(What::Post, "much"), 1);
    assert_eq!(bench.hosts.count(What::Post, "ahead"), 0);
}

/// One that sends on until it is read no further, and then resets its connection: the end is told all the same.
#[test]
fn gone_while_it_is_not_read() {
    let bench = Bench::start("gone-paused", 1, &[PATIENT]);
    let mut client = bench.ask("paused");
    bench.hosts.wait(What::Post, "paused", 1);
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
    Way::Reset.all_go(&bench, vec![client]);
    bench.hosts.wait(What::Ended, "paused", 1);
    bench.hosts.wait(What::Delete, "paused", 1);
    bench.settled();
    assert_eq!(bench.hosts.count(What::Post, "paused"), 1);
}

#[test]
fn a_crowd_that_asks_and_goes_while_the_process_is_busy() {
    let bench = Bench::start("gone-crowd", 1, &[PATIENT]);
    for way in [Way::Close, Way::Reset, Way::HalfClose] {
        bench.stop();
        let clients = (0..100).map(|i| bench.ask(&format!("crowd-{i}"))).collect();
        let kept = way.all_go(&bench, clients);
        bench.go_on();
        bench.settled();
        let sent: Vec<String> = bench
            .hosts
            .posts()
            .into_iter()
            .filter(|id| id.starts_with("crowd"))
            .collect();
        assert!(sent.is_empty(), "{way:?}: {sent:?}");
        drop(kept);
    }
    // A connection that is taken already, and asks and goes on it.
    let kept: Vec<TcpStream> = (0..100).map(|_| bench.dispatcher.connect()).collect();
    bench.settled();
    bench.stop();
    for (i, mut client) in kept.iter().enumerate() {
        // On a busy machine it may have been sent away for its silence by now.
        let _ = client.write_all(request(&format!("crowd-{i}"), "").as_bytes());
    }
    Way::Close.all_go(&bench, kept);
    bench.go_on();
    bench.settled();
    let sent: Vec<String> = bench
        .hosts
        .posts()
        .into_iter()
        .filter(|id| id.starts_with("crowd"))
        .collect();
    assert!(sent.is_empty(), "{sent:?}");
}

/// Its wait for a place is over at the very moment in which its end is known.
#[test]
fn gone_while_probes_are_out() {
    let probing = [
        (r#""cancel":true"#, r#""cancel":true,"probing":true"#),
        PATIENT,
    ];
    let bench = Bench::start("gone-probes", 2, &probing);
    let mut in_time = 0;
    for i in 0..40 {
        bench.hosts.hold_probes(true);
        let id = format!("probes-{i}");
        let probes = bench.hosts.count(What::Probe, "");
        let client = bench.ask(&id);
        // Probes go out for it, or it is sent at once where others' are fresh enough.
        let until = Instant::now() + SOON;
        while bench.hosts.count(What::Probe, "") == probes
            && bench.hosts.count(What::Post, &id) == 0
        {
            assert!(Instant::now() < until, "neither a probe nor a request");
            std::thread::yield_now();
        }
        bench.stop();
        // The probes' answers, the end of the wait for them and the client's end come together.
        bench.hosts.hold_probes(false);
        std::thread::sleep(Duration::from_millis(20));
        let before = bench.hosts.count(What::Post, &id);
        Way::Close.all_go(&bench, vec![client]);
        bench.go_on();
        bench.settled();
        assert_eq!(
            bench.hosts.count(What::Post, &id),
            before,
            "nothing is sent after it has gone"
        );
        in_time += usize::from(before == 0);
        if in_time == 3 {
            return;
        }
        // The next one asks for probes once what is known is no longer fresh.
        std::thread::sleep(Duration::from_millis(550));
    }
    assert!(in_time > 0, "it was never stopped in time");
}

/// Connections that are being dialled to an address.
fn dialled(to: SocketAddr) -> usize {
    let text = std::fs::read_to_string(TABLE).expect("the table");
    let to = in_table(to);
    let rows = text
        .lines()
        .skip(1)
        .map(|l| l.split_whitespace().collect::<Vec<_>>());
    rows.filter(|r| r.get(2).is_some_and(|a| *a == to) && r.get(3) == Some(&DIALLED))
        .count()
}

#[test]
fn gone_while_the_connection_to_a_host_comes_up() {
    for cancel in ["true", "false"] {
        let hosts = Gated::default();
        let (listener, fill) = full_listener();
        let to = listener.local_addr().expect("an address");
        let targets = [
            target("h0", to, "reads"),
            target("h1", hosts.host(1, false), "writes"),
        ];
        let cancels = format!(r#""cancel":{cancel}"#);
        let changes = [
            (r#""cancel":true"#, cancels.as_str()),
            (r#""connectTimeoutS":1.0"#, r#""connectTimeoutS":30.0"#),
            PATIENT,
        ];
        let bench = Bench::with(&format!("gone-up-{cancel}"), hosts, &targets, &changes);
        let client = bench.ask("up");
        let wait = |many: usize| {
            let until = Instant::now() + Duration::from_secs(10);
            while dialled(to) != many {
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
        // The host takes connections again; the one that was on its way does not come.
        bench.hosts.serve(listener, 0, true);
        drop(fill);
        bench.settled();
        assert_eq!(bench.hosts.count(What::Post, "up"), 0, "cancel {cancel}");
    }
}

/// More answers end at once than connections may wait to be seen to their end, and each has a byte unread: a close
/// over it would reset the connection and take what the client has not got of its answer yet.
#[test]
fn an_answer_is_not_lost_to_a_close_over_unread_bytes() {
    let bench = Bench::start("gone-unread", 1, &[PATIENT]);
    let event = format!("data: {}\n\n", "x".repeat(992));
    let stream = format!("{STREAM_HEAD}{}{LAST_CHUNK}", chunk(&event).repeat(50));
    let ids: Vec<String> = (0..30).map(|i| format!("unread-{i}")).collect();
    let ask = |id: &String| {
        let mut client = narrow_client(bench.dispatcher.listen);
        client
            .write_all(request(id, "Connection: close\r\n").as_bytes())
            .expect("asked");
        bench.hosts.wait(What::Post, id, 1);
        bench.hosts.let_go(id, READ);
        bench.hosts.wait(What::Post, id, 2);
        client
    };
    let mut clients: Vec<TcpStream> = ids.iter().map(ask).collect();
    bench.stop();
    ids.iter().for_each(|id| bench.hosts.let_go(id, &stream));
    clients
        .iter_mut()
        .for_each(|c| c.write_all(b"x").expect("a byte"));
    bench.go_on();
    bench.settled();
    for (id, client) in ids.iter().zip(clients) {
        let said = rest(client);
        assert_eq!(
            said.matches(&event).count(),
            50,
            "{id}: {} bytes",
            said.len()
        );
        assert!(said.ends_with("0\r\n\r\n"), "{id}");
    }
}

/// A request that comes as the process is told to stop is whole and answered, or never sent on.
#[test]
fn a_request_read_as_the_process_stops_is_answered_or_never_taken() {
    for after_s in [0.0, 0.5, 0.56, 0.7] {
        let mut bench = Bench::start(&format!("gone-term-{after_s}"), 2, &[]);
        let mut clients: Vec<TcpStream> = (0..20).map(|_| bench.dispatcher.connect()).collect();
        for (i, client) in clients.iter().enumerate() {
            let mut client = client;
            client
                .write_all(request(&format!("{AT_ONCE}first-{i}"), "").as_bytes())
                .expect("asked");
        }
        for client in &mut clients {
            assert!(answer(client).ends_with(LAST_CHUNK), "a whole stream");
        }
        bench.dispatcher.signal(Signal::TERM);
        std::thread::sleep(Duration::from_secs_f64(after_s));
        for (i, client) in clients.iter().enumerate() {
            let mut client = client;
            // It may be closed by now.
            let _ = client.write_all(request(&format!("{AT_ONCE}last-{i}"), "").as_bytes());
        }
        let said: Vec<String> = clients.into_iter().map(rest).collect();
        assert_eq!(bench.dispatcher.ended().and_then(|s| s.code()), Some(0));
        for (i, said) in said.iter().enumerate() {
            let sent = bench.hosts.count(What::Post, &format!("{AT_ONCE}last-{i}"));
            let whole = said.starts_with("HTTP/1.1 200") && said.ends_with("0\r\n\r\n");
            assert!(
                whole && sent == 2 || said.is_empty() && sent == 0,
                "{after_s} s, {sent} sent: {said:?}"
            );
        }
    }
}
