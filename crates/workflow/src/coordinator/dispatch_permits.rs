//! Dispatch permits, lease renewal during attempts in flight, and undoing of intents that were not sent.

use std::time::Duration;

use bitternlatch_replicated_register::RegisterKey;

use super::{Coordinator, CoordinatorOutput, Timer, BACKGROUND_RETRY_LIMIT};
use crate::io::{AttemptOutcome, Event, RejectReason};
use crate::lease_observer::send_window;
use crate::operation::{Operation, PendingOperation, Phase};
use crate::record::{Record, State};
use crate::time::as_micros;
use crate::transition::Reply;

/// A lease is renewed after its length divided by this number.
const RENEWALS_PER_LEASE: u32 = 3;

impl Coordinator {
    /// Permits a step to be sent, as a majority has stored its intent. The permit lasts less than half of the lease, counted from
    /// when the write of the intent was requested. If that time is over already, the intent is undone.
    pub(super) fn permit_send(
        &mut self,
        now: Duration,
        requested_at: Duration,
        lease: Duration,
        id: u64,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let Some(pending) = self.queue.get_mut(id) else {
            return;
        };
        let Operation::Intend {
            attempt: Some(attempt),
            ..
        } = pending.operation
        else {
            return;
        };
        let until = match self.safety_checks.fencing {
            true => requested_at + send_window(lease),
            false => Duration::from_micros(u64::MAX),
        };
        if now >= until {
            pending.maybe_written = true;
            return self.undo_intent(now, id, RejectReason::NoMajority, out);
        }
        let key = pending.key;
        self.attempts.mark_sent(now, key, attempt);
        let renewal = requested_at + lease / RENEWALS_PER_LEASE;
        self.timers.set(Timer::RenewLease(key), renewal);
        let removed = self.remove(now, id, out);
        if let Some(call) = removed.and_then(|pending| pending.call) {
            out.push(CoordinatorOutput::Event(Event::SendPermitted {
                call,
                until_us: as_micros(until),
            }));
        }
    }

    /// Rejects an intent that was not permitted to be sent. If the register may hold it, records in the background that the attempt
    /// never ran.
    pub(super) fn undo_intent(
        &mut self,
        now: Duration,
        id: u64,
        reason: RejectReason,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let Some(pending) = self.remove(now, id, out) else {
            return;
        };
        self.reject(pending.call, reason, out);
        let Operation::Intend {
            attempt: Some(attempt),
            step,
            epoch,
            ..
        } = pending.operation
        else {
            return;
        };
        if !pending.maybe_written && !matches!(pending.phase, Phase::Writing { .. }) {
            return self.attempts.close(pending.key, attempt);
        }
        let never_ran = Operation::ReportOutcome {
            epoch,
            step,
            outcome: AttemptOutcome::NeverRan,
            attempt: Some(attempt),
        };
        let deadline = now + BACKGROUND_RETRY_LIMIT;
        let report =
            PendingOperation::new(now, pending.key, pending.name, None, never_ran, deadline);
        self.enqueue(now, report, out);
    }

    /// Updates the tracked attempts and the renewal timer when an operation is answered.
    pub(super) fn update_attempts(
        &mut self,
        now: Duration,
        pending: &PendingOperation,
        reply: &Reply,
        record: Option<&Record>,
    ) {
        let key = pending.key;
        if record.is_some_and(|record| matches!(record.state(), State::Ended(_))) {
            self.timers.clear(Timer::RenewLease(key));
            return self.attempts.close_all(key);
        }
        let reached_register = !is_inconclusive(reply);
        match &pending.operation {
            Operation::ReportOutcome {
                attempt: Some(attempt),
                ..
            } if reached_register => self.attempts.close(key, *attempt),
            Operation::Intend {
                attempt: Some(attempt),
                ..
            } => self.attempts.close(key, *attempt),
            Operation::RenewLease { epoch } if reached_register && *reply != Reply::Committed => {
                self.attempts.fence(key, *epoch);
            }
            Operation::RenewLease { .. } if self.attempts.active_epoch(now, key).is_some() => {
                self.schedule_renewal(now, key, record);
            }
            _ => {}
        }
    }

    fn schedule_renewal(&mut self, now: Duration, key: RegisterKey, record: Option<&Record>) {
        let lease = record.map_or(self.lease, |record| self.lease_of(record));
        let renewal = now + lease / RENEWALS_PER_LEASE;
        self.timers.set(Timer::RenewLease(key), renewal);
    }

    /// Renews the lease of a workflow while an attempt is in flight here, so that no other worker adopts the workflow during a long
    /// attempt.
    pub(super) fn renew_lease(
        &mut self,
        now: Duration,
        key: RegisterKey,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let Some(epoch) = self.attempts.active_epoch(now, key) else {
            return;
        };
        let record = self.cache.get(key).map(|(_, record)| record);
        self.schedule_renewal(now, key, record.as_ref());
        if self.queue.is_busy(key) {
            return;
        }
        let lease = record
            .as_ref()
            .map_or(self.lease, |record| self.lease_of(record));
        let name = record.map(|record| record.name).unwrap_or_default();
        let operation = Operation::RenewLease { epoch };
        let renewal = PendingOperation::new(now, key, name, None, operation, now + lease / 2);
        self.enqueue(now, renewal, out);
    }
}

/// Returns whether the reply leaves open what the register holds.
fn is_inconclusive(reply: &Reply) -> bool {
    matches!(
        reply,
        Reply::Rejected(
            RejectReason::NoMajority
                | RejectReason::NotStored
                | RejectReason::Busy
                | RejectReason::Lost
        )
    )
}
