//! Test tools: many clients, servers that count and delay requests, discovery with outages, and measurements of the process.
#![allow(dead_code)]

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::common::{chunk, listen_again, message, request, STREAM_HEAD};

pub const READY: &str = "GET /ready HTTP/1.1\r\n\r\n";

/// What one of many clients sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// Sends one request, reads the response, and keeps its connection open.
    Idle,
    /// Sends nothing.
    Silent,
    /// Sends an incomplete request.
    Half,
    /// Sends a complete request and does not wait for the response.
    Whole,
}

/// Connects a client and sends what its kind requires, without waiting for a response.
pub fn join(to: SocketAddr, kind: ClientKind, id: &str) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(10))?;
    let whole = request(id, "");
    let received = match kind {
        ClientKind::Idle => READY,
        ClientKind::Silent => "",
        ClientKind::Half => &whole[..whole.len() - 1],
        ClientKind::Whole => &whole,
    };
    // The dispatcher may have closed the connection already; the client counts all the same.
    let _ = stream.write_all(received.as_bytes());
    Ok(stream)
}

/// Reads the head of a response; returns what has arrived when the connection ends or the time is over.
pub fn head(stream: &mut TcpStream, within: Duration) -> String {
    let until = Instant::now() + within;
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(b"\r\n\r\n") {
        let left = until
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1));
        if stream.set_read_timeout(Some(left)).is_err() {
            break;
        }
        match stream.read(&mut byte) {
            Ok(1) => received.push(byte[0]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            _ => break,
        }
    }
    String::from_utf8_lossy(&received).into_owned()
}

/// Connects idle clients one after the other; each has its response before the next one connects.
pub fn idle(to: SocketAddr, count: usize) -> Vec<TcpStream> {
    let one = |i| {
        let mut stream = join(to, ClientKind::Idle, &format!("idle{i}")).expect("a connection");
        let received = head(&mut stream, Duration::from_secs(20));
        assert!(
            received.starts_with("HTTP/1.1 200"),
            "idle client {i}: {received:?}"
        );
        stream
    };
    (0..count).map(one).collect()
}

/// Counts the connections that are still open.
pub fn open(crowd: &[TcpStream]) -> usize {
    let stays = |mut stream: &TcpStream| {
        let _ = stream.set_nonblocking(true);
        let mut rest = [0; 1024];
        let stays = loop {
            match stream.read(&mut rest) {
                Ok(0) => break false,
                Ok(_) => {}
                Err(e) => break e.kind() == ErrorKind::WouldBlock,
            }
        };
        let _ = stream.set_nonblocking(false);
        stays
    };
    crowd.iter().filter(|s| stays(s)).count()
}

/// Polls `GET /ready` on new connections, as the front-end does, and returns the seconds until the response is 200.
pub fn ready_after(to: SocketAddr, since: Instant, within: Duration) -> Option<f64> {
    while since.elapsed() < within {
        if let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) {
            if stream.write_all(READY.as_bytes()).is_ok() {
                let left = within.saturating_sub(since.elapsed());
                if head(&mut stream, left).starts_with("HTTP/1.1 200") {
                    return Some(since.elapsed().as_secs_f64());
                }
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    None
}

/// A model server that counts its requests. While `is_holding` is set, a prefill server sends no response and a decode server
/// stops after the first event of a stream.
pub struct CountingServer {
    pub at: SocketAddr,
    pub asked: Arc<AtomicUsize>,
    pub is_holding: Arc<AtomicBool>,
}

pub fn server(is_prefill: bool) -> CountingServer {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    let (asked, is_holding) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicBool::new(false)),
    );
    let shared = (Arc::clone(&asked), Arc::clone(&is_holding));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = shared.clone();
            thread::spawn(move || serve(stream, is_prefill, &shared));
        }
    });
    CountingServer {
        at,
        asked,
        is_holding,
    }
}

fn serve(
    stream: TcpStream,
    is_prefill: bool,
    (asked, is_holding): &(Arc<AtomicUsize>, Arc<AtomicBool>),
) -> Option<()> {
    let mut to = stream.try_clone().ok()?;
    let mut from = BufReader::new(stream);
    while let Some((first, _)) = message(&mut from) {
        let plain = |status: &str, body: &str| {
            format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let held = || {
            while is_holding.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(2));
            }
        };
        match first.split(' ').next() {
            Some("DELETE") => to.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok()?,
            Some("GET") => to
                .write_all(plain("200 OK", "util=0.1,queue=0,x0=0.1").as_bytes())
                .ok()?,
            _ => {
                asked.fetch_add(1, Ordering::SeqCst);
                if is_prefill {
                    held();
                    to.write_all(plain("202 Accepted", "{\"cached_tokens\":0}").as_bytes())
                        .ok()?;
                } else {
                    let opening =
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n";
                    to.write_all(opening.as_bytes()).ok()?;
                    held();
                    to.write_all(b"9\r\ndata: 2\n\n\r\n0\r\n\r\n").ok()?;
                }
            }
        }
    }
    Some(())
}

/// How discovery behaves during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Connections are refused, and open watches end.
    Closed,
    /// Connections are accepted and open watches stay, but get no response, not even after the outage.
    Silent,
    /// Open watches end, and new ones get the head of their response after this delay.
    Slow(Duration),
    /// Open watches end, and new ones get the head of a response and nothing more.
    HeadOnly,
    /// Open watches end, and new ones get half a line.
    HalfLine,
    /// Open watches end, and new ones get a line that cannot be read.
    Unreadable,
}

