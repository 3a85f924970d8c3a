//! Errors of the engine, with advice for the operator.

/// Reasons for which an engine rejects its parameters or a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    #[error("an engine constant is out of range")]
    Unworkable,
    #[error("the queue is full")]
    QueueFull,
    #[error("the prompt does not fit into the free KV cache memory")]
    MemoryFull,
    #[error("prompt and output together exceed the KV cache memory")]
    NeverFits,
    #[error("the engine is draining")]
    Draining,
    #[error("a request with this id already exists")]
    Twice,
}

impl EngineError {
    /// Advice to the operator on how to resolve the error.
    pub fn advice(&self) -> &'static str {
        match self {
            EngineError::Unworkable => {
                "set positive and finite rates and times, at least one slot and at least one block of memory"
            }
            EngineError::QueueFull => "send to another engine or admit fewer requests; a longer queue increases latency",
            EngineError::MemoryFull => "wait until requests finish or held KV cache states are released, or add engines",
            EngineError::NeverFits => "shorten the prompt, lower the output token limit, or give the engine more memory",
            EngineError::Draining => "send to another engine; this one accepts new requests after its restart",
            EngineError::Twice => "use a unique id for each attempt",
        }
    }
}
