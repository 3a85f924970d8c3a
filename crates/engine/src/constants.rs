//! Capacity and timing parameters of an engine.

use serde::{Deserialize, Serialize};

use crate::EngineError;

/// Capacities and timings of one engine. A step takes
/// `max(write_step_s if any sequence decodes, read_step_s if any prompt is prefilled) + sequence_s x decoding sequences +
/// prefilled tokens / read_tokens_per_s` seconds, multiplied by the slowness factor.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Constants {
    /// Maximum number of running requests that generate output.
    pub slots: usize,
    /// Maximum number of queued requests. For a prefill-only request, running prefills count as well.
    pub queue: usize,
    /// KV cache memory for running requests and for states held for other engines, in tokens, rounded down to whole blocks.
    pub memory_tokens: u64,
    /// Tokens per KV cache block, the unit of memory and of the prefix cache.
    pub block_tokens: u64,
    /// Limit, in tokens, on used and unused KV cache blocks together below which unused blocks are kept in the prefix cache;
    /// the least recently used are evicted first. Equal to `memory_tokens`, the cache uses the free part of the memory; a
    /// larger value models a second-tier store behind the memory; 0 disables the cache.
    pub cache_tokens: u64,
    /// Share of the memory, from 0 to below 1, that must stay free when a request is admitted while others run, so that these
    /// have blocks for the tokens they generate next.
    pub spare: f64,
    /// Maximum number of prompt tokens that one step prefills. Longer prompts are prefilled in chunks.
    pub read_tokens_a_step: u64,
    /// Maximum number of prompts that one step prefills, and so of requests in the prefill phase.
    pub reads_a_step: usize,
    /// Fixed time of a step in which any sequence decodes, in seconds.
    pub write_step_s: f64,
    /// Fixed time of a step that prefills, in seconds. In a step that also decodes, the larger of `read_step_s` and
    /// `write_step_s` applies.
    pub read_step_s: f64,
    /// Additional step time per decoding sequence, in seconds.
    pub sequence_s: f64,
    /// Prefill rate, in prompt tokens per second.
    pub read_tokens_per_s: f64,
    /// Rate at which a decode engine fetches KV cache state, in tokens per second. Concurrent fetches do not share this rate.
    pub transfer_tokens_per_s: f64,
    /// Maximum time that KV cache state is held for another engine, in seconds. If absent, it is held until it is released.
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
    /// Duration of a step in seconds at a slowness factor of 1.
    pub fn step_s(&self, read_tokens: u64, decoding: usize) -> f64 {
        let fixed = match (decoding, read_tokens) {
            (0, _) => self.read_step_s,
            (_, 0) => self.write_step_s,
            _ => self.write_step_s.max(self.read_step_s),
        };
        fixed + self.sequence_s * decoding as f64 + read_tokens as f64 / self.read_tokens_per_s
    }

    /// Number of KV cache blocks needed for a number of tokens.
    pub fn blocks(&self, tokens: u64) -> usize {
        usize::try_from(tokens.div_ceil(self.block_tokens.max(1))).unwrap_or(usize::MAX)
    }

    /// Number of KV cache blocks in the memory.
    pub fn memory_blocks(&self) -> usize {
        usize::try_from(self.memory_tokens / self.block_tokens.max(1)).unwrap_or(usize::MAX)
    }

    /// # Errors
    /// [`EngineError::Unworkable`] if a time is negative or not finite, a rate is not positive and finite, `spare` is 1 or
    /// more, one of `slots`, `block_tokens`, `read_tokens_a_step` and `reads_a_step` is zero, the memory has no block, or a
    /// decode step would take no time.
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
            // With decode steps of zero duration, simulated time would not advance.
            && self.write_step_s + self.sequence_s > 0.0;
        good.then_some(()).ok_or(EngineError::Unworkable)
    }
}
