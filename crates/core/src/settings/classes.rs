//! Settings of request classes, tenants and kinds of model servers.

use bitternlatch_budget::plan::Budget;
use bitternlatch_policy::interface as policy;
use serde::Deserialize;

/// What executing a request of a class twice does; decides whether it may be retried or hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// A second execution does no harm: the request may be retried and hedged.
    Safe,
    /// The model servers drop a second execution under the same idempotency key, within the key scope and window of the
    /// class.
    Keyed,
    /// A second execution repeats the effect: the request is never retried once an attempt may have run.
    Unsafe,
}

/// The set of model servers among which a repeated idempotency key is detected and dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyScope {
    /// All model servers.
    #[default]
    All,
    /// Servers of the same zone.
    Zone,
    /// Servers of the same cell.
    Cell,
}

/// One request class. Times are in seconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name by which requests refer to the class.
    pub name: String,
    /// What executing a request of the class twice does.
    pub effect: Effect,
    /// For keyed classes: the servers among which a repeated key is dropped.
    #[serde(default)]
    pub key_scope: KeyScope,
    /// For keyed classes: how long servers drop a repeated key, seconds.
    #[serde(default)]
    pub key_window_s: f64,
    /// Latency objective for the time to the first token (TTFT) of an empty prompt, seconds.
    #[serde(rename = "ttft_aim_s")]
    pub ttft_objective_s: f64,
    /// Addition to the TTFT objective for each 1000 prompt tokens, milliseconds.
    #[serde(default)]
    #[serde(rename = "ttft_aim_ms_per_1000_tokens")]
    pub ttft_objective_ms_per_1000_tokens: f64,
    /// Latency objective for the mean time between two output tokens, seconds.
    #[serde(rename = "token_gap_aim_s")]
    pub inter_token_objective_s: f64,
    /// Time limit from the request to its final answer, seconds.
    pub deadline_s: f64,
    /// Priority weight of a request that is answered within its latency objectives.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Fraction of the priority weight that a request keeps when it is answered later than its objectives, 0 to 1.
    #[serde(rename = "late_worth")]
    pub late_weight_fraction: f64,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name by which requests and access rights refer to the tenant.
    pub name: String,
    /// Quota of the tenant over all dispatchers, requests per second.
    pub quota_rps: f64,
    /// Budget of tokens that the tenant may use over all dispatchers; unlimited without one.
    pub budget: Option<Budget>,
}

/// Role of a kind of model servers, as spelled in the settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleName {
    /// Prefills prompts and holds the KV cache for a decode server.
    #[serde(rename = "reader")]
    Prefill,
    /// Fetches the KV cache of a prefilled prompt and decodes the answer.
    #[serde(rename = "writer")]
    Decode,
    /// Prefills and decodes.
    Mixed,
}

/// One kind of model servers with equal role and memory.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, from = "RawKind")]
pub struct Kind {
    /// Name by which the server list refers to the kind.
    pub name: String,
    /// Whether its servers prefill, decode or do both.
    pub role: policy::Role,
    /// Capacity of the KV cache of each server, tokens.
    pub memory_tokens: f64,
}

/// [`Kind`] with the role as spelled in the settings file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawKind {
    name: String,
    role: RoleName,
    #[serde(default)]
    memory_tokens: f64,
}

impl From<RawKind> for Kind {
    fn from(raw: RawKind) -> Self {
        let role = match raw.role {
            RoleName::Prefill => policy::Role::Prefill,
            RoleName::Decode => policy::Role::Decode,
            RoleName::Mixed => policy::Role::Mixed,
        };
        Kind {
            name: raw.name,
            role,
            memory_tokens: raw.memory_tokens,
        }
    }
}
