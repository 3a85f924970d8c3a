//! The watch over discovery: one answer that stays open, a JSON object a line.
//!
//! A change counts as told 6 s after discovery had it and could be reached. Whatever call is out at that moment may be
//! useless, and the next one is good; the sum that keeps the bound, each term at its worst:
//!
//! | | seconds |
//! | --- | --- |
//! | a useless call holds, from its last complete line (`LINE_TIMEOUT_SECS`; from its begin where none came: `HEAD_TIMEOUT_SECS`, less) | 4.0 |
//! | the pause before the next: half of the longest back-off (`MAX_BACKOFF_SECS`), as that counts from the call's begin | 0.5 |
//! | a good exchange: the agent is on the same machine and answers at once | under 1.0 |
//! | together | under 5.5 |
//!
//! A call that ends early holds less and pauses longer; from its begin to the next it is 1.0 s at the most. No line of
//! the useless call comes after the change, as discovery would have told it there.

use bitternlatch_core::Micros;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::http1::{response_head, Body};
use crate::line_splitter::LineSplitter;
use crate::types::ConnId;

/// Longest line, and largest chunk, bytes: the whole list of 3,200 servers, indented.
const MAX_LINE: usize = 3 << 19;
/// From a call's begin until its answer's head is whole, seconds. The agent answers at once; a first packet that was
/// lost is sent again after 1 s.
const HEAD_TIMEOUT_SECS: f64 = 2.0;
/// From one complete line until the next begins, seconds: an empty one comes every 2 s, and a busy machine delays it.
const KEEP_ALIVE_TIMEOUT_SECS: f64 = 3.2;
/// From one complete line until the next is whole, seconds. Bytes alone do not count: they may trickle without end.
const LINE_TIMEOUT_SECS: f64 = 4.0;
/// Back-off, from a call's begin to the next one's, seconds: doubles from the first to the last, and between half and
/// the whole of it is drawn. After a call that held longer the pause is half of what was drawn.
const MIN_BACKOFF_SECS: f64 = 0.2;
const MAX_BACKOFF_SECS: f64 = 1.0;
/// So many lines are logged in this time, seconds, however often the watch breaks.
const MAX_LOGGED: u32 = 3;
const LOG_WINDOW_SECS: f64 = 60.0;
/// Longest cause that is logged, characters: it may quote what discovery wrote.
const MAX_CAUSE: usize = 200;

/// Where the watch stands.
#[derive(Debug)]
pub struct DiscoveryWatch {
    /// Of the jitter: another for each dispatcher.
    seed: u64,
    /// Calls that have ended; numbers the draws.
    ended: u64,
    conn: Option<ConnId>,
    began_at: Micros,
    /// When the head or the last line was whole; `None` until the head is.
    last_complete_at: Option<Micros>,
    /// A line was whole since it began.
    received_line: bool,
    /// No further call before then.
    retry_at: Micros,
    /// Calls in a row that were of no use.
    failures: u32,
    unread: Vec<u8>,
    body: Option<Body>,
    lines: LineSplitter,
    /// The timer that is set.
    timer_at: Option<Micros>,
    logged: LogLimiter,
}

/// What bytes have brought.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct WatchProgress {
    /// Whole lines that are not empty; they count also where the watch has broken after them.
    pub objects: Vec<Vec<u8>>,
    /// A line was whole, an empty one included.
    pub received_line: bool,
    /// Why the watch has to be begun anew.
    pub failure: Option<String>,
}

impl DiscoveryWatch {
    /// Chance needs no more than that dispatchers draw differently, whether or not their seeds are the same.
    pub fn new(seed: u64, name: &str) -> DiscoveryWatch {
        DiscoveryWatch {
            seed: seed ^ xxh3_64(name.as_bytes()),
            ended: 0,
            conn: None,
            began_at: Micros(0),
            last_complete_at: None,
            received_line: false,
            retry_at: Micros(0),
            failures: 0,
            unread: Vec::new(),
            body: None,
            lines: LineSplitter::default(),
            timer_at: None,
            logged: LogLimiter::default(),
        }
    }

    /// Connection of the call in hand.
    pub fn conn(&self) -> Option<ConnId> {
        self.conn
    }

    /// Whether it is time to begin.
    pub fn is_due(&self, now: Micros) -> bool {
        self.conn.is_none() && now >= self.retry_at
    }

    /// When it has to be looked at again.
    pub fn next_check(&self) -> Micros {
        match (self.conn, self.last_complete_at) {
            (None, _) => self.retry_at,
            (Some(_), None) => self.began_at.after(HEAD_TIMEOUT_SECS),
            (Some(_), Some(at)) => at.after(if self.lines.is_empty() {
                KEEP_ALIVE_TIMEOUT_SECS
            } else {
                LINE_TIMEOUT_SECS
            }),
        }
    }

    /// The time for which a timer has to be set, if none is set that is as early.
    pub fn schedule_timer(&mut self, now: Micros) -> Option<Micros> {
        let next = self.next_check().max(now);
        if self.timer_at.is_some_and(|at| at > now && at <= next) {
            return None;
        }
        self.timer_at = Some(next);
        self.timer_at
    }

