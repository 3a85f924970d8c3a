//! The coordinator's answers, and queries whose time is over.

use bitternlatch_policy::interface::RequestId;
use bitternlatch_protocol::workflow::{Carried, Claimed};
use bitternlatch_workflow::{Call, Event, RejectReason};

use super::messages::{json, shown};
use super::types::is_transient;
use super::{PendingQuery, Stage, WorkflowAction, WorkflowQuery, Workflows};
use crate::load_shedding::AdmittedWork;
use crate::types::Micros;

impl Workflows {
    /// An answer by the workflow coordinator; one to a question that is over says nothing.
    pub(crate) fn on_event(&mut self, now: Micros, told: Event) -> Option<WorkflowAction> {
        let call = match &told {
            Event::Claimed { call, .. }
            | Event::SendPermitted { call, .. }
            | Event::AlreadyDone { call, .. }
            | Event::Committed { call }
            | Event::Rejected { call, .. } => *call,
        };
        match (self.queries.remove(&call), self.step_queries.remove(&call)) {
            (Some(query), _) => self.answer(query, told),
            (None, Some(request)) => self.answer_step(now, request, told),
            (None, None) => None,
        }
    }

    /// A question's time is over. A step's is kept once more for as long as [`Workflows::is_pending`] says: where it turns out to be
    /// permitted after all, what is open has to be closed.
    pub(crate) fn on_timeout(&mut self, call: Call) -> Option<WorkflowAction> {
        if let Some(mut query) = self.queries.remove(&call) {
            if query.abandoned {
                return None;
            }
            if matches!(query.question, WorkflowQuery::Step(_)) {
                self.queries.insert(
                    call,
                    PendingQuery {
                        abandoned: true,
                        admitted: AdmittedWork::default(),
                        ..query.clone()
                    },
                );
            }
            query.abandoned = true;
            return Some(WorkflowAction::Reject {
                query,
                why: RejectReason::NoMajority,
            });
        }
        let request = self.step_queries.remove(&call)?;
        match self.unblock(request) {
            Some(send) => Some(WorkflowAction::Send {
                request,
                send,
                may: false,
            }),
            None => self.give(request, Err(None)),
        }
    }

    pub(crate) fn is_pending(&self, call: Call) -> bool {
        self.queries.contains_key(&call)
    }

    /// The coordinator's answer to a session's query.
    fn answer(&mut self, query: PendingQuery, event: Event) -> Option<WorkflowAction> {
        if let (WorkflowQuery::Step(intent), Event::SendPermitted { until_us, .. }) =
            (&query.question, &event)
        {
            let (intent, until) = (intent.clone(), Micros(*until_us));
            return Some(match query.abandoned {
                true => WorkflowAction::SendCommand(self.never_ran(intent, until)),
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
        let known = matches!(query.question, WorkflowQuery::Step(_));
        Some(match answer_text(&query.question, event) {
            Ok(text) => WorkflowAction::Answer { query, text, known },
            Err(why) => WorkflowAction::Reject { query, why },
        })
    }

    fn answer_step(
        &mut self,
        now: Micros,
        request: RequestId,
        told: Event,
    ) -> Option<WorkflowAction> {
        let step = self.steps.get_mut(&request)?;
        match (&mut step.stage, told) {
            (
                Stage::InFlight {
                    until,
                    blocked,
                    withdrawn,
                },
                told,
            ) => {
                let send = blocked.take()?;
                let may = match told {
                    Event::SendPermitted { until_us, .. } => {
                        (*until, *withdrawn) = (Micros(until_us), false);
                        true
                    }
                    _ => false,
                };
                Some(WorkflowAction::Send { request, send, may })
            }
            (Stage::Ending { .. }, Event::Committed { .. }) => self.give(request, Ok(())),
            (Stage::Ending { until, .. }, Event::Rejected { reason: why, .. })
                if is_transient(why) && now < *until =>
            {
                Some(WorkflowAction::RetryStepEnd(request))
            }
            (Stage::Ending { .. }, Event::Rejected { reason: why, .. }) => {
                self.give(request, Err(Some(why)))
            }
            (Stage::Ending { .. }, _) => self.give(request, Err(None)),
        }
    }

    fn give(
        &mut self,
        request: RequestId,
        held: Result<(), Option<RejectReason>>,
    ) -> Option<WorkflowAction> {
        if !self.is_ending(request) {
            return None;
        }
        match self.steps.remove(&request)?.stage {
            Stage::Ending { answer, .. } => Some(WorkflowAction::Deliver {
                request,
                answer,
                held,
            }),
            Stage::InFlight { .. } => None,
        }
    }
}

/// The text of an answer that needs no model server; the error is why there is none.
fn answer_text(question: &WorkflowQuery, event: Event) -> Result<String, RejectReason> {
    match (question, event) {
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
        ) => Ok(json(&Claimed {
            epoch,
            context,
            lease_ms: lease_us / 1000,
            steps: steps.into_iter().map(shown).collect(),
        })),
        (
            WorkflowQuery::RenewLease { epoch, .. } | WorkflowQuery::Finish { epoch, .. },
            Event::Committed { .. },
        ) => Ok(json(&Carried {
            epoch: Some(*epoch),
        })),
        (WorkflowQuery::Settle { .. }, Event::Committed { .. }) => {
            Ok(json(&Carried { epoch: None }))
        }
        (_, Event::Rejected { reason, .. }) => Err(reason),
        // An answer to another query: nothing can be said for certain.
        _ => Err(RejectReason::Busy),
    }
}
