//! Streams that the dispatcher ends before the model server does.

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{Outcome, RequestId};

use super::attempt_ends::EndCause;
use super::attempts::ResponseDetails;
use super::Node;
use crate::requests::OpenRequest;
use crate::types::{Command, ConnId};

/// Time without bytes from the model server after which a stream counts as broken, seconds. The platform counts a
/// client that waits 5 s as lost.
const STREAM_STALL_SECS: f64 = 4.4;
/// Longest time that a model server may take to write one event, seconds.
const MAX_EVENT_SECS: f64 = 60.0;

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

    /// Ends streams whose model servers have stopped sending, so that their clients can request the rest. Streams
    /// paused by a slow client are left alone.
    pub(super) fn break_stalled_streams(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let backpressured =
            |conn: Option<ConnId>| conn.is_some_and(|conn| self.clients.is_backpressured(conn));
        let stalled = self.requests.iter().filter(|(_, open)| {
            open.last_event_at
                .is_some_and(|at| self.is_stalled(now, open, at))
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

    /// Whether the model server of a stream has stopped sending. One that is still writing an event has not, however
    /// slowly it does.
    fn is_stalled(&self, now: Micros, open: &OpenRequest, last_event_at: Micros) -> bool {
        let server = open
            .in_flight
            .and_then(|attempt| self.pool.get(attempt.conn));
        let received_at = server
            .and_then(|connection| connection.last_received)
            .map_or(last_event_at, |at| at.max(last_event_at));
        now.since(received_at) >= STREAM_STALL_SECS || now.since(last_event_at) >= MAX_EVENT_SECS
    }
}
