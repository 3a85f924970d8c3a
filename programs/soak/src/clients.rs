//! Clients of one process: requests at a steady rate, over connections that they keep.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::draw::{Chance, Day};
use crate::faults::Fault;
use crate::record::{End, Record, Seen};
use crate::traffic::Size;

/// Beyond a request's time its client waits so long for an answer, and so long for the rest of a stream.
const PATIENCE: Duration = Duration::from_millis(1500);
const STREAM_PATIENCE: Duration = Duration::from_secs(7);
/// No answer takes so long.
const MAX_ANSWER: Duration = Duration::from_secs(40);
/// A client that stops within a request has its connection ended by then: what bad clients are owed, and the slack of
/// every limit.
const HALF_REQUEST: Duration = Duration::from_millis(3500);
/// Bodies, bytes; the fraction of large ones.
const SMALL_BODY_BYTES: usize = 2;
const LARGE_BODY_BYTES: (usize, usize) = (40 * 1024, 160 * 1024);
const LARGE_FRACTION: f64 = 0.2;
/// Connections that clients keep.
const MOST_KEPT: usize = 12;
/// A rate counts for so long, and a process without traffic gets a request so often, seconds.
const RATE_STEP_S: f64 = 0.05;
const MOST_WAITED: Duration = Duration::from_secs(10);
const CONNECT: Duration = Duration::from_secs(2);

/// How clients may reach a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Reach {
    Open,
    /// It was told to end: connections that are open are used on.
    KeptOnly,
    Down,
}

/// All clients of one process.
pub struct Clients {
    process: usize,
    to: SocketAddr,
    record: Record,
    reach: AtomicU8,
    stop: AtomicBool,
    kept: Mutex<Vec<TcpStream>>,
}

/// What one client does with its request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Manner {
    Plain,
    /// It closes its connection so long after it asked, seconds.
    Leaves(f64),
    InPieces,
    HalfOnly,
}

impl Clients {
    pub fn new(process: usize, to: SocketAddr, record: Record) -> Arc<Clients> {
        let (reach, stop, kept) = (
            AtomicU8::new(Reach::Open as u8),
            AtomicBool::new(false),
            Mutex::default(),
        );
        Arc::new(Clients {
            process,
            to,
            record,
            reach,
            stop,
            kept,
        })
    }

