//! Test harness: the dispatcher process with scripted servers. A test can pause the process, so that everything that
//! arrives meanwhile becomes ready at the same moment when it resumes.
#![allow(dead_code)]

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::common::*;
use super::scripted_servers::*;

pub fn model(is_prefill: bool) -> &'static str {
    if is_prefill {
        "reads"
    } else {
        "writes"
    }
}

/// Configuration change: a latency objective so long that an attempt at a silent server ends only when its client
/// disconnects.
pub const LONG_LATENCY_OBJECTIVE: (&str, &str) = (r#""aimS":1.5"#, r#""aimS":300.0"#);

/// What the platform allows beyond the configured limit on held states: 300 ms, and 50 ms as for every time limit on
/// sockets.
pub const SLACK: Duration = Duration::from_millis(350);
pub const LIMIT_OF_1_S: &str = r#""pinLimitS":1.0"#;
pub const LIMIT_OF_300_MS: (&str, &str) = (LIMIT_OF_1_S, r#""pinLimitS":0.3"#);
pub const UNSAFE: (&str, &str) = (r#""effect":"free""#, r#""effect":"single_shot""#);
pub const NO_CANCEL: (&str, &str) = (r#""cancel":true"#, r#""cancel":false"#);

pub struct Harness {
    pub servers: ScriptedServers,
    pub dispatcher: Dispatcher,
    request_count: std::cell::Cell<usize>,
}

impl Harness {
    /// Starts a dispatcher with `pairs` prefill servers and as many decode servers, and serves one request so that a
    /// connection to one of each stays open. Each of `changes` replaces a text in the configuration by another.
    pub fn start(name: &str, pairs: usize, changes: &[(&str, &str)]) -> Harness {
        let servers = ScriptedServers::default();
        let server = |i: usize| {
            target(
                &format!("h{i}"),
                servers.server(i, i < pairs),
                model(i < pairs),
            )
        };
        let targets: Vec<String> = (0..2 * pairs).map(server).collect();
        let harness = Harness::with(name, servers, &targets, changes);
        harness.assert_serving();
        harness
    }

    /// Starts a dispatcher with these scripted servers and endpoint list entries.
    pub fn with(
        name: &str,
        servers: ScriptedServers,
        targets: &[String],
        changes: &[(&str, &str)],
    ) -> Harness {
        let listen = reserved_address();
        let text = with_changes(configuration_with(listen, discovery().0, targets), changes);
        let dispatcher = Dispatcher::start_with(name, listen, text, program);
        Harness {
            servers,
            dispatcher,
            request_count: std::cell::Cell::new(0),
        }
    }

    /// Sends a request on a new connection.
    pub fn send_request(&self, id: &str) -> TcpStream {
        let mut client = self.dispatcher.connect();
        client.write_all(request(id, "").as_bytes()).expect("asked");
        client
    }

    /// Pauses the process with SIGSTOP and waits until the kernel reports it as stopped.
    pub fn pause(&self) {
        self.dispatcher.signal(Signal::STOP);
        let file = format!("/proc/{}/stat", self.dispatcher.child.id());
        let until = Instant::now() + SOON;
        loop {
            let stat = std::fs::read_to_string(&file).expect("its state");
            if stat.rsplit(") ").next().is_some_and(|s| s.starts_with('T')) {
                return;
            }
            assert!(Instant::now() < until, "{stat}");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Resumes the paused process with SIGCONT.
    pub fn resume(&self) {
        self.dispatcher.signal(Signal::CONT);
    }

    /// Checks that a new request is served. When this returns, the dispatcher has handled everything that was ready before.
    pub fn assert_serving(&self) {
        self.request_count.set(self.request_count.get() + 1);
        self.dispatcher
            .assert_served(&format!("{IMMEDIATE_PREFIX}{}", self.request_count.get()));
    }
}

/// Returns a listener whose accept queue is full, so that new connections to it are not established, and the connections
/// that fill the queue.
pub fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    rustix::net::listen(&listener, 0).expect("a short queue");
    let to = listener.local_addr().expect("an address");
    let fill = (0..8)
        .map_while(|_| TcpStream::connect_timeout(&to, Duration::from_millis(100)).ok())
        .collect();
    (listener, fill)
}

/// Reads one complete response, chunked or with a content length, and leaves the connection open.
pub fn read_response(client: &mut TcpStream) -> String {
    let mut received = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&received).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .split("Content-Length: ")
                .nth(1)
                .and_then(|rest| rest.lines().next());
            let whole = match length {
                Some(length) => body.len() >= length.parse().expect("a length"),
                None => body.ends_with("0\r\n\r\n"),
            };
            if whole {
                return text;
            }
        }
        let mut byte = [0];
        assert_eq!(
            client.read(&mut byte).expect("an answer"),
            1,
            "the end in an answer: {text}"
        );
        received.push(byte[0]);
    }
}

/// Reads until the connection is closed or reset.
pub fn read_until_closed(mut client: TcpStream) -> String {
    let mut received = Vec::new();
    if let Err(e) = client.read_to_end(&mut received) {
        assert!(
            e.kind() != ErrorKind::WouldBlock,
            "neither an answer nor an end"
        );
    }
    String::from_utf8_lossy(&received).into_owned()
}
