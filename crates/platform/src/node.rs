//! The node: requests, attempts and timers around the decision module's `Router`. It translates and counts; whether,
//! where and when to send, refuse, probe or cancel is the module's.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use bitternlatch_core::{decide, Micros, Timers, Traced};
use bitternlatch_output_length::Timed;
use bitternlatch_policy::choice::Router;
use bitternlatch_policy::interface::{Action, Event, ListForm, RequestId, Role, ServerId};
use bitternlatch_routing_settings::{Bounds, Names};

use crate::access_log::{AccessLog, DecisionReasons};
use crate::clients::Clients;
use crate::config::{Config, Limits};
use crate::discovery::Endpoints;
use crate::discovery_watch::{call, DiscoveryWatch};
use crate::pool::ConnectionPool;
use crate::releases::Releases;
use crate::requests::Requests;
use crate::resource_limits::ConnectionLimits;
use crate::shutdown::ShutdownSchedule;
use crate::types::{Command, ConnId, Input, Level};

/// Connections and streams are looked over this often, seconds.
const SWEEP_SECS: f64 = 0.2;
/// Counts that have changed are logged this often, seconds.
const COUNTS_EVERY_SECS: f64 = 10.0;
/// At a stop, releases that begin with the last answers have this long to be confirmed, seconds: the kill comes 0.3 s
/// after those.
const LAST_RELEASES_SECS: f64 = 0.22;
/// Longest message between dispatchers, bytes.
const MAX_DATAGRAM: usize = 256;

/// Whether lengths of answers are learnt and told to the module; the drill has the same switch, and both have to agree.
const LEARNS: bool = false;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// The module's own.
    Router {
        label: u64,
    },
    /// An attempt's time is up.
    AttemptTimeout {
        request: RequestId,
        number: u16,
    },
    /// A connection has not come up, or an exchange that is no attempt has had no answer.
    ServerConnection {
        conn: ConnId,
        since: Micros,
    },
    /// A release that no host has confirmed yet is tried elsewhere too.
    Release {
        id: u64,
    },
    Sweep,
    /// Discovery may be called again, or has brought nothing in time.
    DiscoveryWatch,
    /// New connections are taken no more.
    StopAccepting,
    /// Streams are waited for no longer.
    StreamsEnd,
    /// Nor are releases.
    ReleasesEnd,
}

/// One dispatcher on the platform.
pub struct Node {
    pub(crate) router: Router,
    /// Lengths of answers, learnt by this node alone.
    lengths: Timed,
    pub(crate) names: Names,
    pub(crate) bounds: Bounds,
    limits: Limits,
    pub(crate) discovery: SocketAddr,
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    pub(crate) max_clients: usize,
    pub(crate) endpoints: Endpoints,
    pub(crate) clients: Clients,
    pub(crate) requests: Requests,
    pub(crate) pool: ConnectionPool,
    pub(crate) releases: Releases,
    pub(crate) timers: Timers<Timer>,
    pub(crate) events: VecDeque<Event>,
    /// Probes that are out, since when.
    pub(crate) health_checks: BTreeMap<ServerId, Micros>,
    pub(crate) roles: Vec<Role>,
    pub(crate) by_client: BTreeMap<ConnId, RequestId>,
    /// Clients that read slowly, and the hosts' connections that are not read meanwhile.
    pub(crate) backpressured: BTreeMap<ConnId, ConnId>,
    /// Clients just answered, who may have sent more ahead.
    pub(crate) pipelined: Vec<ConnId>,
    /// Requests that may have ended.
    pub(crate) maybe_complete: Vec<RequestId>,
    /// Bytes of prompts in hand.
    pub(crate) prompt_bytes: usize,
    pub(crate) watch: DiscoveryWatch,
    pub(crate) endpoints_known: bool,
    last_conn: u64,
    trace: Option<Vec<Traced>>,
    access_log: Option<AccessLog>,
    /// When the steps of a planned stop are taken.
    shutdown: ShutdownSchedule,
    /// Set while stopping: until then what still comes must have its answer.
    pub(crate) answer_deadline: Option<Micros>,
    pub(crate) not_accepting: bool,
    stopped: bool,
    pub(crate) counts: RequestCounts,
    /// The counts as last logged, and when they may be logged again.
    logged: (RequestCounts, Micros),
}

