//! The node: requests, attempts and timers around the decision module's `Router`. It translates and counts; whether,
//! where and when to send, refuse, probe or cancel is the module's.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use bitternlatch_core::{decide, Micros, Timers, Traced};
use bitternlatch_output_length::Timed;
use bitternlatch_policy::choice::Router;
use bitternlatch_policy::interface::{Action, Event, ListForm, RequestId, Role, ServerId};
use bitternlatch_routing_settings::{Bounds, Names};

use crate::clients::Clients;
use crate::config::{Config, Limits};
use crate::discovery::Fleet;
use crate::explain::{Explainer, Reasons};
use crate::pool::Pool;
use crate::releases::Releases;
use crate::requests::Requests;
use crate::resource_limits::Shares;
use crate::shutdown::Schedule;
use crate::types::{Command, ConnId, Input, Level};
use crate::watch::{call, Watch};

/// Connections and streams are looked over this often, seconds.
const SWEEP_S: f64 = 0.2;
/// Counts that have changed are logged this often, seconds.
const COUNTS_EVERY_S: f64 = 10.0;
/// At a stop, releases that begin with the last answers have this long to be confirmed, seconds: the kill comes 0.3 s
/// after those.
const LAST_RELEASES_S: f64 = 0.22;
/// Longest message between dispatchers, bytes.
const MOST_DATAGRAM: usize = 256;

/// Whether lengths of answers are learnt and told to the module; the drill has the same switch, and both have to agree.
const LEARNS: bool = false;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Due {
    /// The module's own.
    Router {
        label: u64,
    },
    /// An attempt's time is up.
    Attempt {
        request: RequestId,
        number: u16,
    },
    /// A connection has not come up, or an exchange that is no attempt has had no answer.
    Link {
        conn: ConnId,
        since: Micros,
    },
    /// A release that no host has confirmed yet is tried elsewhere too.
    Release {
        id: u64,
    },
    Sweep,
    /// Discovery may be called again, or has brought nothing in time.
    Watch,
    /// New connections are taken no more.
    Deaf,
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
    pub(crate) most_clients: usize,
    pub(crate) fleet: Fleet,
    pub(crate) clients: Clients,
    pub(crate) requests: Requests,
    pub(crate) pool: Pool,
    pub(crate) releases: Releases,
    pub(crate) timers: Timers<Due>,
    pub(crate) events: VecDeque<Event>,
    /// Probes that are out, since when.
    pub(crate) probes: BTreeMap<ServerId, Micros>,
    pub(crate) roles: Vec<Role>,
    pub(crate) by_client: BTreeMap<ConnId, RequestId>,
    /// Clients that read slowly, and the hosts' connections that are not read meanwhile.
    pub(crate) held_up: BTreeMap<ConnId, ConnId>,
    /// Clients just answered, who may have sent more ahead.
    pub(crate) ahead: Vec<ConnId>,
    /// Requests that may have ended.
    pub(crate) touched: Vec<RequestId>,
    /// Bytes of prompts in hand.
    pub(crate) held_bytes: usize,
    pub(crate) watch: Watch,
    pub(crate) listed: bool,
    conns: u64,
    trace: Option<Vec<Traced>>,
    explainer: Option<Explainer>,
    /// When the steps of a planned stop are taken.
    shutdown: Schedule,
    /// Set while stopping: until then what still comes must have its answer.
    pub(crate) last_answer: Option<Micros>,
    pub(crate) deaf: bool,
    stopped: bool,
    pub(crate) counts: Counts,
    /// The counts as last logged, and when they may be logged again.
    logged: (Counts, Micros),
}

/// What the node's tables hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holds {
    pub requests: usize,
    pub clients: usize,
    pub links: usize,
    pub hosts: usize,
    pub releases: usize,
    pub timers: usize,
    /// Of requests that are not whole yet.
    pub unfinished_bytes: usize,
}

