//! The dispatcher's settings: one TOML file, checked whole before anything starts.
//!
//! What stands here are facts of an installation and bounds of resources. How requests are routed, judged and
//! repeated is decided in the decision module and is not set here.

mod check;
mod cluster;
mod defaults;
mod module;

use std::fmt;

use bitternlatch_budget::plan::Budget;
use bitternlatch_policy::interface as policy;
use serde::Deserialize;

pub use cluster::{Cluster, Peer};

/// What is wrong with a settings file, and where.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub struct SettingsError {
    pub file: String,
    /// 1 for the first; 0 where the whole file is meant.
    pub line: usize,
    pub column: usize,
    pub cause: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.file, self.cause),
            n => write!(f, "{}:{n}:{}: {}", self.file, self.column, self.cause),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this dispatcher in logs and ids; unique among the dispatchers.
    pub name: String,
    pub zone: String,
    /// Dispatchers that share the servers.
    pub dispatchers: u32,
    pub listen: Listen,
    #[serde(default)]
    pub engines: Engines,
    pub inventory: Inventory,
    pub record: Option<RecordFile>,
    /// Without it any caller may do anything.
    pub identity: Option<Identity>,
    pub charges: Option<ChargeJournal>,
    #[serde(rename = "ledger")]
    pub quota_server: Option<QuotaServer>,
    /// Without it this dispatcher knows of no other.
    pub cluster: Option<Cluster>,
    #[serde(default)]
    pub stop: Stop,
    #[serde(default)]
    pub requests: RequestLimits,
    pub rules: Rules,
    pub attempts: Attempts,
    #[serde(default)]
    pub reports: Reports,
    pub classes: Vec<Class>,
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    pub kinds: Vec<Kind>,
}

/// The clients' side. Times in seconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    pub address: String,
    #[serde(default = "defaults::sessions")]
    pub sessions: usize,
    /// Requests in flight a session.
    #[serde(default = "defaults::session_requests")]
    pub session_requests: usize,
    #[serde(default = "defaults::message_bytes")]
    pub message_bytes: usize,
    #[serde(default = "defaults::handshake_s")]
    pub handshake_s: f64,
    #[serde(default = "defaults::idle_s")]
    pub idle_s: f64,
    #[serde(default = "defaults::ping_s")]
    pub ping_s: f64,
    /// Messages that may wait to be written to one client; past it the session is closed.
    #[serde(default = "defaults::client_queue")]
    pub queue_messages: usize,
    /// Connections whose handshake is not done; past it the oldest of the most crowded address goes.
    #[serde(default = "defaults::handshakes")]
    pub handshakes: usize,
    pub tls: Option<ListenTls>,
}

/// TLS for clients. Files are PEM, relative to the settings file, and taken anew while serving.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenTls {
    /// The dispatcher's own chain, and its key.
    pub certificate: String,
    pub key: String,
    /// Authorities of clients' certificates.
    pub clients: Option<String>,
    /// Whether a client without a certificate is rejected in the handshake.
    #[serde(default)]
    pub clients_required: bool,
    /// Lists of revoked client certificates (CRL).
    #[serde(default)]
    pub revoked: Vec<String>,
}

/// TLS for links to servers, each of which has to prove its listed name.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EnginesTls {
    /// Authorities of the servers' certificates.
    pub authorities: String,
    /// What the dispatcher shows of itself.
    pub certificate: Option<String>,
    pub key: Option<String>,
}

/// The servers' side. Times in seconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Engines {
    /// To connect and upgrade.
    pub connect_s: f64,
    /// From the upgrade to the greeting.
    pub greet_s: f64,
    pub message_bytes: usize,
    /// Messages that may wait to be written to one server; past it the link is closed.
    pub queue_messages: usize,
    pub ping_s: f64,
    pub tls: Option<EnginesTls>,
}

impl Default for Engines {
    fn default() -> Self {
        Engines {
            connect_s: 1.0,
            greet_s: 1.0,
            message_bytes: 1 << 20,
            queue_messages: 4096,
            ping_s: 2.0,
            tls: None,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// CSV or Ansible YAML; relative to the settings file.
    pub file: String,
    /// Seconds between two looks.
    #[serde(default = "defaults::reread_s")]
    pub reread_s: f64,
}

/// Who may call: tokens, the keys that sign them, and rights. Files are relative to the settings file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// What tokens must name; not empty where `keys` is set.
    #[serde(default)]
    pub issuer: String,
    #[serde(default)]
    pub audience: String,
    /// Seconds between clocks that are allowed.
    #[serde(default = "defaults::skew_s")]
    pub skew_s: u64,
    /// A JWKS document: a file, or an `http://` address. Without one no token counts, client certificates alone do.
    pub keys: Option<String>,
    /// Where the last good document is kept for a restart.
    #[serde(rename = "kept")]
    pub cache_file: Option<String>,
    pub rights: String,
    /// Seconds between two fetches, and for how long the last good document counts.
    #[serde(default = "defaults::refresh_s")]
    pub refresh_s: f64,
    #[serde(default = "defaults::keep_s")]
    #[serde(rename = "keep_s")]
    pub cache_lifetime_s: f64,
}

/// The ledger that lends parts of tenants' rates and takes charges.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaServer {
    pub address: String,
}

