//! The node: passes events on its connections to the decision module and carries out the module's actions.
//!
//! The decision module alone decides whether, where and when to send a request, reject it, check a server's health or
//! cancel an attempt. Each part of the state is owned by one field of [`Node`]; the submodules pass inputs and actions
//! to that owner.

mod attempt_ends;
mod attempts;
mod client_requests;
mod discovery_updates;
mod eviction;
mod exchanges;
mod health_check_calls;
mod release_calls;
mod streams;

use std::collections::VecDeque;
use std::net::SocketAddr;

use bitternlatch_core::{Micros, Timers, TracedDecision};
use bitternlatch_policy::interface::{Action, Event, Role};
use bitternlatch_routing_settings::{Bounds, Names};

use crate::abandoned_ids::AbandonedIds;
use crate::access_log::AccessLog;
use crate::clients::Clients;
use crate::cold_servers::{ColdServers, WarmUpCounts};
use crate::config::Config;
use crate::counts::{CountsLog, RequestCounts, ResourceUsage};
use crate::decisions::Decisions;
use crate::discovery_client::DiscoveryClient;
use crate::discovery_watch::DiscoveryWatch;
use crate::health_checks::HealthChecks;
use crate::peers::Peers;
use crate::pool::{ConnectionPool, ConnectionUse, ServerConnection};
use crate::releases::Releases;
use crate::requests::Requests;
use crate::resource_limits::{ConnectionLimits, Limits};
use crate::shutdown::{Shutdown, ShutdownSchedule};
use crate::timer::Timer;
use crate::types::{Command, ConnId, Input, Level};

/// Interval between two checks for overdue clients and expired idle connections, seconds.
const SWEEP_INTERVAL_SECS: f64 = 0.2;

fn log(commands: &mut Vec<Command>, level: Level, text: String) {
    commands.push(Command::Log { level, text });
}

/// One dispatcher, without I/O. See [`Node::step`].
pub struct Node {
    decisions: Decisions,
    discovery: DiscoveryClient,
    /// Whether the node reports ready even without an endpoint list.
    readiness_timed_out: bool,
    cold_servers: ColdServers,
    clients: Clients,
    requests: Requests,
    abandoned_ids: AbandonedIds,
    /// Connections to model servers.
    pool: ConnectionPool,
    health_checks: HealthChecks,
    releases: Releases,
    peers: Peers,
    shutdown: Shutdown,
    timers: Timers<Timer>,
    /// Events that have not been passed to the decision module yet.
    events: VecDeque<Event>,
    counts: RequestCounts,
    counts_log: CountsLog,
    last_conn: u64,
    names: Names,
    bounds: Bounds,
    limits: Limits,
    /// Role of each kind of model server, indexed by the kind's number.
    roles: Vec<Role>,
}

impl Node {
    /// Creates a node without clients or requests. It sends nothing to servers until discovery has sent a line.
    pub fn new(now: Micros, config: Config, commands: &mut Vec<Command>) -> Node {
        Node::build(now, config, false, commands)
    }

    /// Like [`Node::new`], but records every event with the actions that the decision module returned, so that they can
    /// be compared with the traffic on the sockets. The record grows until [`Node::take_trace`] is called.
    pub fn traced(now: Micros, config: Config, commands: &mut Vec<Command>) -> Node {
        Node::build(now, config, true, commands)
    }

