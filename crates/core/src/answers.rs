//! What clients are told: each listener is given exactly one final event, and nothing after it.

use bitternlatch_output_length::End;
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

impl Request {
    /// The events to its listeners, each with its own next sequence number.
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

    /// Whether an attempt may have had the effect, the one that is out included.
    pub(crate) fn may_run(&self) -> bool {
        let out = |a: &crate::requests::Attempt| {
            a.purpose != Purpose::Prefill && a.stage != Stage::Queued
        };
        self.may_have_run || self.attempt.as_ref().is_some_and(out)
    }

    /// What became of a step whose answer is none.
    pub(crate) fn unfinished_outcome(&self) -> AttemptOutcome {
        if self.may_run() {
            AttemptOutcome::MayHaveRun
        } else {
            AttemptOutcome::NeverRan
        }
    }

    pub(crate) fn failed(
        &self,
        code: &str,
        message: &str,
        safe: bool,
        retry_after_s: Option<f64>,
    ) -> Response {
        let error = ResponseError {
            code: code.to_string(),
            message: message.to_string(),
            safe_to_repeat: safe,
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

    /// Passes a piece of the answer on.
    pub(crate) fn send_delta(&mut self, id: RequestId, piece: &str, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.send_event(out, None, |l, r| {
            client::delta(l.sequence, &r.response.id, &r.item_id, piece)
        });
    }

    /// Gives the recorded answer to a client that asks again with its key.
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
        let begun = Response {
            status: Status::InProgress,
            output: Vec::new(),
            usage: None,
            error: None,
            incomplete_details: None,
            ..answer.clone()
        };
        out.push(Output::SendToClient {
            session,
            text: client::created(0, &begun),
        });
        out.push(Output::SendToClient {
            session,
            text: client::finished(1, answer),
        });
    }

    pub(crate) fn reject(
        &mut self,
        now: Micros,
        id: RequestId,
        retry_after_s: f64,
        why: &str,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let class = &self.settings.classes[usize::from(request.class)];
        if class.effect == Effect::Unsafe && request.may_run() {
            // The module never does this; a refusal here would invite a second effect.
            log(
                out,
                Level::Error,
                format!("{}: refusal turned into a failure", request.response.id),
            );
            return self.fail(now, id, "server_error", "it may have run", out);
        }
        let answer = request.failed("rate_limit_exceeded", why, true, Some(retry_after_s));
        self.finish(now, id, answer, out);
    }

    pub(crate) fn fail(
        &mut self,
        now: Micros,
        id: RequestId,
        code: &str,
        why: &str,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let answer = request.failed(code, why, false, None);
        self.finish(now, id, answer, out);
    }

    /// The engine has ended the answer.
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
                End::Ceiling
            } else {
                End::Whole
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

    /// Tells of an answer's length, where lengths are learnt; before its attempt is release.
    fn report_output_length(&self, id: RequestId, end: End, out: &mut Vec<Output>) {
        let learns = self
            .settings
            .cluster
            .as_ref()
            .is_some_and(|c| c.lengths.is_some());
        let Some(request) = self.requests.get(&id).filter(|_| learns) else {
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

    /// The one place that gives final answers.
    fn finish(&mut self, now: Micros, id: RequestId, answer: Response, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.answered) else {
            return;
        };
        request.answered = true;
        if let Some(answer) = self.await_durable_result(now, id, answer, out) {
            self.deliver(now, id, answer, out);
        }
    }

    /// Says the final answer, and releases what was needed for it.
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
                at: now,
            };
            self.contexts.keep(&answer.id, context);
        }
        self.settle_key(now, id, answer);
        self.remove_if_done(id, out);
    }

    /// A key keeps the answer that stands; it is let go where asking again is harmless and may end better.
    fn settle_key(&mut self, now: Micros, id: RequestId, answer: Response) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(key) = request.key.as_ref().filter(|_| !request.step) else {
            return;
        };
        let safe = self.settings.classes[usize::from(request.class)].effect == Effect::Safe;
        let refused = answer.error.as_ref().is_some_and(|e| e.safe_to_repeat);
        if refused || answer.status == Status::Failed && (safe || !request.may_run()) {
            return self.keys.remove(key);
        }
        let bytes = request.text.len() + answer.model.len() + 512;
        self.keys.end(now, key, answer, bytes);
    }

    /// Nobody waits for the request any more.
    pub(crate) fn abandon(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.answered) else {
            return;
        };
        request.answered = true;
        let answer = request.failed("cancelled", "its client left; it may have run", false, None);
        let streaming = request.streaming();
        self.abandon_step(now, id, out);
        self.charge_answer(id, &answer, out);
        self.settle_key(now, id, answer);
        self.events
            .push_back(Event::ClientDisconnected { request: id });
        if streaming {
            self.report_output_length(id, End::Left, out);
            self.send_cancel(id, out);
            self.end_attempt(now, id, Outcome::Cancelled, 0, Vec::new(), out);
        }
        self.remove_if_done(id, out);
    }

    /// One client cancels: it is given its final answer, and the request ends if no other waits for it.
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
        let safe = self.settings.classes[usize::from(request.class)].effect == Effect::Safe
            || !request.may_run();
        let answer = request.failed("cancelled", "cancelled by the client", safe, None);
        request.send_event(out, Some(session), |l, _| {
            client::finished(l.sequence, &l.view(&answer))
        });
        request.listeners.retain(|l| l.session != session);
        let last = request.listeners.is_empty();
        self.sessions.unlisten(session, id);
        if last {
            self.abandon(now, id, out);
        }
    }

    /// Lets go of an entry once it is answered, nothing is out and nothing is held.
    pub(crate) fn remove_if_done(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let over = |r: &Request| r.answered && r.attempt.is_none() && r.state.is_none();
        if self.requests.get(&id).is_some_and(over) && !self.workflows.is_ending(id) {
            self.settle(id, out);
            let Some(mut gone) = self.requests.remove(&id) else {
                return;
            };
            self.load_shedding.request_ended(&mut gone.admitted);
            self.prompt_bytes -= gone.prompt.len();
        }
    }
}
