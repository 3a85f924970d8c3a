//! Requests about workflows: sends them to the workflow coordinator as queries, and carries out what its answers require.

use bitternlatch_policy::interface::RequestId;
use bitternlatch_protocol::client::{BadRequest, Create, Response, Status};
use bitternlatch_protocol::workflow::{self, WorkflowRequest};
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
    /// Reports the outcome of a workflow step and holds its final answer back until the outcome is durable. Returns the
    /// answer where it may be delivered at once, as that of a request outside workflows.
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
        // A failed answer promises no result, so it is delivered soon even if the outcome is not durable yet.
        let deadline = match &outcome {
            AttemptOutcome::Done { .. } => request.deadline.max(now.after(RESULT_DURABLE_WITHIN_S)),
            _ => now.after(FAILURE_DURABLE_WITHIN_S),
        };
        self.cancel_blocked_send(id);
        match self
            .workflows
            .end_step(id, outcome, Box::new(answer), deadline)
        {
            Ok((call, command)) => {
                self.timers.set(deadline, Timer::WorkflowQuery { call });
                out.push(Output::Workflow(command));
                None
            }
            Err(answer) => Some(*answer),
        }
    }

    /// Reports the outcome of a workflow step again, after a transient rejection by the coordinator.
    pub(crate) fn resend_step_end(&mut self, id: RequestId, out: &mut Vec<Output>) {
        if let Some((call, deadline, command)) = self.workflows.resend_step_end(id) {
            self.timers.set(deadline, Timer::WorkflowQuery { call });
            out.push(Output::Workflow(command));
        }
    }

    /// Reports the outcome of a workflow step whose request was abandoned, as no client waits for its answer.
    pub(crate) fn abandon_step(&mut self, now: Micros, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id).filter(|r| r.is_workflow_step) else {
            return;
        };
        let deadline = request.deadline.max(now.after(RESULT_DURABLE_WITHIN_S));
        let outcome = request.unfinished_outcome();
        self.cancel_blocked_send(id);
        let command = self.workflows.abandon_step(id, outcome, deadline);
        out.extend(command.map(Output::Workflow));
    }

    /// Carries out what follows from an answer of the workflow coordinator, or from the time-out of a query.
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
                permitted_until,
            }) => self.admit_step(now, query, intent, permitted_until, out),
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

    /// Admits the request of a workflow step whose intent is stored, in the time left of its deadline. Where it is rejected
    /// now, the coordinator is notified that the step never ran.
    pub(crate) fn admit_step(
        &mut self,
        now: Micros,
        mut query: PendingQuery,
        intent: Intent,
        permitted_until: Micros,
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
                    permitted_until,
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

    /// Answers a query without a model server: with the state of a workflow, or with the stored result of a completed step.
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
        // The answer repeats that of a completed step, so a later request may continue its conversation as well.
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

    /// Delivers the final answer of a workflow step. A result that did not become durable is replaced by a failure; a failed
    /// answer is delivered as it is.
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

    /// The workflow operation that the metadata of a request name; `None` outside workflows and where they are disabled.
    ///
    /// # Errors
    /// The metadata are invalid.
    pub(crate) fn workflow_operation(
        &self,
        create: &Create,
    ) -> Result<Option<WorkflowRequest>, BadRequest> {
        let enabled = self
            .settings
            .cluster
            .as_ref()
            .is_some_and(|c| c.workflows.is_some());
        if enabled {
            workflow::parse(&create.metadata)
        } else {
            Ok(None)
        }
    }

    /// Sends a request about a workflow to the coordinator as a query. A step that is already in flight here is attached to
    /// the request that runs it. The client is answered when the coordinator answers, see [`Machine::on_workflow`].
    ///
    /// # Errors
    /// The rejection of a request that is not sent to the coordinator.
    pub(crate) fn query_workflow(
        &mut self,
        now: Micros,
        session: SessionId,
        create: &Create,
        mut validated: ValidatedRequest,
        workflow_operation: WorkflowRequest,
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
        let query = workflows::to_query(workflow, workflow_operation.operation, create, class, key);
        let mut admitted_work = AdmittedWork::default();
        if let WorkflowQuery::Step(intent) = &query {
            match self.workflows.in_flight(intent) {
                Some(Ok(id)) => return Ok(self.attach(session, id, create, out)?),
                Some(Err(reason)) => return Err(Rejection::by_workflow(reason)),
                // Also checked when the step is admitted; rejecting it here saves a write to a majority of replicas.
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
        let deadline =
            now.after((validated.time_left_s - self.settings.requests.answer_margin_s).max(0.0));
        let submitted =
            self.workflows
                .submit(now, (session, create), query, admitted_work, deadline);
        let (call, command) = submitted.map_err(|reason| {
            self.load_shedding.request_ended(&mut admitted_work);
            Rejection::by_workflow(reason)
        })?;
        self.timers.set(deadline, Timer::WorkflowQuery { call });
        out.push(Output::Workflow(command));
        Ok(())
    }
}
