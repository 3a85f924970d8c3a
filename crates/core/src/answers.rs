//! Events to clients. Each listener of a request receives exactly one final event and none after it.

use bitternlatch_output_length::ResponseEnd;
use bitternlatch_policy::interface::{Event, Outcome, RequestId};
use bitternlatch_protocol::client::{
    self, Create, IncompleteDetails, Response, ResponseError, Status,
};
use bitternlatch_workflow::AttemptOutcome;

use crate::contexts::Context;
use crate::machine::{log, Machine};
use crate::output_lengths::OutputLengths;
use crate::requests::{Listener, Purpose, Request, Stage};
use crate::settings::Effect;
use crate::types::{Level, Micros, Output, SessionId};

/// Bytes that a stored answer counts for in the table of idempotency keys, in addition to its text and model name.
const STORED_ANSWER_OVERHEAD_BYTES: usize = 512;

impl Request {
    /// Sends an event to all listeners, or to one session only, each with its own next sequence number.
    fn send_event(
        &mut self,
        out: &mut Vec<Output>,
        only: Option<SessionId>,
        event: impl Fn(&Listener, &Request) -> String,
    ) {
        let mut listeners = std::mem::take(&mut self.listeners);
        for listener in listeners
            .iter_mut()
            .filter(|l| only.is_none_or(|o| o == l.session))
        {
            out.push(Output::SendToClient {
                session: listener.session,
                text: event(listener, self),
            });
            listener.sequence += 1;
        }
        self.listeners = listeners;
    }

    /// Whether any attempt may have run and had the request's effect, the current one included.
    pub(crate) fn may_have_run(&self) -> bool {
        let was_sent = |a: &crate::requests::Attempt| {
            a.purpose != Purpose::Prefill && a.stage != Stage::Queued
        };
        self.earlier_attempt_may_have_run || self.attempt.as_ref().is_some_and(was_sent)
    }

    /// The outcome to record for a workflow step that ends without output.
    pub(crate) fn unfinished_outcome(&self) -> AttemptOutcome {
        if self.may_have_run() {
            AttemptOutcome::MayHaveRun
        } else {
            AttemptOutcome::NeverRan
        }
    }

    /// A failed response object. `safe_to_repeat` tells the client whether repeating the request is harmless.
    pub(crate) fn failed_response(
        &self,
        code: &str,
        message: &str,
        safe_to_repeat: bool,
        retry_after_s: Option<f64>,
    ) -> Response {
        let error = ResponseError {
            code: code.to_string(),
            message: message.to_string(),
            safe_to_repeat,
            retry_after_ms: retry_after_s.map(|s| (s.max(0.0) * 1000.0).ceil() as u64),
        };
        Response {
            status: Status::Failed,
            error: Some(error),
            ..self.response.clone()
        }
    }
}

impl Machine {
    /// Sends `response.created` to one listener.
    pub(crate) fn send_created(
        &mut self,
        id: RequestId,
        session: SessionId,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.send_event(out, Some(session), |l, r| {
            client::created(l.sequence, &l.view(&r.response))
        });
    }

