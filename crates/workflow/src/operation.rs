//! One operation on a workflow: what to do, for which call, and until when.

use std::time::Duration;

use bitternlatch_replicated_register::{RegisterError, RegisterKey, Version};

use crate::io::{AttemptOutcome, Call, Command, Effect, RejectReason};
use crate::record::Record;
use crate::step::Attempt;
use crate::transition::Transition;

/// Kind of an operation on a workflow, with its arguments.
#[derive(Clone, Debug)]
pub(crate) enum Operation {
    /// Carries out [`Command::Claim`].
    Claim { worker: String },
    /// Carries out [`Command::Intend`] with the attempt that it opens.
    Intend {
        epoch: u64,
        step: u32,
        effect: Effect,
        key: String,
        request_digest: u64,
        attempt: Option<Attempt>,
    },
    /// Carries out [`Command::ReportOutcome`] for the given attempt, or `None` if this process does not track the attempt.
    ReportOutcome {
        epoch: u64,
        step: u32,
        outcome: AttemptOutcome,
        attempt: Option<Attempt>,
    },
    /// Carries out [`Command::RenewLease`], or renews the lease during an attempt in flight.
    RenewLease { epoch: u64 },
    /// Carries out [`Command::Finish`].
    Finish { epoch: u64, cancelled: bool },
    /// Carries out [`Command::Settle`].
    Settle { step: u32, outcome: AttemptOutcome },
    /// Expires a workflow that exceeded its maximum age, or deletes the record of one that ended long ago.
    Sweep,
}

impl Operation {
    /// Returns whether the operation needs a read of the register and must not use a cached record.
    pub(crate) fn needs_read(&self) -> bool {
        matches!(
            self,
            Operation::Claim { .. } | Operation::Settle { .. } | Operation::Sweep
        )
    }

    /// Returns whether the operation expires the workflow if it has reached its maximum age.
    pub(crate) fn expires_workflow(&self) -> bool {
        match self {
            Operation::Claim { .. }
            | Operation::Intend { .. }
            | Operation::RenewLease { .. }
            | Operation::Sweep => true,
            Operation::ReportOutcome { .. }
            | Operation::Finish { .. }
            | Operation::Settle { .. } => false,
        }
    }
}

/// A command of the core, split into the parts that are common to all commands and the operation.
pub(crate) struct Request {
    pub(crate) call: Call,
    /// Full name of the workflow.
    pub(crate) workflow: String,
    pub(crate) operation: Operation,
    /// The caller's deadline; an answer after it is of no use.
    pub(crate) deadline: Duration,
}

impl Request {
    pub(crate) fn of(command: Command) -> Request {
        let (call, deadline_us) = (command.call(), command.until_us());
        let (workflow, operation) = match command {
            Command::Claim {
                workflow, worker, ..
            } => (workflow, Operation::Claim { worker }),
            Command::Intend {
                workflow,
                epoch,
                step,
                effect,
                key,
                request_digest,
                ..
            } => {
                let intend = Operation::Intend {
                    epoch,
                    step,
                    effect,
                    key,
                    request_digest,
                    attempt: None,
                };
                (workflow, intend)
            }
            Command::ReportOutcome {
                workflow,
                epoch,
                step,
                outcome,
                ..
            } => {
                let report = Operation::ReportOutcome {
                    epoch,
                    step,
                    outcome,
                    attempt: None,
                };
                (workflow, report)
            }
            Command::RenewLease {
                workflow, epoch, ..
            } => (workflow, Operation::RenewLease { epoch }),
            Command::Finish {
                workflow,
                epoch,
                cancelled,
                ..
            } => (workflow, Operation::Finish { epoch, cancelled }),
            Command::Settle {
                workflow,
                step,
                outcome,
                ..
            } => (workflow, Operation::Settle { step, outcome }),
        };
        Request {
            call,
            workflow,
            operation,
            deadline: Duration::from_micros(deadline_us),
        }
    }
}

