//! Settings, events, actions and ids of the decision module: types only.
//!
//! The words are the field's (prefill readers, decode writers, TTFT, prefix hit). An embedding
//! dispatcher fills [`Settings`], feeds [`Event`]s with its clock and carries out [`Action`]s in
//! order. Times are seconds.

/// A client request; never reused within one router's life.
pub type RequestId = u32;
/// A model server; stable over restarts of its process.
pub type ServerId = u32;

/// What a kind of server does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts (prefill).
    #[default]
    Prefill,
    /// Writes answers (decode).
    Decode,
    /// Does either.
    Mixed,
}

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Repeats are harmless.
    Idempotent,
    /// Repeats are dropped within a group of servers for a time.
    IdempotencyKey { scope: KeyScope, window_s: f64 },
    /// Must never run twice.
    NonIdempotent,
}

/// The servers that drop repeats of one keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    All,
    Zone,
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    pub effect: Effect,
    /// TTFT that earns the full worth, before the part that grows with the prompt.
    pub ttft_objective_s: f64,
    pub ttft_objective_per_token_s: f64,
    /// Mean time between tokens that earns the full worth.
    pub inter_token_objective_s: f64,
    pub deadline_s: f64,
    pub priority_weight: f64,
    /// Share of the worth earned by a late answer.
    pub late_weight_fraction: f64,
}

/// One tenant's share.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// Requests a second within the share, over all dispatchers.
    pub quota_rps: f64,
}

/// One kind of server.
#[derive(Clone, Debug, PartialEq)]
pub struct KindSettings {
    pub role: Role,
    /// Key-value memory in tokens; 0 where not told.
    pub memory_tokens: f64,
}

/// The value that stands at one place of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests held, waiting states included.
    Concurrent,
    /// Requests queued.
    Queue,
    /// Share of slots in use.
    SlotUtilization,
    /// Share of memory held.
    MemoryUtilization,
    /// Thousands of prompt tokens waiting to be read or fetched.
    QueuedKiloTokens,
    /// Anything the router makes no use of.
    Other,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportMode {
    WithResponses,
    OnProbe,
    Off,
}

/// What the rules allow on a freshly started server.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStart {
    /// Share of capacity it starts with, at the least.
    pub start_capacity: f64,
    /// Multiple of its present capacity that makes it fall over...
    pub overload_factor: f64,
    /// ...when kept up for this long.
    pub window_s: f64,
    /// It is warm no later than this after its start.
    pub warm_after_s: f64,
}

/// What the dispatcher may do, and the bounds on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    pub max_attempts: u32,
    pub may_cancel: bool,
    pub may_probe: bool,
    /// Longest time to come back that clients honour.
    pub max_retry_after_s: f64,
    /// A connection that has not come up after this never does.
    pub connect_timeout_s: f64,
}

/// All that an instance is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of dispatchers that share the servers.
    pub dispatchers: u32,
    pub zone: u16,
    pub classes: Vec<ClassSettings>,
    pub tenants: Vec<TenantSettings>,
    pub kinds: Vec<KindSettings>,
    pub report_fields: Vec<ReportField>,
    pub report_mode: ReportMode,
    pub slow_start: SlowStart,
    pub limits: Limits,
    /// A held state must be taken or released within this time.
    pub kv_hold_limit_s: f64,
    /// Share of the worth of a request over its tenant's share.
    pub over_quota_weight_fraction: f64,
    /// The server list must be subscribed to.
    pub must_subscribe: bool,
    /// A read whose answer never came may have ended well all the same, and counts as run.
    pub lost_prefill_may_have_run: bool,
    /// Writers read a prompt themselves when there is no state to fetch.
    pub decode_servers_prefill: bool,
    /// Shortest time between two batches of events.
    pub tick_s: f64,
}

/// What the list says of a server's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerStatus {
    Ready,
    Draining,
    #[default]
    Removed,
}

/// One line of the server list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    pub id: ServerId,
    pub status: ServerStatus,
    /// Index in [`Settings::kinds`].
    pub kind: u16,
    pub cell: u16,
    pub zone: u16,
    /// Size against servers of the same role; 1 where not told.
    pub weight: f64,
    /// Clock time of the latest start; 0 = long ago.
    pub booted_at: f64,
}

/// How a list relates to the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListForm {
    /// Changed entries only.
    Delta,
    /// The complete list; servers not in it are gone.
    Full,
    /// The complete list as last held before a restart; may be stale.
    Cached,
    /// A call for the list failed; the old list stays.
    Failed,
}

/// How long an answer is expected to be, tokens, its ceiling regarded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpectedTokens {
    pub mean: f64,
    /// Nine answers of ten are no longer.
    pub p90: f64,
}

