//! Resource limits: how the process's file descriptors are shared out, and who gives way where none is left.

use bitternlatch_core::Micros;

use crate::config::Limits;
use crate::node::Node;
use crate::types::{Command, ConnId};

/// Descriptors kept back: the process's own, the watch, clients that still have to see their last answer, and spare
/// ones for what is open for a moment only.
const RESERVE: usize = 40;
/// The process's own within the reserve: standard streams, readiness queue, listener, peers, signals.
pub const OWN: usize = 10;
/// Clients' part of the rest, the other being model hosts'. The greater part: a request in hand holds a connection of
/// either kind, so that hosts' run out first, and a newcomer finds a client's place that no request holds. It can
/// be told that the dispatcher is ready, or that it takes no more.
const CLIENTS_PART: (usize, usize) = (11, 20);
/// Fewest that clients and hosts get, however few descriptors there are.
const FEWEST_CLIENTS: usize = 8;
const FEWEST_HOSTS: usize = 4;

/// How many connections there may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    pub clients: usize,
    pub hosts: usize,
}

impl Shares {
    pub fn of(limits: &Limits) -> Shares {
        let usable = limits.descriptors.saturating_sub(RESERVE);
        let clients = (usable * CLIENTS_PART.0 / CLIENTS_PART.1).max(FEWEST_CLIENTS);
        Shares {
            clients,
            hosts: usable.saturating_sub(clients).max(FEWEST_HOSTS),
        }
    }
}

impl Node {
    /// One more client would displace another, where so many hold a place that the node has done with.
    pub fn is_full_of_clients(&self, ending: usize) -> bool {
        self.clients.len() + ending >= self.most_clients
    }

    /// The client that gives way first; none where all have a request or an answer in hand.
    pub fn first_client_to_go(&self, now: Micros) -> Option<ConnId> {
        self.clients.first_to_go(now)
    }

    /// Load shedding for want of descriptors: the client that gives way first is let go, though the table has room.
    /// False where all have a request or an answer in hand.
    pub fn shed_client(&mut self, now: Micros, out: &mut Vec<Command>) -> bool {
        let Some(conn) = self.clients.first_to_go(now) else {
            return false;
        };
        self.clients.remove(conn);
        out.push(Command::Close { conn });
        true
    }

    /// The same with the connection to a host that has stood idle longest.
    pub fn shed_link(&mut self, out: &mut Vec<Command>) -> bool {
        let Some(conn) = self.pool.idle_longest() else {
            return false;
        };
        self.drop_link(conn, out);
        true
    }
}