    fn build(now: Micros, config: Config, traced: bool, commands: &mut Vec<Command>) -> Node {
        let connections = ConnectionLimits::of(&config.limits);
        let deadlines = config.settings.classes.iter().map(|c| c.deadline_s);
        let schedule =
            ShutdownSchedule::new(deadlines.fold(0.0, f64::max), config.bounds.clients_resume);
        let (own_number, peers_allowed) = (
            config.bounds.dispatcher_index,
            config.bounds.allows_peer_messages,
        );
        let bounds = Bounds {
            max_open_requests: config
                .bounds
                .max_open_requests
                .min(connections.open_requests()),
            ..config.bounds
        };
        let watch = DiscoveryWatch::new(config.seed, &config.name);
        if let Some(cached) = &config.cached_list {
            let line = format!("endpoint list of the configuration: {cached}");
            log(commands, Level::Info, line);
        }
        let mut node = Node {
            roles: config.settings.kinds.iter().map(|k| k.role).collect(),
            cold_servers: ColdServers::new(config.settings.slow_start.clone()),
            decisions: Decisions::new(config.settings, config.seed, traced),
            discovery: DiscoveryClient::new(now, config.discovery, watch, config.cached_list),
            readiness_timed_out: false,
            clients: Clients::new(connections.clients),
            requests: Requests::default(),
            abandoned_ids: AbandonedIds::default(),
            pool: ConnectionPool::new(connections.servers, config.bounds.idle_timeout_s),
            health_checks: HealthChecks::default(),
            releases: Releases::default(),
            peers: Peers::new(
                config.peers,
                config.broadcast_address,
                own_number,
                peers_allowed,
            ),
            shutdown: Shutdown::new(schedule),
            timers: Timers::default(),
            events: VecDeque::new(),
            counts: RequestCounts::default(),
            counts_log: CountsLog::new(now),
            last_conn: 0,
            names: config.names,
            bounds,
            limits: config.limits,
        };
        node.events.push_back(Event::EndpointListPending);
        node.timers
            .set(node.discovery.readiness_deadline(), Timer::ReadinessTimeout);
        node.timers.set(now, Timer::DiscoveryWatch);
        node.timers
            .set(now.after(SWEEP_INTERVAL_SECS), Timer::Sweep);
        node.process_events(now, commands);
        node
    }

    /// Enables the access log: from now on, each request that was rejected, failed, retried or late gets a line with
    /// the reason.
    pub fn enable_access_log(&mut self, access_log: AccessLog) {
        self.decisions.enable_access_log(access_log);
    }

    /// Returns the events and actions recorded since the last call.
    pub fn take_trace(&mut self) -> Vec<TracedDecision> {
        self.decisions.take_trace()
    }

    /// Allocates an id for a connection that a client opens.
    pub fn next_conn(&mut self) -> ConnId {
        self.last_conn += 1;
        ConnId(self.last_conn)
    }

    /// Time of the earliest timer, at which [`Input::Tick`] is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Whether the node can take requests: discovery has sent or confirmed an endpoint list, or has not done so for too
    /// long, and no shutdown was requested.
    pub fn is_ready(&self) -> bool {
        let has_started = self.discovery.has_list() || self.readiness_timed_out;
        has_started && !self.shutdown.is_requested()
    }

    /// Current sizes of the node's tables.
    pub fn resource_usage(&self) -> ResourceUsage {
        ResourceUsage {
            requests: self.requests.len(),
            clients: self.clients.len(),
            server_connections: self.pool.len(),
            servers: self.discovery.endpoints().iter().count(),
            releases: self.releases.len(),
            timers: self.timers.len(),
            unfinished_bytes: self.clients.unfinished_bytes(),
        }
    }

    /// Totals since the node was created.
    pub fn counts(&self) -> RequestCounts {
        self.counts
    }

    /// Totals of the warm-ups of model servers since the node was created.
    pub fn warm_up_counts(&self) -> WarmUpCounts {
        self.cold_servers.counts()
    }

    /// Processes one input at clock time `now` and appends the resulting commands in order. Timers fire on
    /// [`Input::Tick`] alone, after the other inputs of that time: a timer must not start an attempt for a client that
    /// has disconnected, treat a written request as unsent, or treat a server that has responded as unresponsive.
    pub fn step(&mut self, now: Micros, input: Input, commands: &mut Vec<Command>) {
        match input {
            Input::Accepted { conn } => self.on_accepted(now, conn, commands),
            Input::Connected { conn } => self.on_connected(now, conn, commands),
            Input::Received { conn, bytes } => self.on_received(now, conn, bytes, commands),
            Input::Wrote { conn, count } => self.on_written(now, conn, count, commands),
            Input::Ended { conn } => self.on_closed(now, conn, commands),
            Input::Undelivered { conn } => self.on_request_undelivered(now, conn, commands),
            Input::Stale { conn } => self.on_server_connection_stale(now, conn, commands),
            Input::Datagram { from, data } => self.on_datagram(from, data),
            Input::Tick => self.run_due_timers(now, commands),
            Input::Stop => self.start_shutdown(now, commands),
            Input::NotListening => self.stop_accepting(commands),
        }
        self.process_events(now, commands);
    }

    /// Applies a new configuration. If the address of discovery changed, the watch connects to the new one at once; the
    /// endpoint list and open requests are kept.
    pub fn reload(&mut self, now: Micros, config: Config, commands: &mut Vec<Command>) {
        self.peers.replace(config.peers, config.broadcast_address);
        if self.discovery.set_address(now, config.discovery, commands) {
            self.update_watch(now, commands);
        }
        self.process_events(now, commands);
    }

