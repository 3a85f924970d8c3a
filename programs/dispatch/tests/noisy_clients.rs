//! Checks that clients which write much, or at full speed, cost other clients neither their answers nor the process its memory.
mod common;
#[path = "common/crowd.rs"]
mod crowd;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use crowd::{head, limited, memory_mb, Discovery, Outage};
use rustix::net::sockopt::set_socket_recv_buffer_size;

/// Maximum memory in MB: an eighth of the configured 64 MB for unfinished requests, twice that because buffers grow ahead of
/// their content, and the process itself.
const MAX_MEMORY_MB: f64 = 20.0;
/// Half of the configured memory, above which the platform takes it for too much.
const HALF_THE_LIMIT_MB: f64 = 32.0;
/// Clients with endless answers, and how many of them read, but never all.
const SLOW_CLIENTS: usize = 200;
const READING_CLIENTS: usize = 10;
const RECEIVE_BUFFER_BYTES: usize = 8192;
const SOCKETS: (&str, &str) = (r#""sockets":256"#, r#""sockets":640"#);
/// Maximum time to first token of regular clients meanwhile.
const FIRST_TOKEN: Duration = Duration::from_millis(1500);
const FLOOD: Duration = Duration::from_secs(4);
const SOON_ENOUGH: Duration = Duration::from_secs(5);

fn dispatcher(name: &str) -> Dispatcher {
    dispatcher_with(name, crowd::server(false).at)
}

fn dispatcher_with(name: &str, decode: SocketAddr) -> Dispatcher {
    let discovery = Discovery::with_outage(Outage::Silent);
    let known = [
        target("a", crowd::server(true).at, "reads"),
        target("b", decode, "writes"),
    ];
    let listen = reserved_address();
    let text = configuration_with(listen, discovery.at, &known).replace(SOCKETS.0, SOCKETS.1);
    let dispatcher = Dispatcher::start_with(name, listen, text, limited::<640>);
    discovery.begin_outage();
    dispatcher
}

/// Guards against memory by the fields of heads in place of their bytes.
#[test]
fn heads_of_very_many_short_fields_keep_memory_within_its_limit() {
    let dispatcher = dispatcher("fields");
    let fields = "a:1\r\n".repeat(40_000);
    let begin = |number: usize| {
        let mut stream = dispatcher.connect();
        let _ = stream.set_write_timeout(Some(Duration::from_millis(300)));
        let line = format!("POST /v1/chat/completions HTTP/1.1\r\nReq-Id: fields{number}\r\n");
        // The dispatcher may reject the head while it is being written.
        let _ = stream.write_all(line.as_bytes());
        let _ = stream.write_all(fields.as_bytes());
        stream
    };
    let mut peak = 0f64;
    let crowd: Vec<TcpStream> = (0..110)
        .map(begin)
        .inspect(|_| peak = peak.max(memory_mb(dispatcher.child.id())))
        .collect();
    println!("{} heads of many fields: {peak:.1} MB", crowd.len());
    assert!(peak < MAX_MEMORY_MB, "{peak} MB");
    drop(crowd);
    dispatcher.assert_served("good");
}

/// Writes texts at full speed on one connection, which is opened again where it is ended; what is answered is read and
/// dropped. Returns how many were written.
fn flood(to: SocketAddr, until: Instant, text: impl Fn(usize) -> String) -> usize {
    let mut written = 0;
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect(to) else {
            continue;
        };
        let _ = stream.set_write_timeout(Some(Duration::from_millis(200)));
        let mut answers = stream.try_clone().expect("a second handle");
        let reader = thread::spawn(move || {
            let mut buffer = [0; 65_536];
            while answers.read(&mut buffer).is_ok_and(|read| read > 0) {}
        });
        while Instant::now() < until && stream.write_all(text(written).as_bytes()).is_ok() {
            written += 1;
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        let _ = reader.join();
    }
    written
}

/// Guards against one connection at full speed that keeps the event loop, or fills tables by ever new names.
#[test]
fn one_connection_at_full_speed_delays_no_other_client() {
    type Text = fn(usize) -> String;
    let kinds: [(&str, Text); 4] = [
        ("small", |n| request(&format!("flood{n}"), "")),
        ("unsound", |_| "NONSENSE\r\n\r\n".to_string()),
        ("unknown", |n| {
            format!("GET /path{n} HTTP/1.1\r\nHost: a\r\n\r\n")
        }),
        ("names", |n| {
            request(&format!("name{n}"), "").replace("Req-Kind: ", &format!("Req-Kind: k{n}"))
        }),
    ];
    for (kind, text) in kinds {
        let dispatcher = dispatcher(kind);
        let (to, pid) = (dispatcher.listen, dispatcher.child.id());
        let until = Instant::now() + FLOOD;
        let flooding = thread::spawn(move || flood(to, until, text));
        let (mut slowest, mut peak, mut count) = (Duration::ZERO, 0f64, 0);
        while Instant::now() < until {
            count += 1;
            let since = Instant::now();
            let mut stream = dispatcher.connect();
            let good = request(&format!("good{count}"), "Connection: close\r\n");
            stream.write_all(good.as_bytes()).expect("asked");
            let head = head(&mut stream, SOON_ENOUGH);
            let is_answered = head.starts_with("HTTP/1.1 200") || head.starts_with("HTTP/1.1 429");
            assert!(is_answered, "{kind}: client {count}: {head:?}");
            slowest = slowest.max(since.elapsed());
            peak = peak.max(memory_mb(pid));
            thread::sleep(Duration::from_millis(10));
        }
        let written = flooding.join().expect("no panic");
        println!("{kind}: {written} written; slowest of {count} {slowest:?}; {peak:.1} MB");
        assert!(
            slowest < FIRST_TOKEN,
            "{kind}: first token after {slowest:?}"
        );
        assert!(peak < MAX_MEMORY_MB, "{kind}: {peak} MB");
    }
}

/// A decode server whose answers are endless and come as fast as they are taken.
fn endless_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    let event = chunk(&format!("data: {}\n\n", "x".repeat(8000)));
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let event = event.clone();
            thread::spawn(move || {
                let mut buffer = [0; 4096];
                let _ = stream.read(&mut buffer);
                let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
                let _ = stream.write_all(head.as_bytes());
                while stream.write_all(event.as_bytes()).is_ok() {}
            });
        }
    });
    at
}

