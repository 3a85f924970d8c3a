//! Register calls: reads, writes and deletions of an operation's record, and the handling of their failures.

use std::time::Duration;

use bitternlatch_replicated_register::{CallId as RegisterCall, Input, RegisterError, Version};

use super::{notices, Coordinator, CoordinatorOutput, Timer};
use crate::io::RejectReason;
use crate::lease_observer::send_window;
use crate::operation::{Failure, Operation, PendingOperation, Phase};
use crate::record::Record;
use crate::transition::{Reply, Transition};

/// Time limit of one register call; after it the call fails and the operation retries.
const MAX_REGISTER_CALL: Duration = Duration::from_millis(1000);
/// Base of the backoff; doubled with each failed register call.
const MIN_BACKOFF: Duration = Duration::from_millis(10);
/// Longest backoff, without jitter.
const MAX_BACKOFF: Duration = Duration::from_millis(160);
/// Maximum number of times that the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Number of failed register calls up to which a conflict is retried at once, without a backoff.
const MAX_IMMEDIATE_RETRIES: u32 = 2;
/// How long an operation waits for an unreachable majority, even if its deadline is later. Outcome reports wait until their
/// deadline.
const MAX_QUORUM_WAIT: Duration = Duration::from_millis(1500);
/// Number of steps of the jitter, which lengthens a backoff to at most just below twice its length. The step is derived from the
/// dispatcher's name key and the operation's number.
const JITTER_PARTS: u32 = 64;

impl Coordinator {
    pub(super) fn read(&mut self, now: Duration, id: u64, out: &mut Vec<CoordinatorOutput>) {
        let call = self.next_register_call(id);
        let Some(pending) = self.queue.get_mut(id) else {
            return;
        };
        pending.phase = Phase::Reading;
        pending.register_call = Some(call.0);
        pending.has_read = true;
        out.push(CoordinatorOutput::Register(Input::Read {
            call,
            key: pending.key,
            deadline: pending.deadline.min(now + MAX_REGISTER_CALL),
        }));
    }

    fn next_register_call(&mut self, id: u64) -> RegisterCall {
        self.last_register_call += 1;
        self.register_calls.insert(self.last_register_call, id);
        RegisterCall(self.last_register_call)
    }

    /// Ends a register call and returns its operation; `None` if the operation does not wait for this call any more.
    fn complete_register_call(
        &mut self,
        call: RegisterCall,
    ) -> Option<(u64, &mut PendingOperation)> {
        let id = self.register_calls.remove(&call.0)?;
        let pending = self.queue.get_mut(id)?;
        if pending.register_call != Some(call.0) {
            return None;
        }
        pending.register_call = None;
        Some((id, pending))
    }

    /// Handles the result of a register read.
    pub(crate) fn on_read(
        &mut self,
        now: Duration,
        call: RegisterCall,
        found: Result<Option<(Version, Vec<u8>)>, RegisterError>,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let Some((id, pending)) = self.complete_register_call(call) else {
            return;
        };
        pending.phase = Phase::Idle;
        match found {
            Err(error) => self.on_failure(now, id, Failure::of(&error), out),
            Ok(None) => self.decide(now, id, None, out),
            Ok(Some((version, bytes))) => self.on_record(now, id, version, &bytes, out),
        }
    }

    fn on_record(
        &mut self,
        now: Duration,
        id: u64,
        version: Version,
        bytes: &[u8],
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let Some(pending) = self.queue.get(id) else {
            return;
        };
        let key = pending.key;
        match Record::decode(bytes) {
            Ok(record) => {
                self.lease_observer.observe(now, key, version, &record);
                self.cache.put(key, version, record.clone());
                self.decide(now, id, Some((version, record)), out);
            }
            Err(error) => {
                out.push(notices::unreadable(&pending.name, error));
                let rejected = Reply::Rejected(RejectReason::NoMajority);
                self.finish(now, id, rejected, None, out);
            }
        }
    }

    pub(super) fn write(
        &mut self,
        now: Duration,
        id: u64,
        expected: Option<Version>,
        record: Record,
        transition: Transition,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let Ok(value) = record.encode() else {
            let rejected = Reply::Rejected(RejectReason::Limit);
            return self.finish(now, id, rejected, None, out);
        };
        let call = self.next_register_call(id);
        let (epoch, lease) = (record.epoch(), self.lease_of(&record));
        let Some(pending) = self.queue.get_mut(id) else {
            return;
        };
        let permits_send = transition.reply == Reply::SendPermitted;
        let timeout = match permits_send {
            true => send_window(lease).min(MAX_REGISTER_CALL),
            false => MAX_REGISTER_CALL,
        };
        pending.register_call = Some(call.0);
        pending.phase = Phase::Writing {
            record: Box::new(record),
            transition,
            requested_at: now,
        };
        out.push(CoordinatorOutput::Register(Input::Write {
            call,
            key: pending.key,
            expected,
            epoch,
            value,
            deadline: pending.deadline.min(now + timeout),
        }));
        if permits_send && !self.safety_checks.majority_first {
            self.permit_send(now, now, lease, id, out);
        }
    }

