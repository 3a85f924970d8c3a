//! Mock model servers: a prefill server really holds a state from its prefill's end until a decode server takes it or a
//! release arrives at any running server. They fall silent, hang, reset, and become unreachable as a day says.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use rustix::net::sockopt::{set_socket_linger, set_socket_recv_buffer_size};

use crate::draw::{Chance, Day};
use crate::faults::Fault;
use crate::record::{Record, Seen};
use crate::slow_start::{ColdServer, SlowStartTerms};
use crate::spoilt::{self, Shape, Spoil};
use crate::traffic::Work;

/// How often a connection's thread looks at what has changed.
const LOOK: Duration = Duration::from_millis(4);
/// What an accept queue holds, and the connections that fill a short one.
const QUEUE: i32 = 256;
const FILLED_BY: usize = 6;
const RELEASED: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";
const GONE: &[u8] = b"HTTP/1.1 410 Gone\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
const REPORT: &str = "util=0.1,queue=0,x0=0.1";
const DECLINED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
/// Requests that a server with a limited capacity works on at a time, and that may wait there.
const SLOTS: usize = 2;
const MAX_WAITING: usize = 30;
/// The same of decode servers whose answers are long: the first token comes early, and the work is in the stream.
const STREAM_SLOTS: usize = 16;
const FIRST_TOKEN_FRACTION: f64 = 0.02;
const SHORT_STREAM_PAUSE_S: f64 = 0.02;
const SECONDS_PER_EVENT: f64 = 0.25;
/// Receive buffer of servers that read slowly; they do so beyond so many bytes of a request, a piece at a time.
const SHORT_BUFFER: usize = 4096;
const SLOW_FROM: usize = 8192;
const PIECE_PAUSE: Duration = Duration::from_millis(60);
/// Fraction of the requests that are read slowly, where they are large.
const SLOW_READS: f64 = 0.5;
/// What follows an answer that has a second one, and what comes before another.
const SECOND_ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
const INTERIM_ANSWER: &str = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Connections that are taken so soon after a server takes any may have waited.
const TAKEN_AT_ONCE: Duration = Duration::from_millis(100);
/// Events of a slow answer that are slow, and the bytes of such an event that come one by one.
const SLOW_EVENTS: usize = 2;
const SLOW_BYTES: usize = 8;
/// Share of prefills that end well though their connection has just ended.
const LEFT_SHARE: f64 = 0.3;

/// What is held for requests, and the hand-overs that wait for it.
#[derive(Default)]
struct States {
    held: BTreeMap<String, usize>,
    waiting: BTreeMap<String, usize>,
}

/// One server's place.
pub struct Server {
    pub number: usize,
    pub decode: bool,
    pub uid: String,
    pub address: SocketAddr,
    booted_ms: AtomicU64,
    listener: TcpListener,
    /// The process is down: connections are reset.
    down: AtomicBool,
    /// Counts the starts of the process: connections to an earlier one are reset.
    starts: AtomicU64,
    /// No connection is taken before this time, though it comes up.
    accepts_from: Mutex<Option<Instant>>,
    cold: Mutex<Option<ColdServer>>,
    busy: AtomicUsize,
    waiting: AtomicUsize,
    /// Nothing arrives, on any connection or on those from before alone.
    silent: AtomicBool,
    kept_only: AtomicBool,
    /// Counts the spells of silence: connections from before one are reset at its end.
    spells: AtomicU64,
    hangs: AtomicBool,
    accepts: AtomicBool,
}

