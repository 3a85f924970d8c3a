//! The discovery watch: one HTTP response that stays open and carries one JSON object per line.
//!
//! The platform treats a change as received 6 s after discovery had it and could be reached. The watch call open at
//! that moment may be broken and the next one good, so their worst cases must fit into that time:
//!
//! | step | seconds |
//! | --- | --- |
//! | timeout of the broken call, from its last complete line (`LINE_TIMEOUT_SECS`; without one, `HEAD_TIMEOUT_SECS` is
//! shorter) | 4.0 |
//! | pause before the next call: half of the longest back-off (`MAX_BACKOFF_SECS`), which counts from the call's start
//! | 0.5 |
//! | a good call: the discovery agent is on the same machine and responds at once | under 1.0 |
//! | total | under 5.5 |
//!
//! A call that fails early is followed by a longer pause, but the next call starts at most 1.0 s after it did. The
//! broken call cannot have delivered a complete line after the change, since that line would have contained the change.

use bitternlatch_core::Micros;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::http1::{response_head, Body};
use crate::line_splitter::LineSplitter;
use crate::types::ConnId;

/// Longest line and largest chunk, bytes. Fits an indented full list of 3,200 servers.
const MAX_LINE_BYTES: usize = 3 << 19;
/// Timeout from the start of a call until its response head is complete, seconds. The discovery agent responds at once,
/// but a lost first packet is resent only after 1 s.
const HEAD_TIMEOUT_SECS: f64 = 2.0;
/// Timeout from one complete line until the first byte of the next, seconds. Discovery sends an empty line every 2 s,
/// which a busy machine may delay.
const KEEP_ALIVE_TIMEOUT_SECS: f64 = 3.2;
/// Timeout from one complete line until the next is complete, seconds. Single bytes do not reset it, as they could
/// trickle in without end.
const LINE_TIMEOUT_SECS: f64 = 4.0;
/// Shortest back-off from the start of one call to the start of the next, seconds. It doubles with each failure up to
/// `MAX_BACKOFF_SECS`, and the actual value is drawn between half of it and all of it. After a call that lasted longer,
/// the pause is half of the drawn value.
const MIN_BACKOFF_SECS: f64 = 0.2;
/// Longest back-off from the start of one watch call to the start of the next, seconds.
const MAX_BACKOFF_SECS: f64 = 1.0;
/// Most causes logged within `LOG_WINDOW_SECS`, however often the watch breaks.
const MAX_LINES_PER_WINDOW: u32 = 3;
/// Time window of the log rate limit, seconds.
const LOG_WINDOW_SECS: f64 = 60.0;
/// Longest logged cause, characters; a cause may quote text from discovery.
const MAX_CAUSE_CHARS: usize = 200;

/// State of the discovery watch and its current call.
#[derive(Debug)]
pub struct DiscoveryWatch {
    /// Seed of the back-off jitter, different at each dispatcher.
    seed: u64,
    /// Number of calls that have ended; selects the next random value for the jitter.
    finished_calls: u64,
    conn: Option<ConnId>,
    started_at: Micros,
    /// When the response head or the last line was completed; `None` before the head.
    last_progress_at: Option<Micros>,
    /// Whether the current call has delivered a complete line.
    received_line: bool,
    /// Earliest time of the next call.
    retry_at: Micros,
    /// Consecutive failed calls, which lengthen the back-off.
    failures: u32,
    unparsed: Vec<u8>,
    body: Option<Body>,
    lines: LineSplitter,
    /// Time of the timer that is set, if any.
    timer_at: Option<Micros>,
    log_limiter: LogLimiter,
}

/// Result of parsing received bytes.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct WatchProgress {
    /// Complete non-empty lines; valid even if `failure` is set after them.
    pub objects: Vec<Vec<u8>>,
    /// Whether a line was completed, including an empty one.
    pub received_line: bool,
    /// Why the watch has to be restarted, if it has failed.
    pub failure: Option<String>,
}

impl DiscoveryWatch {
    /// Mixes the dispatcher's name into the seed, so that dispatchers with equal seeds still use different jitter.
    pub fn new(seed: u64, name: &str) -> DiscoveryWatch {
        DiscoveryWatch {
            seed: seed ^ xxh3_64(name.as_bytes()),
            finished_calls: 0,
            conn: None,
            started_at: Micros(0),
            last_progress_at: None,
            received_line: false,
            retry_at: Micros(0),
            failures: 0,
            unparsed: Vec::new(),
            body: None,
            lines: LineSplitter::default(),
            timer_at: None,
            log_limiter: LogLimiter::default(),
        }
    }

    /// Connection of the current call.
    pub fn conn(&self) -> Option<ConnId> {
        self.conn
    }

    /// Whether it is time to start a call.
    pub fn is_due(&self, now: Micros) -> bool {
        self.conn.is_none() && now >= self.retry_at
    }

    /// Time at which the watch has to be checked again: the next call's start or the current call's timeout.
    pub fn next_check(&self) -> Micros {
        match (self.conn, self.last_progress_at) {
            (None, _) => self.retry_at,
            (Some(_), None) => self.started_at.after(HEAD_TIMEOUT_SECS),
            (Some(_), Some(at)) => at.after(if self.lines.is_empty() {
                KEEP_ALIVE_TIMEOUT_SECS
            } else {
                LINE_TIMEOUT_SECS
            }),
        }
    }

    /// Returns the time for which a timer has to be set, or `None` if one is set that is early enough.
    pub fn schedule_timer(&mut self, now: Micros) -> Option<Micros> {
        let next = self.next_check().max(now);
        if self.timer_at.is_some_and(|at| at > now && at <= next) {
            return None;
        }
        self.timer_at = Some(next);
        self.timer_at
    }

