//! The table of client connections: its bound, who is evicted, and what each connection has open.

use std::collections::BTreeMap;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::RequestId;

use crate::client::Client;
use crate::http1::MAX_HEAD_BYTES;
use crate::types::ConnId;

/// From this on a client's unfinished bytes are looked at beside everybody's.
const MEMORY_CHECK_FROM: usize = MAX_HEAD_BYTES;
/// All client connections, and what each has open.
#[derive(Debug)]
pub struct Clients {
    open: BTreeMap<ConnId, Client>,
    limit: usize,
    /// The request that each has open.
    requests: BTreeMap<ConnId, RequestId>,
    /// Clients that read slowly, and the server connections that are not read meanwhile.
    backpressured: BTreeMap<ConnId, ConnId>,
    /// Clients just answered, which may have sent further requests already.
    pipelined: Vec<ConnId>,
}

impl Clients {
    /// With capacity for `limit` connections.
    pub fn new(limit: usize) -> Clients {
        Clients {
            open: BTreeMap::new(),
            limit,
            requests: BTreeMap::new(),
            backpressured: BTreeMap::new(),
            pipelined: Vec::new(),
        }
    }

    /// Takes a connection in. Where the table is full, also removes and gives the one that is evicted for it: itself,
    /// where all others have a request or an answer in hand.
    pub fn accept(&mut self, now: Micros, conn: ConnId) -> Option<ConnId> {
        let full = self.open.len() >= self.limit;
        let evicted = full.then(|| self.eviction_candidate(now).unwrap_or(conn));
        self.open.insert(conn, Client::new(now));
        if let Some(evicted) = evicted {
            self.open.remove(&evicted);
        }
        evicted
    }

    /// Whether one more client would evict another; `lingering` connections that have left the table still count.
    pub fn limit_reached(&self, lingering: usize) -> bool {
        self.open.len() + lingering >= self.limit
    }

    /// A client has a request open.
    pub fn begin_request(&mut self, conn: ConnId, request: RequestId) {
        self.requests.insert(conn, request);
    }

    /// It has none any more: gives the one that it had.
    pub fn end_request(&mut self, conn: ConnId) -> Option<RequestId> {
        self.backpressured.remove(&conn);
        self.requests.remove(&conn)
    }

    /// Whether a client has a request open.
    pub fn has_open_request(&self, conn: ConnId) -> bool {
        self.requests.contains_key(&conn)
    }

    /// A server connection is not read while this client takes nothing.
    pub fn apply_backpressure(&mut self, conn: ConnId, server: ConnId) {
        self.backpressured.insert(conn, server);
    }

    /// Gives the server connection that is to be read again.
    pub fn release_backpressure(&mut self, conn: ConnId) -> Option<ConnId> {
        self.backpressured.remove(&conn)
    }

    /// Whether a server connection is not read on account of this client.
    pub fn is_backpressured(&self, conn: ConnId) -> bool {
        self.backpressured.contains_key(&conn)
    }

    /// What a client has pipelined is to be read.
    pub fn queue_pipelined(&mut self, conn: ConnId) {
        self.pipelined.push(conn);
    }

    /// Whether there are clients whose pipelined bytes are to be read.
    pub fn has_pipelined(&self) -> bool {
        !self.pipelined.is_empty()
    }

    /// Those clients, in the order of their answers.
    pub fn take_pipelined(&mut self) -> Vec<ConnId> {
        std::mem::take(&mut self.pipelined)
    }

    /// The one that is evicted first.
    pub fn eviction_candidate(&self, now: Micros) -> Option<ConnId> {
        let ranked = self
            .open
            .iter()
            .filter_map(|(id, c)| Some((c.eviction_rank(now)?, *id)));
        ranked.min().map(|(_, id)| id)
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// A client by its connection.
    pub fn get(&self, conn: ConnId) -> Option<&Client> {
        self.open.get(&conn)
    }

    /// The same, to be changed.
    pub fn get_mut(&mut self, conn: ConnId) -> Option<&mut Client> {
        self.open.get_mut(&conn)
    }

    /// Removes a connection from the table; what it has open stays.
    pub fn remove(&mut self, conn: ConnId) -> Option<Client> {
        self.open.remove(&conn)
    }

    /// Those that have taken too long over a request, or to say anything at all.
    pub fn overdue(&self, now: Micros) -> Vec<ConnId> {
        self.open
            .iter()
            .filter(|(_, c)| c.is_overdue(now))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Those that take nothing of what waits for them.
    pub fn stuck(&self, now: Micros) -> Vec<ConnId> {
        self.open
            .iter()
            .filter(|(_, c)| c.is_stuck(now))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Bytes of all requests that are not in hand yet.
    pub fn unfinished_bytes(&self) -> usize {
        self.open.values().map(Client::unfinished_bytes).sum()
    }

    /// The one to reject, where this one has brought much and all unfinished requests together pass so many bytes:
    /// the one that holds most, as it costs most and none of them has been taken.
    pub fn largest_unfinished(&self, conn: ConnId, limit: usize) -> Option<ConnId> {
        self.get(conn)
            .filter(|c| c.unfinished_bytes() >= MEMORY_CHECK_FROM)?;
        if self.unfinished_bytes() <= limit {
            return None;
        }
        let unfinished = self.open.iter().filter(|(_, c)| !c.has_open_request());
        unfinished
            .max_by_key(|(id, c)| (c.unfinished_bytes(), **id))
            .map(|(id, _)| *id)
    }

    /// Those that ask nothing at present.
    pub fn idle(&self) -> Vec<ConnId> {
        self.open
            .iter()
            .filter(|(_, c)| c.is_idle())
            .map(|(id, _)| *id)
            .collect()
    }
}
