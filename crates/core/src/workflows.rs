//! Requests that are steps of workflows: held until their intent is, answered when their result is.
//!
//! Knows nothing of the machine: it is asked by it, and tells it what to do. Each question has an end in time, set by the machine
//! as a timer, and there is a bound on their number.

mod messages;

use std::collections::BTreeMap;

use bitternlatch_policy::interface::{RequestId, ServerId};
use bitternlatch_protocol::client::{Create, Response};
use bitternlatch_protocol::workflow::{Carried, Claimed};
use bitternlatch_workflow::{AttemptOutcome, Call, Command, Effect, Event, RejectReason};

use crate::load_shedding::AdmittedWork;
use crate::types::{Micros, SessionId};
use messages::{json, shown};
pub(crate) use messages::{name, question, refused};

/// Questions of sessions that may wait for an answer; one more is told to come back.
const MAX_PENDING_QUERIES: usize = 4096;
/// Longest that a final answer waits for its result to be held, seconds, where its request's own time is over: an answer that
/// streams may outlast it.
pub(crate) const RESULT_DURABLE_WITHIN_S: f64 = 5.0;

/// Longest that a failure waits for what is known of its step to be held, seconds.
pub(crate) const FAILURE_DURABLE_WITHIN_S: f64 = 0.5;
/// Seconds until the end of a step is told again that could not be held yet.
pub(crate) const STEP_END_RETRY_S: f64 = 0.1;

/// What a step means to do. The same under each epoch, but for the epoch.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Intent {
    pub workflow: String,
    pub epoch: u64,
    pub step: u32,
    pub effect: Effect,
    pub key: String,
    /// Digest of what is asked.
    pub asks: u64,
}

/// What a session asks before there is a request, or without one.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum WorkflowQuery {
    Claim {
        workflow: String,
        worker: String,
    },
    Carry {
        workflow: String,
        epoch: u64,
    },
    Finish {
        workflow: String,
        epoch: u64,
        cancelled: bool,
    },
    Settle {
        workflow: String,
        step: u32,
        fate: AttemptOutcome,
    },
    Step(Intent),
}

/// Who asked, and what.
#[derive(Clone, Debug)]
pub(crate) struct PendingQuery {
    pub session: SessionId,
    pub create: Box<Create>,
    pub at: Micros,
    /// What the fleet's shedding has taken of it, until it is a request or over.
    pub admitted: AdmittedWork,
    question: WorkflowQuery,
    /// Its session has closed.
    abandoned: bool,
}

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

/// A send that waits for its permission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BlockedSend {
    pub server: ServerId,
    pub timeout_s: f64,
}