/// All servers of a day.
pub struct Servers {
    pub record: Record,
    all: Mutex<Vec<Arc<Server>>>,
    states: Mutex<States>,
    /// Thousandths of attempts that are reset as they arrive.
    resets: AtomicU64,
    seed: u64,
    connections: AtomicU64,
    /// How servers start and what they can do; without it they are warm at once and never full.
    slow_start: Option<SlowStartTerms>,
    /// Speeds by the servers' numbers, as multiples of the mean.
    speeds: Vec<f64>,
    has_long_answers: bool,
    may_spoil: bool,
    may_drag: bool,
    reads_slowly: bool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl Servers {
    pub fn new(record: Record, day: &Day) -> Arc<Servers> {
        Arc::new(Servers {
            record,
            all: Mutex::default(),
            states: Mutex::default(),
            resets: AtomicU64::new(0),
            seed: day.seed,
            connections: AtomicU64::new(0),
            slow_start: day.slow_start,
            speeds: day.server_speeds.clone(),
            has_long_answers: day.has(Fault::AtCapacity),
            may_spoil: day.has(Fault::SpoiltStreams),
            may_drag: day.has(Fault::SlowStreams),
            reads_slowly: day.has(Fault::SlowRequests),
        })
    }

    /// Starts one more; gives it.
    ///
    /// # Errors
    /// Where there is no address for it.
    pub fn start(
        self: &Arc<Servers>,
        decode: bool,
        booted_ms: u64,
    ) -> std::io::Result<Arc<Server>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        rustix::net::listen(&listener, QUEUE)?;
        listener.set_nonblocking(true)?;
        if self.reads_slowly {
            // What is not read waits at the other side.
            set_socket_recv_buffer_size(&listener, SHORT_BUFFER)?;
        }
        let mut all = lock(&self.all);
        let server = Arc::new(Server {
            number: all.len(),
            decode,
            uid: format!("m-{}", all.len()),
            address: listener.local_addr()?,
            booted_ms: AtomicU64::new(booted_ms),
            listener,
            down: AtomicBool::new(false),
            starts: AtomicU64::new(0),
            accepts_from: Mutex::default(),
            cold: Mutex::default(),
            busy: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            silent: AtomicBool::new(false),
            kept_only: AtomicBool::new(false),
            spells: AtomicU64::new(0),
            hangs: AtomicBool::new(false),
            accepts: AtomicBool::new(true),
        });
        if booted_ms > 0 {
            self.begin_cold(&server);
        }
        all.push(Arc::clone(&server));
        let (servers, accepting) = (Arc::clone(self), Arc::clone(&server));
        thread::spawn(move || servers.accept(&accepting));
        Ok(server)
    }

    /// How a server starts, and what it can do.
    fn slow_start_of(&self, server: &Server) -> Option<SlowStartTerms> {
        Some(self.slow_start?.at_speed(self.speed(server)))
    }

    /// Whether the work of a server of a role is in the stream of its answers.
    fn works_in_stream(&self, decode: bool) -> bool {
        decode && self.has_long_answers
    }

    /// Requests that a server of a role works on at a time.
    fn slots(&self, decode: bool) -> usize {
        if self.works_in_stream(decode) {
            STREAM_SLOTS
        } else {
            SLOTS
        }
    }

    fn speed(&self, server: &Server) -> f64 {
        self.speeds.get(server.number).copied().unwrap_or(1.0)
    }

    fn begin_cold(&self, server: &Server) {
        let Some(terms) = self.slow_start_of(server) else {
            return;
        };
        let mut cold = lock(&server.cold);
        let started_at = self.record.note(Seen::ColdStart {
            server: server.number,
            speed: self.speed(server),
        });
        *cold = Some(ColdServer::new(terms, started_at));
    }

