//! Mock model servers: a prefill server really holds a state from its prefill's end until a decode server takes it or a
//! release arrives at any running server. They fall silent, hang, reset, and become unreachable as a day says.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use rustix::net::sockopt::{set_socket_linger, set_socket_recv_buffer_size};

use crate::draw::Day;
use crate::faults::Fault;
use crate::record::{Record, Seen};
use crate::slow_start::{ColdServer, SlowStartTerms};
use connection::Connection;

mod answers;
mod connection;
mod places;

/// How often a thread looks at what has changed.
const LOOK: Duration = Duration::from_millis(4);
/// What an accept queue holds, and the connections that fill a short one.
const QUEUE: i32 = 256;
const FILLED_BY: usize = 6;
/// Requests that a server with a limited capacity works on at a time, and the same of decode servers whose answers are long.
const SLOTS: usize = 2;
const STREAM_SLOTS: usize = 16;
/// Receive buffer of servers that read slowly.
const SHORT_BUFFER: usize = 4096;
/// Connections that are taken so soon after a server takes any may have waited.
const TAKEN_AT_ONCE: Duration = Duration::from_millis(100);

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
        // When no connection was waiting, or none was to be taken.
        let mut idle_at = Instant::now();
        loop {
            let is_late = lock(&server.accepts_from).is_some_and(|from| Instant::now() < from);
            if is_late || !server.accepts.load(Ordering::SeqCst) {
                thread::sleep(LOOK);
                idle_at = Instant::now();
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
                        let mut connection = Connection::new(servers, server, stream, taken_late);
                        connection.add_delay(idle_at.elapsed());
                        // A connection that breaks has nobody left to be told.
                        let _ = connection.serve();
                    });
                }
                Err(_) => {
                    idle_at = Instant::now();
                    thread::sleep(LOOK);
                }
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
