//! State of one client connection: it reads one request at a time, buffers pipelined bytes, and limits size and time.

use std::collections::VecDeque;
use std::fmt;

use bitternlatch_core::Micros;

use crate::http1::{request_head, Body, HttpError, RequestHead, MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// Time from connecting within which the first request must be complete, seconds. A client that sends nothing or an
/// endless head must get an error or a close within 3 s.
pub const FIRST_REQUEST_TIMEOUT_SECS: f64 = 2.6;
/// Time from the first byte of a later request within which it must be complete, seconds. A client that has sent a
/// valid request before may be slower.
pub const REQUEST_TIMEOUT_SECS: f64 = 8.0;
/// Time without a byte after which a client in the middle of a request is rejected, seconds. Such a client must get an
/// error or a close within 3 s.
const READ_STALL_TIMEOUT_SECS: f64 = 2.6;
/// Time without a byte after which a new client is evicted before idle keep-alive connections, seconds.
const SILENT_AFTER_SECS: f64 = 0.5;
/// Time for which a client that has a complete response left to read may read nothing before it can be evicted for lack
/// of capacity, seconds.
pub const SLOW_READER_SECS: f64 = 2.0;
/// Time without reading after which a client with unsent bytes counts as disconnected, seconds, because its stream
/// occupies a slot at the server. This also applies to the last response on a connection that is being closed.
pub const CLIENT_STALL_TIMEOUT_SECS: f64 = 20.0;
/// Most bytes buffered of what a client pipelines while its request is open; further bytes are discarded.
pub const MAX_PIPELINED_BYTES: usize = MAX_HEAD_BYTES + 4096;
/// Most bytes discarded from one client; beyond this the connection is no longer read.
pub const MAX_DISCARDED_BYTES: usize = 80 << 20;
/// Most arrival times kept for pipelined bytes. When full, later bytes are counted with the last batch and get its
/// time.
const MAX_ARRIVAL_BATCHES: usize = 32;
/// Buffer capacity that a client keeps after its request has been answered, bytes.
const RETAINED_CAPACITY_BYTES: usize = 4 * 1024;

#[derive(Debug)]
enum Stage {
    /// Between two requests, or in the middle of a request head.
    Head,
    Body {
        head: Box<RequestHead>,
        body: Body,
        content: Vec<u8>,
    },
    /// A request is open; further bytes are only buffered.
    RequestOpen,
}

/// Bytes that arrived at the same time.
#[derive(Clone, Copy, Debug)]
struct Batch {
    /// Position after the batch's last byte, counted from the connection's first byte.
    end: u64,
    at: Micros,
}

/// Arrival times of bytes that are not yet part of a request. A request's deadline counts from its last byte, even if
/// it waits behind a pipelined request.
#[derive(Debug, Default)]
struct Arrivals {
    batches: VecDeque<Batch>,
    /// Bytes received on the connection and not discarded.
    received: u64,
    /// Bytes that have become part of requests.
    consumed: u64,
}

impl Arrivals {
    fn add(&mut self, count: usize, now: Micros) {
        self.received += count as u64;
        let (end, is_full) = (self.received, self.batches.len() >= MAX_ARRIVAL_BATCHES);
        match self.batches.back_mut() {
            Some(last) if is_full || last.at == now => last.end = end,
            _ => self.batches.push_back(Batch { end, at: now }),
        }
    }

    /// Counts bytes as part of a request and returns when the last of them arrived.
    fn consume(&mut self, count: usize) -> Option<Micros> {
        self.consumed += count as u64;
        let consumed = self.consumed;
        while self
            .batches
            .front()
            .is_some_and(|batch| batch.end < consumed)
        {
            self.batches.pop_front();
        }
        let received_at = self.batches.front().map(|batch| batch.at);
        if self
            .batches
            .front()
            .is_some_and(|batch| batch.end == consumed)
        {
            self.batches.pop_front();
        }
        received_at
    }
}

/// Classes of connections in the order in which they are evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EvictionKind {
    /// A client that has sent nothing for a while since it connected.
    Silent,
    /// A keep-alive connection between two requests.
    Idle,
    /// A client that connected a moment ago; its request is probably on its way.
    New,
    /// A client that has sent part of its first request.
    FirstRequest,
    /// A client that has sent part of a later request.
    LaterRequest,
    /// A client that has stopped reading a complete response.
    SlowReader,
}

/// Eviction order of a connection; compares the fields from first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EvictionRank {
    kind: EvictionKind,
    since: Micros,
}

impl EvictionRank {
    /// Whether the client has nothing on its way, as far as can be known: it is silent, or between two requests.
    pub(crate) fn is_resting(self) -> bool {
        matches!(self.kind, EvictionKind::Silent | EvictionKind::Idle)
    }
}

impl fmt::Display for EvictionRank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let EvictionRank { kind, since } = self;
        write!(f, "{kind:?} since {:.3} s", since.seconds())
    }
}

