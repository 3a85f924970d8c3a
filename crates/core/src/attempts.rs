//! What servers and links say, told to the decision module truthfully: what may have run is never told as not run.

use bitternlatch_policy::interface::{AttemptEnd, Event, Outcome, RequestId, ServerId};
use bitternlatch_protocol::client::{InputDetails, Usage};
use bitternlatch_protocol::engine::{
    decode, encode, Chunk, EngineError, EngineState, FromEngine, Load, ToEngine, CODE_FULL,
    CODE_STATE_GONE,
};

use crate::links::{retry_at, Queued};
use crate::machine::{log, Machine};
use crate::requests::{read_wire_id, wire_id, Attempt, HeldKvCache, Purpose, Stage};
use crate::timers::Timer;
use crate::types::{Level, LinkId, Micros, Output};

/// Bytes of answer that an engine may send for each token of the ceiling, and beyond; more is a fault of the engine.
const ANSWER_BYTES: (usize, usize) = (32, 4096);

impl Machine {
    pub(crate) fn on_link_up(&mut self, link: LinkId, out: &mut Vec<Output>) {
        if !self.links.up(link) {
            out.push(Output::CloseLink { link });
        }
    }

    pub(crate) fn on_link_down(
        &mut self,
        now: Micros,
        link: LinkId,
        was_up: bool,
        why: &str,
        out: &mut Vec<Output>,
    ) {
        if was_up {
            self.end_over_link(now, link, out);
        }
        let jitter = self.chance();
        let Some((queued, pause_s)) = self.links.down(link, jitter) else {
            return;
        };
        self.return_unsent(now, queued, out);
        if let Some(at) = retry_at(now, pause_s) {
            self.timers.set(
                at,
                Timer::Link {
                    server: link.server,
                    epoch: link.epoch,
                },
            );
        }
        let name = self
            .servers
            .get(link.server)
            .map_or("a host that left the list", |k| k.server.name.as_str());
        log(out, Level::Warn, format!("link to {name} is down: {why}"));
    }

