//! Streams that the dispatcher ends before the model server does.

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{Outcome, RequestId};

use super::attempt_ends::EndCause;
use super::attempts::ResponseDetails;
use super::Node;
use crate::types::{Command, ConnId};

/// Time without a complete event from the model server after which a stream counts as broken, seconds. The platform
/// counts a client that waits 5 s as lost.
const STREAM_STALL_SECS: f64 = 4.4;

impl Node {
    /// Cancels the attempt of a stream whose client no longer receives it.
    pub(super) fn cancel_stream(
        &mut self,
        now: Micros,
        request: RequestId,
        cause: EndCause,
        commands: &mut Vec<Command>,
    ) {
        if let Some(attempt) = self.requests.get(request).and_then(|open| open.in_flight) {
            self.close_server_connection(attempt.conn, commands);
            self.report_attempt_end(now, request, cause, Outcome::Cancelled, commands);
            self.finish_attempt(now, request, Outcome::Cancelled, ResponseDetails::default());
        }
    }

    /// Ends all running streams during shutdown, so that their clients request the rest from another dispatcher.
    pub(super) fn end_streams(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let running = self
            .requests
            .iter()
            .filter(|(_, open)| open.last_event_at.is_some() && !open.answered);
        let running: Vec<RequestId> = running.map(|(id, _)| id).collect();
        for id in running {
            self.break_stream(id, commands);
            self.cancel_stream(now, id, EndCause::Shutdown, commands);
        }
    }

    /// Ends streams whose model servers write no further event, so that their clients can request the rest. Streams
    /// paused by a slow client are left alone.
    pub(super) fn break_stalled_streams(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let backpressured =
            |conn: Option<ConnId>| conn.is_some_and(|conn| self.clients.is_backpressured(conn));
        let stalled = self.requests.iter().filter(|(_, open)| {
            open.last_event_at
                .is_some_and(|at| now.since(at) >= STREAM_STALL_SECS)
                && !backpressured(open.client)
        });
        let stalled: Vec<RequestId> = stalled.map(|(id, _)| id).collect();
        for id in stalled {
            if let Some(attempt) = self.requests.get(id).and_then(|open| open.in_flight) {
                self.close_server_connection(attempt.conn, commands);
                self.fail_attempt(
                    now,
                    id,
                    EndCause::StreamStalled,
                    Outcome::TimedOut,
                    commands,
                );
            }
        }
    }
}
