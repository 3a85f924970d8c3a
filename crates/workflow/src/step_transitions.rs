//! The transitions of steps: intended, ended, settled by a person.

use crate::io::{AttemptOutcome, Effect, RejectReason};
use crate::record::{Limits, Notice, Record, Reply, SafetyChecks, State, Transition};
use crate::step::{
    cut, Attempt, StepRecord, StepState, ABANDONED_RESULT, MAX_NAME_BYTES, MAX_RESULT_BYTES,
};

/// A step that is about to leave.
#[derive(Clone, Debug, PartialEq)]
pub struct Intent<'a> {
    pub epoch: u64,
    pub step: u32,
    pub effect: Effect,
    pub key: &'a str,
    pub request_digest: u64,
    pub attempt: Attempt,
}

/// What this process knows of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalAttempt {
    /// It never told anybody to send it.
    NeverSent,
    /// It is under way here.
    Running,
    /// Another process's, or one that it has forgotten.
    Unknown,
}

impl Record {
    /// Before an effect leaves.
    pub fn intend(
        &mut self,
        intent: &Intent,
        mine: impl Fn(Attempt) -> LocalAttempt,
        limits: &Limits,
        safety_checks: SafetyChecks,
    ) -> Transition {
        if matches!(self.state, State::Ended(_)) {
            return Transition::rejected(RejectReason::Ended);
        }
        if safety_checks.fencing && intent.epoch != self.epoch {
            return Transition::rejected(RejectReason::Fenced);
        }
        if let Some(why) = self.reject_reason() {
            return Transition::rejected(why);
        }
        if intent.key.len() > MAX_NAME_BYTES {
            return Transition::rejected(RejectReason::Limit);
        }
        match self.steps.iter().position(|e| e.number == intent.step) {
            Some(at) => self.intend_existing(at, intent, mine, safety_checks),
            None => self.intend_next(intent, limits),
        }
    }

    fn intend_next(&mut self, intent: &Intent, limits: &Limits) -> Transition {
        let next = match self.steps.last() {
            Some(last) if intent.step < last.number => return self.compacted_result(intent.step),
            // Callers count from nought or from one.
            None => intent.step <= 1,
            Some(last) => last.closed() && last.number.checked_add(1) == Some(intent.step),
        };
        if !next {
            return Transition::rejected(RejectReason::Unknown);
        }
        if self.closed() >= limits.steps
            || self.bytes >= limits.bytes
            || self.tokens >= limits.tokens
        {
            return Transition::rejected(RejectReason::Limit);
        }
        self.steps.push(StepRecord {
            number: intent.step,
            effect: intent.effect,
            key: intent.key.to_string(),
            request_digest: intent.request_digest,
            stage: StepState::Intended {
                epoch: intent.epoch,
                attempt: intent.attempt,
            },
            earlier: false,
            late: vec![],
            late_lost: 0,
        });
        self.advance_lease();
        Transition::write(Reply::SendPermitted)
    }

    /// A step that was compacted is done: it is never run again, whatever is left of its result.
    fn compacted_result(&self, step: u32) -> Transition {
        let first = self.steps.first().map_or(0, |e| e.number);
        if step >= first || first - step > self.context.steps() {
            return Transition::rejected(RejectReason::Unknown);
        }
        let line = self
            .context
            .find(step)
            .unwrap_or("done; its result is compacted");
        Transition::without_write(Reply::AlreadyDone(line.to_string()))
    }