/// A request whose head and body are complete.
#[derive(Debug)]
pub struct CompleteRequest {
    /// Parsed head of the request.
    pub head: RequestHead,
    /// Body bytes without chunk framing.
    pub body: Vec<u8>,
    /// Arrival time of the request's last byte.
    pub received_at: Micros,
}

/// One client connection.
#[derive(Debug)]
pub struct Client {
    stage: Stage,
    unparsed: Vec<u8>,
    arrivals: Arrivals,
    /// Arrival time of the last byte consumed by the current request.
    received_at: Micros,
    /// Bytes discarded because the pipeline buffer was full. The connection is still read, so that its end is noticed.
    discarded_bytes: usize,
    /// Start of the current phase: when the client connected, was last answered, or sent the first byte of the request
    /// it is sending.
    phase_started_at: Micros,
    /// When bytes last arrived.
    last_received_at: Micros,
    /// Whether the client has been answered at least once.
    has_been_served: bool,
    /// Whether the client waits for `100 Continue` before it sends its body.
    expects_continue: bool,
    /// Whether the connection may serve another request.
    keep_alive: bool,
    /// Bytes queued for the client that the operating system has not accepted yet.
    unsent_bytes: usize,
    /// When the client last accepted bytes, or when bytes were first queued for it.
    last_progress_at: Micros,
    /// Whether reading from the client is paused.
    paused: bool,
}

impl Client {
    /// State of a client that has just connected.
    pub fn new(now: Micros) -> Client {
        Client {
            stage: Stage::Head,
            unparsed: Vec::new(),
            arrivals: Arrivals::default(),
            received_at: now,
            discarded_bytes: 0,
            phase_started_at: now,
            last_received_at: now,
            has_been_served: false,
            expects_continue: false,
            keep_alive: true,
            unsent_bytes: 0,
            last_progress_at: now,
            paused: false,
        }
    }

    /// Whether the client has a request open.
    pub fn has_open_request(&self) -> bool {
        matches!(self.stage, Stage::RequestOpen)
    }

