//! Requests that are steps of workflows: from a client's message to the coordinator, and from its answer to the client.

use bitternlatch_policy::interface::RequestId;
use bitternlatch_protocol::client::{BadRequest, Create, Response, Status};
use bitternlatch_protocol::workflow::{self, About};
use bitternlatch_workflow::{AttemptOutcome, RejectReason};
use xxhash_rust::xxh3::xxh3_64;

use crate::budgets::Rejection;
use crate::contexts::Context;
use crate::idempotency::Key;
use crate::load_shedding::AdmittedWork;
use crate::machine::Machine;
use crate::timers::Timer;
use crate::types::{Micros, Output, SessionId};
use crate::validated_request::{PermittedStep, ValidatedRequest};
use crate::workflows::{
    self, refused, Intent, PendingQuery, WorkflowAction, WorkflowQuery, FAILURE_DURABLE_WITHIN_S,
    RESULT_DURABLE_WITHIN_S, STEP_END_RETRY_S,
};

impl Machine {
    /// A step's answer waits until what became of the step is held; gives back what is no step's.
    pub(crate) fn await_durable_result(
        &mut self,
        now: Micros,
        id: RequestId,
        answer: Response,
        out: &mut Vec<Output>,
    ) -> Option<Response> {
        let Some(request) = self.requests.get(&id).filter(|r| r.is_workflow_step) else {
            return Some(answer);
        };
        let fate = match answer.status {
            Status::Completed | Status::Incomplete => AttemptOutcome::Done {
                result: request.text.clone(),
                tokens: request.usage.output_tokens,
            },
            _ => request.unfinished_outcome(),
        };
        // A failure is told soon, held or not: it says enough as it is.
        let until = match &fate {
            AttemptOutcome::Done { .. } => request.deadline.max(now.after(RESULT_DURABLE_WITHIN_S)),
            _ => now.after(FAILURE_DURABLE_WITHIN_S),
        };
        self.cancel_blocked_send(id);
        match self.workflows.end(id, fate, Box::new(answer), until) {
            Ok((call, ask)) => {
                self.timers.set(until, Timer::WorkflowQuery { call });
                out.push(Output::Workflow(ask));
                None
            }
            Err(answer) => Some(*answer),
        }
    }

    pub(crate) fn resend_step_end(&mut self, id: RequestId, out: &mut Vec<Output>) {
        if let Some((call, until, ask)) = self.workflows.resend_step_end(id) {
            self.timers.set(until, Timer::WorkflowQuery { call });
            out.push(Output::Workflow(ask));
        }
    }

