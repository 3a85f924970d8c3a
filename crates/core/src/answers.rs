//! What clients are told: each listener is given exactly one final event, and nothing after it.

use bitternlatch_output_length::End;
use bitternlatch_policy::interface::{Event, Outcome, RequestId};
use bitternlatch_protocol::client::{
    self, Create, IncompleteDetails, Response, ResponseError, Status,
};
use bitternlatch_workflow::{AttemptOutcome, RejectReason};
use xxhash_rust::xxh3::xxh3_64;

use crate::budgets::Denied;
use crate::contexts::Context;
use crate::idempotency::Key;
use crate::machine::{log, Machine};
use crate::output_lengths::Lengths;
use crate::requests::{Listener, Purpose, Request, Stage};
use crate::settings::Effect;
use crate::timers::Timer;
use crate::types::{Level, Micros, Output, SessionId};
use crate::validated_request::Wanted;
use crate::workflows::{refused, Act, Asked, Intent, AGAIN_S, FAILED_WITHIN_S, HELD_WITHIN_S};

impl Request {
    /// The events to its listeners, each with its own next sequence number.
    fn say(
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
        let out =
            |a: &crate::requests::Attempt| a.purpose != Purpose::Read && a.stage != Stage::Queued;
        self.may_have_run || self.attempt.as_ref().is_some_and(out)
    }

    /// What became of a step whose answer is none.
    fn unfinished(&self) -> AttemptOutcome {
        if self.may_run() {
            AttemptOutcome::MayHaveRun
        } else {
            AttemptOutcome::NeverRan
        }
    }

    fn failed(
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
    pub(crate) fn say_created(&mut self, id: RequestId, session: SessionId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.say(out, Some(session), |l, r| {
            client::created(l.sequence, &l.view(&r.response))
        });
    }

    pub(crate) fn say_so_far(&mut self, id: RequestId, session: SessionId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.text.is_empty()) else {
            return;
        };
        request.say(out, Some(session), |l, r| {
            client::delta(l.sequence, &r.response.id, &r.item_id, &r.text)
        });
    }

    /// Passes a piece of the answer on.
    pub(crate) fn say_delta(&mut self, id: RequestId, piece: &str, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.say(out, None, |l, r| {
            client::delta(l.sequence, &r.response.id, &r.item_id, piece)
        });
    }

