//! The dispatcher's settings: one TOML file, validated completely before anything starts.
//!
//! Settings hold facts about an installation and resource limits. How requests are routed, admitted and retried is
//! decided by the decision module and is not configurable here.

mod check;
mod classes;
mod cluster;
mod defaults;
mod endpoints;
mod limits;
mod policy;

use std::fmt;

use serde::Deserialize;

pub use classes::{Class, Effect, KeyScope, Kind, RoleName, Tenant};
pub use cluster::{Cluster, Peer};
pub use endpoints::{
    ChargeJournal, Engines, EnginesTls, Identity, Inventory, Listen, ListenTls, QuotaServer,
    RecordFile, Stop,
};
pub use limits::{
    Attempts, LoadMetric, ReportField, ReportMode, Reports, RequestLimits, Rules, SlowStart,
};

/// The first error in a settings file, with its position.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub struct SettingsError {
    /// Name of the settings file as given by the caller.
    pub file: String,
    /// Line of the error, from 1; 0 where the error concerns the whole file.
    pub line: usize,
    /// Column of the error in characters, from 1; 0 where the error concerns the whole file.
    pub column: usize,
    /// The key at fault and what is wrong with its value.
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

/// The settings file of one dispatcher. `docs/operate` describes the keys of the file, which may differ from the field
/// names here.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this dispatcher in logs and ids; unique among all dispatchers.
    pub name: String,
    /// The zone that this dispatcher runs in.
    pub zone: String,
    /// Number of dispatchers that share the model servers, this one included.
    pub dispatchers: u32,
    /// Where and under which limits clients connect.
    pub listen: Listen,
    /// Connections to model servers.
    #[serde(default)]
    pub engines: Engines,
    /// Where the list of model servers is read from.
    pub inventory: Inventory,
    /// Record of inputs and outputs for replay; nothing is recorded without it.
    pub record: Option<RecordFile>,
    /// Authentication and access rights of callers; without it any client may do anything.
    pub identity: Option<Identity>,
    /// Journal of charges to tenants; without it charges are not journaled.
    pub charges: Option<ChargeJournal>,
    /// The quota server; without one each dispatcher uses an equal fraction of each tenant's rate.
    #[serde(rename = "ledger")]
    pub quota_server: Option<QuotaServer>,
    /// The cluster of dispatchers that this one belongs to; without it this dispatcher knows no other.
    pub cluster: Option<Cluster>,
    /// Time limit of a graceful shutdown.
    #[serde(default)]
    pub stop: Stop,
    /// Limits on requests and on the memory that they use.
    #[serde(default)]
    pub requests: RequestLimits,
    /// Limits that the serving platform imposes.
    pub rules: Rules,
    /// Limits of retries and hedged requests.
    pub attempts: Attempts,
    /// When model servers report their load, and which metrics.
    #[serde(default)]
    pub reports: Reports,
    /// Request classes; a request that names no class belongs to the first one.
    pub classes: Vec<Class>,
    /// Tenants; empty where all requests share one quota.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// Kinds of model servers, to which the server list refers by name.
    pub kinds: Vec<Kind>,
}

#[cfg(test)]
pub(crate) mod tests;
