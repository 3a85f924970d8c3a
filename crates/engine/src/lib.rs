//! An engine that fills: batch slots, memory in blocks with a prefix cache, a step time by a formula with stated constants, and
//! preemption by recompute when memory runs out, counted. No input or output: requests and a clock go in, tokens come out.
//!
//! [`Engine`] is stepped with a time in seconds and an [`Input`], and appends [`Output`]s; [`Engine::next_at`] says when it wants to be
//! stepped again. It draws nothing by chance, so that the same inputs at the same times give the same outputs.

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
