//! Messages of model servers about attempts: pieces of answers, ends, errors and load reports.

use bitternlatch_policy::interface::{Event, Outcome, RequestId};
use bitternlatch_protocol::engine::{
    decode, encode, Chunk, EngineError, FromEngine, Load, ToEngine, CODE_FULL, CODE_STATE_GONE,
};

use crate::machine::{log, Machine};
use crate::requests::{read_wire_id, Purpose, Stage};
use crate::timers::Timer;
use crate::types::{Level, LinkId, Micros, Output};

/// Bytes of answer that an engine may send for each token of the ceiling; more is a fault of the engine.
const MAX_ANSWER_BYTES_PER_TOKEN: usize = 32;
/// Bytes of answer that an engine may send beyond that.
const MAX_ANSWER_EXTRA_BYTES: usize = 4096;

impl Machine {
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
                match self.load_shedding.health_check_answered(id, &report) {
                    Some(ask) => out.push(Output::Overload(ask)),
                    None => self.end_health_check(now, id, Outcome::Served, report),
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
    pub(crate) fn report_fault(&self, link: LinkId, why: &str, out: &mut Vec<Output>) {
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

    /// The request whose current attempt a message is about; a word on an attempt that is over is passed over, and one
    /// with an id never given out is a fault.
    pub(crate) fn current(
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

    pub(crate) fn on_chunk(
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

    pub(crate) fn on_text(
        &mut self,
        now: Micros,
        id: RequestId,
        piece: &str,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let most = (request.max_tokens as usize)
            .saturating_mul(MAX_ANSWER_BYTES_PER_TOKEN)
            .saturating_add(MAX_ANSWER_EXTRA_BYTES);
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

    pub(crate) fn on_done(
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

    /// A load report in the order of the settings; empty where a value is missing, negative or no number. Values are
    /// kept at the precision of the simulator's wire, so that the module is told the same over both.
    pub(crate) fn report(&self, load: Option<&Load>) -> Vec<f64> {
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