/// What the node's tables hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    pub requests: usize,
    pub clients: usize,
    pub server_connections: usize,
    pub servers: usize,
    pub releases: usize,
    pub timers: usize,
    /// Of requests that are not whole yet.
    pub unfinished_bytes: usize,
}

/// What has happened since the start, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    pub arrived: u64,
    pub served: u64,
    pub shed: u64,
    pub failed: u64,
    pub broken: u64,
    pub disconnected: u64,
    pub rejected: u64,
    pub attempts: u64,
    /// Requests whose state was to be released.
    pub releases: u64,
    /// Calls made for them, and those of them that a model host has answered.
    pub release_calls: u64,
    pub releases_confirmed: u64,
    /// Confirmed later than the platform allows from their begin on.
    pub releases_late: u64,
    /// Given up with no answer, or dropped at the table's bound.
    pub releases_unconfirmed: u64,
}

impl Node {
    /// A node with nothing in hand; the configuration's list counts until discovery speaks.
    pub fn new(now: Micros, config: Config, commands: &mut Vec<Command>) -> Node {
        Node::begin(now, config, None, commands)
    }

    /// The same, keeping every event that the module is told with its answer, to be held against what passes on the
    /// sockets; [`Node::take_trace`] has to be called now and then.
    pub fn traced(now: Micros, config: Config, commands: &mut Vec<Command>) -> Node {
        Node::begin(now, config, Some(Vec::new()), commands)
    }

    fn begin(
        now: Micros,
        config: Config,
        trace: Option<Vec<Traced>>,
        commands: &mut Vec<Command>,
    ) -> Node {
        let shares = ConnectionLimits::of(&config.limits);
        let longest_deadline_s = config
            .settings
            .classes
            .iter()
            .map(|c| c.deadline_s)
            .fold(0.0, f64::max);
        let shutdown = ShutdownSchedule::new(longest_deadline_s, config.bounds.resumes);
        let mut node = Node {
            roles: config.settings.kinds.iter().map(|k| k.role).collect(),
            lengths: Timed::new(&config.settings),
            router: Router::new(config.settings, config.seed),
            pool: ConnectionPool::new(shares.hosts, config.bounds.idle_s),
            names: config.names,
            bounds: config.bounds,
            limits: config.limits,
            discovery: config.discovery,
            peers: config.peers,
            peers_all: config.peers_all,
            max_clients: shares.clients,
            endpoints: Endpoints::default(),
            clients: Clients::default(),
            requests: Requests::default(),
            releases: Releases::default(),
            timers: Timers::default(),
            events: VecDeque::new(),
            health_checks: BTreeMap::new(),
            by_client: BTreeMap::new(),
            backpressured: BTreeMap::new(),
            pipelined: Vec::new(),
            maybe_complete: Vec::new(),
            prompt_bytes: 0,
            watch: DiscoveryWatch::new(config.seed, &config.name),
            endpoints_known: false,
            last_conn: 0,
            trace,
            access_log: None,
            shutdown,
            answer_deadline: None,
            not_accepting: false,
            stopped: false,
            counts: RequestCounts::default(),
            logged: (RequestCounts::default(), now.after(COUNTS_EVERY_SECS)),
        };
        if let Some(known) = config.known {
            let entries = node.endpoints.apply(now, known).entries;
            node.endpoints_known = true;
            node.events.push_back(Event::Servers {
                form: ListForm::Cached,
                entries,
            });
        }
        node.timers.set(now, Timer::DiscoveryWatch);
        node.timers.set(now.after(SWEEP_SECS), Timer::Sweep);
        node.settle(now, commands);
        node
    }

    /// From now on, each request that is refused, failed, tried again or late leaves a line that says why.
    pub fn enable_access_log(&mut self, access_log: AccessLog) {
        self.access_log = Some(access_log);
    }

