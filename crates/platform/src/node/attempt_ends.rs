//! Why attempts and streams ended without a whole answer, for the log and the counts.

use std::fmt;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{Outcome, RequestId};

use super::{log, Node};
use crate::http1::HttpError;
use crate::requests::{InFlightAttempt, OpenRequest};
use crate::types::{Command, Level};

/// Why an attempt ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndCause {
    /// The connection could not be established or used.
    NotConnected,
    /// The server closed or reset the connection.
    ClosedByServer,
    /// The server's response could not be parsed.
    Malformed(HttpError),
    /// The time of the attempt was up before the first event.
    TimedOut,
    /// The time since the last event of the stream was up.
    StreamStalled,
    /// The decision module cancelled the attempt.
    Cancelled,
    /// The client closed its connection or read nothing for too long.
    ClientDisconnected,
    /// The state that the attempt was to take is released.
    StateReleased,
    /// The request was no longer needed before all of it had reached the server.
    Undelivered,
    /// The shutdown schedule ended the stream.
    Shutdown,
}

impl fmt::Display for EndCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            EndCause::NotConnected => "no connection to the server",
            EndCause::ClosedByServer => "the server closed the connection",
            EndCause::Malformed(error) => return write!(f, "malformed response: {error}"),
            EndCause::TimedOut => "timed out before its first event",
            EndCause::StreamStalled => "no further event in time",
            EndCause::Cancelled => "cancelled by the decision module",
            EndCause::ClientDisconnected => "the client disconnected",
            EndCause::StateReleased => "its state is released",
            EndCause::Undelivered => "no longer needed and not yet delivered",
            EndCause::Shutdown => "shutdown",
        };
        f.write_str(text)
    }
}

/// Text of the time since something happened.
fn ago(now: Micros, at: Option<Micros>) -> String {
    at.map_or_else(
        || "never".to_string(),
        |at| format!("{:.3} s ago", now.since(at)),
    )
}

impl Node {
    /// Logs and counts the end of the attempt in flight, which has no whole answer.
    pub(super) fn report_attempt_end(
        &mut self,
        now: Micros,
        request: RequestId,
        cause: EndCause,
        outcome: Outcome,
        commands: &mut Vec<Command>,
    ) {
        let Some(open) = self.requests.get(request) else {
            return;
        };
        let Some(attempt) = open.in_flight else {
            return;
        };
        let (level, text) = self.attempt_end_line(now, open, attempt, cause, outcome);
        log(commands, level, text);
        match cause {
            EndCause::StreamStalled => self.counts.streams_stalled += 1,
            EndCause::Undelivered => self.counts.attempts_undelivered += 1,
            EndCause::Malformed(_) => self.counts.malformed_responses += 1,
            EndCause::TimedOut
            | EndCause::Cancelled
            | EndCause::ClientDisconnected
            | EndCause::StateReleased
            | EndCause::Shutdown => self.counts.attempts_abandoned += 1,
            EndCause::NotConnected | EndCause::ClosedByServer => {}
        }
    }

    fn attempt_end_line(
        &self,
        now: Micros,
        open: &OpenRequest,
        attempt: InFlightAttempt,
        cause: EndCause,
        outcome: Outcome,
    ) -> (Level, String) {
        let (id, number) = (&open.id, attempt.number);
        let endpoint = self.discovery.endpoints().get(attempt.server);
        let server = endpoint.map_or("unlisted", |endpoint| &endpoint.uid);
        let (age_s, last_byte) = (now.since(attempt.sent_at), ago(now, attempt.last_byte_at));
        let Some(stream) = open.stream else {
            let text = format!(
                "attempt {number} of {id} ended: {cause}; outcome {outcome:?}, server {server}, \
                 after {age_s:.3} s, last byte {last_byte}"
            );
            return (Level::Info, text);
        };
        let level = match cause {
            EndCause::ClientDisconnected => Level::Info,
            _ => Level::Warn,
        };
        let last_event = ago(now, Some(stream.last_event_at));
        let text = format!(
            "stream of {id} ended without its last chunk: {cause}; attempt {number}, server {server}, \
             after {age_s:.3} s, last event {last_event}, last byte {last_byte}"
        );
        (level, text)
    }
}
