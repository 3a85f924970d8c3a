//! One connection to a mock server: reads requests as a server would that is running, silent, hanging or down.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rustix::net::sockopt::set_socket_linger;

use super::answers::plain;
use super::{lock, Server, Servers, States, LOOK};
use crate::draw::Chance;
use crate::record::{Seen, MIN_HELD_UP};
use crate::traffic::Work;

/// How often a connection's thread that waits for a request looks at what has changed: bytes that come wake it.
const IDLE_LOOK: Duration = Duration::from_millis(20);
/// Servers that read slowly do so beyond so many bytes of a request, a piece at a time.
const SLOW_FROM: usize = 8192;
const PIECE_PAUSE: Duration = Duration::from_millis(60);
/// Fraction of the requests that are read slowly, where they are large.
const SLOW_READS: f64 = 0.5;

/// A connection of a dispatcher to a server, and the thread that serves it.
pub(super) struct Connection {
    pub(super) servers: Arc<Servers>,
    pub(super) server: Arc<Server>,
    stream: TcpStream,
    /// The spell of silence before which it was made.
    spell: u64,
    /// The start of the process to which it was made.
    start: u64,
    /// Its first bytes have waited for the server to take it.
    taken_late: bool,
    pub(super) chance: Chance,
    unread: Vec<u8>,
    /// Id of the attempt that the dispatcher waits for here.
    pub(super) attempt: Option<String>,
    /// Id of the hand-over that waits for its state here.
    pub(super) transfer: Option<String>,
    /// The server has hung since the attempt arrived.
    pub(super) was_hung: bool,
    /// When the first bytes of the next request were read.
    reading_since: Option<Instant>,
    /// The next large request is read slowly.
    is_slow: bool,
    /// How long the machine kept the mock from reading the request, at most.
    pub(super) held_up: Duration,
}

/// A request as it has arrived.
pub(super) struct Call {
    method: String,
    pub(super) path: String,
    pub(super) id: String,
    pub(super) told_ms: u64,
    pub(super) work: Work,
}

/// The other side has ended the connection, or it was reset.
pub(super) struct Ended;

impl Connection {
    /// A connection that the server has taken; `taken_late`: by plan only after a while.
    pub(super) fn new(
        servers: Arc<Servers>,
        server: Arc<Server>,
        stream: TcpStream,
        taken_late: bool,
    ) -> Connection {
        let number = servers.connections.fetch_add(1, Ordering::SeqCst);
        let mut chance = Chance::new(servers.seed ^ number.wrapping_mul(0x9E37_79B9));
        let is_slow = servers.reads_slowly && chance.happens(SLOW_READS);
        Connection {
            spell: server.spells.load(Ordering::SeqCst),
            start: server.starts.load(Ordering::SeqCst),
            taken_late,
            held_up: Duration::ZERO,
            servers,
            server,
            stream,
            chance,
            unread: Vec::new(),
            attempt: None,
            transfer: None,
            was_hung: false,
            is_slow,
            reading_since: None,
        }
    }

    /// Adds a time in which bytes may have waited here, where it is so long that the machine held up the mock.
    pub(super) fn add_delay(&mut self, waited: Duration) {
        if waited > MIN_HELD_UP {
            self.held_up += waited;
        }
    }

    /// Serves one request after the other until the connection ends.
    pub(super) fn serve(mut self) -> Result<(), Ended> {
        self.stream.set_nodelay(true).map_err(|_| Ended)?;
        loop {
            self.look_every(IDLE_LOOK)?;
            let call = self.next_call()?;
            self.look_every(LOOK)?;
            let is_attempt = call.method == "POST";
            let has_waited =
                std::mem::take(&mut self.taken_late) || is_attempt && !self.held_up.is_zero();
            // What was given up before the server read it has reached nobody.
            if has_waited && !self.is_open() {
                return Err(Ended);
            }
            match call.method.as_str() {
                "DELETE" => self.release(&call)?,
                "GET" => {
                    let report = self.report();
                    self.say(&plain("200 OK", &report, &report))?
                }
                _ if self.server.decode => self.decode(&call)?,
                _ => self.prefill(&call)?,
            }
            self.held_up = Duration::ZERO;
        }
    }

    fn look_every(&self, interval: Duration) -> Result<(), Ended> {
        let set = self.stream.set_read_timeout(Some(interval));
        set.map_err(|_| Ended)
    }

    /// Waits while the server is silent; connections from before and during a silence are reset at its end.
    fn hear(&mut self) -> Result<(), Ended> {
        self.stand_still();
        let server = &self.server;
        let is_down = server.down.load(Ordering::SeqCst);
        if is_down || self.start < server.starts.load(Ordering::SeqCst) {
            return self.reset();
        }
        let is_kept = self.spell < server.spells.load(Ordering::SeqCst);
        if !is_kept && server.kept_only.load(Ordering::SeqCst) {
            return Ok(());
        }
        let mut was_silent = false;
        while server.silent.load(Ordering::SeqCst) {
            was_silent = true;
            if !self.is_open() {
                return Err(Ended);
            }
            thread::sleep(LOOK);
        }
        if is_kept || was_silent {
            return self.reset();
        }
        Ok(())
    }

