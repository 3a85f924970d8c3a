//! One step of a workflow, as the register holds it.

use serde::{Deserialize, Serialize};

use crate::io::{AttemptOutcome, Effect, Step};

/// Bytes of a result that are kept; a longer one is truncated and states so.
pub const MAX_RESULT_BYTES: usize = 4 * 1024;
/// Bytes of a step's key, of a worker's name and of a workflow's, at most.
pub(crate) const MAX_NAME_BYTES: usize = 512;
/// Later results of one step that are kept beside the one that stands; further ones are counted.
const MAX_LATE_RESULTS: usize = 2;
/// Bytes of each of those.
const MAX_LATE_RESULT_BYTES: usize = 512;
/// Bytes for the note that a text was truncated.
const TRUNCATION_NOTE_BYTES: usize = 40;

/// What a worker is answered about a step that a person abandoned.
pub(crate) const ABANDONED_RESULT: &str = "left out: a person decided so; it may have run";

/// One attempt at a step. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Name of the process's member.
    pub name: u32,
    /// Start number of the process.
    pub start: u64,
    /// Number of the attempt at that process.
    pub number: u64,
}

/// State of a step that is in the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StepState {
    /// It is known that it never ran.
    Planned,
    /// Its effect may be sent, or has been.
    Intended {
        /// Epoch of the claim.
        epoch: u64,
        /// The attempt.
        attempt: Attempt,
    },
    /// The first result that a majority held stands.
    Done {
        /// The result.
        result: String,
        /// Its tokens.
        tokens: u32,
    },
    /// The process of its last attempt is gone.
    MayHaveRun {
        /// The last attempt.
        attempt: Attempt,
    },
    /// A person decided to go on without it.
    Abandoned,
}

/// A step and all that is known of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StepRecord {
    pub(crate) number: u32,
    pub(crate) effect: Effect,
    /// Idempotency key.
    pub(crate) key: String,
    /// Digest of the request.
    pub(crate) request_digest: u64,
    pub(crate) state: StepState,
    /// An attempt before the last one may have run too.
    pub(crate) earlier: bool,
    /// Results that were reported after the one that stands.
    pub(crate) late: Vec<String>,
    /// Further ones, which are not kept.
    pub(crate) late_lost: u32,
}

impl StepRecord {
    /// No further attempt at it is to be made.
    pub(crate) fn is_closed(&self) -> bool {
        matches!(self.state, StepState::Done { .. } | StepState::Abandoned)
    }

    /// The attempt that is in flight, or may have run.
    pub(crate) fn attempt(&self) -> Option<Attempt> {
        match self.state {
            StepState::Intended { attempt, .. } | StepState::MayHaveRun { attempt } => {
                Some(attempt)
            }
            StepState::Planned | StepState::Done { .. } | StepState::Abandoned => None,
        }
    }

    /// Keeps a result beside the one that stands.
    pub(crate) fn add_late_result(&mut self, result: &str) {
        if self.late.len() < MAX_LATE_RESULTS {
            self.late.push(truncate(result, MAX_LATE_RESULT_BYTES));
        } else {
            self.late_lost = self.late_lost.saturating_add(1);
        }
    }

    /// As it is shown to the worker that claims the workflow.
    pub(crate) fn summary(&self) -> Step {
        let outcome = match &self.state {
            StepState::Planned => Some(AttemptOutcome::NeverRan),
            StepState::Intended { .. } => None,
            StepState::Done { result, tokens } => Some(AttemptOutcome::Done {
                result: result.clone(),
                tokens: *tokens,
            }),
            StepState::MayHaveRun { .. } => Some(AttemptOutcome::MayHaveRun),
            StepState::Abandoned => Some(AttemptOutcome::Done {
                result: ABANDONED_RESULT.to_string(),
                tokens: 0,
            }),
        };
        Step {
            number: self.number,
            effect: self.effect,
            key: self.key.clone(),
            outcome,
        }
    }
}

/// At most so many bytes of a text, in whole characters, with a note of its length where that is less than all.
pub(crate) fn truncate(text: &str, max_bytes: usize) -> String {
    if text.len() <= max_bytes {
        return text.to_string();
    }
    let mut end = max_bytes.saturating_sub(TRUNCATION_NOTE_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    format!("{} [cut, {} bytes in all]", &text[..end], text.len())
}

#[cfg(test)]
mod tests;
