//! The coordinator's answers, and queries whose time is over.

use bitternlatch_policy::interface::RequestId;
use bitternlatch_protocol::workflow::{Carried, Claimed};
use bitternlatch_workflow::{Call, Event, RejectReason};

use super::messages::{to_claimed_step, to_json};
use super::types::is_transient;
use super::{PendingQuery, Stage, WorkflowAction, WorkflowQuery, Workflows};
use crate::load_shedding::AdmittedWork;
use crate::types::Micros;

impl Workflows {
    /// An answer by the workflow coordinator; one to a query that is over says nothing.
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

    /// A query's time is over. A step's is kept once more for as long as [`Workflows::is_pending`] says: where it turns out to be
    /// permitted after all, what is open has to be closed.
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

    pub(crate) fn is_pending(&self, call: Call) -> bool {
        self.queries.contains_key(&call)
    }

    /// The coordinator's answer to a session's query.
    fn answer(&mut self, query: PendingQuery, event: Event) -> Option<WorkflowAction> {
        if let (WorkflowQuery::Step(intent), Event::SendPermitted { until_us, .. }) =
            (&query.query, &event)
        {
            let (intent, until) = (intent.clone(), Micros(*until_us));
            return Some(match query.abandoned {
                true => WorkflowAction::SendCommand(self.report_never_ran(intent, until)),
                false => WorkflowAction::Admit {
                    query,
                    intent,
                    until,
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
                    until,
                    blocked,
                    withdrawn,
                },
                event,
            ) => {
                let send = blocked.take()?;
                let permitted = match event {
                    Event::SendPermitted { until_us, .. } => {
                        (*until, *withdrawn) = (Micros(until_us), false);
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
            (Stage::AwaitingDurability { until, .. }, Event::Rejected { reason, .. })
                if is_transient(reason) && now < *until =>
            {
                Some(WorkflowAction::RetryStepEnd(request))
            }
            (Stage::AwaitingDurability { .. }, Event::Rejected { reason, .. }) => {
                self.deliver(request, Err(Some(reason)))
            }
            (Stage::AwaitingDurability { .. }, _) => self.deliver(request, Err(None)),
        }
    }

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

/// The text of an answer that needs no model server; the error is why there is none.
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
        ) => Ok(to_json(&Carried {
            epoch: Some(*epoch),
        })),
        (WorkflowQuery::Settle { .. }, Event::Committed { .. }) => {
            Ok(to_json(&Carried { epoch: None }))
        }
        (_, Event::Rejected { reason, .. }) => Err(reason),
        // An answer to another query: nothing can be said for certain.
        _ => Err(RejectReason::Busy),
    }
}
