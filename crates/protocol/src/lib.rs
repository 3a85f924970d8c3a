//! The messages that the dispatcher exchanges with clients and model servers: their types, parsing and serialization.
//!
//! - [`client`]: events of OpenAI's Responses API in WebSocket mode, with this project's extensions.
//! - [`engine`]: vLLM's completion request and stream chunks with `kv_transfer_params`, one text message each.
//! - [`workflow`]: workflow operations, which clients request by `metadata` fields of a `response.create`.
//!
//! `docs/protocol.md` documents every field, its limits and each extension of the published formats.

pub mod client;
pub mod engine;
pub mod workflow;

/// Estimates the number of tokens of a text of this many bytes, at four bytes a token, rounded up. Used until an engine has
/// reported the actual count.
pub fn estimate_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(4)).unwrap_or(u32::MAX)
}
