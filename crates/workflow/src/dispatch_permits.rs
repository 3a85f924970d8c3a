//! The desk's part in what leaves: permissions, attempts that are under way, intents that have to be undone.

use std::time::Duration;

use bitternlatch_replicated_register::RegisterKey;

use crate::coordinator::{
    new_pending, us, Coordinator, CoordinatorOutput, Timer, BACKGROUND_RETRY,
};
use crate::io::{AttemptOutcome, Event, RejectReason};
use crate::lease_observer::send_window;
use crate::operation::{Operation, PendingOperation, Phase};
use crate::record::{Record, Reply, State};

impl Coordinator {
    /// An intent is held: its effect may leave for less than half of the lease that was asked for with it.
    pub(crate) fn permit_send(
        &mut self,
        now: Duration,
        asked: (Duration, Duration),
        id: u64,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let (asked, lease) = asked;
        let Some(pending) = self.queue.pending.get_mut(&id) else {
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
            true => asked + send_window(lease),
            false => Duration::from_micros(u64::MAX),
        };
        if now >= until {
            pending.doubt = true;
            return self.undo_intent(now, id, RejectReason::NoMajority, out);
        }
        let key = pending.key;
        self.attempts.sent(now, key, attempt);
        self.timers.set(Timer::RenewLease(key), asked + lease / 3);
        if let Some(call) = self.remove(now, id, out).and_then(|pending| pending.call) {
            out.push(CoordinatorOutput::Event(Event::SendPermitted {
                call,
                until_us: us(until),
            }));
        }
    }

    /// An intent that nobody was told to send, though the register may hold it: it is told so, silently.
    pub(crate) fn undo_intent(
        &mut self,
        now: Duration,
        id: u64,
        why: RejectReason,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let Some(pending) = self.remove(now, id, out) else {
            return;
        };
        self.refuse(pending.call, why, out);
        let Operation::Intend {
            attempt: Some(attempt),
            step,
            epoch,
            ..
        } = pending.operation
        else {
            return;
        };
        if !pending.doubt && !matches!(pending.phase, Phase::Writing { .. }) {
            return self.attempts.close(pending.key, attempt);
        }
        let operation = Operation::ReportOutcome {
            epoch,
            step,
            outcome: AttemptOutcome::NeverRan,
            attempt: Some(attempt),
        };
        self.take(
            now,
            new_pending(
                now,
                pending.key,
                pending.name,
                None,
                operation,
                now + BACKGROUND_RETRY,
            ),
            out,
        )
    }

    /// What this process remembers of its attempts when a question is answered.
    pub(crate) fn update_attempts(
        &mut self,
        now: Duration,
        pending: &PendingOperation,
        answer: &Reply,
        record: Option<&Record>,
    ) {
        if record.is_some_and(|r| matches!(r.state(), State::Ended(_))) {
            self.timers.clear(Timer::RenewLease(pending.key));
            return self.attempts.close_all(pending.key);
        }
        let unheard = matches!(
            answer,
            Reply::Rejected(
                RejectReason::NoMajority
                    | RejectReason::NotStored
                    | RejectReason::Busy
                    | RejectReason::Lost
            )
        );
        match &pending.operation {
            Operation::ReportOutcome {
                attempt: Some(attempt),
                ..
            } if !unheard => self.attempts.close(pending.key, *attempt),
            Operation::Intend {
                attempt: Some(attempt),
                ..
            } => self.attempts.close(pending.key, *attempt),
            Operation::RenewLease { epoch } if !unheard && *answer != Reply::Committed => {
                self.attempts.fence(pending.key, *epoch);
            }
            Operation::RenewLease { .. }
                if self.attempts.active_epoch(now, pending.key).is_some() =>
            {
                let lease = record.map_or(self.lease, |r| self.lease_of(r));
                self.timers
                    .set(Timer::RenewLease(pending.key), now + lease / 3);
            }
            _ => {}
        }
    }

    /// While an attempt is under way here its workflow is carried, so that nobody adopts it in the middle of a long call.
    pub(crate) fn renew_lease(
        &mut self,
        now: Duration,
        key: RegisterKey,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let Some(epoch) = self.attempts.active_epoch(now, key) else {
            return;
        };
        let record = self.cache.get(key).map(|(_, record)| record);
        let lease = record.as_ref().map_or(self.lease, |r| self.lease_of(r));
        self.timers.set(Timer::RenewLease(key), now + lease / 3);
        if !self.queue.busy(key) {
            let name = record.map(|r| r.name).unwrap_or_default();
            self.take(
                now,
                new_pending(
                    now,
                    key,
                    name,
                    None,
                    Operation::RenewLease { epoch },
                    now + lease / 2,
                ),
                out,
            );
        }
    }
}
