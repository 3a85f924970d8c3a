//! What the core and this crate exchange; recorded for replay, so serialized names are fixed. Times are microseconds of the process's
//! clock.

use serde::{Deserialize, Serialize};

/// `[cluster.workflows]` of the settings; the table switches workflows on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Folder of the replicas' records, relative to the settings file; without it a replica lasts as long as its process.
    pub kept: Option<String>,
    /// Steps of one workflow at most.
    pub steps: u32,
    /// Bytes of its results and context at most.
    pub bytes: u64,
    /// Tokens of its answers at most.
    pub tokens: u64,
    /// Seconds that it may last.
    pub lasts_s: f64,
    /// Seconds for which a worker holds its lease without a renewal.
    pub lease_s: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            kept: None,
            steps: 1000,
            bytes: 1 << 20,
            tokens: 1_000_000,
            lasts_s: 86_400.0,
            lease_s: 1.5,
        }
    }
}

/// The core's number for one command; never reused within a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Call(pub u64);

/// What a step may do to the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Effect {
    /// Nothing that matters if it is repeated.
    Safe,
    /// Its receiver drops repeats by their idempotency key.
    Keyed,
    /// A repeat does harm.
    Unsafe,
}

/// How an attempt at a step ended, as far as its dispatcher knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// It ran.
    Done {
        /// Its result.
        result: String,
        /// Tokens of the result.
        tokens: u32,
    },
    /// It may have run; its result is not known.
    MayHaveRun,
    /// It was never sent, or was rejected: it may be retried as if nothing had happened.
    NeverRan,
}

/// A step as it is shown to the worker that claims a workflow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Its number.
    pub number: u32,
    /// What it may do.
    pub effect: Effect,
    /// Its idempotency key.
    pub key: String,
    /// How it ended; none while an attempt is in flight.
    #[serde(rename = "fate")]
    pub outcome: Option<AttemptOutcome>,
}

/// From the core. A workflow's name holds its tenant, its owner and the caller's name for it. `until_us` is the caller's deadline:
/// past it the answer is of no use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A worker begins a workflow, takes over one whose worker is silent, or returns to its own.
    Claim {
        /// The core's number.
        call: Call,
        /// Name of the workflow.
        workflow: String,
        /// Name of the worker.
        worker: String,
        /// The caller's deadline.
        until_us: u64,
    },
    /// Before the effect of a step is sent. Another request under the number of a known step is rejected.
    Intend {
        /// The core's number.
        call: Call,
        /// Name of the workflow.
        workflow: String,
        /// Epoch of the worker's claim.
        epoch: u64,
        /// Number of the step.
        step: u32,
        /// What the step may do.
        effect: Effect,
        /// Its idempotency key.
        key: String,
        /// Digest of the request.
        #[serde(rename = "asks")]
        request_digest: u64,
        /// The caller's deadline.
        until_us: u64,
    },
    /// How an attempt ended. The result is held back from the worker until [`Event::Committed`].
    #[serde(rename = "Ended")]
    ReportOutcome {
        /// The core's number.
        call: Call,
        /// Name of the workflow.
        workflow: String,
        /// Epoch of the worker's claim.
        epoch: u64,
        /// Number of the step.
        step: u32,
        /// How the attempt ended.
        #[serde(rename = "fate")]
        outcome: AttemptOutcome,
        /// The caller's deadline.
        until_us: u64,
    },
    /// The worker is alive and goes on.
    #[serde(rename = "Carry")]
    RenewLease {
        /// The core's number.
        call: Call,
        /// Name of the workflow.
        workflow: String,
        /// Epoch of the worker's claim.
        epoch: u64,
        /// The caller's deadline.
        until_us: u64,
    },
    /// The workflow is finished or cancelled: all but its last result is removed.
    Finish {
        /// The core's number.
        call: Call,
        /// Name of the workflow.
        workflow: String,
        /// Epoch of the worker's claim.
        epoch: u64,
        /// Cancelled, and not finished.
        cancelled: bool,
        /// The caller's deadline.
        until_us: u64,
    },
    /// A person has decided about an unsettled step: it ran with this result, it never ran, or ([`AttemptOutcome::MayHaveRun`]) it is
    /// abandoned. Also lets a parked workflow go on, whatever step is named. Rejected until the last lease is over.
    Settle {
        /// The core's number.
        call: Call,
        /// Name of the workflow.
        workflow: String,
        /// Number of the step.
        step: u32,
        /// The decision.
        #[serde(rename = "fate")]
        outcome: AttemptOutcome,
        /// The caller's deadline.
        until_us: u64,
    },
}