    /// Waits while the server hangs. An attempt is out until the dispatcher closes its connection, which the server does
    /// not see; what arrives has waited.
    fn stand_still(&mut self) {
        while self.server.is_hung() {
            self.was_hung = true;
            self.taken_late |= self.attempt.is_none();
            if self.attempt.is_some() && !self.is_open() {
                self.end_attempt(false);
                // What waits for its state is dropped at once when it is given up, whatever else goes on.
                self.end_transfer(&mut lock(&Arc::clone(&self.servers).states));
            }
            thread::sleep(LOOK);
        }
    }

    /// Ends the hand-over that waits here; returns whether one did.
    pub(super) fn end_transfer(&mut self, states: &mut States) -> bool {
        let Some(id) = self.transfer.take() else {
            return false;
        };
        states.waiting.entry(id).and_modify(|n| *n -= 1);
        true
    }

    /// Notes that an attempt is out no more, once.
    pub(super) fn end_attempt(&mut self, declined: bool) {
        if let Some(id) = self.attempt.take() {
            self.note(Seen::Over {
                id,
                server: self.server.number,
                decode: self.server.decode,
                declined,
            });
        }
    }

    pub(super) fn reset(&mut self) -> Result<(), Ended> {
        if let Some(id) = self.attempt.clone() {
            self.note(Seen::BrokenByServer { id });
        }
        // Without the option the connection ends in order, which is as good an end.
        let _ = set_socket_linger(&self.stream, Some(Duration::ZERO));
        Err(Ended)
    }

    /// Whether the other side still holds the connection open.
    fn is_open(&self) -> bool {
        match self.stream.peek(&mut [0]) {
            Ok(0) => false,
            Ok(_) => true,
            Err(e) => matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }

    fn next_call(&mut self) -> Result<Call, Ended> {
        let mut buffer = [0; 4096];
        loop {
            self.hear()?;
            if let Some(call) = self.whole_call() {
                return Ok(call);
            }
            if self.unread.len() > SLOW_FROM && self.is_slow {
                thread::sleep(PIECE_PAUSE);
            }
            let began = Instant::now();
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(Ended),
                Ok(n) => {
                    self.add_delay(began.elapsed());
                    self.reading_since.get_or_insert_with(Instant::now);
                    self.unread.extend_from_slice(&buffer[..n]);
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    // Nothing of a request had come by then, so no delay before it is that request's.
                    if self.unread.is_empty() {
                        self.held_up = Duration::ZERO;
                    }
                }
                Err(_) => return Err(Ended),
            }
        }
    }

    fn whole_call(&mut self) -> Option<Call> {
        let head_end = self.unread.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.unread[..head_end]).into_owned();
        let field = |name: &str| {
            let line = head
                .lines()
                .find(|l| l.to_ascii_lowercase().starts_with(name))?;
            line.split_once(':').map(|pair| pair.1.trim().to_string())
        };
        let length: usize = field("content-length:")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        if self.unread.len() < head_end + length {
            return None;
        }
        self.unread.drain(..head_end + length);
        self.is_slow = self.servers.reads_slowly && self.chance.happens(SLOW_READS);
        let mut words = head.split(' ');
        let (method, path) = (words.next()?.to_string(), words.next()?.to_string());
        let id = field("req-id:")
            .unwrap_or_else(|| path.rsplit('/').next().unwrap_or_default().to_string());
        // The time is told with the head; what the server itself takes to read the rest is not the dispatcher's.
        let own = self
            .reading_since
            .take()
            .map_or(Duration::ZERO, |at| at.elapsed());
        let told_ms: u64 = field("req-deadline-ms:")
            .and_then(|ms| ms.parse().ok())
            .unwrap_or(0);
        let work = Work::read(field);
        Some(Call {
            method,
            path,
            id,
            told_ms: match self.taken_late {
                true => 0,
                false if self.servers.reads_slowly => {
                    told_ms.saturating_sub(own.as_millis() as u64)
                }
                false => told_ms,
            },
            work,
        })
    }

    pub(super) fn say(&mut self, text: &str) -> Result<(), Ended> {
        self.hear()?;
        self.stream.write_all(text.as_bytes()).map_err(|_| Ended)
    }

    /// Works for a while; an error where the connection ends meanwhile.
    pub(super) fn work(&mut self, for_s: f64) -> Result<(), Ended> {
        let until = Instant::now() + Duration::from_secs_f64(for_s);
        loop {
            self.hear()?;
            // A prefill that stood still is not told of a close: it goes on.
            let goes_on = self.was_hung && !self.server.decode;
            if !goes_on && !self.is_open() {
                return Err(Ended);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            thread::sleep(left.min(LOOK));
        }
    }

    pub(super) fn note(&self, seen: Seen) {
        self.servers.record.note(seen);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
