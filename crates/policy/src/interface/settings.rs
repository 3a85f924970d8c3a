//! The settings that a router is made with.

/// What a kind of server does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Prefills prompts.
    #[default]
    Prefill,
    /// Decodes answers.
    Decode,
    /// Does either.
    Mixed,
}

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Repeats are harmless.
    Idempotent,
    /// Repeats are dropped, by their idempotency key, within a group of servers for a time.
    IdempotencyKey {
        /// The servers that drop repeats of one request.
        scope: KeyScope,
        /// How long they do, seconds from the first attempt.
        window_s: f64,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// The servers that drop repeats of one request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All servers.
    All,
    /// Those of the first attempt's zone.
    Zone,
    /// Those of the first attempt's cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// What repeating a request may do.
    pub effect: Effect,
    /// Time to the first token that earns the full weight, before the part that grows with the
    /// prompt, seconds.
    pub ttft_objective_s: f64,
    /// What each prompt token adds to it, seconds.
    pub ttft_objective_per_token_s: f64,
    /// Mean time between tokens that earns the full weight, seconds.
    pub inter_token_objective_s: f64,
    /// Longest time to the first token that a client waits, seconds.
    pub deadline_s: f64,
    /// What an answer within its objectives counts.
    pub priority_weight: f64,
    /// Fraction of that weight that a late answer counts.
    pub late_weight_fraction: f64,
}

/// One tenant's quota.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// Requests a second within the quota, over all dispatchers.
    pub quota_rps: f64,
}

/// One kind of server.
#[derive(Clone, Debug, PartialEq)]
pub struct KindSettings {
    /// What its servers do.
    pub role: Role,
    /// Memory for KV states in tokens; 0 where it is not known.
    pub memory_tokens: f64,
}

/// The value that stands at one place of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests held, waiting KV states included.
    Concurrent,
    /// Requests queued.
    Queue,
    /// Share of slots in use.
    SlotUtilization,
    /// Share of memory held.
    MemoryUtilization,
    /// Thousands of prompt tokens waiting to be prefilled or transferred.
    QueuedKiloTokens,
    /// Anything that the router makes no use of.
    Other,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportMode {
    /// Each response brings one.
    WithResponses,
    /// The answers of probes bring them.
    OnProbe,
    /// There are none.
    Off,
}

/// What a freshly started server bears.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStart {
    /// Share of capacity that it starts with, at the least.
    pub start_capacity: f64,
    /// Multiple of its present capacity that makes it fail when kept up for the window.
    pub overload_factor: f64,
    /// Length of the window, seconds.
    pub window_s: f64,
    /// It is warm no later than this after its start, seconds.
    pub warm_after_s: f64,
}

/// What the dispatcher may do, and the bounds on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Attempts of one request.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Servers may be probed.
    pub may_probe: bool,
    /// Longest time to stay away that clients honour, seconds.
    pub max_retry_after_s: f64,
    /// A connection that has not come up after this never does, seconds.
    pub connect_timeout_s: f64,
}

/// All that a router is given at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of dispatchers that share the servers.
    pub dispatchers: u32,
    /// The dispatcher's own zone.
    pub zone: u16,
    /// Classes of requests, at least one, by index.
    pub classes: Vec<ClassSettings>,
    /// Tenants by index; empty where there are none.
    pub tenants: Vec<TenantSettings>,
    /// Kinds of servers by index.
    pub kinds: Vec<KindSettings>,
    /// What the values of a load report mean, in their order.
    pub report_fields: Vec<ReportField>,
    /// Where load reports come from.
    pub report_mode: ReportMode,
    /// What a freshly started server bears.
    pub slow_start: SlowStart,
    /// What the dispatcher may do.
    pub limits: Limits,
    /// A KV state that a prefill server holds must be taken or released within this time, seconds.
    pub kv_hold_limit_s: f64,
    /// Fraction of the weight of a request that is over its tenant's quota.
    pub over_quota_weight_fraction: f64,
    /// The endpoint list must be subscribed to.
    pub must_subscribe: bool,
    /// A prefill whose answer never came may have ended well all the same, and counts as run.
    pub lost_prefill_may_have_run: bool,
    /// Decode servers prefill a prompt themselves when there is no KV state to fetch.
    pub decode_servers_prefill: bool,
    /// Shortest time between two batches of events, seconds.
    pub tick_s: f64,
}