    fn intend_existing(
        &mut self,
        at: usize,
        intent: &Intent,
        mine: impl Fn(Attempt) -> LocalAttempt,
        safety_checks: SafetyChecks,
    ) -> Transition {
        let entry = &mut self.steps[at];
        let same = entry.request_digest == intent.request_digest
            && entry.effect == intent.effect
            && (entry.effect != Effect::Keyed || entry.key == intent.key);
        if !same && entry.stage != StepState::Planned {
            return Transition::rejected(RejectReason::OtherRequest);
        }
        let before = match &entry.stage {
            StepState::Done { result, .. } => {
                return Transition::without_write(Reply::AlreadyDone(result.clone()))
            }
            StepState::Abandoned => {
                return Transition::without_write(Reply::AlreadyDone(ABANDONED_RESULT.to_string()))
            }
            StepState::Planned => None,
            StepState::Intended { attempt, .. } | StepState::MayHaveRun { attempt } => {
                Some(*attempt)
            }
        };
        let before = before.map(|attempt| (attempt, mine(attempt)));
        match before {
            None | Some((_, LocalAttempt::NeverSent)) => {}
            Some(_) if entry.effect != Effect::Unsafe => entry.earlier = true,
            // Whoever comes is taken for who has it: this is what fencing is there against.
            Some(_) if !safety_checks.fencing => {}
            Some((_, LocalAttempt::Running)) => return Transition::rejected(RejectReason::Busy),
            Some((attempt, _)) => {
                entry.stage = StepState::MayHaveRun { attempt };
                let turn = Transition::write(Reply::Rejected(RejectReason::Unsettled));
                return Transition {
                    notice: self.mark_unsettled(),
                    ..turn
                };
            }
        }
        entry.effect = intent.effect;
        entry.key = intent.key.to_string();
        entry.request_digest = intent.request_digest;
        entry.stage = StepState::Intended {
            epoch: intent.epoch,
            attempt: intent.attempt,
        };
        self.advance_lease();
        Transition::write(Reply::SendPermitted)
    }

    /// How an attempt ended. Its own result stands where none stands yet, also when it comes late and under an older epoch: it
    /// is known then what happened, and nobody has to guess. The teller is refused all the same.
    pub fn report_outcome(
        &mut self,
        epoch: u64,
        step: u32,
        outcome: &AttemptOutcome,
        attempt: Option<Attempt>,
        safety_checks: SafetyChecks,
    ) -> Transition {
        if matches!(self.state, State::Ended(_)) {
            return Transition::rejected(RejectReason::Ended);
        }
        let current = !safety_checks.fencing || epoch == self.epoch;
        let told = if current {
            Reply::Committed
        } else {
            Reply::Rejected(RejectReason::Fenced)
        };
        let Some(at) = self.steps.iter().position(|e| e.number == step) else {
            return self.report_compacted(step, outcome, told);
        };
        let entry = &self.steps[at];
        let own = match entry.stage {
            StepState::Intended {
                epoch: under,
                attempt: last,
            } => attempt.map_or(current && under == epoch, |a| a == last) || !safety_checks.fencing,
            StepState::MayHaveRun { attempt: last } => {
                attempt == Some(last) || !safety_checks.fencing
            }
            StepState::Planned => attempt.is_some() || current,
            StepState::Done { .. } | StepState::Abandoned => false,
        };
        match outcome {
            // Of two attempts under one epoch either may be the first to end.
            AttemptOutcome::Done { result, tokens } if own || current && !entry.closed() => {
                self.accept_result(at, result, *tokens, told)
            }
            AttemptOutcome::Done { result, .. } => self.reject_second_result(at, result, told),
            AttemptOutcome::MayHaveRun if own && current => self.mark_uncertain(at, attempt, told),
            AttemptOutcome::NeverRan if own => self.mark_never_ran(at, told),
            AttemptOutcome::MayHaveRun | AttemptOutcome::NeverRan => {
                Transition::without_write(told)
            }
        }
    }

    fn accept_result(&mut self, at: usize, result: &str, tokens: u32, told: Reply) -> Transition {
        let kept = cut(result, MAX_RESULT_BYTES);
        self.bytes = self.bytes.saturating_add(kept.len() as u64);
        self.tokens = self.tokens.saturating_add(tokens.into());
        let entry = &mut self.steps[at];
        let number = entry.number;
        entry.stage = StepState::Done {
            result: kept,
            tokens,
        };
        let lifted = self.state == State::Unsettled;
        if lifted {
            self.state = State::Open;
        }
        self.deaths = 0;
        if told == Reply::Committed {
            self.advance_lease();
        }
        self.compact();
        let turn = Transition::write(told);
        if lifted {
            turn.with_notice(Notice::Resolved { step: number })
        } else {
            turn
        }
    }