#[derive(Debug)]
struct DiscoveryState {
    outage: Outage,
    is_in_outage: bool,
    /// First line of each new watch; open watches receive it when it changes. Empty while nothing has changed since the
    /// list of the configuration.
    line: String,
}

impl DiscoveryState {
    /// The outage, while it lasts.
    fn outage(&self) -> Option<Outage> {
        self.is_in_outage.then_some(self.outage)
    }
}

/// A discovery server with an outage, which lasts from `begin_outage` until `recover`.
pub struct Discovery {
    pub at: SocketAddr,
    state: Arc<Mutex<DiscoveryState>>,
    /// Number of calls during the outage.
    pub calls: Arc<AtomicUsize>,
}

impl Discovery {
    pub fn with_outage(outage: Outage) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        let state = DiscoveryState {
            outage,
            is_in_outage: false,
            line: String::new(),
        };
        let (state, calls) = (Arc::new(Mutex::new(state)), Arc::default());
        let discovery = Discovery { at, state, calls };
        discovery.serve(listener);
        discovery
    }

    fn serve(&self, listener: TcpListener) {
        let (state, calls) = (Arc::clone(&self.state), Arc::clone(&self.calls));
        listener.set_nonblocking(true).expect("an option");
        thread::spawn(move || loop {
            if state.lock().expect("no panic").outage() == Some(Outage::Closed) {
                return;
            }
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            stream.set_nonblocking(false).expect("an option");
            let (state, calls) = (Arc::clone(&state), Arc::clone(&calls));
            thread::spawn(move || serve_watch(stream, &state, &calls));
        });
    }

    /// Sends a line to all open watches, and to each new one first.
    pub fn tell(&self, line: &str) {
        self.state.lock().expect("no panic").line = line.to_string();
    }

    pub fn begin_outage(&self) {
        self.state.lock().expect("no panic").is_in_outage = true;
    }

    /// Ends the outage; each new watch gets this line.
    pub fn recover(&self, line: &str) {
        let was_closed = {
            let mut state = self.state.lock().expect("no panic");
            let was_closed = state.outage() == Some(Outage::Closed);
            (state.is_in_outage, state.line) = (false, line.to_string());
            was_closed
        };
        if was_closed {
            self.serve(listen_again(self.at));
        }
    }
}

fn serve_watch(
    stream: TcpStream,
    state: &Mutex<DiscoveryState>,
    calls: &AtomicUsize,
) -> Option<()> {
    let mut to = stream.try_clone().ok()?;
    let mut from = BufReader::new(stream);
    message(&mut from)?;
    let outage = state.lock().expect("no panic").outage();
    if let Some(outage) = outage {
        calls.fetch_add(1, Ordering::SeqCst);
        let begin = match outage {
            Outage::Closed => return None,
            Outage::Silent => String::new(),
            Outage::Slow(after) => {
                thread::sleep(after);
                format!("{STREAM_HEAD}{}", chunk("\n"))
            }
            Outage::HeadOnly => STREAM_HEAD.to_string(),
            Outage::HalfLine => format!("{STREAM_HEAD}{}", chunk("{\"rev\":9,\"all\":tr")),
            Outage::Unreadable => {
                format!("{STREAM_HEAD}{}", chunk("{\"rev\":9,\"all\":perhaps}\n"))
            }
        };
        to.write_all(begin.as_bytes()).ok()?;
        // The connection stays open until the other side closes it.
        return message(&mut from).map(|_| ());
    }
    to.write_all(STREAM_HEAD.as_bytes()).ok()?;
    let (mut sent, mut sent_at) = (None, Instant::now());
    loop {
        let (outage, line) = {
            let state = state.lock().expect("no panic");
            (state.outage(), state.line.clone())
        };
        match outage {
            Some(Outage::Silent) => return message(&mut from).map(|_| ()),
            Some(_) => return None,
            None => {}
        }
        let is_keep_alive_due = sent_at.elapsed() >= Duration::from_secs(1);
        if sent.as_ref() != Some(&line) {
            to.write_all(chunk(&format!("{line}\n")).as_bytes()).ok()?;
            (sent, sent_at) = (Some(line), Instant::now());
        } else if is_keep_alive_due {
            to.write_all(chunk("\n").as_bytes()).ok()?;
            sent_at = Instant::now();
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Command for the program under a limit of N file descriptors; 0 leaves the limit unchanged.
pub fn limited<const N: u32>(file: &Path) -> Command {
    let limit = if N > 0 {
        format!("ulimit -n {N}; ")
    } else {
        String::new()
    };
    let run = format!(
        "{limit}exec {} --platform",
        env!("CARGO_BIN_EXE_bitternlatch-dispatch")
    );
    let mut command = Command::new("/bin/sh");
    command
        .args(["-c", &run])
        .env("EDGE_CONFIG", file)
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    command
}

/// Number of open file descriptors of a process.
pub fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd"))
        .expect("its descriptors")
        .count()
}

/// The lowest file descriptor that is not open in a process: with this as its limit, the process can open no more.
pub fn first_free(pid: u32) -> u64 {
    let folder = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("its descriptors");
    let held: Vec<u64> = folder
        .flatten()
        .filter_map(|f| f.file_name().to_str()?.parse().ok())
        .collect();
    (0..).find(|n| !held.contains(n)).unwrap_or_default()
}

/// Anonymous resident memory of a process, in MB. The program's own pages are excluded, because a test build has many.
pub fn memory_mb(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("its state");
    let line = status
        .lines()
        .find(|l| l.starts_with("RssAnon:"))
        .expect("its memory");
    let kb: f64 = line
        .split_whitespace()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .expect("a number");
    kb / 1024.0
}