    /// Gives the recorded answer to a client that asks again with its key.
    pub(crate) fn say_again(
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

    pub(crate) fn refuse(
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
    pub(crate) fn serve(
        &mut self,
        now: Micros,
        id: RequestId,
        reason: &str,
        out: &mut Vec<Output>,
    ) {
        self.learn(
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

    /// Tells of an answer's length, where lengths are learnt; before its attempt is let go of.
    fn learn(&self, id: RequestId, end: End, out: &mut Vec<Output>) {
        let learns = self
            .settings
            .cluster
            .as_ref()
            .is_some_and(|c| c.lengths.is_some());
        let Some(request) = self.requests.get(&id).filter(|_| learns) else {
            return;
        };
        let host = request
            .attempt
            .as_ref()
            .and_then(|a| self.fleet.get(a.host))
            .map(|k| k.host.name.as_str());
        let class = &self.settings.classes[usize::from(request.class)].name;
        out.push(Output::OutputLength(Lengths::ended(
            request,
            class,
            host.unwrap_or("unknown"),
            end,
        )));
    }

    /// The one place that gives final answers.
    fn finish(&mut self, now: Micros, id: RequestId, answer: Response, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.answered) else {
            return;
        };
        request.answered = true;
        if let Some(answer) = self.hold_back(now, id, answer, out) {
            self.give(now, id, answer, out);
        }
    }

    /// Says the final answer, and lets go of what was needed for it.
    pub(crate) fn give(
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
        request.say(out, None, |l, _| {
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
        self.close_key(now, id, answer);
        self.tidy(id, out);
    }

    /// A step's answer waits until what became of the step is held; gives back what is no step's.
    fn hold_back(
        &mut self,
        now: Micros,
        id: RequestId,
        answer: Response,
        out: &mut Vec<Output>,
    ) -> Option<Response> {
        let Some(request) = self.requests.get(&id).filter(|r| r.step) else {
            return Some(answer);
        };
        let fate = match answer.status {
            Status::Completed | Status::Incomplete => AttemptOutcome::Done {
                result: request.text.clone(),
                tokens: request.usage.output_tokens,
            },
            _ => request.unfinished(),
        };
        // A failure is told soon, held or not: it says enough as it is.
        let until = match &fate {
            AttemptOutcome::Done { .. } => request.deadline.max(now.after(HELD_WITHIN_S)),
            _ => now.after(FAILED_WITHIN_S),
        };
        self.drop_waiting(id);
        match self.workflows.end(id, fate, Box::new(answer), until) {
            Ok((call, ask)) => {
                self.timers.set(until, Timer::Call { call });
                out.push(Output::Workflow(ask));
                None
            }
            Err(answer) => Some(*answer),
        }
    }

    pub(crate) fn end_again(&mut self, id: RequestId, out: &mut Vec<Output>) {
        if let Some((call, until, ask)) = self.workflows.end_again(id) {
            self.timers.set(until, Timer::Call { call });
            out.push(Output::Workflow(ask));
        }
    }

    /// What became of a step that nobody waits for.
    fn abandon_step(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id).filter(|r| r.step) else {
            return;
        };
        let until = request.deadline.max(now.after(HELD_WITHIN_S));
        let fate = request.unfinished();
        self.drop_waiting(id);
        let told = self.workflows.abandon(id, fate, until);
        out.extend(told.map(Output::Workflow));
    }

    /// What the machine beside the plane has answered, or has not in time.
    pub(crate) fn on_workflow(&mut self, now: Micros, act: Option<Act>, out: &mut Vec<Output>) {
        match act {
            None => {}
            Some(Act::Answer {
                mut asked,
                text,
                known,
            }) => {
                self.shed.gone(&mut asked.counted);
                self.answer_alone(now, &asked, &text, known, out);
            }
            Some(Act::Refuse { mut asked, why }) => {
                self.shed.gone(&mut asked.counted);
                let text = Denied::by_workflow(why).to_text(&asked.create);
                out.push(Output::SendToClient {
                    session: asked.session,
                    text,
                });
            }
            Some(Act::Go {
                asked,
                intent,
                until,
            }) => self.take_step(now, asked, intent, until, out),
            Some(Act::Send { request, send, may }) => self.send_on(now, request, send, may, out),
            Some(Act::Again(id)) => self
                .timers
                .set(now.after(AGAIN_S), Timer::End { request: id }),
            Some(Act::Give {
                request,
                answer,
                held,
            }) => self.give_step(now, request, *answer, held, out),
            Some(Act::Tell(ask)) => out.push(Output::Workflow(ask)),
        }
    }

    /// A step's intent is held: it is taken as any other request, in the time that is left.
    fn take_step(
        &mut self,
        now: Micros,
        mut asked: Asked,
        intent: Intent,
        until: Micros,
        out: &mut Vec<Output>,
    ) {
        let taken = match self.wanted(now, asked.session, &asked.create) {
            Ok(w) => {
                let time_left_s = w.time_left_s - now.since(asked.at);
                let (tenant, class, owner) = (w.tenant, w.class, w.owner.clone());
                let key = Some(Key {
                    tenant,
                    class,
                    owner,
                    text: intent.key.clone(),
                });
                let (step, counted) = (Some((intent.clone(), until)), Some(asked.counted));
                let wanted = Wanted {
                    time_left_s,
                    key,
                    step,
                    counted,
                    ..w
                };
                self.admit(now, asked.session, &asked.create, wanted, out)
            }
            Err(bad) => {
                self.shed.gone(&mut asked.counted);
                Err(Denied::from(bad))
            }
        };
        if let Err(denied) = taken {
            out.push(Output::SendToClient {
                session: asked.session,
                text: denied.to_text(&asked.create),
            });
            let ask = self.workflows.never_ran(intent, now.after(HELD_WITHIN_S));
            out.push(Output::Workflow(ask));
        }
    }

    /// An answer that no host has given: of a workflow itself, or of a step that was done before.
    fn answer_alone(
        &mut self,
        now: Micros,
        asked: &Asked,
        text: &str,
        known: bool,
        out: &mut Vec<Output>,
    ) {
        let id = self.next_request;
        self.next_request = id.saturating_add(1);
        let most = self.settings.requests.max_output_tokens;
        let answer = self.new_response(
            now,
            id,
            &asked.create,
            asked.create.max_output_tokens.unwrap_or(most),
        );
        let answer = Response {
            status: Status::Completed,
            ..answer
        }
        .with_text(text);
        self.say_again(asked.session, &answer, &asked.create, out);
        // The next turn may go on from it, as from the answer that it repeats.
        if let Some(w) = self
            .wanted(now, asked.session, &asked.create)
            .ok()
            .filter(|_| known)
        {
            let conversation = if w.conversation == 0 {
                xxh3_64(answer.id.as_bytes())
            } else {
                w.conversation
            };
            let text = format!("{}\nassistant: {text}", w.prompt);
            let context = Context {
                tenant: w.tenant,
                owner: w.owner,
                conversation,
                text,
                at: now,
            };
            self.contexts.keep(&answer.id, context);
        }
    }

    /// A step's answer, or why it does not count. A failure says enough as it is.
    fn give_step(
        &mut self,
        now: Micros,
        id: RequestId,
        answer: Response,
        held: Result<(), Option<RejectReason>>,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let answer = match held {
            Err(why) if answer.status != Status::Failed => match why.map(refused) {
                Some(bad) => request.failed(bad.code, &bad.message, false, None),
                None => {
                    let why = "its result was not held in time; it may have run";
                    request.failed("server_error", why, false, None)
                }
            },
            _ => answer,
        };
        self.give(now, id, answer, out);
    }

    /// A key keeps the answer that stands; it is let go where asking again is harmless and may end better.
    fn close_key(&mut self, now: Micros, id: RequestId, answer: Response) {
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
        self.close_key(now, id, answer);
        self.events
            .push_back(Event::ClientDisconnected { request: id });
        if streaming {
            self.learn(id, End::Left, out);
            self.tell_cancel(id, out);
            self.end_attempt(now, id, Outcome::Cancelled, 0, Vec::new(), out);
        }
        self.tidy(id, out);
    }

    /// One client cancels: it is given its final answer, and the request ends if no other waits for it.
    pub(crate) fn give_up_by_client(
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
        request.say(out, Some(session), |l, _| {
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
    pub(crate) fn tidy(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let over = |r: &Request| r.answered && r.attempt.is_none() && r.state.is_none();
        if self.requests.get(&id).is_some_and(over) && !self.workflows.is_ending(id) {
            self.settle(id, out);
            let Some(mut gone) = self.requests.remove(&id) else {
                return;
            };
            self.shed.gone(&mut gone.counted);
            self.prompt_bytes -= gone.prompt.len();
        }
    }
}
