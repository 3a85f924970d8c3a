//! Exchanges with model servers: attempts, health checks and release calls, each on a connection of its own while it
//! lasts.

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{Event, Outcome, ServerId, ServerStatus};

use super::Node;
use crate::pool::{ConnectionUse, Placement, ServerAddress, ServerConnection};
use crate::responses::{parse_load_report, BodyProgress, CompleteResponse, ResponseReader};
use crate::timer::Timer;
use crate::types::{Command, ConnId};

/// Whole milliseconds from one time to a later one; none where it is not later.
fn milliseconds_left(now: Micros, until: Micros) -> u64 {
    until.0.saturating_sub(now.0) / 1000
}

/// What is expected on a connection that is used so.
fn reader_for(usage: ConnectionUse) -> ResponseReader {
    match usage {
        ConnectionUse::Attempt { .. } => ResponseReader::for_attempt(),
        ConnectionUse::Idle | ConnectionUse::HealthCheck { .. } | ConnectionUse::Release { .. } => {
            ResponseReader::default()
        }
    }
}

impl Node {
    /// Begins an exchange with a server on an idle connection or a new one. `call` is what a health check or a release says; an
    /// attempt's request is made when it can be written.
    pub(super) fn start_exchange(
        &mut self,
        now: Micros,
        target: ServerAddress,
        usage: ConnectionUse,
        call: Vec<u8>,
        commands: &mut Vec<Command>,
    ) -> Option<ConnId> {
        let conn = match self.pool.place(now, target.address, usage) {
            Placement::Full => return None,
            Placement::Idle(conn) => {
                self.reuse_connection(now, conn, target.server, usage, call, commands)
            }
            Placement::New { replaces } => {
                if let Some(idle) = replaces {
                    self.close_server_connection(idle, commands);
                }
                self.open_connection(now, target, usage, call, commands)
            }
        };
        if let Some(limit_s) = self.response_timeout_s(usage) {
            self.timers.set(
                now.after(limit_s),
                Timer::ServerConnection { conn, since: now },
            );
        }
        Some(conn)
    }

    /// Writes on an idle connection, unless it proves stale.
    fn reuse_connection(
        &mut self,
        now: Micros,
        conn: ConnId,
        server: ServerId,
        usage: ConnectionUse,
        call: Vec<u8>,
        commands: &mut Vec<Command>,
    ) -> ConnId {
        let bytes = self.bytes_to_write(now, usage, &call);
        if let Some(connection) = self.pool.get_mut(conn) {
            (
                connection.usage,
                connection.in_use_since,
                connection.unsent_bytes,
            ) = (usage, now, bytes.len());
            (connection.server, connection.response) = (server, reader_for(usage));
            // Kept until it is known to have been written: another connection may have to carry it.
            connection.pending_call = call;
        }
        commands.push(Command::Reuse { conn, bytes });
        conn
    }

    /// Opens a connection; what it is for is written once it is up.
    fn open_connection(
        &mut self,
        now: Micros,
        ServerAddress {
            server,
            address: to,
        }: ServerAddress,
        usage: ConnectionUse,
        call: Vec<u8>,
        commands: &mut Vec<Command>,
    ) -> ConnId {
        let conn = self.next_conn();
        let response = reader_for(usage);
        let connection = ServerConnection {
            address: to,
            server,
            connected: false,
            usage,
            in_use_since: now,
            pending_call: call,
            unsent_bytes: 0,
            response,
            last_received: None,
        };
        self.pool.insert(conn, connection);
        commands.push(Command::Connect { conn, to });
        let late = now.after(self.bounds.connect_timeout_s);
        self.timers
            .set(late, Timer::ServerConnection { conn, since: now });
        conn
    }

    /// How long an exchange other than an attempt waits for its answer, seconds.
    fn response_timeout_s(&self, usage: ConnectionUse) -> Option<f64> {
        match usage {
            // As long as for a connection: a server that says nothing to a health check in that time is as good as silent.
            ConnectionUse::HealthCheck { .. } => Some(self.bounds.connect_timeout_s),
            ConnectionUse::Release { id, .. } => Some(self.releases.response_timeout_s(id)),
            ConnectionUse::Attempt { .. } | ConnectionUse::Idle => None,
        }
    }