    /// What was kept since the last call.
    pub fn take_trace(&mut self) -> Vec<Traced> {
        self.trace.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// An id for a connection that a client opens.
    pub fn next_conn(&mut self) -> ConnId {
        self.last_conn += 1;
        ConnId(self.last_conn)
    }

    /// When [`Input::Tick`] is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// The list is known, from wherever it came.
    pub fn ready(&self) -> bool {
        self.endpoints_known && self.answer_deadline.is_none()
    }

    /// What the tables hold at present.
    pub fn resource_usage(&self) -> ResourceUsage {
        ResourceUsage {
            requests: self.requests.len(),
            clients: self.clients.len(),
            server_connections: self.pool.len(),
            servers: self.endpoints.iter().count(),
            releases: self.releases.len(),
            timers: self.timers.len(),
            unfinished_bytes: self.clients.unfinished_bytes(),
        }
    }

    pub fn counts(&self) -> RequestCounts {
        self.counts
    }

    /// Bytes that prompts in hand may take together: a quarter of the memory.
    pub(crate) fn max_prompt_bytes(&self) -> usize {
        self.limits.memory_bytes / 4
    }

    /// The same of requests that are not whole yet: an eighth, as their buffers may be twice as large as what they hold.
    pub(crate) fn max_unfinished_bytes(&self) -> usize {
        self.limits.memory_bytes / 8
    }

    /// Takes one input at clock time `now` and appends what is to be done, in order. Timers act on [`Input::Tick`] alone:
    /// what the system has told by a time is a fact, and a timer that is due by then decides on all of it. It must not
    /// begin an attempt for a client that has gone, take for unsent what has left, or for silent a host that has answered.
    pub fn step(&mut self, now: Micros, input: Input, commands: &mut Vec<Command>) {
        match input {
            Input::Accepted { conn } => self.on_accepted(now, conn, commands),
            Input::Connected { conn } => self.on_connected(now, conn, commands),
            Input::Received { conn, bytes } => self.on_received(now, conn, bytes, commands),
            Input::Wrote { conn, count } => self.on_wrote(now, conn, count, commands),
            Input::Ended { conn } => self.on_ended(now, conn, commands),
            Input::Stale { conn } => self.on_server_connection_stale(now, conn, commands),
            Input::Datagram { from, data } => self.on_datagram(from, data),
            Input::Tick => self.run_due_timers(now, commands),
            Input::Stop => self.stop(now, commands),
            Input::NotListening => self.stop_accepting(commands),
        }
        self.settle(now, commands);
    }

    /// A new configuration: a new address of discovery is called at once; list and requests are kept.
    pub fn reload(&mut self, now: Micros, config: Config, commands: &mut Vec<Command>) {
        (self.peers, self.peers_all) = (config.peers, config.peers_all);
        if config.discovery != self.discovery {
            self.discovery = config.discovery;
            if let Some(conn) = self.watch.moved(now) {
                commands.push(Command::Close { conn });
            }
            self.log(
                commands,
                Level::Info,
                format!("discovery is at {} now", config.discovery),
            );
            self.drive_watch(now, commands);
        }
        self.settle(now, commands);
    }

    pub(crate) fn log(&self, commands: &mut Vec<Command>, level: Level, text: String) {
        commands.push(Command::Log { level, text });
    }

    fn run_due_timers(&mut self, now: Micros, commands: &mut Vec<Command>) {
        if self.timers.next().is_none_or(|at| at > now) {
            return;
        }
        for due in self.timers.take_due(now) {
            match due {
                Timer::Router { label } => self.events.push_back(Event::Timer { label }),
                Timer::AttemptTimeout { request, number } => {
                    self.on_time_up(now, request, number, commands)
                }
                Timer::ServerConnection { conn, since } => {
                    self.on_server_timeout(now, conn, since, commands)
                }
                Timer::Release { id } => self.hedge_release(now, id, commands),
                Timer::Sweep => self.sweep(now, commands),
                Timer::DiscoveryWatch => self.drive_watch(now, commands),
                Timer::StopAccepting => commands.push(Command::StopListening),
                Timer::StreamsEnd => self.end_streams(now, commands),
                // What is left is looked at below.
                Timer::ReleasesEnd => {}
            }
            self.settle(now, commands);
        }
    }

    /// Tells the module what has happened and carries out what it says, until nothing is left.
    pub(crate) fn settle(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let mut actions = Vec::new();
        while !self.events.is_empty() || !self.pipelined.is_empty() {
            while let Some(mut event) = self.events.pop_front() {
                if LEARNS {
                    self.lengths.see(now.seconds(), &mut event);
                }
                let told = self.access_log.is_some().then(|| event.clone());
                decide(&mut self.router, now, event, &mut self.trace, &mut actions);
                if let Some(event) = told {
                    self.record_decision(now, event, &actions, commands);
                }
                for action in actions.drain(..) {
                    self.perform(now, action, commands);
                }
            }
            for conn in std::mem::take(&mut self.pipelined) {
                self.read_requests(now, conn, commands);
                self.finish_if_not_accepting(conn, commands);
            }
        }
        self.remove_complete_requests(now, commands);
        // Releases that no host answers are waited for as long as a stop may take.
        let answered = |answer_deadline: Micros| now >= answer_deadline.after(LAST_RELEASES_SECS);
        let released = self.releases.is_empty() || self.answer_deadline.is_some_and(answered);
        let idle = self.clients.is_empty() && self.requests.is_empty() && released;
        if self.not_accepting && idle && !self.stopped {
            self.stopped = true;
            commands.push(Command::Stopped);
        }
    }

    fn record_decision(
        &mut self,
        now: Micros,
        event: Event,
        actions: &[Action],
        commands: &mut Vec<Command>,
    ) {
        let Some(access_log) = &mut self.access_log else {
            return;
        };
        let traced = Traced {
            now_s: now.seconds(),
            event,
            actions: actions.to_vec(),
        };
        let id = |request| {
            self.requests
                .get(request)
                .map_or_else(String::new, |open| open.id.clone())
        };
        let (choice, failure) = (self.router.last_choice(), self.router.last_failure());
        let reasons = |request| DecisionReasons {
            reckoned: (request == choice.request).then_some(choice.explanation),
            cause: failure.filter(|f| f.request == request).map(|f| f.cause),
        };
        for text in access_log.record(&traced, id, reasons) {
            commands.push(Command::AccessLog { text });
        }
    }

    fn perform(&mut self, now: Micros, action: Action, commands: &mut Vec<Command>) {
        match action {
            Action::Send {
                request,
                server,
                timeout_s,
            } => self.send(now, request, server, timeout_s, commands),
            Action::Cancel { request, attempt } => self.cancel(now, request, attempt, commands),
            Action::Reject {
                request,
                retry_after_s,
            } => self.refuse(now, request, retry_after_s, commands),
            Action::Fail { request } => self.fail(now, request, commands),
            Action::Release { request } => self.release(now, request, commands),
            Action::Probe { server } => self.start_health_check(now, server, commands),
            Action::SetTimer { at, label } => {
                self.timers.set(Micros::at(at), Timer::Router { label })
            }
            // The watch is always open; the whole list comes with it after a gap.
            Action::Subscribe | Action::Unsubscribe | Action::FetchList => {}
            Action::ReserveSlot { .. } | Action::Migrate { .. } => {
                self.log(
                    commands,
                    Level::Warn,
                    "the module asked for what the platform has no call for".into(),
                );
            }
            Action::CloseIdle { server } => {
                for conn in self.pool.idle_at(server) {
                    self.close_server_connection(conn, commands);
                }
            }
            Action::SendToPeer { peer, data } => self.send_to_peer(peer, data, commands),
            Action::Log { text } => self.log(commands, Level::Info, text),
            Action::Fault { text } => {
                self.log(commands, Level::Warn, format!("the module failed: {text}"))
            }
        }
    }

    fn send_to_peer(&self, peer: Option<u16>, data: Vec<u8>, commands: &mut Vec<Command>) {
        let to = match peer {
            Some(number) => self.peers.get(usize::from(number)).copied(),
            None => self.peers_all,
        };
        if let Some(to) = to.filter(|_| self.bounds.peers && data.len() <= MAX_DATAGRAM) {
            commands.push(Command::Datagram { to, data });
        }
    }

    fn on_datagram(&mut self, from: SocketAddr, data: &[u8]) {
        let number = self.peers.iter().position(|p| *p == from);
        // What goes to all comes back to its sender too.
        if let Some(number) = number.filter(|n| *n != self.bounds.me && data.len() <= MAX_DATAGRAM)
        {
            self.events.push_back(Event::PeerMessage {
                from: number as u32,
                data: data.to_vec(),
            });
        }
    }

    fn on_connected(&mut self, now: Micros, conn: ConnId, commands: &mut Vec<Command>) {
        if self.watch.conn() == Some(conn) {
            let rev = self.endpoints.rev();
            return commands.push(Command::Write {
                conn,
                bytes: call(rev),
            });
        }
        self.on_server_connected(now, conn, commands);
    }

    fn on_received(
        &mut self,
        now: Micros,
        conn: ConnId,
        bytes: &[u8],
        commands: &mut Vec<Command>,
    ) {
        if self.watch.conn() == Some(conn) {
            self.on_discovery(now, bytes, commands);
        } else if self.pool.get(conn).is_some() {
            self.on_server_bytes(now, conn, bytes, commands);
        } else {
            self.on_client_bytes(now, conn, bytes, commands);
        }
    }

    fn on_wrote(&mut self, now: Micros, conn: ConnId, count: usize, commands: &mut Vec<Command>) {
        if let Some(connection) = self.pool.get_mut(conn) {
            connection.unsent = connection.unsent.saturating_sub(count);
        } else {
            self.on_client_wrote(now, conn, count, commands);
        }
    }

    fn on_ended(&mut self, now: Micros, conn: ConnId, commands: &mut Vec<Command>) {
        if self.watch.conn() == Some(conn) {
            self.on_watch_ended(now, commands);
        } else if self.pool.get(conn).is_some() {
            self.on_server_ended(now, conn, commands);
        } else {
            self.on_client_ended(now, conn, commands);
        }
    }

    fn sweep(&mut self, now: Micros, commands: &mut Vec<Command>) {
        for conn in self.clients.overdue(now) {
            self.reject(conn, 408, "no whole request in time", commands);
        }
        for conn in self.clients.stuck(now) {
            commands.push(Command::Close { conn });
            self.on_client_ended(now, conn, commands);
        }
        let endpoints = &self.endpoints;
        for conn in self.pool.stale(now, |l| {
            endpoints.get(l.server).is_some_and(|t| t.endpoint == l.to)
        }) {
            self.close_server_connection(conn, commands);
        }
        self.break_stalled_streams(now, commands);
        self.log_counts(now, commands);
        self.timers.set(now.after(SWEEP_SECS), Timer::Sweep);
    }

    /// A process that is killed has no last word: what it has counted stands in its log a few seconds old.
    fn log_counts(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let (before, due) = self.logged;
        if now < due || before == self.counts {
            return;
        }
        self.logged = (self.counts, now.after(COUNTS_EVERY_SECS));
        self.log(commands, Level::Info, format!("counts {:?}", self.counts));
    }

    fn stop(&mut self, now: Micros, commands: &mut Vec<Command>) {
        if self.answer_deadline.is_some() {
            return;
        }
        self.log(
            commands,
            Level::Info,
            format!("stopping with {} requests in hand", self.requests.len()),
        );
        let answer_deadline = now.after(self.shutdown.answer_by_s);
        self.answer_deadline = Some(answer_deadline);
        self.timers.set(
            answer_deadline.after(LAST_RELEASES_SECS),
            Timer::ReleasesEnd,
        );
        self.timers.set(
            now.after(self.shutdown.stop_accepting_s),
            Timer::StopAccepting,
        );
        if let Some(streams_end_s) = self.shutdown.streams_end_s {
            self.timers.set(now.after(streams_end_s), Timer::StreamsEnd);
        }
    }

    /// Takes nothing new from here on: idle clients go elsewhere; those with a request open are told with its answer.
    fn stop_accepting(&mut self, commands: &mut Vec<Command>) {
        self.not_accepting = true;
        for conn in self.clients.idle() {
            self.finish_client(conn, commands);
        }
    }

    /// A client just answered while stopping goes elsewhere, unless a whole request of its that was sent ahead has been
    /// read: that one has to have its answer as well.
    fn finish_if_not_accepting(&mut self, conn: ConnId, commands: &mut Vec<Command>) {
        if self.not_accepting && self.clients.get(conn).is_some_and(|client| !client.busy()) {
            self.finish_client(conn, commands);
        }
    }
}
