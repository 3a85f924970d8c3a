//! What an engine is told, and what it says.

use crate::EngineError;

/// A request at an engine; the caller numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

/// A prompt: its length, and a mark for each of its whole blocks that also stands for all before it. A prompt without marks shares nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    pub tokens: u64,
    pub marks: Vec<u64>,
}

/// What is to be done with a prompt. `answer` is the answer's length in tokens, which only the engine knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Read it and hold the state for another engine.
    Read,
    /// Read it and write the answer.
    ReadAndWrite { answer: u32 },
    /// Fetch the state from another engine and write the answer.
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
    /// Nothing but the time.
    Time,
    Submit(Request),
    /// Ends a request wherever it is, its state included. Tokens of a step under way are not given.
    Cancel(Id),
    /// Lets go of a state that is held.
    Release(Id),
    /// A fetched state has been taken where it was held: the answer begins. Without it the request stays where it is.
    Taken(Id),
    /// Forgets all prefixes; what is at work keeps what it has.
    Flush,
    /// Forgets all states that are held.
    LoseStates,
    /// Does nothing until then; what was due comes after.
    PauseUntil(f64),
    /// Factor on what begins from now on; 1 is as stated. Ignored unless positive and finite.
    Slowness(f64),
    /// Seconds that fetches that begin from now on take longer. Ignored unless finite and not negative.
    FetchDelay(f64),
    /// Takes nothing new from now on.
    Drain,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Refused {
        id: Id,
        why: EngineError,
    },
    /// A read for another engine is done; its state is held. `cached` tokens of it were known.
    Read {
        id: Id,
        cached: u64,
    },
    /// A state has come; say [`Input::Taken`] or [`Input::Cancel`].
    Fetched {
        id: Id,
    },
    /// The answer's `number`th token, from 1. `last` ends the request.
    Token {
        id: Id,
        number: u32,
        last: bool,
        cached: u64,
    },
    /// Thrown out of memory with so many tokens written; its prompt and these will be read again. It waits in front of all others.
    Preempted {
        id: Id,
        written: u32,
    },
    /// A state was held for its whole time and is gone.
    Expired {
        id: Id,
    },
}

/// How an engine stands.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Facts {
    /// At work: read, fetched or written.
    pub running: usize,
    pub waiting: usize,
    /// States held for other engines.
    pub held: usize,
    /// Answers at work, of the slots.
    pub slots_used: usize,
    /// Blocks that work and states refer to, each counted once, of `memory_blocks`.
    pub used_blocks: usize,
    pub memory_blocks: usize,
    /// Blocks that only the prefix cache keeps.
    pub cached_blocks: usize,
    /// Requests thrown out of memory since the start.
    pub preemptions: u64,
    /// Tokens read again after that.
    pub read_again: u64,
}
