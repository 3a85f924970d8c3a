//! The value of one workflow's register: who holds its lease under which epoch, its steps, its limits.

use bitternlatch_membership::NameKey;
use serde::{Deserialize, Serialize};

use crate::context::Context;
use crate::error::WorkflowError;
use crate::io::{RejectReason, Settings, Step};
use crate::step::{truncate, Attempt, StepRecord, MAX_NAME_BYTES};
use crate::time::micros_of_seconds;
use crate::transition::Claim;

/// First byte of an encoded record.
const RECORD_VERSION: u8 = 1;
/// Bytes of an encoded record at most: far below what a frame carries.
pub const MAX_RECORD_BYTES: usize = 48 * 1024;
/// Closed steps that are kept in full; older ones are compacted.
pub const MAX_UNCOMPACTED_STEPS: usize = 6;

/// How a workflow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// By its worker, with all steps closed.
    Finished,
    /// By its worker, before that.
    Cancelled,
    /// Its time was over.
    Expired,
}

/// State of a workflow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// It can be worked on.
    Open,
    /// An unsafe step may have run; a person has to decide.
    Unsettled,
    /// It killed its workers; a person has to decide.
    Parked,
    /// It has ended.
    Ended(Outcome),
}

/// Limits of one workflow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Closed steps.
    pub steps: u32,
    /// Bytes of results.
    pub bytes: u64,
    /// Tokens of results.
    pub tokens: u64,
    /// Microseconds that it may last.
    pub lasts_us: u64,
}

impl Limits {
    pub(crate) fn of(settings: &Settings) -> Limits {
        Limits {
            steps: settings.steps,
            bytes: settings.bytes,
            tokens: settings.tokens,
            lasts_us: micros_of_seconds(settings.lasts_s),
        }
    }
}

/// One workflow. Changed by the transitions alone (`workflow_transitions`, `step_transitions`).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    pub(crate) name: String,
    pub(crate) state: State,
    /// Rises with each claim; older ones are fenced off.
    pub(crate) epoch: u64,
    /// Worker that holds the lease; empty where none does.
    pub(crate) worker: String,
    /// Dispatcher of that worker.
    pub(crate) holder: NameKey,
    /// Counter of the lease, raised by each renewal; observers date it from when they first see it.
    pub(crate) lease: u64,
    pub(crate) lease_us: u64,
    /// Time that those who wrote it saw pass: never more than its age.
    pub(crate) age_us: u64,
    /// Workers that died since a step was last done.
    pub(crate) deaths: u32,
    /// Bytes of all results.
    pub(crate) bytes: u64,
    /// Tokens of all results.
    pub(crate) tokens: u64,
    /// Steps that were compacted.
    pub(crate) context: Context,
    /// The other steps; only the last one may be open.
    pub(crate) steps: Vec<StepRecord>,
}

impl Record {
    /// A new workflow, under its first epoch.
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

    /// Its state.
    pub fn state(&self) -> State {
        self.state
    }

    /// The epoch of the latest claim.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The dispatcher whose worker holds the lease.
    pub fn holder(&self) -> NameKey {
        self.holder
    }

    /// The lease's counter, and its length in microseconds.
    pub fn lease(&self) -> (u64, u64) {
        (self.lease, self.lease_us)
    }

    /// Number of steps that are done or abandoned.
    pub fn closed(&self) -> u32 {
        let uncompacted = self.steps.iter().filter(|step| step.is_closed()).count();
        self.context.steps() + uncompacted as u32
    }

    /// For the worker that claims it: the compacted steps as one text, the others one by one.
    pub fn summary(&self) -> (String, Vec<Step>) {
        let steps = self.steps.iter().map(StepRecord::summary).collect();
        (self.context.text(), steps)
    }

    /// Adds the time that its writer saw pass since the last write, microseconds. Returns whether its time is over.
    pub fn add_age(&mut self, seen_us: u64, limits: &Limits) -> bool {
        self.age_us = self.age_us.saturating_add(seen_us);
        self.age_us >= limits.lasts_us
    }

    /// The attempt at the open step that is in flight, or may have run.
    pub fn open_attempt(&self) -> Option<Attempt> {
        self.steps.last().and_then(StepRecord::attempt)
    }

    /// Why nothing can be done with it now, if so.
    pub(crate) fn reject_reason(&self) -> Option<RejectReason> {
        match self.state {
            State::Open => None,
            State::Unsettled => Some(RejectReason::Unsettled),
            State::Parked => Some(RejectReason::Parked),
            State::Ended(_) => Some(RejectReason::Ended),
        }
    }

    /// Renews the lease: observers begin to wait anew.
    pub(crate) fn advance_lease(&mut self) {
        self.lease = self.lease.wrapping_add(1);
    }

    pub(crate) fn open_step(&mut self) -> Option<&mut StepRecord> {
        self.steps.last_mut().filter(|step| !step.is_closed())
    }

    /// Compacts the oldest closed steps.
    pub(crate) fn compact(&mut self) {
        while self.steps.iter().filter(|step| step.is_closed()).count() > MAX_UNCOMPACTED_STEPS {
            let oldest = self.steps.remove(0);
            self.context.append_step(&oldest);
        }
    }

    /// As the register holds it.
    ///
    /// # Errors
    /// [`WorkflowError::TooLong`] past [`MAX_RECORD_BYTES`]: not reached by any record that the transitions make.
    pub fn encode(&self) -> Result<Vec<u8>, WorkflowError> {
        let bytes = postcard::to_extend(self, vec![RECORD_VERSION])
            .map_err(|_| WorkflowError::Unreadable)?;
        match bytes.len() <= MAX_RECORD_BYTES {
            true => Ok(bytes),
            false => Err(WorkflowError::TooLong),
        }
    }

    /// Decodes it.
    ///
    /// # Errors
    /// Where it is too long, of another version, or not a record.
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
