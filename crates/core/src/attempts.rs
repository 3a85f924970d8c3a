//! Ends of attempts as reported by servers, links and timers. The decision module is notified of each end once, and an
//! attempt that may have run is never reported as not run.

use bitternlatch_policy::interface::{AttemptEnd, Event, Outcome, RequestId};
use bitternlatch_protocol::client::{InputDetails, Usage};

use crate::machine::{log, Machine};
use crate::requests::{parse_wire_id, wire_id, Attempt, HeldKvCache, Purpose, Request, Stage};
use crate::timers::Timer;
use crate::types::{Level, LinkId, Micros, Output};

impl Request {
    /// Updates the request for the end of one of its attempts: whether it may have run, and whether the next attempt
    /// repeats work. Returns the KV cache that a decode server could not fetch and that may still be held.
    fn record_attempt_end(&mut self, attempt: &Attempt, outcome: Outcome) -> Option<HeldKvCache> {
        let never_ran = matches!(
            outcome,
            Outcome::PrefillDone | Outcome::Rejected { .. } | Outcome::ConnectFailed
        );
        if attempt.purpose != Purpose::Prefill && !never_ran {
            self.earlier_attempt_may_have_run = true;
        }
        self.admitted_work.repeats_work = match outcome {
            Outcome::PrefillDone | Outcome::Served | Outcome::NotSent => false,
            Outcome::Rejected {
                state_missing: false,
            }
            | Outcome::ConnectFailed => self.admitted_work.repeats_work,
            // Includes a rejection because the KV cache was not found, after which the prefill is repeated.
            _ => true,
        };
        let not_found = Outcome::Rejected {
            state_missing: true,
        };
        if outcome == not_found {
            self.held_kv_cache.take()
        } else {
            None
        }
    }
}

impl Machine {
    /// Ends an attempt whose message was never sent; it cannot have run.
    pub(crate) fn end_unsent(
        &mut self,
        now: Micros,
        id: RequestId,
        number: u16,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(attempt) = request.attempt.as_mut().filter(|a| a.number == number) {
            attempt.stage = Stage::Queued;
            self.end_attempt(now, id, Outcome::ConnectFailed, 0, Vec::new(), out);
        }
    }

    /// Handles a message that the link dropped because its send deadline had passed.
    pub(crate) fn on_unsent(
        &mut self,
        now: Micros,
        link: LinkId,
        attempt: &str,
        out: &mut Vec<Output>,
    ) {
        let Some((id, number)) = parse_wire_id(self.instance, attempt) else {
            return;
        };
        let sent_over_link = |a: &Attempt| a.link == link && a.stage == Stage::InFlight;
        if self
            .requests
            .get(&id)
            .and_then(|r| r.attempt.as_ref())
            .is_some_and(sent_over_link)
        {
            self.end_unsent(now, id, number, out);
        }
    }

    /// Ends a completed prefill attempt; one that reported no KV cache to fetch is an error.
    pub(crate) fn end_prefill(
        &mut self,
        now: Micros,
        id: RequestId,
        report: Vec<f64>,
        out: &mut Vec<Output>,
    ) {
        let created_by = |a: &Attempt| wire_id(self.instance, id, a.number);
        let Some(attempt) = self.requests.get(&id).and_then(|r| r.attempt.as_ref()) else {
            return;
        };
        let Some(params) = attempt.kv_transfer_params.clone() else {
            return self.end_attempt(now, id, Outcome::Error, 0, report, out);
        };
        let held = HeldKvCache {
            server: attempt.server,
            created_by: created_by(attempt),
            params,
            release_after_attempt: false,
        };
        let cached = cached_tokens(attempt);
        if let Some(request) = self.requests.get_mut(&id) {
            request.held_kv_cache = Some(held);
        }
        self.end_attempt(now, id, Outcome::PrefillDone, cached, report, out);
    }

    /// Completes a request whose engine has delivered the whole answer, and ends its attempt.
    pub(crate) fn end_served(
        &mut self,
        now: Micros,
        id: RequestId,
        reason: &str,
        report: Vec<f64>,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.attempt.as_ref() else {
            return;
        };
        let cached = cached_tokens(attempt);
        if let Some(usage) = attempt.usage {
            request.usage = Usage {
                input_tokens: usage.prompt_tokens,
                input_tokens_details: InputDetails {
                    cached_tokens: cached,
                },
                output_tokens: usage.completion_tokens,
                total_tokens: usage.total_tokens,
            };
        }
        self.complete(now, id, reason, out);
        self.end_attempt(now, id, Outcome::Served, cached, report, out);
    }

