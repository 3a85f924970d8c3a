//! One step of a workflow, as stored in the workflow's record.

use serde::{Deserialize, Serialize};

use crate::io::{AttemptOutcome, Effect, Step};

/// Maximum size of a stored result, bytes; a longer one is truncated and ends with a note.
pub const MAX_RESULT_BYTES: usize = 4 * 1024;
/// Maximum length of a step's idempotency key, a worker's name and a workflow's name, bytes.
pub(crate) const MAX_NAME_BYTES: usize = 512;
/// Maximum number of late results stored for one step; further ones are only counted.
const MAX_LATE_RESULTS: usize = 2;
/// Maximum size of each late result, bytes.
const MAX_LATE_RESULT_BYTES: usize = 512;
/// Room for the note at the end of a truncated text, bytes.
const TRUNCATION_NOTE_BYTES: usize = 40;

/// Result that workers get for a step that an operator abandoned.
pub(crate) const ABANDONED_RESULT: &str = "left out: a person decided so; it may have run";

/// Identifies one attempt at a step; no two attempts have the same identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Name key of the member whose process made the attempt.
    pub name: u32,
    /// Start number (incarnation) of that process.
    pub start: u64,
    /// Number of the attempt, counted by that process.
    pub number: u64,
}

/// State of a recorded step.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StepState {
    /// The step certainly never ran, and no attempt is in flight.
    Planned,
    /// The intent is recorded: the request may be sent, or has been.
    Intended {
        /// Epoch under which the intent was recorded.
        epoch: u64,
        /// Attempt that the intent is for.
        attempt: Attempt,
    },
    /// The step ran; this is the first result that a majority stored.
    Done {
        /// Result of the step.
        result: String,
        /// Number of tokens of the result.
        tokens: u32,
    },
    /// The last attempt may have run, and its outcome was not reported.
    MayHaveRun {
        /// The last attempt at the step.
        attempt: Attempt,
    },
    /// An operator abandoned the step: workers continue without its result.
    Abandoned,
}

/// One step of a workflow with the outcomes of its attempts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StepRecord {
    pub(crate) number: u32,
    pub(crate) effect: Effect,
    /// Idempotency key of the step.
    pub(crate) key: String,
    /// Digest of the request, to detect another request under the same step number.
    pub(crate) request_digest: u64,
    pub(crate) state: StepState,
    /// An attempt before the last one may have run too.
    #[serde(rename = "earlier")]
    pub(crate) earlier_may_have_run: bool,
    /// Results that were reported after the one in `state`, truncated.
    #[serde(rename = "late")]
    pub(crate) late_results: Vec<String>,
    /// Number of further late results, which are not stored.
    #[serde(rename = "late_lost")]
    pub(crate) dropped_late_results: u32,
}

impl StepRecord {
    /// Returns whether the step is done or abandoned, so that no further attempt is made.
    pub(crate) fn is_closed(&self) -> bool {
        matches!(self.state, StepState::Done { .. } | StepState::Abandoned)
    }

    /// Returns the attempt that is in flight or may have run.
    pub(crate) fn attempt(&self) -> Option<Attempt> {
        match self.state {
            StepState::Intended { attempt, .. } | StepState::MayHaveRun { attempt } => {
                Some(attempt)
            }
            StepState::Planned | StepState::Done { .. } | StepState::Abandoned => None,
        }
    }

    /// Stores a result that was reported after the one that counts, or only counts it if there is no room.
    pub(crate) fn add_late_result(&mut self, result: &str) {
        if self.late_results.len() < MAX_LATE_RESULTS {
            self.late_results
                .push(truncate(result, MAX_LATE_RESULT_BYTES));
        } else {
            self.dropped_late_results = self.dropped_late_results.saturating_add(1);
        }
    }

    /// Returns the step as shown to the worker that claims the workflow.
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

/// Truncates a text to at most `max_bytes` bytes, between characters. A truncated text ends with a note of the original length.
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
