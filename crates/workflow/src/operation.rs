//! One question in hand: what is to be done, for whom, until when.

use std::time::Duration;

use bitternlatch_replicated_register::{RegisterError, RegisterKey, Version};

use crate::io::{AttemptOutcome, Call, Command, Effect, RejectReason};
use crate::record::{Record, Transition};
use crate::step::Attempt;

/// What is to be done with a workflow.
#[derive(Clone, Debug)]
pub(crate) enum Operation {
    Claim {
        worker: String,
    },
    Intend {
        epoch: u64,
        step: u32,
        effect: Effect,
        key: String,
        request_digest: u64,
        attempt: Option<Attempt>,
    },
    ReportOutcome {
        epoch: u64,
        step: u32,
        outcome: AttemptOutcome,
        attempt: Option<Attempt>,
    },
    RenewLease {
        epoch: u64,
    },
    Finish {
        epoch: u64,
        cancelled: bool,
    },
    Settle {
        step: u32,
        outcome: AttemptOutcome,
    },
    /// Nobody has written it for as long as it may last; or it is over, and has been for long.
    Sweep,
}

impl Operation {
    /// Whether the register itself is asked before anything is decided.
    pub(crate) fn reads(&self) -> bool {
        matches!(
            self,
            Operation::Claim { .. } | Operation::Settle { .. } | Operation::Sweep
        )
    }

    /// Its call, workflow, what is to be done, and the end of its caller's patience.
    pub(crate) fn of(ask: Command) -> (Call, String, Operation, u64) {
        match ask {
            Command::Claim {
                call,
                workflow,
                worker,
                until_us,
            } => (call, workflow, Operation::Claim { worker }, until_us),
            Command::Intend {
                call,
                workflow,
                epoch,
                step,
                effect,
                key,
                request_digest,
                until_us,
            } => (
                call,
                workflow,
                Operation::Intend {
                    epoch,
                    step,
                    effect,
                    key,
                    request_digest,
                    attempt: None,
                },
                until_us,
            ),
            Command::ReportOutcome {
                call,
                workflow,
                epoch,
                step,
                outcome,
                until_us,
            } => (
                call,
                workflow,
                Operation::ReportOutcome {
                    epoch,
                    step,
                    outcome,
                    attempt: None,
                },
                until_us,
            ),
            Command::RenewLease {
                call,
                workflow,
                epoch,
                until_us,
            } => (call, workflow, Operation::RenewLease { epoch }, until_us),
            Command::Finish {
                call,
                workflow,
                epoch,
                cancelled,
                until_us,
            } => (
                call,
                workflow,
                Operation::Finish { epoch, cancelled },
                until_us,
            ),
            Command::Settle {
                call,
                workflow,
                step,
                outcome,
                until_us,
            } => (
                call,
                workflow,
                Operation::Settle { step, outcome },
                until_us,
            ),
        }
    }
}

/// What is awaited of the register.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Nothing: others are before it, or it waits to try again.
    Idle,
    Reading,
    /// Asked for at that time.
    Writing {
        record: Box<Record>,
        turn: Transition,
        asked: Duration,
    },
    Deleting,
}

/// A question in hand.
#[derive(Clone, Debug)]
pub(crate) struct PendingOperation {
    pub key: RegisterKey,
    pub name: String,
    /// None where nobody waits for the answer.
    pub call: Option<Call>,
    pub operation: Operation,
    pub began: Duration,
    /// When it is answered at the latest.
    pub until: Duration,
    pub phase: Phase,
    /// The register's question that is under way.
    pub op: Option<u64>,
    pub tries: u32,
    /// What was read of the register itself in this try.
    pub fresh: bool,
    /// A write of it may have happened.
    pub doubt: bool,
    /// Why the last try failed.
    pub why: RejectReason,
}

/// What a failed try of the register means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Another one wrote first: read and decide anew.
    Conflict,
    /// Later, perhaps; certainly not written.
    Retryable(RejectReason),
    /// Later, perhaps; it may be written.
    Uncertain(RejectReason),
    /// There is no use in trying.
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
            RegisterError::NoMajority | RegisterError::CatchingUp => {
                Failure::Retryable(RejectReason::NoMajority)
            }
            RegisterError::Lost => Failure::Permanent(RejectReason::Lost),
            RegisterError::TooLong { .. } => Failure::Permanent(RejectReason::Limit),
            RegisterError::Malformed | RegisterError::UnsupportedVersion(_) => {
                Failure::Retryable(RejectReason::NoMajority)
            }
        }
    }
}

/// A register's value, as it was found.
pub(crate) type Found = Option<(Version, Record)>;