    fn run_due_timers(&mut self, now: Micros, commands: &mut Vec<Command>) {
        if self.timers.next().is_none_or(|at| at > now) {
            return;
        }
        for due in self.timers.take_due(now) {
            match due {
                Timer::DecisionModule { label } => self.events.push_back(Event::Timer { label }),
                Timer::AttemptTimeout { request, number } => {
                    self.on_attempt_timeout(now, request, number, commands)
                }
                Timer::ServerConnection { conn, since } => {
                    self.on_server_timeout(now, conn, since, commands)
                }
                Timer::Release { id } => self.hedge_release(now, id, commands),
                Timer::Sweep => self.sweep(now, commands),
                Timer::DiscoveryWatch => self.update_watch(now, commands),
                Timer::ReadinessTimeout => self.on_readiness_timeout(commands),
                Timer::StopAccepting => commands.push(Command::StopListening),
                Timer::StreamCheck { request } => self.check_stream(now, request, commands),
                Timer::StreamsEnd => self.end_streams(now, commands),
                // The `finish_shutdown` call in `process_events` checks the release deadline.
                Timer::ReleasesEnd => {}
            }
            self.process_events(now, commands);
        }
    }

    /// Passes events to the decision module and performs its actions until no event and no pipelined request is left.
    fn process_events(&mut self, now: Micros, commands: &mut Vec<Command>) {
        while !self.events.is_empty() || self.clients.has_pipelined() {
            self.decide_events(now, commands);
            for conn in self.clients.take_pipelined() {
                self.read_requests(now, conn, commands);
                self.finish_if_not_accepting(conn, commands);
            }
        }
        self.call_deferred_releases(now, commands);
        self.requests.remove_complete();
        self.finish_shutdown(now, commands);
    }

