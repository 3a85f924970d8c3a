//! Permissions to send an effect, attempts in flight, and intents that have to be undone.

use std::time::Duration;

use bitternlatch_replicated_register::RegisterKey;

use super::{Coordinator, CoordinatorOutput, Timer, BACKGROUND_RETRY};
use crate::io::{AttemptOutcome, Event, RejectReason};
use crate::lease_observer::send_window;
use crate::operation::{Operation, PendingOperation, Phase};
use crate::record::{Record, State};
use crate::time::as_micros;
use crate::transition::Reply;

/// A lease is renewed after this part of its length.
const RENEWALS_PER_LEASE: u32 = 3;

impl Coordinator {
    /// A majority holds an intent: its effect may be sent for less than half of the lease that was requested with it.
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
        self.attempts.sent(now, key, attempt);
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

    /// An intent that nobody was permitted to send, though the register may hold it: the record is told so in the background.
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
        let deadline = now + BACKGROUND_RETRY;
        let report =
            PendingOperation::new(now, pending.key, pending.name, None, never_ran, deadline);
        self.enqueue(now, report, out);
    }

    /// What this process remembers of its attempts once an operation is answered.
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
        let reached_register = !is_unreachable(reply);
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

    /// While an attempt is in flight here its workflow's lease is renewed, so that nobody takes it over during a long call.
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

/// Whether a reply says nothing about what the register holds.
fn is_unreachable(reply: &Reply) -> bool {
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
