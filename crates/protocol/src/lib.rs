//! The messages that the dispatcher exchanges, as serde types and nothing more.
//!
//! - [`client`]: events of OpenAI's Responses API in its WebSocket mode, and what is added to them.
//! - [`engine`]: vLLM's completion request and stream chunks with `kv_transfer_params`, one text message each.
//! - [`workflow`]: steps of workflows, by fields of a client's request.
//!
//! Every field, its bounds and each addition to the published shapes stand in `docs/protocol.md`.

pub mod client;
pub mod engine;
pub mod workflow;

/// Tokens that a text stands for before an engine has counted them: four bytes each, rounded up.
pub fn tokens_of(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(4)).unwrap_or(u32::MAX)
}
