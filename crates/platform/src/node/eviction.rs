//! Evicts connections when file descriptors run out.

use bitternlatch_core::Micros;

use super::{log, Node};
use crate::types::{Command, ConnId, Level};

impl Node {
    /// Whether accepting one more client would evict another. `lingering` is the number of connections that the node
    /// has finished with but that still hold a descriptor.
    pub fn client_limit_reached(&self, lingering: usize) -> bool {
        self.clients.limit_reached(lingering)
    }

    /// Returns the client that would be evicted first, or `None` if every client has an open request or an unread
    /// response.
    pub fn client_eviction_candidate(&self, now: Micros) -> Option<ConnId> {
        self.clients.eviction_candidate(now)
    }

    /// Evicts a client because the process has run out of descriptors, although the client table is not full. Returns
    /// false if every client has an open request or an unread response.
    pub fn evict_client(&mut self, now: Micros, commands: &mut Vec<Command>) -> bool {
        match self.clients.eviction_candidate(now) {
            Some(conn) => self.evict(now, conn, commands),
            None => false,
        }
    }

    /// Returns the resting client that would be evicted first, or `None` if none rests. A client that has just connected
    /// or has sent a part of a request does not rest.
    pub fn resting_client(&self, now: Micros) -> Option<ConnId> {
        self.clients.resting_candidate(now)
    }

    /// Evicts the resting client that would be evicted first. Returns false if none rests.
    pub fn evict_resting_client(&mut self, now: Micros, commands: &mut Vec<Command>) -> bool {
        match self.resting_client(now) {
            Some(conn) => self.evict(now, conn, commands),
            None => false,
        }
    }

    fn evict(&mut self, now: Micros, conn: ConnId, commands: &mut Vec<Command>) -> bool {
        let client = self.clients.remove(conn);
        if let Some(rank) = client.and_then(|client| client.eviction_rank(now)) {
            self.counts.clients_evicted += 1;
            let text = format!("no file descriptor left: a client was closed, {rank}");
            log(commands, Level::Info, text);
        }
        commands.push(Command::Close { conn });
        true
    }

    /// Closes the connection to a model server that has been idle longest. Returns false if none is idle.
    pub fn evict_idle_connection(&mut self, commands: &mut Vec<Command>) -> bool {
        let Some(conn) = self.pool.longest_idle() else {
            return false;
        };
        self.close_server_connection(conn, commands);
        true
    }
}