    /// Ends the current attempt of a request and notifies the decision module. All ends of sent attempts pass through
    /// here. A request whose output had begun without completing fails instead of being retried, as its clients have
    /// received a part of it.
    pub(crate) fn end_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
        prefix_hit_tokens: u32,
        report: Vec<f64>,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.attempt.take() else {
            return;
        };
        if let Some(held) = request.record_attempt_end(&attempt, outcome) {
            self.release_at_server(&held, out);
        }
        self.load_shedding
            .load_reported(now, attempt.server, &report);
        self.record_outcome(now, attempt.server, outcome);
        out.extend(
            self.load_shedding
                .attempt_ended(attempt.server, outcome)
                .map(Output::Overload),
        );
        if attempt.stage == Stage::Streaming && outcome != Outcome::Served {
            let message = "the answer broke off; it may have run";
            self.fail(now, id, "server_error", message, out);
        }
        let held = self
            .requests
            .get(&id)
            .and_then(|r| r.held_kv_cache.as_ref());
        if held.is_some_and(|held| held.release_after_attempt) {
            self.release_kv_cache(id, out);
        }
        let finished = self.requests.get(&id).is_none_or(|r| r.answered);
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            request: id,
            attempt: attempt.number,
            server: attempt.server,
            outcome,
            elapsed_s: now.since(attempt.started_at),
            finished,
            prefix_hit_tokens: f64::from(prefix_hit_tokens),
            output_tokens: answered_tokens(&attempt, outcome),
            report,
        }));
        self.remove_if_done(id, out);
    }

    /// Ends an attempt that has produced no output by its timeout: removed from the queue if it was not sent, cancelled
    /// at its server otherwise.
    pub(crate) fn on_attempt_timeout(
        &mut self,
        now: Micros,
        id: RequestId,
        number: u16,
        out: &mut Vec<Output>,
    ) {
        let current = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
        let Some(attempt) = current.filter(|a| a.number == number && a.stage != Stage::Streaming)
        else {
            return;
        };
        if attempt.stage == Stage::Queued {
            let server = attempt.server;
            self.links
                .remove_queued(server, &wire_id(self.instance, id, number));
            return self.end_unsent(now, id, number, out);
        }
        self.send_cancel(id, out);
        self.end_attempt(now, id, Outcome::TimedOut, 0, Vec::new(), out);
    }

    /// Handles a request's deadline. The decision module has normally answered by then; if it has not, the request
    /// fails here. A request that is streaming continues past its deadline.
    pub(crate) fn on_deadline(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.is_streaming()) else {
            return;
        };
        let number = request.attempt.as_ref().map(|a| a.number);
        if !request.answered {
            log(
                out,
                Level::Error,
                format!("{}: unanswered at its deadline", request.response.id),
            );
            self.fail(
                now,
                id,
                "server_error",
                "not answered in time; it may have run",
                out,
            );
            self.events
                .push_back(Event::ClientDisconnected { request: id });
        }
        if let Some(number) = number {
            self.on_attempt_timeout(now, id, number, out);
        }
    }

    /// Ends a streaming attempt that has sent nothing for as long as its class's deadline; otherwise checks again when
    /// that time has passed since its last message.
    pub(crate) fn on_stall(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id).filter(|r| r.is_streaming()) else {
            return;
        };
        let max_silence_s = self.settings.classes[usize::from(request.class)].deadline_s;
        let last_received_at = request.attempt.as_ref().map_or(now, |a| a.last_received_at);
        if now.since(last_received_at) < max_silence_s {
            return self.timers.set(
                last_received_at.after(max_silence_s),
                Timer::Stall { request: id },
            );
        }
        self.send_cancel(id, out);
        self.end_attempt(now, id, Outcome::TimedOut, 0, Vec::new(), out);
    }
}

/// Tokens of an answer that was served in full, if the engine reported them.
fn answered_tokens(attempt: &Attempt, outcome: Outcome) -> Option<f64> {
    let usage = attempt.usage.filter(|_| outcome == Outcome::Served)?;
    Some(f64::from(usage.completion_tokens))
}

/// Prompt tokens that the server found in its prefix cache; 0 where it reported none.
fn cached_tokens(attempt: &Attempt) -> u32 {
    let details = attempt.usage.and_then(|u| u.prompt_tokens_details);
    details.map_or(0, |d| d.cached_tokens)
}
