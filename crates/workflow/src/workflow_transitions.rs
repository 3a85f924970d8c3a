//! Transitions of a workflow as a whole: claim, lease renewal, finish, expiry. Each returns whether the record has to be written
//! and what to answer after the write.

use crate::context::Context;
use crate::io::{Effect, RejectReason};
use crate::record::{Outcome, Record, State};
use crate::step::{truncate, StepState};
use crate::step_transitions::LocalAttempt;
use crate::transition::{Claim, Notice, Reply, SafetyChecks, Transition};

/// Number of worker deaths, without a step done in between, at which a workflow is parked.
pub const MAX_WORKER_DEATHS: u32 = 3;
/// Maximum size of the last result in the record of an ended workflow, bytes.
const MAX_FINAL_RESULT_BYTES: usize = 1024;

impl Record {
    /// A worker adopts the workflow, or claims again one that it holds. Each successful claim increases the epoch.
    pub fn claim(&mut self, claim: &Claim) -> Transition {
        if let Some(reason) = self.reject_reason() {
            return Transition::rejected(reason);
        }
        let is_adoption = !self.worker.is_empty() && self.worker != claim.worker;
        if is_adoption && !claim.lease_expired {
            return Transition::rejected(RejectReason::LeaseHeld);
        }
        if is_adoption {
            self.deaths += 1;
        }
        if self.deaths >= MAX_WORKER_DEATHS {
            self.state = State::Parked;
            let step = self.closed_steps().saturating_add(1);
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

    /// Updates the open step's attempt, whose worker is gone. An attempt in flight at the claiming process is left as it is,
    /// because its outcome will still be reported.
    fn release_attempt(&mut self, local_attempt: LocalAttempt) -> Option<Notice> {
        let open = self.open_step()?;
        let attempt = open.attempt()?;
        match local_attempt {
            LocalAttempt::Running => return None,
            LocalAttempt::NeverSent if !open.earlier_may_have_run => {
                open.state = StepState::Planned
            }
            LocalAttempt::NeverSent | LocalAttempt::Unknown => {
                open.state = StepState::MayHaveRun { attempt };
            }
        }
        self.mark_unsettled()
    }

    /// Marks the workflow as unsettled if its open step is unsafe and may have run.
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

    /// Renews the lease of the worker that has this epoch.
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

    /// Finishes or cancels the workflow. Finishing is rejected while an open step may have had an effect; cancelling is not.
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

    /// Ends the workflow because it reached its maximum age.
    pub fn expire(&mut self) -> Transition {
        if matches!(self.state, State::Ended(_)) {
            return Transition::rejected(RejectReason::Ended);
        }
        self.end(Outcome::Expired);
        Transition::write(Reply::Rejected(RejectReason::Limit)).with_notice(Notice::Expired)
    }

    /// Ends the workflow and removes all steps but the last done one, whose result is truncated.
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
            last.late_results.clear();
            self.steps.push(last);
        }
    }
}