    /// Returns which timeout the current call has missed, if any.
    pub fn overdue_cause(&self, now: Micros) -> Option<&'static str> {
        if self.conn.is_none() || now < self.next_check() {
            return None;
        }
        Some(match (self.last_progress_at, self.lines.is_empty()) {
            (None, _) => "no response head in time",
            (Some(_), true) => "no line received in time",
            (Some(_), false) => "a line was not completed in time",
        })
    }

    /// Starts a call on a new connection.
    pub fn start(&mut self, now: Micros, conn: ConnId) {
        self.reset_call();
        (self.conn, self.started_at) = (Some(conn), now);
    }

    /// Ends the current call and schedules the next; returns the connection to close.
    pub fn end(&mut self, now: Micros) -> Option<ConnId> {
        let elapsed_s = now.since(self.started_at);
        // A call that breaks soon after its first line does not reset the back-off, as it is no better than one that
        // failed.
        if self.received_line && elapsed_s >= MAX_BACKOFF_SECS {
            self.failures = 0;
        }
        let max_backoff_s =
            (MIN_BACKOFF_SECS * f64::from(1u32 << self.failures.min(8))).min(MAX_BACKOFF_SECS);
        let backoff_s = max_backoff_s * (0.5 + 0.5 * self.jitter());
        self.failures = self.failures.saturating_add(1);
        self.finished_calls += 1;
        self.retry_at = now.after((backoff_s - elapsed_s).max(0.5 * backoff_s));
        self.reset_call();
        self.conn.take()
    }

    /// Drops the current call after a change of address, so that the next one starts at once; returns the connection to
    /// close.
    pub fn address_changed(&mut self, now: Micros) -> Option<ConnId> {
        (self.retry_at, self.failures) = (now, 0);
        self.reset_call();
        self.conn.take()
    }

    /// Parses received bytes of the response.
    pub fn receive(&mut self, now: Micros, bytes: &[u8]) -> WatchProgress {
        self.unparsed.extend_from_slice(bytes);
        let mut progress = WatchProgress::default();
        if self.body.is_none() {
            match response_head(&self.unparsed) {
                Ok(None) => return progress,
                Ok(Some((head, length))) if head.status == 200 => {
                    self.unparsed.drain(..length);
                    (self.body, self.last_progress_at) = (
                        Some(Body::with_max_chunk(head.framing, MAX_LINE_BYTES as u64)),
                        Some(now),
                    );
                }
                // A `Retry-After` header is ignored: changes must be received in time even if discovery asks for fewer
                // calls.
                Ok(Some((head, _))) => {
                    progress.failure = Some(format!("the response status is {}", head.status))
                }
                Err(e) => progress.failure = Some(e.to_string()),
            }
        }
        let Some(body) = &mut self.body else {
            return progress;
        };
        match body.decode(&self.unparsed, self.lines.buffer()) {
            Ok(length) => drop(self.unparsed.drain(..length)),
            Err(e) => progress.failure = Some(e.to_string()),
        }
        let (objects, received_line) = self.lines.take_complete();
        (progress.objects, progress.received_line) = (objects, received_line);
        if received_line {
            (self.last_progress_at, self.received_line) = (Some(now), true);
        }
        if body.is_complete() {
            progress.objects.extend(self.lines.take_remainder());
            progress.failure = Some("the response has ended".into());
        } else if self.lines.len() > MAX_LINE_BYTES {
            progress.failure = Some("a line exceeds the size limit".into());
        }
        progress
    }

    /// Returns the log line for a failure, or `None` if the rate limit suppresses it.
    pub fn rate_limited_log_line(&mut self, now: Micros, cause: &str) -> Option<String> {
        self.log_limiter.admit(now, cause)
    }

    fn reset_call(&mut self) {
        (self.body, self.unparsed, self.lines) = (None, Vec::new(), LineSplitter::default());
        (self.last_progress_at, self.received_line) = (None, false);
    }

    /// Pseudo-random value from 0 to 1, determined by the seed and the number of calls.
    fn jitter(&self) -> f64 {
        let bits = xxh3_64_with_seed(&self.finished_calls.to_le_bytes(), self.seed);
        (bits >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Rate limiter for log lines, so that a watch that fails for an hour does not log every call.
#[derive(Debug, Default)]
struct LogLimiter {
    window_started_at: Micros,
    lines: u32,
    last_cause: String,
    suppressed: u64,
}

impl LogLimiter {
    fn admit(&mut self, now: Micros, cause: &str) -> Option<String> {
        if now.since(self.window_started_at) >= LOG_WINDOW_SECS {
            (self.window_started_at, self.lines) = (now, 0);
        }
        let cause: String = cause.chars().take(MAX_CAUSE_CHARS).collect();
        if self.lines >= MAX_LINES_PER_WINDOW || (self.lines > 0 && self.last_cause == cause) {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        let suppressed = std::mem::take(&mut self.suppressed);
        let before = if suppressed > 0 {
            format!(" ({suppressed} earlier failures not logged)")
        } else {
            String::new()
        };
        let text = format!("{cause}{before}");
        self.last_cause = cause;
        Some(text)
    }
}

/// Builds the watch request for changes since a version.
pub fn watch_request(rev: u64) -> Vec<u8> {
    format!("GET /v1/endpoints?watch=1&from={rev} HTTP/1.1\r\nHost: discovery\r\n\r\n").into_bytes()
}
