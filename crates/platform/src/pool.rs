//! Pool of connections to model servers. Each carries one exchange at a time and is kept for reuse, unless unread bytes
//! are left on it. The pool never resends a request.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{RequestId, ServerId};

use crate::responses::ResponseReader;
use crate::types::ConnId;

/// Share of the server's idle timeout for which a connection is kept. The server starts counting earlier than the
/// dispatcher does.
const IDLE_LIMIT_FRACTION: f64 = 0.8;

/// Time after a response before its connection is reused, seconds. A server may send a duplicate response some
/// milliseconds late, which would be taken for the response to the next request; bytes that arrive during this time
/// close the connection. The time covers such delays and a few iterations of a busy event loop, and connections are
/// rarely needed again this soon.
pub const REUSE_DELAY_SECS: f64 = 0.03;

/// Time without a response after which a server counts as unresponsive, seconds.
const UNRESPONSIVE_AFTER_SECS: f64 = 0.1;

/// Divisor of the connection limit that gives the number of connections reserved for releases, which attempts cannot
/// use.
const RESERVED_DIVISOR: usize = 8;
/// Fewest connections reserved for releases.
const MIN_RESERVED: usize = 1;
/// Most connections reserved for releases.
const MAX_RESERVED: usize = 16;

/// What a connection is currently used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// No exchange is in flight on the connection.
    Idle,
    /// An attempt of a request.
    Attempt {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt within the request.
        number: u16,
        /// When the attempt times out.
        times_out_at: Micros,
    },
    /// A health check of a model server.
    HealthCheck {
        /// Id of the server that is checked.
        server: ServerId,
    },
    /// A call that releases KV cache state.
    Release {
        /// Id of the release.
        id: u64,
        /// Id of the server that is called.
        server: ServerId,
        /// When the call started.
        started_at: Micros,
    },
}

/// One connection to a model server.
#[derive(Debug)]
pub struct ServerConnection {
    /// Socket address of the server.
    pub address: SocketAddr,
    /// Id of the server.
    pub server: ServerId,
    /// Whether the connection is established.
    pub connected: bool,
    /// What the connection is currently used for.
    pub usage: ConnectionUse,
    /// When the current use began.
    pub in_use_since: Micros,
    /// Request bytes of a health check or release, written once the connection is established, or on another connection
    /// if this one is stale. Empty for an attempt, whose request is built when it can be written.
    pub pending_call: Vec<u8>,
    /// Bytes written to the connection that the operating system has not accepted yet.
    pub unsent_bytes: usize,
    /// Parser for the response.
    pub response: ResponseReader,
    /// When bytes last arrived on the connection.
    pub last_received: Option<Micros>,
}

impl ServerConnection {
    /// Whether the request's last byte has been handed to the operating system.
    pub fn is_written(&self) -> bool {
        self.connected && self.unsent_bytes == 0
    }
}

/// All connections to model servers.
#[derive(Debug)]
pub struct ConnectionPool {
    server_connections: BTreeMap<ConnId, ServerConnection>,
    limit: usize,
    /// Number of connections, out of the limit, that only releases may use.
    reserved: usize,
    max_idle_s: f64,
}

/// Snapshot of what the connections show about each server's responsiveness.
#[derive(Debug, Default)]
pub struct PoolActivity {
    servers: BTreeMap<ServerId, ServerActivity>,
    idle_since: BTreeMap<(ServerId, SocketAddr), Micros>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServerActivity {
    last_received: Option<Micros>,
    /// Start of the oldest exchange with the server that has had no response.
    waiting_since: Option<Micros>,
}

impl PoolActivity {
    /// Whether the server has not responded to an exchange for `UNRESPONSIVE_AFTER_SECS` and has sent nothing since its
    /// start on any connection.
    pub fn is_unresponsive(&self, now: Micros, server: ServerId) -> bool {
        let activity = self.servers.get(&server).copied().unwrap_or_default();
        let waits = activity
            .waiting_since
            .filter(|since| now.since(*since) >= UNRESPONSIVE_AFTER_SECS);
        waits.is_some_and(|since| {
            activity
                .last_received
                .is_none_or(|last_received| last_received < since)
        })
    }

    /// When bytes from the server last arrived on any connection.
    pub fn last_received(&self, server: ServerId) -> Option<Micros> {
        self.servers.get(&server).and_then(|c| c.last_received)
    }

    /// Since when the connection that would carry the next exchange has been idle.
    pub fn idle_since(&self, server: ServerId, to: SocketAddr) -> Option<Micros> {
        self.idle_since.get(&(server, to)).copied()
    }
}

/// A model server's id and socket address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerAddress {
    /// Id of the server.
    pub server: ServerId,
    /// Socket address of the server.
    pub address: SocketAddr,
}

/// Which connection an exchange can use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// This idle connection.
    Idle(ConnId),
    /// A new connection.
    New {
        /// Idle connection that has to be closed first, if the pool is full.
        replaces: Option<ConnId>,
    },
    /// None: all connections are in use.
    Full,
}

impl ConnectionPool {
    /// Creates a pool of at most `limit` connections; `idle_s` is the idle timeout of the model servers, seconds.
    pub fn new(limit: usize, idle_s: f64) -> ConnectionPool {
        let limit = limit.max(4);
        ConnectionPool {
            server_connections: BTreeMap::new(),
            limit,
            reserved: ConnectionPool::reserved(limit),
            max_idle_s: idle_s * IDLE_LIMIT_FRACTION,
        }
    }

