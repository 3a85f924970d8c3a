//! Messages between the dispatcher and a model server's engine: JSON text messages on a persistent WebSocket link, which
//! carries many requests at once.
//!
//! The bodies follow vLLM's completion request, its stream chunks and its `kv_transfer_params` for prefill on one engine and
//! decode on another. The envelope (`op`, `id`) is this project's own, because vLLM uses HTTP.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Transfer of KV cache state from a prefill server to a decode server: requests it or names where the state is stored. The
/// field names are vLLM's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvTransferParams {
    /// Asks a prefill server to keep the KV cache state for another engine.
    pub do_remote_decode: bool,
    /// Tells a decode server to fetch the KV cache state that the other fields name.
    pub do_remote_prefill: bool,
    pub remote_engine_id: Option<String>,
    #[serde(default)]
    pub remote_block_ids: Option<Vec<u64>>,
    pub remote_host: Option<String>,
    pub remote_port: Option<u16>,
    /// Id of the request on the prefill server that produced the state.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remote_request_id: Option<String>,
}

/// The body of a completion request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    pub request_id: String,
    pub model: String,
    pub prompt: String,
    pub max_tokens: u32,
    pub stream: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub temperature: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub top_p: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_transfer_params: Option<KvTransferParams>,
    /// The client's idempotency key, set for request classes that use one. The engine drops repeated requests with the same
    /// key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<String>,
}

/// A message from the dispatcher to an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum ToEngine {
    /// Starts a completion.
    Completion {
        id: String,
        body: Box<CompletionRequest>,
    },
    /// Cancels a request.
    Cancel { id: String },
    /// Releases the KV cache state that this request left on a prefill server.
    Release { id: String },
    /// Requests a load report.
    Probe { id: u64 },
    /// Reports that a message of the engine was invalid, with the reason.
    Fault { message: String },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    #[serde(default)]
    pub index: u32,
    #[serde(default)]
    pub text: String,
    #[serde(default)]
    pub finish_reason: Option<String>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptDetails {
    #[serde(default)]
    pub cached_tokens: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUsage {
    pub prompt_tokens: u32,
    pub completion_tokens: u32,
    pub total_tokens: u32,
    #[serde(default)]
    pub prompt_tokens_details: Option<PromptDetails>,
}

/// One chunk of a streamed completion, vLLM's `text_completion` object.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    #[serde(default)]
    pub choices: Vec<Choice>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<EngineUsage>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_transfer_params: Option<KvTransferParams>,
}

/// A load report: values by metric name. The names are those of vLLM's metrics without their prefix.
pub type Load = BTreeMap<String, f64>;

// The error codes below state that the request never ran.

/// Error code: the engine's queue is full.
pub const CODE_FULL: &str = "engine_full";
/// Error code: the KV cache state that the request was to continue from is no longer available.
pub const CODE_STATE_GONE: &str = "kv_state_gone";

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineError {
    pub message: String,
    #[serde(default)]
    pub code: Option<String>,
}

/// The state that an engine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    #[default]
    Ready,
    Draining,
}

/// A message from an engine to the dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum FromEngine {
    /// The first message on a link.
    Hello {
        engine_id: String,
        /// Seconds since the engine's process started.
        uptime_s: f64,
        #[serde(default)]
        state: EngineState,
    },
    /// A part of a request's output.
    Chunk { id: String, body: Chunk },
    /// The end of a request's output, which vLLM marks as `[DONE]` over HTTP.
    Done {
        id: String,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<Load>,
    },
    /// The request failed or was rejected.
    Error {
        id: String,
        status: u16,
        error: EngineError,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<Load>,
    },
    /// The answer to a probe with the same id.
    Load { id: u64, load: Load },
    /// The engine's state has changed.
    State { state: EngineState },
}

/// Serializes a message to JSON text.
pub fn encode(message: &impl Serialize) -> String {
    // Serialization cannot fail: the messages contain only strings, numbers and maps with string keys. NaN and infinite load
    // values are written as null.
    serde_json::to_string(message).unwrap_or_default()
}

/// Parses a message of type `T`.
///
/// # Errors
/// If the text is not JSON or not a known message, with line, column and cause.
pub fn decode<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, serde_json::Error> {
    serde_json::from_str(text)
}
