//! One step of a workflow, as the register holds it.

use serde::{Deserialize, Serialize};

use crate::io::{AttemptOutcome, Effect, Step};

/// Bytes of one result that are kept; a longer one is cut and says so.
pub const MAX_RESULT_BYTES: usize = 4 * 1024;
/// Bytes of a step's key, of a worker's name and of a workflow's, at the most.
pub const MAX_NAME_BYTES: usize = 512;
/// Later results of one step that are kept beside the one that stands; what comes past them is counted.
pub const MAX_LATE_RESULTS: usize = 2;
/// Bytes of each of those.
const MAX_LATE_RESULT_BYTES: usize = 512;
/// Room for the words that say how much was cut.
const TRUNCATION_NOTE_BYTES: usize = 40;

/// What a worker is told of a step that a person left out.
pub const ABANDONED_RESULT: &str = "left out: a person decided so; it may have run";

/// One attempt at a step: which process, which start of it, its number there. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    pub name: u32,
    pub start: u64,
    pub number: u64,
}

/// Where a step stands. One that is not in the log yet is the next one, or out of order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StepState {
    /// It is known that it never ran.
    Planned,
    /// Its effect may leave, or has left.
    Intended { epoch: u64, attempt: Attempt },
    /// The first result that a majority held stands.
    Done { result: String, tokens: u32 },
    /// Whoever had it is gone; the attempt is the last one.
    MayHaveRun { attempt: Attempt },
    /// A person decided to go on without it.
    Abandoned,
}

/// A step and all that is known of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StepRecord {
    pub(crate) number: u32,
    pub(crate) effect: Effect,
    pub(crate) key: String,
    /// Digest of the request.
    pub(crate) request_digest: u64,
    pub(crate) stage: StepState,
    /// An attempt before the last one may have run too.
    pub(crate) earlier: bool,
    /// Results that came after the one that stands.
    pub(crate) late: Vec<String>,
    pub(crate) late_lost: u32,
}

impl StepRecord {
    /// Nothing of it is to be run any more.
    pub(crate) fn closed(&self) -> bool {
        matches!(self.stage, StepState::Done { .. } | StepState::Abandoned)
    }

    /// The attempt that runs, or may have run.
    pub(crate) fn attempt(&self) -> Option<Attempt> {
        match self.stage {
            StepState::Intended { attempt, .. } | StepState::MayHaveRun { attempt } => {
                Some(attempt)
            }
            _ => None,
        }
    }

    /// Keeps a result beside the one that stands.
    pub(crate) fn add_late_result(&mut self, result: &str) {
        match self.late.len() < MAX_LATE_RESULTS {
            true => self.late.push(cut(result, MAX_LATE_RESULT_BYTES)),
            false => self.late_lost = self.late_lost.saturating_add(1),
        }
    }

    /// As it is shown to who claims the workflow.
    pub(crate) fn summary(&self) -> Step {
        let outcome = match &self.stage {
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

/// At most so many bytes of a text, whole characters, and how long it was where that is less.
pub(crate) fn cut(text: &str, most: usize) -> String {
    if text.len() <= most {
        return text.to_string();
    }
    let mut end = most.saturating_sub(TRUNCATION_NOTE_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    format!("{} [cut, {} bytes in all]", &text[..end], text.len())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_long_result_is_cut_between_characters_within_its_bound_and_says_so() {
        let long = "ä".repeat(MAX_RESULT_BYTES);
        let kept = cut(&long, MAX_RESULT_BYTES);
        assert!(
            kept.len() <= MAX_RESULT_BYTES && kept.ends_with("[cut, 8192 bytes in all]"),
            "{}",
            kept.len()
        );
        assert_eq!(cut("short", MAX_RESULT_BYTES), "short");
    }
}