/// What a pending operation waits for.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Its turn in the queue, or the end of its backoff.
    Idle,
    /// The result of a read of the register.
    Reading,
    /// The result of a write of the register.
    Writing {
        record: Box<Record>,
        transition: Transition,
        /// When the write was requested; the lease in the record counts from this time.
        requested_at: Duration,
    },
    /// The result of deleting the register.
    Deleting,
}

/// An operation that has not been answered yet, with its progress.
#[derive(Clone, Debug)]
pub(crate) struct PendingOperation {
    pub(crate) key: RegisterKey,
    /// Full name of the workflow.
    pub(crate) name: String,
    /// Call to answer; `None` for a background operation.
    pub(crate) call: Option<Call>,
    pub(crate) operation: Operation,
    started_at: Duration,
    /// Latest time at which the operation is answered.
    pub(crate) deadline: Duration,
    pub(crate) phase: Phase,
    /// Number of the register call in progress, if any.
    pub(crate) register_call: Option<u64>,
    /// Number of register calls of this operation that failed.
    pub(crate) failed_calls: u32,
    /// Whether the register was read since the last retry, so that the decision does not rest on a cached record.
    pub(crate) has_read: bool,
    /// A write of this operation may have been stored although it was reported as failed.
    pub(crate) maybe_written: bool,
    /// Reason to reject with if the deadline passes; set by the last failed register call.
    pub(crate) failure_reason: RejectReason,
}

impl PendingOperation {
    pub(crate) fn new(
        started_at: Duration,
        key: RegisterKey,
        name: String,
        call: Option<Call>,
        operation: Operation,
        deadline: Duration,
    ) -> PendingOperation {
        PendingOperation {
            key,
            name,
            call,
            operation,
            started_at,
            deadline,
            phase: Phase::Idle,
            register_call: None,
            failed_calls: 0,
            has_read: false,
            maybe_written: false,
            failure_reason: RejectReason::NoMajority,
        }
    }

    /// Returns the same operation restarted in the background, with no call to answer.
    pub(crate) fn in_background(self, now: Duration, deadline: Duration) -> PendingOperation {
        PendingOperation::new(now, self.key, self.name, None, self.operation, deadline)
    }

    /// Returns whether the operation has waited for a majority for `limit` or longer. Always false for an outcome report, which
    /// waits until its deadline.
    pub(crate) fn has_waited_too_long(&self, now: Duration, limit: Duration) -> bool {
        let is_report = matches!(self.operation, Operation::ReportOutcome { .. });
        !is_report && now.saturating_sub(self.started_at) >= limit
    }
}

/// What a failed register call means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Another process wrote first: the operation has to read and decide again.
    Conflict,
    /// The write was certainly not stored; a retry may succeed.
    Retryable(RejectReason),
    /// The write may have been stored; a retry may succeed.
    Uncertain(RejectReason),
    /// The write was certainly not stored, and no retry will succeed.
    Permanent(RejectReason),
}

impl Failure {
    pub(crate) fn of(error: &RegisterError) -> Failure {
        match error {
            RegisterError::Conflict { .. } | RegisterError::StaleEpoch { .. } => Failure::Conflict,
            RegisterError::TimedOut => Failure::Uncertain(RejectReason::NoMajority),
            RegisterError::NotStored(_) => Failure::Uncertain(RejectReason::NotStored),
            RegisterError::Full => Failure::Uncertain(RejectReason::Busy),
            RegisterError::Busy => Failure::Retryable(RejectReason::Busy),
            RegisterError::NoMajority
            | RegisterError::CatchingUp
            | RegisterError::Malformed
            | RegisterError::UnsupportedVersion(_) => Failure::Retryable(RejectReason::NoMajority),
            RegisterError::Lost => Failure::Permanent(RejectReason::Lost),
            RegisterError::TooLong { .. } => Failure::Permanent(RejectReason::Limit),
        }
    }
}

/// Result of a read: the version and its record, or `None` if the register is empty.
pub(crate) type Found = Option<(Version, Record)>;
