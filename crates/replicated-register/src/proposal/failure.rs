//! Rejections of a proposal's messages, and the error that they end in.

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::StorageError;

use super::{NextStep, Outcome, Proposal};
use crate::ids::IdAllocator;
use crate::message::RejectReason;
use crate::quorum::majority;
use crate::register::Ballot;
use crate::RegisterError;

impl Proposal {
    /// A replica has rejected the message.
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
        let dispensable = self.replicas.len() - majority(self.replicas.len());
        if self.count_rejections(|reason| *reason == RejectReason::Lost) > dispensable {
            let error = self.unless_written(RegisterError::Lost);
            return NextStep::Done(Outcome::Failed(error), None);
        }
        if self.count_rejections(RejectReason::is_permanent) > dispensable {
            return NextStep::Done(Outcome::Failed(self.failure()), None);
        }
        if self.rejections.len() > dispensable && self.was_outpaced() {
            return NextStep::Restart;
        }
        NextStep::Wait
    }

    /// The error of a proposal that has not succeeded by its deadline.
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

    /// An error that states that nothing is written, replaced where something may be.
    pub fn unless_written(&self, error: RegisterError) -> RegisterError {
        match self.own_write {
            None => error,
            Some(_) => RegisterError::TimedOut,
        }
    }

    pub(super) fn was_outpaced(&self) -> bool {
        self.count_rejections(|reason| matches!(reason, RejectReason::HigherBallot(_))) > 0
    }

    fn count_rejections(&self, matches: impl Fn(&RejectReason) -> bool) -> usize {
        self.rejections
            .values()
            .filter(|reason| matches(reason))
            .count()
    }
}
