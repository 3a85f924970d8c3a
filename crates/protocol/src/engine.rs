//! Engine messages: one JSON text message each on a kept-open WebSocket link, many requests on one link.
//!
//! The bodies follow vLLM's completion request, its stream chunks and its `kv_transfer_params` for reading on one
//! engine and writing on another. The envelope (`op`, `id`) is ours, as vLLM speaks HTTP.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Where a read state waits, or that one is wanted; the words are vLLM's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvTransferParams {
    /// Asks a reader to keep the state for another engine.
    pub do_remote_decode: bool,
    /// Tells a writer to fetch the state named here.
    pub do_remote_prefill: bool,
    pub remote_engine_id: Option<String>,
    #[serde(default)]
    pub remote_block_ids: Option<Vec<u64>>,
    pub remote_host: Option<String>,
    pub remote_port: Option<u16>,
    /// The reader's request that made the state.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remote_request_id: Option<String>,
}

/// A completion request.
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
    /// The caller's key where the class is keyed: the engine drops repeats of it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<String>,
}

/// From the dispatcher to an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum ToEngine {
    Completion {
        id: String,
        body: Box<CompletionRequest>,
    },
    /// Stop the work of one request.
    Cancel { id: String },
    /// Let go of the read state that this request left.
    Release { id: String },
    /// Ask for a load report.
    Probe { id: u64 },
    /// A message of the engine's could not be used; says why.
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

/// A `text_completion` chunk.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    #[serde(default)]
    pub choices: Vec<Choice>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<EngineUsage>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_transfer_params: Option<KvTransferParams>,
}

/// Load by name, the names as in vLLM's metrics without their prefix.
pub type Load = BTreeMap<String, f64>;

/// Error codes that say that a request never ran.
pub const CODE_FULL: &str = "engine_full";
pub const CODE_STATE_GONE: &str = "kv_state_gone";

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineError {
    pub message: String,
    #[serde(default)]
    pub code: Option<String>,
}

/// What an engine says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    #[default]
    Ready,
    Draining,
}

/// From an engine to the dispatcher.
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
    Chunk {
        id: String,
        body: Chunk,
    },
    /// The stream's end, `[DONE]` on HTTP.
    Done {
        id: String,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<Load>,
    },
    Error {
        id: String,
        status: u16,
        error: EngineError,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<Load>,
    },
    /// Answer to a probe.
    Load {
        id: u64,
        load: Load,
    },
    /// The engine's state has changed.
    State {
        state: EngineState,
    },
}

/// One message as text.
pub fn encode(message: &impl Serialize) -> String {
    // Strings and numbers under string keys; a load that is not a number is written as null.
    serde_json::to_string(message).unwrap_or_default()
}

/// Reads one message of either side.
///
/// # Errors
/// Where the text is not JSON or not a known message, with line, column and cause.
pub fn decode<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, serde_json::Error> {
    serde_json::from_str(text)
}
