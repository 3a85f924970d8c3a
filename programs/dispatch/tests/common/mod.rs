//! Runs the dispatcher on the loopback interface with model servers, discovery and clients.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

pub const SOON: Duration = Duration::from_secs(20);

/// An HTTP message: its first line, its header fields by lower-case name, and its body.
pub struct Message {
    pub first: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one complete HTTP message.
pub fn whole_message(from: &mut BufReader<TcpStream>) -> Option<Message> {
    let (mut first, mut fields) = (String::new(), BTreeMap::new());
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if first.is_empty() {
            first = line.trim().to_string();
        } else if line.trim().is_empty() {
            break;
        } else if let Some((name, value)) = line.split_once(':') {
            fields.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let length = fields
        .get("content-length")
        .map_or(Ok(0), |n: &String| n.parse())
        .ok()?;
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some(Message {
        first,
        fields,
        body,
    })
}

/// Reads one HTTP message and returns its first line and its body.
pub fn message(from: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    whole_message(from).map(|message| (message.first, message.body))
}

/// Head of a streamed response.
pub const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Chunk that ends a streamed response.
pub const LAST_CHUNK: &str = "0\r\n\r\n";

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Replaces texts in a configuration or message; each replaced text must occur in it.
pub fn with_changes(text: String, changes: &[(&str, &str)]) -> String {
    changes.iter().fold(text, |text, (old, new)| {
        assert!(text.contains(old), "{old}");
        text.replace(old, new)
    })
}

/// Starts a prefill or decode server that answers every request at once.
pub fn server(is_prefill: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve_requests(stream, is_prefill));
        }
    });
    address
}

fn serve_requests(stream: TcpStream, is_prefill: bool) -> Option<()> {
    let mut to = stream.try_clone().ok()?;
    let mut from = BufReader::new(stream);
    while let Some((first, _)) = message(&mut from) {
        let plain = |status: &str, body: &str| {
            format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let answer = match first.split(' ').next() {
            Some("DELETE") => "HTTP/1.1 204 No Content\r\n\r\n".to_string(),
            Some("GET") => plain("200 OK", "util=0.1,queue=0,x0=0.1"),
            _ if is_prefill => plain("202 Accepted", "{\"cached_tokens\":0}"),
            _ => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n9\r\ndata: 2\n\n\r\n0\r\n\r\n"
                .to_string(),
        };
        to.write_all(answer.as_bytes()).ok()?;
    }
    Some(())
}

/// Starts a discovery server that never reports a change; its calls are sent to the receiver.
pub fn discovery() -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (tell, told) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let tell = tell.clone();
            thread::spawn(move || {
                let mut to = stream.try_clone().ok()?;
                let mut from = BufReader::new(stream);
                // Most tests do not look at the calls.
                let _ = tell.send(message(&mut from)?.0);
                to.write_all(STREAM_HEAD.as_bytes()).ok()?;
                while to.write_all(chunk("\n").as_bytes()).is_ok() {
                    thread::sleep(Duration::from_secs(1));
                }
                Some(())
            });
        }
    });
    (address, told)
}

pub struct Dispatcher {
    pub child: Child,
    pub listen: SocketAddr,
    pub file: PathBuf,
    pub text: String,
    /// First lines of the calls to its discovery server.
    pub calls: Receiver<String>,
}

/// Port on each test's reserved address.
const OWN_PORT: u16 = 7711;

/// Returns an address that no other test uses: the network part is derived from the process id, the last byte counts up.
/// A free port on a shared address could be taken by another test's listener before the program listens, and that test's
/// program would then answer in its place.
pub fn reserved_address() -> SocketAddr {
    static GIVEN: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    let (high, low) = (64 + (process >> 8) % 128, process % 256);
    let server = GIVEN.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, high as u8, low as u8, server], OWN_PORT))
}

/// Listens at an address whose listener may just have been closed. A process that another test starts at that moment holds
/// the closed listener until it runs its own program.
pub fn listen_again(at: SocketAddr) -> TcpListener {
    let until = Instant::now() + SOON;
    loop {
        match TcpListener::bind(at) {
            Err(e) if e.kind() == ErrorKind::AddrInUse && Instant::now() < until => {
                thread::sleep(Duration::from_millis(1));
            }
            bound => return bound.expect("its port"),
        }
    }
}

