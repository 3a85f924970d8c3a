//! What servers and links say, told to the decision module truthfully: what may have run is never told as not run.

use bitternlatch_policy::interface::{AttemptEnd, Event, Outcome, RequestId};
use bitternlatch_protocol::client::{InputDetails, Usage};

use crate::machine::{log, Machine};
use crate::requests::{read_wire_id, wire_id, Attempt, HeldKvCache, Purpose, Request, Stage};
use crate::timers::Timer;
use crate::types::{Level, LinkId, Micros, Output};

impl Request {
    /// Notes what the end of an attempt says of the request.
    fn note_end(&mut self, attempt: &Attempt, outcome: Outcome) {
        let never_ran = matches!(
            outcome,
            Outcome::PrefillDone | Outcome::Rejected { .. } | Outcome::ConnectFailed
        );
        if attempt.purpose != Purpose::Prefill && !never_ran {
            self.may_have_run = true;
        }
        let lost_kv_cache = Outcome::Rejected {
            state_missing: true,
        };
        if outcome == lost_kv_cache {
            self.state = None;
        }
        self.admitted.repeats_work = match outcome {
            Outcome::PrefillDone | Outcome::Served | Outcome::NotSent => false,
            Outcome::Rejected {
                state_missing: false,
            }
            | Outcome::ConnectFailed => self.admitted.repeats_work,
            // Where the KV cache is gone, its prefill is done again.
            _ => true,
        };
    }
}

impl Machine {
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

    pub(crate) fn on_unsent(
        &mut self,
        now: Micros,
        link: LinkId,
        attempt: &str,
        out: &mut Vec<Output>,
    ) {
        let Some((id, number)) = read_wire_id(self.instance, attempt) else {
            return;
        };
        let over = |a: &Attempt| a.link == link && a.stage == Stage::InFlight;
        if self
            .requests
            .get(&id)
            .and_then(|r| r.attempt.as_ref())
            .is_some_and(over)
        {
            self.end_unsent(now, id, number, out);
        }
    }

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
        let Some(params) = attempt.state.clone() else {
            return self.end_attempt(now, id, Outcome::Error, 0, report, out);
        };
        let state = HeldKvCache {
            server: attempt.server,
            created_by: created_by(attempt),
            params,
            release: false,
        };
        let cached = cached_tokens(attempt);
        if let Some(request) = self.requests.get_mut(&id) {
            request.state = Some(state);
        }
        self.end_attempt(now, id, Outcome::PrefillDone, cached, report, out);
    }

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

    /// The one place where an attempt ends: the module is told, and a stream that broke is answered.
    pub(crate) fn end_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
        prefix_hit: u32,
        report: Vec<f64>,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.attempt.take() else {
            return;
        };
        request.note_end(&attempt, outcome);
        self.load_shedding
            .load_reported(now, attempt.server, &report);
        self.record_outcome(now, attempt.server, outcome);
        out.extend(
            self.load_shedding
                .attempt_ended(attempt.server, outcome)
                .map(Output::Overload),
        );
        if attempt.stage == Stage::Streaming && outcome != Outcome::Served {
            let why = "the answer broke off; it may have run";
            self.fail(now, id, "server_error", why, out);
        }
        let held = self.requests.get(&id).and_then(|r| r.state.as_ref());
        if held.is_some_and(|state| state.release) {
            self.release(id, out);
        }
        let finished = self.requests.get(&id).is_none_or(|r| r.answered);
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            request: id,
            attempt: attempt.number,
            server: attempt.server,
            outcome,
            elapsed_s: now.since(attempt.sent),
            finished,
            prefix_hit_tokens: f64::from(prefix_hit),
            report,
        }));
        self.remove_if_done(id, out);
    }

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

    /// The client's time is up. The module has answered by now; should it not have, the rule is kept here.
    pub(crate) fn on_deadline(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.streaming()) else {
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

    /// A stream that has said nothing for as long as a first token may take has stalled.
    pub(crate) fn on_stall(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id).filter(|r| r.streaming()) else {
            return;
        };
        let most_s = self.settings.classes[usize::from(request.class)].deadline_s;
        let heard = request.attempt.as_ref().map_or(now, |a| a.heard);
        if now.since(heard) < most_s {
            return self
                .timers
                .set(heard.after(most_s), Timer::Stall { request: id });
        }
        self.send_cancel(id, out);
        self.end_attempt(now, id, Outcome::TimedOut, 0, Vec::new(), out);
    }
}

fn cached_tokens(attempt: &Attempt) -> u32 {
    let details = attempt.usage.and_then(|u| u.prompt_tokens_details);
    details.map_or(0, |d| d.cached_tokens)
}