    /// Ends a server's process; the states that it held are gone.
    pub fn stop(&self, server: &Server) {
        server.down.store(true, Ordering::SeqCst);
        *lock(&server.cold) = None;
        let mut states = lock(&self.states);
        let lost: Vec<String> = states
            .held
            .iter()
            .filter(|(_, at)| **at == server.number)
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            states.held.remove(&id);
            self.record.note(Seen::Released { id });
        }
    }

    /// Starts a server's process again under the same uid; connections are taken from `accepts_in` on.
    pub fn restart(&self, server: &Server, booted_ms: u64, accepts_in: Duration) {
        server.booted_ms.store(booted_ms, Ordering::SeqCst);
        server.starts.fetch_add(1, Ordering::SeqCst);
        *lock(&server.accepts_from) = Some(Instant::now() + accepts_in);
        self.begin_cold(server);
        server.down.store(false, Ordering::SeqCst);
    }

    pub fn get(&self, number: usize) -> Arc<Server> {
        Arc::clone(&lock(&self.all)[number])
    }

    pub fn of_role(&self, decode: bool) -> Vec<Arc<Server>> {
        lock(&self.all)
            .iter()
            .filter(|s| s.decode == decode)
            .cloned()
            .collect()
    }

    /// So much of what arrives is reset from now on.
    pub fn reset(&self, share: f64) {
        self.resets.store((share * 1000.0) as u64, Ordering::SeqCst);
    }

    fn accept(self: &Arc<Servers>, server: &Arc<Server>) {
        loop {
            let is_late = lock(&server.accepts_from).is_some_and(|from| Instant::now() < from);
            if is_late || !server.accepts.load(Ordering::SeqCst) {
                thread::sleep(LOOK);
                continue;
            }
            let late_until = *lock(&server.accepts_from);
            match server.listener.accept() {
                Ok((stream, _)) if server.down.load(Ordering::SeqCst) => {
                    let _ = set_socket_linger(&stream, Some(Duration::ZERO));
                }
                Ok((stream, _)) => {
                    let (servers, server) = (Arc::clone(self), Arc::clone(server));
                    let taken_late =
                        late_until.is_some_and(|until| until.elapsed() < TAKEN_AT_ONCE);
                    thread::spawn(move || {
                        let number = servers.connections.fetch_add(1, Ordering::SeqCst);
                        let chance = Chance::new(servers.seed ^ number.wrapping_mul(0x9E37_79B9));
                        let spell = server.spells.load(Ordering::SeqCst);
                        let start = server.starts.load(Ordering::SeqCst);
                        let mut connection = Connection {
                            start,
                            taken_late,
                            servers,
                            server,
                            stream,
                            spell,
                            chance,
                            unread: Vec::new(),
                            attempt: None,
                            transfer: None,
                            was_hung: false,
                            is_slow: false,
                            reading_since: None,
                        };
                        connection.is_slow = connection.servers.reads_slowly
                            && connection.chance.happens(SLOW_READS);
                        // A connection that breaks has nobody left to be told.
                        let _ = connection.serve();
                    });
                }
                Err(_) => thread::sleep(LOOK),
            }
        }
    }
}

impl Server {
    /// Start of the process in Unix milliseconds; 0 for long ago.
    pub fn booted_ms(&self) -> u64 {
        self.booted_ms.load(Ordering::SeqCst)
    }

    fn capacity(&self) -> f64 {
        let cold = lock(&self.cold);
        cold.as_ref()
            .map_or(1.0, |cold| cold.capacity(Instant::now()))
    }

    /// From now on nothing arrives; connections stay open.
    pub fn fall_silent(&self, kept_only: bool) {
        self.kept_only.store(kept_only, Ordering::SeqCst);
        self.spells.fetch_add(1, Ordering::SeqCst);
        self.silent.store(true, Ordering::SeqCst);
    }

    pub fn return_from_silence(&self) {
        self.silent.store(false, Ordering::SeqCst);
    }

    /// From now on its threads stand still.
    pub fn hang(&self) {
        self.hangs.store(true, Ordering::SeqCst);
    }

    pub fn go_on(&self) {
        self.hangs.store(false, Ordering::SeqCst);
    }

    fn is_hung(&self) -> bool {
        self.hangs.load(Ordering::SeqCst) && !self.down.load(Ordering::SeqCst)
    }

    /// From now on no connection comes up; what is given back keeps it so.
    pub fn be_unreachable(&self) -> Vec<TcpStream> {
        self.accepts.store(false, Ordering::SeqCst);
        thread::sleep(2 * LOOK);
        // A shorter queue counts from now on.
        let _ = rustix::net::listen(&self.listener, 0);
        let within = Duration::from_millis(30);
        (0..FILLED_BY)
            .map_while(|_| TcpStream::connect_timeout(&self.address, within).ok())
            .collect()
    }

    pub fn be_reachable(&self, fill: Vec<TcpStream>) {
        drop(fill);
        // What stood in the queue has waited for nothing: it is reset, as by a machine that comes back.
        while let Ok((stream, _)) = self.listener.accept() {
            let _ = set_socket_linger(&stream, Some(Duration::ZERO));
        }
        let _ = rustix::net::listen(&self.listener, QUEUE);
        self.accepts.store(true, Ordering::SeqCst);
    }
}