    /// A connection that was to be used again is of no use: what was to go out on it takes another one.
    pub(super) fn on_server_connection_stale(
        &mut self,
        now: Micros,
        conn: ConnId,
        commands: &mut Vec<Command>,
    ) {
        let Some(connection) = self.pool.remove(conn) else {
            return;
        };
        let target = ServerAddress {
            server: connection.server,
            address: connection.address,
        };
        let usage = connection.usage;
        if !self.still_wanted(connection.server, usage) {
            return self.on_exchange_failed(now, usage, Outcome::ConnectFailed, commands);
        }
        let Some(other) =
            self.start_exchange(now, target, usage, connection.pending_call, commands)
        else {
            return self.on_exchange_failed(now, usage, Outcome::NotSent, commands);
        };
        if let ConnectionUse::Attempt { request, .. } = usage {
            if let Some(attempt) = self
                .requests
                .get_mut(request)
                .and_then(|o| o.in_flight.as_mut())
            {
                attempt.conn = other;
            }
        }
    }

    /// Whether what waits for a connection is to go out. The list may have changed meanwhile: what drains gets nothing
    /// new. An attempt begins with its last byte: none does once its request has its answer or its client has gone.
    fn still_wanted(&self, server: ServerId, usage: ConnectionUse) -> bool {
        let ConnectionUse::Attempt { request, .. } = usage else {
            return true;
        };
        let ready = self
            .discovery
            .endpoints()
            .get(server)
            .is_some_and(|t| t.status == ServerStatus::Ready);
        ready
            && self
                .requests
                .get(request)
                .is_some_and(|open| !open.answered)
    }

    pub(super) fn on_server_connected(
        &mut self,
        now: Micros,
        conn: ConnId,
        commands: &mut Vec<Command>,
    ) {
        let Some(connection) = self.pool.get_mut(conn) else {
            return;
        };
        connection.connected = true;
        let waiting = std::mem::take(&mut connection.pending_call);
        let (server, usage) = (connection.server, connection.usage);
        if !self.still_wanted(server, usage) {
            self.close_server_connection(conn, commands);
            return self.on_exchange_failed(now, usage, Outcome::ConnectFailed, commands);
        }
        let bytes = self.bytes_to_write(now, usage, &waiting);
        if let Some(connection) = self.pool.get_mut(conn) {
            connection.unsent_bytes = bytes.len();
        }
        commands.push(Command::Write { conn, bytes });
    }

    /// What goes out now: an attempt's request says how long its server has, which is no more than the client has left,
    /// however long a connection took to come up; anything else goes out as it was given.
    fn bytes_to_write(&self, now: Micros, usage: ConnectionUse, call: &[u8]) -> Vec<u8> {
        let ConnectionUse::Attempt {
            request,
            times_out_at: until,
            ..
        } = usage
        else {
            return call.to_vec();
        };
        let forwarded = self
            .requests
            .get(request)
            .and_then(|open| open.forwarded.as_ref());
        forwarded
            .map(|request| request.bytes(milliseconds_left(now, until)))
            .unwrap_or_default()
    }

    pub(super) fn close_server_connection(&mut self, conn: ConnId, commands: &mut Vec<Command>) {
        if self.pool.remove(conn).is_some() {
            commands.push(Command::Close { conn });
        }
    }

    /// A connection that has not come up in time, or an exchange other than an attempt without an answer.
    pub(super) fn on_server_timeout(
        &mut self,
        now: Micros,
        conn: ConnId,
        since: Micros,
        commands: &mut Vec<Command>,
    ) {
        let Some(connection) = self.pool.get(conn).filter(|l| l.in_use_since == since) else {
            return;
        };
        let usage = connection.usage;
        let outcome = match usage {
            ConnectionUse::Idle => return,
            ConnectionUse::Attempt { .. } if connection.connected => return,
            _ if !connection.connected => Outcome::ConnectFailed,
            _ => Outcome::TimedOut,
        };
        self.close_server_connection(conn, commands);
        self.on_exchange_failed(now, usage, outcome, commands);
    }

    pub(super) fn on_server_ended(
        &mut self,
        now: Micros,
        conn: ConnId,
        commands: &mut Vec<Command>,
    ) {
        let Some(connection) = self.pool.remove(conn) else {
            return;
        };
        let outcome = if connection.written() {
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        };
        self.on_exchange_failed(now, connection.usage, outcome, commands);
    }

