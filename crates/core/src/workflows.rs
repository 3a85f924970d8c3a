//! Requests that are steps of workflows: held until their intent is, answered when their result is.
//!
//! Knows nothing of the machine: it is asked by it, and tells it what to do. Each question has an end in time, set by the machine
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

pub(crate) use messages::{name, question, refused};
use types::{ended, intend};
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
    /// May leave until then. What was to leave later waits, with the question that would permit it again.
    InFlight {
        until: Micros,
        blocked: Option<BlockedSend>,
        /// That nothing of it ran is told already; it is not told twice, as another one may have it by then.
        withdrawn: bool,
    },
    /// Its answer is there and waits, until then, for its result to be held.
    Ending {
        answer: Box<Response>,
        fate: AttemptOutcome,
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
    calls: u64,
    queries: BTreeMap<Call, PendingQuery>,
    steps: BTreeMap<RequestId, Step>,
    /// Questions about steps that go on.
    step_queries: BTreeMap<Call, RequestId>,
}

impl Workflows {
    fn call(&mut self) -> Call {
        self.calls += 1;
        Call(self.calls)
    }

    /// Takes a session's question; gives its number and what to tell.
    ///
    /// # Errors
    /// [`RejectReason::Busy`] at the bound.
    pub(crate) fn ask(
        &mut self,
        now: Micros,
        (session, create): (SessionId, &Create),
        question: WorkflowQuery,
        admitted: AdmittedWork,
        until: Micros,
    ) -> Result<(Call, Command), RejectReason> {
        if self.queries.len() >= MAX_PENDING_QUERIES {
            return Err(RejectReason::Busy);
        }
        let call = self.call();
        let command = question.clone().command(call, until);
        let create = Box::new(create.clone());
        self.queries.insert(
            call,
            PendingQuery {
                session,
                create,
                at: now,
                admitted,
                question,
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
            return Some(if step.intent.asks == wanted.asks {
                Ok(*id)
            } else {
                Err(RejectReason::OtherRequest)
            });
        }
        let blocked = |a: &PendingQuery| matches!(&a.question, WorkflowQuery::Step(i) if same(i));
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
        let ending = |s: &Step| matches!(s.stage, Stage::Ending { .. });
        self.queries.values().any(|a| !a.abandoned) || self.steps.values().any(ending)
    }

    /// Gives back what was taken of those that nobody waits for now.
    pub(crate) fn session_closed(&mut self, session: SessionId) -> Vec<AdmittedWork> {
        let of_session = self.queries.values_mut().filter(|a| a.session == session);
        let abandoned = of_session.map(|query| {
            query.abandoned = true;
            std::mem::take(&mut query.admitted)
        });
        abandoned.collect()
    }

    /// A step goes on as this request.
    pub(crate) fn start(&mut self, request: RequestId, intent: Intent, until: Micros) {
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
    pub(crate) fn never_ran(&mut self, intent: Intent, until: Micros) -> Command {
        ended(self.call(), intent, AttemptOutcome::NeverRan, until)
    }

    /// Whether a request's effect may leave at this moment: checked at the act, as the process may have stood still since it was
    /// permitted. What is no step, or is safe, always may.
    pub(crate) fn may_send(&self, now: Micros, request: RequestId) -> bool {
        self.steps
            .get(&request)
            .is_none_or(|step| match step.stage {
                Stage::InFlight { until, .. } => step.intent.effect == Effect::Safe || now < until,
                Stage::Ending { .. } => false,
            })
    }

    /// Seconds for which a step's effect may still leave; none where that does not end.
    pub(crate) fn left_s(&self, now: Micros, request: RequestId) -> Option<f64> {
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
    pub(crate) fn wait(
        &mut self,
        request: RequestId,
        send: BlockedSend,
        may_have_run: bool,
        ends: Micros,
    ) -> Option<(Call, Vec<Command>)> {
        let (first, call) = (self.call(), self.call());
        let step = self.steps.get_mut(&request)?;
        let Stage::InFlight {
            until,
            blocked,
            withdrawn,
        } = &mut step.stage
        else {
            return None;
        };
        let tells = !may_have_run && !*withdrawn;
        (*until, *blocked, *withdrawn) = (Micros(0), Some(send), !may_have_run);
        let never =
            tells.then(|| ended(first, step.intent.clone(), AttemptOutcome::NeverRan, ends));
        let again = intend(call, step.intent.clone(), ends);
        self.step_queries.insert(call, request);
        Some((call, never.into_iter().chain([again]).collect()))
    }

    /// A send that waits is not to be any more.
    pub(crate) fn unblock(&mut self, request: RequestId) -> Option<BlockedSend> {
        match &mut self.steps.get_mut(&request)?.stage {
            Stage::InFlight { blocked, .. } => blocked.take(),
            Stage::Ending { .. } => None,
        }
    }

    /// A step's request has its answer: it is kept back until what became of the step is held. `Err` gives the answer back where
    /// the request is no step, or is none any more.
    pub(crate) fn end(
        &mut self,
        request: RequestId,
        fate: AttemptOutcome,
        answer: Box<Response>,
        until: Micros,
    ) -> Result<(Call, Command), Box<Response>> {
        if self.is_withdrawn(request, &fate) {
            self.forget(request);
            return Err(answer);
        }
        let call = self.call();
        match self.steps.get_mut(&request) {
            Some(step) if matches!(step.stage, Stage::InFlight { .. }) => {
                step.stage = Stage::Ending {
                    answer,
                    fate: fate.clone(),
                    until,
                };
                let intent = step.intent.clone();
                self.step_queries.retain(|_, of| *of != request);
                self.step_queries.insert(call, request);
                Ok((call, ended(call, intent, fate, until)))
            }
            _ => Err(answer),
        }
    }

    /// The end of a step that waits, told once more.
    pub(crate) fn resend_step_end(
        &mut self,
        request: RequestId,
    ) -> Option<(Call, Micros, Command)> {
        let call = self.call();
        let step = self.steps.get(&request)?;
        let Stage::Ending { fate, until, .. } = &step.stage else {
            return None;
        };
        let (until, ask) = (
            *until,
            ended(call, step.intent.clone(), fate.clone(), *until),
        );
        self.step_queries.insert(call, request);
        Some((call, until, ask))
    }

    fn is_withdrawn(&self, request: RequestId, fate: &AttemptOutcome) -> bool {
        let withdrawn = |s: &Step| {
            matches!(
                s.stage,
                Stage::InFlight {
                    withdrawn: true,
                    ..
                }
            )
        };
        *fate == AttemptOutcome::NeverRan && self.steps.get(&request).is_some_and(withdrawn)
    }

    fn forget(&mut self, request: RequestId) -> Option<Step> {
        self.step_queries.retain(|_, of| *of != request);
        self.steps.remove(&request)
    }

    pub(crate) fn is_ending(&self, request: RequestId) -> bool {
        self.steps
            .get(&request)
            .is_some_and(|s| matches!(s.stage, Stage::Ending { .. }))
    }

    /// Nobody waits for a step's answer any more; what became of it is told all the same.
    pub(crate) fn abandon(
        &mut self,
        request: RequestId,
        fate: AttemptOutcome,
        until: Micros,
    ) -> Option<Command> {
        if self.is_ending(request) {
            return None;
        }
        let known = self.is_withdrawn(request, &fate);
        let step = self.forget(request).filter(|_| !known)?;
        Some(ended(self.call(), step.intent, fate, until))
    }
}

#[cfg(test)]
mod tests;