/// A client request as it arrives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    pub id: RequestId,
    /// Index in [`Settings::classes`].
    pub class: u16,
    /// Index in [`Settings::tenants`].
    pub tenant: u32,
    /// Session key; 0 = none.
    pub session: u64,
    /// Key of the shared prefix; 0 = none.
    pub prefix: u64,
    pub prompt_tokens: f64,
    pub prefix_tokens: f64,
    pub max_output_tokens: f64,
    /// Where anything is known of its like; without it a share of the ceiling stands for it.
    pub output_tokens: Option<ExpectedTokens>,
    /// Rough guess of the time the answer takes at the class's token gap.
    pub output_hint_s: Option<f64>,
    /// Time until the client gives this try up.
    pub time_left_s: f64,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Served,
    /// The prompt is read; its state waits at the reader.
    PrefillDone,
    /// An error answer; it may have run.
    Error,
    /// Turned away; `state_gone` when there was no state to fetch. It never ran.
    Rejected { state_missing: bool },
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// The end of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    pub request: RequestId,
    pub attempt: u16,
    pub server: ServerId,
    pub outcome: Outcome,
    pub elapsed_s: f64,
    /// The request has its final answer.
    pub finished: bool,
    /// Prompt tokens that the server had kept (with `Served` and `ReadDone`).
    pub prefix_hit_tokens: f64,
    /// Values in the order of [`Settings::report_fields`]; empty = none.
    pub report: Vec<f64>,
}

/// What other dispatchers have seen of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Observation {
    /// Its last attempts failed, or it cannot be reached.
    Failing,
    /// It was started lately.
    WarmingUp,
    /// Their list has it draining, or it said so itself.
    Draining,
}

/// What a router is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Servers {
        form: ListForm,
        entries: Vec<ServerEntry>,
    },
    Arrival(Request),
    FirstToken {
        request: RequestId,
        attempt: u16,
        server: ServerId,
        elapsed_s: f64,
    },
    ReservationAnswer {
        request: RequestId,
        attempt: u16,
        server: ServerId,
        held: bool,
    },
    AttemptEnded(AttemptEnd),
    ClientDisconnected {
        request: RequestId,
    },
    Timer {
        label: u64,
    },
    ProbeEnded {
        server: ServerId,
        outcome: Outcome,
        elapsed_s: f64,
        report: Vec<f64>,
    },
    PeerMessage {
        from: u32,
        data: Vec<u8>,
    },
    /// Seen by so many others of those that told anything, the latest of them so long ago.
    PeerReport {
        server: ServerId,
        observation: Observation,
        reporters: u32,
        peers: u32,
        age_s: f64,
    },
    /// This router's part of what all share, from 0 to 1, and since when; before the first, an even
    /// one.
    QuotaFraction {
        fraction: f64,
        since: f64,
    },
}

/// What a router wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt; `timeout_s` 0 = until the client gives up.
    Send {
        request: RequestId,
        server: ServerId,
        timeout_s: f64,
    },
    Cancel {
        request: RequestId,
        attempt: u16,
    },
    /// Final answer: trying again is harmless.
    Reject {
        request: RequestId,
        retry_after_s: f64,
    },
    /// Final answer that promises nothing.
    Fail {
        request: RequestId,
    },
    /// Let go of every state and place held for the request.
    Release {
        request: RequestId,
    },
    Probe {
        server: ServerId,
    },
    SetTimer {
        at: f64,
        label: u64,
    },
    /// Follow changes of the server list.
    Subscribe,
    Unsubscribe,
    /// Ask for the complete list once.
    FetchList,
    /// Hold a slot and memory at a writer ahead of the read's end.
    ReserveSlot {
        request: RequestId,
        server: ServerId,
    },
    /// End a running stream in order, to go on elsewhere.
    Migrate {
        request: RequestId,
    },
    CloseIdle {
        server: ServerId,
    },
    /// At most 256 bytes to one peer, or to all (`None`).
    SendToPeer {
        peer: Option<u16>,
        data: Vec<u8>,
    },
    Log {
        text: String,
    },
    /// The decision code has failed; its host should stop.
    Fault {
        text: String,
    },
}

/// Why the module ended a request without serving it. For logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No server that may take the prompt.
    NoPrefillServer,
    /// No server that may take the state in the time for which it may wait.
    NoDecodeServer,
    /// The first token was expected too late.
    ExpectedLate,
    /// The budget of further attempts is used up.
    NoRetryLeft,
    /// An attempt may have run, and the class allows no other.
    MayHaveRun,
    /// Its state waited as long as it may.
    StateExpired,
    /// The client's deadline is near.
    Deadline,
    /// The attempt could not be sent.
    NotSent,
    /// A rule forbids the attempt that was chosen.
    Forbidden,
}

/// Seconds behind a choice of reader: its parts, and the latest first token that is taken. For
/// logs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ChoiceExplanation {
    pub queue_s: f64,
    pub prefill_s: f64,
    /// With the wait for a writer and the risk of failure.
    pub total_s: f64,
    /// Lateness seen of late, on top.
    pub lateness_s: f64,
    pub limit_s: f64,
}

/// What stood behind a router's last choice of a prefill server. For logs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExplainedChoice {
    /// The request that the choice was made for.
    pub request: RequestId,
    /// The estimate that the choice was made by.
    pub explanation: ChoiceExplanation,
}

/// The last request that a router ended without serving it. For logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedRequest {
    /// The request that was rejected or failed.
    pub request: RequestId,
    /// Why it was.
    pub cause: Cause,
}

impl std::fmt::Display for ChoiceExplanation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ChoiceExplanation {
            queue_s,
            prefill_s,
            total_s,
            lateness_s,
            limit_s,
        } = self;
        write!(f, "queue {queue_s:.3} read {prefill_s:.3} in all {total_s:.3} slip {lateness_s:.3} of {limit_s:.3}")
    }
}
