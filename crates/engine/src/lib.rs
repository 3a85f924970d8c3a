//! Capacity model of an inference engine with continuous batching: batch slots, KV cache blocks with a prefix cache, step times
//! from a formula, and counted preemption by recomputation when memory runs out. The crate does no I/O.
//!
//! [`Engine::step`] takes a time in seconds and an [`Input`] and appends [`Output`]s; [`Engine::next_at`] returns the time of the
//! next call. The model is deterministic: the same inputs at the same times give the same outputs.

mod batch;
mod constants;
mod engine;
mod error;
mod io;
mod memory;
#[cfg(test)]
mod properties;
mod sequence;

pub use constants::Constants;
pub use engine::Engine;
pub use error::EngineError;
pub use io::{Facts, Id, Input, Output, Prompt, Request, Work};
