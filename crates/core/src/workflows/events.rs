//! Handles answers of the workflow coordinator and time-outs of queries.

use bitternlatch_policy::interface::RequestId;
use bitternlatch_protocol::workflow::{Claimed, OperationResult};
use bitternlatch_workflow::{Call, Event, RejectReason};

use super::messages::{to_claimed_step, to_json};
use super::types::is_transient;
use super::{PendingQuery, Stage, WorkflowAction, WorkflowQuery, Workflows};
use crate::load_shedding::AdmittedWork;
use crate::types::Micros;

impl Workflows {
    /// Handles an answer of the workflow coordinator; an answer to a query that is no longer pending is ignored.
    pub(crate) fn on_event(&mut self, now: Micros, event: Event) -> Option<WorkflowAction> {
        let call = match &event {
            Event::Claimed { call, .. }
            | Event::SendPermitted { call, .. }
            | Event::AlreadyDone { call, .. }
            | Event::Committed { call }
            | Event::Rejected { call, .. } => *call,
        };
        match (self.queries.remove(&call), self.step_queries.remove(&call)) {
            (Some(query), _) => self.answer(query, event),
            (None, Some(request)) => self.on_step_event(now, request, event),
            (None, None) => None,
        }
    }

    /// Handles the time-out of a query. The query of a step is rejected to its client but stays in the table, abandoned, for
    /// one further time-out (see [`Workflows::is_pending`]): where its intent is stored after all, the step has to be
    /// reported as never run.
    pub(crate) fn on_timeout(&mut self, call: Call) -> Option<WorkflowAction> {
        if let Some(mut query) = self.queries.remove(&call) {
            if query.abandoned {
                return None;
            }
            if matches!(query.query, WorkflowQuery::Step(_)) {
                self.queries.insert(
                    call,
                    PendingQuery {
                        abandoned: true,
                        admitted_work: AdmittedWork::default(),
                        ..query.clone()
                    },
                );
            }
            query.abandoned = true;
            return Some(WorkflowAction::Reject {
                query,
                reason: RejectReason::NoMajority,
            });
        }
        let request = self.step_queries.remove(&call)?;
        match self.take_blocked_send(request) {
            Some(send) => Some(WorkflowAction::ResumeSend {
                request,
                send,
                permitted: false,
            }),
            None => self.deliver(request, Err(None)),
        }
    }

    /// Whether a query of a session, abandoned or not, is still in the table.
    pub(crate) fn is_pending(&self, call: Call) -> bool {
        self.queries.contains_key(&call)
    }

    /// Handles an answer of the coordinator to a query of a session.
    fn answer(&mut self, query: PendingQuery, event: Event) -> Option<WorkflowAction> {
        if let (WorkflowQuery::Step(intent), Event::SendPermitted { until_us, .. }) =
            (&query.query, &event)
        {
            let (intent, permitted_until) = (intent.clone(), Micros(*until_us));
            return Some(match query.abandoned {
                true => WorkflowAction::SendCommand(self.report_never_ran(intent, permitted_until)),
                false => WorkflowAction::Admit {
                    query,
                    intent,
                    permitted_until,
                },
            });
        }
        if query.abandoned {
            return None;
        }
        let is_step_result = matches!(query.query, WorkflowQuery::Step(_));
        Some(match answer_text(&query.query, event) {
            Ok(text) => WorkflowAction::Answer {
                query,
                text,
                is_step_result,
            },
            Err(reason) => WorkflowAction::Reject { query, reason },
        })
    }

    /// Handles an answer of the coordinator about a step that runs as a request or waits for its outcome to become durable.
    fn on_step_event(
        &mut self,
        now: Micros,
        request: RequestId,
        event: Event,
    ) -> Option<WorkflowAction> {
        let step = self.steps.get_mut(&request)?;
        match (&mut step.stage, event) {
            (
                Stage::InFlight {
                    permitted_until,
                    blocked,
                    withdrawn,
                },
                event,
            ) => {
                let send = blocked.take()?;
                let permitted = match event {
                    Event::SendPermitted { until_us, .. } => {
                        (*permitted_until, *withdrawn) = (Micros(until_us), false);
                        true
                    }
                    _ => false,
                };
                Some(WorkflowAction::ResumeSend {
                    request,
                    send,
                    permitted,
                })
            }
            (Stage::AwaitingDurability { .. }, Event::Committed { .. }) => {
                self.deliver(request, Ok(()))
            }
            (Stage::AwaitingDurability { deadline, .. }, Event::Rejected { reason, .. })
                if is_transient(reason) && now < *deadline =>
            {
                Some(WorkflowAction::RetryStepEnd(request))
            }
            (Stage::AwaitingDurability { .. }, Event::Rejected { reason, .. }) => {
                self.deliver(request, Err(Some(reason)))
            }
            (Stage::AwaitingDurability { .. }, _) => self.deliver(request, Err(None)),
        }
    }

    /// Removes a step whose answer waits for durability, and has its answer delivered.
    fn deliver(
        &mut self,
        request: RequestId,
        durable: Result<(), Option<RejectReason>>,
    ) -> Option<WorkflowAction> {
        if !self.is_awaiting_durability(request) {
            return None;
        }
        match self.steps.remove(&request)?.stage {
            Stage::AwaitingDurability { answer, .. } => Some(WorkflowAction::Deliver {
                request,
                answer,
                durable,
            }),
            Stage::InFlight { .. } => None,
        }
    }
}

/// The text that answers a query without a model server.
///
/// # Errors
/// Why the coordinator rejected the query.
fn answer_text(query: &WorkflowQuery, event: Event) -> Result<String, RejectReason> {
    match (query, event) {
        (WorkflowQuery::Step(_), Event::AlreadyDone { result, .. }) => Ok(result),
        (
            WorkflowQuery::Claim { .. },
            Event::Claimed {
                epoch,
                context,
                steps,
                lease_us,
                ..
            },
        ) => Ok(to_json(&Claimed {
            epoch,
            context,
            lease_ms: lease_us / 1000,
            steps: steps.into_iter().map(to_claimed_step).collect(),
        })),
        (
            WorkflowQuery::RenewLease { epoch, .. } | WorkflowQuery::Finish { epoch, .. },
            Event::Committed { .. },
        ) => Ok(to_json(&OperationResult {
            epoch: Some(*epoch),
        })),
        (WorkflowQuery::Settle { .. }, Event::Committed { .. }) => {
            Ok(to_json(&OperationResult { epoch: None }))
        }
        (_, Event::Rejected { reason, .. }) => Err(reason),
        // The event does not answer this kind of query, so the outcome of the query is unknown.
        _ => Err(RejectReason::Busy),
    }
}