struct Connection {
    servers: Arc<Servers>,
    server: Arc<Server>,
    stream: TcpStream,
    /// The spell of silence before which it was made.
    spell: u64,
    /// The start of the process to which it was made.
    start: u64,
    /// Its first bytes have waited for the server to take it.
    taken_late: bool,
    chance: Chance,
    unread: Vec<u8>,
    /// Id of the attempt that the dispatcher waits for here.
    attempt: Option<String>,
    /// Id of the hand-over that waits for its state here.
    transfer: Option<String>,
    /// The server has hung since the attempt arrived.
    was_hung: bool,
    /// When the first bytes of the next request were read.
    reading_since: Option<Instant>,
    /// The next large request is read slowly.
    is_slow: bool,
}

/// A request as it has arrived.
struct Call {
    method: String,
    path: String,
    id: String,
    told_ms: u64,
    work: Work,
}

/// The other side has ended the connection, or it was reset.
struct Ended;

impl Connection {
    fn serve(mut self) -> Result<(), Ended> {
        self.stream.set_nodelay(true).map_err(|_| Ended)?;
        self.stream
            .set_read_timeout(Some(LOOK))
            .map_err(|_| Ended)?;
        loop {
            let call = self.next_call()?;
            // What was given up before the server took the connection has reached nobody.
            if std::mem::take(&mut self.taken_late) && !self.is_open() {
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
        }
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
    fn end_transfer(&mut self, states: &mut States) -> bool {
        let Some(id) = self.transfer.take() else {
            return false;
        };
        states.waiting.entry(id).and_modify(|n| *n -= 1);
        true
    }

    /// Notes that an attempt is out no more, once.
    fn end_attempt(&mut self, declined: bool) {
        if let Some(id) = self.attempt.take() {
            self.note(Seen::Over {
                id,
                server: self.server.number,
                decode: self.server.decode,
                declined,
            });
        }
    }

    fn reset(&mut self) -> Result<(), Ended> {
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
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(Ended),
                Ok(n) => {
                    self.reading_since.get_or_insert_with(Instant::now);
                    self.unread.extend_from_slice(&buffer[..n]);
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
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

    fn say(&mut self, text: &str) -> Result<(), Ended> {
        self.hear()?;
        self.stream.write_all(text.as_bytes()).map_err(|_| Ended)
    }

    /// Works for a while; an error where the connection ends meanwhile.
    fn work(&mut self, for_s: f64) -> Result<(), Ended> {
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

    fn note(&self, seen: Seen) {
        self.servers.record.note(seen);
    }

    /// Notes an attempt whose last byte has come. A cold server falls where it is too much.
    fn arrived(&mut self, call: &Call) {
        let (id, server) = (call.id.clone(), self.server.number);
        self.attempt = Some(id.clone());
        self.was_hung = false;
        let work = call.work.weight(self.server.decode);
        let mut cold = lock(&self.server.cold);
        let at = self.servers.record.note(Seen::Arrived {
            id,
            server,
            decode: self.server.decode,
            told_ms: call.told_ms,
            work,
        });
        if cold.as_ref().is_some_and(|cold| cold.is_warm(at)) {
            *cold = None;
        }
        if cold
            .as_mut()
            .is_some_and(|cold| cold.receive(at, work, true).is_some())
        {
            *cold = None;
            self.servers.record.note(Seen::Fell { server });
            self.server.down.store(true, Ordering::SeqCst);
        }
    }

    fn report(&self) -> String {
        if self.servers.slow_start.is_none() {
            return REPORT.to_string();
        }
        let slots = self.servers.slots(self.server.decode);
        let busy = self.server.busy.load(Ordering::SeqCst) as f64 / slots as f64;
        let waiting = self.server.waiting.load(Ordering::SeqCst);
        format!("util={busy:.2},queue={waiting},x0={busy:.2}")
    }

    /// Works on a request up to its answer: for `for_s`, or as long as the server's capacity and the requests before it
    /// make it.
    fn work_on(&mut self, call: &Call, for_s: f64) -> Result<Service, Ended> {
        let Some(terms) = self.servers.slow_start_of(&self.server) else {
            return self.work(for_s).map(|()| Service::default());
        };
        let server = Arc::clone(&self.server);
        let slots = self.servers.slots(server.decode);
        let place = Counted::one_more(&server.waiting);
        let is_free = |busy: usize| (busy < slots).then_some(busy + 1);
        let taken = || {
            server
                .busy
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, is_free)
                .is_ok()
        };
        while !taken() {
            self.work(LOOK.as_secs_f64())?;
        }
        let slot = Slot(Arc::clone(&server));
        drop(place);
        let work = call.work.at(server.decode);
        let service_s = work * slots as f64 / terms.warm_rate;
        if !self.servers.works_in_stream(server.decode) {
            self.work(service_s / server.capacity())?;
            return Ok(Service::default());
        }
        self.work(FIRST_TOKEN_FRACTION * service_s / server.capacity())?;
        Ok(Service {
            stream_s: (1.0 - FIRST_TOKEN_FRACTION) * service_s,
            slot: Some(slot),
        })
    }

    fn is_full(&self) -> bool {
        let waiting = self.server.waiting.load(Ordering::SeqCst);
        self.servers.slow_start.is_some() && waiting >= MAX_WAITING
    }

    fn decline(&mut self) -> Result<(), Ended> {
        let said = self.say(DECLINED);
        self.end_attempt(true);
        said
    }

    fn is_reset(&mut self) -> bool {
        let share = self.servers.resets.load(Ordering::SeqCst) as f64 / 1000.0;
        self.chance.happens(share)
    }

    fn release(&mut self, call: &Call) -> Result<(), Ended> {
        if !call.path.starts_with("/bootstrap/rooms/") {
            return self.say(&plain("404 Not Found", "", REPORT));
        }
        {
            let mut states = lock(&self.servers.states);
            let waits = states.waiting.get(&call.id).is_some_and(|n| *n > 0);
            if !waits && states.held.remove(&call.id).is_some() {
                self.note(Seen::Released {
                    id: call.id.clone(),
                });
            }
        }
        self.say(std::str::from_utf8(RELEASED).unwrap_or_default())
    }

    fn prefill(&mut self, call: &Call) -> Result<(), Ended> {
        self.arrived(call);
        if self.is_full() {
            return self.decline();
        }
        let told_until = Instant::now() + Duration::from_millis(call.told_ms);
        let breaks = self.is_reset();
        let for_s = self.chance.between(0.005, 0.06);
        let worked = self.work_on(call, for_s);
        let is_overdue = self.was_hung && Instant::now() > told_until;
        let ends_well =
            !is_overdue && (!breaks && worked.is_ok() || self.chance.happens(LEFT_SHARE));
        if ends_well {
            // Under the lock, as a release may come in the same moment.
            let mut states = lock(&self.servers.states);
            states.held.insert(call.id.clone(), self.server.number);
            self.note(Seen::Held {
                id: call.id.clone(),
            });
        }
        let said = match worked {
            Ok(_) if breaks => self.reset(),
            Ok(_) => {
                let report = self.report();
                self.say(&plain("202 Accepted", r#"{"cached_tokens":0}"#, &report))
            }
            Err(ended) => Err(ended),
        };
        // It is out until its answer has left, or its connection has ended.
        self.end_attempt(false);
        said
    }

    fn decode(&mut self, call: &Call) -> Result<(), Ended> {
        if self.is_full() {
            self.arrived(call);
            return self.decline();
        }
        *lock(&self.servers.states)
            .waiting
            .entry(call.id.clone())
            .or_default() += 1;
        self.transfer = Some(call.id.clone());
        self.arrived(call);
        let breaks = self.is_reset();
        let for_s = self.chance.between(0.005, 0.08);
        let worked = self.work_on(call, for_s);
        let is_taken = {
            let servers = Arc::clone(&self.servers);
            let mut states = lock(&servers.states);
            let waited = self.end_transfer(&mut states);
            let is_taken = waited && worked.is_ok() && states.held.remove(&call.id).is_some();
            if is_taken {
                self.note(Seen::Taken {
                    id: call.id.clone(),
                });
            }
            is_taken
        };
        if worked.is_ok() && !is_taken {
            let said = self.say(std::str::from_utf8(GONE).unwrap_or_default());
            self.end_attempt(true);
            return said;
        }
        let ended = worked.and_then(|service| self.stream_events(call, breaks, service));
        self.end_attempt(false);
        ended
    }

    fn stream_events(&mut self, call: &Call, breaks: bool, service: Service) -> Result<(), Ended> {
        let events = match service.slot {
            Some(_) => 2 + (service.stream_s / SECONDS_PER_EVENT) as usize,
            None => 2 + self.chance.below(6),
        };
        let broken_at = if breaks {
            self.chance.below(events)
        } else {
            events
        };
        let shape = spoilt::draw(
            &mut self.chance,
            self.servers.may_spoil,
            self.servers.may_drag,
        );
        let spoilt_at = match &shape {
            Shape::Spoilt(spoil) if spoil.before_head => return self.spoil(call, spoil),
            // At least one event comes before it, by which the stream has begun.
            Shape::Spoilt(_) => 1 + self.chance.below(events - 1),
            _ => events,
        };
        if shape == Shape::Interim {
            self.say(INTERIM_ANSWER)?;
        }
        self.say(STREAM_HEAD)?;
        for event in 0..events {
            if event == broken_at {
                return self.reset();
            }
            if let (Shape::Spoilt(spoil), true) = (&shape, event == spoilt_at) {
                return self.spoil(call, spoil);
            }
            self.say_event(call, event, &shape)?;
            let pause_s = match service.slot {
                Some(_) => service.stream_s / events as f64 / self.server.capacity(),
                None => SHORT_STREAM_PAUSE_S,
            };
            self.work(pause_s)?;
        }
        let usage = call.work.output_tokens.map_or(String::new(), |tokens| {
            chunk(&format!(
                "data: {{\"choices\":[],\"usage\":{{\"completion_tokens\":{tokens:.0},\
                 \"prompt_tokens_details\":{{\"cached_tokens\":0}}}}}}\n\n"
            ))
        });
        let mut end = format!("{usage}{}0\r\n\r\n", chunk("data: [DONE]\n\n"));
        if shape == Shape::SecondAnswer {
            end.push_str(SECOND_ANSWER);
        }
        self.say(&end)?;
        self.note(Seen::StreamWhole {
            id: call.id.clone(),
        });
        Ok(())
    }

    /// Writes one whole event, and notes it.
    fn say_event(&mut self, call: &Call, number: usize, shape: &Shape) -> Result<(), Ended> {
        let event = chunk(&format!(
            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{number}\"}}}}]}}\n\n"
        ));
        let is_slow = (1..=SLOW_EVENTS).contains(&number);
        match shape {
            Shape::SlowEvents(pause_s) if is_slow => {
                self.work(*pause_s)?;
                self.say(&event)?;
            }
            Shape::SlowBytes(event_s) if is_slow => {
                let (first, rest) = event.split_at(event.len() - SLOW_BYTES);
                self.say(first)?;
                for byte in rest.chars() {
                    self.work(event_s / SLOW_BYTES as f64)?;
                    self.say(&byte.to_string())?;
                }
            }
            _ => self.say(&event)?,
        }
        self.note(Seen::Event {
            id: call.id.clone(),
        });
        Ok(())
    }

    /// Spoils an answer, and goes on with it until the other side ends the connection.
    fn spoil(&mut self, call: &Call, spoil: &Spoil) -> Result<(), Ended> {
        self.note(Seen::Spoilt {
            id: call.id.clone(),
        });
        self.say(&spoil.once)?;
        loop {
            self.work(spoil.every.as_secs_f64())?;
            self.say(&spoil.repeated)?;
        }
    }
}

/// What is left of the work on a request when its answer begins.
#[derive(Default)]
struct Service {
    /// Work of the stream, in seconds of a warm server; it holds the slot.
    stream_s: f64,
    slot: Option<Slot>,
}

/// A slot of a server, until it is dropped.
struct Slot(Arc<Server>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::SeqCst);
    }
}

/// One of a count, until it is dropped.
struct Counted<'a>(&'a AtomicUsize);

impl<'a> Counted<'a> {
    fn one_more(count: &'a AtomicUsize) -> Counted<'a> {
        count.fetch_add(1, Ordering::SeqCst);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn plain(status: &str, body: &str, report: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nSrv-Load: {report}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
