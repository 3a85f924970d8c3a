//! Connections to model servers: one exchange at a time on each, kept between exchanges, never used again once
//! anything is left over on them. Nothing is sent a second time here.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{RequestId, ServerId};

use crate::responses::ResponseReader;
use crate::types::ConnId;

/// Share of the idle limit for which a connection is kept: the other side counts from earlier on.
const IDLE_LIMIT_FRACTION: f64 = 0.8;

/// A connection that has brought an answer rests for this long before it is used again, seconds: a server may send a
/// second answer some milliseconds late, which would be taken for that of the next request. What comes while it rests
/// closes it. Longer than that and a few turns of a busy process; few connections are asked for again so soon.
pub const REUSE_DELAY_SECS: f64 = 0.03;

/// A server counts as silent once it has said nothing for so long after it was asked, seconds.
const SILENT_SECS: f64 = 0.1;

/// Connections that releases of held states find free, whatever attempts wait: a share of all, within bounds.
const RESERVED_DIVISOR: usize = 8;
const MIN_RESERVED: usize = 1;
const MAX_RESERVED: usize = 16;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// Nothing is in flight on it.
    Idle,
    /// An attempt, which is waited for until then.
    Attempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt within the request.
        number: u16,
        /// Time of its timeout.
        times_out_at: Micros,
    },
    /// A health check.
    HealthCheck {
        /// The server that is checked.
        server: ServerId,
    },
    /// A call that lets go of a held state.
    Release {
        /// Number of the release.
        id: u64,
        /// The server that is called.
        server: ServerId,
        /// When the call began.
        started_at: Micros,
    },
}

/// One connection to a model server.
#[derive(Debug)]
pub struct ServerConnection {
    /// Address of the server.
    pub address: SocketAddr,
    /// The server.
    pub server: ServerId,
    /// Whether it is connected.
    pub connected: bool,
    /// What it is used for.
    pub usage: ConnectionUse,
    /// Since this use began.
    pub in_use_since: Micros,
    /// What is to be written once it is up, or once more elsewhere if it proves stale; empty for an attempt, whose
    /// request is made when it can be written.
    pub pending_call: Vec<u8>,
    /// Bytes given to it that have not gone to the system.
    pub unsent_bytes: usize,
    /// Reader of the response.
    pub response: ResponseReader,
    /// When anything came on it last.
    pub last_received: Option<Micros>,
}

impl ServerConnection {
    /// The request's last byte has gone out.
    pub fn written(&self) -> bool {
        self.connected && self.unsent_bytes == 0
    }
}

/// All connections to model servers.
#[derive(Debug)]
pub struct ConnectionPool {
    server_connections: BTreeMap<ConnId, ServerConnection>,
    limit: usize,
    /// Of those, kept free for releases.
    reserved: usize,
    max_idle_s: f64,
}

/// What the connections tell of servers at one time.
#[derive(Debug, Default)]
pub struct PoolActivity {
    servers: BTreeMap<ServerId, ServerActivity>,
    idle_since: BTreeMap<(ServerId, SocketAddr), Micros>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServerActivity {
    last_received: Option<Micros>,
    /// Since when the oldest exchange there has had no answer.
    unanswered: Option<Micros>,
}

impl PoolActivity {
    /// The server was asked a while ago, and has said nothing since on any connection.
    pub fn is_unresponsive(&self, now: Micros, server: ServerId) -> bool {
        let activity = self.servers.get(&server).copied().unwrap_or_default();
        let waits = activity
            .unanswered
            .filter(|since| now.since(*since) >= SILENT_SECS);
        waits.is_some_and(|since| {
            activity
                .last_received
                .is_none_or(|last_received| last_received < since)
        })
    }

    /// When it was heard of last.
    pub fn last_received(&self, server: ServerId) -> Option<Micros> {
        self.servers.get(&server).and_then(|c| c.last_received)
    }

