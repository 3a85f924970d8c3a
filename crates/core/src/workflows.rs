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

use crate::load_shedding::Counted;
use crate::types::{Micros, SessionId};
use messages::{json, shown};
pub(crate) use messages::{name, question, refused};

/// Questions of sessions that may wait for an answer; one more is told to come back.
const ASKED_MOST: usize = 4096;
/// Longest that a final answer waits for its result to be held, seconds, where its request's own time is over: an answer that
/// streams may outlast it.
pub(crate) const HELD_WITHIN_S: f64 = 5.0;

/// Longest that a failure waits for what is known of its step to be held, seconds.
pub(crate) const FAILED_WITHIN_S: f64 = 0.5;
/// Seconds until the end of a step is told again that could not be held yet.
pub(crate) const AGAIN_S: f64 = 0.1;

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
pub(crate) enum Question {
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
pub(crate) struct Asked {
    pub session: SessionId,
    pub create: Box<Create>,
    pub at: Micros,
    /// What the fleet's shedding has taken of it, until it is a request or over.
    pub counted: Counted,
    question: Question,
    /// Its session has closed.
    gone: bool,
}

#[derive(Debug)]
enum Stage {
    /// May leave until then. What was to leave later waits, with the question that would permit it again.
    Going {
        until: Micros,
        waits: Option<Waits>,
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
pub(crate) struct Waits {
    pub host: ServerId,
    pub timeout_s: f64,
}

/// What the machine is to do.
#[derive(Debug)]
pub(crate) enum Act {
    /// Answer a session without a host.
    Answer {
        asked: Asked,
        text: String,
        known: bool,
    },
    /// Refuse a session's request.
    Refuse { asked: Asked, why: RejectReason },
    /// Take a step's request as any other. Its intent is held, and it may leave until then.
    Go {
        asked: Asked,
        intent: Intent,
        until: Micros,
    },
    /// A send that waited may go, or may not.
    Send {
        request: RequestId,
        send: Waits,
        may: bool,
    },
    /// Tell how a step ended once more, after [`AGAIN_S`].
    Again(RequestId),
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
    asked: BTreeMap<Call, Asked>,
    steps: BTreeMap<RequestId, Step>,
    /// Questions about steps that go on.
    of_steps: BTreeMap<Call, RequestId>,
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
        question: Question,
        counted: Counted,
        until: Micros,
    ) -> Result<(Call, Command), RejectReason> {
        if self.asked.len() >= ASKED_MOST {
            return Err(RejectReason::Busy);
        }
        let call = self.call();
        let until_us = until.0;
        let ask = match question.clone() {
            Question::Claim { workflow, worker } => Command::Claim {
                call,
                workflow,
                worker,
                until_us,
            },
            Question::Carry { workflow, epoch } => Command::RenewLease {
                call,
                workflow,
                epoch,
                until_us,
            },
            Question::Finish {
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
            Question::Settle {
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
            Question::Step(intent) => intend(call, intent, until),
        };
        let create = Box::new(create.clone());
        self.asked.insert(
            call,
            Asked {
                session,
                create,
                at: now,
                counted,
                question,
                gone: false,
            },
        );
        Ok((call, ask))
    }

    /// Whether a step is in hand here: under way as a request, or not to be taken now.
    pub(crate) fn in_hand(&self, wanted: &Intent) -> Option<Result<RequestId, RejectReason>> {
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
        let waits = |a: &Asked| matches!(&a.question, Question::Step(i) if same(i));
        self.asked
            .values()
            .any(|a| !a.gone && waits(a))
            .then_some(Err(RejectReason::Busy))
    }

    /// Questions in hand for a session.
    pub(crate) fn asked_by(&self, session: SessionId) -> usize {
        self.asked
            .values()
            .filter(|a| a.session == session && !a.gone)
            .count()
    }

    /// Whether anything waits for an answer.
    pub(crate) fn waits(&self) -> bool {
        let ending = |s: &Step| matches!(s.stage, Stage::Ending { .. });
        self.asked.values().any(|a| !a.gone) || self.steps.values().any(ending)
    }

    /// Gives back what was taken of those that nobody waits for now.
    pub(crate) fn session_closed(&mut self, session: SessionId) -> Vec<Counted> {
        let of_session = self.asked.values_mut().filter(|a| a.session == session);
        let gone = of_session.map(|asked| {
            asked.gone = true;
            std::mem::take(&mut asked.counted)
        });
        gone.collect()
    }

    /// A step goes on as this request.
    pub(crate) fn go(&mut self, request: RequestId, intent: Intent, until: Micros) {
        self.steps.insert(
            request,
            Step {
                intent,
                stage: Stage::Going {
                    until,
                    waits: None,
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
                Stage::Going { until, .. } => step.intent.effect == Effect::Safe || now < until,
                Stage::Ending { .. } => false,
            })
    }

    /// Seconds for which a step's effect may still leave; none where that does not end.
    pub(crate) fn left_s(&self, now: Micros, request: RequestId) -> Option<f64> {
        match self.steps.get(&request)? {
            Step {
                intent,
                stage: Stage::Going { until, .. },
            } if intent.effect != Effect::Safe => Some(until.since(now)),
            _ => None,
        }
    }

    /// A send whose permission has passed waits for another one; gives what to tell. Where nothing of the step may have run that
    /// is told first: until it is permitted again nothing leaves. `None`: it is not to be sent.
    pub(crate) fn wait(
        &mut self,
        request: RequestId,
        send: Waits,
        may_have_run: bool,
        ends: Micros,
    ) -> Option<(Call, Vec<Command>)> {
        let (first, call) = (self.call(), self.call());
        let step = self.steps.get_mut(&request)?;
        let Stage::Going {
            until,
            waits,
            withdrawn,
        } = &mut step.stage
        else {
            return None;
        };
        let tells = !may_have_run && !*withdrawn;
        (*until, *waits, *withdrawn) = (Micros(0), Some(send), !may_have_run);
        let never =
            tells.then(|| ended(first, step.intent.clone(), AttemptOutcome::NeverRan, ends));
        let again = intend(call, step.intent.clone(), ends);
        self.of_steps.insert(call, request);
        Some((call, never.into_iter().chain([again]).collect()))
    }

    /// A send that waits is not to be any more.
    pub(crate) fn unwait(&mut self, request: RequestId) -> Option<Waits> {
        match &mut self.steps.get_mut(&request)?.stage {
            Stage::Going { waits, .. } => waits.take(),
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
            Some(step) if matches!(step.stage, Stage::Going { .. }) => {
                step.stage = Stage::Ending {
                    answer,
                    fate: fate.clone(),
                    until,
                };
                let intent = step.intent.clone();
                self.of_steps.retain(|_, of| *of != request);
                self.of_steps.insert(call, request);
                Ok((call, ended(call, intent, fate, until)))
            }
            _ => Err(answer),
        }
    }

    /// The end of a step that waits, told once more.
    pub(crate) fn end_again(&mut self, request: RequestId) -> Option<(Call, Micros, Command)> {
        let call = self.call();
        let step = self.steps.get(&request)?;
        let Stage::Ending { fate, until, .. } = &step.stage else {
            return None;
        };
        let (until, ask) = (
            *until,
            ended(call, step.intent.clone(), fate.clone(), *until),
        );
        self.of_steps.insert(call, request);
        Some((call, until, ask))
    }

    fn is_withdrawn(&self, request: RequestId, fate: &AttemptOutcome) -> bool {
        let withdrawn = |s: &Step| {
            matches!(
                s.stage,
                Stage::Going {
                    withdrawn: true,
                    ..
                }
            )
        };
        *fate == AttemptOutcome::NeverRan && self.steps.get(&request).is_some_and(withdrawn)
    }

    fn forget(&mut self, request: RequestId) -> Option<Step> {
        self.of_steps.retain(|_, of| *of != request);
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

    /// An answer by the machine beside the plane; one to a question that is over says nothing.
    pub(crate) fn told(&mut self, now: Micros, told: Event) -> Option<Act> {
        let call = match &told {
            Event::Claimed { call, .. }
            | Event::SendPermitted { call, .. }
            | Event::AlreadyDone { call, .. }
            | Event::Committed { call }
            | Event::Rejected { call, .. } => *call,
        };
        match (self.asked.remove(&call), self.of_steps.remove(&call)) {
            (Some(asked), _) => self.answer(asked, told),
            (None, Some(request)) => self.answer_step(now, request, told),
            (None, None) => None,
        }
    }

    /// A question's time is over. A step's is kept once more for as long as [`Workflows::lingers`] says: where it turns out to be
    /// permitted after all, what is open has to be closed.
    pub(crate) fn late(&mut self, call: Call) -> Option<Act> {
        if let Some(mut asked) = self.asked.remove(&call) {
            if asked.gone {
                return None;
            }
            if matches!(asked.question, Question::Step(_)) {
                self.asked.insert(
                    call,
                    Asked {
                        gone: true,
                        counted: Counted::default(),
                        ..asked.clone()
                    },
                );
            }
            asked.gone = true;
            return Some(Act::Refuse {
                asked,
                why: RejectReason::NoMajority,
            });
        }
        let request = self.of_steps.remove(&call)?;
        match self.unwait(request) {
            Some(send) => Some(Act::Send {
                request,
                send,
                may: false,
            }),
            None => self.give(request, Err(None)),
        }
    }

    pub(crate) fn lingers(&self, call: Call) -> bool {
        self.asked.contains_key(&call)
    }

    fn answer(&mut self, asked: Asked, told: Event) -> Option<Act> {
        let epoch_of = |q: &Question| match q {
            Question::Carry { epoch, .. } | Question::Finish { epoch, .. } => Some(*epoch),
            Question::Claim { .. } | Question::Settle { .. } | Question::Step(_) => None,
        };
        match (&asked.question, told) {
            (Question::Step(intent), Event::SendPermitted { until_us, .. }) => {
                let (intent, until) = (intent.clone(), Micros(until_us));
                Some(match asked.gone {
                    true => Act::Tell(self.never_ran(intent, until)),
                    false => Act::Go {
                        asked,
                        intent,
                        until,
                    },
                })
            }
            _ if asked.gone => None,
            (Question::Step(_), Event::AlreadyDone { result, .. }) => Some(Act::Answer {
                asked,
                text: result,
                known: true,
            }),
            (
                Question::Claim { .. },
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
                Some(Act::Answer {
                    asked,
                    text,
                    known: false,
                })
            }
            (
                question @ (Question::Carry { .. }
                | Question::Finish { .. }
                | Question::Settle { .. }),
                Event::Committed { .. },
            ) => {
                let text = json(&Carried {
                    epoch: epoch_of(question),
                });
                Some(Act::Answer {
                    asked,
                    text,
                    known: false,
                })
            }
            (_, Event::Rejected { reason: why, .. }) => Some(Act::Refuse { asked, why }),
            // An answer to another question: nothing can be said for certain.
            _ => Some(Act::Refuse {
                asked,
                why: RejectReason::Busy,
            }),
        }
    }

    fn answer_step(&mut self, now: Micros, request: RequestId, told: Event) -> Option<Act> {
        let step = self.steps.get_mut(&request)?;
        match (&mut step.stage, told) {
            (
                Stage::Going {
                    until,
                    waits,
                    withdrawn,
                },
                told,
            ) => {
                let send = waits.take()?;
                let may = match told {
                    Event::SendPermitted { until_us, .. } => {
                        (*until, *withdrawn) = (Micros(until_us), false);
                        true
                    }
                    _ => false,
                };
                Some(Act::Send { request, send, may })
            }
            (Stage::Ending { .. }, Event::Committed { .. }) => self.give(request, Ok(())),
            (Stage::Ending { until, .. }, Event::Rejected { reason: why, .. })
                if passing(why) && now < *until =>
            {
                Some(Act::Again(request))
            }
            (Stage::Ending { .. }, Event::Rejected { reason: why, .. }) => {
                self.give(request, Err(Some(why)))
            }
            (Stage::Ending { .. }, _) => self.give(request, Err(None)),
        }
    }

    fn give(&mut self, request: RequestId, held: Result<(), Option<RejectReason>>) -> Option<Act> {
        if !self.is_ending(request) {
            return None;
        }
        match self.steps.remove(&request)?.stage {
            Stage::Ending { answer, .. } => Some(Act::Give {
                request,
                answer,
                held,
            }),
            Stage::Going { .. } => None,
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