impl Command {
    /// The core's number.
    pub fn call(&self) -> Call {
        match self {
            Command::Claim { call, .. }
            | Command::Intend { call, .. }
            | Command::ReportOutcome { call, .. }
            | Command::RenewLease { call, .. }
            | Command::Finish { call, .. }
            | Command::Settle { call, .. } => *call,
        }
    }

    /// The caller's deadline.
    pub(crate) fn until_us(&self) -> u64 {
        match self {
            Command::Claim { until_us, .. }
            | Command::Intend { until_us, .. }
            | Command::ReportOutcome { until_us, .. }
            | Command::RenewLease { until_us, .. }
            | Command::Finish { until_us, .. }
            | Command::Settle { until_us, .. } => *until_us,
        }
    }
}

/// To the core; one for each command. [`Event::SendPermitted`] is followed by a command of its own, [`Command::ReportOutcome`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The worker holds the lease under this epoch.
    Claimed {
        /// Of the command.
        call: Call,
        /// Of the claim.
        epoch: u64,
        /// The compacted steps.
        context: String,
        /// The other steps so far.
        steps: Vec<Step>,
        /// Length of the lease, microseconds.
        lease_us: u64,
    },
    /// A majority holds the intent: the effect may be sent until then, checked when it is sent.
    #[serde(rename = "Go")]
    SendPermitted {
        /// Of the command.
        call: Call,
        /// End of the permission.
        until_us: u64,
    },
    /// The step is done already, and nothing may be sent. In answer to [`Command::ReportOutcome`]: another attempt's result stands,
    /// and is what the worker is answered.
    #[serde(rename = "Known")]
    AlreadyDone {
        /// Of the command.
        call: Call,
        /// The result that stands.
        result: String,
    },
    /// A majority holds what was reported.
    #[serde(rename = "Held")]
    Committed {
        /// Of the command.
        call: Call,
    },
    /// The command is not done.
    #[serde(rename = "Refused")]
    Rejected {
        /// Of the command.
        call: Call,
        /// Why not.
        #[serde(rename = "why")]
        reason: RejectReason,
    },
}

/// Why a command is rejected; the worker is told in these words.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum RejectReason {
    /// The worker's claim is not the latest.
    #[error("another worker carries this workflow under a later epoch")]
    Fenced,
    /// Another worker's lease has not expired.
    #[error("another worker carries this workflow and is alive")]
    #[serde(rename = "Carried")]
    LeaseHeld,
    /// May succeed later.
    #[error("a majority of its copies cannot be reached")]
    NoMajority,
    /// The record is gone.
    #[error("a majority of its copies is lost for good; what was done cannot be known")]
    Lost,
    /// Until [`Command::Settle`].
    #[error("an unsafe step may have run and nobody knows; a person has to decide")]
    Unsettled,
    /// Until [`Command::Settle`].
    #[error("it killed three workers and is parked")]
    Parked,
    /// Nothing more can be done with it.
    #[error("it has ended")]
    Ended,
    /// A limit of the settings, or of a name's length.
    #[error("its limit of steps, bytes, tokens or time is reached")]
    Limit,
    /// The step's request differs from the recorded one.
    #[error("this step's number was used for another request")]
    OtherRequest,
    /// It may never have begun.
    #[error("no such workflow, or step out of order")]
    Unknown,
    /// May succeed later.
    #[error("too many questions in hand")]
    Busy,
    /// May succeed later; whether it was written is not known.
    #[error("its copies cannot be written to disk")]
    #[serde(rename = "NotKept")]
    NotStored,
}
