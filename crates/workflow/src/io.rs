//! Settings, commands and events that the core and this crate exchange. Commands and events are recorded for replay, so their
//! serialized names are fixed. Times are in microseconds of the process's own clock.

use serde::{Deserialize, Serialize};

/// The `[cluster.workflows]` table of the settings file. Workflows are enabled if the table is present.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Directory where this member stores its register replicas, relative to the settings file. If unset, replicas are in memory
    /// and are lost when the process ends.
    #[serde(rename = "kept")]
    pub records_dir: Option<String>,
    /// Maximum number of steps of one workflow.
    pub steps: u32,
    /// Maximum total size of the results of one workflow, bytes.
    pub bytes: u64,
    /// Maximum total number of tokens in the results of one workflow.
    pub tokens: u64,
    /// Maximum age of a workflow, seconds; past it the workflow expires.
    pub lasts_s: f64,
    /// Length of a worker's lease on its workflow, seconds; the lease expires if it is not renewed in this time.
    pub lease_s: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            records_dir: None,
            steps: 1000,
            bytes: 1 << 20,
            tokens: 1_000_000,
            lasts_s: 86_400.0,
            lease_s: 1.5,
        }
    }
}

/// Number by which the core matches a command to its event; never reused during a run of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Call(pub u64);

/// Whether a step's request may be repeated after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Effect {
    /// Repeating the step does no harm.
    Safe,
    /// The receiver drops repeats by the step's idempotency key.
    Keyed,
    /// A repeat does harm: the step is never sent again once an attempt may have run.
    Unsafe,
}

/// How an attempt at a step ended, as far as the dispatcher that made the attempt knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The step ran and its result is known.
    Done {
        /// Result of the step.
        result: String,
        /// Number of tokens of the result.
        tokens: u32,
    },
    /// The step may have run; its result is not known.
    MayHaveRun,
    /// The request was never sent, or the receiver rejected it: the step certainly did not run and may be retried.
    NeverRan,
}

/// A step as returned to the worker that claims the workflow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of the step within its workflow.
    pub number: u32,
    /// Whether the step may be repeated.
    pub effect: Effect,
    /// Idempotency key of the step.
    pub key: String,
    /// Outcome of the step; `None` while an attempt is in flight.
    #[serde(rename = "fate")]
    pub outcome: Option<AttemptOutcome>,
}

/// A command of the core about one workflow. The workflow's name consists of its tenant, its owner and the caller's own name for
/// it. `until_us` is the caller's deadline: an answer after it is of no use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A worker starts a workflow, adopts one whose lease has expired, or claims its own workflow again.
    Claim {
        /// Number that the event answering this command carries.
        call: Call,
        /// Full name of the workflow.
        workflow: String,
        /// Name of the claiming worker.
        worker: String,
        /// The caller's deadline, microseconds.
        until_us: u64,
    },
    /// Records the intent of a step before its request is sent. A step number that was used for a different request is rejected.
    Intend {
        /// Number that the event answering this command carries.
        call: Call,
        /// Full name of the workflow.
        workflow: String,
        /// Epoch that the worker got with its claim.
        epoch: u64,
        /// Number of the step within its workflow.
        step: u32,
        /// Whether the step may be repeated.
        effect: Effect,
        /// Idempotency key of the step.
        key: String,
        /// Digest of the request, to detect another request under the same step number.
        #[serde(rename = "asks")]
        request_digest: u64,
        /// The caller's deadline, microseconds.
        until_us: u64,
    },
    /// Reports how an attempt ended. The core must not pass the result to the worker before [`Event::Committed`].
    #[serde(rename = "Ended")]
    ReportOutcome {
        /// Number that the event answering this command carries.
        call: Call,
        /// Full name of the workflow.
        workflow: String,
        /// Epoch that the worker got with its claim.
        epoch: u64,
        /// Number of the step within its workflow.
        step: u32,
        /// Outcome of the attempt.
        #[serde(rename = "fate")]
        outcome: AttemptOutcome,
        /// The caller's deadline, microseconds.
        until_us: u64,
    },
    /// Renews the worker's lease; sent while the worker is alive.
    #[serde(rename = "Carry")]
    RenewLease {
        /// Number that the event answering this command carries.
        call: Call,
        /// Full name of the workflow.
        workflow: String,
        /// Epoch that the worker got with its claim.
        epoch: u64,
        /// The caller's deadline, microseconds.
        until_us: u64,
    },
    /// Finishes or cancels the workflow: everything but its last result is removed from the record.
    Finish {
        /// Number that the event answering this command carries.
        call: Call,
        /// Full name of the workflow.
        workflow: String,
        /// Epoch that the worker got with its claim.
        epoch: u64,
        /// True to cancel the workflow, false to finish it.
        cancelled: bool,
        /// The caller's deadline, microseconds.
        until_us: u64,
    },
    /// An operator's decision about an unsettled step: it ran with this result, it never ran, or ([`AttemptOutcome::MayHaveRun`])
    /// it is abandoned. Also unparks a parked workflow, whichever step is named. Rejected until the last lease has expired.
    Settle {
        /// Number that the event answering this command carries.
        call: Call,
        /// Full name of the workflow.
        workflow: String,
        /// Number of the step within its workflow.
        step: u32,
        /// The operator's decision.
        #[serde(rename = "fate")]
        outcome: AttemptOutcome,
        /// The caller's deadline, microseconds.
        until_us: u64,
    },
}

