//! One question in hand: what is to be done, for whom, until when.

use std::time::Duration;

use bitternlatch_replicated_register::{RegisterKey, ReplicaError, Version};

use crate::io::{Ask, Call, Effect, Fate, Refusal};
use crate::record::{Record, Turn};
use crate::step::Attempt;

/// What is to be done with a workflow.
#[derive(Clone, Debug)]
pub(crate) enum Act {
    Claim {
        worker: String,
    },
    Intend {
        epoch: u64,
        step: u32,
        effect: Effect,
        key: String,
        asks: u64,
        attempt: Option<Attempt>,
    },
    Ended {
        epoch: u64,
        step: u32,
        fate: Fate,
        attempt: Option<Attempt>,
    },
    Carry {
        epoch: u64,
    },
    Finish {
        epoch: u64,
        cancelled: bool,
    },
    Settle {
        step: u32,
        fate: Fate,
    },
    /// Nobody has written it for as long as it may last; or it is over, and has been for long.
    Sweep,
}

impl Act {
    /// Whether the register itself is asked before anything is decided.
    pub(crate) fn reads(&self) -> bool {
        matches!(self, Act::Claim { .. } | Act::Settle { .. } | Act::Sweep)
    }

    /// Its call, workflow, what is to be done, and the end of its caller's patience.
    pub(crate) fn of(ask: Ask) -> (Call, String, Act, u64) {
        match ask {
            Ask::Claim {
                call,
                workflow,
                worker,
                until_us,
            } => (call, workflow, Act::Claim { worker }, until_us),
            Ask::Intend {
                call,
                workflow,
                epoch,
                step,
                effect,
                key,
                asks,
                until_us,
            } => (
                call,
                workflow,
                Act::Intend {
                    epoch,
                    step,
                    effect,
                    key,
                    asks,
                    attempt: None,
                },
                until_us,
            ),
            Ask::Ended {
                call,
                workflow,
                epoch,
                step,
                fate,
                until_us,
            } => (
                call,
                workflow,
                Act::Ended {
                    epoch,
                    step,
                    fate,
                    attempt: None,
                },
                until_us,
            ),
            Ask::Carry {
                call,
                workflow,
                epoch,
                until_us,
            } => (call, workflow, Act::Carry { epoch }, until_us),
            Ask::Finish {
                call,
                workflow,
                epoch,
                cancelled,
                until_us,
            } => (call, workflow, Act::Finish { epoch, cancelled }, until_us),
            Ask::Settle {
                call,
                workflow,
                step,
                fate,
                until_us,
            } => (call, workflow, Act::Settle { step, fate }, until_us),
        }
    }
}

/// What is awaited of the register.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Nothing: others are before it, or it waits to try again.
    Waits,
    Reads,
    /// Asked for at that time.
    Writes {
        record: Box<Record>,
        turn: Turn,
        asked: Duration,
    },
    Drops,
}

/// A question in hand.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub key: RegisterKey,
    pub name: String,
    /// None where nobody waits for the answer.
    pub call: Option<Call>,
    pub act: Act,
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
    pub why: Refusal,
}

/// What a failed try of the register means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Another one wrote first: read and decide anew.
    Again,
    /// Later, perhaps; certainly not written.
    Later(Refusal),
    /// Later, perhaps; it may be written.
    Doubt(Refusal),
    /// There is no use in trying.
    Final(Refusal),
}

impl Failure {
    pub(crate) fn of(error: &ReplicaError) -> Failure {
        match error {
            ReplicaError::Conflict { .. } | ReplicaError::EpochPassed { .. } => Failure::Again,
            ReplicaError::TimedOut => Failure::Doubt(Refusal::NoMajority),
            ReplicaError::NotKept(_) => Failure::Doubt(Refusal::NotKept),
            ReplicaError::Full => Failure::Doubt(Refusal::Busy),
            ReplicaError::Busy => Failure::Later(Refusal::Busy),
            ReplicaError::NoMajority | ReplicaError::CatchingUp => {
                Failure::Later(Refusal::NoMajority)
            }
            ReplicaError::Lost => Failure::Final(Refusal::Lost),
            ReplicaError::TooLong { .. } => Failure::Final(Refusal::Limit),
            ReplicaError::Unreadable | ReplicaError::OtherVersion(_) => {
                Failure::Later(Refusal::NoMajority)
            }
        }
    }
}

/// A register's value, as it was found.
pub(crate) type Found = Option<(Version, Record)>;
