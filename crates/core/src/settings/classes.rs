//! Classes of requests, tenants, and kinds of model servers.

use bitternlatch_budget::plan::Budget;
use bitternlatch_policy::interface as policy;
use serde::Deserialize;

/// What a repeat of a request of a class does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Nothing: it may be retried and hedged.
    Safe,
    /// Nothing where it carries the same idempotency key.
    Keyed,
    /// It causes the effect again: it is never retried once it may have run.
    Unsafe,
}

/// Servers among which repeats of an idempotency key are dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyScope {
    /// All servers.
    #[default]
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// One class of requests. Times in seconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name in requests.
    pub name: String,
    /// What a repeat does.
    pub effect: Effect,
    /// For keyed classes: servers among which repeats of one key are dropped.
    #[serde(default)]
    pub key_scope: KeyScope,
    /// For keyed classes: for how long repeats are dropped.
    #[serde(default)]
    pub key_window_s: f64,
    /// Objective for the time to the first token.
    #[serde(rename = "ttft_aim_s")]
    pub ttft_objective_s: f64,
    /// Addition to it for each thousand prompt tokens, milliseconds.
    #[serde(default)]
    #[serde(rename = "ttft_aim_ms_per_1000_tokens")]
    pub ttft_objective_ms_per_1000_tokens: f64,
    /// Objective for the mean time between two tokens.
    #[serde(rename = "token_gap_aim_s")]
    pub inter_token_objective_s: f64,
    /// Longest time to the final answer.
    pub deadline_s: f64,
    /// Weight of a request answered within its objectives.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Fraction of the weight that remains where it is answered late.
    #[serde(rename = "late_worth")]
    pub late_weight_fraction: f64,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name in requests and access rights.
    pub name: String,
    /// Requests a second within the quota, over all dispatchers.
    pub quota_rps: f64,
    /// Tokens that it may use over all dispatchers; none for any number.
    pub budget: Option<Budget>,
}

/// A server's role, as the settings name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleName {
    /// Prefills prompts.
    #[serde(rename = "reader")]
    Prefill,
    /// Decodes answers.
    #[serde(rename = "writer")]
    Decode,
    /// Does both.
    Mixed,
}

/// One kind of model servers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, from = "RawKind")]
pub struct Kind {
    /// Its name in the server list.
    pub name: String,
    /// What its servers do.
    pub role: policy::Role,
    /// Tokens that fit its KV cache memory.
    pub memory_tokens: f64,
}

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
