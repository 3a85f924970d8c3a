//! What can be wrong, and what an operator can do.

/// Errors of engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    #[error("a constant of the engine is not a number that can be worked with")]
    Unworkable,
    #[error("as many requests wait as may")]
    QueueFull,
    #[error("its prompt does not fit beside what is held")]
    MemoryFull,
    #[error("its prompt and answer are more than the whole memory")]
    NeverFits,
    #[error("the engine drains")]
    Draining,
    #[error("a request of this id is here already")]
    Twice,
}

impl EngineError {
    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        match self {
            EngineError::Unworkable => {
                "give rates and times that are positive and finite, one slot and one block of memory at the least"
            }
            EngineError::QueueFull => "send to another engine, or let fewer in; a longer queue makes answers late",
            EngineError::MemoryFull => "wait until answers have ended or states are let go of, or add engines",
            EngineError::NeverFits => "shorten the prompt, lower the ceiling of the answer, or give the engine more memory",
            EngineError::Draining => "send to another engine; this one takes new work after its restart",
            EngineError::Twice => "give each attempt an id of its own",
        }
    }
}
