//! Attempts in flight: sends attempts, cancels silent ones (those whose server has sent nothing for
//! longer than a limit) and releases held KV states before the hold limit. Only `send_attempt`
//! emits [`Action::Send`].

use super::prefill_choice::PrefillEstimate;
use super::request_state::{RequestState, Stage};
use super::server::{InFlightAttempt, Server};
use super::{set_timer, Actions, Router, PROBE_WAIT_S};
use crate::interface::{Action, Cause, RequestId, Role, ServerId};

/// Fraction of the limit on holding a KV state (`kv_hold_limit_s`) for which a held KV state may
/// wait until a decode server can take it.
const MAX_DECODE_WAIT_FRACTION: f64 = 0.5;
/// Seconds from sending a decode attempt to its first token at an idle decode server, including the
/// KV transfer.
const DECODE_START_S: f64 = 0.15;
/// Retry-after, in seconds, when an attempt may not be sent or no decode server takes the KV state.
const UNSENT_RETRY_AFTER_S: f64 = 0.5;

impl Router {
    pub(super) fn send_prefill(
        &mut self,
        now: f64,
        id: RequestId,
        estimate: PrefillEstimate,
        out: &mut Actions,
    ) {
        if let Some(state) = self.requests.get_mut(&id) {
            state.expected_queue_s = estimate.queue_s;
            state.expected_prefill_s = estimate.prefill_s;
        }
        self.probe_decode_servers(now, id, estimate.server, out);
        let expected_s = estimate.queue_s + estimate.prefill_s;
        self.send_attempt(now, id, estimate.server, expected_s, out);
    }

