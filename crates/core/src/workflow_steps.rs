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
    self, to_bad_request, Intent, PendingQuery, WorkflowAction, WorkflowQuery,
    FAILURE_DURABLE_WITHIN_S, RESULT_DURABLE_WITHIN_S, STEP_END_RETRY_S,
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
        let outcome = match answer.status {
            Status::Completed | Status::Incomplete => AttemptOutcome::Done {
                result: request.text.clone(),
                tokens: request.usage.output_tokens,
            },
            _ => request.unfinished_outcome(),
        };
        // A failure is told soon, held or not: it says enough as it is.
        let until = match &outcome {
            AttemptOutcome::Done { .. } => request.deadline.max(now.after(RESULT_DURABLE_WITHIN_S)),
            _ => now.after(FAILURE_DURABLE_WITHIN_S),
        };
        self.cancel_blocked_send(id);
        match self
            .workflows
            .end_step(id, outcome, Box::new(answer), until)
        {
            Ok((call, command)) => {
                self.timers.set(until, Timer::WorkflowQuery { call });
                out.push(Output::Workflow(command));
                None
            }
            Err(answer) => Some(*answer),
        }
    }

    pub(crate) fn resend_step_end(&mut self, id: RequestId, out: &mut Vec<Output>) {
        if let Some((call, until, command)) = self.workflows.resend_step_end(id) {
            self.timers.set(until, Timer::WorkflowQuery { call });
            out.push(Output::Workflow(command));
        }
    }

    /// What became of a step that nobody waits for.
    pub(crate) fn abandon_step(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id).filter(|r| r.is_workflow_step) else {
            return;
        };
        let until = request.deadline.max(now.after(RESULT_DURABLE_WITHIN_S));
        let outcome = request.unfinished_outcome();
        self.cancel_blocked_send(id);
        let command = self.workflows.abandon_step(id, outcome, until);
        out.extend(command.map(Output::Workflow));
    }

    /// What the workflow coordinator has answered, or has not in time.
    pub(crate) fn on_workflow(
        &mut self,
        now: Micros,
        action: Option<WorkflowAction>,
        out: &mut Vec<Output>,
    ) {
        match action {
            None => {}
            Some(WorkflowAction::Answer {
                mut query,
                text,
                is_step_result,
            }) => {
                self.load_shedding.request_ended(&mut query.admitted_work);
                self.answer_without_server(now, &query, &text, is_step_result, out);
            }
            Some(WorkflowAction::Reject { mut query, reason }) => {
                self.load_shedding.request_ended(&mut query.admitted_work);
                let text = Rejection::by_workflow(reason).to_text(&query.create);
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
            Some(WorkflowAction::ResumeSend {
                request,
                send,
                permitted,
            }) => self.resume_send(now, request, send, permitted, out),
            Some(WorkflowAction::RetryStepEnd(id)) => self
                .timers
                .set(now.after(STEP_END_RETRY_S), Timer::StepEnd { request: id }),
            Some(WorkflowAction::Deliver {
                request,
                answer,
                durable,
            }) => self.deliver_step(now, request, *answer, durable, out),
            Some(WorkflowAction::SendCommand(command)) => out.push(Output::Workflow(command)),
        }
    }

    /// A step's intent is durable: it is taken as any other request, in the time that is left.
    pub(crate) fn admit_step(
        &mut self,
        now: Micros,
        mut query: PendingQuery,
        intent: Intent,
        until: Micros,
        out: &mut Vec<Output>,
    ) {
        let admitted = match self.validate(now, query.session, &query.create) {
            Ok(validated) => {
                let time_left_s = validated.time_left_s - now.since(query.received_at);
                let (tenant, class, owner) =
                    (validated.tenant, validated.class, validated.owner.clone());
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
                let (step, admitted_work) = (Some(step), Some(query.admitted_work));
                let validated_step = ValidatedRequest {
                    time_left_s,
                    key,
                    workflow_step: step,
                    admitted_work,
                    ..validated
                };
                self.admit(now, query.session, &query.create, validated_step, out)
            }
            Err(bad) => {
                self.load_shedding.request_ended(&mut query.admitted_work);
                Err(Rejection::from(bad))
            }
        };
        if let Err(rejection) = admitted {
            out.push(Output::SendToClient {
                session: query.session,
                text: rejection.to_text(&query.create),
            });
            let command = self
                .workflows
                .report_never_ran(intent, now.after(RESULT_DURABLE_WITHIN_S));
            out.push(Output::Workflow(command));
        }
    }

    /// An answer that no server has given: of a workflow itself, or of a step that was done before.
    pub(crate) fn answer_without_server(
        &mut self,
        now: Micros,
        query: &PendingQuery,
        text: &str,
        is_step_result: bool,
        out: &mut Vec<Output>,
    ) {
        let id = self.next_request_id();
        let default_max_output_tokens = self.settings.requests.max_output_tokens;
        let answer = self.new_response(
            now,
            id,
            &query.create,
            query
                .create
                .max_output_tokens
                .unwrap_or(default_max_output_tokens),
        );
        let answer = Response {
            status: Status::Completed,
            ..answer
        }
        .with_text(text);
        self.send_recorded_answer(query.session, &answer, &query.create, out);
        // The next turn may go on from it, as from the answer that it repeats.
        if let Some(validated) = self
            .validate(now, query.session, &query.create)
            .ok()
            .filter(|_| is_step_result)
        {
            let conversation = if validated.conversation == 0 {
                xxh3_64(answer.id.as_bytes())
            } else {
                validated.conversation
            };
            let text = format!("{}\nassistant: {text}", validated.prompt);
            let context = Context {
                tenant: validated.tenant,
                owner: validated.owner,
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
        durable: Result<(), Option<RejectReason>>,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let answer = match durable {
            Err(reason) if answer.status != Status::Failed => match reason.map(to_bad_request) {
                Some(error) => request.failed_response(error.code, &error.message, false, None),
                None => {
                    let message = "its result was not held in time; it may have run";
                    request.failed_response("server_error", message, false, None)
                }
            },
            _ => answer,
        };
        self.deliver(now, id, answer, out);
    }

    /// What a request is about, where workflows are on.
    pub(crate) fn workflow_operation(&self, create: &Create) -> Result<Option<About>, BadRequest> {
        let enabled = self
            .settings
            .cluster
            .as_ref()
            .is_some_and(|c| c.workflows.is_some());
        if enabled {
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
        let workflow =
            workflows::qualified_name(tenant, &validated.owner, &workflow_operation.workflow);
        let class = &self.settings.classes[usize::from(validated.class)];
        let key = validated.key.as_ref().map_or("", |k| k.text.as_str());
        let query = workflows::to_query(workflow, workflow_operation.does, create, class, key);
        let mut admitted_work = AdmittedWork::default();
        if let WorkflowQuery::Step(intent) = &query {
            match self.workflows.in_flight(intent) {
                Some(Ok(id)) => return Ok(self.attach(session, id, create, out)?),
                Some(Err(why)) => return Err(Rejection::by_workflow(why)),
                // Asked again when it is admitted; what is to_bad_request for certain costs no majority's word.
                None if !self.may_admit(now, validated.class) => {
                    return Err(self.redirect_to_peers(now))
                }
                None => {
                    validated.workflow_step = Some(PermittedStep {
                        intent: intent.clone(),
                        permitted_until: now,
                    });
                    admitted_work = self
                        .evaluate_admission(now, create, &validated)
                        .map_err(Rejection::by_shedding)?;
                }
            }
        }
        let until =
            now.after((validated.time_left_s - self.settings.requests.answer_margin_s).max(0.0));
        let submitted = self
            .workflows
            .submit(now, (session, create), query, admitted_work, until);
        let (call, command) = submitted.map_err(|why| {
            self.load_shedding.request_ended(&mut admitted_work);
            Rejection::by_workflow(why)
        })?;
        self.timers.set(until, Timer::WorkflowQuery { call });
        out.push(Output::Workflow(command));
        Ok(())
    }
}
