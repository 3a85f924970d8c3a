//! Messages of model servers: output chunks, ends and errors of attempts, and load reports.

use bitternlatch_policy::interface::{Event, Outcome, RequestId};
use bitternlatch_protocol::engine::{
    decode, encode, Chunk, EngineError, FromEngine, Load, ToEngine, CODE_FULL, CODE_STATE_GONE,
};

use crate::machine::{log, Machine};
use crate::requests::{parse_wire_id, Purpose, Stage};
use crate::timers::Timer;
use crate::types::{Level, LinkId, Micros, Output};

/// Bytes of output that an engine may send per token of the request's output limit. An engine that exceeds this and
/// [`MAX_ANSWER_EXTRA_BYTES`] is faulty, and its attempt is cancelled.
const MAX_ANSWER_BYTES_PER_TOKEN: usize = 32;
/// Bytes of output that an engine may send on top of [`MAX_ANSWER_BYTES_PER_TOKEN`] for each token.
const MAX_ANSWER_EXTRA_BYTES: usize = 4096;
/// Characters of an unknown attempt id that are quoted in the error about it.
const MAX_QUOTED_ID_CHARS: usize = 60;

impl Machine {
    /// Handles one text message of a model server; a message that does not parse is reported back to the server.
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
                let report = self.load_report_values(Some(&load));
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
                if let Some(request) = self.current_request(now, link, &id, out) {
                    let report = self.load_report_values(load.as_ref());
                    self.end_attempt(now, request, outcome_of(&error), 0, report, out);
                }
            }
        }
    }

    /// Logs an invalid message of a server and reports the error back to it.
    pub(crate) fn report_fault(&self, link: LinkId, message: &str, out: &mut Vec<Output>) {
        let name = self
            .servers
            .get(link.server)
            .map_or("a host that left the list", |k| k.server.name.as_str());
        log(out, Level::Warn, format!("{name}: {message}"));
        let text = encode(&ToEngine::Fault {
            message: message.to_string(),
        });
        out.push(Output::SendToServer {
            link,
            text,
            deadline: None,
        });
    }

    /// Finds the request whose current attempt a server's message is about, and records when the message was received.
    /// `None` for an attempt that has ended or belongs to another link, and for an id that this dispatcher never
    /// assigned, which is reported back to the server.
    pub(crate) fn current_request(
        &mut self,
        now: Micros,
        link: LinkId,
        id: &str,
        out: &mut Vec<Output>,
    ) -> Option<RequestId> {
        let Some((request, number)) = parse_wire_id(self.instance, id) else {
            let quoted: String = id.chars().take(MAX_QUOTED_ID_CHARS).collect();
            self.report_fault(
                link,
                &format!("'{quoted}' is no request of this dispatcher"),
                out,
            );
            return None;
        };
        let attempt = self.requests.get_mut(&request)?.attempt.as_mut()?;
        if attempt.number != number || attempt.link != link || attempt.stage == Stage::Queued {
            return None;
        }
        attempt.last_received_at = now;
        Some(request)
    }

    /// Handles a chunk of an attempt's output: text, token counts, finish reason, or where to fetch the KV cache.
    pub(crate) fn on_chunk(
        &mut self,
        now: Micros,
        link: LinkId,
        attempt_id: &str,
        body: Chunk,
        out: &mut Vec<Output>,
    ) {
        let holds_kv_cache = body
            .kv_transfer_params
            .as_ref()
            .is_some_and(|p| p.do_remote_prefill);
        let Some(id) = self.current_request(now, link, attempt_id, out) else {
            if holds_kv_cache && parse_wire_id(self.instance, attempt_id).is_some() {
                // An abandoned prefill has completed after all; no decode server will fetch its KV cache.
                self.send_release(link, attempt_id, out);
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
        if holds_kv_cache {
            attempt.kv_transfer_params = body.kv_transfer_params;
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

    /// Handles output text of a request's current attempt. The first text of an attempt ends its KV transfer and starts
    /// the check for a stalled stream.
    pub(crate) fn on_text(
        &mut self,
        now: Micros,
        id: RequestId,
        text: &str,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let max_bytes = (request.max_tokens as usize)
            .saturating_mul(MAX_ANSWER_BYTES_PER_TOKEN)
            .saturating_add(MAX_ANSWER_EXTRA_BYTES);
        if request.text.len() + text.len() > max_bytes {
            log(
                out,
                Level::Warn,
                format!("{}: the engine sent more than it may", request.response.id),
            );
            self.send_cancel(id, out);
            return self.end_attempt(now, id, Outcome::Error, 0, Vec::new(), out);
        }
        let stall_s = self.settings.classes[usize::from(request.class)].deadline_s;
        request.text.push_str(text);
        if let Some(attempt) = request
            .attempt
            .as_mut()
            .filter(|a| a.stage == Stage::InFlight)
        {
            attempt.stage = Stage::Streaming;
            self.load_shedding
                .first_token(now, &mut request.admitted_work);
            let (number, server, elapsed_s) = (
                attempt.number,
                attempt.server,
                now.since(attempt.started_at),
            );
            // Output shows that the decode server has fetched the KV cache, so the prefill server no longer holds it.
            request.held_kv_cache = None;
            self.timers
                .set(now.after(stall_s), Timer::Stall { request: id });
            self.events.push_back(Event::FirstToken {
                request: id,
                attempt: number,
                server,
                elapsed_s,
            });
        }
        self.send_delta(id, text, out);
    }

    /// Handles the end of an attempt as reported by its server. An attempt without a finish reason, other than a
    /// prefill, is an error.
    pub(crate) fn on_done(
        &mut self,
        now: Micros,
        link: LinkId,
        attempt_id: &str,
        load: Option<&Load>,
        out: &mut Vec<Output>,
    ) {
        let Some(id) = self.current_request(now, link, attempt_id, out) else {
            return;
        };
        let report = self.load_report_values(load);
        let Some(attempt) = self.requests.get(&id).and_then(|r| r.attempt.as_ref()) else {
            return;
        };
        match (attempt.purpose, attempt.finish_reason.clone()) {
            (Purpose::Prefill, _) => self.end_prefill(now, id, report, out),
            (_, Some(reason)) => self.end_served(now, id, &reason, report, out),
            (_, None) => self.end_attempt(now, id, Outcome::Error, 0, report, out),
        }
    }

    /// The values of a load report in the order of `reports.fields` in the settings; empty if a value is missing,
    /// negative or not finite. Values are rounded to `f32`, the precision of the simulator's protocol, so that the
    /// decision module sees the same values whether a report comes in this protocol or in the simulator's.
    pub(crate) fn load_report_values(&self, load: Option<&Load>) -> Vec<f64> {
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

/// The outcome of an attempt that its server ended with an error message.
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
