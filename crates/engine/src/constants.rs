//! What an engine is made of.

use serde::{Deserialize, Serialize};

use crate::EngineError;

/// Sizes and times of one engine. A step takes
/// `max(write_step_s if any sequence writes, read_step_s if any prompt is read) + sequence_s x sequences that write +
/// tokens read / read_tokens_per_s` seconds, times the slowness.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Constants {
    /// Answers at work at once.
    pub slots: usize,
    /// Requests that may wait for a slot, and reads for other engines that may be unfinished.
    pub queue: usize,
    /// Memory for what is at work and for states that are held, tokens; rounded down to blocks.
    pub memory_tokens: u64,
    /// Tokens of a block, the unit of memory and of the prefix cache.
    pub block_tokens: u64,
    /// Up to this many tokens in all, blocks that nobody uses stay for prompts that begin alike; the least recently used go first. As much as
    /// `memory_tokens`: the cache lives in the memory that is free. More: a second store behind it. 0: none.
    pub cache_tokens: u64,
    /// Share of the memory that stays free when a request is let in beside others, so that these can grow for a while.
    pub spare: f64,
    /// Prompt tokens read by one step at the most: longer prompts are read in pieces.
    pub read_tokens_a_step: u64,
    /// Prompts that one step reads from, and so prompts under way at once.
    pub reads_a_step: usize,
    /// Seconds of a step in which sequences write.
    pub write_step_s: f64,
    /// Seconds of a step that only reads.
    pub read_step_s: f64,
    /// Seconds for each sequence that writes in a step.
    pub sequence_s: f64,
    pub read_tokens_per_s: f64,
    /// Tokens of a state that a writer fetches in a second; fetches do not share it.
    pub transfer_tokens_per_s: f64,
    /// Seconds for which a state is held at the most; absent: until it is let go of.
    pub hold_s: Option<f64>,
}

impl Default for Constants {
    fn default() -> Self {
        Constants {
            slots: 64,
            queue: 40,
            memory_tokens: 200_000,
            block_tokens: 64,
            cache_tokens: 200_000,
            spare: 0.01,
            read_tokens_a_step: 512,
            reads_a_step: 1,
            write_step_s: 0.02,
            read_step_s: 0.0,
            sequence_s: 0.0,
            read_tokens_per_s: 18_000.0,
            transfer_tokens_per_s: 250_000.0,
            hold_s: None,
        }
    }
}

impl Constants {
    /// Seconds of a step at slowness 1.
    pub fn step_s(&self, read_tokens: u64, writers: usize) -> f64 {
        let fixed = match (writers, read_tokens) {
            (0, _) => self.read_step_s,
            (_, 0) => self.write_step_s,
            _ => self.write_step_s.max(self.read_step_s),
        };
        fixed + self.sequence_s * writers as f64 + read_tokens as f64 / self.read_tokens_per_s
    }

    /// Blocks that hold so many tokens.
    pub fn blocks(&self, tokens: u64) -> usize {
        usize::try_from(tokens.div_ceil(self.block_tokens.max(1))).unwrap_or(usize::MAX)
    }

    /// Blocks of the memory.
    pub fn memory_blocks(&self) -> usize {
        usize::try_from(self.memory_tokens / self.block_tokens.max(1)).unwrap_or(usize::MAX)
    }

    /// # Errors
    /// Where an engine of these could not work: a time or rate that is no number, no slot, no block.
    pub fn check(&self) -> Result<(), EngineError> {
        let times = [
            self.write_step_s,
            self.read_step_s,
            self.sequence_s,
            self.hold_s.unwrap_or(0.0),
            self.spare,
        ];
        let rates = [self.read_tokens_per_s, self.transfer_tokens_per_s];
        let counts = [
            self.slots as u64,
            self.block_tokens,
            self.read_tokens_a_step,
            self.reads_a_step as u64,
        ];
        let good = times.iter().all(|t| t.is_finite() && *t >= 0.0)
            && self.spare < 1.0
            && rates.iter().all(|r| r.is_finite() && *r > 0.0)
            && counts.iter().all(|n| *n > 0)
            && self.memory_blocks() > 0
            // Steps that take no time would come without end.
            && self.write_step_s + self.sequence_s > 0.0;
        good.then_some(()).ok_or(EngineError::Unworkable)
    }
}