    /// A second result: the one that a majority held first stands, and is what its teller is told; this one is kept beside it.
    fn reject_second_result(&mut self, at: usize, result: &str, told: Reply) -> Transition {
        let entry = &mut self.steps[at];
        let kept = cut(result, MAX_RESULT_BYTES);
        let told = match &entry.stage {
            StepState::Done { result, .. } if *result == kept => {
                return Transition::without_write(told)
            }
            StepState::Done { result, .. } if told == Reply::Committed => {
                Reply::AlreadyDone(result.clone())
            }
            StepState::Abandoned if told == Reply::Committed => {
                Reply::AlreadyDone(ABANDONED_RESULT.to_string())
            }
            _ => told,
        };
        let number = entry.number;
        entry.add_late_result(result);
        Transition::write(told).with_notice(Notice::DuplicateResult { step: number })
    }

    fn report_compacted(&mut self, step: u32, outcome: &AttemptOutcome, told: Reply) -> Transition {
        let known = self.compacted_result(step).answer;
        if !matches!(known, Reply::AlreadyDone(_)) {
            return Transition::rejected(RejectReason::Unknown);
        }
        let AttemptOutcome::Done { result, .. } = outcome else {
            return Transition::without_write(told);
        };
        self.context.append_late_result(step, result);
        let told = if told == Reply::Committed {
            known
        } else {
            told
        };
        Transition::write(told).with_notice(Notice::DuplicateResult { step })
    }

    fn mark_uncertain(&mut self, at: usize, attempt: Option<Attempt>, told: Reply) -> Transition {
        let entry = &mut self.steps[at];
        let Some(attempt) = entry.attempt().or(attempt) else {
            return Transition::without_write(told);
        };
        entry.stage = StepState::MayHaveRun { attempt };
        let notice = self.mark_unsettled();
        let answer = if notice.is_some() {
            Reply::Rejected(RejectReason::Unsettled)
        } else {
            told
        };
        Transition {
            notice,
            ..Transition::write(answer)
        }
    }

    fn mark_never_ran(&mut self, at: usize, told: Reply) -> Transition {
        let entry = &mut self.steps[at];
        let Some(attempt) = entry.attempt() else {
            return Transition::without_write(told);
        };
        let number = entry.number;
        // The last attempt never ran; one before it may have.
        entry.stage = if entry.earlier {
            StepState::MayHaveRun { attempt }
        } else {
            StepState::Planned
        };
        let lifted = self.state == State::Unsettled && self.steps[at].stage == StepState::Planned;
        if lifted {
            self.state = State::Open;
            return Transition::write(told).with_notice(Notice::Resolved { step: number });
        }
        Transition::write(told)
    }

    /// A person decides: it ran with this result, it never ran, or it is left out. `quiet`: the lease in the record was seen
    /// here, without a word, for longer than it lasts, so that no permission to send is left anywhere.
    pub fn settle(&mut self, step: u32, outcome: &AttemptOutcome, quiet: bool) -> Transition {
        match self.state {
            State::Ended(_) => return Transition::rejected(RejectReason::Ended),
            State::Open => return Transition::rejected(RejectReason::Unknown),
            _ if !quiet => return Transition::rejected(RejectReason::LeaseHeld),
            State::Parked => {}
            State::Unsettled => {
                let Some(at) = self
                    .steps
                    .iter()
                    .position(|e| e.number == step && !e.closed())
                else {
                    return Transition::rejected(RejectReason::Unknown);
                };
                match outcome {
                    AttemptOutcome::Done { result, tokens } => {
                        drop(self.accept_result(at, result, *tokens, Reply::Committed))
                    }
                    AttemptOutcome::NeverRan => self.steps[at].stage = StepState::Planned,
                    AttemptOutcome::MayHaveRun => self.steps[at].stage = StepState::Abandoned,
                }
            }
        }
        self.state = State::Open;
        self.deaths = 0;
        self.epoch += 1;
        self.worker.clear();
        self.advance_lease();
        self.compact();
        Transition::write(Reply::Committed)
    }
}
