//! Settings that a router is created with.

/// Which stages of a request a kind of server handles.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Prefills prompts and holds their KV cache state for a decode server.
    #[default]
    Prefill,
    /// Decodes answers from a transferred KV cache state.
    Decode,
    /// Prefills prompts and decodes answers.
    Mixed,
}

/// Whether executing a request of a class more than once is safe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Repeated execution is harmless.
    Idempotent,
    /// Requests carry an idempotency key, by which a group of servers drops repeats for a limited
    /// time.
    IdempotencyKey {
        /// The group of servers that drops repeats of one request.
        scope: KeyScope,
        /// Time for which repeats are dropped, seconds from the first attempt.
        window_s: f64,
    },
    /// The request must never be executed twice.
    NonIdempotent,
}

/// The group of servers that recognizes repeats of one request by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All servers of the service.
    All,
    /// The servers in the zone of the first attempt's server.
    Zone,
    /// The servers in the cell of the first attempt's server.
    Cell,
}

/// Settings of one request class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Whether executing a request of the class more than once is safe.
    pub effect: Effect,
    /// Latency objective for the first token of an empty prompt, seconds; answers that meet their
    /// objectives count with the full priority weight.
    pub ttft_objective_s: f64,
    /// Time that each prompt token adds to the objective for the first token, seconds.
    pub ttft_objective_per_token_s: f64,
    /// Latency objective for the mean time between two tokens of an answer, seconds.
    pub inter_token_objective_s: f64,
    /// Longest time that a client waits for the first token, seconds.
    pub deadline_s: f64,
    /// Weight of an answer that meets its latency objectives, relative to other classes.
    pub priority_weight: f64,
    /// Fraction of the priority weight with which an answer counts that misses an objective.
    pub late_weight_fraction: f64,
}

/// Settings of one tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// Quota of the tenant in requests per second, over all dispatchers.
    pub quota_rps: f64,
}

/// Settings of one kind of server.
#[derive(Clone, Debug, PartialEq)]
pub struct KindSettings {
    /// Which stages of a request servers of this kind handle.
    pub role: Role,
    /// Memory of one server for KV cache states, tokens; 0 if unknown.
    pub memory_tokens: f64,
}

/// Meaning of one value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests at the server, including those whose KV cache state waits there.
    Concurrent,
    /// Requests in the server's queue.
    Queue,
    /// Fraction of the server's slots in use.
    SlotUtilization,
    /// Fraction of the server's memory in use.
    MemoryUtilization,
    /// Prompt tokens that wait to be prefilled or transferred, in thousands.
    QueuedKiloTokens,
    /// A value that the router doesn't use.
    Other,
}

/// How load reports reach the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportMode {
    /// Each response of a server carries a load report.
    WithResponses,
    /// Only the responses to probes carry load reports.
    OnProbe,
    /// Servers send no load reports.
    Off,
}

/// Capacity of a server after its start, and the overload that makes it fail.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStart {
    /// Least fraction of its full capacity that a server has right after its start.
    pub start_capacity: f64,
    /// A server fails when the load that it is sent over one window of `window_s` reaches this
    /// multiple of its current capacity.
    pub overload_factor: f64,
    /// Length of the window over which the overload of a server counts, seconds.
    pub window_s: f64,
    /// Longest time from the start of a server's process until the server has its full capacity,
    /// seconds.
    pub warm_after_s: f64,
}

/// Limits and permissions of a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether the dispatcher may cancel attempts in flight.
    pub may_cancel: bool,
    /// Whether the dispatcher may probe servers.
    pub may_probe: bool,
    /// Longest retry-after time that clients honour, seconds.
    pub max_retry_after_s: f64,
    /// Time after which a connection that is not established counts as failed, seconds.
    pub connect_timeout_s: f64,
}

/// All settings of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of dispatchers that send requests to the same servers.
    pub dispatchers: u32,
    /// Zone of the dispatcher that runs the router.
    pub zone: u16,
    /// Request classes by their index; at least one.
    pub classes: Vec<ClassSettings>,
    /// Tenants by their index; empty if requests have no tenants.
    pub tenants: Vec<TenantSettings>,
    /// Kinds of servers by their index.
    pub kinds: Vec<KindSettings>,
    /// Meaning of each value of a load report, in the order of the values.
    pub report_fields: Vec<ReportField>,
    /// How load reports reach the dispatcher.
    pub report_mode: ReportMode,
    /// How the capacity of a server grows from its start to the end of its warm-up, and the
    /// overload at which it fails.
    pub slow_start: SlowStart,
    /// Limits and permissions of the dispatcher.
    pub limits: Limits,
    /// Longest time for which a prefill server may hold a KV cache state before it is transferred
    /// or released, seconds.
    pub kv_hold_limit_s: f64,
    /// Fraction of the priority weight with which a request counts that exceeds its tenant's quota.
    pub over_quota_weight_fraction: f64,
    /// Whether changes of the endpoint list are sent only to dispatchers that have subscribed.
    pub must_subscribe: bool,
    /// Whether a prefill whose answer was lost may still have completed; if so, such a prefill
    /// counts as an attempt that may have run.
    pub lost_prefill_may_have_run: bool,
    /// Whether decode servers can prefill a prompt themselves if there is no KV cache state to
    /// fetch.
    pub decode_servers_prefill: bool,
    /// Shortest time between two batches of events that the router receives, seconds.
    pub tick_s: f64,
}
