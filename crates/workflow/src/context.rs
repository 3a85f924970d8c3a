//! What is left of steps that are long done: a line each while there is room, and one digest over all of them.

use serde::{Deserialize, Serialize};

use crate::step::{cut, StepRecord, StepState};

/// Bytes of all lines; the oldest go first. The digest goes on over those that are gone.
pub const MAX_CONTEXT_BYTES: usize = 2 * 1024;
/// Bytes of one line.
const MAX_LINE_BYTES: usize = 128;

/// The compacted steps of a workflow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Context {
    lines: String,
    digest: [u8; 16],
    steps: u32,
    /// The steps whose lines are gone.
    gone: u32,
}

impl Context {
    /// Steps in it.
    pub(crate) fn steps(&self) -> u32 {
        self.steps
    }

    /// Takes a closed step.
    pub(crate) fn append_step(&mut self, entry: &StepRecord) {
        self.steps = self.steps.saturating_add(1);
        let result = match &entry.stage {
            StepState::Done { result, .. } => result.as_str(),
            _ => crate::step::ABANDONED_RESULT,
        };
        self.line(&format!("{}: {result}", entry.number));
        for late in &entry.late {
            self.line(&format!("{} again: {late}", entry.number));
        }
    }

    /// A later result of a step that is in it already.
    pub(crate) fn append_late_result(&mut self, number: u32, result: &str) {
        self.line(&format!("{number} again: {result}"));
    }

    fn line(&mut self, whole: &str) {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.digest).update(whole.as_bytes());
        self.digest
            .copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        self.lines
            .push_str(&cut(&whole.replace('\n', " "), MAX_LINE_BYTES));
        self.lines.push('\n');
        while self.lines.len() > MAX_CONTEXT_BYTES {
            let end = self.lines.find('\n').map_or(self.lines.len(), |at| at + 1);
            self.lines.drain(..end);
            self.gone = self.gone.saturating_add(1);
        }
    }

    /// For who claims the workflow; nothing where nothing is compacted.
    pub(crate) fn text(&self) -> String {
        if self.steps == 0 {
            return String::new();
        }
        let digest = self
            .digest
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect::<String>();
        let head = format!(
            "{} steps done earlier, {} lines not shown, digest {digest}",
            self.steps, self.gone
        );
        format!("{head}\n{}", self.lines)
    }

    /// The line of a step that is in it, if it is still there.
    pub(crate) fn find(&self, number: u32) -> Option<&str> {
        let head = format!("{number}: ");
        self.lines
            .lines()
            .find_map(|line| line.strip_prefix(head.as_str()))
    }
}
