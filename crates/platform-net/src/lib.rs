//! The platform's sockets: one readiness loop over non-blocking sockets around the pure node of
//! `bitternlatch-platform`. It decides nothing on requests.

mod descriptors;
mod dial;
mod lingering;
mod listen;
mod signals;
mod socket;
mod transient_errors;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bitternlatch_core::Micros;
use bitternlatch_net::clock::Clock;
use bitternlatch_platform::access_log::AccessLog;
use bitternlatch_platform::config::Config;
use bitternlatch_platform::node::Node;
use bitternlatch_platform::types::{Command, ConnId, Input, Level};
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Events, Interest, Poll, Token};

use dial::ConnectRetries;
use signals::{Signal, Signals};
use socket::{ReadOutcome, Socket};
use transient_errors::retry_transient;

/// Tokens above those of connections, which count up from 1.
const LISTENER: Token = Token(usize::MAX);
const PEERS: Token = Token(usize::MAX - 1);
const SIGNALS: Token = Token(usize::MAX - 2);
/// Bytes read at once, and of one connection in one turn of the loop.
const READ_BYTES: usize = 32 * 1024;
const TURN_BYTES: usize = 4 * READ_BYTES;
/// Events taken from the system at once, and how often in a row while there are as many.
const BATCH: usize = 256;
const MAX_BATCHES: usize = 8;
/// Within a turn the system is asked for further events after this, seconds: a client that goes meanwhile is heard.
const POLL_AGAIN_SECS: f64 = 0.005;
/// Timers wait for what servers and clients have said by the time at which they are due, but in a turn no longer than
/// this, seconds.
const MAX_TIMER_DELAY_SECS: f64 = 0.01;
/// Connections taken in one turn.
const TURN_ACCEPTS: usize = 64;
/// Turns of accepting before the listener is closed: more than its queue holds.
const MAX_LAST_ACCEPTS: usize = 32;
/// Pause after a connection could not be taken.
const ACCEPT_PAUSE_SECS: f64 = 0.02;
/// Descriptors that are wanting a second time within this, seconds, are not wanting for a moment alone.
const EXHAUSTED_AGAIN_SECS: f64 = 0.1;
/// Connections that could not be taken are logged this often, seconds.
const ACCEPT_FAILURE_LOG_SECS: f64 = 1.0;
/// A configuration that cannot be read is looked at again until it can be, as it may be half written and names where
/// discovery is: so many times after the first pause, then after the second, seconds.
const RELOAD_RETRY_SECS: (f64, f64) = (0.1, 0.5);
const FAST_RELOAD_RETRIES: u32 = 10;
/// `BITTERNLATCH_LOG=info,explain=debug` says why requests were refused, failed, tried again or late.
const ACCESS_LOG_TARGET: &str = "explain";

/// Reads a configuration at the start, where a file that cannot be opened for a moment is waited for.
///
/// # Errors
/// One line that names the file, the field and the cause.
pub fn read_config(path: &Path) -> Result<Config, String> {
    parsed(path, retry_transient(|| std::fs::read_to_string(path)))
}

fn parsed(path: &Path, text: io::Result<String>) -> Result<Config, String> {
    let shown = path.display();
    let text = text.map_err(|e| format!("{shown}: {e}"))?;
    Config::parse(&text).map_err(|e| format!("{shown}: {e}"))
}

/// Serves until a signal says stop and what is in hand is answered.
///
/// # Errors
/// What kept it from starting, in one line; a poll that fails.
pub fn serve(path: &Path, config: Config) -> Result<(), String> {
    let mut driver = Driver::start(path, config)?;
    driver
        .run()
        .map_err(|e| format!("waiting for sockets failed: {e}"))
}

struct Driver {
    path: PathBuf,
    poll: Poll,
    clock: Clock,
    /// What the system had to tell by then is known; the node's time. Were it later, timers would act before the ends
    /// of clients that came while this process was held up.
    observed_at: Micros,
    node: Node,
    listener: Option<TcpListener>,
    /// Connections wait to be taken, not before this time.
    accept_at: Option<Micros>,
    /// When there was no descriptor for a client last.
    exhausted_at: Option<Micros>,
    /// Failed tries to take a connection since they were logged, and when that was.
    accept_failures: (u64, Micros),
    connect_retries: ConnectRetries,
    peers: Option<UdpSocket>,
    signals: Signals,
    sockets: BTreeMap<ConnId, Socket>,
    /// Those that may be read on without a new event.
    ready_again: BTreeSet<ConnId>,
    lingering: VecDeque<ConnId>,
    commands: Vec<Command>,
    /// What the sockets have told and the node has not heard yet.
    socket_events: VecDeque<SocketEvent>,
    buffer: Vec<u8>,
    reload_at: Option<(Micros, u32)>,
    /// The listener is to be closed at the end of this turn.
    stop_listening_requested: bool,
    stopped: bool,
}

