//! Transitions of a step: intent, outcome report, settlement by an operator.

use crate::io::{AttemptOutcome, Effect, RejectReason};
use crate::record::{Limits, Record, State};
use crate::step::{
    truncate, Attempt, StepRecord, StepState, ABANDONED_RESULT, MAX_NAME_BYTES, MAX_RESULT_BYTES,
};
use crate::transition::{Notice, Reply, SafetyChecks, Transition};

/// Result that workers get for a compacted step whose line was removed from the context.
const COMPACTED_RESULT: &str = "done; its result is compacted";

/// The intent to send a step's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Intent<'a> {
    /// Epoch that the worker got with its claim.
    pub epoch: u64,
    /// Number of the step within its workflow.
    pub step: u32,
    /// Whether the step may be repeated.
    pub effect: Effect,
    /// Idempotency key of the step.
    pub key: &'a str,
    /// Digest of the step's request.
    pub request_digest: u64,
    /// Attempt that the intent opens.
    pub attempt: Attempt,
}

impl Intent<'_> {
    /// Returns whether the recorded step is for the same request.
    fn matches(&self, step: &StepRecord) -> bool {
        let same_key = step.effect != Effect::Keyed || step.key == self.key;
        step.request_digest == self.request_digest && step.effect == self.effect && same_key
    }

    fn state(&self) -> StepState {
        StepState::Intended {
            epoch: self.epoch,
            attempt: self.attempt,
        }
    }
}

/// What this process knows about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalAttempt {
    /// This process opened the attempt and never permitted it to be sent.
    NeverSent,
    /// The attempt is in flight at this process.
    Running,
    /// Another process made the attempt, or this process does not track it any more.
    Unknown,
}

impl Record {
    /// Records the intent of a step, before its request is sent. `local_attempt` returns what this process knows about an attempt.
    pub fn intend(
        &mut self,
        intent: &Intent,
        local_attempt: impl Fn(Attempt) -> LocalAttempt,
        limits: &Limits,
        safety_checks: SafetyChecks,
    ) -> Transition {
        if matches!(self.state, State::Ended(_)) {
            return Transition::rejected(RejectReason::Ended);
        }
        if safety_checks.fencing && intent.epoch != self.epoch {
            return Transition::rejected(RejectReason::Fenced);
        }
        if let Some(reason) = self.reject_reason() {
            return Transition::rejected(reason);
        }
        if intent.key.len() > MAX_NAME_BYTES {
            return Transition::rejected(RejectReason::Limit);
        }
        match self.position(intent.step) {
            Some(at) => self.intend_existing(at, intent, local_attempt, safety_checks),
            None => self.intend_next(intent, limits),
        }
    }

    /// Returns the index of a step that is not compacted.
    fn position(&self, number: u32) -> Option<usize> {
        self.steps.iter().position(|step| step.number == number)
    }

    fn intend_next(&mut self, intent: &Intent, limits: &Limits) -> Transition {
        let is_next = match self.steps.last() {
            Some(last) if intent.step < last.number => return self.compacted_result(intent.step),
            // Workers number their steps from 0 or from 1.
            None => intent.step <= 1,
            Some(last) => last.is_closed() && last.number.checked_add(1) == Some(intent.step),
        };
        if !is_next {
            return Transition::rejected(RejectReason::Unknown);
        }
        if self.is_at_limit(limits) {
            return Transition::rejected(RejectReason::Limit);
        }
        self.steps.push(StepRecord {
            number: intent.step,
            effect: intent.effect,
            key: intent.key.to_string(),
            request_digest: intent.request_digest,
            state: intent.state(),
            earlier_may_have_run: false,
            late_results: vec![],
            dropped_late_results: 0,
        });
        self.advance_lease();
        Transition::write(Reply::SendPermitted)
    }

    fn is_at_limit(&self, limits: &Limits) -> bool {
        self.closed_steps() >= limits.steps
            || self.bytes >= limits.bytes
            || self.tokens >= limits.tokens
    }

    /// Answers for a compacted step: it is done and never run again, even if its result is no longer stored.
    fn compacted_result(&self, step: u32) -> Transition {
        let first = self.steps.first().map_or(0, |first| first.number);
        if step >= first || first - step > self.context.steps() {
            return Transition::rejected(RejectReason::Unknown);
        }
        let result = self.context.find(step).unwrap_or(COMPACTED_RESULT);
        Transition::without_write(Reply::AlreadyDone(result.to_string()))
    }

