//! Bounds of resources, limits of the rules, retries and load reports.

use serde::Deserialize;

use super::defaults;

/// Bounds on what is held for requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestLimits {
    /// Most requests in flight over all sessions.
    #[serde(rename = "in_hand")]
    pub max_requests: usize,
    /// Longest prompt, the conversation that it continues included.
    #[serde(rename = "prompt_bytes")]
    pub max_prompt_bytes: usize,
    /// Most bytes of the prompts of all requests in flight.
    #[serde(rename = "prompt_bytes_in_hand")]
    pub max_total_prompt_bytes: usize,
    /// Most bytes of texts cached for `previous_response_id`.
    #[serde(rename = "context_bytes")]
    pub max_context_bytes: usize,
    /// Seconds that such a text is cached.
    #[serde(rename = "context_s")]
    pub context_lifetime_s: f64,
    /// Most idempotency keys known at once.
    #[serde(rename = "keys")]
    pub max_idempotency_keys: usize,
    /// Most bytes of answers cached for idempotency keys.
    #[serde(rename = "key_bytes")]
    pub max_idempotency_bytes: usize,
    /// Seconds that a key is known after its answer.
    #[serde(rename = "key_s")]
    pub idempotency_key_lifetime_s: f64,
    /// Seconds before the client's deadline at which the final answer is sent at the latest.
    pub answer_margin_s: f64,
    /// Output ceiling where a request names none.
    pub max_output_tokens: u32,
}

impl Default for RequestLimits {
    fn default() -> Self {
        RequestLimits {
            max_requests: 20_000,
            max_prompt_bytes: 1 << 20,
            max_total_prompt_bytes: 256 << 20,
            max_context_bytes: 64 << 20,
            context_lifetime_s: 3600.0,
            max_idempotency_keys: 100_000,
            max_idempotency_bytes: 64 << 20,
            idempotency_key_lifetime_s: 600.0,
            answer_margin_s: 0.05,
            max_output_tokens: 1024,
        }
    }
}

/// Limits of the platform's rules.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// A held KV cache is transferred or released within this many seconds.
    #[serde(rename = "pin_limit_s")]
    pub kv_hold_limit_s: f64,
    /// No new request reaches a server later than this many seconds after it was notified to drain.
    pub drain_grace_s: f64,
    /// Slow start of new servers.
    #[serde(rename = "cold")]
    pub slow_start: SlowStart,
}

/// Slow start: how a server's capacity grows after its start.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowStart {
    /// Fraction of its full capacity that a server starts with, at the least.
    pub start_capacity: f64,
    /// Multiple of its present capacity at which a warming server fails...
    pub overload_factor: f64,
    /// ...when kept up for this many seconds.
    pub window_s: f64,
    /// Seconds after its start at which a server is warm at the latest.
    pub warm_after_s: f64,
}

/// Retries and hedging.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Attempts {
    /// Most attempts for one request.
    #[serde(rename = "most")]
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    #[serde(default = "defaults::yes")]
    pub may_cancel: bool,
    /// Whether servers may be probed for their load.
    #[serde(default = "defaults::yes")]
    pub may_probe: bool,
    /// Longest Retry-After given to a client, seconds.
    pub max_retry_after_s: f64,
    /// Whether decode servers prefill a prompt themselves where no KV cache is held.
    #[serde(default)]
    #[serde(rename = "writers_read")]
    pub decode_servers_prefill: bool,
}

/// When a server reports its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportMode {
    /// With each answer and on a probe.
    WithAnswers,
    /// On a probe alone.
    OnProbe,
    /// Never.
    #[default]
    Off,
}

/// What a value of a load report means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadMetric {
    /// Requests running.
    Concurrent,
    /// Requests waiting.
    Queue,
    /// Fraction of the batch slots in use.
    #[serde(rename = "slot_share")]
    SlotUtilization,
    /// Fraction of the KV cache memory in use.
    #[serde(rename = "memory_share")]
    MemoryUtilization,
    /// Prompt tokens waiting, thousands.
    #[serde(rename = "waiting_kilo_tokens")]
    QueuedKiloTokens,
    /// Nothing that routing uses.
    Other,
}

/// Load reports of model servers.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Reports {
    /// When they come.
    pub mode: ReportMode,
    /// Their values, in the order in which the decision module takes them.
    pub fields: Vec<ReportField>,
}

/// One value of a load report.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReportField {
    /// Its name in the engines' load, as `num_requests_waiting`.
    pub name: String,
    /// What it measures.
    #[serde(rename = "means")]
    pub metric: LoadMetric,
}
