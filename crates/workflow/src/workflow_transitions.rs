//! Transitions of a workflow as a whole: claimed, renewed, finished, expired. Each states whether the record is to be written, and
//! what is answered once it is.

use crate::context::Context;
use crate::io::{Effect, RejectReason};
use crate::record::{Outcome, Record, State};
use crate::step::{truncate, StepState};
use crate::step_transitions::LocalAttempt;
use crate::transition::{Claim, Notice, Reply, SafetyChecks, Transition};

/// Workers that may die over one step.
pub const MAX_WORKER_DEATHS: u32 = 3;
/// Bytes of the last result that an ended workflow keeps.
const MAX_FINAL_RESULT_BYTES: usize = 1024;

impl Record {
    /// A worker takes the workflow over, or returns to its own. Each time the epoch rises.
    pub fn claim(&mut self, claim: &Claim) -> Transition {
        if let Some(reason) = self.reject_reason() {
            return Transition::rejected(reason);
        }
        let is_taken_over = !self.worker.is_empty() && self.worker != claim.worker;
        if is_taken_over && !claim.lease_expired {
            return Transition::rejected(RejectReason::LeaseHeld);
        }
        if is_taken_over {
            self.deaths += 1;
        }
        if self.deaths >= MAX_WORKER_DEATHS {
            self.state = State::Parked;
            let step = self.closed().saturating_add(1);
            return Transition::write(Reply::Rejected(RejectReason::Parked))
                .with_notice(Notice::Parked { step });
        }
        if let Some(notice) = self.release_attempt(claim.local_attempt) {
            return Transition::write(Reply::Rejected(RejectReason::Unsettled)).with_notice(notice);
        }
        self.epoch += 1;
        self.worker = claim.worker.to_string();
        self.holder = claim.holder;
        self.lease_us = claim.lease_us;
        self.advance_lease();
        Transition::write(Reply::Claimed)
    }

    /// The open step's attempt has no worker any more, unless this very process has it in flight: its outcome will be reported.
    fn release_attempt(&mut self, local_attempt: LocalAttempt) -> Option<Notice> {
        let open = self.open_step()?;
        let attempt = open.attempt()?;
        match local_attempt {
            LocalAttempt::Running => return None,
            LocalAttempt::NeverSent if !open.earlier => open.state = StepState::Planned,
            LocalAttempt::NeverSent | LocalAttempt::Unknown => {
                open.state = StepState::MayHaveRun { attempt };
            }
        }
        self.mark_unsettled()
    }

    /// Stops the workflow where the open step is unsafe and may have run.
    pub(crate) fn mark_unsettled(&mut self) -> Option<Notice> {
        let open = self.open_step()?;
        let may_have_run = matches!(open.state, StepState::MayHaveRun { .. });
        if open.effect != Effect::Unsafe || !may_have_run {
            return None;
        }
        let notice = Notice::Unsettled {
            step: open.number,
            key: open.key.clone(),
        };
        self.state = State::Unsettled;
        Some(notice)
    }

    /// The worker is alive and goes on.
    pub fn renew_lease(&mut self, epoch: u64, safety_checks: SafetyChecks) -> Transition {
        if let Some(reason) = self.reject_reason() {
            return Transition::rejected(reason);
        }
        if safety_checks.fencing && epoch != self.epoch {
            return Transition::rejected(RejectReason::Fenced);
        }
        self.advance_lease();
        Transition::write(Reply::Committed)
    }

    /// The workflow is finished or cancelled. A finished one has no open step that may have had an effect; a cancelled one may.
    pub fn finish(
        &mut self,
        epoch: u64,
        cancelled: bool,
        safety_checks: SafetyChecks,
    ) -> Transition {
        let outcome = match cancelled {
            true => Outcome::Cancelled,
            false => Outcome::Finished,
        };
        if let State::Ended(ended) = self.state {
            return match ended == outcome && epoch == self.epoch {
                true => Transition::without_write(Reply::Committed),
                false => Transition::rejected(RejectReason::Ended),
            };
        }
        if safety_checks.fencing && epoch != self.epoch {
            return Transition::rejected(RejectReason::Fenced);
        }
        if !cancelled {
            if let Some(reason) = self.reject_reason() {
                return Transition::rejected(reason);
            }
            if self.may_have_open_effect() {
                return Transition::rejected(RejectReason::Unknown);
            }
        }
        self.end(outcome);
        Transition::write(Reply::Committed)
    }

    fn may_have_open_effect(&mut self) -> bool {
        self.open_step()
            .is_some_and(|open| open.attempt().is_some() && open.effect != Effect::Safe)
    }

    /// The workflow's time is over.
    pub fn expire(&mut self) -> Transition {
        if matches!(self.state, State::Ended(_)) {
            return Transition::rejected(RejectReason::Ended);
        }
        self.end(Outcome::Expired);
        Transition::write(Reply::Rejected(RejectReason::Limit)).with_notice(Notice::Expired)
    }

    /// Removes all but how it ended, how many steps it had, and the head of its last result.
    fn end(&mut self, outcome: Outcome) {
        let is_done = |state: &StepState| matches!(state, StepState::Done { .. });
        let last = self
            .steps
            .iter()
            .rev()
            .find(|step| is_done(&step.state))
            .cloned();
        self.state = State::Ended(outcome);
        self.context = Context::default();
        self.steps.clear();
        self.worker.clear();
        self.advance_lease();
        if let Some(mut last) = last {
            if let StepState::Done { result, .. } = &mut last.state {
                *result = truncate(result, MAX_FINAL_RESULT_BYTES);
            }
            last.late.clear();
            self.steps.push(last);
        }
    }
}