    fn intend_existing(
        &mut self,
        at: usize,
        intent: &Intent,
        local_attempt: impl Fn(Attempt) -> LocalAttempt,
        safety_checks: SafetyChecks,
    ) -> Transition {
        let step = &mut self.steps[at];
        if !intent.matches(step) && step.state != StepState::Planned {
            return Transition::rejected(RejectReason::OtherRequest);
        }
        let previous_attempt = match &step.state {
            StepState::Done { result, .. } => {
                return Transition::without_write(Reply::AlreadyDone(result.clone()));
            }
            StepState::Abandoned => {
                let result = ABANDONED_RESULT.to_string();
                return Transition::without_write(Reply::AlreadyDone(result));
            }
            StepState::Planned => None,
            StepState::Intended { attempt, .. } | StepState::MayHaveRun { attempt } => {
                Some(*attempt)
            }
        };
        match previous_attempt.map(|attempt| (attempt, local_attempt(attempt))) {
            None | Some((_, LocalAttempt::NeverSent)) => {}
            Some(_) if step.effect != Effect::Unsafe => step.earlier_may_have_run = true,
            // With fencing off, any caller counts as the lease holder, so an unsafe step can run twice.
            Some(_) if !safety_checks.fencing => {}
            Some((_, LocalAttempt::Running)) => {
                return Transition::rejected(RejectReason::Busy);
            }
            Some((attempt, LocalAttempt::Unknown)) => {
                return self.reject_as_unsettled(at, attempt);
            }
        }
        self.record_attempt(at, intent)
    }

    /// Rejects the intent because the unsafe step may have run, and marks the workflow as unsettled.
    fn reject_as_unsettled(&mut self, at: usize, attempt: Attempt) -> Transition {
        self.steps[at].state = StepState::MayHaveRun { attempt };
        Transition {
            notice: self.mark_unsettled(),
            ..Transition::write(Reply::Rejected(RejectReason::Unsettled))
        }
    }

    fn record_attempt(&mut self, at: usize, intent: &Intent) -> Transition {
        let step = &mut self.steps[at];
        step.effect = intent.effect;
        step.key = intent.key.to_string();
        step.request_digest = intent.request_digest;
        step.state = intent.state();
        self.advance_lease();
        Transition::write(Reply::SendPermitted)
    }