    pub fn set_reach(&self, reach: Reach) {
        self.reach.store(reach as u8, Ordering::SeqCst);
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    /// Asks until it is stopped, and waits for what is out then.
    pub fn ask(self: &Arc<Clients>, day: &Day) {
        let mut chance =
            Chance::new(day.seed ^ (self.process as u64 + 1).wrapping_mul(0x5851_F42D));
        let mut sizes =
            Chance::new(!day.seed ^ (self.process as u64 + 1).wrapping_mul(0x5851_F42D));
        let mut out = Vec::new();
        let mut number = 0;
        let began = Instant::now();
        while !self.stop.load(Ordering::SeqCst) {
            let until = Instant::now() + MOST_WAITED;
            let mut due = chance.between(0.2, 1.8) / day.deployment.rate;
            while due > 0.0 && Instant::now() < until && !self.stop.load(Ordering::SeqCst) {
                let at_s = began.elapsed().as_secs_f64();
                let rate = day.traffic.rate(self.process, day.processes, at_s);
                let step_s = (due / rate).min(RATE_STEP_S);
                thread::sleep(Duration::from_secs_f64(step_s));
                due -= step_s * rate;
            }
            number += 1;
            let manner = match chance.below(12) {
                0..=2 if day.has(Fault::Clients) => Manner::Leaves(chance.between(0.002, 0.6)),
                3..=4 if day.has(Fault::Clients) => Manner::InPieces,
                5 if day.has(Fault::Clients) => Manner::HalfOnly,
                _ => Manner::Plain,
            };
            let is_unsafe = chance.happens(0.4);
            let deadline_s = if is_unsafe {
                day.deployment.unsafe_deadline_s
            } else {
                day.deployment.safe_deadline_s
            };
            let id = format!("p{}-{number}", self.process);
            let request = Request {
                id,
                is_unsafe,
                deadline_s,
                manner,
                session: chance.below(40),
                size: day.traffic.size(is_unsafe, &mut sizes),
                body_bytes: body_bytes(day, &mut sizes),
            };
            let clients = Arc::clone(self);
            let retries = day.traffic.client_retries;
            out.push(thread::spawn(move || {
                clients.play_with_retries(request, retries)
            }));
            out.retain(|t: &thread::JoinHandle<()>| !t.is_finished());
        }
        out.into_iter().for_each(|t| drop(t.join()));
    }

    /// Plays a request, and again under a new id at once for as many retries while it is refused.
    fn play_with_retries(&self, mut request: Request, retries: u32) {
        let id = request.id.clone();
        for retry in 0..=retries {
            if retry > 0 {
                request.id = format!("{id}-r{retry}");
            }
            if self.play(&request) != Some(End::Refused) {
                return;
            }
        }
    }

    fn play(&self, request: &Request) -> Option<End> {
        let (mut stream, is_new) = self.connection()?;
        let asked_at = self.write(&mut stream, request)?;
        let mut end = self.hear(&mut stream, request, asked_at);
        // A close that crosses a request which was not read: it is sent once more on a new connection.
        if end == End::Closed && !is_new && self.reach() == Reach::Open {
            if let Ok(mut again) = TcpStream::connect_timeout(&self.to, CONNECT) {
                if again.write_all(request.text(asked_at).as_bytes()).is_ok() {
                    end = self.hear(&mut again, request, asked_at);
                    stream = again;
                }
            }
        }
        self.record.note(Seen::Ended {
            id: request.id.clone(),
            end,
        });
        if matches!(end, End::Served | End::Refused | End::Failed) {
            let mut kept = self.kept.lock().unwrap_or_else(|e| e.into_inner());
            if kept.len() < MOST_KEPT {
                kept.push(stream);
            }
        }
        Some(end)
    }

    fn reach(&self) -> Reach {
        match self.reach.load(Ordering::SeqCst) {
            0 => Reach::Open,
            1 => Reach::KeptOnly,
            _ => Reach::Down,
        }
    }

    /// A kept connection or a new one; none where the front has taken the process out.
    fn connection(&self) -> Option<(TcpStream, bool)> {
        let reach = self.reach();
        if reach == Reach::Down {
            self.kept.lock().unwrap_or_else(|e| e.into_inner()).clear();
            return None;
        }
        let kept = self.kept.lock().unwrap_or_else(|e| e.into_inner()).pop();
        if let Some(kept) = kept {
            return Some((kept, false));
        }
        if reach == Reach::KeptOnly {
            return None;
        }
        TcpStream::connect_timeout(&self.to, CONNECT)
            .ok()
            .map(|stream| (stream, true))
    }

    /// Writes a request as its client's manner is; gives when its last byte was written, if it was.
    fn write(&self, stream: &mut TcpStream, request: &Request) -> Option<Instant> {
        let text = request.text(Instant::now());
        let _ = stream.set_nodelay(true);
        if request.manner == Manner::HalfOnly {
            stream.write_all(&text.as_bytes()[..text.len() / 2]).ok()?;
            let ended = is_ended_within(stream, HALF_REQUEST);
            // While the process is told to end its kill ends the connection as well.
            self.record.note(Seen::HalfRequest {
                id: request.id.clone(),
                ended,
            });
            return None;
        }
        let cut = if request.manner == Manner::InPieces {
            text.len() / 3
        } else {
            0
        };
        stream.write_all(&text.as_bytes()[..cut]).ok()?;
        if cut > 0 {
            thread::sleep(Duration::from_millis(40));
        }
        let asked_at = Instant::now();
        if stream.write_all(&text.as_bytes()[cut..]).is_err() {
            // It was closed before: this one is not taken.
            return None;
        }
        let (id, process, is_unsafe) = (request.id.clone(), self.process, request.is_unsafe);
        self.record.note(Seen::Asked {
            id,
            process,
            deadline_s: request.deadline_s,
            is_unsafe,
        });
        Some(asked_at)
    }

    fn hear(&self, stream: &mut TcpStream, request: &Request, asked_at: Instant) -> End {
        let leaves = match request.manner {
            Manner::Leaves(after_s) => Some(asked_at + Duration::from_secs_f64(after_s)),
            _ => None,
        };
        let mut until = asked_at + Duration::from_secs_f64(request.deadline_s) + PATIENCE;
        let mut said = Vec::new();
        let mut buffer = [0; 4096];
        loop {
            if let Some(end) = whole(&said) {
                return end;
            }
            let now = Instant::now();
            if leaves.is_some_and(|at| now >= at) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return End::Left;
            }
            if now >= until {
                return End::Nothing;
            }
            let next = leaves.map_or(until, |at| at.min(until));
            let _ = stream.set_read_timeout(Some(next - now));
            match stream.read(&mut buffer) {
                Ok(0) => {
                    return if said.is_empty() {
                        End::Closed
                    } else {
                        End::Broken
                    }
                }
                Ok(n) => {
                    said.extend_from_slice(&buffer[..n]);
                    until = until
                        .max(Instant::now() + STREAM_PATIENCE)
                        .min(asked_at + MAX_ANSWER);
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => {
                    return if said.is_empty() {
                        End::Closed
                    } else {
                        End::Broken
                    }
                }
            }
        }
    }
}

struct Request {
    id: String,
    is_unsafe: bool,
    deadline_s: f64,
    manner: Manner,
    session: usize,
    size: Option<Size>,
    body_bytes: usize,
}

impl Request {
    fn text(&self, from: Instant) -> String {
        let kind = if self.is_unsafe { "book" } else { "ask" };
        let left_ms = (self.deadline_s - from.elapsed().as_secs_f64()).max(0.0) * 1e3;
        let (id, session) = (&self.id, self.session);
        let extra = self.size.map_or(String::new(), |size| size.header());
        let (length, body) = (self.body_bytes, "x".repeat(self.body_bytes));
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nReq-Id: {id}\r\nReq-Kind: {kind}\r\nReq-Key: {session}\r\n\
             Req-Deadline-Ms: {left_ms:.0}\r\n{extra}Content-Length: {length}\r\n\r\n{body}"
        )
    }
}

