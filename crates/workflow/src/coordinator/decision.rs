//! Applies an operation to the record that was found in its register.

use std::time::Duration;

use bitternlatch_replicated_register::{RegisterKey, Version};

use super::{Coordinator, CoordinatorOutput, ENDED_RECORD_RETENTION};
use crate::io::RejectReason;
use crate::operation::{Found, Operation, PendingOperation};
use crate::record::{Record, State};
use crate::step::Attempt;
use crate::step_transitions::{Intent, LocalAttempt};
use crate::time::as_micros;
use crate::transition::{Claim, Reply, Transition};

/// Result of applying an operation: the changed record, and the version that it is based on.
struct Decision {
    /// Version that was found; `None` if the register was empty.
    version: Option<Version>,
    record: Record,
    transition: Transition,
}

impl Coordinator {
    /// Applies the operation to the record that was found. Then writes the changed record, or deletes it, or answers the operation
    /// if nothing has to be written.
    pub(super) fn decide(
        &mut self,
        now: Duration,
        id: u64,
        found: Found,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let Some(pending) = self.queue.get(id) else {
            return;
        };
        let decision = match found {
            Some((version, record)) => Some(self.apply(now, pending, version, record)),
            None => self.begin_workflow(pending),
        };
        let Some(decision) = decision else {
            let unknown = Reply::Rejected(RejectReason::Unknown);
            return self.finish(now, id, unknown, None, out);
        };
        if decision.transition.write {
            let Decision {
                version,
                record,
                transition,
            } = decision;
            return self.write(now, id, version, record, transition, out);
        }
        let is_rejected = matches!(decision.transition.reply, Reply::Rejected(_));
        if is_rejected && !pending.has_read {
            // The cached record may be stale: read the register before rejecting.
            self.cache.remove(pending.key);
            return self.read(now, id, out);
        }
        if let Some(version) = self.version_to_delete(now, pending, &decision) {
            return self.delete(now, id, version, out);
        }
        let Decision {
            record, transition, ..
        } = decision;
        self.finish(now, id, transition.reply, Some(record), out);
    }

    /// Creates the record of a new workflow if the operation is a claim; `None` for any other operation.
    fn begin_workflow(&self, pending: &PendingOperation) -> Option<Decision> {
        let Operation::Claim { worker } = &pending.operation else {
            return None;
        };
        let claim = self.claim(worker, false, LocalAttempt::Unknown);
        Some(Decision {
            version: None,
            record: Record::begin(&pending.name, &claim),
            transition: Transition::write(Reply::Claimed),
        })
    }

    /// Returns the version to delete if the operation is a sweep and the workflow ended more than [`ENDED_RECORD_RETENTION`] ago.
    fn version_to_delete(
        &self,
        now: Duration,
        pending: &PendingOperation,
        decision: &Decision,
    ) -> Option<Version> {
        let version = decision.version?;
        let is_sweep = matches!(pending.operation, Operation::Sweep);
        let has_ended = matches!(decision.record.state(), State::Ended(_));
        let unchanged = self.lease_observer.unchanged(now, pending.key, version);
        (is_sweep && has_ended && unchanged >= ENDED_RECORD_RETENTION).then_some(version)
    }

    fn claim<'a>(&self, worker: &'a str, lease_expired: bool, attempt: LocalAttempt) -> Claim<'a> {
        Claim {
            worker,
            holder: self.own.name,
            lease_us: as_micros(self.lease),
            lease_expired,
            local_attempt: attempt,
        }
    }

    fn local_attempt(&self, key: RegisterKey, attempt: Attempt) -> LocalAttempt {
        self.attempts.local_attempt(key, attempt)
    }

    /// Adds the time for which the record was seen unchanged to its age, then expires the workflow if it is too old or applies the
    /// operation's transition.
    fn apply(
        &self,
        now: Duration,
        pending: &PendingOperation,
        version: Version,
        mut record: Record,
    ) -> Decision {
        let unchanged = self.lease_observer.unchanged(now, pending.key, version);
        let was_open = record.state() == State::Open;
        let is_too_old = record.add_age(as_micros(unchanged), &self.limits) && was_open;
        let transition = match is_too_old && pending.operation.expires_workflow() {
            true => record.expire(),
            false => self.transition(now, pending, &mut record),
        };
        Decision {
            version: Some(version),
            record,
            transition,
        }
    }

    fn transition(
        &self,
        now: Duration,
        pending: &PendingOperation,
        record: &mut Record,
    ) -> Transition {
        let checks = self.safety_checks;
        let key = pending.key;
        let lease_expired = self.lease_observer.is_expired(now, key, record);
        match &pending.operation {
            Operation::Claim { worker } => {
                let attempt = record
                    .open_attempt()
                    .map_or(LocalAttempt::Unknown, |open| self.local_attempt(key, open));
                record.claim(&self.claim(worker, lease_expired, attempt))
            }
            Operation::Intend { .. } => self.intend(pending, record),
            Operation::ReportOutcome {
                epoch,
                step,
                outcome,
                attempt,
            } => record.report_outcome(*epoch, *step, outcome, *attempt, checks),
            Operation::RenewLease { epoch } => record.renew_lease(*epoch, checks),
            Operation::Finish { epoch, cancelled } => record.finish(*epoch, *cancelled, checks),
            Operation::Settle { step, outcome } => record.settle(*step, outcome, lease_expired),
            Operation::Sweep => Transition::rejected(RejectReason::LeaseHeld),
        }
    }

    fn intend(&self, pending: &PendingOperation, record: &mut Record) -> Transition {
        let Operation::Intend {
            epoch,
            step,
            effect,
            key,
            request_digest,
            attempt: Some(attempt),
        } = &pending.operation
        else {
            return Transition::rejected(RejectReason::Busy);
        };
        let intent = Intent {
            epoch: *epoch,
            step: *step,
            effect: *effect,
            key,
            request_digest: *request_digest,
            attempt: *attempt,
        };
        let local_attempt = |attempt| self.local_attempt(pending.key, attempt);
        record.intend(&intent, local_attempt, &self.limits, self.safety_checks)
    }
}