    /// All that was out over a link that has ended. A stream whose engine had said its end is served.
    fn end_over_link(&mut self, now: Micros, link: LinkId, out: &mut Vec<Output>) {
        let over = |a: &Attempt| a.link == link && a.stage != Stage::Queued;
        let hit: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, r)| r.attempt.as_ref().is_some_and(over))
            .map(|(id, _)| *id)
            .collect();
        for id in hit {
            match self.ended_reason(id) {
                Some(reason) => self.end_served(now, id, &reason, Vec::new(), out),
                None => self.end_attempt(now, id, Outcome::Reset, 0, Vec::new(), out),
            }
        }
        let probes: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, p)| p.link == link)
            .map(|(id, _)| *id)
            .collect();
        for id in probes {
            self.end_probe(now, id, Outcome::Reset, Vec::new());
        }
    }

    fn ended_reason(&self, id: RequestId) -> Option<String> {
        let attempt = self.requests.get(&id)?.attempt.as_ref()?;
        attempt
            .finish_reason
            .clone()
            .filter(|_| attempt.purpose != Purpose::Prefill)
    }

    /// Attempts whose message never left are told as not connected.
    fn return_unsent(&mut self, now: Micros, queued: Vec<Queued>, out: &mut Vec<Output>) {
        for message in queued {
            if let Some((id, number)) = read_wire_id(self.instance, &message.attempt) {
                self.end_unsent(now, id, number, out);
            }
        }
    }

    pub(crate) fn return_queued(&mut self, now: Micros, server: ServerId, out: &mut Vec<Output>) {
        let queued = self.links.take_queue(server);
        self.return_unsent(now, queued, out);
    }

    fn end_unsent(&mut self, now: Micros, id: RequestId, number: u16, out: &mut Vec<Output>) {
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

    pub(crate) fn on_link_time(&mut self, now: Micros, link: LinkId, out: &mut Vec<Output>) {
        if self.links.is_opening(link) {
            out.push(Output::CloseLink { link });
            self.on_link_down(now, link, false, "it did not greet in time", out);
        } else if self.links.is_backing_off(link) {
            self.connect(now, link.server, out);
        }
    }

    pub(crate) fn on_engine_text(
        &mut self,
        now: Micros,
        link: LinkId,
        text: &str,
        out: &mut Vec<Output>,
    ) {
        let message: FromEngine = match decode(text) {
            Ok(message) => message,
            Err(e) => {
                return self.report_fault(link, &format!("not a message known here: {e}"), out)
            }
        };
        match message {
            FromEngine::Hello {
                uptime_s, state, ..
            } => self.on_hello(now, link, uptime_s, state, out),
            FromEngine::State { state } => self.on_state(now, link, state, out),
            FromEngine::Load { id, load } => {
                let report = self.report(Some(&load));
                match self.load_shedding.probe_answered(id, &report) {
                    Some(ask) => out.push(Output::Overload(ask)),
                    None => self.end_probe(now, id, Outcome::Served, report),
                }
            }
            FromEngine::Chunk { id, body } => self.on_chunk(now, link, &id, body, out),
            FromEngine::Done { id, load } => self.on_done(now, link, &id, load.as_ref(), out),
            FromEngine::Error {
                id, error, load, ..
            } => {
                if let Some(request) = self.current(now, link, &id, out) {
                    let report = self.report(load.as_ref());
                    self.end_attempt(now, request, outcome_of(&error), 0, report, out);
                }
            }
        }
    }

    /// Tells a server what was wrong with a message of its, and the log.
    fn report_fault(&self, link: LinkId, why: &str, out: &mut Vec<Output>) {
        let name = self
            .servers
            .get(link.server)
            .map_or("a host that left the list", |k| k.server.name.as_str());
        log(out, Level::Warn, format!("{name}: {why}"));
        let text = encode(&ToEngine::Fault {
            message: why.to_string(),
        });
        out.push(Output::SendToServer {
            link,
            text,
            deadline: None,
        });
    }

    fn on_hello(
        &mut self,
        now: Micros,
        link: LinkId,
        uptime_s: f64,
        state: EngineState,
        out: &mut Vec<Output>,
    ) {
        if !self.links.is_current(link) {
            return;
        }
        let warm_after_s = self.settings.rules.slow_start.warm_after_s;
        let Some((entry, restarted)) =
            self.servers
                .greeted(now, link.server, uptime_s, state, warm_after_s)
        else {
            return;
        };
        let form = bitternlatch_policy::interface::ListForm::Delta;
        self.events.push_back(Event::Servers {
            form,
            entries: vec![entry],
        });
        let queued = self.links.greeted(link);
        if restarted || state == EngineState::Draining {
            // What was decided for the server before its restart was known does not hold: a cold server takes less.
            return self.return_unsent(now, queued, out);
        }
        for message in queued {
            let Some(id) = self.mark_sent(now, link, &message.attempt) else {
                // Its permission has passed while it waited for the link.
                self.return_unsent(now, vec![message], out);
                continue;
            };
            out.push(self.attempt_message(now, id, link, message));
        }
    }

    fn mark_sent(&mut self, now: Micros, link: LinkId, attempt: &str) -> Option<RequestId> {
        let (id, number) = read_wire_id(self.instance, attempt)?;
        let may = self.workflows.may_leave(now, id);
        let current = self.requests.get_mut(&id).and_then(|r| r.attempt.as_mut());
        if let Some(a) = current.filter(|a| a.number == number) {
            if a.purpose != Purpose::Prefill && !may {
                return None;
            }
            (a.stage, a.link, a.heard) = (Stage::InFlight, link, now);
        }
        Some(id)
    }

    fn on_state(&mut self, now: Micros, link: LinkId, state: EngineState, out: &mut Vec<Output>) {
        if !self.links.is_current(link) {
            return;
        }
        if let Some(entry) = self.servers.reported(link.server, state) {
            let form = bitternlatch_policy::interface::ListForm::Delta;
            self.events.push_back(Event::Servers {
                form,
                entries: vec![entry],
            });
            if state == EngineState::Draining {
                self.return_queued(now, link.server, out);
            }
        }
    }

    /// The request whose current attempt a message is about; a word on an attempt that is over is passed over, and one
    /// with an id never given out is a fault.
    fn current(
        &mut self,
        now: Micros,
        link: LinkId,
        id: &str,
        out: &mut Vec<Output>,
    ) -> Option<RequestId> {
        let Some((request, number)) = read_wire_id(self.instance, id) else {
            let shown: String = id.chars().take(60).collect();
            self.report_fault(
                link,
                &format!("'{shown}' is no request of this dispatcher"),
                out,
            );
            return None;
        };
        let attempt = self.requests.get_mut(&request)?.attempt.as_mut()?;
        if attempt.number != number || attempt.link != link || attempt.stage == Stage::Queued {
            return None;
        }
        attempt.heard = now;
        Some(request)
    }

    fn on_chunk(
        &mut self,
        now: Micros,
        link: LinkId,
        wire: &str,
        body: Chunk,
        out: &mut Vec<Output>,
    ) {
        let kept = body
            .kv_transfer_params
            .as_ref()
            .is_some_and(|p| p.do_remote_prefill);
        let Some(id) = self.current(now, link, wire, out) else {
            if kept && read_wire_id(self.instance, wire).is_some() {
                // A read that was given up on has ended after all: nobody will fetch its state.
                self.send_release(link, wire, out);
            }
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.attempt.as_mut() else {
            return;
        };
        if let Some(usage) = body.usage {
            attempt.usage = Some(usage);
        }
        if kept {
            attempt.state = body.kv_transfer_params;
        }
        let Some(choice) = body.choices.into_iter().next() else {
            return;
        };
        if choice.finish_reason.is_some() {
            attempt.finish_reason = choice.finish_reason;
        }
        if attempt.purpose != Purpose::Prefill && !choice.text.is_empty() {
            self.on_text(now, id, &choice.text, out);
        }
    }

    fn on_text(&mut self, now: Micros, id: RequestId, piece: &str, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let most = (request.max_tokens as usize)
            .saturating_mul(ANSWER_BYTES.0)
            .saturating_add(ANSWER_BYTES.1);
        if request.text.len() + piece.len() > most {
            log(
                out,
                Level::Warn,
                format!("{}: the engine sent more than it may", request.response.id),
            );
            self.send_cancel(id, out);
            return self.end_attempt(now, id, Outcome::Error, 0, Vec::new(), out);
        }
        let stall_s = self.settings.classes[usize::from(request.class)].deadline_s;
        request.text.push_str(piece);
        if let Some(attempt) = request
            .attempt
            .as_mut()
            .filter(|a| a.stage == Stage::InFlight)
        {
            attempt.stage = Stage::Streaming;
            self.load_shedding.first_token(now, &mut request.admitted);
            let (number, server, elapsed_s) =
                (attempt.number, attempt.server, now.since(attempt.sent));
            // The state has been fetched: nothing of it is held any more.
            request.state = None;
            self.timers
                .set(now.after(stall_s), Timer::Stall { request: id });
            self.events.push_back(Event::FirstToken {
                request: id,
                attempt: number,
                server,
                elapsed_s,
            });
        }
        self.send_delta(id, piece, out);
    }

    fn on_done(
        &mut self,
        now: Micros,
        link: LinkId,
        wire: &str,
        load: Option<&Load>,
        out: &mut Vec<Output>,
    ) {
        let Some(id) = self.current(now, link, wire, out) else {
            return;
        };
        let report = self.report(load);
        let Some(attempt) = self.requests.get(&id).and_then(|r| r.attempt.as_ref()) else {
            return;
        };
        match (attempt.purpose, attempt.finish_reason.clone()) {
            (Purpose::Prefill, _) => self.end_prefill(now, id, report, out),
            (_, Some(reason)) => self.end_served(now, id, &reason, report, out),
            (_, None) => self.end_attempt(now, id, Outcome::Error, 0, report, out),
        }
    }

    fn end_prefill(&mut self, now: Micros, id: RequestId, report: Vec<f64>, out: &mut Vec<Output>) {
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

    fn end_served(
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
        let never_ran = matches!(
            outcome,
            Outcome::PrefillDone | Outcome::Rejected { .. } | Outcome::ConnectFailed
        );
        if attempt.purpose != Purpose::Prefill && !never_ran {
            request.may_have_run = true;
        }
        if outcome
            == (Outcome::Rejected {
                state_missing: true,
            })
        {
            request.state = None;
        }
        request.admitted.repeats = match outcome {
            Outcome::PrefillDone | Outcome::Served | Outcome::NotSent => false,
            Outcome::Rejected {
                state_missing: false,
            }
            | Outcome::ConnectFailed => request.admitted.repeats,
            // Of a read whose state is gone all is done again.
            _ => true,
        };
        self.load_shedding
            .load_reported(now, attempt.server, &report);
        self.note_outcome(now, attempt.server, outcome);
        out.extend(
            self.load_shedding
                .attempt_ended(attempt.server, outcome)
                .map(Output::Overload),
        );
        if attempt.stage == Stage::Streaming && outcome != Outcome::Served {
            self.fail(
                now,
                id,
                "server_error",
                "the answer broke off; it may have run",
                out,
            );
        }
        if self
            .requests
            .get(&id)
            .and_then(|r| r.state.as_ref())
            .is_some_and(|state| state.release)
        {
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

    pub(crate) fn on_attempt_time(
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
            self.on_attempt_time(now, id, number, out);
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

    /// A load report in the order of the settings; empty where a value is missing, negative or no number. Values are
    /// kept at the precision of the simulator's wire, so that the module is told the same over both.
    fn report(&self, load: Option<&Load>) -> Vec<f64> {
        let Some(load) = load else { return Vec::new() };
        let value = |f: &crate::settings::ReportField| {
            let value = load.get(&f.name).copied().map(|v| f64::from(v as f32));
            value.filter(|v| v.is_finite() && *v >= 0.0)
        };
        self.settings
            .reports
            .fields
            .iter()
            .map(value)
            .collect::<Option<Vec<f64>>>()
            .unwrap_or_default()
    }
}

fn cached_tokens(attempt: &Attempt) -> u32 {
    let details = attempt.usage.and_then(|u| u.prompt_tokens_details);
    details.map_or(0, |d| d.cached_tokens)
}

fn outcome_of(error: &EngineError) -> Outcome {
    match error.code.as_deref() {
        Some(CODE_FULL) => Outcome::Rejected {
            state_missing: false,
        },
        Some(CODE_STATE_GONE) => Outcome::Rejected {
            state_missing: true,
        },
        _ => Outcome::Error,
    }
}