/// Guards against answers that pile up in the process because their clients read them slowly.
#[test]
fn long_answers_that_many_clients_read_slowly_keep_memory_within_its_limit() {
    let dispatcher = dispatcher_with("endless", endless_server());
    let clients: Vec<TcpStream> = (0..SLOW_CLIENTS)
        .map(|number| {
            let mut stream = dispatcher.connect();
            // A short buffer, as of a client far away.
            set_socket_recv_buffer_size(&stream, RECEIVE_BUFFER_BYTES).expect("a short buffer");
            let text = request(&format!("endless{number}"), "");
            stream.write_all(text.as_bytes()).expect("asked");
            stream
        })
        .collect();
    let (until, mut peak, mut read) = (Instant::now() + FLOOD, 0f64, 0);
    while Instant::now() < until {
        peak = peak.max(memory_mb(dispatcher.child.id()));
        for mut client in clients.iter().take(READING_CLIENTS) {
            let mut buffer = [0; 16_384];
            let _ = client.set_read_timeout(Some(Duration::from_millis(2)));
            read += client.read(&mut buffer).unwrap_or_default();
        }
        thread::sleep(Duration::from_millis(10));
    }
    println!("{SLOW_CLIENTS} endless answers, {read} bytes read: {peak:.1} MB");
    assert!(read > 0, "no answer came");
    assert!(peak < HALF_THE_LIMIT_MB, "{peak} MB");
}