    /// Whether the client has sent nothing since it connected or was last answered.
    pub fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Head) && self.unparsed.is_empty()
    }

    /// Whether the client has taken too long over a request. An idle keep-alive connection is never overdue; a client
    /// that has not completed its first request, or is in the middle of a later one, can be.
    pub fn is_overdue(&self, now: Micros) -> bool {
        let may_wait = self.has_open_request() || self.is_idle() && self.has_been_served;
        let timeout_s = if self.has_been_served {
            REQUEST_TIMEOUT_SECS
        } else {
            FIRST_REQUEST_TIMEOUT_SECS
        };
        let is_stalled =
            now.since(self.phase_started_at.max(self.last_received_at)) >= READ_STALL_TIMEOUT_SECS;
        !may_wait && (is_stalled || now.since(self.phase_started_at) >= timeout_s)
    }

    /// Returns the eviction rank; the lowest rank is evicted first. `None` for a client with an open request or one
    /// that is still reading its response.
    pub(crate) fn eviction_rank(&self, now: Micros) -> Option<EvictionRank> {
        if self.has_open_request() {
            return None;
        }
        if self.unsent_bytes > 0 {
            let is_slow = now.since(self.last_progress_at) >= SLOW_READER_SECS;
            return is_slow.then_some(EvictionRank {
                kind: EvictionKind::SlowReader,
                since: self.last_progress_at,
            });
        }
        let kind = match (self.is_idle(), self.has_been_served) {
            (true, false) if now.since(self.phase_started_at) >= SILENT_AFTER_SECS => {
                EvictionKind::Silent
            }
            (true, true) => EvictionKind::Idle,
            (true, false) => EvictionKind::New,
            (false, false) => EvictionKind::FirstRequest,
            (false, true) => EvictionKind::LaterRequest,
        };
        Some(EvictionRank {
            kind,
            since: self.phase_started_at,
        })
    }

    /// Adds received bytes. Returns true if so much has been discarded that reading should be paused.
    pub fn receive(&mut self, now: Micros, bytes: &[u8]) -> bool {
        self.last_received_at = now;
        if self.is_idle() && self.has_been_served {
            self.phase_started_at = now;
        }
        // Once bytes were discarded, later bytes cannot be parsed; the requests buffered before the gap are still
        // served.
        if self.discarded_bytes > 0
            || self.has_open_request() && self.unparsed.len() + bytes.len() > MAX_PIPELINED_BYTES
        {
            self.discarded_bytes = self.discarded_bytes.saturating_add(bytes.len());
            return self.discarded_bytes > MAX_DISCARDED_BYTES;
        }
        self.unparsed.extend_from_slice(bytes);
        self.arrivals.add(bytes.len(), now);
        false
    }

    /// Removes parsed bytes from the front of the buffer.
    fn consume(&mut self, count: usize) {
        self.unparsed.drain(..count);
        if count > 0 {
            self.received_at = self.arrivals.consume(count).unwrap_or(self.received_at);
        }
    }

    /// Returns the next complete request, if there is one.
    ///
    /// # Errors
    /// A request that cannot be parsed; the connection cannot be used any further.
    pub fn next_request(&mut self) -> Result<Option<CompleteRequest>, HttpError> {
        if matches!(self.stage, Stage::Head) && !self.read_head()? {
            return self.incomplete();
        }
        let Stage::Body { body, content, .. } = &mut self.stage else {
            return Ok(None);
        };
        let consumed = body.decode(&self.unparsed, content)?;
        let (is_too_long, is_complete) = (content.len() > MAX_BODY_BYTES, body.is_complete());
        self.consume(consumed);
        if is_too_long {
            return Err(HttpError::BodyTooLong);
        }
        if !is_complete {
            return self.incomplete();
        }
        Ok(self.complete_request())
    }

    /// Parses the head of a request; returns false while it is incomplete.
    fn read_head(&mut self) -> Result<bool, HttpError> {
        let Some((head, consumed)) = request_head(&self.unparsed)? else {
            return Ok(false);
        };
        self.consume(consumed);
        let body = Body::new(head.framing);
        let expectation = head.fields.get("expect");
        let expects_continue = expectation.is_some_and(|e| e.eq_ignore_ascii_case("100-continue"));
        self.expects_continue = expects_continue && !body.is_complete();
        self.stage = Stage::Body {
            head: Box::new(head),
            body,
            content: Vec::new(),
        };
        Ok(true)
    }

    /// Returns the request whose body has just been completed and marks it as open.
    fn complete_request(&mut self) -> Option<CompleteRequest> {
        let Stage::Body { head, content, .. } =
            std::mem::replace(&mut self.stage, Stage::RequestOpen)
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

    /// Result for an incomplete request: an error if bytes of it were discarded, since it can never become complete.
    fn incomplete(&self) -> Result<Option<CompleteRequest>, HttpError> {
        if self.discarded_bytes > 0 {
            Err(HttpError::BodyTooLong)
        } else {
            Ok(None)
        }
    }

    /// Returns true once if the client waits for `100 Continue` before it sends its body.
    pub fn take_continue_expectation(&mut self) -> bool {
        std::mem::take(&mut self.expects_continue) && self.unparsed.is_empty()
    }

    /// Bytes buffered for requests that are not open yet: an incomplete head or body, or pipelined requests.
    pub fn unfinished_bytes(&self) -> usize {
        let body_bytes = if let Stage::Body { content, .. } = &self.stage {
            content.len()
        } else {
            0
        };
        self.unparsed.len() + body_bytes
    }

    /// Whether the connection stays open after the current response. During shutdown it does so only for bytes already
    /// pipelined.
    pub fn keeps_alive_after_response(&self, stopping: bool) -> bool {
        self.keep_alive && !(stopping && self.unparsed.is_empty())
    }

    /// Whether the client has read nothing of the bytes waiting for it for so long that it counts as disconnected.
    pub(crate) fn is_stalled(&self, now: Micros) -> bool {
        self.unsent_bytes > 0 && now.since(self.last_progress_at) >= CLIENT_STALL_TIMEOUT_SECS
    }

    /// Whether the client's last request asked for the connection to stay open.
    pub fn keep_alive(&self) -> bool {
        self.keep_alive
    }

    /// Bytes queued for the client that the operating system has not accepted yet.
    pub fn unsent_bytes(&self) -> usize {
        self.unsent_bytes
    }

    /// Records bytes that were queued for the client.
    pub fn add_unsent(&mut self, now: Micros, bytes: usize) {
        if self.unsent_bytes == 0 {
            self.last_progress_at = now;
        }
        self.unsent_bytes += bytes;
    }

    /// Records bytes that the operating system has accepted.
    pub fn record_written(&mut self, now: Micros, bytes: usize) {
        self.last_progress_at = now;
        self.unsent_bytes = self.unsent_bytes.saturating_sub(bytes);
    }

    /// Pauses reading from the client; returns false if it was paused before.
    pub fn pause(&mut self) -> bool {
        !std::mem::replace(&mut self.paused, true)
    }

    /// Resumes reading from the client; returns false if it was not paused.
    pub fn resume(&mut self) -> bool {
        std::mem::take(&mut self.paused)
    }

    /// Records that the open request has been answered.
    pub fn finish_response(&mut self, now: Micros) {
        // Releases buffer memory, which would add up over hundreds of connections that each sent a large request once.
        self.unparsed.shrink_to(RETAINED_CAPACITY_BYTES);
        (self.stage, self.phase_started_at, self.has_been_served) = (Stage::Head, now, true);
    }
}