    /// Records the outcome of an attempt. A result of the step's last attempt is recorded if the step has none yet, even if it
    /// is reported late and under an older epoch, because it tells what happened. The reporter with an older epoch is still
    /// rejected.
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
        let is_current = !safety_checks.fencing || epoch == self.epoch;
        let reply = match is_current {
            true => Reply::Committed,
            false => Reply::Rejected(RejectReason::Fenced),
        };
        let Some(at) = self.position(step) else {
            return self.report_compacted(step, outcome, reply);
        };
        let recorded = &self.steps[at];
        let is_own = match recorded.state {
            StepState::Intended {
                epoch: intended_epoch,
                attempt: last,
            } => {
                let is_last = attempt.map_or(is_current && intended_epoch == epoch, |a| a == last);
                is_last || !safety_checks.fencing
            }
            StepState::MayHaveRun { attempt: last } => {
                attempt == Some(last) || !safety_checks.fencing
            }
            StepState::Planned => attempt.is_some() || is_current,
            StepState::Done { .. } | StepState::Abandoned => false,
        };
        // Of two attempts under the current epoch, either one may report first.
        let is_accepted = is_own || is_current && !recorded.is_closed();
        match outcome {
            AttemptOutcome::Done { result, tokens } if is_accepted => {
                self.accept_result(at, result, *tokens, reply)
            }
            AttemptOutcome::Done { result, .. } => self.reject_second_result(at, result, reply),
            AttemptOutcome::MayHaveRun if is_own && is_current => {
                self.mark_uncertain(at, attempt, reply)
            }
            AttemptOutcome::NeverRan if is_own => self.mark_never_ran(at, reply),
            AttemptOutcome::MayHaveRun | AttemptOutcome::NeverRan => {
                Transition::without_write(reply)
            }
        }
    }

    fn accept_result(&mut self, at: usize, result: &str, tokens: u32, reply: Reply) -> Transition {
        let result = truncate(result, MAX_RESULT_BYTES);
        self.bytes = self.bytes.saturating_add(result.len() as u64);
        self.tokens = self.tokens.saturating_add(tokens.into());
        let step = &mut self.steps[at];
        let number = step.number;
        step.state = StepState::Done { result, tokens };
        let was_unsettled = self.state == State::Unsettled;
        if was_unsettled {
            self.state = State::Open;
        }
        self.deaths = 0;
        if reply == Reply::Committed {
            self.advance_lease();
        }
        self.compact();
        let transition = Transition::write(reply);
        match was_unsettled {
            true => transition.with_notice(Notice::Resolved { step: number }),
            false => transition,
        }
    }

    /// Handles a second result of a step: the one that a majority stored first counts, and a reporter with the current epoch is
    /// answered with it. The second one is stored as a late result.
    fn reject_second_result(&mut self, at: usize, result: &str, reply: Reply) -> Transition {
        let step = &mut self.steps[at];
        let truncated = truncate(result, MAX_RESULT_BYTES);
        let is_committed = reply == Reply::Committed;
        let reply = match &step.state {
            StepState::Done { result, .. } if *result == truncated => {
                return Transition::without_write(reply);
            }
            StepState::Done { result, .. } if is_committed => Reply::AlreadyDone(result.clone()),
            StepState::Abandoned if is_committed => {
                Reply::AlreadyDone(ABANDONED_RESULT.to_string())
            }
            _ => reply,
        };
        let number = step.number;
        step.add_late_result(result);
        Transition::write(reply).with_notice(Notice::DuplicateResult { step: number })
    }

    fn report_compacted(
        &mut self,
        step: u32,
        outcome: &AttemptOutcome,
        reply: Reply,
    ) -> Transition {
        let known = self.compacted_result(step).reply;
        if !matches!(known, Reply::AlreadyDone(_)) {
            return Transition::rejected(RejectReason::Unknown);
        }
        let AttemptOutcome::Done { result, .. } = outcome else {
            return Transition::without_write(reply);
        };
        self.context.append_late_result(step, result);
        let reply = match reply {
            Reply::Committed => known,
            other => other,
        };
        Transition::write(reply).with_notice(Notice::DuplicateResult { step })
    }

    fn mark_uncertain(&mut self, at: usize, attempt: Option<Attempt>, reply: Reply) -> Transition {
        let step = &mut self.steps[at];
        let Some(attempt) = step.attempt().or(attempt) else {
            return Transition::without_write(reply);
        };
        step.state = StepState::MayHaveRun { attempt };
        let notice = self.mark_unsettled();
        let reply = match notice {
            Some(_) => Reply::Rejected(RejectReason::Unsettled),
            None => reply,
        };
        Transition {
            notice,
            ..Transition::write(reply)
        }
    }

    fn mark_never_ran(&mut self, at: usize, reply: Reply) -> Transition {
        let step = &mut self.steps[at];
        let Some(attempt) = step.attempt() else {
            return Transition::without_write(reply);
        };
        let number = step.number;
        // The last attempt never ran, but an earlier one may have.
        step.state = match step.earlier_may_have_run {
            true => StepState::MayHaveRun { attempt },
            false => StepState::Planned,
        };
        let is_resolved = self.state == State::Unsettled && step.state == StepState::Planned;
        if is_resolved {
            self.state = State::Open;
            return Transition::write(reply).with_notice(Notice::Resolved { step: number });
        }
        Transition::write(reply)
    }

    /// Applies an operator's decision: the step ran with this result, it never ran, or it is abandoned. `lease_expired`: this
    /// dispatcher saw the recorded lease without a renewal for longer than its length, so no dispatch permit is valid anywhere.
    pub fn settle(
        &mut self,
        step: u32,
        outcome: &AttemptOutcome,
        lease_expired: bool,
    ) -> Transition {
        match self.state {
            State::Ended(_) => return Transition::rejected(RejectReason::Ended),
            State::Open => return Transition::rejected(RejectReason::Unknown),
            _ if !lease_expired => return Transition::rejected(RejectReason::LeaseHeld),
            State::Parked => {}
            State::Unsettled => {
                let open = self
                    .position(step)
                    .filter(|at| !self.steps[*at].is_closed());
                let Some(at) = open else {
                    return Transition::rejected(RejectReason::Unknown);
                };
                self.settle_step(at, outcome);
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

    fn settle_step(&mut self, at: usize, outcome: &AttemptOutcome) {
        match outcome {
            AttemptOutcome::Done { result, tokens } => {
                self.accept_result(at, result, *tokens, Reply::Committed);
            }
            AttemptOutcome::NeverRan => self.steps[at].state = StepState::Planned,
            AttemptOutcome::MayHaveRun => self.steps[at].state = StepState::Abandoned,
        }
    }
}
