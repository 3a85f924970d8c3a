//! Summary of the compacted steps of a workflow: one line for each step while there is room, and one digest over all lines.

use serde::{Deserialize, Serialize};

use crate::step::{truncate, StepRecord, StepState, ABANDONED_RESULT};

/// Maximum total size of the lines, bytes; the oldest lines are removed first. The digest covers removed lines too.
const MAX_CONTEXT_BYTES: usize = 2 * 1024;
/// Maximum size of one line, bytes; a longer one is truncated.
const MAX_LINE_BYTES: usize = 128;
/// Size of the stored digest, bytes.
const DIGEST_BYTES: usize = 16;

/// Summary of the compacted steps of one workflow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Context {
    lines: String,
    digest: [u8; DIGEST_BYTES],
    steps: u32,
    /// Number of lines that were removed for lack of room.
    #[serde(rename = "gone")]
    removed_lines: u32,
}

impl Context {
    /// Returns the number of compacted steps.
    pub(crate) fn steps(&self) -> u32 {
        self.steps
    }

    /// Appends a step that is done or abandoned to the summary: one line with the step's result, or with a note that the step was
    /// abandoned, and one line for each result that was reported after the one that counts.
    pub(crate) fn append_step(&mut self, step: &StepRecord) {
        self.steps = self.steps.saturating_add(1);
        let result = match &step.state {
            StepState::Done { result, .. } => result.as_str(),
            _ => ABANDONED_RESULT,
        };
        self.append_line(&format!("{}: {result}", step.number));
        for late in &step.late_results {
            self.append_late_result(step.number, late);
        }
    }

    /// Appends a result that was reported for a compacted step after the one that counts.
    pub(crate) fn append_late_result(&mut self, number: u32, result: &str) {
        self.append_line(&format!("{number} again: {result}"));
    }

    fn append_line(&mut self, line: &str) {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.digest).update(line.as_bytes());
        self.digest
            .copy_from_slice(&hasher.finalize().as_bytes()[..DIGEST_BYTES]);
        self.lines
            .push_str(&truncate(&line.replace('\n', " "), MAX_LINE_BYTES));
        self.lines.push('\n');
        while self.lines.len() > MAX_CONTEXT_BYTES {
            self.remove_oldest_line();
        }
    }

    fn remove_oldest_line(&mut self) {
        let end = self.lines.find('\n').map_or(self.lines.len(), |at| at + 1);
        self.lines.drain(..end);
        self.removed_lines = self.removed_lines.saturating_add(1);
    }

    /// Returns the summary for the worker that claims the workflow; empty if no step was compacted.
    pub(crate) fn text(&self) -> String {
        if self.steps == 0 {
            return String::new();
        }
        let digest: String = self
            .digest
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        let head = format!(
            "{} steps done earlier, {} lines not shown, digest {digest}",
            self.steps, self.removed_lines
        );
        format!("{head}\n{}", self.lines)
    }

    /// Returns the result from the line of a step, or `None` if the line was removed. The result may be truncated.
    pub(crate) fn find(&self, number: u32) -> Option<&str> {
        let head = format!("{number}: ");
        self.lines
            .lines()
            .find_map(|line| line.strip_prefix(head.as_str()))
    }
}
