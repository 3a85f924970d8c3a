//! Inputs and outputs of an engine.

use crate::EngineError;

/// Id of a request at an engine, assigned by the code that submits the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

/// A prompt: its length in tokens and a prefix hash for each of its full KV cache blocks, which identifies that block and all
/// blocks before it. A prompt without hashes shares no blocks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    pub tokens: u64,
    pub marks: Vec<u64>,
}

/// Phases of a request that this engine executes. `answer` is the output length in tokens, which only the engine knows in
/// advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Prefill the prompt and hold the KV cache state for another engine.
    Read,
    /// Prefill the prompt and decode the output.
    ReadAndWrite { answer: u32 },
    /// Fetch the KV cache state from another engine and decode the output.
    FetchAndWrite { answer: u32 },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub id: Id,
    pub prompt: Prompt,
    pub work: Work,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Only advances the time.
    Time,
    Submit(Request),
    /// Ends a request in any phase and releases its KV cache state. The token that a running step computes for it is not emitted.
    Cancel(Id),
    /// Releases KV cache state that is held for another engine.
    Release(Id),
    /// Confirms that the holding engine handed over a fetched KV cache state; decoding starts. Until then, the request keeps
    /// its slot and memory and makes no progress.
    Taken(Id),
    /// Clears the prefix cache. Running requests keep their blocks.
    Flush,
    /// Drops all KV cache states that are held for other engines.
    LoseStates,
    /// Pauses the engine until this time in seconds. Events that fall due in the pause are processed at its end.
    PauseUntil(f64),
    /// Factor on the duration of steps and fetches that start from now on; 1 is the configured speed. Ignored unless positive
    /// and finite.
    Slowness(f64),
    /// Additional duration, in seconds, of fetches that start from now on. Ignored unless finite and not negative.
    FetchDelay(f64),
    /// Rejects new requests from now on.
    Drain,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Refused {
        id: Id,
        why: EngineError,
    },
    /// A prefill for another engine is complete and its KV cache state is held. The prefix cache covered `cached` tokens.
    Read {
        id: Id,
        cached: u64,
    },
    /// A KV cache state has been fetched; the caller must reply with [`Input::Taken`] or [`Input::Cancel`].
    Fetched {
        id: Id,
    },
    /// An output token; `number` counts from 1. The request ends with the token marked `last`.
    Token {
        id: Id,
        number: u32,
        last: bool,
        cached: u64,
    },
    /// A request was preempted after `written` output tokens. It is at the front of the queue; its prompt and these tokens are
    /// prefilled again after its next admission.
    Preempted {
        id: Id,
        written: u32,
    },
    /// A KV cache state was held for `hold_s` seconds without being released and was dropped.
    Expired {
        id: Id,
    },
}

/// Load and counters of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Facts {
    /// Running requests: in prefill, fetching KV cache state or decoding.
    pub running: usize,
    /// Queued requests, including preempted ones.
    pub waiting: usize,
    /// KV cache states held for other engines.
    pub held: usize,
    /// Slots in use: running requests that generate output.
    pub slots_used: usize,
    /// KV cache blocks referenced by running requests and held states, each counted once; at most `memory_blocks`.
    pub used_blocks: usize,
    pub memory_blocks: usize,
    /// KV cache blocks that no request or held state references and that remain only in the prefix cache.
    pub cached_blocks: usize,
    /// Preemptions since the start of the engine.
    pub preemptions: u64,
    /// Tokens prefilled again after preemptions, since the start of the engine.
    pub read_again: u64,
}