    /// What the call in hand has failed to bring in time.
    pub fn overdue_cause(&self, now: Micros) -> Option<&'static str> {
        if self.conn.is_none() || now < self.next_check() {
            return None;
        }
        Some(match (self.last_complete_at, self.lines.is_empty()) {
            (None, _) => "no answer in time",
            (Some(_), true) => "it is silent",
            (Some(_), false) => "a line does not end",
        })
    }

    /// A call begins on a new connection.
    pub fn start(&mut self, now: Micros, conn: ConnId) {
        self.forget_call();
        (self.conn, self.began_at) = (Some(conn), now);
    }

    /// The connection has ended or is given up; gives it, to be closed.
    pub fn end(&mut self, now: Micros) -> Option<ConnId> {
        let held_s = now.since(self.began_at);
        // A watch that breaks right after its first line is no better than one that never came up.
        if self.received_line && held_s >= MAX_BACKOFF_SECS {
            self.failures = 0;
        }
        let max_s =
            (MIN_BACKOFF_SECS * f64::from(1u32 << self.failures.min(8))).min(MAX_BACKOFF_SECS);
        let drawn_s = max_s * (0.5 + 0.5 * self.chance());
        self.failures = self.failures.saturating_add(1);
        self.ended += 1;
        self.retry_at = now.after((drawn_s - held_s).max(0.5 * drawn_s));
        self.forget_call();
        self.conn.take()
    }

    /// Another address counts from now on: the call goes out at once.
    pub fn address_changed(&mut self, now: Micros) -> Option<ConnId> {
        (self.retry_at, self.failures) = (now, 0);
        self.forget_call();
        self.conn.take()
    }

    /// Takes bytes of the answer.
    pub fn receive(&mut self, now: Micros, bytes: &[u8]) -> WatchProgress {
        self.unread.extend_from_slice(bytes);
        let mut taken = WatchProgress::default();
        if self.body.is_none() {
            match response_head(&self.unread) {
                Ok(None) => return taken,
                Ok(Some((head, length))) if head.status == 200 => {
                    self.unread.drain(..length);
                    (self.body, self.last_complete_at) = (
                        Some(Body::with_max_chunk(head.framing, MAX_LINE as u64)),
                        Some(now),
                    );
                }
                // Its `Retry-After` does not count: what discovery has is told, whenever it would like to be asked.
                Ok(Some((head, _))) => {
                    taken.failure = Some(format!("the answer is {}", head.status))
                }
                Err(e) => taken.failure = Some(e.to_string()),
            }
        }
        let Some(body) = &mut self.body else {
            return taken;
        };
        match body.decode(&self.unread, self.lines.buffer()) {
            Ok(length) => drop(self.unread.drain(..length)),
            Err(e) => taken.failure = Some(e.to_string()),
        }
        let (objects, any) = self.lines.take_complete();
        (taken.objects, taken.received_line) = (objects, any);
        if any {
            (self.last_complete_at, self.received_line) = (Some(now), true);
        }
        if body.is_complete() {
            taken.objects.extend(self.lines.take_remainder());
            taken.failure = Some("the answer has ended".into());
        } else if self.lines.len() > MAX_LINE {
            taken.failure = Some("a line is too long".into());
        }
        taken
    }

    /// The cause to log, if this one is to be.
    pub fn rate_limited_log_line(&mut self, now: Micros, cause: &str) -> Option<String> {
        self.logged.take(now, cause)
    }

    fn forget_call(&mut self) {
        (self.body, self.unread, self.lines) = (None, Vec::new(), LineSplitter::default());
        (self.last_complete_at, self.received_line) = (None, false);
    }

    /// Between 0 and 1, the same for the same dispatcher and number of calls.
    fn chance(&self) -> f64 {
        let bits = xxh3_64_with_seed(&self.ended.to_le_bytes(), self.seed);
        (bits >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// What has been logged of late: a watch that breaks for an hour does not write a line for each call.
#[derive(Debug, Default)]
struct LogLimiter {
    since: Micros,
    lines: u32,
    last: String,
    left_out: u64,
}

impl LogLimiter {
    fn take(&mut self, now: Micros, cause: &str) -> Option<String> {
        if now.since(self.since) >= LOG_WINDOW_SECS {
            (self.since, self.lines) = (now, 0);
        }
        let cause: String = cause.chars().take(MAX_CAUSE).collect();
        if self.lines >= MAX_LOGGED || (self.lines > 0 && self.last == cause) {
            self.left_out += 1;
            return None;
        }
        self.lines += 1;
        let left_out = std::mem::take(&mut self.left_out);
        let before = if left_out > 0 {
            format!(" ({left_out} before it not logged)")
        } else {
            String::new()
        };
        let text = format!("{cause}{before}");
        self.last = cause;
        Some(text)
    }
}

/// The call for changes since a version.
pub fn call(rev: u64) -> Vec<u8> {
    format!("GET /v1/endpoints?watch=1&from={rev} HTTP/1.1\r\nHost: discovery\r\n\r\n").into_bytes()
}