    pub(super) fn send_decode(&mut self, now: f64, id: RequestId, out: &mut Actions) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let selector = self.selector();
        if let Some(server) = selector.best_decode_server(state, now) {
            let wait_s = self
                .servers
                .get(server)
                .map_or(0.0, |server| selector.decode_wait_s(server, now));
            return self.send_attempt(now, id, server, DECODE_START_S + wait_s, out);
        }
        // No decode server can take the KV state now, so it may wait for part of the hold limit.
        let max_wait_s = self.settings.kv_hold_limit_s * MAX_DECODE_WAIT_FRACTION;
        let held = state.kv_holds.known_hold();
        if held.is_some_and(|held| now - held.since <= max_wait_s) {
            set_timer(id, now + 2.0 * PROBE_WAIT_S, out);
        } else {
            self.reject_or_fail(id, UNSENT_RETRY_AFTER_S, Cause::NoDecodeServer, out);
        }
    }

    /// Sends an attempt; no other function does. Rejects the request if a rule forbids the attempt,
    /// whatever the caller chose.
    fn send_attempt(
        &mut self,
        now: f64,
        id: RequestId,
        server_id: ServerId,
        expected_s: f64,
        out: &mut Actions,
    ) {
        let (Some(state), Some(server)) = (self.requests.get(&id), self.servers.get(server_id))
        else {
            return;
        };
        let selector = self.selector();
        if !self.may_send_attempt(state, now) || !selector.is_usable(server, state, now) {
            return self.reject_or_fail(id, UNSENT_RETRY_AFTER_S, Cause::Forbidden, out);
        }
        let silence_threshold_s = selector.silence_threshold_s(&state.request, server, now);
        let silent_after_s = 2.0 * expected_s + silence_threshold_s;
        let has_no_timeout =
            selector.is_at_most_once(server, state) || self.settings.limits.may_cancel;
        let timeout_s = if has_no_timeout { 0.0 } else { silent_after_s };
        let attempt = InFlightAttempt {
            queued_prefill_s: queued_prefill_s(state),
            due_at: now + expected_s,
            memory: state.memory,
            crossed_link_cell: self.crossed_link_cell(state, server),
        };
        self.record_sent_attempt(now, id, server_id, attempt);
        if let Some(state) = self.requests.get_mut(&id) {
            state.told_until = told_until(now, timeout_s, state.deadline);
        }
        out.push(Action::Send {
            request: id,
            server: server_id,
            timeout_s,
        });
        set_timer(id, now + silent_after_s, out);
    }

    fn may_send_attempt(&self, state: &RequestState, now: f64) -> bool {
        !state.answered
            && matches!(state.stage, Stage::Idle | Stage::AwaitingDecode)
            && state.attempts < self.settings.limits.max_attempts
            && now < state.deadline
    }

    /// Returns the cell of the prefill server that holds the request's KV state if the transfer to
    /// `server` leaves that cell and so crosses the cell's link to the other cells.
    fn crossed_link_cell(&self, state: &RequestState, server: &Server) -> Option<u16> {
        let held = state.kv_holds.known_hold()?;
        let cell = self.servers.get(held.server)?.entry.cell;
        (cell != server.entry.cell).then_some(cell)
    }

    fn record_sent_attempt(
        &mut self,
        now: f64,
        id: RequestId,
        server_id: ServerId,
        attempt: InFlightAttempt,
    ) {
        if let Some(server) = self.servers.get_mut(server_id) {
            server.in_flight.insert(id, attempt);
            if let Some(state) = self.requests.get(&id) {
                let mean = &self.traffic_mean;
                let cost = mean.slow_start_cost(&state.request, server.role);
                server.slow_start.record_sent(cost);
            }
        }
        if let Some(state) = self.requests.get_mut(&id) {
            state.stage = Stage::InFlight;
            state.server = server_id;
            state.sent_at = now;
            state.attempts += 1;
        }
    }

    pub(super) fn cancel(&mut self, id: RequestId, out: &mut Actions) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let in_flight = state.stage == Stage::InFlight && !state.answered;
        if in_flight && self.settings.limits.may_cancel {
            out.push(Action::Cancel {
                request: id,
                attempt: (state.attempts - 1) as u16,
            });
        }
    }

    pub(super) fn on_timer(&mut self, now: f64, label: u64, out: &mut Actions) {
        let id = label as RequestId;
        self.release_if_due(now, id, out);
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let near_deadline = now + 3.0 * self.settings.tick_s >= state.deadline;
        if near_deadline && state.stage != Stage::Streaming {
            self.record_failed_request(id, Cause::Deadline);
            self.cancel(id, out);
            return self.finish(id, Some(Action::Fail { request: id }), out);
        }
        match state.stage {
            Stage::AwaitingEndpointList { until, .. } if now >= until => {
                self.end_endpoint_list_wait(id, out)
            }
            Stage::Probing { until } if now >= until => self.route_new_request(now, id, out),
            Stage::AwaitingDecode => self.send_decode(now, id, out),
            Stage::InFlight => self.cancel_if_silent(now, id, out),
            _ => {}
        }
    }

    /// Cancels an attempt at a silent server: one that is dead, unreachable or hung, or whose
    /// answer was lost. A server with a long queue is recognized by its answers to other attempts
    /// or by a probe whose load report explains the wait; cancelling there would only lengthen the
    /// queue. The drawback is that a prompt is prefilled twice, within the retry budget, when a
    /// report understates the load.
    fn cancel_if_silent(&mut self, now: f64, id: RequestId, out: &mut Actions) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let (server_id, sent_at) = (state.server, state.sent_at);
        let Some(server) = self.servers.get(server_id) else {
            return;
        };
        let Some(attempt) = server.in_flight.get(&id) else {
            return;
        };
        let selector = self.selector();
        if selector.is_at_most_once(server, state) || !self.retry_budget.has_token() {
            return;
        }
        let due_at = attempt.due_at;
        let silence_s = selector.silence_threshold_s(&state.request, server, sent_at);
        let is_reported = server.load.reported_at() > due_at;
        let queue_s = match server.role {
            _ if !is_reported => 0.0,
            Role::Prefill => selector.other_dispatchers_queue_s(server, now),
            Role::Decode | Role::Mixed => selector.decode_wait_s(server, now),
        };
        let cancel_not_before = sent_at + 2.0 * (queue_s + due_at - sent_at) + silence_s;
        if now < cancel_not_before || server.health.last_success_at() > sent_at {
            set_timer(id, cancel_not_before.max(now + silence_s), out);
        } else if is_reported || self.probe(now, &[server_id], out).is_empty() {
            self.cancel(id, out);
        } else {
            set_timer(id, now + 2.0 * PROBE_WAIT_S, out);
        }
    }

    /// Releases the KV states that may be held for a request once their release is due. The caller
    /// decides whether the request continues.
    fn release_if_due(&mut self, now: f64, id: RequestId, out: &mut Actions) {
        let limit_s = self.settings.kv_hold_limit_s;
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let release_at = state.kv_holds.release_at(limit_s);
        if release_at.is_some_and(|at| now >= at) {
            state.kv_holds.record_release(now);
            out.push(Action::Release {
                request: id,
                repeat: None,
            });
            self.schedule_release(id, out);
        }
    }

    /// Sets a timer for the time at which the KV states that may be held for a request must be
    /// released.
    pub(super) fn schedule_release(&self, id: RequestId, out: &mut Actions) {
        let limit_s = self.settings.kv_hold_limit_s;
        let state = self.requests.get(&id);
        if let Some(at) = state.and_then(|state| state.kv_holds.release_at(limit_s)) {
            set_timer(id, at, out);
        }
    }
}

/// Clock time, in seconds, until which the server of an attempt sent at `now` is told that the
/// router will wait for its answer.
fn told_until(now: f64, timeout_s: f64, deadline: f64) -> f64 {
    if timeout_s > 0.0 {
        deadline.min(now + timeout_s)
    } else {
        deadline
    }
}

/// Seconds of prefill that the request's next attempt adds to its server's queue; 0 if a KV state
/// is already held.
fn queued_prefill_s(state: &RequestState) -> f64 {
    if state.kv_holds.known_hold().is_none() {
        state.expected_prefill_s
    } else {
        0.0
    }
}
