//! Two events that cross at the program's sockets, in the order that can go wrong, forced each time: the process is
//! stopped while both become ready, in that order, and then goes on.
#[path = "common/bench.rs"]
mod bench;
mod common;
#[path = "common/crowd.rs"]
mod crowd;
#[path = "common/gated.rs"]
mod gated;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use bench::*;
use common::*;
use crowd::{descriptors, first_free};
use gated::*;
use rustix::net::sockopt::set_socket_send_buffer_size;
use rustix::process::{prlimit, Pid, Resource, Rlimit, Signal};

const READER: usize = 0;
const WRITER: usize = 1;
/// Longer than a connection rests before it is used again.
const RESTED: Duration = Duration::from_millis(100);

/// The events of a stream that no host made for the request at hand.
const STALE_STREAM: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 0\n\n\r\n0\r\n\r\n";

/// Rounds of one request each, in which this happens to the writer's kept connection just as the read ends that goes on
/// there: each request is answered by its own stream, on another connection, and asked once at each stage.
fn as_the_read_ends(bench: &Bench, happens: impl Fn(&Gated)) {
    for round in 0..5 {
        let id = format!("round-{round}");
        std::thread::sleep(RESTED);
        let mut client = bench.ask(&id);
        bench.hosts.wait(What::Post, &id, 1);
        bench.stop();
        bench.hosts.let_go(&id, READ);
        happens(&bench.hosts);
        bench.go_on();
        bench.hosts.wait(What::Post, &id, 2);
        bench.hosts.let_go(&id, STREAM);
        let said = answer(&mut client);
        assert!(said.starts_with("HTTP/1.1 200"), "{said}");
        assert!(
            !said.contains("data: 0"),
            "another request's answer: {said}"
        );
        assert!(
            said.contains("data: 1") && said.contains("data: 2"),
            "{said}"
        );
        assert_eq!(bench.hosts.asked(&id), [READER, WRITER]);
        bench.settled();
    }
}

/// A late second answer waits on the connection.
#[test]
fn what_waits_on_a_kept_connection_is_not_the_next_requests_answer() {
    let bench = Bench::start("crossing-late-answer", 1, &[PATIENT]);
    as_the_read_ends(&bench, |hosts| hosts.say(WRITER, STALE_STREAM));
}

