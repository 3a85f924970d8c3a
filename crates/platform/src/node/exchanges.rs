//! Exchanges with model servers: attempts, health checks and release calls. Each exchange has a connection to itself
//! until it ends.

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{Event, Outcome, Role, ServerId, ServerStatus};

use super::attempt_ends::EndCause;
use super::Node;
use crate::cold_servers::SentKind;
use crate::pool::{ConnectionUse, Placement, ServerAddress, ServerConnection};
use crate::responses::{parse_load_report, BodyProgress, CompleteResponse, ResponseReader};
use crate::timer::Timer;
use crate::types::{Command, ConnId};

/// Whole milliseconds from `now` until `until`, or 0 if that time has passed.
fn milliseconds_left(now: Micros, times_out_at: Micros) -> u64 {
    times_out_at.0.saturating_sub(now.0) / 1000
}

/// Returns a reader for the kind of response that this use of a connection expects.
fn reader_for(usage: ConnectionUse) -> ResponseReader {
    match usage {
        ConnectionUse::Attempt { .. } => ResponseReader::for_attempt(),
        ConnectionUse::Idle | ConnectionUse::HealthCheck { .. } | ConnectionUse::Release { .. } => {
            ResponseReader::default()
        }
    }
}

impl Node {
    /// Starts an exchange with a server on an idle or a new connection. `call` holds the request bytes of a health
    /// check or a release; an attempt's request is built when it can be written.
    pub(super) fn start_exchange(
        &mut self,
        now: Micros,
        target: ServerAddress,
        usage: ConnectionUse,
        call: Vec<u8>,
        commands: &mut Vec<Command>,
    ) -> Option<ConnId> {
        let server = target.server;
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
        if let Some(kind) = self.sent_kind(usage, server) {
            self.cold_servers.record_sent(now, server, kind);
        }
        if let Some(timeout_s) = self.response_timeout_s(usage) {
            self.timers.set(
                now.after(timeout_s),
                Timer::ServerConnection { conn, since: now },
            );
        }
        Some(conn)
    }

    /// Returns what an exchange is for a warming server.
    fn sent_kind(&self, usage: ConnectionUse, server: ServerId) -> Option<SentKind> {
        match usage {
            ConnectionUse::Idle => None,
            ConnectionUse::HealthCheck { .. } => Some(SentKind::HealthCheck),
            ConnectionUse::Release { .. } => Some(SentKind::Release),
            ConnectionUse::Attempt { number, .. } => {
                let endpoint = self.discovery.endpoints().get(server)?;
                let role = self.roles.get(usize::from(endpoint.kind));
                Some(match role {
                    Some(Role::Decode) => SentKind::Decode,
                    _ if number == 0 => SentKind::First,
                    _ => SentKind::Retry,
                })
            }
        }
    }

