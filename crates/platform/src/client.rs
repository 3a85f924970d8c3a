//! One client connection: one request at a time, pipelined bytes kept, bounds on its size and pace.

use std::collections::VecDeque;

use bitternlatch_core::Micros;

use crate::http1::{request_head, Body, HttpError, RequestHead, MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// The first request has to come whole within this of connecting, seconds: who says nothing, or a head without an end,
/// is owed an error or a close within 3 s.
pub const FIRST_REQUEST_TIMEOUT_SECS: f64 = 2.6;
/// A later one within this of its first byte, seconds; who has asked in order before may be slow.
pub const REQUEST_TIMEOUT_SECS: f64 = 8.0;
/// Who stops within a request and stays is owed an error or a close within 3 s, whoever it is: seconds without a byte.
const STOPPED_SECS: f64 = 2.6;
/// A new client that has said nothing for this long is evicted before those that keep their connections, seconds.
const SILENT_SECS: f64 = 0.5;
/// A client whose answer is whole but not all taken is let be, where places are short, unless it takes nothing for this
/// long, seconds.
pub const SLOW_READER_SECS: f64 = 2.0;
/// A client that takes nothing of what waits for it for this long has gone, seconds: its stream holds a server's slot. The same
/// holds for the last answer on a connection that ends.
pub const CLIENT_STALL_TIMEOUT_SECS: f64 = 20.0;
/// Bytes kept of what a client pipelines while its request is open; what comes past them is dropped.
pub const MAX_PIPELINED_BYTES: usize = MAX_HEAD_BYTES + 4096;
/// Bytes dropped of one client; past them nothing is read from it.
pub const MAX_DISCARDED_BYTES: usize = 80 << 20;
/// Times of arrival kept of what a client pipelines; past them the earlier one counts for both.
const MAX_ARRIVALS: usize = 32;
/// Room kept for the next bytes of a client once it has its answer.
const RETAINED_CAPACITY: usize = 4 * 1024;
/// Bytes to a client not written yet at which its stream's server is read no further.
pub const MAX_UNSENT_BYTES: usize = 128 * 1024;

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

/// Bytes that came at one time.
#[derive(Clone, Copy, Debug)]
struct Batch {
    /// Where it ends, counted from the connection's first byte.
    end: u64,
    at: Micros,
}

/// When the bytes came that are not part of a request yet: a request's time runs from its last byte, also while it
/// waits behind the one before it.
#[derive(Debug, Default)]
struct Arrivals {
    batches: VecDeque<Batch>,
    /// Bytes that have come.
    received: u64,
    /// Bytes of those that are part of requests.
    taken: u64,
}

impl Arrivals {
    fn add(&mut self, count: usize, now: Micros) {
        self.received += count as u64;
        let (end, full) = (self.received, self.batches.len() >= MAX_ARRIVALS);
        match self.batches.back_mut() {
            Some(last) if full || last.at == now => last.end = end,
            _ => self.batches.push_back(Batch { end, at: now }),
        }
    }

    /// Counts bytes as made part of a request; gives when the last of them came.
    fn take(&mut self, count: usize) -> Option<Micros> {
        self.taken += count as u64;
        let taken = self.taken;
        while self.batches.front().is_some_and(|batch| batch.end < taken) {
            self.batches.pop_front();
        }
        let received_at = self.batches.front().map(|batch| batch.at);
        if self.batches.front().is_some_and(|batch| batch.end == taken) {
            self.batches.pop_front();
        }
        received_at
    }
}

/// Kinds of connections in the order of their eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EvictionKind {
    /// Has sent nothing since it connected.
    Silent,
    /// Kept after an answer.
    Idle,
    /// Has only just connected: its request is on its way.
    New,
    /// Has sent a part of its first request.
    FirstRequest,
    /// Has sent a part of a later request.
    LaterRequest,
    /// Has its answer, and takes nothing of it.
    SlowReader,
}

/// Rank for eviction: the fields are compared in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EvictionRank {
    kind: EvictionKind,
    since: Micros,
}