impl Command {
    /// Number that the event answering this command carries.
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

    /// The caller's deadline, microseconds.
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

/// An answer to the core, exactly one for each command. After [`Event::SendPermitted`] the core sends [`Command::ReportOutcome`], a
/// command with a number of its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The worker holds the workflow's lease under this epoch.
    Claimed {
        /// Number of the command that this event answers.
        call: Call,
        /// Epoch of the claim; later commands of the worker carry it.
        epoch: u64,
        /// Summary of the compacted steps, as one text.
        context: String,
        /// Recorded steps that are not compacted, in order.
        steps: Vec<Step>,
        /// Length of the lease, microseconds.
        lease_us: u64,
    },
    /// A majority has stored the intent: the step's request may be sent until `until_us`, which the core checks when it sends.
    #[serde(rename = "Go")]
    SendPermitted {
        /// Number of the command that this event answers.
        call: Call,
        /// End of the dispatch permit, microseconds.
        until_us: u64,
    },
    /// The step is done already and must not be sent. In answer to [`Command::ReportOutcome`]: another attempt's result was
    /// recorded first, and the worker is answered with that one.
    #[serde(rename = "Known")]
    AlreadyDone {
        /// Number of the command that this event answers.
        call: Call,
        /// The recorded result of the step.
        result: String,
    },
    /// A majority has stored what the command reported or changed.
    #[serde(rename = "Held")]
    Committed {
        /// Number of the command that this event answers.
        call: Call,
    },
    /// The command was not carried out.
    #[serde(rename = "Refused")]
    Rejected {
        /// Number of the command that this event answers.
        call: Call,
        /// Reason of the rejection.
        #[serde(rename = "why")]
        reason: RejectReason,
    },
}

/// Why a command is rejected. The error text is returned to the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum RejectReason {
    /// The command's epoch is not the latest: another claim was made since.
    #[error("another worker carries this workflow under a later epoch")]
    Fenced,
    /// Another worker holds the lease, and it has not expired.
    #[error("another worker carries this workflow and is alive")]
    #[serde(rename = "Carried")]
    LeaseHeld,
    /// No majority of the replicas could be reached; a retry may succeed.
    #[error("a majority of its copies cannot be reached")]
    NoMajority,
    /// A majority of the replicas lost the record; no retry will succeed.
    #[error("a majority of its copies is lost for good; what was done cannot be known")]
    Lost,
    /// An unsafe step may have run; the workflow is stopped until [`Command::Settle`].
    #[error("an unsafe step may have run and nobody knows; a person has to decide")]
    Unsettled,
    /// Too many workers died over one step; the workflow is stopped until [`Command::Settle`].
    #[error("it killed three workers and is parked")]
    Parked,
    /// The workflow has finished, was cancelled or has expired.
    #[error("it has ended")]
    Ended,
    /// A limit of the settings is reached, or a name or an encoded record is too long.
    #[error("its limit of steps, bytes, tokens or time is reached")]
    Limit,
    /// The step's number was used for a different request.
    #[error("this step's number was used for another request")]
    OtherRequest,
    /// The register holds no record of the workflow, or the step is not the next one.
    #[error("no such workflow, or step out of order")]
    Unknown,
    /// Too many operations are pending, or an attempt at the step is in flight; a retry may succeed.
    #[error("too many questions in hand")]
    Busy,
    /// A replica could not store the record; it is not known whether it was written. A retry may succeed.
    #[error("its copies cannot be written to disk")]
    #[serde(rename = "NotKept")]
    NotStored,
}