/// The writer closes the connection: a class that must not run twice does not lose its only attempt.
#[test]
fn a_kept_connection_that_its_host_has_closed_costs_no_attempt() {
    let unsafe_class = (r#""effect":"free""#, r#""effect":"single_shot""#);
    let bench = Bench::start("crossing-closed", 1, &[PATIENT, unsafe_class]);
    as_the_read_ends(&bench, |hosts| hosts.hang_up(WRITER));
}

/// The prefill server answers while the process is held up, and the attempt's time is over before it goes on.
#[test]
fn an_answer_counts_that_stands_unread_at_its_time_out() {
    let no_cancel = (r#""cancel":true"#, r#""cancel":false"#);
    for (name, changes) in [("cancel", vec![]), ("no-cancel", vec![no_cancel])] {
        // Called back, or timed out, after a second at the most.
        let changes = [changes, vec![(r#""aimS":1.5"#, r#""aimS":0.2"#)]].concat();
        let bench = Bench::start(&format!("crossing-time-out-{name}"), 1, &changes);
        // Once: what came so late is not asked again soon.
        let id = "time-out";
        let mut client = bench.ask(id);
        bench.hosts.wait(What::Post, id, 1);
        bench.stop();
        std::thread::sleep(Duration::from_millis(1500));
        bench.hosts.let_go(id, READ);
        bench.go_on();
        bench.hosts.wait(What::Post, id, 2);
        bench.hosts.let_go(id, STREAM);
        let said = answer(&mut client);
        assert!(
            said.starts_with("HTTP/1.1 200") && said.contains("data: 2"),
            "{name}: {said}"
        );
        assert_eq!(bench.hosts.asked(id), [READER, WRITER], "{name}: read once");
    }
}

/// More clients than are accepted in one turn wait in the accept queue, with requests written, when listening ends.
#[test]
fn requests_in_the_accept_queue_are_answered_as_listening_ends() {
    let mut bench = Bench::start("crossing-queue", 1, &[]);
    bench.dispatcher.signal(Signal::TERM);
    // It takes connections for 0.55 s from here on; the process is held up beyond that.
    std::thread::sleep(Duration::from_millis(200));
    bench.stop();
    let clients: Vec<TcpStream> = (0..150)
        .map(|i| bench.ask(&format!("{AT_ONCE}queue-{i}")))
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    bench.go_on();
    for (i, client) in clients.into_iter().enumerate() {
        let said = rest(client);
        let answered = said.starts_with("HTTP/1.1 200") && said.ends_with("0\r\n\r\n");
        assert!(
            answered || said.starts_with("HTTP/1.1 503"),
            "{i}: {said:?}"
        );
    }
    assert_eq!(bench.dispatcher.ended().and_then(|s| s.code()), Some(0));
}

/// Bytes that the system takes for a client that reads nothing.
fn taken_by_the_system() -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let _client = narrow_client(listener.local_addr().expect("an address"));
    let (mut stream, _) = listener.accept().expect("the client");
    stream.set_nonblocking(true).expect("an option");
    stream.set_nodelay(true).expect("an option");
    let mut taken = 0;
    while let Ok(n) = stream.write(&[b'x'; 1024]) {
        taken += n;
    }
    taken
}

/// Clients that take nothing of answers that are somewhat larger than what the system takes for them, so that their
/// last bytes wait in the process; and those answers' lengths.
fn late_takers(bench: &Bench, more: &[usize]) -> Vec<(TcpStream, usize)> {
    let system = taken_by_the_system();
    let event = format!("data: {}\n\n", "x".repeat(992));
    let ask = |(i, more): (usize, &usize)| {
        let id = format!("taken-late-{i}");
        let mut client = narrow_client(bench.dispatcher.listen);
        client
            .write_all(request(&id, "Connection: close\r\n").as_bytes())
            .expect("asked");
        bench.hosts.wait(What::Post, &id, 1);
        bench.hosts.let_go(&id, READ);
        bench.hosts.wait(What::Post, &id, 2);
        let many = (system + more) / event.len();
        let chunks = chunk(&event).repeat(many);
        bench
            .hosts
            .let_go(&id, &format!("{STREAM_HEAD}{chunks}{LAST_CHUNK}"));
        (client, many)
    };
    let clients = more.iter().enumerate().map(ask).collect();
    bench.settled();
    clients
}

fn are_whole(clients: Vec<(TcpStream, usize)>) {
    for (client, many) in clients {
        let said = rest(client);
        let came = said.matches("data: ").count();
        assert!(
            came == many && said.ends_with("0\r\n\r\n"),
            "{came} of {many} events, {} bytes",
            said.len()
        );
    }
}

#[test]
fn an_answer_that_is_taken_late_is_whole() {
    let bench = Bench::start("crossing-taken-late", 1, &[PATIENT]);
    let clients = late_takers(&bench, &[20_000, 60_000, 100_000]);
    // Longer than a connection lingers once all of its answer has left.
    std::thread::sleep(Duration::from_millis(2300));
    are_whole(clients);
}

/// More answers wait for their clients than connections may linger whose answer has left.
#[test]
fn answers_that_many_clients_take_late_are_whole() {
    let bench = Bench::start("crossing-taken-many", 1, &[PATIENT]);
    let clients = late_takers(&bench, &[60_000; 20]);
    bench.settled();
    are_whole(clients);
}

#[test]
fn an_answer_that_is_taken_late_is_whole_though_the_process_stops() {
    let mut bench = Bench::start("crossing-taken-stop", 1, &[PATIENT]);
    let clients = late_takers(&bench, &[20_000, 60_000, 100_000]);
    bench.dispatcher.signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(1200));
    are_whole(clients);
    assert_eq!(bench.dispatcher.ended().and_then(|s| s.code()), Some(0));
}

/// Waits until the process holds so many.
fn until_descriptors(pid: u32, fits: impl Fn(usize) -> bool) {
    let until = Instant::now() + SOON;
    while !fits(descriptors(pid)) {
        assert!(Instant::now() < until, "{} descriptors", descriptors(pid));
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A connection to a host needs a descriptor that is not there: an idle client gives way, and not one whose answer has
/// not left whole.
#[test]
fn an_answer_that_has_not_left_is_not_given_up_for_a_descriptor() {
    let bench = Bench::start("crossing-descriptors", 1, &[PATIENT]);
    let pid = bench.dispatcher.child.id();
    let clients = late_takers(&bench, &[20_000, 60_000, 100_000]);
    bench.settled();
    // The next request has to dial both hosts anew.
    let before = descriptors(pid);
    bench.hosts.hang_up(READER);
    bench.hosts.hang_up(WRITER);
    until_descriptors(pid, |n| n <= before - 2);
    std::thread::sleep(Duration::from_millis(50));
    // Idle clients fill the gaps, so that each that gives way leaves a number below the limit.
    let without = descriptors(pid);
    let idle: Vec<TcpStream> = (0..20).map(|_| bench.dispatcher.connect()).collect();
    until_descriptors(pid, |n| n >= without + idle.len());
    let most = first_free(pid);
    let limit = Rlimit {
        current: Some(most),
        maximum: Some(most),
    };
    prlimit(
        Some(Pid::from_child(&bench.dispatcher.child)),
        Resource::Nofile,
        limit,
    )
    .expect("a limit");
    bench.settled();
    are_whole(clients);
    drop(idle);
}

/// SIGHUP and SIGTERM in one instant, with a request between prefill and decode: the new discovery is called, the request
/// is served, and the process ends in order.
#[test]
fn a_new_configuration_and_a_stop_in_one_instant_are_both_heeded() {
    let mut bench = Bench::start("crossing-signals", 1, &[PATIENT]);
    let mut client = bench.ask("signals");
    bench.hosts.wait(What::Post, "signals", 1);
    let (new, calls) = discovery();
    bench.stop();
    let text = bench.dispatcher.text.clone();
    let old = text
        .split(r#""discovery":""#)
        .nth(1)
        .and_then(|t| t.split('"').next())
        .expect("an address");
    std::fs::write(&bench.dispatcher.file, text.replace(old, &new.to_string()))
        .expect("the new file");
    bench.dispatcher.signal(Signal::HUP);
    bench.dispatcher.signal(Signal::TERM);
    bench.hosts.let_go("signals", READ);
    bench.go_on();
    let call = calls.recv_timeout(SOON).expect("a call at the new address");
    assert!(call.starts_with("GET /v1/endpoints?watch=1"), "{call}");
    bench.hosts.wait(What::Post, "signals", 2);
    bench.hosts.let_go("signals", STREAM);
    let said = answer(&mut client);
    assert!(
        said.starts_with("HTTP/1.1 200") && said.contains("data: 2"),
        "{said}"
    );
    assert_eq!(bench.dispatcher.ended().and_then(|s| s.code()), Some(0));
}

/// What a class allows after a reset of a request whose last byte has been written, at either stage: an unsafe one is
/// failed and sent nowhere else, a keyed one is repeated where the repeat arrives within its window.
#[test]
fn a_reset_is_followed_by_what_the_class_allows() {
    let keyed = r#""effect":"guarded","keyScope":"all","repeatWindowS":2.0"#;
    let table = [
        ("unsafe-read", r#""effect":"single_shot""#, false, 0, false),
        ("unsafe-write", r#""effect":"single_shot""#, true, 0, false),
        ("keyed-write-in-time", keyed, true, 100, true),
        ("keyed-write-too-late", keyed, true, 1300, false),
        ("safe-write", r#""effect":"free""#, true, 0, true),
    ];
    for (name, effect, at_writer, after_ms, again) in table {
        let class = (r#""effect":"free""#, effect);
        let bench = Bench::start(&format!("crossing-{name}"), 2, &[PATIENT, class]);
        let mut client = bench.ask(name);
        bench.hosts.wait(What::Post, name, 1);
        if at_writer {
            bench.hosts.let_go(name, READ);
            bench.hosts.wait(What::Post, name, 2);
        }
        let before = bench.hosts.asked(name);
        std::thread::sleep(Duration::from_millis(after_ms));
        bench.hosts.hang_up(*before.last().expect("a host"));
        if again {
            bench.hosts.wait(What::Post, name, before.len() + 1);
            bench.hosts.let_go(name, STREAM);
            let said = answer(&mut client);
            assert!(said.starts_with("HTTP/1.1 200"), "{name}: {said}");
        } else {
            let said = answer(&mut client);
            let status = if effect == keyed {
                "HTTP/1.1 503"
            } else {
                "HTTP/1.1 504"
            };
            assert!(said.starts_with(status), "{name}: {said}");
            bench.settled();
            assert_eq!(bench.hosts.asked(name), before, "{name}: sent nowhere else");
        }
    }
}

/// The connection to the host comes up a second late or more: what the host is told to have left is what is left then.
#[test]
fn the_time_passed_on_is_what_is_left_though_the_connection_came_up_late() {
    let (listener, fill) = full_listener();
    let targets = [
        target("h0", listener.local_addr().expect("an address"), "reads"),
        target("h1", own_address(), "writes"),
    ];
    let patient = (r#""connectTimeoutS":1.0"#, r#""connectTimeoutS":30.0"#);
    let bench = Bench::with(
        "crossing-deadline",
        Gated::default(),
        &targets,
        &[patient, PATIENT],
    );
    let since = Instant::now();
    let client = bench.ask("late");
    std::thread::sleep(Duration::from_millis(500));
    drop(fill);
    // The one of the dispatcher's comes up when the system dials again; the others have ended.
    let told_ms = loop {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.set_read_timeout(Some(SOON)).expect("a bound");
        let (mut said, mut bytes) = (String::new(), [0; 4096]);
        while !said.contains("\r\n\r\n") {
            let n = stream.read(&mut bytes).expect("a request or an end");
            if n == 0 {
                break;
            }
            said.push_str(&String::from_utf8_lossy(&bytes[..n]));
        }
        let field = said
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

/// Clients that may be connected at once with the limits of `FEW_PLACES`.
const PLACES: usize = 13;
const FEW_PLACES: (&str, &str) = (r#""sockets":256"#, r#""sockets":64"#);
/// More than the process reads of one connection in a turn.
const LONGER_THAN_A_TURN: usize = 180 * 1024;

/// A client that has been served once and has begun its next request: half of its head has been written.
fn half_asked(bench: &Bench, number: usize) -> TcpStream {
    let mut client = bench.ask(&format!("{AT_ONCE}before-{number}"));
    answer(&mut client);
    client
        .write_all(b"POST /v1/chat/completions HTTP/1.1\r\n")
        .expect("half a head");
    client
}

/// Every place is held by half a request when a newcomer comes; the oldest has become whole by then, but for bytes that
/// the process has not looked at in this turn. Its client is heard out, and another gives way.
#[test]
fn a_client_is_heard_out_before_it_gives_way_to_a_newcomer() {
    let bench = Bench::start("crossing-heard-out", 1, &[FEW_PLACES]);
    let mut oldest = half_asked(&bench, 0);
    set_socket_send_buffer_size(&oldest, 2 * LONGER_THAN_A_TURN).expect("an option");
    bench.settled();
    let others: Vec<TcpStream> = (1..PLACES).map(|i| half_asked(&bench, i)).collect();
    bench.stop();
    let body = "x".repeat(LONGER_THAN_A_TURN);
    let head = "Req-Id: now-oldest\r\nReq-Kind: ask\r\nReq-Key: 1\r\nReq-Deadline-Ms: 20000";
    let request = format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    oldest.write_all(request.as_bytes()).expect("the rest");
    let mut newcomer = bench.ask("now-newcomer");
    bench.go_on();
    assert!(
        answer(&mut newcomer).starts_with("HTTP/1.1 200"),
        "the newcomer is served"
    );
    assert!(
        answer(&mut oldest).starts_with("HTTP/1.1 200"),
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
