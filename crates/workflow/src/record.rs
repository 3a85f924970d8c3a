//! The record of one workflow, stored in its register: lease holder, epoch, steps, resources used.

use bitternlatch_membership::NameKey;
use serde::{Deserialize, Serialize};

use crate::context::Context;
use crate::error::WorkflowError;
use crate::io::{RejectReason, Settings, Step};
use crate::step::{truncate, Attempt, StepRecord, MAX_NAME_BYTES};
use crate::time::seconds_to_micros;
use crate::transition::Claim;

/// Format version, the first byte of an encoded record.
const RECORD_VERSION: u8 = 1;
/// Maximum size of an encoded record, bytes: far below the maximum size of a frame between dispatchers.
pub const MAX_RECORD_BYTES: usize = 48 * 1024;
/// Number of closed steps that are stored in full; older ones are compacted.
pub const MAX_UNCOMPACTED_STEPS: usize = 6;

/// How a workflow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Finished by its worker, with no step open that may have had an effect.
    Finished,
    /// Cancelled by its worker.
    Cancelled,
    /// Reached its maximum age.
    Expired,
}

/// State of a workflow as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// Workers can claim it and run steps.
    Open,
    /// An unsafe step may have run; an operator has to settle it.
    Unsettled,
    /// [`crate::MAX_WORKER_DEATHS`] workers died without a step done between; an operator has to settle it.
    Parked,
    /// The workflow has ended, with this outcome; only a short record is left.
    Ended(Outcome),
}

/// Limits of one workflow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of closed steps.
    pub steps: u32,
    /// Maximum total size of the results, bytes.
    pub bytes: u64,
    /// Maximum total number of tokens of the results.
    pub tokens: u64,
    /// Maximum age, microseconds.
    pub max_age_us: u64,
}

impl Limits {
    pub(crate) fn of(settings: &Settings) -> Limits {
        Limits {
            steps: settings.steps,
            bytes: settings.bytes,
            tokens: settings.tokens,
            max_age_us: seconds_to_micros(settings.lasts_s),
        }
    }
}

/// The stored record of one workflow. Only the transitions in `workflow_transitions` and `step_transitions` change it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    pub(crate) name: String,
    pub(crate) state: State,
    /// Increases with each claim; commands with an older epoch are rejected.
    pub(crate) epoch: u64,
    /// Name of the worker that holds the lease; empty if no worker does.
    pub(crate) worker: String,
    /// Dispatcher through which the lease holder made its claim.
    pub(crate) holder: NameKey,
    /// Counter of the lease, increased by each renewal; an observer measures the lease from when it first sees the counter.
    pub(crate) lease: u64,
    /// Length of the lease, microseconds.
    pub(crate) lease_us: u64,
    /// Sum of the times, in microseconds, for which each writer saw the record unchanged before its write. Never more than the true
    /// age of the workflow.
    pub(crate) age_us: u64,
    /// Number of times that another worker adopted the workflow since a step was last done or the workflow was settled.
    pub(crate) deaths: u32,
    /// Total size of all results, bytes.
    pub(crate) bytes: u64,
    /// Total number of tokens of all results.
    pub(crate) tokens: u64,
    /// Summary of the compacted steps.
    pub(crate) context: Context,
    /// Steps that are not compacted; only the last one may be open.
    pub(crate) steps: Vec<StepRecord>,
}

impl Record {
    /// Creates the record of a new workflow, under epoch 1.
    pub fn begin(name: &str, claim: &Claim) -> Record {
        Record {
            name: truncate(name, MAX_NAME_BYTES),
            state: State::Open,
            epoch: 1,
            worker: claim.worker.to_string(),
            holder: claim.holder,
            lease: 1,
            lease_us: claim.lease_us,
            age_us: 0,
            deaths: 0,
            bytes: 0,
            tokens: 0,
            context: Context::default(),
            steps: vec![],
        }
    }

    /// Returns the state of the workflow.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the epoch of the latest claim.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the dispatcher through which the lease holder made its claim.
    pub fn holder(&self) -> NameKey {
        self.holder
    }

    /// Returns the counter of the lease and its length in microseconds.
    pub fn lease(&self) -> (u64, u64) {
        (self.lease, self.lease_us)
    }

    /// Returns the number of steps that are done or abandoned, compacted ones included.
    pub fn closed_steps(&self) -> u32 {
        let uncompacted = self.steps.iter().filter(|step| step.is_closed()).count();
        self.context.steps() + uncompacted as u32
    }

    /// Returns what the claiming worker needs to resume: the compacted steps as one text and the other steps one by one.
    pub fn summary(&self) -> (String, Vec<Step>) {
        let steps = self.steps.iter().map(StepRecord::summary).collect();
        (self.context.text(), steps)
    }

    /// Adds `seen_us`, the time for which the writer saw the record unchanged. Returns whether the workflow has reached its maximum
    /// age.
    pub fn add_age(&mut self, seen_us: u64, limits: &Limits) -> bool {
        self.age_us = self.age_us.saturating_add(seen_us);
        self.age_us >= limits.max_age_us
    }

    /// Returns the attempt at the open step that is in flight or may have run.
    pub fn open_attempt(&self) -> Option<Attempt> {
        self.steps.last().and_then(StepRecord::attempt)
    }

    /// Returns why the workflow's state rejects worker commands; `None` while it is open.
    pub(crate) fn reject_reason(&self) -> Option<RejectReason> {
        match self.state {
            State::Open => None,
            State::Unsettled => Some(RejectReason::Unsettled),
            State::Parked => Some(RejectReason::Parked),
            State::Ended(_) => Some(RejectReason::Ended),
        }
    }

    /// Renews the lease: every observer measures its length again from now.
    pub(crate) fn advance_lease(&mut self) {
        self.lease = self.lease.wrapping_add(1);
    }

    pub(crate) fn open_step(&mut self) -> Option<&mut StepRecord> {
        self.steps.last_mut().filter(|step| !step.is_closed())
    }

    /// Compacts the oldest closed steps, so that at most [`MAX_UNCOMPACTED_STEPS`] closed ones stay in full.
    pub(crate) fn compact(&mut self) {
        while self.steps.iter().filter(|step| step.is_closed()).count() > MAX_UNCOMPACTED_STEPS {
            let oldest = self.steps.remove(0);
            self.context.append_step(&oldest);
        }
    }

    /// Encodes the record for its register.
    ///
    /// # Errors
    /// [`WorkflowError::TooLong`] above [`MAX_RECORD_BYTES`]; the limits of the transitions keep every record below that.
    pub fn encode(&self) -> Result<Vec<u8>, WorkflowError> {
        let bytes = postcard::to_extend(self, vec![RECORD_VERSION])
            .map_err(|_| WorkflowError::Unreadable)?;
        match bytes.len() <= MAX_RECORD_BYTES {
            true => Ok(bytes),
            false => Err(WorkflowError::TooLong),
        }
    }

    /// Decodes a record from the value of its register.
    ///
    /// # Errors
    /// If the value is too long, has another format version, or is not a record.
    pub fn decode(bytes: &[u8]) -> Result<Record, WorkflowError> {
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(WorkflowError::TooLong);
        }
        let (version, rest) = bytes.split_first().ok_or(WorkflowError::Unreadable)?;
        if *version != RECORD_VERSION {
            return Err(WorkflowError::OtherVersion);
        }
        match postcard::take_from_bytes::<Record>(rest) {
            Ok((record, [])) => Ok(record),
            _ => Err(WorkflowError::Unreadable),
        }
    }
}