    /// Since when the connection that may carry the next exchange has stood idle.
    pub fn idle_since(&self, server: ServerId, to: SocketAddr) -> Option<Micros> {
        self.idle_since.get(&(server, to)).copied()
    }
}

/// A model server and its address at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerAddress {
    /// The server.
    pub server: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Where an exchange can go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// On a connection that stood idle.
    Idle(ConnId),
    /// On a new one; another has to be closed for it first, perhaps.
    New {
        /// An idle connection that is closed for it.
        replaces: Option<ConnId>,
    },
    /// All connections are in use.
    Full,
}

impl ConnectionPool {
    /// With room for so many, kept below an idle limit in seconds.
    pub fn new(limit: usize, idle_s: f64) -> ConnectionPool {
        let limit = limit.max(4);
        ConnectionPool {
            server_connections: BTreeMap::new(),
            limit,
            reserved: ConnectionPool::reserved(limit),
            max_idle_s: idle_s * IDLE_LIMIT_FRACTION,
        }
    }

    /// How many of so many connections are kept free for releases.
    pub fn reserved(limit: usize) -> usize {
        (limit / RESERVED_DIVISOR).clamp(MIN_RESERVED, MAX_RESERVED)
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.server_connections.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.server_connections.is_empty()
    }

    /// The idle and rested connection to an address that was used last: the likeliest to be alive.
    pub fn idle_connection(&self, now: Micros, to: SocketAddr) -> Option<ConnId> {
        let fits = |l: &ServerConnection| {
            l.address == to
                && l.usage == ConnectionUse::Idle
                && (REUSE_DELAY_SECS..self.max_idle_s).contains(&now.since(l.in_use_since))
        };
        self.server_connections
            .iter()
            .filter(|(_, l)| fits(l))
            .max_by_key(|(_, l)| l.in_use_since)
            .map(|(id, _)| *id)
    }

    /// Where an exchange with a server can go out.
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

    /// The connection that has stood idle longest.
    pub fn longest_idle(&self) -> Option<ConnId> {
        let idle = self
            .server_connections
            .iter()
            .filter(|(_, l)| l.usage == ConnectionUse::Idle);
        idle.min_by_key(|(_, l)| l.in_use_since).map(|(id, _)| *id)
    }

    /// Whether a release can go out.
    pub fn has_capacity(&self) -> bool {
        self.server_connections.len() < self.limit
            || self
                .server_connections
                .values()
                .any(|l| l.usage == ConnectionUse::Idle)
    }

    /// What they tell of servers now.
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
                server_activity.unanswered = Some(
                    server_activity
                        .unanswered
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

    /// Takes a connection in.
    pub fn insert(&mut self, conn: ConnId, connection: ServerConnection) {
        self.server_connections.insert(conn, connection);
    }

    /// A connection by its id.
    pub fn get(&self, conn: ConnId) -> Option<&ServerConnection> {
        self.server_connections.get(&conn)
    }

    /// The same, to be changed.
    pub fn get_mut(&mut self, conn: ConnId) -> Option<&mut ServerConnection> {
        self.server_connections.get_mut(&conn)
    }

    /// Removes a connection.
    pub fn remove(&mut self, conn: ConnId) -> Option<ServerConnection> {
        self.server_connections.remove(&conn)
    }

    /// Idle connections that stood so long that the other side may close them, or whose server is not listed.
    pub fn expired_idle(
        &self,
        now: Micros,
        listed: impl Fn(&ServerConnection) -> bool,
    ) -> Vec<ConnId> {
        let gone = |l: &ServerConnection| {
            l.usage == ConnectionUse::Idle
                && (now.since(l.in_use_since) >= self.max_idle_s || !listed(l))
        };
        self.server_connections
            .iter()
            .filter(|(_, l)| gone(l))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Idle connections to one server.
    pub fn idle_connections_to(&self, server: ServerId) -> Vec<ConnId> {
        let fits = |l: &ServerConnection| l.usage == ConnectionUse::Idle && l.server == server;
        self.server_connections
            .iter()
            .filter(|(_, l)| fits(l))
            .map(|(id, _)| *id)
            .collect()
    }
}
