//! Clients in great number, hosts that count and hold, discovery that is down, and the process as the system sees it.
#![allow(dead_code)]

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::common::{message, request};

pub const READY: &str = "GET /ready HTTP/1.1\r\n\r\n";

/// What a client of a crowd does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Asks once, has its answer, and keeps its connection.
    Idle,
    Silent,
    /// Half a request.
    Half,
    /// A whole request, whose answer it does not wait for.
    Whole,
}

/// Opens a connection and says what its kind says; nothing is waited for.
pub fn join(to: SocketAddr, kind: Kind, id: &str) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(10))?;
    let whole = request(id, "");
    let said = match kind {
        Kind::Idle => READY,
        Kind::Silent => "",
        Kind::Half => &whole[..whole.len() - 1],
        Kind::Whole => &whole,
    };
    // One that is let go of already is as good as any other.
    let _ = stream.write_all(said.as_bytes());
    Ok(stream)
}

/// The head of an answer, or what there is of it at the end or the bound.
pub fn head(stream: &mut TcpStream, within: Duration) -> String {
    let until = Instant::now() + within;
    let mut said = Vec::new();
    let mut byte = [0];
    while !said.ends_with(b"\r\n\r\n") {
        let left = until
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1));
        if stream.set_read_timeout(Some(left)).is_err() {
            break;
        }
        match stream.read(&mut byte) {
            Ok(1) => said.push(byte[0]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            _ => break,
        }
    }
    String::from_utf8_lossy(&said).into_owned()
}

/// Idle clients, each with its answer before the next one comes.
pub fn idle(to: SocketAddr, count: usize) -> Vec<TcpStream> {
    let one = |i| {
        let mut stream = join(to, Kind::Idle, &format!("idle{i}")).expect("a connection");
        let said = head(&mut stream, Duration::from_secs(20));
        assert!(
            said.starts_with("HTTP/1.1 200"),
            "idle client {i}: {said:?}"
        );
        stream
    };
    (0..count).map(one).collect()
}

/// Those that are still open.
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

/// Seconds until `GET /ready` on a connection of its own is answered 200, asked again and again as the front does.
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

/// A model host that counts its requests; while it holds them, it answers none, or begins a stream and waits.
pub struct Host {
    pub at: SocketAddr,
    pub asked: Arc<AtomicUsize>,
    pub holds: Arc<AtomicBool>,
}

pub fn host(reads: bool) -> Host {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    let (asked, holds) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicBool::new(false)),
    );
    let shared = (Arc::clone(&asked), Arc::clone(&holds));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = shared.clone();
            thread::spawn(move || serve(stream, reads, &shared));
        }
    });
    Host { at, asked, holds }
}

fn serve(
    stream: TcpStream,
    reads: bool,
    (asked, holds): &(Arc<AtomicUsize>, Arc<AtomicBool>),
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
            while holds.load(Ordering::SeqCst) {
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
                if reads {
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

/// How discovery is while it is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Down {
    /// Connections are refused.
    Closed,
    /// Connections are taken, and nothing is said on them, also not once it is back.
    Silent,
    /// Connections are taken, and the answer's head comes only after this.
    Slow(Duration),
}

/// Discovery that is down until it is told what to say.
pub struct Discovery {
    pub at: SocketAddr,
    news: Arc<Mutex<Option<String>>>,
    pub calls: Arc<AtomicUsize>,
}

impl Discovery {
    pub fn down(how: Down) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        let news = Arc::new(Mutex::new(None));
        let calls = Arc::new(AtomicUsize::new(0));
        let discovery = Discovery { at, news, calls };
        match how {
            Down::Closed => drop(listener),
            Down::Silent => discovery.serve(listener, None),
            Down::Slow(after) => discovery.serve(listener, Some(after)),
        }
        discovery
    }

    fn serve(&self, listener: TcpListener, slow: Option<Duration>) {
        let (news, calls) = (Arc::clone(&self.news), Arc::clone(&self.calls));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                calls.fetch_add(1, Ordering::SeqCst);
                let said = news.lock().expect("no panic").clone();
                thread::spawn(move || {
                    let mut to = stream.try_clone().ok()?;
                    let mut from = BufReader::new(stream);
                    message(&mut from)?;
                    match (said, slow) {
                        (Some(line), _) => watch(&mut to, &line),
                        (None, Some(after)) => {
                            thread::sleep(after);
                            watch(&mut to, "")
                        }
                        // Down: the connection stays open, and silent, for as long as the other side keeps it.
                        (None, None) => message(&mut from).map(|_| ()),
                    }
                });
            }
        });
    }

    /// It is back, and says this on each new watch.
    pub fn back(&self, line: &str) {
        *self.news.lock().expect("no panic") = Some(line.to_string());
        if let Ok(listener) = TcpListener::bind(self.at) {
            self.serve(listener, None);
        }
    }
}

fn watch(to: &mut TcpStream, line: &str) -> Option<()> {
    to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .ok()?;
    let text = format!("{line}\n");
    to.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
        .ok()?;
    loop {
        thread::sleep(Duration::from_secs(1));
        to.write_all(b"1\r\n\n\r\n").ok()?;
    }
}

/// The program under a limit of descriptors; 0 leaves it as it is.
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

/// File descriptors that a process holds.
pub fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd"))
        .expect("its descriptors")
        .count()
}

/// The lowest file descriptor that a process does not hold: under a limit of so many it can open none.
pub fn first_free(pid: u32) -> u64 {
    let folder = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("its descriptors");
    let held: Vec<u64> = folder
        .flatten()
        .filter_map(|f| f.file_name().to_str()?.parse().ok())
        .collect();
    (0..).find(|n| !held.contains(n)).unwrap_or_default()
}

/// Memory that a process holds now, MB, its program's own pages not counted: a test's build has many.
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
