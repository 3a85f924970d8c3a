//! Resource limits: how the process's file descriptors are shared out, and who gives way where none is left.

use bitternlatch_core::Micros;

use crate::config::Limits;
use crate::node::Node;
use crate::types::{Command, ConnId};

/// Descriptors kept back: the process's own, the watch, clients that still have to see their last answer, and spare
/// ones for what is open for a moment only.
const RESERVE: usize = 40;
/// The process's own within the reserve: standard streams, readiness queue, listener, peers, signals.
pub const OWN_DESCRIPTORS: usize = 10;
/// Clients' part of the rest, the other being model hosts'. The greater part: a request in hand holds a connection of
/// either kind, so that hosts' run out first, and a newcomer finds a client's place that no request holds. It can
/// be told that the dispatcher is ready, or that it takes no more.
const CLIENT_FRACTION: (usize, usize) = (11, 20);
/// Fewest that clients and hosts get, however few descriptors there are.
const MIN_CLIENTS: usize = 8;
const MIN_SERVERS: usize = 4;

/// How many connections there may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    pub clients: usize,
    pub hosts: usize,
}

impl ConnectionLimits {
    pub fn of(limits: &Limits) -> ConnectionLimits {
        let usable = limits.descriptors.saturating_sub(RESERVE);
        let clients = (usable * CLIENT_FRACTION.0 / CLIENT_FRACTION.1).max(MIN_CLIENTS);
        ConnectionLimits {
            clients,
            hosts: usable.saturating_sub(clients).max(MIN_SERVERS),
        }
    }
}

impl Node {
    /// One more client would displace another, where so many hold a place that the node has done with.
    pub fn client_limit_reached(&self, ending: usize) -> bool {
        self.clients.len() + ending >= self.max_clients
    }

    /// The client that gives way first; none where all have a request or an answer in hand.
    pub fn client_eviction_candidate(&self, now: Micros) -> Option<ConnId> {
        self.clients.eviction_candidate(now)
    }

    /// Load shedding for want of descriptors: the client that gives way first is let go, though the table has room.
    /// False where all have a request or an answer in hand.
    pub fn evict_client(&mut self, now: Micros, commands: &mut Vec<Command>) -> bool {
        let Some(conn) = self.clients.eviction_candidate(now) else {
            return false;
        };
        self.clients.remove(conn);
        commands.push(Command::Close { conn });
        true
    }

    /// The same with the connection to a host that has stood idle longest.
    pub fn evict_idle_connection(&mut self, commands: &mut Vec<Command>) -> bool {
        let Some(conn) = self.pool.idle_longest() else {
            return false;
        };
        self.close_server_connection(conn, commands);
        true
    }
}
