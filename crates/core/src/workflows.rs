//! The table of workflow queries and steps. A step is sent to a model server once its intent is durably stored, and its
//! client gets the answer once the result is.
//!
//! The table does not access the machine: the machine calls it with client requests and with events of the workflow
//! coordinator, and carries out the commands and [`WorkflowAction`]s that it returns. Each query has a deadline, for which
//! the machine sets a timer, and the number of pending queries is limited.

mod events;
mod messages;
mod types;

use std::collections::BTreeMap;

use bitternlatch_policy::interface::RequestId;
use bitternlatch_protocol::client::{Create, Response};
use bitternlatch_workflow::{AttemptOutcome, Call, Command, Effect, RejectReason};

use crate::load_shedding::AdmittedWork;
use crate::types::{Micros, SessionId};

pub(crate) use messages::{qualified_name, to_bad_request, to_query};
use types::{intend_step, report_outcome};
pub(crate) use types::{BlockedSend, Intent, PendingQuery, WorkflowAction, WorkflowQuery};

/// Limit on pending queries of all sessions; a further one is rejected as [`RejectReason::Busy`], which may be retried.
const MAX_PENDING_QUERIES: usize = 4096;
/// How long a final answer may wait at least for its result to become durable, seconds. It applies where the deadline of
/// the request is nearer or past, as a streamed answer may end after that.
pub(crate) const RESULT_DURABLE_WITHIN_S: f64 = 5.0;

/// How long a failed answer may wait for the outcome of its step to become durable, seconds.
pub(crate) const FAILURE_DURABLE_WITHIN_S: f64 = 0.5;
/// Delay before the outcome of a step is reported again after a transient rejection, seconds.
pub(crate) const STEP_END_RETRY_S: f64 = 0.1;

/// How far a step has come.
#[derive(Debug)]
enum Stage {
    /// The step runs as a request.
    InFlight {
        /// When the permission to send the step expires; 0 while a new permission is requested and after
        /// it was denied.
        permitted_until: Micros,
        /// The send that waits for a new permission, as the last one had expired.
        blocked: Option<BlockedSend>,
        /// The coordinator was already notified that the step never ran. This is not reported again, as another worker may
        /// run the step by then.
        withdrawn: bool,
    },
    /// The outcome was reported, and the answer waits for it to become durable.
    AwaitingDurability {
        answer: Box<Response>,
        outcome: AttemptOutcome,
        /// When the answer is delivered at the latest, durable or not.
        deadline: Micros,
    },
}

/// A step that runs as a request or waits for its outcome to become durable.
#[derive(Debug)]
struct Step {
    intent: Intent,
    stage: Stage,
}

/// Pending queries to the workflow coordinator and the steps in flight at this dispatcher.
#[derive(Debug, Default)]
pub(crate) struct Workflows {
    /// Number of the last command sent to the coordinator.
    last_call: u64,
    /// Queries of sessions, by the number of their command.
    queries: BTreeMap<Call, PendingQuery>,
    /// Steps by the request that carries them out.
    steps: BTreeMap<RequestId, Step>,
    /// Pending commands about steps in `steps`: a request for a new send permission or a reported outcome.
    step_queries: BTreeMap<Call, RequestId>,
}

impl Workflows {
    fn next_call(&mut self) -> Call {
        self.last_call += 1;
        Call(self.last_call)
    }

    /// Adds a query of a session. Returns its number and the command for the coordinator.
    ///
    /// # Errors
    /// [`RejectReason::Busy`] where [`MAX_PENDING_QUERIES`] are pending.
    pub(crate) fn submit(
        &mut self,
        now: Micros,
        (session, create): (SessionId, &Create),
        query: WorkflowQuery,
        admitted_work: AdmittedWork,
        deadline: Micros,
    ) -> Result<(Call, Command), RejectReason> {
        if self.queries.len() >= MAX_PENDING_QUERIES {
            return Err(RejectReason::Busy);
        }
        let call = self.next_call();
        let command = query.clone().command(call, deadline);
        let create = Box::new(create.clone());
        self.queries.insert(
            call,
            PendingQuery {
                session,
                create,
                received_at: now,
                admitted_work,
                query,
                abandoned: false,
            },
        );
        Ok((call, command))
    }