/// What the machine is to do.
#[derive(Debug)]
pub(crate) enum WorkflowAction {
    /// Answer a session without a server.
    Answer {
        query: PendingQuery,
        text: String,
        known: bool,
    },
    /// Refuse a session's request.
    Refuse {
        query: PendingQuery,
        why: RejectReason,
    },
    /// Take a step's request as any other. Its intent is held, and it may leave until then.
    Go {
        query: PendingQuery,
        intent: Intent,
        until: Micros,
    },
    /// A send that waited may go, or may not.
    Send {
        request: RequestId,
        send: BlockedSend,
        may: bool,
    },
    /// Tell how a step ended once more, after [`AGAIN_S`].
    RetryStepEnd(RequestId),
    /// Give a request's final answer, or one that says why not; without a cause it was not held in time.
    Give {
        request: RequestId,
        answer: Box<Response>,
        held: Result<(), Option<RejectReason>>,
    },
    /// Tell what nobody waits for.
    Tell(Command),
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
        let until_us = until.0;
        let ask = match question.clone() {
            WorkflowQuery::Claim { workflow, worker } => Command::Claim {
                call,
                workflow,
                worker,
                until_us,
            },
            WorkflowQuery::Carry { workflow, epoch } => Command::RenewLease {
                call,
                workflow,
                epoch,
                until_us,
            },
            WorkflowQuery::Finish {
                workflow,
                epoch,
                cancelled,
            } => Command::Finish {
                call,
                workflow,
                epoch,
                cancelled,
                until_us,
            },
            WorkflowQuery::Settle {
                workflow,
                step,
                fate,
            } => Command::Settle {
                call,
                workflow,
                step,
                outcome: fate,
                until_us,
            },
            WorkflowQuery::Step(intent) => intend(call, intent, until),
        };
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
        Ok((call, ask))
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
    pub(crate) fn go(&mut self, request: RequestId, intent: Intent, until: Micros) {
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
    pub(crate) fn may_leave(&self, now: Micros, request: RequestId) -> bool {
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
    pub(crate) fn unwait(&mut self, request: RequestId) -> Option<BlockedSend> {
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

    /// An answer by the workflow coordinator; one to a question that is over says nothing.
    pub(crate) fn told(&mut self, now: Micros, told: Event) -> Option<WorkflowAction> {
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

    /// A question's time is over. A step's is kept once more for as long as [`Workflows::lingers`] says: where it turns out to be
    /// permitted after all, what is open has to be closed.
    pub(crate) fn late(&mut self, call: Call) -> Option<WorkflowAction> {
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
            return Some(WorkflowAction::Refuse {
                query,
                why: RejectReason::NoMajority,
            });
        }
        let request = self.step_queries.remove(&call)?;
        match self.unwait(request) {
            Some(send) => Some(WorkflowAction::Send {
                request,
                send,
                may: false,
            }),
            None => self.give(request, Err(None)),
        }
    }

    pub(crate) fn lingers(&self, call: Call) -> bool {
        self.queries.contains_key(&call)
    }

    fn answer(&mut self, query: PendingQuery, told: Event) -> Option<WorkflowAction> {
        let epoch_of = |q: &WorkflowQuery| match q {
            WorkflowQuery::Carry { epoch, .. } | WorkflowQuery::Finish { epoch, .. } => {
                Some(*epoch)
            }
            WorkflowQuery::Claim { .. } | WorkflowQuery::Settle { .. } | WorkflowQuery::Step(_) => {
                None
            }
        };
        match (&query.question, told) {
            (WorkflowQuery::Step(intent), Event::SendPermitted { until_us, .. }) => {
                let (intent, until) = (intent.clone(), Micros(until_us));
                Some(match query.abandoned {
                    true => WorkflowAction::Tell(self.never_ran(intent, until)),
                    false => WorkflowAction::Go {
                        query,
                        intent,
                        until,
                    },
                })
            }
            _ if query.abandoned => None,
            (WorkflowQuery::Step(_), Event::AlreadyDone { result, .. }) => {
                Some(WorkflowAction::Answer {
                    query,
                    text: result,
                    known: true,
                })
            }
            (
                WorkflowQuery::Claim { .. },
                Event::Claimed {
                    epoch,
                    context,
                    steps,
                    lease_us,
                    ..
                },
            ) => {
                let steps = steps.into_iter().map(shown).collect();
                let text = json(&Claimed {
                    epoch,
                    context,
                    lease_ms: lease_us / 1000,
                    steps,
                });
                Some(WorkflowAction::Answer {
                    query,
                    text,
                    known: false,
                })
            }
            (
                question @ (WorkflowQuery::Carry { .. }
                | WorkflowQuery::Finish { .. }
                | WorkflowQuery::Settle { .. }),
                Event::Committed { .. },
            ) => {
                let text = json(&Carried {
                    epoch: epoch_of(question),
                });
                Some(WorkflowAction::Answer {
                    query,
                    text,
                    known: false,
                })
            }
            (_, Event::Rejected { reason: why, .. }) => Some(WorkflowAction::Refuse { query, why }),
            // An answer to another question: nothing can be said for certain.
            _ => Some(WorkflowAction::Refuse {
                query,
                why: RejectReason::Busy,
            }),
        }
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
                if passing(why) && now < *until =>
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
            Stage::Ending { answer, .. } => Some(WorkflowAction::Give {
                request,
                answer,
                held,
            }),
            Stage::InFlight { .. } => None,
        }
    }
}

fn intend(call: Call, intent: Intent, until: Micros) -> Command {
    let Intent {
        workflow,
        epoch,
        step,
        effect,
        key,
        asks,
    } = intent;
    Command::Intend {
        call,
        workflow,
        epoch,
        step,
        effect,
        key,
        request_digest: asks,
        until_us: until.0,
    }
}

fn ended(call: Call, intent: Intent, fate: AttemptOutcome, until: Micros) -> Command {
    let Intent {
        workflow,
        epoch,
        step,
        ..
    } = intent;
    Command::ReportOutcome {
        call,
        workflow,
        epoch,
        step,
        outcome: fate,
        until_us: until.0,
    }
}

/// Whether a refusal says nothing of the workflow itself.
fn passing(why: RejectReason) -> bool {
    matches!(
        why,
        RejectReason::NoMajority | RejectReason::Busy | RejectReason::NotStored
    )
}

#[cfg(test)]
mod tests;
