//! One operation on a workflow: what is to be done, for whom, until when.

use std::time::Duration;

use bitternlatch_replicated_register::{RegisterError, RegisterKey, Version};

use crate::io::{AttemptOutcome, Call, Command, Effect, RejectReason};
use crate::record::Record;
use crate::step::Attempt;
use crate::transition::Transition;

/// What is to be done with a workflow.
#[derive(Clone, Debug)]
pub(crate) enum Operation {
    /// [`Command::Claim`].
    Claim { worker: String },
    /// [`Command::Intend`], with the attempt that it opens.
    Intend {
        epoch: u64,
        step: u32,
        effect: Effect,
        key: String,
        request_digest: u64,
        attempt: Option<Attempt>,
    },
    /// [`Command::ReportOutcome`], with the attempt if it is known here.
    ReportOutcome {
        epoch: u64,
        step: u32,
        outcome: AttemptOutcome,
        attempt: Option<Attempt>,
    },
    /// [`Command::RenewLease`].
    RenewLease { epoch: u64 },
    /// [`Command::Finish`].
    Finish { epoch: u64, cancelled: bool },
    /// [`Command::Settle`].
    Settle { step: u32, outcome: AttemptOutcome },
    /// The record was not written for as long as it may last, or ended long ago.
    Sweep,
}

impl Operation {
    /// Whether it decides by what the register holds, and never by a cached record.
    pub(crate) fn needs_read(&self) -> bool {
        matches!(
            self,
            Operation::Claim { .. } | Operation::Settle { .. } | Operation::Sweep
        )
    }

    /// Whether it ends a workflow whose time is over.
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

/// A command of the core, taken apart.
pub(crate) struct Request {
    pub(crate) call: Call,
    /// Name of the workflow.
    pub(crate) workflow: String,
    pub(crate) operation: Operation,
    /// Past it the answer is of no use.
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

/// What an operation waits for.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Its turn, or the end of its backoff.
    Idle,
    /// A read of the register.
    Reading,
    /// A write of the register.
    Writing {
        record: Box<Record>,
        transition: Transition,
        /// When the write was requested: a lease in the record counts from then.
        requested_at: Duration,
    },
    /// The deletion of the register.
    Deleting,
}

/// An operation that is not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingOperation {
    pub(crate) key: RegisterKey,
    /// Name of the workflow.
    pub(crate) name: String,
    /// None where nobody waits for the answer.
    pub(crate) call: Option<Call>,
    pub(crate) operation: Operation,
    started_at: Duration,
    /// When it is answered at the latest.
    pub(crate) deadline: Duration,
    pub(crate) phase: Phase,
    /// Number of the register call in progress.
    pub(crate) register_call: Option<u64>,
    /// Register calls that failed.
    pub(crate) attempts: u32,
    /// Whether the register itself was read in this attempt.
    pub(crate) has_read: bool,
    /// A write may have happened though it was reported as failed.
    pub(crate) maybe_written: bool,
    /// Why the last attempt failed.
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
            attempts: 0,
            has_read: false,
            maybe_written: false,
            failure_reason: RejectReason::NoMajority,
        }
    }

    /// The same operation from the start, with nobody to answer.
    pub(crate) fn in_background(self, now: Duration, deadline: Duration) -> PendingOperation {
        PendingOperation::new(now, self.key, self.name, None, self.operation, deadline)
    }

    /// Whether it is not to wait for a majority any longer; the report of an outcome waits to its deadline.
    pub(crate) fn has_waited(&self, now: Duration, limit: Duration) -> bool {
        let is_report = matches!(self.operation, Operation::ReportOutcome { .. });
        !is_report && now.saturating_sub(self.started_at) >= limit
    }
}

/// What a failed register call means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Another process wrote first: read and decide anew.
    Conflict,
    /// Certainly not written; may succeed later.
    Retryable(RejectReason),
    /// May be written; may succeed later.
    Uncertain(RejectReason),
    /// Certainly not written, and no retry will succeed.
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

/// What a read found: a version and its record, or nothing.
pub(crate) type Found = Option<(Version, Record)>;