#[derive(Clone, Copy, Debug)]
enum SocketEvent {
    Wrote(ConnId, usize),
    Ended(ConnId),
    Stale(ConnId),
}

impl Driver {
    fn start(path: &Path, mut config: Config) -> Result<Driver, String> {
        let fault = |what: &str| {
            let what = what.to_string();
            move |e: io::Error| format!("{what}: {e}")
        };
        let poll = retry_transient(Poll::new).map_err(fault("no readiness queue"))?;
        let address = config.listen;
        let mut listener = listen::retry_address_in_use(address, listen::listener).map_err(
            fault(&format!("field 'listen': cannot listen on {address}")),
        )?;
        let registry = poll.registry();
        registry
            .register(&mut listener, LISTENER, Interest::READABLE)
            .map_err(fault("cannot wait for clients"))?;
        let mut peers = match config.peer_listen.filter(|_| config.bounds.peers) {
            Some(at) => Some(
                listen::retry_address_in_use(at, UdpSocket::bind)
                    .map_err(fault(&format!("field 'peer_listen': {at}")))?,
            ),
            None => None,
        };
        if let Some(socket) = &mut peers {
            registry
                .register(socket, PEERS, Interest::READABLE)
                .map_err(fault("cannot wait for peers"))?;
        }
        let signals = retry_transient(|| Signals::start(registry, SIGNALS))
            .map_err(fault("cannot wait for signals"))?;
        config.limits = descriptors::effective_limits(config.limits);
        let clock = Clock::start();
        let mut commands = Vec::new();
        tracing::info!(name = config.name, %address, discovery = %config.discovery, "listening");
        if let Some(cause) = &config.known_fault {
            tracing::warn!(
                "field 'known' is not taken, and the list comes from discovery alone: {cause}"
            );
        }
        let begin = if tracing::enabled!(tracing::Level::DEBUG) {
            Node::traced
        } else {
            Node::new
        };
        let explains = tracing::enabled!(target: ACCESS_LOG_TARGET, tracing::Level::DEBUG);
        let access_log = explains.then(|| AccessLog::new(&config.settings));
        let mut node = begin(clock.now(), config, &mut commands);
        access_log
            .into_iter()
            .for_each(|access_log| node.enable_access_log(access_log));
        Ok(Driver {
            path: path.to_path_buf(),
            poll,
            observed_at: clock.now(),
            clock,
            node,
            listener: Some(listener),
            accept_at: None,
            exhausted_at: None,
            accept_failures: (0, Micros(0)),
            connect_retries: ConnectRetries::default(),
            peers,
            signals,
            sockets: BTreeMap::new(),
            ready_again: BTreeSet::new(),
            lingering: VecDeque::new(),
            commands,
            socket_events: VecDeque::new(),
            buffer: vec![0; READ_BYTES],
            reload_at: None,
            stop_listening_requested: false,
            stopped: false,
        })
    }

    fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(BATCH);
        self.run_commands();
        while !self.stopped {
            let mut wait = self.wait();
            // A signal ends the wait with nothing told, also one that stops the process for a while: due timers must not
            // act on what was known before.
            while let Err(e) = self.poll.poll(&mut events, Some(wait)) {
                if e.kind() != io::ErrorKind::Interrupted {
                    return Err(e);
                }
                wait = Duration::ZERO;
            }
            self.turn(&mut events);
        }
        self.drain_lingering(&mut events);
        tracing::info!(counts = ?self.node.counts(), "stopped");
        Ok(())
    }

    /// How long nothing has to be done without an event.
    fn wait(&self) -> Duration {
        if !self.ready_again.is_empty() {
            return Duration::ZERO;
        }
        let reload = self.reload_at.map(|r| r.0);
        let due = [
            self.node.next_due(),
            self.accept_at,
            reload,
            self.next_linger_deadline(),
            self.connect_retries.next(),
        ];
        let due = due.into_iter().flatten().min();
        due.map_or(Duration::from_secs(1), |at| self.clock.until(at))
    }

    fn turn(&mut self, events: &mut Events) {
        let mut ready = self.poll_ready(events);
        ready.extend(std::mem::take(&mut self.ready_again));
        self.handle_signals();
        // Clients with a request open first: all that they can say is that they have gone, or what comes next. Then
        // servers: a connection that has just ended must not be chosen for what a client has just asked.
        let rank = |conn: &ConnId| match self.sockets.get(conn) {
            Some(socket) if socket.accepted => {
                if self.node.has_open_request(*conn) {
                    0
                } else {
                    2
                }
            }
            _ => 1,
        };
        ready.sort_by_key(rank);
        let began = self.observed_at;
        for conn in ready {
            self.poll_again(events);
            if self.observed_at.since(began) >= MAX_TIMER_DELAY_SECS {
                self.tick();
            }
            self.serve_socket(conn);
        }
        self.poll_again(events);
        self.retry_connects();
        self.accept();
        self.reload();
        self.cut_lingering();
        self.poll_again(events);
        self.tick();
        if std::mem::take(&mut self.stop_listening_requested) {
            self.stop_listening();
        }
    }

    /// Lets timers that are due act.
    fn tick(&mut self) {
        if self
            .node
            .next_due()
            .is_some_and(|at| at <= self.observed_at)
        {
            self.input(Input::Tick);
        }
    }

    /// Takes whoever has connected by now, and nobody after that.
    fn stop_listening(&mut self) {
        for _ in 0..MAX_LAST_ACCEPTS {
            self.accept_at = Some(Micros(0));
            self.accept();
            if self.accept_at.is_none() {
                break;
            }
        }
        if let Some(mut listener) = self.listener.take() {
            let _ = self.poll.registry().deregister(&mut listener);
        }
        self.input(Input::NotListening);
    }

    /// Takes in what the system has told, and all else that it has to tell by now. Gives the connections that are ready.
    ///
    /// The node hears first of the clients that have gone, of all of them, and without what they said last: neither a
    /// server's answer nor a timer nor their own words may begin an attempt for them.
    fn poll_ready(&mut self, events: &mut Events) -> Vec<ConnId> {
        let (mut ready, mut disconnected) = (Vec::new(), Vec::new());
        let (mut peers, mut signals) = (false, false);
        for batch in 0..MAX_BATCHES {
            for event in events.iter() {
                match event.token() {
                    LISTENER => self.accept_at = Some(Micros(0)),
                    PEERS => peers = true,
                    SIGNALS => signals = true,
                    token => {
                        let conn = ConnId(token.0 as u64);
                        let Some(socket) = self.sockets.get_mut(&conn) else {
                            continue;
                        };
                        socket.record_readiness(event);
                        if socket.client_gone() {
                            &mut disconnected
                        } else {
                            &mut ready
                        }
                        .push(conn);
                    }
                }
            }
            if batch > 0 && events.iter().count() < BATCH {
                break;
            }
            self.observed_at = self.clock.now();
            if self.poll.poll(events, Some(Duration::ZERO)).is_err() {
                break;
            }
        }
        for conn in disconnected {
            self.forget(conn);
            // No command is carried out in between: what comes of it may let timers act.
            self.node
                .step(self.observed_at, Input::Ended { conn }, &mut self.commands);
        }
        self.run_commands();
        if peers {
            self.read_datagrams();
        }
        if signals {
            self.handle_signals();
        }
        ready
    }

    /// In a long turn, asks the system again; connections that are ready are served in the next one.
    fn poll_again(&mut self, events: &mut Events) {
        if self.clock.now().since(self.observed_at) < POLL_AGAIN_SECS {
            return;
        }
        events.clear();
        let ready = self.poll_ready(events);
        self.ready_again.extend(ready);
    }

    fn input(&mut self, input: Input) {
        self.node.step(self.observed_at, input, &mut self.commands);
        self.run_commands();
    }

    /// Carries out what the node says, and tells it what comes of it, until nothing is left.
    fn run_commands(&mut self) {
        loop {
            for one in self.node.take_trace() {
                tracing::debug!(actions = ?one.actions, "{:?}", one.event);
            }
            for command in std::mem::take(&mut self.commands) {
                self.run_command(command);
            }
            let Some(event) = self.socket_events.pop_front() else {
                return;
            };
            let input = match event {
                SocketEvent::Wrote(conn, count) => Input::Wrote { conn, count },
                SocketEvent::Ended(conn) => Input::Ended { conn },
                SocketEvent::Stale(conn) => Input::Stale { conn },
            };
            self.node.step(self.observed_at, input, &mut self.commands);
        }
    }

    fn run_command(&mut self, command: Command) {
        match command {
            Command::Connect { conn, to } => self.connect(conn, to),
            Command::Write { conn, bytes } => {
                if let Some(socket) = self.sockets.get_mut(&conn) {
                    socket.queue(bytes);
                    self.write(conn);
                }
            }
            Command::Reuse { conn, bytes } => self.reuse(conn, bytes),
            Command::Close { conn } => self.forget(conn),
            Command::Finish { conn } => self.finish(conn),
            Command::Pause { conn, paused } => {
                if let Some(socket) = self.sockets.get_mut(&conn) {
                    socket.paused = paused;
                    if !paused && socket.readable {
                        self.ready_again.insert(conn);
                    }
                }
            }
            Command::Datagram { to, data } => {
                if let Some(peers) = &self.peers {
                    // Messages to peers may be lost; nothing waits for them.
                    let _ = peers.send_to(&data, to);
                }
            }
            Command::StopListening => self.stop_listening_requested = true,
            Command::Stopped => self.stopped = true,
            Command::AccessLog { text } => tracing::debug!(target: ACCESS_LOG_TARGET, "{text}"),
            Command::Log {
                level: Level::Info,
                text,
            } => tracing::info!("{text}"),
            Command::Log {
                level: Level::Warn,
                text,
            } => tracing::warn!("{text}"),
        }
    }

    fn put(&mut self, conn: ConnId, mut stream: TcpStream, accepted: bool) -> io::Result<()> {
        let token = Token(conn.0 as usize);
        self.poll.registry().register(
            &mut stream,
            token,
            Interest::READABLE | Interest::WRITABLE,
        )?;
        self.sockets.insert(conn, Socket::new(stream, accepted));
        Ok(())
    }

    fn forget(&mut self, conn: ConnId) {
        if let Some(mut socket) = self.sockets.remove(&conn) {
            let _ = self.poll.registry().deregister(&mut socket.stream);
        }
        self.ready_again.remove(&conn);
        self.connect_retries.forget(conn);
    }

    /// Writes to a connection that stood idle, if it still does: what came on it since would be taken for the answer, and
    /// what is written behind its end may have run or not.
    fn reuse(&mut self, conn: ConnId, bytes: Vec<u8>) {
        let Some(socket) = self.sockets.get_mut(&conn) else {
            return;
        };
        if socket.is_silent() {
            socket.queue(bytes);
            return self.write(conn);
        }
        self.forget(conn);
        self.socket_events.push_back(SocketEvent::Stale(conn));
    }

    fn write(&mut self, conn: ConnId) {
        let Some(socket) = self.sockets.get_mut(&conn) else {
            return;
        };
        let (count, alive) = socket.write();
        let is_serving = !socket.lingering();
        if count > 0 && !is_serving {
            socket.restart_linger(self.clock.now());
        }
        if count > 0 && is_serving {
            self.socket_events
                .push_back(SocketEvent::Wrote(conn, count));
        }
        if alive {
            return;
        }
        if socket.accepted && is_serving {
            // A client that cannot be written to has gone, whatever it still had to say.
            self.forget(conn);
            self.socket_events.push_back(SocketEvent::Ended(conn));
        } else {
            // What the other side said before it went is still read.
            self.ready_again.insert(conn);
        }
    }

    /// Reads and writes what a connection is ready for.
    fn serve_socket(&mut self, conn: ConnId) {
        let Some(socket) = self.sockets.get_mut(&conn) else {
            return;
        };
        match socket.poll_connected() {
            Ok(None) => return,
            Ok(Some(false)) => {}
            Ok(Some(true)) => self.input(Input::Connected { conn }),
            Err(_) => return self.ended(conn),
        }
        self.write(conn);
        self.run_commands();
        let mut left = TURN_BYTES;
        while left > 0 {
            let Some(socket) = self.sockets.get_mut(&conn) else {
                return;
            };
            let mut buffer = std::mem::take(&mut self.buffer);
            let (n, outcome) = socket.read(&mut buffer);
            // What a client said just before it went begins nothing; what a server said is its answer.
            let is_dropped = socket.lingering() || socket.accepted && outcome == ReadOutcome::Ended;
            if n > 0 && !is_dropped {
                let input = Input::Received {
                    conn,
                    bytes: &buffer[..n],
                };
                self.node.step(self.observed_at, input, &mut self.commands);
            }
            self.buffer = buffer;
            self.run_commands();
            match outcome {
                ReadOutcome::Ended => return self.ended(conn),
                ReadOutcome::Nothing => return,
                ReadOutcome::More => left = left.saturating_sub(n),
            }
        }
        if self
            .sockets
            .get(&conn)
            .is_some_and(|s| s.readable && !s.paused)
        {
            self.ready_again.insert(conn);
        }
    }

    fn ended(&mut self, conn: ConnId) {
        let lingering = self.sockets.get(&conn).is_none_or(Socket::lingering);
        self.forget(conn);
        if !lingering {
            self.input(Input::Ended { conn });
        }
    }

    fn accept(&mut self) {
        if self.accept_at.is_none_or(|at| at > self.clock.now()) {
            return;
        }
        for _ in 0..TURN_ACCEPTS {
            let Some(listener) = &self.listener else {
                return self.accept_at = None;
            };
            match listener.accept() {
                Ok((stream, _)) => self.admit(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return self.accept_at = None,
                Err(e) if is_connection_lost(&e) => {}
                // As at the clients' bound: a new client displaces.
                Err(e)
                    if descriptors::is_exhausted(&e)
                        && self.is_exhausted_again()
                        && self.evict_for_new_client() => {}
                Err(e) => {
                    // Without descriptors an accept fails at once: asking again and again would spin.
                    self.log_accept_failure(&e);
                    return self.accept_at = Some(self.clock.now().after(ACCEPT_PAUSE_SECS));
                }
            }
        }
    }

    fn log_accept_failure(&mut self, error: &io::Error) {
        let now = self.clock.now();
        let (count, logged_at) = &mut self.accept_failures;
        *count += 1;
        if now.since(*logged_at) >= ACCEPT_FAILURE_LOG_SECS {
            tracing::warn!(
                "a connection could not be taken: {error}; {count} tries since the last such line"
            );
            (*count, *logged_at) = (0, now);
        }
    }

    /// There was no descriptor, as a moment ago: then it is no passing want.
    fn is_exhausted_again(&mut self) -> bool {
        let now = self.clock.now();
        let before = self.exhausted_at.replace(now);
        before.is_some_and(|at| now.since(at) < EXHAUSTED_AGAIN_SECS)
    }

    /// Takes a connection, and hears what it has said already before the next one, which may displace it: the front's
    /// call may stand among hundreds in the accept queue.
    fn admit(&mut self, stream: TcpStream) {
        let conn = self.node.next_conn();
        let _ = stream.set_nodelay(true);
        if self.put(conn, stream, true).is_err() {
            return;
        }
        if self.node.client_limit_reached(self.unwritten_answers()) {
            self.evict_for_new_client();
        }
        self.input(Input::Accepted { conn });
        if let Some(socket) = self.sockets.get_mut(&conn) {
            socket.readable = true;
            self.serve_socket(conn);
        }
    }

    fn read_datagrams(&mut self) {
        let mut data = [0; 512];
        for _ in 0..TURN_ACCEPTS {
            let Some(peers) = &self.peers else { return };
            match peers.recv_from(&mut data) {
                Ok((n, from)) => self.input(Input::Datagram {
                    from,
                    data: &data[..n],
                }),
                Err(_) => return,
            }
        }
    }

    fn handle_signals(&mut self) {
        for signal in self.signals.take() {
            match signal {
                Signal::Stop => self.input(Input::Stop),
                Signal::Reload => self.reload_at = Some((self.clock.now(), 0)),
            }
        }
    }

    fn reload(&mut self) {
        let now = self.clock.now();
        let Some((_, tries)) = self.reload_at.filter(|r| r.0 <= now) else {
            return;
        };
        self.reload_at = None;
        // Not waited for here, as the loop would stand still: it is looked at again below.
        match parsed(&self.path, std::fs::read_to_string(&self.path)) {
            Ok(config) => {
                self.node.reload(now, config, &mut self.commands);
                self.run_commands();
            }
            Err(why) => {
                if tries == 0 {
                    tracing::warn!("nothing is changed: {why}");
                }
                let pause_s = if tries < FAST_RELOAD_RETRIES {
                    RELOAD_RETRY_SECS.0
                } else {
                    RELOAD_RETRY_SECS.1
                };
                self.reload_at = Some((now.after(pause_s), tries.saturating_add(1)));
            }
        }
    }
}

/// The connection that was to be taken has gone already.
fn is_connection_lost(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted
    )
}
