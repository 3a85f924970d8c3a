//! Handling of rejected messages of a proposal, and the error with which a proposal fails.

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::StorageError;

use super::{NextStep, Outcome, Proposal};
use crate::ids::IdAllocator;
use crate::message::RejectReason;
use crate::quorum::majority;
use crate::register::Ballot;
use crate::RegisterError;

impl Proposal {
    /// Handles a replica's rejection of the current message. Fails the call if permanent rejections rule out a majority, and
    /// restarts the proposal if rejections because of a competing proposer do.
    pub fn on_rejected(
        &mut self,
        from: NameKey,
        ballot: Ballot,
        reason: RejectReason,
        ids: &mut IdAllocator,
    ) -> NextStep {
        if !self.is_current(from, ballot) {
            return NextStep::Wait;
        }
        match reason {
            RejectReason::HigherBallot(promised) => ids.observe(promised),
            reason => self.failure_reason = Some(reason),
        }
        self.rejections.insert(from, reason);
        let max_rejections = self.replicas.len() - majority(self.replicas.len());
        if self.count_rejections(|reason| *reason == RejectReason::Lost) > max_rejections {
            let error = self.unless_written(RegisterError::Lost);
            return NextStep::Done(Outcome::Failed(error), None);
        }
        if self.count_rejections(RejectReason::is_permanent) > max_rejections {
            return NextStep::Done(Outcome::Failed(self.failure()), None);
        }
        if self.rejections.len() > max_rejections && self.was_preempted() {
            return NextStep::Restart;
        }
        NextStep::Wait
    }

    /// Error of a proposal that cannot succeed or has not succeeded by its deadline.
    pub fn failure(&self) -> RegisterError {
        match self.failure_reason {
            Some(RejectReason::Full) => RegisterError::Full,
            Some(RejectReason::DiskFull) => RegisterError::NotStored(StorageError::Full),
            Some(RejectReason::DiskFault) => {
                RegisterError::NotStored(StorageError::Io("at a majority of the replicas".into()))
            }
            Some(RejectReason::Lost) => self.unless_written(RegisterError::Lost),
            Some(RejectReason::CatchingUp) => self.unless_written(RegisterError::CatchingUp),
            _ => self.unless_written(RegisterError::NoMajority),
        }
    }

    /// Returns `error`, which states that the value was not written, or [`RegisterError::TimedOut`] if the value may have been
    /// written.
    pub fn unless_written(&self, error: RegisterError) -> RegisterError {
        match self.own_write {
            None => error,
            Some(_) => RegisterError::TimedOut,
        }
    }

    /// Whether a replica rejected the current message because it had promised a competing proposer's higher ballot.
    pub(super) fn was_preempted(&self) -> bool {
        self.count_rejections(|reason| matches!(reason, RejectReason::HigherBallot(_))) > 0
    }

    fn count_rejections(&self, matches: impl Fn(&RejectReason) -> bool) -> usize {
        self.rejections
            .values()
            .filter(|reason| matches(reason))
            .count()
    }
}