    /// Looks up a step that is already in flight at this dispatcher. Returns the request that runs it, `OtherRequest` where
    /// that request asks for something else, or `Busy` where its intent is still being stored; `None` where the step is not
    /// in flight.
    pub(crate) fn in_flight(&self, intent: &Intent) -> Option<Result<RequestId, RejectReason>> {
        let same_step = |i: &Intent| {
            (&i.workflow, i.epoch, i.step) == (&intent.workflow, intent.epoch, intent.step)
        };
        if let Some((id, step)) = self.steps.iter().find(|(_, s)| same_step(&s.intent)) {
            return Some(if step.intent.request_digest == intent.request_digest {
                Ok(*id)
            } else {
                Err(RejectReason::OtherRequest)
            });
        }
        let is_same = |q: &PendingQuery| matches!(&q.query, WorkflowQuery::Step(i) if same_step(i));
        self.queries
            .values()
            .any(|q| !q.abandoned && is_same(q))
            .then_some(Err(RejectReason::Busy))
    }

    /// Number of pending queries of a session.
    pub(crate) fn pending_queries(&self, session: SessionId) -> usize {
        self.queries
            .values()
            .filter(|q| q.session == session && !q.abandoned)
            .count()
    }

    /// Whether any client waits for the coordinator: for the answer to a query or for a durable outcome.
    pub(crate) fn has_pending(&self) -> bool {
        let awaiting = |s: &Step| matches!(s.stage, Stage::AwaitingDurability { .. });
        self.queries.values().any(|q| !q.abandoned) || self.steps.values().any(awaiting)
    }

    /// Abandons the pending queries of a closed session and returns the work that load shedding had admitted for them.
    pub(crate) fn session_closed(&mut self, session: SessionId) -> Vec<AdmittedWork> {
        let of_session = self.queries.values_mut().filter(|q| q.session == session);
        let abandoned = of_session.map(|query| {
            query.abandoned = true;
            std::mem::take(&mut query.admitted_work)
        });
        abandoned.collect()
    }

    /// Adds a step that starts as this request, with a permission to send it.
    pub(crate) fn start_step(
        &mut self,
        request: RequestId,
        intent: Intent,
        permitted_until: Micros,
    ) {
        self.steps.insert(
            request,
            Step {
                intent,
                stage: Stage::InFlight {
                    permitted_until,
                    blocked: None,
                    withdrawn: false,
                },
            },
        );
    }

    /// Reports that a step whose intent is stored was not started as a request.
    pub(crate) fn report_never_ran(&mut self, intent: Intent, deadline: Micros) -> Command {
        report_outcome(self.next_call(), intent, AttemptOutcome::NeverRan, deadline)
    }

    /// Whether a request may be sent now. This is checked at each send, as the process may have been paused since the
    /// permission was granted. Requests outside workflows and safe steps in flight may always be sent.
    pub(crate) fn may_send_step(&self, now: Micros, request: RequestId) -> bool {
        self.steps
            .get(&request)
            .is_none_or(|step| match step.stage {
                Stage::InFlight {
                    permitted_until, ..
                } => step.intent.effect == Effect::Safe || now < permitted_until,
                Stage::AwaitingDurability { .. } => false,
            })
    }

    /// Time until the permission to send a step expires, seconds; `None` where the request needs no permission.
    pub(crate) fn permission_left_s(&self, now: Micros, request: RequestId) -> Option<f64> {
        match self.steps.get(&request)? {
            Step {
                intent,
                stage: Stage::InFlight {
                    permitted_until, ..
                },
            } if intent.effect != Effect::Safe => Some(permitted_until.since(now)),
            _ => None,
        }
    }

    /// Blocks a send whose permission has expired until a new one is granted. Returns the number and the commands of the
    /// request for it. Where no attempt of the step may have run, the first command reports this; it is safe, as nothing is
    /// sent until the new permission. `None` where the request is no step in flight and must not be sent.
    pub(crate) fn block_send(
        &mut self,
        request: RequestId,
        send: BlockedSend,
        may_have_run: bool,
        deadline: Micros,
    ) -> Option<(Call, Vec<Command>)> {
        let (first, call) = (self.next_call(), self.next_call());
        let step = self.steps.get_mut(&request)?;
        let Stage::InFlight {
            permitted_until,
            blocked,
            withdrawn,
        } = &mut step.stage
        else {
            return None;
        };
        let must_report = !may_have_run && !*withdrawn;
        (*permitted_until, *blocked, *withdrawn) = (Micros(0), Some(send), !may_have_run);
        let report = must_report.then(|| {
            report_outcome(
                first,
                step.intent.clone(),
                AttemptOutcome::NeverRan,
                deadline,
            )
        });
        let request_permission = intend_step(call, step.intent.clone(), deadline);
        self.step_queries.insert(call, request);
        Some((
            call,
            report.into_iter().chain([request_permission]).collect(),
        ))
    }