/// A complete request.
#[derive(Debug)]
pub struct CompleteRequest {
    /// Its head.
    pub head: RequestHead,
    /// Its body, without framing.
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
    /// A client that has just connected.
    pub fn new(now: Micros) -> Client {
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

    /// Whether it has a request open.
    pub fn has_open_request(&self) -> bool {
        matches!(self.stage, Stage::Busy)
    }

    /// It has said nothing since its last answer, or at all.
    pub fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Head) && self.unread.is_empty()
    }

    /// It may hold its connection between requests for as long as there is room; nobody may hold half a request.
    pub fn is_overdue(&self, now: Micros) -> bool {
        let waits = self.has_open_request() || self.is_idle() && self.served;
        let max_s = if self.served {
            REQUEST_TIMEOUT_SECS
        } else {
            FIRST_REQUEST_TIMEOUT_SECS
        };
        let stopped = now.since(self.since.max(self.last_received_at)) >= STOPPED_SECS;
        !waits && (stopped || now.since(self.since) >= max_s)
    }

    /// Rank by which connections are evicted, the lowest first. None for one with a request in hand, or with an answer
    /// that it is still taking.
    pub(crate) fn eviction_rank(&self, now: Micros) -> Option<EvictionRank> {
        if self.has_open_request() {
            return None;
        }
        if self.unsent > 0 {
            let is_slow = now.since(self.last_progress_at) >= SLOW_READER_SECS;
            return is_slow.then_some(EvictionRank {
                kind: EvictionKind::SlowReader,
                since: self.last_progress_at,
            });
        }
        let kind = match (self.is_idle(), self.served) {
            (true, false) if now.since(self.since) >= SILENT_SECS => EvictionKind::Silent,
            (true, true) => EvictionKind::Idle,
            (true, false) => EvictionKind::New,
            (false, false) => EvictionKind::FirstRequest,
            (false, true) => EvictionKind::LaterRequest,
        };
        Some(EvictionRank {
            kind,
            since: self.since,
        })
    }

    /// Takes bytes; true where enough has come and nothing more should be read for now.
    pub fn receive(&mut self, now: Micros, bytes: &[u8]) -> bool {
        self.last_received_at = now;
        if self.is_idle() && self.served {
            self.since = now;
        }
        // Of what has a gap nothing further can be read; what came before the gap is still served.
        if self.dropped > 0
            || self.has_open_request() && self.unread.len() + bytes.len() > MAX_PIPELINED_BYTES
        {
            self.dropped = self.dropped.saturating_add(bytes.len());
            return self.dropped > MAX_DISCARDED_BYTES;
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

    /// The next complete request, if there is one.
    ///
    /// # Errors
    /// What cannot be read: the connection can be used no further.
    pub fn next_request(&mut self) -> Result<Option<CompleteRequest>, HttpError> {
        if matches!(self.stage, Stage::Head) && !self.read_head()? {
            return self.within_gap();
        }
        let Stage::Body { body, content, .. } = &mut self.stage else {
            return Ok(None);
        };
        let taken = body.decode(&self.unread, content)?;
        let (long, done) = (content.len() > MAX_BODY_BYTES, body.is_complete());
        self.drop_read(taken);
        if long {
            return Err(HttpError::BodyTooLong);
        }
        if !done {
            return self.within_gap();
        }
        Ok(self.complete_request())
    }

    /// Reads the head of a request; false while it is not complete.
    fn read_head(&mut self) -> Result<bool, HttpError> {
        let Some((head, taken)) = request_head(&self.unread)? else {
            return Ok(false);
        };
        self.drop_read(taken);
        let body = Body::new(head.framing);
        let expectation = head.fields.get("expect");
        let asked = expectation.is_some_and(|e| e.eq_ignore_ascii_case("100-continue"));
        self.expects = asked && !body.is_complete();
        self.stage = Stage::Body {
            head: Box::new(head),
            body,
            content: Vec::new(),
        };
        Ok(true)
    }

    /// The request whose body is complete; from now on it is open.
    fn complete_request(&mut self) -> Option<CompleteRequest> {
        let Stage::Body { head, content, .. } = std::mem::replace(&mut self.stage, Stage::Busy)
        else {
            return None;
        };
        self.keep_alive = head.keep_alive;
        Some(CompleteRequest {
            head: *head,
            body: content,
            received_at: self.received_at,
        })
    }

    /// No complete request yet; there will be none where bytes of it were dropped.
    fn within_gap(&self) -> Result<Option<CompleteRequest>, HttpError> {
        if self.dropped > 0 {
            Err(HttpError::BodyTooLong)
        } else {
            Ok(None)
        }
    }

    /// Whether it waits to be told to send its body; asked once.
    pub fn take_continue_expectation(&mut self) -> bool {
        std::mem::take(&mut self.expects) && self.unread.is_empty()
    }

    /// Bytes of what is not a request in hand yet: a head or body that is not whole, or what was pipelined.
    pub fn unfinished_bytes(&self) -> usize {
        let body = if let Stage::Body { content, .. } = &self.stage {
            content.len()
        } else {
            0
        };
        self.unread.len() + body
    }

    /// Whether its connection goes on after the answer in hand; while stopping only for what it has pipelined.
    pub fn keeps_alive_after_response(&self, stopping: bool) -> bool {
        self.keep_alive && !(stopping && self.unread.is_empty())
    }

    /// It takes nothing of what waits for it: it has gone.
    pub(crate) fn is_stuck(&self, now: Micros) -> bool {
        self.unsent > 0 && now.since(self.last_progress_at) >= CLIENT_STALL_TIMEOUT_SECS
    }

    /// Whether the client, by its last request, keeps its connection.
    pub fn keep_alive(&self) -> bool {
        self.keep_alive
    }

    /// Bytes given to it that have not gone to the system.
    pub fn unsent_bytes(&self) -> usize {
        self.unsent
    }

    /// Counts bytes that are to be written to it.
    pub fn add_unsent(&mut self, now: Micros, bytes: usize) {
        if self.unsent == 0 {
            self.last_progress_at = now;
        }
        self.unsent += bytes;
    }

    /// Counts bytes that have gone to the system.
    pub fn record_written(&mut self, now: Micros, bytes: usize) {
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
    pub fn finish_response(&mut self, now: Micros) {
        // Hundreds of connections that once brought much must not keep room for it.
        self.unread.shrink_to(RETAINED_CAPACITY);
        (self.stage, self.since, self.served) = (Stage::Head, now, true);
    }
}
