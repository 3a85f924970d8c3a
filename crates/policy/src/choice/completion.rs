//! First tokens and ends of attempts: updates the estimates and decides whether a request
//! continues. Only `finish` ends a request.

use super::decay::non_negative;
use super::load::PrefillSample;
use super::request_state::{PossibleExecution, RequestState, Stage};
use super::retry_safety::Execution;
use super::{Actions, Router};
use crate::interface::{Action, AttemptEnd, Cause, Effect, Outcome, RequestId, Role, ServerId};

/// Retry-after, in seconds, when no further attempt is allowed, such as near the client's deadline.
const STOPPED_RETRY_AFTER_S: f64 = 0.2;
/// Retry-after, in seconds, when the retry budget is used up or no server can take a retry.
const RETRY_UNAVAILABLE_RETRY_AFTER_S: f64 = 0.5;

impl Router {
    pub(super) fn on_first_token(
        &mut self,
        now: f64,
        id: RequestId,
        server_id: ServerId,
        elapsed_s: f64,
    ) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        state.stage = Stage::Streaming;
        state.attempt_ttft_s = non_negative(elapsed_s);
        state.kv_holds.record_fetched();
        self.admission.record_lateness(now, state.lateness_s(now));
        let Some(server) = self.servers.get_mut(server_id) else {
            return;
        };
        if let Some(attempt) = server.in_flight.remove(&id) {
            let excess_s = (now - attempt.due_at).max(0.0);
            match attempt.crossed_link_cell {
                None => server.health.record_excess_delay(excess_s, now),
                Some(cell) => self.load.record_link_delay(now, cell, excess_s),
            }
            server.streaming.insert(id, attempt.memory);
        }
        server.health.record_success(now);
        let (server_id, role) = (server.entry.id, server.role);
        self.slow_start.record_response(role);
        self.record_answer(now, server_id);
    }

    /// Counts an answer in what a server is seen to do.
    fn record_answer(&mut self, now: f64, id: ServerId) {
        if let Some(server) = self.servers.get(id) {
            let is_warm = self.slow_start.capacity(server.booted_at(), now) >= 1.0;
            self.answer_rates.record_answer(id, server.role, is_warm);
        }
    }

    pub(super) fn on_attempt_end(&mut self, now: f64, end: AttemptEnd, out: &mut Actions) {
        let was_in_flight = self.remove_attempt(&end);
        self.record_load_report(now, end.server, &end.report);
        let id = end.request;
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        if state.server != end.server {
            return;
        }
        let state = state.clone();
        self.record_outcome(now, &end, &state, was_in_flight);
        let at_prefill = self.servers.is_prefill(end.server);
        let execution = self.retry_safety.execution(end.outcome, at_prefill);
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        if execution == Execution::MayHaveRun {
            state.may_have_run.get_or_insert(PossibleExecution {
                server: end.server,
                sent_at: state.sent_at,
            });
        }
        let was_released = state.kv_holds.is_released();
        let told_until = state.told_until;
        state
            .kv_holds
            .record_attempt_end(now, &end, at_prefill, told_until);
        state.stage = if state.kv_holds.known_hold().is_some() {
            Stage::AwaitingDecode
        } else {
            Stage::Idle
        };
        if end.finished || state.answered {
            state.answered = true;
            return self.finish(id, None, out);
        }
        self.schedule_release(id, out);
        self.continue_after_attempt(now, &end, was_released, out);
    }

    /// Removes an attempt from its server's records. Returns true if the attempt was still waiting
    /// for the end of its prefill or for its first token.
    fn remove_attempt(&mut self, end: &AttemptEnd) -> bool {
        let Some(server) = self.servers.get_mut(end.server) else {
            return false;
        };
        server.streaming.remove(&end.request);
        server.in_flight.remove(&end.request).is_some()
    }

    /// Updates the health of a server by the outcome of an attempt there.
    fn record_outcome(
        &mut self,
        now: f64,
        end: &AttemptEnd,
        state: &RequestState,
        was_in_flight: bool,
    ) {
        let near_deadline = now + 2.0 * self.settings.tick_s >= state.deadline;
        let Some(server) = self.servers.get_mut(end.server) else {
            return;
        };
        if matches!(end.outcome, Outcome::ConnectFailed | Outcome::NotSent) {
            let mean = &self.traffic_mean;
            let cost = mean.slow_start_cost(&state.request, server.role);
            server.slow_start.record_not_received(cost);
        }
        match end.outcome {
            Outcome::Served | Outcome::PrefillDone => server.health.record_success(now),
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => {
                server.health.record_failure(end.elapsed_s, now);
            }
            Outcome::TimedOut | Outcome::Cancelled if was_in_flight => {
                if !near_deadline && !state.answered {
                    server.health.record_failure(end.elapsed_s, now);
                }
                let waited_s = non_negative(end.elapsed_s);
                server.health.record_abandoned_wait(waited_s, now);
            }
            Outcome::Rejected {
                state_missing: false,
            } => server.health.record_rejection(now),
            _ => {}
        }
        if let Some(tokens) = end.output_tokens {
            self.traffic_mean.record_answer(&state.request, tokens);
        }
        self.record_prefill_end(now, end, state);
    }

    /// Updates the prefill statistics if a prefill ended with this attempt. A server that prefills
    /// and decodes the same request reports the prefill only with the answer.
    fn record_prefill_end(&mut self, now: f64, end: &AttemptEnd, state: &RequestState) {
        let prefilled_by_same_server =
            state.kv_holds.known_hold().is_none() && !self.servers.is_prefill(end.server);
        match end.outcome {
            Outcome::PrefillDone => {
                self.record_prefill(now, end, state, non_negative(end.elapsed_s));
                self.slow_start.record_response(Role::Prefill);
                self.record_answer(now, end.server);
                self.slow_start.record_choice(Role::Decode);
            }
            Outcome::Served if prefilled_by_same_server => {
                self.record_prefill(now, end, state, state.attempt_ttft_s);
            }
            _ => {}
        }
    }

    fn record_prefill(&mut self, now: f64, end: &AttemptEnd, state: &RequestState, elapsed_s: f64) {
        let request = &state.request;
        let total_tokens = request.prompt_tokens;
        let cached_tokens = non_negative(end.prefix_hit_tokens).min(total_tokens);
        let uncached_tokens = total_tokens - cached_tokens;
        self.prefix_cache_index
            .record_prefill(now, end.server, request);
        self.load.record_prompt(uncached_tokens, total_tokens);
        let Some(server) = self.servers.get_mut(end.server) else {
            return;
        };
        let sample = PrefillSample {
            uncached_tokens,
            total_tokens,
            elapsed_s,
            queue_s: state.expected_queue_s,
            capacity: self.slow_start.capacity(server.booted_at(), now),
        };
        self.load.record_prefill(now, server, sample);
    }

    /// Sends the next attempt, or rejects the request, after an attempt that did not serve it.
    /// `was_released` is true if the request's KV state was released during that attempt.
    fn continue_after_attempt(
        &mut self,
        now: f64,
        end: &AttemptEnd,
        was_released: bool,
        out: &mut Actions,
    ) {
        let (id, outcome) = (end.request, end.outcome);
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        if let Some(cause) = self.stop_cause(now, end, state, was_released) {
            return self.reject_or_fail(id, STOPPED_RETRY_AFTER_S, cause, out);
        }
        let retries = f64::from(outcome != Outcome::PrefillDone);
        if !self.retry_budget.try_spend(retries) {
            return self.reject_or_fail(
                id,
                RETRY_UNAVAILABLE_RETRY_AFTER_S,
                Cause::NoRetryLeft,
                out,
            );
        }
        if state.kv_holds.known_hold().is_some() {
            return self.send_decode(now, id, out);
        }
        let estimate = self.selector().best_prefill_server(state, now);
        let cause = match estimate {
            Some(estimate) if now + estimate.ttft_s < state.deadline => {
                return self.send_prefill(now, id, estimate, out);
            }
            Some(_) => Cause::Deadline,
            None => Cause::NoPrefillServer,
        };
        self.reject_or_fail(id, RETRY_UNAVAILABLE_RETRY_AFTER_S, cause, out);
    }

    /// Returns why no further attempt of a request is allowed after this one, or `None` if one is.
    fn stop_cause(
        &self,
        now: f64,
        end: &AttemptEnd,
        state: &RequestState,
        was_released: bool,
    ) -> Option<Cause> {
        let effect = self.selector().effect(state);
        if effect == Effect::NonIdempotent && state.may_have_run.is_some() {
            return Some(Cause::MayHaveRun);
        }
        // The connection failed, so no decode server fetched the KV state. If the next connection
        // took as long to establish, the state would be held beyond the limit.
        let max_held_s = self.settings.kv_hold_limit_s + 3.0 * self.settings.tick_s;
        let retry_ends_at = now + non_negative(end.elapsed_s);
        let held = state.kv_holds.known_hold();
        let would_expire = held.is_some_and(|held| retry_ends_at > held.since + max_held_s);
        if end.outcome == Outcome::ConnectFailed && (was_released || would_expire) {
            return Some(Cause::StateExpired);
        }
        if now + 2.0 * self.settings.tick_s >= state.deadline {
            return Some(Cause::Deadline);
        }
        (end.outcome == Outcome::NotSent).then_some(Cause::NotSent)
    }

    /// Ends a request without serving it. Rejects it if a retry by the client is harmless,
    /// otherwise fails it.
    pub(super) fn reject_or_fail(
        &mut self,
        id: RequestId,
        retry_after_s: f64,
        cause: Cause,
        out: &mut Actions,
    ) {
        self.record_failed_request(id, cause);
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let effect = self.selector().effect(state);
        let answer = if self.retry_safety.may_reject(effect, state) {
            let max_retry_after_s = self.settings.limits.max_retry_after_s.max(0.0);
            Action::Reject {
                request: id,
                retry_after_s: retry_after_s.min(max_retry_after_s),
            }
        } else {
            Action::Fail { request: id }
        };
        self.finish(id, Some(answer), out);
    }

    /// Gives the final answer if one is still due and releases the request's KV states. Every
    /// request ends here; its state is kept until an attempt in flight has ended.
    pub(super) fn finish(&mut self, id: RequestId, answer: Option<Action>, out: &mut Actions) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        if !std::mem::replace(&mut state.answered, true) {
            out.extend(answer);
        }
        if matches!(state.stage, Stage::InFlight | Stage::Streaming) {
            return;
        }
        if state.kv_holds.needs_release() {
            let limit_s = self.settings.kv_hold_limit_s;
            out.push(Action::Release {
                request: id,
                repeat: state.kv_holds.release_repeat(limit_s),
            });
        }
        self.requests.remove(&id);
    }
}
