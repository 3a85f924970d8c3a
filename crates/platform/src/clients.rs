//! Client connections: one request at a time on each, bytes sent ahead kept, bounds on what is said and how slowly.

use std::collections::{BTreeMap, VecDeque};

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::RequestId;

use crate::http1::{request_head, Body, HttpError, RequestHead, MAX_BODY, MAX_HEAD};
use crate::types::ConnId;

/// The first request has to come whole within this of connecting, seconds: who says nothing, or a head without an end,
/// is owed an error or a close within 3 s.
pub const FIRST_REQUEST_SECS: f64 = 2.6;
/// A later one within this of its first byte, seconds; who has asked in order before may be slow.
pub const REQUEST_SECS: f64 = 8.0;
/// Who stops within a request and stays is owed an error or a close within 3 s, whoever it is: seconds without a byte.
const STOPPED_SECS: f64 = 2.6;
/// A newcomer that has said nothing for this long gives way before those that keep their connections, seconds.
const SILENT_SECS: f64 = 0.5;
/// A client whose answer is whole but not all taken is let be, where places are short, unless it takes nothing for this
/// long, seconds.
pub const SLOW_CLIENT_SECS: f64 = 2.0;
/// A client that takes nothing of what waits for it for this long has gone, seconds: its stream holds a host's slot. The same
/// holds for the last answer on a connection that ends.
pub const CLIENT_STALL_SECS: f64 = 20.0;
/// Bytes kept of what a client says ahead while its request is open; what comes past them is dropped.
pub const MAX_AHEAD: usize = MAX_HEAD + 4096;
/// Bytes dropped of one client; past them nothing is read from it.
pub const MAX_DROPPED: usize = 80 << 20;
/// From this on a client's unfinished bytes are looked at beside everybody's.
const MEMORY_CHECK_FROM: usize = MAX_HEAD;
/// Times of arrival kept of what a client says ahead; past them the earlier one counts for both.
const MAX_ARRIVALS: usize = 32;
/// Room kept for the next bytes of a client once it has its answer.
const RETAINED_CAPACITY: usize = 4 * 1024;
/// Bytes to a client not written yet at which its stream's host is read no further.
pub const MAX_UNSENT: usize = 128 * 1024;

#[derive(Debug)]
enum Stage {
    /// Between requests, or within a head.
    Head,
    Body {
        head: Box<RequestHead>,
        body: Body,
        content: Vec<u8>,
    },
    /// A request is open.
    Busy,
}

/// When the bytes came that have not been made requests of yet: a request's time runs from its last byte, also while
/// it waits behind the one before it.
#[derive(Debug, Default)]
struct Arrivals {
    /// Where each lot ends, counted from the connection's first byte, and when it came.
    batches: VecDeque<(u64, Micros)>,
    received: u64,
    taken: u64,
}

impl Arrivals {
    fn add(&mut self, count: usize, now: Micros) {
        self.received += count as u64;
        let full = self.batches.len() >= MAX_ARRIVALS;
        match self.batches.back_mut() {
            Some(last) if full || last.1 == now => last.0 = self.received,
            _ => self.batches.push_back((self.received, now)),
        }
    }

    /// Counts bytes as made part of a request; gives when the last of them came.
    fn take(&mut self, count: usize) -> Option<Micros> {
        self.taken += count as u64;
        while self
            .batches
            .front()
            .is_some_and(|batch| batch.0 < self.taken)
        {
            self.batches.pop_front();
        }
        let received_at = self.batches.front().map(|batch| batch.1);
        if self
            .batches
            .front()
            .is_some_and(|batch| batch.0 == self.taken)
        {
            self.batches.pop_front();
        }
        received_at
    }
}

/// A whole request.
#[derive(Debug)]
pub struct CompleteRequest {
    pub head: RequestHead,
    pub body: Vec<u8>,
    /// When its last byte came.
    pub received_at: Micros,
}

/// One client connection.
#[derive(Debug)]
pub struct Client {
    stage: Stage,
    unread: Vec<u8>,
    arrivals: Arrivals,
    /// When the last byte came that the request at hand has taken.
    received_at: Micros,
    /// Bytes that came past what is kept. They are read all the same, as its end stands behind them.
    dropped: usize,
    /// Since it has connected, had its last answer, or sent the first byte of what it is sending.
    since: Micros,
    /// When bytes came last.
    last_received_at: Micros,
    /// It has had an answer.
    served: bool,
    /// It waits to be told to send its body.
    expects: bool,
    /// Its connection may serve a further request.
    keep_alive: bool,
    /// Bytes given to it that have not gone to the system.
    unsent: usize,
    /// When it last took something, or was first owed something.
    last_progress_at: Micros,
    /// Nothing is read from it.
    paused: bool,
}