    /// Number of connections reserved for releases in a pool of `limit` connections.
    pub fn reserved(limit: usize) -> usize {
        (limit / RESERVED_DIVISOR).clamp(MIN_RESERVED, MAX_RESERVED)
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.server_connections.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.server_connections.is_empty()
    }

    /// Returns the idle connection to an address that was used last and is past `REUSE_DELAY_SECS`. The most recently
    /// used one is the most likely to be alive.
    pub fn idle_connection(&self, now: Micros, to: SocketAddr) -> Option<ConnId> {
        let is_match = |connection: &ServerConnection| {
            connection.address == to
                && connection.usage == ConnectionUse::Idle
                && (REUSE_DELAY_SECS..self.max_idle_s).contains(&now.since(connection.in_use_since))
        };
        self.server_connections
            .iter()
            .filter(|(_, connection)| is_match(connection))
            .max_by_key(|(_, connection)| connection.in_use_since)
            .map(|(id, _)| *id)
    }

    /// Chooses the connection for an exchange with the server at address `to`.
    pub fn place(&self, now: Micros, to: SocketAddr, usage: ConnectionUse) -> Placement {
        if let Some(conn) = self.idle_connection(now, to) {
            return Placement::Idle(conn);
        }
        let reserved = if matches!(usage, ConnectionUse::Release { .. }) {
            0
        } else {
            self.reserved
        };
        if self.server_connections.len() < self.limit - reserved {
            return Placement::New { replaces: None };
        }
        self.longest_idle()
            .map_or(Placement::Full, |id| Placement::New { replaces: Some(id) })
    }

    /// Returns the connection that has been idle longest.
    pub fn longest_idle(&self) -> Option<ConnId> {
        let idle = self
            .server_connections
            .iter()
            .filter(|(_, connection)| connection.usage == ConnectionUse::Idle);
        idle.min_by_key(|(_, connection)| connection.in_use_since)
            .map(|(id, _)| *id)
    }

    /// Whether one more connection may be used for a release that has been confirmed before. Such releases use no more
    /// connections than are reserved for releases, because requests need the others.
    pub fn may_repeat_release(&self) -> bool {
        let is_release = |connection: &&ServerConnection| {
            matches!(connection.usage, ConnectionUse::Release { .. })
        };
        let in_use = self.server_connections.values().filter(is_release).count();
        in_use < self.reserved
    }

    /// Whether a connection is available for a release.
    pub fn has_capacity(&self) -> bool {
        self.server_connections.len() < self.limit
            || self
                .server_connections
                .values()
                .any(|connection| connection.usage == ConnectionUse::Idle)
    }

    /// Takes a snapshot of the servers' activity on all connections.
    pub fn activity(&self, now: Micros) -> PoolActivity {
        let mut activity = PoolActivity::default();
        for connection in self.server_connections.values() {
            let server_activity = activity.servers.entry(connection.server).or_default();
            server_activity.last_received =
                server_activity.last_received.max(connection.last_received);
            if connection.usage != ConnectionUse::Idle
                && connection
                    .last_received
                    .is_none_or(|last_received| last_received < connection.in_use_since)
            {
                server_activity.waiting_since = Some(
                    server_activity
                        .waiting_since
                        .map_or(connection.in_use_since, |since| {
                            since.min(connection.in_use_since)
                        }),
                );
            }
            if connection.usage == ConnectionUse::Idle
                && (REUSE_DELAY_SECS..self.max_idle_s).contains(&now.since(connection.in_use_since))
            {
                let idle_since = activity
                    .idle_since
                    .entry((connection.server, connection.address))
                    .or_insert(connection.in_use_since);
                *idle_since = connection.in_use_since.max(*idle_since);
            }
        }
        activity
    }

    /// Adds a connection.
    pub fn insert(&mut self, conn: ConnId, connection: ServerConnection) {
        self.server_connections.insert(conn, connection);
    }

    /// Looks up a connection by its id.
    pub fn get(&self, conn: ConnId) -> Option<&ServerConnection> {
        self.server_connections.get(&conn)
    }

    /// Looks up a connection by its id for modification.
    pub fn get_mut(&mut self, conn: ConnId) -> Option<&mut ServerConnection> {
        self.server_connections.get_mut(&conn)
    }

    /// Removes a connection and returns it.
    pub fn remove(&mut self, conn: ConnId) -> Option<ServerConnection> {
        self.server_connections.remove(&conn)
    }

    /// Idle connections that the server may soon close because of their idle time, or whose server is no longer listed
    /// at that address.
    pub fn expired_idle(
        &self,
        now: Micros,
        is_listed: impl Fn(&ServerConnection) -> bool,
    ) -> Vec<ConnId> {
        let is_expired = |connection: &ServerConnection| {
            connection.usage == ConnectionUse::Idle
                && (now.since(connection.in_use_since) >= self.max_idle_s || !is_listed(connection))
        };
        self.server_connections
            .iter()
            .filter(|(_, connection)| is_expired(connection))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Idle connections to one server.
    pub fn idle_connections_to(&self, server: ServerId) -> Vec<ConnId> {
        let is_match = |connection: &ServerConnection| {
            connection.usage == ConnectionUse::Idle && connection.server == server
        };
        self.server_connections
            .iter()
            .filter(|(_, connection)| is_match(connection))
            .map(|(id, _)| *id)
            .collect()
    }
}
