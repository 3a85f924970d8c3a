//! The program between gated hosts, which a test stops and lets go on: all that comes meanwhile is ready at once.
#![allow(dead_code)]

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::common::*;
use super::gated::*;

pub fn model(reads: bool) -> &'static str {
    if reads {
        "reads"
    } else {
        "writes"
    }
}

/// Hosts may be silent for long: an attempt ends by its client's going alone.
pub const PATIENT: (&str, &str) = (r#""aimS":1.5"#, r#""aimS":300.0"#);

pub struct Bench {
    pub hosts: Gated,
    pub dispatcher: Dispatcher,
    asked: std::cell::Cell<usize>,
}

impl Bench {
    /// So many hosts that read and as many that write, with a connection kept to one of each; each pair of texts in the
    /// configuration is the old and the new one.
    pub fn start(name: &str, pairs: usize, changes: &[(&str, &str)]) -> Bench {
        let hosts = Gated::default();
        let host = |i: usize| target(&format!("h{i}"), hosts.host(i, i < pairs), model(i < pairs));
        let targets: Vec<String> = (0..2 * pairs).map(host).collect();
        let bench = Bench::with(name, hosts, &targets, changes);
        bench.settled();
        bench
    }

    pub fn with(name: &str, hosts: Gated, targets: &[String], changes: &[(&str, &str)]) -> Bench {
        let listen = own_address();
        let text = changed(configuration_with(listen, discovery().0, targets), changes);
        let dispatcher = Dispatcher::start_with(name, listen, text, program);
        Bench {
            hosts,
            dispatcher,
            asked: std::cell::Cell::new(0),
        }
    }

    pub fn ask(&self, id: &str) -> TcpStream {
        let mut client = self.dispatcher.connect();
        client.write_all(request(id, "").as_bytes()).expect("asked");
        client
    }

    /// Stops the process, and is sure of it.
    pub fn stop(&self) {
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

    pub fn go_on(&self) {
        self.dispatcher.signal(Signal::CONT);
    }

    /// A request asked now is served: what was ready before has been acted on.
    pub fn settled(&self) {
        self.asked.set(self.asked.get() + 1);
        self.dispatcher
            .served(&format!("{AT_ONCE}{}", self.asked.get()));
    }
}

/// A listener whose queue is full, so that connections to it do not come up, and what fills it.
pub fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    rustix::net::listen(&listener, 0).expect("a short queue");
    let to = listener.local_addr().expect("an address");
    let fill = (0..8)
        .map_while(|_| TcpStream::connect_timeout(&to, Duration::from_millis(100)).ok())
        .collect();
    (listener, fill)
}

/// Reads one whole answer, in chunks or by its length, and leaves the connection open.
pub fn answer(client: &mut TcpStream) -> String {
    let mut said = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&said).into_owned();
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
        said.push(byte[0]);
    }
}

/// Reads to the end, or to an error that ends it as well.
pub fn rest(mut client: TcpStream) -> String {
    let mut said = Vec::new();
    if let Err(e) = client.read_to_end(&mut said) {
        assert!(
            e.kind() != ErrorKind::WouldBlock,
            "neither an answer nor an end"
        );
    }
    String::from_utf8_lossy(&said).into_owned()
}

/// A client whose side of a connection takes little at once, so that most of an answer waits at the other side.
pub fn narrow_client(to: SocketAddr) -> TcpStream {
    use rustix::net::{
        connect, socket, sockopt::set_socket_recv_buffer_size, AddressFamily, SocketType,
    };
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    set_socket_recv_buffer_size(&socket, 4096).expect("an option");
    connect(&socket, &to).expect("a connection");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(SOON)).expect("a bound");
    stream
}