impl Client {
    fn new(now: Micros) -> Client {
        Client {
            stage: Stage::Head,
            unread: Vec::new(),
            arrivals: Arrivals::default(),
            received_at: now,
            dropped: 0,
            since: now,
            last_received_at: now,
            served: false,
            expects: false,
            keep_alive: true,
            unsent: 0,
            last_progress_at: now,
            paused: false,
        }
    }

    pub fn busy(&self) -> bool {
        matches!(self.stage, Stage::Busy)
    }

    /// It has said nothing since its last answer, or at all.
    pub fn quiet(&self) -> bool {
        matches!(self.stage, Stage::Head) && self.unread.is_empty()
    }

    /// It may hold its connection between requests for as long as there is room; nobody may hold half a request.
    pub fn overdue(&self, now: Micros) -> bool {
        let waits = self.busy() || self.quiet() && self.served;
        let max_s = if self.served {
            REQUEST_SECS
        } else {
            FIRST_REQUEST_SECS
        };
        let stopped = now.since(self.since.max(self.last_received_at)) >= STOPPED_SECS;
        !waits && (stopped || now.since(self.since) >= max_s)
    }

    /// Rank by which room is made: those silent since they came go first, then kept connections, then those that
    /// have only just come, as their request is on its way, then half requests, of strangers first. None for one with
    /// a request in hand, or with an answer that it is still taking.
    fn rank(&self, now: Micros) -> Option<(u8, Micros)> {
        if self.busy() {
            return None;
        }
        if self.unsent > 0 {
            return (now.since(self.last_progress_at) >= SLOW_CLIENT_SECS)
                .then_some((5, self.last_progress_at));
        }
        let kind = match (self.quiet(), self.served) {
            (true, false) if now.since(self.since) >= SILENT_SECS => 0,
            (true, true) => 1,
            (true, false) => 2,
            (false, false) => 3,
            (false, true) => 4,
        };
        Some((kind, self.since))
    }

    /// Takes bytes; true where enough has come and nothing more should be read for now.
    pub fn take(&mut self, now: Micros, bytes: &[u8]) -> bool {
        self.last_received_at = now;
        if self.quiet() && self.served {
            self.since = now;
        }
        // Of what has a gap nothing further can be read; what came before the gap is still served.
        if self.dropped > 0 || self.busy() && self.unread.len() + bytes.len() > MAX_AHEAD {
            self.dropped = self.dropped.saturating_add(bytes.len());
            return self.dropped > MAX_DROPPED;
        }
        self.unread.extend_from_slice(bytes);
        self.arrivals.add(bytes.len(), now);
        false
    }

    /// Takes bytes off the front of what is unread.
    fn drop_read(&mut self, count: usize) {
        self.unread.drain(..count);
        if count > 0 {
            self.received_at = self.arrivals.take(count).unwrap_or(self.received_at);
        }
    }

    /// The next whole request, if there is one.
    ///
    /// # Errors
    /// What cannot be read: the connection can be used no further.
    pub fn next_request(&mut self) -> Result<Option<CompleteRequest>, HttpError> {
        if matches!(self.stage, Stage::Head) {
            let Some((head, taken)) = request_head(&self.unread)? else {
                return self.within_gap();
            };
            self.drop_read(taken);
            let body = Body::new(head.framing);
            let asked = head
                .fields
                .get("expect")
                .is_some_and(|e| e.eq_ignore_ascii_case("100-continue"));
            self.expects = asked && !body.done();
            self.stage = Stage::Body {
                head: Box::new(head),
                body,
                content: Vec::new(),
            };
        }
        let Stage::Body { body, content, .. } = &mut self.stage else {
            return Ok(None);
        };
        let taken = body.take(&self.unread, content)?;
        let (long, done) = (content.len() > MAX_BODY, body.done());
        self.drop_read(taken);
        if long {
            return Err(HttpError::BodyTooLong);
        }
        if !done {
            return self.within_gap();
        }
        match std::mem::replace(&mut self.stage, Stage::Busy) {
            Stage::Body { head, content, .. } => {
                self.keep_alive = head.keep_alive;
                Ok(Some(CompleteRequest {
                    head: *head,
                    body: content,
                    received_at: self.received_at,
                }))
            }
            _ => Ok(None),
        }
    }

    /// No whole request yet; there will be none where bytes of it were dropped.
    fn within_gap(&self) -> Result<Option<CompleteRequest>, HttpError> {
        if self.dropped > 0 {
            Err(HttpError::BodyTooLong)
        } else {
            Ok(None)
        }
    }

    /// Whether it waits to be told to send its body; asked once.
    pub fn take_expectation(&mut self) -> bool {
        std::mem::take(&mut self.expects) && self.unread.is_empty()
    }

