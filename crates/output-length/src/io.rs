//! Settings of the length estimation, and the commands and events that it exchanges with the request-handling core. Commands
//! and events are recorded for replay, so their serialized names are fixed.

use serde::{Deserialize, Serialize};

use crate::curve::QuantileCurve;
use crate::ids::{Cell, ClassKey, ModelKey, TenantKey};

/// The settings table `[cluster.lengths]`; its presence enables the estimation of output lengths.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The snapshot file for what has been learnt, relative to the settings file. Without one, a restarted dispatcher learns
    /// only from its peers.
    #[serde(rename = "kept")]
    pub snapshot_file: Option<String>,
}

/// Why a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseEnd {
    /// The model finished the response.
    #[serde(rename = "Whole")]
    Complete,
    /// The response reached its limit of output tokens; without the limit it would have been longer.
    #[serde(rename = "Ceiling")]
    TokenLimit,
    /// The client disconnected before the response was complete, so its full length is unknown.
    #[serde(rename = "Left")]
    ClientDisconnected,
}

/// A response that has ended, as observed by the dispatcher that forwarded it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinishedResponse {
    pub model: ModelKey,
    pub class: ClassKey,
    pub tenant: TenantKey,
    pub prompt_tokens: u32,
    /// The request's limit of output tokens.
    #[serde(rename = "ceiling")]
    pub max_output_tokens: u32,
    /// Output tokens as reported by the model server; if the client disconnected, those generated until then.
    #[serde(rename = "tokens")]
    pub output_tokens: u32,
    /// Length of the response's text, bytes.
    #[serde(rename = "bytes")]
    pub text_bytes: u32,
    pub end: ResponseEnd,
    /// The 90th percentile of the output length, tokens, that was estimated when the request arrived; `None` without an
    /// estimate.
    #[serde(rename = "told")]
    pub predicted_p90: Option<u32>,
    /// The name of the model server that generated the response.
    #[serde(rename = "host")]
    pub server: String,
}

/// A command from the request-handling core to the length estimation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A response has ended and is to be learnt from.
    #[serde(rename = "Ended")]
    ResponseFinished(FinishedResponse),
}

/// An event from the length estimation to the request-handling core.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The estimates of these cells have changed, or are sent again in case an earlier event was lost.
    #[serde(rename = "Curves")]
    Estimates(Vec<(Cell, QuantileCurve)>),
}