    /// Takes the blocked send of a request, which then no longer waits for a permission.
    pub(crate) fn take_blocked_send(&mut self, request: RequestId) -> Option<BlockedSend> {
        match &mut self.steps.get_mut(&request)?.stage {
            Stage::InFlight { blocked, .. } => blocked.take(),
            Stage::AwaitingDurability { .. } => None,
        }
    }

    /// Ends the step of a request that has its answer. The answer is held back until the reported outcome is durable.
    ///
    /// # Errors
    /// The answer, to be delivered at once: the request is no step in flight, or it never ran and this is already reported.
    pub(crate) fn end_step(
        &mut self,
        request: RequestId,
        outcome: AttemptOutcome,
        answer: Box<Response>,
        deadline: Micros,
    ) -> Result<(Call, Command), Box<Response>> {
        if self.is_withdrawn(request, &outcome) {
            self.remove_step(request);
            return Err(answer);
        }
        let call = self.next_call();
        match self.steps.get_mut(&request) {
            Some(step) if matches!(step.stage, Stage::InFlight { .. }) => {
                step.stage = Stage::AwaitingDurability {
                    answer,
                    outcome: outcome.clone(),
                    deadline,
                };
                let intent = step.intent.clone();
                self.step_queries.retain(|_, of| *of != request);
                self.step_queries.insert(call, request);
                Ok((call, report_outcome(call, intent, outcome, deadline)))
            }
            _ => Err(answer),
        }
    }

    /// Reports the outcome of a step again while its answer waits for it to become durable. Returns the number, the deadline
    /// and the command.
    pub(crate) fn resend_step_end(
        &mut self,
        request: RequestId,
    ) -> Option<(Call, Micros, Command)> {
        let call = self.next_call();
        let step = self.steps.get(&request)?;
        let Stage::AwaitingDurability {
            outcome, deadline, ..
        } = &step.stage
        else {
            return None;
        };
        let (deadline, command) = (
            *deadline,
            report_outcome(call, step.intent.clone(), outcome.clone(), *deadline),
        );
        self.step_queries.insert(call, request);
        Some((call, deadline, command))
    }

    /// Whether the outcome is that the step never ran and this is already reported.
    fn is_withdrawn(&self, request: RequestId, outcome: &AttemptOutcome) -> bool {
        let withdrawn = |s: &Step| {
            matches!(
                s.stage,
                Stage::InFlight {
                    withdrawn: true,
                    ..
                }
            )
        };
        *outcome == AttemptOutcome::NeverRan && self.steps.get(&request).is_some_and(withdrawn)
    }

    /// Removes a step and its pending commands.
    fn remove_step(&mut self, request: RequestId) -> Option<Step> {
        self.step_queries.retain(|_, of| *of != request);
        self.steps.remove(&request)
    }

    /// Whether the answer of a request waits for its outcome to become durable.
    pub(crate) fn is_awaiting_durability(&self, request: RequestId) -> bool {
        self.steps
            .get(&request)
            .is_some_and(|s| matches!(s.stage, Stage::AwaitingDurability { .. }))
    }

    /// Removes a step whose answer no client waits for, and returns the report of its outcome. `None` where the request is no
    /// step in flight, or the outcome is already reported.
    pub(crate) fn abandon_step(
        &mut self,
        request: RequestId,
        outcome: AttemptOutcome,
        deadline: Micros,
    ) -> Option<Command> {
        if self.is_awaiting_durability(request) {
            return None;
        }
        let already_reported = self.is_withdrawn(request, &outcome);
        let step = self.remove_step(request).filter(|_| !already_reported)?;
        Some(report_outcome(
            self.next_call(),
            step.intent,
            outcome,
            deadline,
        ))
    }
}

#[cfg(test)]
mod tests;