/// Where charges are kept.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChargeJournal {
    /// A journal of this dispatcher's own; relative to the settings file.
    pub file: String,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordFile {
    /// Where inputs and outputs are recorded; written anew at each start.
    pub file: String,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stop {
    /// Longest time from SIGTERM to the end of the process, seconds.
    pub within_s: f64,
}

impl Default for Stop {
    fn default() -> Self {
        Stop { within_s: 30.0 }
    }
}

/// Bounds on what is held for requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestLimits {
    /// Requests in flight over all sessions.
    #[serde(rename = "in_hand")]
    pub max_requests: usize,
    /// Longest prompt, with all that it goes on from.
    pub prompt_bytes: usize,
    /// Prompts of all requests in flight together.
    #[serde(rename = "prompt_bytes_in_hand")]
    pub total_prompt_bytes: usize,
    /// Texts kept for `previous_response_id`: bytes over all, and seconds.
    pub context_bytes: usize,
    pub context_s: f64,
    /// Idempotency keys: how many, bytes of kept answers, and seconds that a key is known after its answer.
    pub keys: usize,
    pub key_bytes: usize,
    pub key_s: f64,
    /// Seconds before the client's time is up by which its final answer leaves.
    pub answer_margin_s: f64,
    /// Output ceiling where a request names none.
    pub max_output_tokens: u32,
}

impl Default for RequestLimits {
    fn default() -> Self {
        RequestLimits {
            max_requests: 20_000,
            prompt_bytes: 1 << 20,
            total_prompt_bytes: 256 << 20,
            context_bytes: 64 << 20,
            context_s: 3600.0,
            keys: 100_000,
            key_bytes: 64 << 20,
            key_s: 600.0,
            answer_margin_s: 0.05,
            max_output_tokens: 1024,
        }
    }
}

/// The rules' figures.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// A held state is taken or let go within this many seconds.
    #[serde(rename = "pin_limit_s")]
    pub kv_hold_limit_s: f64,
    /// Nothing new reaches a server later than this many seconds after it was told to drain.
    pub drain_grace_s: f64,
    #[serde(rename = "cold")]
    pub slow_start: SlowStart,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowStart {
    pub start_capacity: f64,
    pub overload_factor: f64,
    pub window_s: f64,
    pub warm_after_s: f64,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Attempts {
    /// Attempts for one request.
    #[serde(rename = "most")]
    pub max_attempts: u32,
    #[serde(default = "defaults::yes")]
    pub may_cancel: bool,
    #[serde(default = "defaults::yes")]
    pub may_probe: bool,
    pub max_retry_after_s: f64,
    /// Writers read a prompt themselves when there is no state to fetch.
    #[serde(default)]
    #[serde(rename = "writers_read")]
    pub decode_servers_prefill: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportMode {
    WithAnswers,
    OnProbe,
    #[default]
    Off,
}

/// What a value of a load report means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Meaning {
    Concurrent,
    Queue,
    SlotShare,
    MemoryShare,
    WaitingKiloTokens,
    Other,
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Reports {
    pub mode: ReportMode,
    pub fields: Vec<ReportField>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReportField {
    /// Its name in the engines' load, as `num_requests_waiting`.
    pub name: String,
    #[serde(rename = "means")]
    pub meaning: Meaning,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    pub effect: Effect,
    /// Servers that drop repeats of one key, and for how many seconds; for keyed classes.
    #[serde(default)]
    pub key_scope: Scope,
    #[serde(default)]
    pub key_window_s: f64,
    #[serde(rename = "ttft_aim_s")]
    pub ttft_objective_s: f64,
    #[serde(default)]
    #[serde(rename = "ttft_aim_ms_per_1000_tokens")]
    pub ttft_objective_ms_per_1000_tokens: f64,
    #[serde(rename = "token_gap_aim_s")]
    pub inter_token_objective_s: f64,
    pub deadline_s: f64,
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    #[serde(rename = "late_worth")]
    pub late_weight_fraction: f64,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    /// Requests a second over all dispatchers.
    pub quota_rps: f64,
    /// Tokens that it may use over all dispatchers.
    pub budget: Option<Budget>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleName {
    #[serde(rename = "reader")]
    Prefill,
    #[serde(rename = "writer")]
    Decode,
    Mixed,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, from = "RawKind")]
pub struct Kind {
    pub name: String,
    pub role: policy::Role,
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

#[cfg(test)]
pub(crate) mod tests;