    fn on_exchange_failed(
        &mut self,
        now: Micros,
        usage: ConnectionUse,
        outcome: Outcome,
        commands: &mut Vec<Command>,
    ) {
        match usage {
            ConnectionUse::Idle => {}
            ConnectionUse::Attempt { request, .. } => {
                self.fail_attempt(now, request, outcome, commands)
            }
            ConnectionUse::HealthCheck { server } => {
                self.finish_health_check(now, server, outcome, Vec::new())
            }
            ConnectionUse::Release { id, server, .. } => {
                self.release_failed(now, id, server, outcome, commands)
            }
        }
    }

    pub(super) fn on_server_bytes(
        &mut self,
        now: Micros,
        conn: ConnId,
        bytes: &[u8],
        commands: &mut Vec<Command>,
    ) {
        let Some(connection) = self.pool.get_mut(conn) else {
            return;
        };
        connection.last_received = Some(now);
        let usage = connection.usage;
        if usage == ConnectionUse::Idle {
            // Nothing was asked: whatever this is, the next answer could not be told from it.
            return self.close_server_connection(conn, commands);
        }
        match connection.response.receive(bytes) {
            Ok(BodyProgress::Events(events)) => self.on_events(now, usage, &events, commands),
            Ok(BodyProgress::End { events, complete }) => {
                let content = connection.response.body().to_vec();
                if complete.reusable && connection.unsent_bytes == 0 {
                    (
                        connection.usage,
                        connection.in_use_since,
                        connection.response,
                    ) = (ConnectionUse::Idle, now, ResponseReader::default());
                } else {
                    self.close_server_connection(conn, commands);
                }
                self.on_events(now, usage, &events, commands);
                self.on_complete_response(now, usage, complete, &content, commands);
            }
            Err(_) => {
                self.close_server_connection(conn, commands);
                self.on_exchange_failed(now, usage, Outcome::Reset, commands);
            }
        }
    }

    /// Closes connections to a server that nothing is in flight on.
    pub(super) fn close_idle_connections(&mut self, server: ServerId, commands: &mut Vec<Command>) {
        for conn in self.pool.idle_connections_to(server) {
            self.close_server_connection(conn, commands);
        }
    }

    fn on_events(
        &mut self,
        now: Micros,
        usage: ConnectionUse,
        events: &[u8],
        commands: &mut Vec<Command>,
    ) {
        let ConnectionUse::Attempt {
            request, number, ..
        } = usage
        else {
            return;
        };
        if events.is_empty() {
            return;
        }
        let Some(open) = self.requests.get(request) else {
            return;
        };
        let Some(sent) = open.in_flight.filter(|o| o.number == number) else {
            return;
        };
        let first = open.last_event_at.is_none();
        self.forward_events(now, request, events, commands);
        if first {
            let elapsed_s = now.since(sent.sent_at);
            let (attempt, server) = (number, sent.server);
            self.events.push_back(Event::FirstToken {
                request,
                attempt,
                server,
                elapsed_s,
            });
        }
    }

    fn on_complete_response(
        &mut self,
        now: Micros,
        usage: ConnectionUse,
        complete: CompleteResponse,
        content: &[u8],
        commands: &mut Vec<Command>,
    ) {
        let report = complete
            .load_report
            .as_deref()
            .map(|l| parse_load_report(l, &self.names))
            .unwrap_or_default();
        match usage {
            ConnectionUse::Idle => {}
            ConnectionUse::Attempt { request, .. } => {
                self.on_attempt_response(now, request, &complete, report, commands)
            }
            ConnectionUse::HealthCheck { server } => {
                let body = std::str::from_utf8(content).unwrap_or_default();
                let report = if report.is_empty() {
                    parse_load_report(body.trim(), &self.names)
                } else {
                    report
                };
                let outcome = if complete.status == 200 {
                    Outcome::Served
                } else {
                    Outcome::Error
                };
                self.finish_health_check(now, server, outcome, report);
            }
            ConnectionUse::Release {
                id,
                server,
                started_at: begun,
            } => self.release_answered(now, id, server, begun, complete.status, commands),
        }
    }
}