/// What has happened since the start, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub arrived: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub broken: u64,
    pub gone: u64,
    pub turned_away: u64,
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
    pub fn new(now: Micros, config: Config, out: &mut Vec<Command>) -> Node {
        Node::begin(now, config, None, out)
    }

    /// The same, keeping every event that the module is told with its answer, to be held against what passes on the
    /// sockets; [`Node::take_trace`] has to be called now and then.
    pub fn traced(now: Micros, config: Config, out: &mut Vec<Command>) -> Node {
        Node::begin(now, config, Some(Vec::new()), out)
    }

    fn begin(
        now: Micros,
        config: Config,
        trace: Option<Vec<Traced>>,
        out: &mut Vec<Command>,
    ) -> Node {
        let shares = Shares::of(&config.limits);
        let longest_deadline_s = config
            .settings
            .classes
            .iter()
            .map(|c| c.deadline_s)
            .fold(0.0, f64::max);
        let shutdown = Schedule::new(longest_deadline_s, config.bounds.resumes);
        let mut node = Node {
            roles: config.settings.kinds.iter().map(|k| k.role).collect(),
            lengths: Timed::new(&config.settings),
            router: Router::new(config.settings, config.seed),
            pool: Pool::new(shares.hosts, config.bounds.idle_s),
            names: config.names,
            bounds: config.bounds,
            limits: config.limits,
            discovery: config.discovery,
            peers: config.peers,
            peers_all: config.peers_all,
            most_clients: shares.clients,
            fleet: Fleet::default(),
            clients: Clients::default(),
            requests: Requests::default(),
            releases: Releases::default(),
            timers: Timers::default(),
            events: VecDeque::new(),
            probes: BTreeMap::new(),
            by_client: BTreeMap::new(),
            held_up: BTreeMap::new(),
            ahead: Vec::new(),
            touched: Vec::new(),
            held_bytes: 0,
            watch: Watch::new(config.seed, &config.name),
            listed: false,
            conns: 0,
            trace,
            explainer: None,
            shutdown,
            last_answer: None,
            deaf: false,
            stopped: false,
            counts: Counts::default(),
            logged: (Counts::default(), now.after(COUNTS_EVERY_S)),
        };
        if let Some(known) = config.known {
            let entries = node.fleet.apply(now, known).entries;
            node.listed = true;
            node.events.push_back(Event::Servers {
                form: ListForm::Cached,
                entries,
            });
        }
        node.timers.set(now, Due::Watch);
        node.timers.set(now.after(SWEEP_S), Due::Sweep);
        node.settle(now, out);
        node
    }

    /// From now on, each request that is refused, failed, tried again or late leaves a line that says why.
    pub fn explain(&mut self, explainer: Explainer) {
        self.explainer = Some(explainer);
    }

    /// What was kept since the last call.
    pub fn take_trace(&mut self) -> Vec<Traced> {
        self.trace.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// An id for a connection that a client opens.
    pub fn next_conn(&mut self) -> ConnId {
        self.conns += 1;
        ConnId(self.conns)
    }

    /// When [`Input::Tick`] is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// The list is known, from wherever it came.
    pub fn ready(&self) -> bool {
        self.listed && self.last_answer.is_none()
    }

    /// What the tables hold at present.
    pub fn holds(&self) -> Holds {
        Holds {
            requests: self.requests.len(),
            clients: self.clients.len(),
            links: self.pool.len(),
            hosts: self.fleet.iter().count(),
            releases: self.releases.len(),
            timers: self.timers.len(),
            unfinished_bytes: self.clients.unfinished_bytes(),
        }
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Bytes that prompts in hand may take together: a quarter of the memory.
    pub(crate) fn most_held_bytes(&self) -> usize {
        self.limits.memory_bytes / 4
    }

    /// The same of requests that are not whole yet: an eighth, as their buffers may be twice as large as what they hold.
    pub(crate) fn most_unfinished_bytes(&self) -> usize {
        self.limits.memory_bytes / 8
    }

    /// Takes one input at clock time `now` and appends what is to be done, in order. Timers act on [`Input::Tick`] alone:
    /// what the system has told by a time is a fact, and a timer that is due by then decides on all of it. It must not
    /// begin an attempt for a client that has gone, take for unsent what has left, or for silent a host that has answered.
    pub fn step(&mut self, now: Micros, input: Input, out: &mut Vec<Command>) {
        match input {
            Input::Accepted { conn } => self.on_accepted(now, conn, out),
            Input::Connected { conn } => self.on_connected(now, conn, out),
            Input::Received { conn, bytes } => self.on_received(now, conn, bytes, out),
            Input::Wrote { conn, count } => self.on_wrote(now, conn, count, out),
            Input::Ended { conn } => self.on_ended(now, conn, out),
            Input::Stale { conn } => self.on_link_stale(now, conn, out),
            Input::Datagram { from, data } => self.on_datagram(from, data),
            Input::Tick => self.fire(now, out),
            Input::Stop => self.stop(now, out),
            Input::NotListening => self.turn_deaf(out),
        }
        self.settle(now, out);
    }

    /// A new configuration: a new address of discovery is called at once; list and requests are kept.
    pub fn reload(&mut self, now: Micros, config: Config, out: &mut Vec<Command>) {
        (self.peers, self.peers_all) = (config.peers, config.peers_all);
        if config.discovery != self.discovery {
            self.discovery = config.discovery;
            if let Some(conn) = self.watch.moved(now) {
                out.push(Command::Close { conn });
            }
            self.log(
                out,
                Level::Info,
                format!("discovery is at {} now", config.discovery),
            );
            self.follow(now, out);
        }
        self.settle(now, out);
    }

    pub(crate) fn log(&self, out: &mut Vec<Command>, level: Level, text: String) {
        out.push(Command::Log { level, text });
    }

    fn fire(&mut self, now: Micros, out: &mut Vec<Command>) {
        if self.timers.next().is_none_or(|at| at > now) {
            return;
        }
        for due in self.timers.take_due(now) {
            match due {
                Due::Router { label } => self.events.push_back(Event::Timer { label }),
                Due::Attempt { request, number } => self.on_time_up(now, request, number, out),
                Due::Link { conn, since } => self.on_link_late(now, conn, since, out),
                Due::Release { id } => self.hedge_release(now, id, out),
                Due::Sweep => self.sweep(now, out),
                Due::Watch => self.follow(now, out),
                Due::Deaf => out.push(Command::StopListening),
                Due::StreamsEnd => self.end_streams(now, out),
                // What is left is looked at below.
                Due::ReleasesEnd => {}
            }
            self.settle(now, out);
        }
    }

    /// Tells the module what has happened and carries out what it says, until nothing is left.
    pub(crate) fn settle(&mut self, now: Micros, out: &mut Vec<Command>) {
        let mut actions = Vec::new();
        while !self.events.is_empty() || !self.ahead.is_empty() {
            while let Some(mut event) = self.events.pop_front() {
                if LEARNS {
                    self.lengths.see(now.seconds(), &mut event);
                }
                let told = self.explainer.is_some().then(|| event.clone());
                decide(&mut self.router, now, event, &mut self.trace, &mut actions);
                if let Some(event) = told {
                    self.account_for(now, event, &actions, out);
                }
                for action in actions.drain(..) {
                    self.act(now, action, out);
                }
            }
            for conn in std::mem::take(&mut self.ahead) {
                self.read_requests(now, conn, out);
                self.end_if_deaf(conn, out);
            }
        }
        self.reap(now, out);
        // Releases that no host answers are waited for as long as a stop may take.
        let over = |last_answer: Micros| now >= last_answer.after(LAST_RELEASES_S);
        let released = self.releases.is_empty() || self.last_answer.is_some_and(over);
        let idle = self.clients.is_empty() && self.requests.is_empty() && released;
        if self.deaf && idle && !self.stopped {
            self.stopped = true;
            out.push(Command::Stopped);
        }
    }

    fn account_for(
        &mut self,
        now: Micros,
        event: Event,
        actions: &[Action],
        out: &mut Vec<Command>,
    ) {
        let Some(explainer) = &mut self.explainer else {
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
        let reasons = |request| Reasons {
            reckoned: (request == choice.request).then_some(choice.explanation),
            cause: failure.filter(|f| f.request == request).map(|f| f.cause),
        };
        for text in explainer.see(&traced, id, reasons) {
            out.push(Command::Explain { text });
        }
    }

    fn act(&mut self, now: Micros, action: Action, out: &mut Vec<Command>) {
        match action {
            Action::Send {
                request,
                server,
                timeout_s,
            } => self.send(now, request, server, timeout_s, out),
            Action::Cancel { request, attempt } => self.cancel(now, request, attempt, out),
            Action::Reject {
                request,
                retry_after_s,
            } => self.refuse(now, request, retry_after_s, out),
            Action::Fail { request } => self.fail(now, request, out),
            Action::Release { request } => self.release(now, request, out),
            Action::Probe { server } => self.probe(now, server, out),
            Action::SetTimer { at, label } => {
                self.timers.set(Micros::at(at), Due::Router { label })
            }
            // The watch is always open; the whole list comes with it after a gap.
            Action::Subscribe | Action::Unsubscribe | Action::FetchList => {}
            Action::ReserveSlot { .. } | Action::Migrate { .. } => {
                self.log(
                    out,
                    Level::Warn,
                    "the module asked for what the platform has no call for".into(),
                );
            }
            Action::CloseIdle { server } => {
                for conn in self.pool.idle_at(server) {
                    self.drop_link(conn, out);
                }
            }
            Action::SendToPeer { peer, data } => self.tell_peer(peer, data, out),
            Action::Log { text } => self.log(out, Level::Info, text),
            Action::Fault { text } => {
                self.log(out, Level::Warn, format!("the module failed: {text}"))
            }
        }
    }

    fn tell_peer(&self, peer: Option<u16>, data: Vec<u8>, out: &mut Vec<Command>) {
        let to = match peer {
            Some(number) => self.peers.get(usize::from(number)).copied(),
            None => self.peers_all,
        };
        if let Some(to) = to.filter(|_| self.bounds.peers && data.len() <= MOST_DATAGRAM) {
            out.push(Command::Datagram { to, data });
        }
    }

    fn on_datagram(&mut self, from: SocketAddr, data: &[u8]) {
        let number = self.peers.iter().position(|p| *p == from);
        // What goes to all comes back to its sender too.
        if let Some(number) = number.filter(|n| *n != self.bounds.me && data.len() <= MOST_DATAGRAM)
        {
            self.events.push_back(Event::PeerMessage {
                from: number as u32,
                data: data.to_vec(),
            });
        }
    }

    fn on_connected(&mut self, now: Micros, conn: ConnId, out: &mut Vec<Command>) {
        if self.watch.conn() == Some(conn) {
            let rev = self.fleet.rev();
            return out.push(Command::Write {
                conn,
                bytes: call(rev),
            });
        }
        self.on_link_up(now, conn, out);
    }

    fn on_received(&mut self, now: Micros, conn: ConnId, bytes: &[u8], out: &mut Vec<Command>) {
        if self.watch.conn() == Some(conn) {
            self.on_discovery(now, bytes, out);
        } else if self.pool.get(conn).is_some() {
            self.on_link_bytes(now, conn, bytes, out);
        } else {
            self.on_client_bytes(now, conn, bytes, out);
        }
    }

    fn on_wrote(&mut self, now: Micros, conn: ConnId, count: usize, out: &mut Vec<Command>) {
        if let Some(link) = self.pool.get_mut(conn) {
            link.unsent = link.unsent.saturating_sub(count);
        } else {
            self.on_client_wrote(now, conn, count, out);
        }
    }

    fn on_ended(&mut self, now: Micros, conn: ConnId, out: &mut Vec<Command>) {
        if self.watch.conn() == Some(conn) {
            self.on_watch_ended(now, out);
        } else if self.pool.get(conn).is_some() {
            self.on_link_ended(now, conn, out);
        } else {
            self.on_client_ended(now, conn, out);
        }
    }

    fn sweep(&mut self, now: Micros, out: &mut Vec<Command>) {
        for conn in self.clients.overdue(now) {
            self.turn_away(conn, 408, "no whole request in time", out);
        }
        for conn in self.clients.stuck(now) {
            out.push(Command::Close { conn });
            self.on_client_ended(now, conn, out);
        }
        let fleet = &self.fleet;
        for conn in self.pool.stale(now, |l| {
            fleet.get(l.server).is_some_and(|t| t.endpoint == l.to)
        }) {
            self.drop_link(conn, out);
        }
        self.break_stalled(now, out);
        self.log_counts(now, out);
        self.timers.set(now.after(SWEEP_S), Due::Sweep);
    }

    /// A process that is killed has no last word: what it has counted stands in its log a few seconds old.
    fn log_counts(&mut self, now: Micros, out: &mut Vec<Command>) {
        let (before, due) = self.logged;
        if now < due || before == self.counts {
            return;
        }
        self.logged = (self.counts, now.after(COUNTS_EVERY_S));
        self.log(out, Level::Info, format!("counts {:?}", self.counts));
    }

    fn stop(&mut self, now: Micros, out: &mut Vec<Command>) {
        if self.last_answer.is_some() {
            return;
        }
        self.log(
            out,
            Level::Info,
            format!("stopping with {} requests in hand", self.requests.len()),
        );
        let last_answer = now.after(self.shutdown.last_answer_s);
        self.last_answer = Some(last_answer);
        self.timers
            .set(last_answer.after(LAST_RELEASES_S), Due::ReleasesEnd);
        self.timers.set(now.after(self.shutdown.deaf_s), Due::Deaf);
        if let Some(streams_end_s) = self.shutdown.streams_end_s {
            self.timers.set(now.after(streams_end_s), Due::StreamsEnd);
        }
    }

    /// Takes nothing new from here on: idle clients go elsewhere; those with a request open are told with its answer.
    fn turn_deaf(&mut self, out: &mut Vec<Command>) {
        self.deaf = true;
        for conn in self.clients.idle() {
            self.finish_client(conn, out);
        }
    }

    /// A client just answered while stopping goes elsewhere, unless a whole request of its that was sent ahead has been
    /// read: that one has to have its answer as well.
    fn end_if_deaf(&mut self, conn: ConnId, out: &mut Vec<Command>) {
        if self.deaf && self.clients.get(conn).is_some_and(|client| !client.busy()) {
            self.finish_client(conn, out);
        }
    }
}
