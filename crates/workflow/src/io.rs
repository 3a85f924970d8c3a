//! What the core tells and is told; recorded. Times are microseconds of the process's clock.

use serde::{Deserialize, Serialize};

/// `[cluster.workflows]`; the table switches it on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Where copies are kept, relative to the settings file; without it a copy lasts as long as its process.
    pub kept: Option<String>,
    /// Steps of one workflow at the most.
    pub steps: u32,
    /// Bytes of its results and context at the most.
    pub bytes: u64,
    /// Tokens of its answers at the most.
    pub tokens: u64,
    /// Seconds that it may last.
    pub lasts_s: f64,
    /// Seconds for which a worker carries it without a word.
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

/// The core's number for one question; never reused within a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Call(pub u64);

/// What a step may do to the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

/// How an attempt at a step ended, as far as its dispatcher knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    Done {
        result: String,
        tokens: u32,
    },
    /// It may have run; its result is not known.
    MayHaveRun,
    /// It never left, or was turned away: it may be tried again as if nothing had been.
    NeverRan,
}

/// A step as it is shown to who claims a workflow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    pub number: u32,
    pub effect: Effect,
    pub key: String,
    #[serde(rename = "fate")]
    pub outcome: Option<AttemptOutcome>,
}

/// By the core. A workflow goes by its tenant, its owner and the caller's name for it, in one text. `until_us` is the end of the
/// caller's patience: past it the answer is of no use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A worker begins a workflow, or takes over one whose worker is silent, or comes back to its own.
    Claim {
        call: Call,
        workflow: String,
        worker: String,
        until_us: u64,
    },
    /// Before a step's effect leaves. `request_digest` is a digest of the request: another request under the number of a step that is known
    /// is refused.
    Intend {
        call: Call,
        workflow: String,
        epoch: u64,
        step: u32,
        effect: Effect,
        key: String,
        #[serde(rename = "asks")]
        request_digest: u64,
        until_us: u64,
    },
    /// How the attempt ended. The answer is held back until [`Event::Committed`].
    #[serde(rename = "Ended")]
    ReportOutcome {
        call: Call,
        workflow: String,
        epoch: u64,
        step: u32,
        #[serde(rename = "fate")]
        outcome: AttemptOutcome,
        until_us: u64,
    },
    /// The worker is alive and goes on.
    #[serde(rename = "Carry")]
    RenewLease {
        call: Call,
        workflow: String,
        epoch: u64,
        until_us: u64,
    },
    /// The workflow is finished, or cancelled: all is let go of but its result.
    Finish {
        call: Call,
        workflow: String,
        epoch: u64,
        cancelled: bool,
        until_us: u64,
    },
    /// A person has decided about an unsettled step: it ran with this result, it never ran, or ([`AttemptOutcome::MayHaveRun`]) it is left
    /// out. Also lets a parked workflow go on, whatever step is named. Refused as carried until its last lease is over.
    Settle {
        call: Call,
        workflow: String,
        step: u32,
        #[serde(rename = "fate")]
        outcome: AttemptOutcome,
        until_us: u64,
    },
}

impl Command {
    /// Its number.
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
}

/// To the core; one answer a call, but for [`Event::SendPermitted`] followed by the answer to [`Command::ReportOutcome`], which has a call of its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The worker holds it under this epoch; steps so far, the compacted ones as one context text.
    Claimed {
        call: Call,
        epoch: u64,
        context: String,
        steps: Vec<Step>,
        lease_us: u64,
    },
    /// The intent is held by a majority: the effect may leave until then, checked at the act.
    #[serde(rename = "Go")]
    SendPermitted { call: Call, until_us: u64 },
    /// The step is done already; this is its result, and nothing may be sent. In answer to [`Command::ReportOutcome`]: another attempt's
    /// result stands, and is what the worker is to be told.
    #[serde(rename = "Known")]
    AlreadyDone { call: Call, result: String },
    /// What was told is held by a majority.
    #[serde(rename = "Held")]
    Committed { call: Call },
    /// Refused, and why.
    #[serde(rename = "Refused")]
    Rejected {
        call: Call,
        #[serde(rename = "why")]
        reason: RejectReason,
    },
}

/// Why a question is refused; each is told to the worker in these words.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum RejectReason {
    #[error("another worker carries this workflow under a later epoch")]
    Fenced,
    #[error("another worker carries this workflow and is alive")]
    #[serde(rename = "Carried")]
    LeaseHeld,
    #[error("a majority of its copies cannot be reached")]
    NoMajority,
    #[error("a majority of its copies is lost for good; what was done cannot be known")]
    Lost,
    #[error("an unsafe step may have run and nobody knows; a person has to decide")]
    Unsettled,
    #[error("it killed three workers and is parked")]
    Parked,
    #[error("it has ended")]
    Ended,
    #[error("its limit of steps, bytes, tokens or time is reached")]
    Limit,
    #[error("this step's number was used for another request")]
    OtherRequest,
    #[error("no such workflow, or step out of order")]
    Unknown,
    #[error("too many questions in hand")]
    Busy,
    #[error("its copies cannot be written to disk")]
    #[serde(rename = "NotKept")]
    NotStored,
}