    /// Bytes of what is not a request in hand yet: a head or body that is not whole, or what was sent ahead.
    pub fn unfinished_bytes(&self) -> usize {
        let body = if let Stage::Body { content, .. } = &self.stage {
            content.len()
        } else {
            0
        };
        self.unread.len() + body
    }

    /// Whether its connection goes on after the answer in hand; while stopping only for what it has sent ahead.
    pub fn serves_on(&self, stopping: bool) -> bool {
        self.keep_alive && !(stopping && self.unread.is_empty())
    }

    /// Whether the client, by its last request, keeps its connection.
    pub fn keeps_alive(&self) -> bool {
        self.keep_alive
    }

    /// Bytes given to it that have not gone to the system.
    pub fn unsent(&self) -> usize {
        self.unsent
    }

    /// Counts bytes that are to be written to it.
    pub fn queued(&mut self, now: Micros, bytes: usize) {
        if self.unsent == 0 {
            self.last_progress_at = now;
        }
        self.unsent += bytes;
    }

    /// Counts bytes that have gone to the system.
    pub fn written(&mut self, now: Micros, bytes: usize) {
        self.last_progress_at = now;
        self.unsent = self.unsent.saturating_sub(bytes);
    }

    /// Reads nothing from it for now; false where that was so already.
    pub fn pause(&mut self) -> bool {
        !std::mem::replace(&mut self.paused, true)
    }

    /// Reads from it again; false where nothing was paused.
    pub fn resume(&mut self) -> bool {
        std::mem::take(&mut self.paused)
    }

    /// Its request has been answered.
    pub fn answered(&mut self, now: Micros) {
        // Hundreds of connections that once brought much must not keep room for it.
        self.unread.shrink_to(RETAINED_CAPACITY);
        (self.stage, self.since, self.served) = (Stage::Head, now, true);
    }
}

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

    /// What a client has sent ahead is to be read.
    pub fn queue_pipelined(&mut self, conn: ConnId) {
        self.pipelined.push(conn);
    }

    /// Whether there are clients whose bytes sent ahead are to be read.
    pub fn has_pipelined(&self) -> bool {
        !self.pipelined.is_empty()
    }

    /// Those clients, in the order of their answers.
    pub fn take_pipelined(&mut self) -> Vec<ConnId> {
        std::mem::take(&mut self.pipelined)
    }

    /// The one that gives way first.
    pub fn eviction_candidate(&self, now: Micros) -> Option<ConnId> {
        let ranked = self
            .open
            .iter()
            .filter_map(|(id, c)| Some((c.rank(now)?, *id)));
        ranked.min().map(|(_, id)| id)
    }

    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    pub fn get(&self, conn: ConnId) -> Option<&Client> {
        self.open.get(&conn)
    }

    pub fn get_mut(&mut self, conn: ConnId) -> Option<&mut Client> {
        self.open.get_mut(&conn)
    }

    pub fn remove(&mut self, conn: ConnId) -> Option<Client> {
        self.open.remove(&conn)
    }

    /// Those that have taken too long over a request, or to say anything at all.
    pub fn overdue(&self, now: Micros) -> Vec<ConnId> {
        self.open
            .iter()
            .filter(|(_, c)| c.overdue(now))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Those that take nothing of what waits for them.
    pub fn stuck(&self, now: Micros) -> Vec<ConnId> {
        let stuck = |c: &Client| c.unsent > 0 && now.since(c.last_progress_at) >= CLIENT_STALL_SECS;
        self.open
            .iter()
            .filter(|(_, c)| stuck(c))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Bytes of all requests that are not in hand yet.
    pub fn unfinished_bytes(&self) -> usize {
        self.open.values().map(Client::unfinished_bytes).sum()
    }

    /// The one to turn away, where this one has brought much and all unfinished requests together pass so many bytes:
    /// the one that holds most, as it costs most and none of them has been taken.
    pub fn largest_unfinished(&self, conn: ConnId, limit: usize) -> Option<ConnId> {
        self.get(conn)
            .filter(|c| c.unfinished_bytes() >= MEMORY_CHECK_FROM)?;
        if self.unfinished_bytes() <= limit {
            return None;
        }
        let unfinished = self.open.iter().filter(|(_, c)| !c.busy());
        unfinished
            .max_by_key(|(id, c)| (c.unfinished_bytes(), **id))
            .map(|(id, _)| *id)
    }

    /// Those that ask nothing at present.
    pub fn idle(&self) -> Vec<ConnId> {
        self.open
            .iter()
            .filter(|(_, c)| c.quiet())
            .map(|(id, _)| *id)
            .collect()
    }
}
