//! The dispatcher's settings: one TOML file, checked whole before anything starts.
//!
//! What stands here are facts of an installation and bounds of resources. How requests are routed, judged and
//! repeated is decided in the decision module and is not set here.

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

/// What is wrong with a settings file, and where.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub struct SettingsError {
    /// The file, as it was named.
    pub file: String,
    /// 1 for the first; 0 where the whole file is meant.
    pub line: usize,
    /// From 1; 0 where the whole file is meant.
    pub column: usize,
    /// The key and what is wrong with its value.
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

/// One dispatcher's settings file. Field names are the field's terms; the keys of the file are in `docs/operate`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this dispatcher in logs and ids; unique among the dispatchers.
    pub name: String,
    /// The zone that this dispatcher runs in.
    pub zone: String,
    /// Dispatchers that share the model servers.
    pub dispatchers: u32,
    /// The clients' side.
    pub listen: Listen,
    /// The model servers' side.
    #[serde(default)]
    pub engines: Engines,
    /// Where the list of model servers is.
    pub inventory: Inventory,
    /// Without it nothing is recorded.
    pub record: Option<RecordFile>,
    /// Without it any caller may do anything.
    pub identity: Option<Identity>,
    /// Without it charges are not journaled.
    pub charges: Option<ChargeJournal>,
    /// Without it each dispatcher spends an even fraction of each tenant's rate.
    #[serde(rename = "ledger")]
    pub quota_server: Option<QuotaServer>,
    /// Without it this dispatcher knows of no other.
    pub cluster: Option<Cluster>,
    /// Graceful shutdown.
    #[serde(default)]
    pub stop: Stop,
    /// Bounds on what is held for requests.
    #[serde(default)]
    pub requests: RequestLimits,
    /// Limits of the platform's rules.
    pub rules: Rules,
    /// Retries and hedging.
    pub attempts: Attempts,
    /// Load reports of model servers.
    #[serde(default)]
    pub reports: Reports,
    /// Classes of requests; a request without a class belongs to the first.
    pub classes: Vec<Class>,
    /// Tenants; none where all requests share one quota.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// Kinds of model servers.
    pub kinds: Vec<Kind>,
}

#[cfg(test)]
pub(crate) mod tests;
