//! Requests that are steps of workflows: held until their intent is, answered when their result is.
//!
//! Knows nothing of the machine: it is asked by it, and must_report it what to do. Each query has an end in time, set by the machine
//! as a timer, and there is a bound on their number.

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

/// Questions of sessions that may wait for an answer; one more is told to come back.
const MAX_PENDING_QUERIES: usize = 4096;
/// Longest that a final answer waits for its result to be held, seconds, where its request's own time is over: an answer that
/// streams may outlast it.
pub(crate) const RESULT_DURABLE_WITHIN_S: f64 = 5.0;

/// Longest that a failure waits for what is known of its step to be held, seconds.
pub(crate) const FAILURE_DURABLE_WITHIN_S: f64 = 0.5;
/// Seconds until the end of a step is told again that could not be held yet.
pub(crate) const STEP_END_RETRY_S: f64 = 0.1;

#[derive(Debug)]
enum Stage {
    /// May leave until then. What was to leave later waits, with the query that would permit it again.
    InFlight {
        until: Micros,
        blocked: Option<BlockedSend>,
        /// That nothing of it ran is told already; it is not told twice, as another one may have it by then.
        withdrawn: bool,
    },
    /// Its answer is there and waits, until then, for its result to be held.
    AwaitingDurability {
        answer: Box<Response>,
        outcome: AttemptOutcome,
        until: Micros,
    },
}

#[derive(Debug)]
struct Step {
    intent: Intent,
    stage: Stage,
}

#[derive(Debug, Default)]
pub(crate) struct Workflows {
    last_call: u64,
    queries: BTreeMap<Call, PendingQuery>,
    steps: BTreeMap<RequestId, Step>,
    /// Questions about steps that go on.
    step_queries: BTreeMap<Call, RequestId>,
}

impl Workflows {
    fn next_call(&mut self) -> Call {
        self.last_call += 1;
        Call(self.last_call)
    }

    /// Takes a session's query; gives its number and what to tell.
    ///
    /// # Errors
    /// [`RejectReason::Busy`] at the bound.
    pub(crate) fn submit(
        &mut self,
        now: Micros,
        (session, create): (SessionId, &Create),
        query: WorkflowQuery,
        admitted_work: AdmittedWork,
        until: Micros,
    ) -> Result<(Call, Command), RejectReason> {
        if self.queries.len() >= MAX_PENDING_QUERIES {
            return Err(RejectReason::Busy);
        }
        let call = self.next_call();
        let command = query.clone().command(call, until);
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

    /// Whether a step is in flight here: under way as a request, or not to be taken now.
    pub(crate) fn in_flight(&self, wanted: &Intent) -> Option<Result<RequestId, RejectReason>> {
        let same = |i: &Intent| {
            (&i.workflow, i.epoch, i.step) == (&wanted.workflow, wanted.epoch, wanted.step)
        };
        if let Some((id, step)) = self.steps.iter().find(|(_, s)| same(&s.intent)) {
            return Some(if step.intent.request_digest == wanted.request_digest {
                Ok(*id)
            } else {
                Err(RejectReason::OtherRequest)
            });
        }
        let blocked = |a: &PendingQuery| matches!(&a.query, WorkflowQuery::Step(i) if same(i));
        self.queries
            .values()
            .any(|a| !a.abandoned && blocked(a))
            .then_some(Err(RejectReason::Busy))
    }

    /// Questions in flight for a session.
    pub(crate) fn pending_queries(&self, session: SessionId) -> usize {
        self.queries
            .values()
            .filter(|a| a.session == session && !a.abandoned)
            .count()
    }

    /// Whether anything waits for an answer.
    pub(crate) fn has_pending(&self) -> bool {
        let ending = |s: &Step| matches!(s.stage, Stage::AwaitingDurability { .. });
        self.queries.values().any(|a| !a.abandoned) || self.steps.values().any(ending)
    }

    /// Gives back what was taken of those that nobody waits for now.
    pub(crate) fn session_closed(&mut self, session: SessionId) -> Vec<AdmittedWork> {
        let of_session = self.queries.values_mut().filter(|a| a.session == session);
        let abandoned = of_session.map(|query| {
            query.abandoned = true;
            std::mem::take(&mut query.admitted_work)
        });
        abandoned.collect()
    }

    /// A step goes on as this request.
    pub(crate) fn start_step(&mut self, request: RequestId, intent: Intent, until: Micros) {
        self.steps.insert(
            request,
            Step {
                intent,
                stage: Stage::InFlight {
                    until,
                    blocked: None,
                    withdrawn: false,
                },
            },
        );
    }

    /// A step whose intent is held was not taken as a request after all.
    pub(crate) fn report_never_ran(&mut self, intent: Intent, until: Micros) -> Command {
        report_outcome(self.next_call(), intent, AttemptOutcome::NeverRan, until)
    }

    /// Whether a request's effect may leave at this moment: checked at the act, as the process may have stood still since it was
    /// permitted. What is no step, or is safe, always may.
    pub(crate) fn may_send_step(&self, now: Micros, request: RequestId) -> bool {
        self.steps
            .get(&request)
            .is_none_or(|step| match step.stage {
                Stage::InFlight { until, .. } => step.intent.effect == Effect::Safe || now < until,
                Stage::AwaitingDurability { .. } => false,
            })
    }

    /// Seconds for which a step's effect may still leave; none where that does not end.
    pub(crate) fn permission_left_s(&self, now: Micros, request: RequestId) -> Option<f64> {
        match self.steps.get(&request)? {
            Step {
                intent,
                stage: Stage::InFlight { until, .. },
            } if intent.effect != Effect::Safe => Some(until.since(now)),
            _ => None,
        }
    }

    /// A send whose permission has passed waits for another one; gives what to tell. Where nothing of the step may have run that
    /// is told first: until it is permitted again nothing leaves. `None`: it is not to be sent.
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
            until,
            blocked,
            withdrawn,
        } = &mut step.stage
        else {
            return None;
        };
        let must_report = !may_have_run && !*withdrawn;
        (*until, *blocked, *withdrawn) = (Micros(0), Some(send), !may_have_run);
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

