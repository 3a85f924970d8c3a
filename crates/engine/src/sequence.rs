//! State of one request at an engine.

use crate::memory::Allocation;
use crate::{Constants, Request, Work};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Queued,
    Fetching,
    /// The KV cache state has been fetched; the holding engine has not confirmed the transfer yet.
    Fetched,
    Prefilling,
    Decoding,
    /// The prompt is prefilled and its KV cache state is held for another engine.
    Held,
}

#[derive(Debug)]
pub(crate) struct Sequence {
    pub request: Request,
    pub phase: Phase,
    pub allocation: Allocation,
    /// Admission number. The sequence with the highest number is preempted first.
    pub admitted: u64,
    /// Output tokens emitted so far.
    pub written: u32,
    /// Tokens prefilled since the last admission, including those from the prefix cache.
    pub prefilled: u64,
    /// Tokens that the prefix cache covered at the first admission.
    pub cached: Option<u64>,
    /// Whether the sequence was preempted: its prompt and output so far are prefilled again, even if its KV cache state had been
    /// fetched.
    pub recompute: bool,
}

impl Sequence {
    pub(crate) fn new(request: Request) -> Sequence {
        let allocation = Allocation::default();
        let (phase, admitted, written, prefilled, cached, recompute) =
            (Phase::Queued, 0, 0, 0, None, false);
        Sequence {
            request,
            phase,
            allocation,
            admitted,
            written,
            prefilled,
            cached,
            recompute,
        }
    }

    /// Output length in tokens.
    pub(crate) fn output_tokens(&self) -> u32 {
        match self.request.work {
            Work::Read => 0,
            // The output has at least one token: the prefill produces it.
            Work::ReadAndWrite { answer } | Work::FetchAndWrite { answer } => answer.max(1),
        }
    }

    /// Whether this engine decodes the output of the request. Such a request occupies a slot while running.
    pub(crate) fn decodes(&self) -> bool {
        self.request.work != Work::Read
    }

    /// Whether the KV cache state is fetched from another engine.
    pub(crate) fn fetches(&self) -> bool {
        matches!(self.request.work, Work::FetchAndWrite { .. }) && !self.recompute
    }

    /// Prompt and output tokens that are in the KV cache after prefill.
    pub(crate) fn context_tokens(&self) -> u64 {
        self.request
            .prompt
            .tokens
            .saturating_add(u64::from(self.written))
    }

    /// Number of KV cache blocks needed, including space for the next output token.
    pub(crate) fn blocks_needed(&self, constants: &Constants) -> usize {
        constants.blocks(
            self.context_tokens()
                .saturating_add(u64::from(self.decodes())),
        )
    }

    pub(crate) fn is_running(&self) -> bool {
        !matches!(self.phase, Phase::Queued | Phase::Held)
    }
}