    fn decide_events(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let requests = &self.requests;
            let id = |request| {
                let open = requests.get(request);
                open.map_or_else(String::new, |open| open.id.clone())
            };
            for text in self.decisions.decide(now, event, id, &mut actions) {
                commands.push(Command::AccessLog { text });
            }
            for action in actions.drain(..) {
                self.perform_action(now, action, commands);
            }
        }
    }

    /// Completes the shutdown once no client, request or release is left. Releases that no server has confirmed are
    /// waited for only until the release deadline.
    fn finish_shutdown(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let is_answered = self.clients.is_empty() && self.requests.is_empty();
        if is_answered && !self.shutdown.is_accepting() {
            self.end_release_repetition(now, commands);
        }
        let is_released = self.releases.is_empty() || self.shutdown.releases_timed_out(now);
        if self.shutdown.finish(is_answered && is_released) {
            commands.push(Command::Stopped);
        }
    }

    fn perform_action(&mut self, now: Micros, action: Action, commands: &mut Vec<Command>) {
        match action {
            Action::Send {
                request,
                server,
                timeout_s,
            } => self.send_attempt(now, request, server, timeout_s, commands),
            Action::Cancel { request, attempt } => {
                self.cancel_attempt(now, request, attempt, commands)
            }
            Action::Reject {
                request,
                retry_after_s,
            } => self.reject_request(now, request, retry_after_s, commands),
            Action::Fail { request } => self.fail_request(now, request, commands),
            Action::Release { request, repeat } => {
                self.start_release(now, request, repeat, commands)
            }
            Action::Probe { server } => self.start_health_check(now, server, commands),
            Action::SetTimer { at, label } => self
                .timers
                .set(Micros::from_seconds(at), Timer::DecisionModule { label }),
            // The watch is always open, and discovery sends the full list after an interruption.
            Action::Subscribe | Action::Unsubscribe | Action::FetchList => {}
            Action::ReserveSlot { .. } | Action::Migrate { .. } => {
                log(
                    commands,
                    Level::Warn,
                    "the decision module requested an action that the platform does not support"
                        .into(),
                );
            }
            Action::CloseIdle { server } => self.close_idle_connections(server, commands),
            Action::SendToPeer { peer, data } => self.send_to_peer(peer, data, commands),
            Action::Log { text } => log(commands, Level::Info, text),
            Action::Fault { text } => log(
                commands,
                Level::Warn,
                format!("the decision module failed: {text}"),
            ),
        }
    }

    fn send_to_peer(&self, peer: Option<u16>, data: Vec<u8>, commands: &mut Vec<Command>) {
        if let Some(to) = self.peers.destination(peer, data.len()) {
            commands.push(Command::Datagram { to, data });
        }
    }

    fn on_datagram(&mut self, from: SocketAddr, data: &[u8]) {
        if let Some(number) = self.peers.sender(from, data.len()) {
            self.events.push_back(Event::PeerMessage {
                from: number as u32,
                data: data.to_vec(),
            });
        }
    }

    fn on_connected(&mut self, now: Micros, conn: ConnId, commands: &mut Vec<Command>) {
        if self.discovery.owns_connection(conn) {
            let bytes = self.discovery.watch_request();
            return commands.push(Command::Write { conn, bytes });
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
        if self.discovery.owns_connection(conn) {
            self.on_watch_bytes(now, bytes, commands);
        } else if self.pool.get(conn).is_some() {
            self.on_server_bytes(now, conn, bytes, commands);
        } else {
            self.on_client_bytes(now, conn, bytes, commands);
        }
    }

    fn on_written(&mut self, now: Micros, conn: ConnId, count: usize, commands: &mut Vec<Command>) {
        if let Some(connection) = self.pool.get_mut(conn) {
            connection.unsent_bytes = connection.unsent_bytes.saturating_sub(count);
            let is_attempt = matches!(connection.usage, ConnectionUse::Attempt { .. });
            if is_attempt && count > 0 && connection.is_written() {
                let (server, chosen_at) = (connection.server, connection.in_use_since);
                self.cold_servers.record_written(now, server, chosen_at);
            }
        } else {
            self.on_client_written(now, conn, count, commands);
        }
    }

    fn on_closed(&mut self, now: Micros, conn: ConnId, commands: &mut Vec<Command>) {
        if self.discovery.owns_connection(conn) {
            self.on_watch_closed(now, commands);
        } else if self.pool.get(conn).is_some() {
            self.on_server_closed(now, conn, commands);
        } else {
            self.on_client_closed(now, conn, commands);
        }
    }

    fn sweep(&mut self, now: Micros, commands: &mut Vec<Command>) {
        for conn in self.clients.overdue(now) {
            self.reject_and_close(conn, 408, "no whole request in time", commands);
        }
        for conn in self.clients.stalled(now) {
            commands.push(Command::Close { conn });
            self.on_client_closed(now, conn, commands);
        }
        let endpoints = self.discovery.endpoints();
        let is_listed = |connection: &ServerConnection| {
            let endpoint = endpoints.get(connection.server);
            endpoint.is_some_and(|e| e.address == connection.address)
        };
        for conn in self.pool.expired_idle(now, is_listed) {
            self.close_server_connection(conn, commands);
        }
        self.log_warm_ups(now, commands);
        let warm_ups = self.cold_servers.counts();
        if let Some(line) = self.counts_log.line(now, self.counts, warm_ups) {
            log(commands, Level::Info, line);
        }
        self.timers
            .set(now.after(SWEEP_INTERVAL_SECS), Timer::Sweep);
    }

    /// Logs the warm-ups of model servers that have begun or ended.
    fn log_warm_ups(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let decisions = &self.decisions;
        let status = |server| decisions.slow_start_status(now, server);
        let endpoints = self.discovery.endpoints();
        for line in self.cold_servers.update(now, endpoints, status) {
            log(commands, Level::Info, line);
        }
    }

    fn start_shutdown(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let Some(times) = self.shutdown.begin(now) else {
            return;
        };
        let requests = self.requests.len();
        log(
            commands,
            Level::Info,
            format!("shutting down with {requests} open requests"),
        );
        self.timers.set(times.releases_end, Timer::ReleasesEnd);
        self.timers.set(times.stop_accepting, Timer::StopAccepting);
        if let Some(streams_end) = times.streams_end {
            self.timers.set(streams_end, Timer::StreamsEnd);
        }
    }

    /// Stops accepting requests and closes the connections of idle clients. Clients with an open request are closed
    /// after their response.
    fn stop_accepting(&mut self, commands: &mut Vec<Command>) {
        self.shutdown.stop_accepting();
        for conn in self.clients.idle() {
            self.finish_client(conn, commands);
        }
    }

    /// Closes a client's connection after its response during shutdown, unless a complete pipelined request from it has
    /// just been read; that request must be answered too.
    fn finish_if_not_accepting(&mut self, conn: ConnId, commands: &mut Vec<Command>) {
        if !self.shutdown.is_accepting()
            && self
                .clients
                .get(conn)
                .is_some_and(|client| !client.has_open_request())
        {
            self.finish_client(conn, commands);
        }
    }
}