    /// A send that waits is not to be any more.
    pub(crate) fn take_blocked_send(&mut self, request: RequestId) -> Option<BlockedSend> {
        match &mut self.steps.get_mut(&request)?.stage {
            Stage::InFlight { blocked, .. } => blocked.take(),
            Stage::AwaitingDurability { .. } => None,
        }
    }

    /// A step's request has its answer: it is kept back until what became of the step is held. `Err` gives the answer back where
    /// the request is no step, or is none any more.
    pub(crate) fn end_step(
        &mut self,
        request: RequestId,
        outcome: AttemptOutcome,
        answer: Box<Response>,
        until: Micros,
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
                    until,
                };
                let intent = step.intent.clone();
                self.step_queries.retain(|_, of| *of != request);
                self.step_queries.insert(call, request);
                Ok((call, report_outcome(call, intent, outcome, until)))
            }
            _ => Err(answer),
        }
    }

    /// The end of a step that waits, told once more.
    pub(crate) fn resend_step_end(
        &mut self,
        request: RequestId,
    ) -> Option<(Call, Micros, Command)> {
        let call = self.next_call();
        let step = self.steps.get(&request)?;
        let Stage::AwaitingDurability { outcome, until, .. } = &step.stage else {
            return None;
        };
        let (until, ask) = (
            *until,
            report_outcome(call, step.intent.clone(), outcome.clone(), *until),
        );
        self.step_queries.insert(call, request);
        Some((call, until, ask))
    }

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

    fn remove_step(&mut self, request: RequestId) -> Option<Step> {
        self.step_queries.retain(|_, of| *of != request);
        self.steps.remove(&request)
    }

    pub(crate) fn is_awaiting_durability(&self, request: RequestId) -> bool {
        self.steps
            .get(&request)
            .is_some_and(|s| matches!(s.stage, Stage::AwaitingDurability { .. }))
    }

    /// Nobody waits for a step's answer any more; what became of it is told all the same.
    pub(crate) fn abandon_step(
        &mut self,
        request: RequestId,
        outcome: AttemptOutcome,
        until: Micros,
    ) -> Option<Command> {
        if self.is_awaiting_durability(request) {
            return None;
        }
        let known = self.is_withdrawn(request, &outcome);
        let step = self.remove_step(request).filter(|_| !known)?;
        Some(report_outcome(
            self.next_call(),
            step.intent,
            outcome,
            until,
        ))
    }
}

#[cfg(test)]
mod tests;
