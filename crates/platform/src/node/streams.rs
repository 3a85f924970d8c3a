//! Streams that end before their model server ends them.

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{Outcome, RequestId};

use super::Node;
use crate::types::{Command, ConnId};

/// A stream whose model server has sent nothing for this long has broken, seconds. The platform counts a client left
/// waiting for 5 s as lost.
const STREAM_STALL_SECS: f64 = 4.4;

impl Node {
    /// Nobody reads this stream any more.
    pub(super) fn cancel_stream(
        &mut self,
        now: Micros,
        request: RequestId,
        commands: &mut Vec<Command>,
    ) {
        if let Some(was) = self.requests.get(request).and_then(|o| o.in_flight) {
            self.close_server_connection(was.conn, commands);
            self.finish_attempt(now, request, Outcome::Cancelled, 0.0, Vec::new());
        }
    }

    /// Ends all running streams, for their clients to ask for the rest elsewhere.
    pub(super) fn end_streams(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let running = self
            .requests
            .iter()
            .filter(|(_, open)| open.last_event_at.is_some() && !open.answered);
        let running: Vec<RequestId> = running.map(|(id, _)| id).collect();
        for id in running {
            self.break_stream(id, commands);
            self.cancel_stream(now, id, commands);
        }
    }

    /// Streams whose servers have gone silent are ended, so that their clients can ask for the rest.
    pub(super) fn break_stalled_streams(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let backpressured =
            |conn: Option<ConnId>| conn.is_some_and(|c| self.clients.is_backpressured(c));
        let stalled = self.requests.iter().filter(|(_, open)| {
            open.last_event_at
                .is_some_and(|at| now.since(at) >= STREAM_STALL_SECS)
                && !backpressured(open.client)
        });
        let stalled: Vec<RequestId> = stalled.map(|(id, _)| id).collect();
        for id in stalled {
            if let Some(was) = self.requests.get(id).and_then(|o| o.in_flight) {
                self.close_server_connection(was.conn, commands);
                self.fail_attempt(now, id, Outcome::TimedOut, commands);
            }
        }
    }
}