    /// Sends one listener all output text received so far, as one delta.
    pub(crate) fn send_text_so_far(
        &mut self,
        id: RequestId,
        session: SessionId,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.text.is_empty()) else {
            return;
        };
        request.send_event(out, Some(session), |l, r| {
            client::delta(l.sequence, &r.response.id, &r.item_id, &r.text)
        });
    }

    /// Sends new output text to all listeners.
    pub(crate) fn send_delta(&mut self, id: RequestId, text: &str, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.send_event(out, None, |l, r| {
            client::delta(l.sequence, &r.response.id, &r.item_id, text)
        });
    }

    /// Sends a recorded answer to a client that repeats an answered request.
    pub(crate) fn send_recorded_answer(
        &self,
        session: SessionId,
        answer: &Response,
        create: &Create,
        out: &mut Vec<Output>,
    ) {
        let answer = &Response {
            metadata: create.metadata.clone(),
            ..answer.clone()
        };
        let in_progress = Response {
            status: Status::InProgress,
            output: Vec::new(),
            usage: None,
            error: None,
            incomplete_details: None,
            ..answer.clone()
        };
        out.push(Output::SendToClient {
            session,
            text: client::created(0, &in_progress),
        });
        out.push(Output::SendToClient {
            session,
            text: client::finished(1, answer),
        });
    }

    /// Answers a request with a rejection, which tells the client that repeating it is harmless. A request with a
    /// non-idempotent effect that may have run fails instead.
    pub(crate) fn reject(
        &mut self,
        now: Micros,
        id: RequestId,
        retry_after_s: f64,
        message: &str,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let class = &self.settings.classes[usize::from(request.class)];
        if class.effect == Effect::Unsafe && request.may_have_run() {
            // The decision module does not reject such a request; if it did, the client's retry could cause the effect
            // twice.
            log(
                out,
                Level::Error,
                format!("{}: refusal turned into a failure", request.response.id),
            );
            return self.fail(now, id, "server_error", "it may have run", out);
        }
        let answer =
            request.failed_response("rate_limit_exceeded", message, true, Some(retry_after_s));
        self.finish(now, id, answer, out);
    }

    /// Answers a request with a failure that the client must not take as safe to repeat.
    pub(crate) fn fail(
        &mut self,
        now: Micros,
        id: RequestId,
        code: &str,
        message: &str,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let answer = request.failed_response(code, message, false, None);
        self.finish(now, id, answer, out);
    }

    /// Answers a request whose output is complete, with the engine's finish reason.
    pub(crate) fn complete(
        &mut self,
        now: Micros,
        id: RequestId,
        reason: &str,
        out: &mut Vec<Output>,
    ) {
        self.report_output_length(
            id,
            if reason == "length" {
                ResponseEnd::TokenLimit
            } else {
                ResponseEnd::Complete
            },
            out,
        );
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let mut answer = Response {
            usage: Some(request.usage),
            ..request.response.clone()
        };
        answer.status = if reason == "length" {
            Status::Incomplete
        } else {
            Status::Completed
        };
        if answer.status == Status::Incomplete {
            answer.incomplete_details = Some(IncompleteDetails {
                reason: "max_output_tokens".to_string(),
            });
        }
        let answer = answer.with_text(&request.text);
        self.finish(now, id, answer, out);
    }

    /// Reports the output length of a request, where the cluster learns output lengths. Has to run while the request
    /// still has its attempt, which names the server.
    fn report_output_length(&self, id: RequestId, end: ResponseEnd, out: &mut Vec<Output>) {
        let learning = self
            .settings
            .cluster
            .as_ref()
            .is_some_and(|c| c.output_lengths.is_some());
        let Some(request) = self.requests.get(&id).filter(|_| learning) else {
            return;
        };
        let server = request
            .attempt
            .as_ref()
            .and_then(|a| self.servers.get(a.server))
            .map(|k| k.server.name.as_str());
        let class = &self.settings.classes[usize::from(request.class)].name;
        out.push(Output::OutputLength(OutputLengths::end_report(
            request,
            class,
            server.unwrap_or("unknown"),
            end,
        )));
    }

    /// Settles the final answer of a request, the first time it is called for it. The answer of a workflow step is
    /// delivered only once the coordinator has stored the step's outcome, or the wait for that has ended.
    fn finish(&mut self, now: Micros, id: RequestId, answer: Response, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.answered) else {
            return;
        };
        request.answered = true;
        if let Some(answer) = self.await_durable_result(now, id, answer, out) {
            self.deliver(now, id, answer, out);
        }
    }

    /// Sends the final answer to all listeners, charges it, and stores it for its idempotency key and for follow-up
    /// requests.
    pub(crate) fn deliver(
        &mut self,
        now: Micros,
        id: RequestId,
        answer: Response,
        out: &mut Vec<Output>,
    ) {
        self.charge_answer(id, &answer, out);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.send_event(out, None, |l, _| {
            client::finished(l.sequence, &l.view(&answer))
        });
        for listener in std::mem::take(&mut request.listeners) {
            self.sessions.unlisten(listener.session, id);
        }
        if matches!(answer.status, Status::Completed | Status::Incomplete) {
            let context = Context {
                tenant: request.tenant,
                owner: request.owner.clone(),
                conversation: request.conversation,
                text: format!("{}\nassistant: {}", request.prompt, request.text),
                created_at: now,
            };
            self.contexts.insert(&answer.id, context);
        }
        self.record_key_outcome(now, id, answer);
        self.remove_if_done(id, out);
    }

    /// Stores the final answer under the request's idempotency key, or removes the key where repeating the request is
    /// harmless and may succeed: after a rejection, or a failure of an idempotent request or of one that never ran.
    fn record_key_outcome(&mut self, now: Micros, id: RequestId, answer: Response) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(key) = request.key.as_ref().filter(|_| !request.is_workflow_step) else {
            return;
        };
        let is_idempotent =
            self.settings.classes[usize::from(request.class)].effect == Effect::Safe;
        let safe_to_repeat = answer.error.as_ref().is_some_and(|e| e.safe_to_repeat);
        if safe_to_repeat
            || answer.status == Status::Failed && (is_idempotent || !request.may_have_run())
        {
            return self.keys.remove(key);
        }
        let bytes = request.text.len() + answer.model.len() + STORED_ANSWER_OVERHEAD_BYTES;
        self.keys.end(now, key, answer, bytes);
    }

    /// Ends a request that has no listeners any more. A streaming attempt is cancelled here; any other is left to the
    /// decision module, which is notified of the disconnect.
    pub(crate) fn abandon(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.answered) else {
            return;
        };
        request.answered = true;
        let answer =
            request.failed_response("cancelled", "its client left; it may have run", false, None);
        let streaming = request.is_streaming();
        self.abandon_step(now, id, out);
        self.charge_answer(id, &answer, out);
        self.record_key_outcome(now, id, answer);
        self.events
            .push_back(Event::ClientDisconnected { request: id });
        if streaming {
            self.report_output_length(id, ResponseEnd::ClientDisconnected, out);
            self.send_cancel(id, out);
            self.end_attempt(now, id, Outcome::Cancelled, 0, Vec::new(), out);
        }
        self.remove_if_done(id, out);
    }

    /// Cancels a request for one listener, which receives its final answer; the request ends if no other session
    /// listens to it.
    pub(crate) fn cancel_by_listener(
        &mut self,
        now: Micros,
        id: RequestId,
        session: SessionId,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let safe_to_repeat = self.settings.classes[usize::from(request.class)].effect
            == Effect::Safe
            || !request.may_have_run();
        let answer =
            request.failed_response("cancelled", "cancelled by the client", safe_to_repeat, None);
        request.send_event(out, Some(session), |l, _| {
            client::finished(l.sequence, &l.view(&answer))
        });
        request.listeners.retain(|l| l.session != session);
        let was_last = request.listeners.is_empty();
        self.sessions.unlisten(session, id);
        if was_last {
            self.abandon(now, id, out);
        }
    }

    /// Removes a request from the table once it is answered, has no attempt and no held KV cache, and no workflow step
    /// waits for its outcome to be stored.
    pub(crate) fn remove_if_done(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let done = |r: &Request| r.answered && r.attempt.is_none() && r.held_kv_cache.is_none();
        if self.requests.get(&id).is_some_and(done) && !self.workflows.is_awaiting_durability(id) {
            self.settle(id, out);
            let Some(mut removed) = self.requests.remove(&id) else {
                return;
            };
            self.load_shedding.request_ended(&mut removed.admitted_work);
            self.prompt_bytes -= removed.prompt.len();
        }
    }
}