/// An entry of an endpoint list in discovery's format: a server that has been in service for a long time.
pub fn target(uid: &str, at: SocketAddr, model: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{at}","az":"hall","model":"{model}","pod_group":0,"state":"in_service","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// An endpoint list in discovery's format.
pub fn list(rev: u64, all: bool, targets: &[String]) -> String {
    format!(
        r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#,
        targets.join(",")
    )
}

/// A configuration with one prefill server and one decode server.
pub fn configuration(listen: SocketAddr, discovery: SocketAddr) -> String {
    configuration_with(
        listen,
        discovery,
        &[
            target("a", server(true), "reads"),
            target("b", server(false), "writes"),
        ],
    )
}

/// A configuration with these entries in its endpoint list.
pub fn configuration_with(listen: SocketAddr, discovery: SocketAddr, targets: &[String]) -> String {
    format!(
        r#"{{"name":"d0","listen":"{listen}","discovery":"{discovery}","seed":"1f",
        "limits":{{"cores":0.5,"memory_mb":64,"sockets":256}},
        "known":{},
        "settings":{{"balancers":1,"classes":[{{"name":"ask","effect":"free","aimS":1.5,"deadlineS":6.0}}],
          "contract":{{"overloadFactor":2.5,"startCapacity":0.25,"fallS":3.0,"warmAfterS":14.0}},
          "extra":{{"kindRole":["read","write"],"pinLimitS":1.0,"kindMemoryTokens":[200000,150000]}},
          "kinds":["reads","writes"],"zones":["hall"],"locality":0,"membershipMode":"pushed",
          "limits":{{"maxAttempts":4,"cancel":true,"connIdleS":15.0,"connectTimeoutS":1.0}},
          "report":{{"how":"inline","fields":["load_share","depth","x0"]}}}}}}"#,
        list(7, true, targets)
    )
}

impl Dispatcher {
    pub fn start(name: &str) -> Dispatcher {
        Dispatcher::start_by(name, program)
    }

    pub fn start_by(name: &str, program: fn(&Path) -> Command) -> Dispatcher {
        let listen = reserved_address();
        let (at, calls) = discovery();
        let mut dispatcher =
            Dispatcher::start_with(name, listen, configuration(listen, at), program);
        dispatcher.calls = calls;
        dispatcher
    }

    /// Starts a dispatcher with a given configuration; `calls` receives nothing.
    pub fn start_with(
        name: &str,
        listen: SocketAddr,
        text: String,
        program: fn(&Path) -> Command,
    ) -> Dispatcher {
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
        std::fs::write(&file, &text).expect("the configuration's file");
        let child = program(&file).spawn().expect("the program");
        let dispatcher = Dispatcher {
            child,
            listen,
            file,
            text,
            calls: channel().1,
        };
        dispatcher.wait_until_ready();
        dispatcher
    }

    /// Waits until `GET /ready` returns 200.
    pub fn wait_until_ready(&self) {
        let until = Instant::now() + SOON;
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(self.listen) {
                let ask = b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n";
                let mut answer = String::new();
                if stream.write_all(ask).is_ok() && stream.read_to_string(&mut answer).is_ok() {
                    if answer.starts_with("HTTP/1.1 200") {
                        return;
                    }
                    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("not ready in time");
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.listen).expect("a connection");
        stream.set_read_timeout(Some(SOON)).expect("a bound");
        stream
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("a signal");
    }

    /// Starts the program again by the same configuration, and waits until the previous process has ended.
    pub fn replace_process(&mut self, program: fn(&Path) -> Command) {
        let next = program(&self.file).spawn().expect("the program");
        let mut before = std::mem::replace(&mut self.child, next);
        before.wait().expect("it has ended");
    }

    /// Waits for the process to exit; returns `None` if it does not.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        let until = Instant::now() + SOON;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().expect("its state") {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Sends a request of a client and returns the status of its answer; `None` if there is none in time.
    pub fn status(&self, client: &str, id: &str) -> Option<u16> {
        let answer = self.answer(&format!("{client}-{id}")).ok()?;
        answer.split(' ').nth(1)?.parse().ok()
    }

    /// Sends a request on a new connection, and reads the whole answer.
    fn answer(&self, id: &str) -> std::io::Result<String> {
        let mut stream = self.connect();
        stream.write_all(request(id, "Connection: close\r\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    }

    /// Sends requests one after the other until one is served.
    pub fn wait_until_served(&self, client: &str, id: &str, within: Duration) {
        let until = Instant::now() + within;
        while self.status(client, id) != Some(200) {
            assert!(Instant::now() < until, "{client}-{id}: nothing is served");
        }
    }

    /// Checks that a request is answered with a complete stream.
    pub fn assert_served(&self, id: &str) {
        let answer = self.answer(id).expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let (one, two) = (answer.find("data: 1\n\n"), answer.find("data: 2\n\n"));
        assert!(
            one.is_some() && one < two && answer.ends_with("0\r\n\r\n"),
            "{answer}"
        );
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn program(file: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bitternlatch-dispatch"));
    command
        .arg("--platform")
        .env("EDGE_CONFIG", file)
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    command
}

pub fn request(id: &str, more: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nReq-Id: {id}\r\nReq-Kind: ask\r\nReq-Key: 1\r\n\
         Req-Deadline-Ms: 20000\r\n{more}Content-Length: 2\r\n\r\n{{}}"
    )
}

/// Connects a client with a small receive buffer, so that most of a long response waits at the dispatcher.
pub fn slow_client(to: SocketAddr) -> TcpStream {
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
