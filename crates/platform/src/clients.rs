//! Table of client connections: its limit, eviction, and the open request of each connection.

use std::collections::BTreeMap;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::RequestId;

use crate::client::{Client, EvictionRank};
use crate::http1::MAX_HEAD_BYTES;
use crate::types::ConnId;

/// Least number of bytes buffered for a client's unfinished requests at which further bytes from this client trigger a
/// check of the memory that the unfinished requests of all clients use. Unfinished requests are incomplete or wait
/// behind an open request of the same connection.
const MEMORY_CHECK_MIN_BYTES: usize = MAX_HEAD_BYTES;
/// All client connections and their open requests.
#[derive(Debug)]
pub struct Clients {
    open: BTreeMap<ConnId, Client>,
    limit: usize,
    /// Open request of each connection that has one.
    requests: BTreeMap<ConnId, RequestId>,
    /// Clients that read slowly, each with the server connection whose reading is paused meanwhile.
    backpressured: BTreeMap<ConnId, ConnId>,
    /// Clients that have just been answered and may have pipelined further requests.
    pipelined: Vec<ConnId>,
}

impl Clients {
    /// Creates a table for at most `limit` connections.
    pub fn new(limit: usize) -> Clients {
        Clients {
            open: BTreeMap::new(),
            limit,
            requests: BTreeMap::new(),
            backpressured: BTreeMap::new(),
            pipelined: Vec::new(),
        }
    }

    /// Adds a connection. If the table is full, also removes and returns the connection evicted for it, which is the
    /// new one if every other client has an open request or an unread response.
    pub fn accept(&mut self, now: Micros, conn: ConnId) -> Option<ConnId> {
        let is_full = self.open.len() >= self.limit;
        let evicted = is_full.then(|| self.eviction_candidate(now).unwrap_or(conn));
        self.open.insert(conn, Client::new(now));
        if let Some(evicted) = evicted {
            self.open.remove(&evicted);
        }
        evicted
    }

    /// Whether one more client would evict another. `lingering` connections that have left the table but are not closed
    /// yet still count.
    pub fn limit_reached(&self, lingering: usize) -> bool {
        self.open.len() + lingering >= self.limit
    }

    /// Records that a client has a request open.
    pub fn begin_request(&mut self, conn: ConnId, request: RequestId) {
        self.requests.insert(conn, request);
    }

    /// Records that a client's request has ended, and returns it.
    pub fn end_request(&mut self, conn: ConnId) -> Option<RequestId> {
        self.backpressured.remove(&conn);
        self.requests.remove(&conn)
    }

    /// Whether a client has a request open.
    pub fn has_open_request(&self, conn: ConnId) -> bool {
        self.requests.contains_key(&conn)
    }

    /// Open request of a client.
    pub fn request_of(&self, conn: ConnId) -> Option<RequestId> {
        self.requests.get(&conn).copied()
    }

    /// Records that a server connection is not read until this client has caught up.
    pub fn apply_backpressure(&mut self, conn: ConnId, server: ConnId) {
        self.backpressured.insert(conn, server);
    }

    /// Ends a client's backpressure; returns the server connection that may be read again.
    pub fn release_backpressure(&mut self, conn: ConnId) -> Option<ConnId> {
        self.backpressured.remove(&conn)
    }

    /// Whether a server connection is paused because this client reads slowly.
    pub fn is_backpressured(&self, conn: ConnId) -> bool {
        self.backpressured.contains_key(&conn)
    }

    /// Queues a client whose pipelined bytes have to be parsed.
    pub fn queue_pipelined(&mut self, conn: ConnId) {
        self.pipelined.push(conn);
    }

    /// Whether any client is queued to have its pipelined bytes parsed.
    pub fn has_pipelined(&self) -> bool {
        !self.pipelined.is_empty()
    }

    /// Removes and returns the clients queued by [`Clients::queue_pipelined`], in the order of their responses.
    pub fn take_pipelined(&mut self) -> Vec<ConnId> {
        std::mem::take(&mut self.pipelined)
    }

    /// Returns the client to evict first, or `None` if none may be evicted.
    pub fn eviction_candidate(&self, now: Micros) -> Option<ConnId> {
        self.evictable(now).min().map(|(_, id)| id)
    }

    /// Returns the client to evict first of those that rest, or `None` if none does.
    pub fn resting_candidate(&self, now: Micros) -> Option<ConnId> {
        let resting = self.evictable(now).filter(|(rank, _)| rank.is_resting());
        resting.min().map(|(_, id)| id)
    }

    /// The clients that may be evicted, with their ranks.
    fn evictable(&self, now: Micros) -> impl Iterator<Item = (EvictionRank, ConnId)> + '_ {
        self.open
            .iter()
            .filter_map(move |(id, client)| Some((client.eviction_rank(now)?, *id)))
    }

    /// Number of client connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether there are no client connections.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Looks up a client by its connection.
    pub fn get(&self, conn: ConnId) -> Option<&Client> {
        self.open.get(&conn)
    }

    /// Looks up a client by its connection for modification.
    pub fn get_mut(&mut self, conn: ConnId) -> Option<&mut Client> {
        self.open.get_mut(&conn)
    }

    /// Removes a connection from the table; its open request is kept.
    pub fn remove(&mut self, conn: ConnId) -> Option<Client> {
        self.open.remove(&conn)
    }

    /// Clients that have exceeded the time limit for a request.
    pub fn overdue(&self, now: Micros) -> Vec<ConnId> {
        self.open
            .iter()
            .filter(|(_, client)| client.is_overdue(now))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Clients that count as disconnected because they have stopped reading.
    pub fn stalled(&self, now: Micros) -> Vec<ConnId> {
        self.open
            .iter()
            .filter(|(_, client)| client.is_stalled(now))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Bytes buffered by all clients for requests that are not open yet.
    pub fn unfinished_bytes(&self) -> usize {
        self.open.values().map(Client::unfinished_bytes).sum()
    }

    /// Returns the client to reject when unfinished requests hold more than `limit` bytes together and client `conn`
    /// holds enough to trigger this check. It is the client with the most unfinished bytes: rejecting it frees the most
    /// memory, and none of its requests is open.
    pub fn largest_unfinished(&self, conn: ConnId, limit: usize) -> Option<ConnId> {
        self.get(conn)
            .filter(|client| client.unfinished_bytes() >= MEMORY_CHECK_MIN_BYTES)?;
        if self.unfinished_bytes() <= limit {
            return None;
        }
        let unfinished = self
            .open
            .iter()
            .filter(|(_, client)| !client.has_open_request());
        unfinished
            .max_by_key(|(id, client)| (client.unfinished_bytes(), **id))
            .map(|(id, _)| *id)
    }

    /// Clients that have no request open or in progress.
    pub fn idle(&self) -> Vec<ConnId> {
        self.open
            .iter()
            .filter(|(_, client)| client.is_idle())
            .map(|(id, _)| *id)
            .collect()
    }
}