    /// What became of a step that nobody waits for.
    pub(crate) fn abandon_step(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id).filter(|r| r.is_workflow_step) else {
            return;
        };
        let until = request.deadline.max(now.after(RESULT_DURABLE_WITHIN_S));
        let fate = request.unfinished_outcome();
        self.cancel_blocked_send(id);
        let told = self.workflows.abandon(id, fate, until);
        out.extend(told.map(Output::Workflow));
    }

    /// What the workflow coordinator has answered, or has not in time.
    pub(crate) fn on_workflow(
        &mut self,
        now: Micros,
        act: Option<WorkflowAction>,
        out: &mut Vec<Output>,
    ) {
        match act {
            None => {}
            Some(WorkflowAction::Answer {
                mut query,
                text,
                known,
            }) => {
                self.load_shedding.request_ended(&mut query.admitted);
                self.answer_without_server(now, &query, &text, known, out);
            }
            Some(WorkflowAction::Reject { mut query, why }) => {
                self.load_shedding.request_ended(&mut query.admitted);
                let text = Rejection::by_workflow(why).to_text(&query.create);
                out.push(Output::SendToClient {
                    session: query.session,
                    text,
                });
            }
            Some(WorkflowAction::Admit {
                query,
                intent,
                until,
            }) => self.admit_step(now, query, intent, until, out),
            Some(WorkflowAction::Send { request, send, may }) => {
                self.resume_send(now, request, send, may, out)
            }
            Some(WorkflowAction::RetryStepEnd(id)) => self
                .timers
                .set(now.after(STEP_END_RETRY_S), Timer::StepEnd { request: id }),
            Some(WorkflowAction::Deliver {
                request,
                answer,
                held,
            }) => self.deliver_step(now, request, *answer, held, out),
            Some(WorkflowAction::SendCommand(ask)) => out.push(Output::Workflow(ask)),
        }
    }

    /// A step's intent is held: it is taken as any other request, in the time that is left.
    pub(crate) fn admit_step(
        &mut self,
        now: Micros,
        mut query: PendingQuery,
        intent: Intent,
        until: Micros,
        out: &mut Vec<Output>,
    ) {
        let taken = match self.validate(now, query.session, &query.create) {
            Ok(w) => {
                let time_left_s = w.time_left_s - now.since(query.at);
                let (tenant, class, owner) = (w.tenant, w.class, w.owner.clone());
                let key = Some(Key {
                    tenant,
                    class,
                    owner,
                    text: intent.key.clone(),
                });
                let step = PermittedStep {
                    intent: intent.clone(),
                    permitted_until: until,
                };
                let (step, admitted) = (Some(step), Some(query.admitted));
                let validated = ValidatedRequest {
                    time_left_s,
                    key,
                    workflow_step: step,
                    admitted_work: admitted,
                    ..w
                };
                self.admit(now, query.session, &query.create, validated, out)
            }
            Err(bad) => {
                self.load_shedding.request_ended(&mut query.admitted);
                Err(Rejection::from(bad))
            }
        };
        if let Err(denied) = taken {
            out.push(Output::SendToClient {
                session: query.session,
                text: denied.to_text(&query.create),
            });
            let ask = self
                .workflows
                .never_ran(intent, now.after(RESULT_DURABLE_WITHIN_S));
            out.push(Output::Workflow(ask));
        }
    }

    /// An answer that no server has given: of a workflow itself, or of a step that was done before.
    pub(crate) fn answer_without_server(
        &mut self,
        now: Micros,
        query: &PendingQuery,
        text: &str,
        known: bool,
        out: &mut Vec<Output>,
    ) {
        let id = self.next_request_id();
        let most = self.settings.requests.max_output_tokens;
        let answer = self.new_response(
            now,
            id,
            &query.create,
            query.create.max_output_tokens.unwrap_or(most),
        );
        let answer = Response {
            status: Status::Completed,
            ..answer
        }
        .with_text(text);
        self.send_recorded_answer(query.session, &answer, &query.create, out);
        // The next turn may go on from it, as from the answer that it repeats.
        if let Some(w) = self
            .validate(now, query.session, &query.create)
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
                created_at: now,
            };
            self.contexts.insert(&answer.id, context);
        }
    }

    /// A step's answer, or why it does not count. A failure says enough as it is.
    pub(crate) fn deliver_step(
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
                Some(bad) => request.failed_response(bad.code, &bad.message, false, None),
                None => {
                    let why = "its result was not held in time; it may have run";
                    request.failed_response("server_error", why, false, None)
                }
            },
            _ => answer,
        };
        self.deliver(now, id, answer, out);
    }

    /// What a request is about, where workflows are on.
    pub(crate) fn workflow_operation(&self, create: &Create) -> Result<Option<About>, BadRequest> {
        let on = self
            .settings
            .cluster
            .as_ref()
            .is_some_and(|c| c.workflows.is_some());
        if on {
            workflow::read(&create.metadata)
        } else {
            Ok(None)
        }
    }

    /// Asks the workflow coordinator what becomes of a request about a workflow; what follows is its answer's.
    pub(crate) fn query_workflow(
        &mut self,
        now: Micros,
        session: SessionId,
        create: &Create,
        mut validated: ValidatedRequest,
        workflow_operation: About,
        out: &mut Vec<Output>,
    ) -> Result<(), Rejection> {
        if self.stopping {
            return Err(Rejection::by_workflow(RejectReason::Busy));
        }
        let tenant = self
            .settings
            .tenants
            .get(validated.tenant as usize)
            .map_or("", |t| t.name.as_str());
        let workflow = workflows::name(tenant, &validated.owner, &workflow_operation.workflow);
        let class = &self.settings.classes[usize::from(validated.class)];
        let key = validated.key.as_ref().map_or("", |k| k.text.as_str());
        let question = workflows::question(workflow, workflow_operation.does, create, class, key);
        let mut admitted = AdmittedWork::default();
        if let WorkflowQuery::Step(intent) = &question {
            match self.workflows.in_flight(intent) {
                Some(Ok(id)) => return Ok(self.attach(session, id, create, out)?),
                Some(Err(why)) => return Err(Rejection::by_workflow(why)),
                // Asked again when it is admitted; what is refused for certain costs no majority's word.
                None if !self.may_admit(now, validated.class) => {
                    return Err(self.redirect_to_peers(now))
                }
                None => {
                    validated.workflow_step = Some(PermittedStep {
                        intent: intent.clone(),
                        permitted_until: now,
                    });
                    admitted = self
                        .evaluate_admission(now, create, &validated)
                        .map_err(Rejection::by_shedding)?;
                }
            }
        }
        let until =
            now.after((validated.time_left_s - self.settings.requests.answer_margin_s).max(0.0));
        let asked = self
            .workflows
            .ask(now, (session, create), question, admitted, until);
        let (call, ask) = asked.map_err(|why| {
            self.load_shedding.request_ended(&mut admitted);
            Rejection::by_workflow(why)
        })?;
        self.timers.set(until, Timer::WorkflowQuery { call });
        out.push(Output::Workflow(ask));
        Ok(())
    }
}
