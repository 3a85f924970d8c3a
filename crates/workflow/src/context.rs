//! What is left of steps that were compacted: a line each while there is capacity, and one digest over all of them.

use serde::{Deserialize, Serialize};

use crate::step::{truncate, StepRecord, StepState, ABANDONED_RESULT};

/// Bytes of all lines; the oldest are removed first. The digest covers those too.
const MAX_CONTEXT_BYTES: usize = 2 * 1024;
/// Bytes of one line.
const MAX_LINE_BYTES: usize = 128;
/// Bytes of the digest that are kept.
const DIGEST_BYTES: usize = 16;

/// The compacted steps of a workflow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Context {
    lines: String,
    digest: [u8; DIGEST_BYTES],
    steps: u32,
    /// Lines that were removed.
    gone: u32,
}

impl Context {
    /// Number of steps in it.
    pub(crate) fn steps(&self) -> u32 {
        self.steps
    }

    /// Appends a closed step.
    pub(crate) fn append_step(&mut self, step: &StepRecord) {
        self.steps = self.steps.saturating_add(1);
        let result = match &step.state {
            StepState::Done { result, .. } => result.as_str(),
            _ => ABANDONED_RESULT,
        };
        self.append_line(&format!("{}: {result}", step.number));
        for late in &step.late {
            self.append_late_result(step.number, late);
        }
    }

    /// Appends a later result of a step that is in it already.
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
        self.gone = self.gone.saturating_add(1);
    }

    /// For the worker that claims the workflow; empty where nothing is compacted.
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
            self.steps, self.gone
        );
        format!("{head}\n{}", self.lines)
    }

    /// The result in the line of a step, if the line is still there.
    pub(crate) fn find(&self, number: u32) -> Option<&str> {
        let head = format!("{number}: ");
        self.lines
            .lines()
            .find_map(|line| line.strip_prefix(head.as_str()))
    }
}
