//! Eviction of connections where file descriptors run out.

use bitternlatch_core::Micros;

use super::Node;
use crate::types::{Command, ConnId};

impl Node {
    /// Whether one more client would evict another; `lingering` connections that the node has done with still count.
    pub fn client_limit_reached(&self, lingering: usize) -> bool {
        self.clients.limit_reached(lingering)
    }

    /// The client that is evicted first; none where all have a request or an answer in hand.
    pub fn client_eviction_candidate(&self, now: Micros) -> Option<ConnId> {
        self.clients.eviction_candidate(now)
    }

    /// Evicts a client for want of descriptors, though the table has capacity. False where all have a request or an
    /// answer in hand.
    pub fn evict_client(&mut self, now: Micros, commands: &mut Vec<Command>) -> bool {
        let Some(conn) = self.clients.eviction_candidate(now) else {
            return false;
        };
        self.clients.remove(conn);
        commands.push(Command::Close { conn });
        true
    }

    /// Evicts the connection to a model server that has been idle longest. False where none is idle.
    pub fn evict_idle_connection(&mut self, commands: &mut Vec<Command>) -> bool {
        let Some(conn) = self.pool.longest_idle() else {
            return false;
        };
        self.close_server_connection(conn, commands);
        true
    }
}