    /// Returns how long this dispatcher may use the record's lease: the recorded length, which observers use, or the own setting if
    /// that is shorter.
    pub(super) fn lease_of(&self, record: &Record) -> Duration {
        self.lease.min(Duration::from_micros(record.lease().1))
    }

    pub(super) fn delete(
        &mut self,
        now: Duration,
        id: u64,
        expected: Version,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let call = self.next_register_call(id);
        let Some(pending) = self.queue.get_mut(id) else {
            return;
        };
        pending.register_call = Some(call.0);
        pending.phase = Phase::Deleting;
        out.push(CoordinatorOutput::Register(Input::Delete {
            call,
            key: pending.key,
            expected,
            deadline: now + MAX_REGISTER_CALL,
        }));
    }

    /// Handles the result of a write or a deletion: stored by a majority, not stored, or uncertain.
    pub(crate) fn on_written(
        &mut self,
        now: Duration,
        call: RegisterCall,
        done: Result<Version, RegisterError>,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let Some((id, pending)) = self.complete_register_call(call) else {
            return;
        };
        let phase = std::mem::replace(&mut pending.phase, Phase::Idle);
        let version = match done {
            Ok(version) => version,
            Err(error) => {
                let failure = Failure::of(&error);
                pending.maybe_written |= matches!(failure, Failure::Uncertain(_));
                return self.on_failure(now, id, failure, out);
            }
        };
        match phase {
            Phase::Writing {
                record,
                transition,
                requested_at,
            } => {
                pending.maybe_written = false;
                let key = pending.key;
                if let Some(notice) = &transition.notice {
                    out.push(notices::of_notice(&pending.name, notice));
                }
                self.lease_observer.observe(now, key, version, &record);
                self.cache.put(key, version, (*record).clone());
                if transition.reply == Reply::SendPermitted {
                    let lease = self.lease_of(&record);
                    self.permit_send(now, requested_at, lease, id, out);
                } else {
                    self.finish(now, id, transition.reply, Some(*record), out);
                }
            }
            Phase::Idle | Phase::Reading | Phase::Deleting => {
                let key = pending.key;
                self.cache.remove(key);
                self.lease_observer.forget(key);
                self.finish(now, id, Reply::Committed, None, out);
            }
        }
    }

    /// Handles a failed register call: rejects, reads again at once, or retries after a backoff.
    fn on_failure(
        &mut self,
        now: Duration,
        id: u64,
        failure: Failure,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let Some(pending) = self.queue.get_mut(id) else {
            return;
        };
        self.cache.remove(pending.key);
        pending.failed_calls += 1;
        match failure {
            Failure::Permanent(reason) => {
                return self.finish(now, id, Reply::Rejected(reason), None, out);
            }
            // The operator decided on the basis of the earlier record, so the decision must not be applied to a newer one.
            Failure::Conflict if matches!(pending.operation, Operation::Settle { .. }) => {
                let rejected = Reply::Rejected(RejectReason::Busy);
                return self.finish(now, id, rejected, None, out);
            }
            Failure::Conflict if pending.failed_calls <= MAX_IMMEDIATE_RETRIES => {
                return self.read(now, id, out);
            }
            Failure::Conflict => pending.failure_reason = RejectReason::Busy,
            Failure::Retryable(reason) => {
                pending.failure_reason = reason;
                if pending.has_waited_too_long(now, MAX_QUORUM_WAIT) {
                    return self.on_deadline(now, id, out);
                }
            }
            Failure::Uncertain(reason) => pending.failure_reason = reason,
        }
        let failed_calls = pending.failed_calls;
        self.back_off(now, id, failed_calls);
    }

    /// Schedules a retry. The jitter depends on the dispatcher and the operation, so that two operations that conflicted do not
    /// conflict again.
    fn back_off(&mut self, now: Duration, id: u64, failed_calls: u32) {
        let backoff = MIN_BACKOFF * (1 << failed_calls.min(MAX_BACKOFF_DOUBLINGS));
        let backoff = backoff.min(MAX_BACKOFF);
        let hash = u64::from(self.own.name.0) ^ id.wrapping_mul(0x9E37_79B9);
        let jitter = (hash % u64::from(JITTER_PARTS)) as u32;
        let retry_at = now + backoff + backoff * jitter / JITTER_PARTS;
        self.timers.set(Timer::Retry(id), retry_at);
    }
}
