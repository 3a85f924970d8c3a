//! The configuration file that a dispatcher reads at startup.

use std::net::SocketAddr;

use bitternlatch_policy::interface as policy;
use bitternlatch_routing_settings::{
    read_bounds, read_names, read_settings, Bounds, Names, RawSettings, SettingsError,
};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::discovery::EndpointList;
use crate::resource_limits::Limits;

/// Error in the configuration file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The text is not valid JSON or lacks a field; the message has the line and column.
    #[error("{0}")]
    Json(String),
    #[error("field '{field}': {cause}")]
    /// A field has a value that cannot be used.
    Field {
        /// Name of the field.
        field: &'static str,
        /// Why the value cannot be used.
        cause: String,
    },
}

impl From<SettingsError> for ConfigError {
    fn from(e: SettingsError) -> Self {
        ConfigError::Field {
            field: "settings",
            cause: e.to_string(),
        }
    }
}

#[derive(Deserialize)]
struct RawConfig {
    name: String,
    listen: String,
    discovery: String,
    #[serde(default)]
    seed: String,
    limits: RawLimits,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    peers_all: Option<String>,
    known: Option<Value>,
    settings: Value,
}

#[derive(Deserialize)]
struct RawLimits {
    memory_mb: f64,
    sockets: f64,
}

/// Configuration of a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Name of this dispatcher.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of the discovery agent.
    pub discovery: SocketAddr,
    /// Seed of all random choices.
    pub seed: u64,
    /// Memory and descriptor limits of the process.
    pub limits: Limits,
    /// Address on which datagrams from other dispatchers are received.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of all dispatchers, indexed by their numbers in the settings.
    pub peers: Vec<SocketAddr>,
    /// Address for datagrams to all other dispatchers.
    pub broadcast_address: Option<SocketAddr>,
    /// The endpoint list that was last received before the start; it may be out of date.
    pub cached_list: Option<EndpointList>,
    /// Why the cached endpoint list in the file cannot be used. The list is optional, so the dispatcher starts without
    /// it.
    pub cached_list_error: Option<String>,
    /// Settings of the decision module.
    pub settings: policy::Settings,
    /// Names of request classes, server kinds, zones and tenants.
    pub names: Names,
    /// Limits of the deployment.
    pub bounds: Bounds,
}

fn parse_address(field: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    let cause = || format!("'{text}' is not a socket address such as 127.0.0.1:8081");
    text.parse().map_err(|_| ConfigError::Field {
        field,
        cause: cause(),
    })
}

fn parse_limit(
    field: &'static str,
    value: f64,
    range: std::ops::RangeInclusive<f64>,
) -> Result<usize, ConfigError> {
    if range.contains(&value) {
        return Ok(value as usize);
    }
    let cause = format!(
        "{value} is not between {} and {}",
        range.start(),
        range.end()
    );
    Err(ConfigError::Field { field, cause })
}

/// Converts the seed's text to a number: hexadecimal as the platform writes it, or a hash of any other text.
fn parse_seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
}

impl Config {
    /// Parses the text of a configuration file.
    ///
    /// # Errors
    /// Invalid JSON, with line and column, or a field whose value cannot be used.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let raw: RawConfig =
            serde_json::from_str(text).map_err(|e| ConfigError::Json(e.to_string()))?;
        let facts = RawSettings::from_json(&raw.settings)?;
        let names = read_names(&facts)?;
        let known = raw.known.filter(|v| !v.is_null());
        let (known, known_fault) = match known
            .map(|v| EndpointList::from_value(v, &names))
            .transpose()
        {
            Ok(known) => (known, None),
            Err(cause) => (None, Some(cause)),
        };
        let peers = raw
            .peers
            .iter()
            .map(|p| parse_address("peers", p))
            .collect::<Result<_, _>>()?;
        let optional =
            |field, text: Option<String>| text.map(|t| parse_address(field, &t)).transpose();
        Ok(Config {
            name: raw.name,
            listen: parse_address("listen", &raw.listen)?,
            discovery: parse_address("discovery", &raw.discovery)?,
            seed: parse_seed(&raw.seed),
            limits: Limits {
                memory_bytes: parse_limit("limits.memory_mb", raw.limits.memory_mb, 8.0..=1e6)?
                    << 20,
                descriptors: parse_limit("limits.sockets", raw.limits.sockets, 64.0..=1e6)?,
            },
            peer_listen: optional("peer_listen", raw.peer_listen)?,
            peers,
            broadcast_address: optional("peers_all", raw.peers_all)?,
            cached_list: known,
            cached_list_error: known_fault,
            // The platform's protocol specifies that a prefill may have run if its connection was lost, so this is not
            // configurable.
            settings: policy::Settings {
                lost_prefill_may_have_run: true,
                ..read_settings(&facts)?
            },
            bounds: read_bounds(&facts)?,
            names,
        })
    }
}