/// Length of the next request's body: large for some on days on which servers read slowly.
fn body_bytes(day: &Day, sizes: &mut Chance) -> usize {
    if day.has(Fault::SlowRequests) && sizes.happens(LARGE_FRACTION) {
        LARGE_BODY_BYTES.0 + sizes.below(LARGE_BODY_BYTES.1 - LARGE_BODY_BYTES.0)
    } else {
        SMALL_BODY_BYTES
    }
}

/// How an answer ends, once it is whole.
fn whole(said: &[u8]) -> Option<End> {
    let head_end = said.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&said[..head_end]).to_ascii_lowercase();
    let status: u16 = head
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let length = head
        .split("content-length: ")
        .nth(1)
        .and_then(|rest| rest.lines().next()?.trim().parse::<usize>().ok());
    let is_whole = match length {
        Some(length) => said.len() >= head_end + length,
        None => said.ends_with(b"0\r\n\r\n"),
    };
    is_whole.then_some(match status {
        200 => End::Served,
        429 | 503 => End::Refused,
        _ => End::Failed,
    })
}

/// Whether the other side ends a connection, after an answer or with none.
fn is_ended_within(stream: &mut TcpStream, within: Duration) -> bool {
    let until = Instant::now() + within;
    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    let mut buffer = [0; 1024];
    while Instant::now() < until {
        match stream.read(&mut buffer) {
            Ok(0) => return true,
            Err(e) if !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return true
            }
            _ => {}
        }
    }
    false
}
