//! Requests that arrive before the first endpoint list. Nothing may be sent for them yet, because
//! the servers known from elsewhere may be draining; they wait for the list for a part of the time
//! that admission allows.

use super::arrivals::NO_SERVER_RETRY_AFTER_S;
use super::request_state::{RequestState, Stage};
use super::{set_timer, Actions, Router};
use crate::interface::{Cause, RequestId};

/// Longest wait of a request for the endpoint list, as a fraction of the longest time to first token
/// at which it would be admitted. The rest is left for an attempt, or for the client's retry at
/// another dispatcher.
const MAX_WAIT_FRACTION: f64 = 0.5;

impl Router {
    /// Lets a new request wait for the first endpoint list.
    pub(super) fn await_endpoint_list(
        &mut self,
        now: f64,
        mut state: RequestState,
        out: &mut Actions,
    ) {
        let id = state.request.id;
        let until = now + MAX_WAIT_FRACTION * state.max_ttft_s;
        state.stage = Stage::AwaitingEndpointList { since: now, until };
        self.requests.insert(id, state);
        set_timer(id, until, out);
    }

    /// Rejects a request whose wait for the endpoint list is over.
    pub(super) fn end_endpoint_list_wait(&mut self, id: RequestId, out: &mut Actions) {
        self.reject_or_fail(id, NO_SERVER_RETRY_AFTER_S, Cause::NoEndpointList, out);
    }

    /// Routes the requests that have waited for the endpoint list, in the order of their ids. Their
    /// wait counts towards the time to first token at which they are admitted.
    pub(super) fn route_waiting_requests(&mut self, now: f64, out: &mut Actions) {
        self.endpoint_list_pending = false;
        let waiting: Vec<(RequestId, f64)> = self
            .requests
            .iter()
            .filter_map(|(id, state)| match state.stage {
                Stage::AwaitingEndpointList { since, .. } => Some((*id, since)),
                _ => None,
            })
            .collect();
        for (id, since) in waiting {
            let Some(mut state) = self.requests.remove(&id) else {
                continue;
            };
            state.stage = Stage::Idle;
            state.max_ttft_s -= now - since;
            let time_left_s = (state.deadline - now).max(0.0);
            self.admit(now, state, time_left_s, out);
        }
    }
}
