//! Settings of request limits, platform rules, retries and load reports.

use serde::Deserialize;

use super::defaults;

/// Limits on requests and on the memory that they use.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestLimits {
    /// Limit on requests in flight over all sessions.
    #[serde(rename = "in_hand")]
    pub max_requests: usize,
    /// Limit on the size of one prompt, the continued conversation included, bytes.
    #[serde(rename = "prompt_bytes")]
    pub max_prompt_bytes: usize,
    /// Limit on the size of the prompts of all requests in flight together, bytes.
    #[serde(rename = "prompt_bytes_in_hand")]
    pub max_total_prompt_bytes: usize,
    /// Limit on the conversations cached for `previous_response_id`, bytes.
    #[serde(rename = "context_bytes")]
    pub max_context_bytes: usize,
    /// How long a conversation stays cached for `previous_response_id`, seconds.
    #[serde(rename = "context_s")]
    pub context_lifetime_s: f64,
    /// Limit on idempotency keys remembered at once.
    #[serde(rename = "keys")]
    pub max_idempotency_keys: usize,
    /// Limit on the answers cached for idempotency keys, bytes.
    #[serde(rename = "key_bytes")]
    pub max_idempotency_bytes: usize,
    /// How long an idempotency key is remembered after its answer, seconds.
    #[serde(rename = "key_s")]
    pub idempotency_key_lifetime_s: f64,
    /// Margin by which the final answer is sent before the client's deadline, seconds.
    pub answer_margin_s: f64,
    /// Limit on output tokens for a request that sets none.
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

/// Limits that the serving platform imposes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Time limit within which a held KV cache has to be transferred to a decode server or released, seconds.
    #[serde(rename = "pin_limit_s")]
    pub kv_hold_limit_s: f64,
    /// How long after a server was notified to drain new requests may still reach it, seconds.
    pub drain_grace_s: f64,
    /// Slow start of newly started servers.
    #[serde(rename = "cold")]
    pub slow_start: SlowStart,
}

/// Slow start: the capacity of a server grows to full over a time after its start, and overload meanwhile makes it fail.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowStart {
    /// Lower bound of the capacity at the start of a server, as a fraction of its full capacity.
    pub start_capacity: f64,
    /// Load, as a multiple of its present capacity, at which a server that is warming up fails when it lasts for `window_s`.
    pub overload_factor: f64,
    /// How long a load of `overload_factor` has to last for a server that is warming up to fail, seconds.
    pub window_s: f64,
    /// Upper bound of the time from its start after which a server has its full capacity, seconds.
    pub warm_after_s: f64,
}

/// Limits of retries and hedged requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Attempts {
    /// Limit on the attempts for one request.
    #[serde(rename = "most")]
    pub max_attempts: u32,
    /// Whether attempts in flight may be cancelled.
    #[serde(default = "defaults::yes")]
    pub may_cancel: bool,
    /// Whether the decision module may request load reports from servers by probes.
    #[serde(default = "defaults::yes")]
    pub may_probe: bool,
    /// Upper limit of the Retry-After time given to a client, seconds.
    pub max_retry_after_s: f64,
    /// Whether decode servers may prefill a prompt themselves where no prefill server holds its KV cache.
    #[serde(default)]
    #[serde(rename = "writers_read")]
    pub decode_servers_prefill: bool,
}

/// When model servers report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportMode {
    /// With each answer and in reply to a load probe.
    WithAnswers,
    /// Only in reply to a load probe.
    OnProbe,
    /// Servers never report their load.
    #[default]
    Off,
}

/// The metric that a value of a load report measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadMetric {
    /// Number of requests that the model server is running when it sends the load report.
    Concurrent,
    /// Number of requests waiting in the model server's queue when it sends the load report.
    Queue,
    /// Fraction of the batch slots in use, 0 to 1.
    #[serde(rename = "slot_share")]
    SlotUtilization,
    /// Fraction of the KV cache memory in use, 0 to 1.
    #[serde(rename = "memory_share")]
    MemoryUtilization,
    /// Prompt tokens waiting to be prefilled, thousands.
    #[serde(rename = "waiting_kilo_tokens")]
    QueuedKiloTokens,
    /// A metric that routing does not use.
    Other,
}

/// When model servers report their load, and which metrics.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Reports {
    /// When load reports are sent.
    pub mode: ReportMode,
    /// The values of a load report, in the order in which the decision module receives them.
    pub fields: Vec<ReportField>,
}

/// One value of a load report.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReportField {
    /// Name of the value in the load that an engine reports, such as `num_requests_waiting`.
    pub name: String,
    /// The metric that the value measures.
    #[serde(rename = "means")]
    pub metric: LoadMetric,
}
