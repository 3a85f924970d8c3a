//! Streams that the dispatcher ends before the model server does.

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{Outcome, RequestId};

use super::attempt_ends::EndCause;
use super::attempts::ResponseDetails;
use super::Node;
use crate::requests::StreamProgress;
use crate::timer::Timer;
use crate::types::{Command, ConnId};

/// Longest time that a client waits after the last event of its stream before the platform counts it as lost, seconds,
/// with the slack of limits on sockets.
const MAX_WAIT_SECS: f64 = 5.05;
/// Longest time that the process may be held up between reading the clock and writing, seconds.
const MAX_HOLD_UP_SECS: f64 = 0.15;
/// Time from an event at the server to the node, and from the node to the end at the client, seconds.
const TRANSIT_SECS: f64 = 0.02;
/// Time after its last event at which a stream is ended, seconds: as late as its client allows, since the next event may
/// still come.
const STREAM_LIMIT_SECS: f64 = MAX_WAIT_SECS - MAX_HOLD_UP_SECS - TRANSIT_SECS;

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
            .filter(|(_, open)| open.is_streaming() && !open.answered);
        let running: Vec<RequestId> = running.map(|(id, _)| id).collect();
        for id in running {
            self.break_stream(id, commands);
            self.cancel_stream(now, id, EndCause::Shutdown, commands);
        }
    }

    /// Sets the timer that ends a stream if no event comes.
    pub(super) fn set_stream_check(&mut self, request: RequestId) {
        let Some(stream) = self.stream_mut(request).filter(|s| !s.is_check_set) else {
            return;
        };
        stream.is_check_set = true;
        let due = stream.waiting_since().after(STREAM_LIMIT_SECS);
        self.timers.set(due, Timer::StreamCheck { request });
    }

    /// Ends a stream whose last event is too long ago, so that its client can request the rest. Bytes that complete no
    /// event do not count. A stream that its slow client has paused is checked again once it is resumed.
    pub(super) fn check_stream(
        &mut self,
        now: Micros,
        request: RequestId,
        commands: &mut Vec<Command>,
    ) {
        let Some(stream) = self.stream_mut(request) else {
            return;
        };
        stream.is_check_set = false;
        let is_due = now >= stream.waiting_since().after(STREAM_LIMIT_SECS);
        let Some(open) = self.requests.get(request) else {
            return;
        };
        let (client, in_flight) = (open.client, open.in_flight);
        if client.is_none_or(|conn| self.clients.is_backpressured(conn)) {
            return;
        }
        if !is_due {
            return self.set_stream_check(request);
        }
        if let Some(attempt) = in_flight {
            let (cause, outcome) = (EndCause::StreamStalled, Outcome::TimedOut);
            self.close_server_connection(attempt.conn, commands);
            self.fail_attempt(now, request, cause, outcome, commands);
        }
    }

    /// Records that a client has caught up, so that its stream is read from the server again.
    pub(super) fn resume_stream(&mut self, now: Micros, client: ConnId) {
        let Some(request) = self.clients.request_of(client) else {
            return;
        };
        if let Some(stream) = self.stream_mut(request) {
            stream.resumed_at = Some(now);
            self.set_stream_check(request);
        }
    }

    fn stream_mut(&mut self, request: RequestId) -> Option<&mut StreamProgress> {
        self.requests.get_mut(request)?.stream.as_mut()
    }
}