    /// Writes the request on an idle connection. If that connection turns out to be stale,
    /// [`Node::on_server_connection_stale`] retries on another one.
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
            // Kept in case the connection is stale and the call has to be written on another one.
            connection.pending_call = call;
        }
        commands.push(Command::Reuse { conn, bytes });
        conn
    }

    /// Opens a connection. The request is written once the connection is established.
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
        let connect_deadline = now.after(self.bounds.connect_timeout_s);
        self.timers.set(
            connect_deadline,
            Timer::ServerConnection { conn, since: now },
        );
        conn
    }

    /// Response timeout of a health check or a release call, seconds. An attempt has a timer of its own.
    fn response_timeout_s(&self, usage: ConnectionUse) -> Option<f64> {
        match usage {
            // Same as the connect timeout: a server that sends no response to a health check in that time counts as
            // unresponsive.
            ConnectionUse::HealthCheck { .. } => Some(self.bounds.connect_timeout_s),
            ConnectionUse::Release { id, .. } => Some(self.releases.response_timeout_s(id)),
            ConnectionUse::Attempt { .. } | ConnectionUse::Idle => None,
        }
    }

    /// Handles an idle connection that turned out to be closed or unusable: the exchange starts again on another
    /// connection.
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
        if !self.is_still_needed(connection.server, usage) {
            return self.on_exchange_failed(
                now,
                usage,
                EndCause::NotConnected,
                Outcome::ConnectFailed,
                commands,
            );
        }
        let Some(new_conn) =
            self.start_exchange(now, target, usage, connection.pending_call, commands)
        else {
            return self.on_exchange_failed(
                now,
                usage,
                EndCause::NotConnected,
                Outcome::NotSent,
                commands,
            );
        };
        if let ConnectionUse::Attempt { request, .. } = usage {
            if let Some(attempt) = self.requests.in_flight_mut(request) {
                attempt.conn = new_conn;
            }
        }
    }

    /// Whether an exchange that waited for a connection should still be sent. The endpoint list may have changed while
    /// it waited, and a draining server gets no new attempts. An attempt starts when its last byte is written, so none
    /// is sent for a request that has been answered or whose client has disconnected.
    fn is_still_needed(&self, server: ServerId, usage: ConnectionUse) -> bool {
        let ConnectionUse::Attempt { request, .. } = usage else {
            return true;
        };
        let ready = self
            .discovery
            .endpoints()
            .get(server)
            .is_some_and(|endpoint| endpoint.status == ServerStatus::Ready);
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
        if !self.is_still_needed(server, usage) {
            self.close_server_connection(conn, commands);
            return self.on_exchange_failed(
                now,
                usage,
                EndCause::NotConnected,
                Outcome::ConnectFailed,
                commands,
            );
        }
        let bytes = self.bytes_to_write(now, usage, &waiting);
        if let Some(connection) = self.pool.get_mut(conn) {
            connection.unsent_bytes = bytes.len();
        }
        commands.push(Command::Write { conn, bytes });
    }

    /// Builds the bytes to write now. An attempt's request carries the time that the server has left, which excludes
    /// the time spent connecting. Health checks and release calls are written as given.
    fn bytes_to_write(&self, now: Micros, usage: ConnectionUse, call: &[u8]) -> Vec<u8> {
        let ConnectionUse::Attempt {
            request,
            times_out_at,
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
            .map(|request| request.bytes(milliseconds_left(now, times_out_at)))
            .unwrap_or_default()
    }

    /// Closes a connection. What is left of an attempt's request must not arrive any more; a release may.
    pub(super) fn close_server_connection(&mut self, conn: ConnId, commands: &mut Vec<Command>) {
        let Some(connection) = self.pool.remove(conn) else {
            return;
        };
        commands.push(match connection.usage {
            ConnectionUse::Attempt { .. } => Command::Abort { conn },
            _ => Command::Close { conn },
        });
    }

    /// Handles the end of an attempt whose request had not reached its server when it was no longer needed. Of the part
    /// that was on its way nothing is known, so the attempt counts as one that may have run.
    pub(super) fn on_request_undelivered(
        &mut self,
        now: Micros,
        conn: ConnId,
        commands: &mut Vec<Command>,
    ) {
        let Some(connection) = self.pool.remove(conn) else {
            return;
        };
        let cause = EndCause::Undelivered;
        self.on_exchange_failed(now, connection.usage, cause, Outcome::Cancelled, commands);
    }

    /// Handles a connect timeout, or the response timeout of a health check or a release call.
    pub(super) fn on_server_timeout(
        &mut self,
        now: Micros,
        conn: ConnId,
        since: Micros,
        commands: &mut Vec<Command>,
    ) {
        let Some(connection) = self
            .pool
            .get(conn)
            .filter(|connection| connection.in_use_since == since)
        else {
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
        self.on_exchange_failed(now, usage, EndCause::NotConnected, outcome, commands);
    }

    pub(super) fn on_server_closed(
        &mut self,
        now: Micros,
        conn: ConnId,
        commands: &mut Vec<Command>,
    ) {
        let Some(connection) = self.pool.remove(conn) else {
            return;
        };
        let outcome = if connection.is_written() {
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        };
        let cause = EndCause::ClosedByServer;
        self.on_exchange_failed(now, connection.usage, cause, outcome, commands);
    }

    fn on_exchange_failed(
        &mut self,
        now: Micros,
        usage: ConnectionUse,
        cause: EndCause,
        outcome: Outcome,
        commands: &mut Vec<Command>,
    ) {
        match usage {
            ConnectionUse::Idle => {}
            ConnectionUse::Attempt { request, .. } => {
                self.fail_attempt(now, request, cause, outcome, commands)
            }
            ConnectionUse::HealthCheck { server } => {
                self.finish_health_check(now, server, outcome, Vec::new())
            }
            ConnectionUse::Release { id, server, .. } => {
                self.on_release_failed(now, id, server, outcome, commands)
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
        if let ConnectionUse::Attempt { request, .. } = usage {
            if let Some(attempt) = self.requests.in_flight_mut(request) {
                attempt.last_byte_at = Some(now);
            }
        }
        if usage == ConnectionUse::Idle {
            // Unexpected bytes on an idle connection could not be told apart from the response to the next request.
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
            Err(error) => {
                self.close_server_connection(conn, commands);
                let cause = EndCause::Malformed(error);
                self.on_exchange_failed(now, usage, cause, Outcome::Reset, commands);
            }
        }
    }

    /// Closes all idle connections to a server.
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
        let Some(in_flight) = open.in_flight.filter(|attempt| attempt.number == number) else {
            return;
        };
        let is_first = !open.is_streaming();
        self.forward_events(now, request, events, commands);
        if is_first {
            let elapsed_s = now.since(in_flight.sent_at);
            let (attempt, server) = (number, in_flight.server);
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
            .map(|text| parse_load_report(text, &self.names))
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
                started_at,
            } => self.on_release_response(now, id, server, started_at, complete.status, commands),
        }
    }
}
