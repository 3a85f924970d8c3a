//! Endpoint lists as discovery sends them, and the current state of all listed model servers.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{ListForm, ServerEntry, ServerId, ServerStatus};
use bitternlatch_routing_settings::Names;
use serde::Deserialize;
use serde_json::Value;

use crate::start_times::StartTimeContext;

#[derive(Deserialize)]
struct RawList {
    rev: u64,
    all: bool,
    targets: Vec<RawEndpoint>,
}

#[derive(Deserialize)]
struct RawEndpoint {
    uid: String,
    endpoint: String,
    #[serde(default)]
    az: String,
    model: String,
    #[serde(default)]
    pod_group: u16,
    state: String,
    capacity_hint: Option<f64>,
    #[serde(default)]
    boot_ms: f64,
}

/// One model server in an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Unique name of the server, the same at every dispatcher.
    pub uid: String,
    /// Socket address at which the server listens.
    pub address: SocketAddr,
    /// Whether the server takes new requests, is draining or was removed.
    pub status: ServerStatus,
    /// Number of the server's kind in the settings.
    pub kind: u16,
    /// Number of the server's zone in the settings.
    pub zone: u16,
    /// Number of the server's cell.
    pub cell: u16,
    /// Capacity relative to other servers.
    pub weight: f64,
    /// Start time as listed: Unix time in seconds; 0 if the server started long ago.
    pub listed_start_s: f64,
    /// Start time by the node's own clock, seconds. Equal to `listed_start_s` until [`Endpoints::apply`] has checked
    /// it.
    pub start_s: f64,
}

/// A full version of the endpoint list, or the changes since the version before.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Version number of the list.
    pub version: u64,
    /// Whether the list is full; otherwise it holds changes only.
    pub is_full: bool,
    /// Servers that are listed or have changed.
    pub endpoints: Vec<Endpoint>,
}

impl EndpointList {
    /// Parses one line of JSON.
    ///
    /// # Errors
    /// Invalid JSON; an unknown address, kind, zone or state; a number that is negative or not finite; a server that is
    /// listed twice with different values.
    pub fn parse(line: &[u8], names: &Names) -> Result<EndpointList, String> {
        serde_json::from_slice(line)
            .map_err(|e| e.to_string())
            .and_then(|raw| EndpointList::read(raw, names))
    }

    /// Like [`EndpointList::parse`], for JSON that has been parsed already.
    ///
    /// # Errors
    /// As [`EndpointList::parse`].
    pub fn from_value(value: Value, names: &Names) -> Result<EndpointList, String> {
        serde_json::from_value(value)
            .map_err(|e| e.to_string())
            .and_then(|raw| EndpointList::read(raw, names))
    }

    /// Returns the list if it is not older than `version`.
    ///
    /// # Errors
    /// An older list.
    pub fn not_older_than(self, version: u64) -> Result<EndpointList, String> {
        if self.version < version {
            return Err(format!(
                "version {} is older than the current version {version}",
                self.version
            ));
        }
        Ok(self)
    }

    /// Combines the first list from discovery with the one cached in the configuration. Changes apply to the cached
    /// list. A full list replaces it, whatever its version: versions may have begun anew, and the cached list may name
    /// servers that no longer exist. If the full list is the older one, a server that drains by the cached list still
    /// drains.
    ///
    /// # Errors
    /// Changes that are older than the cached list.
    pub fn after_cached(mut self, cached: &EndpointList) -> Result<EndpointList, String> {
        if !self.is_full {
            let mut changes = self.not_older_than(cached.version)?;
            let unchanged = |cached: &&Endpoint| changes.find(&cached.uid).is_none();
            let kept: Vec<Endpoint> = cached.endpoints.iter().filter(unchanged).cloned().collect();
            changes.endpoints.extend(kept);
            changes.is_full = true;
            return Ok(changes);
        }
        if self.version < cached.version {
            for endpoint in &mut self.endpoints {
                let before = cached.find(&endpoint.uid);
                let same_process =
                    before.filter(|before| before.listed_start_s == endpoint.listed_start_s);
                if same_process.is_some_and(|before| before.status == ServerStatus::Draining) {
                    endpoint.status = ServerStatus::Draining;
                }
            }
        }
        Ok(self)
    }

    fn find(&self, uid: &str) -> Option<&Endpoint> {
        self.endpoints.iter().find(|endpoint| endpoint.uid == uid)
    }

    fn read(raw: RawList, names: &Names) -> Result<EndpointList, String> {
        let endpoints = raw
            .targets
            .into_iter()
            .map(|raw| parse_endpoint(raw, names))
            .collect::<Result<Vec<_>, _>>()?;
        // Two servers may share an address: a new process can take the address of its predecessor while that one still
        // drains.
        let mut by_uid: BTreeMap<&str, &Endpoint> = BTreeMap::new();
        for endpoint in &endpoints {
            if by_uid
                .insert(&endpoint.uid, endpoint)
                .is_some_and(|other| other != endpoint)
            {
                return Err(format!(
                    "server '{}' is named twice with different values",
                    endpoint.uid
                ));
            }
        }
        Ok(EndpointList {
            version: raw.rev,
            is_full: raw.all,
            endpoints,
        })
    }
}

fn parse_endpoint(raw: RawEndpoint, names: &Names) -> Result<Endpoint, String> {
    let unknown_value =
        |what: &str, word: &str| format!("server '{}': {what} '{word}' is not known", raw.uid);
    let status = match raw.state.as_str() {
        "in_service" => ServerStatus::Ready,
        "terminating" => ServerStatus::Draining,
        "terminated" => ServerStatus::Removed,
        word => return Err(unknown_value("state", word)),
    };
    let index = |list: &[String], word: &str| list.iter().position(|n| n == word).map(|i| i as u16);
    let kind = index(&names.kinds, &raw.model).ok_or_else(|| unknown_value("model", &raw.model))?;
    let zone = match raw.az.as_str() {
        "" => 0,
        word => index(&names.zones, word).ok_or_else(|| unknown_value("az", word))?,
    };
    let address = raw
        .endpoint
        .parse()
        .map_err(|_| unknown_value("endpoint", &raw.endpoint))?;
    let parse_number = |what: &str, value: f64| match value.is_finite() && value >= 0.0 {
        true => Ok(value),
        false => Err(format!(
            "server '{}': {what} {value} is not a finite number >= 0",
            raw.uid
        )),
    };
    let listed_start_s = parse_number("boot_ms", raw.boot_ms)? / 1e3;
    let weight = parse_number("capacity_hint", raw.capacity_hint.unwrap_or(1.0))?;
    Ok(Endpoint {
        uid: raw.uid,
        address,
        status,
        kind,
        zone,
        cell: raw.pod_group,
        weight,
        listed_start_s,
        start_s: listed_start_s,
    })
}

/// Changes made by applying an endpoint list.
#[derive(Debug)]
pub struct AppliedList {
    /// Whether `entries` is the full list or changes only, for the decision module.
    pub form: ListForm,
    /// Servers that are listed or have changed, for the decision module.
    pub entries: Vec<ServerEntry>,
    /// Servers that were listed before and have restarted; existing connections to them lead to the previous process.
    pub restarted: Vec<ServerId>,
}

/// All model servers currently listed, by their numeric ids.
#[derive(Debug, Default)]
pub struct Endpoints {
    ids: BTreeMap<String, ServerId>,
    servers: BTreeMap<ServerId, Endpoint>,
    version: u64,
    /// When discovery last sent a complete line.
    notified_at: Option<Micros>,
}

/// Describes an endpoint list for the log.
fn describe<'a>(version: u64, endpoints: impl Iterator<Item = &'a Endpoint>) -> String {
    let (mut count, mut draining) = (0, 0);
    for endpoint in endpoints {
        count += 1;
        draining += usize::from(endpoint.status == ServerStatus::Draining);
    }
    format!("version {version}, {count} servers, {draining} of them draining")
}

impl fmt::Display for EndpointList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&describe(self.version, self.endpoints.iter()))
    }
}

impl fmt::Display for Endpoints {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&describe(self.version, self.servers.values()))
    }
}

impl Endpoints {
    /// Version of the list that was applied last.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Looks up a server by its numeric id.
    pub fn get(&self, id: ServerId) -> Option<&Endpoint> {
        self.servers.get(&id)
    }

    /// Iterates over all servers in the order of their numeric ids.
    pub fn iter(&self) -> impl Iterator<Item = (ServerId, &Endpoint)> {
        self.servers.iter().map(|(id, endpoint)| (*id, endpoint))
    }

    /// Records that discovery has sent a complete line, even an empty one that reports no change.
    pub fn record_notification(&mut self, now: Micros) {
        self.notified_at = Some(now);
    }

    /// Applies a full list or changes and returns what has changed.
    pub fn apply(&mut self, now: Micros, list: EndpointList) -> AppliedList {
        self.version = list.version;
        let lists_long_running = list
            .endpoints
            .iter()
            .any(|endpoint| endpoint.listed_start_s <= 0.0);
        let context = StartTimeContext {
            received_at: now,
            notified_at: self.notified_at,
            lists_long_running,
        };
        let form = if list.is_full {
            ListForm::Full
        } else {
            ListForm::Delta
        };
        if list.is_full {
            let is_listed =
                |uid: &String| list.endpoints.iter().any(|endpoint| endpoint.uid == *uid);
            self.ids.retain(|uid, _| is_listed(uid));
            let (ids, servers) = (&self.ids, &mut self.servers);
            servers.retain(|id, endpoint| ids.get(&endpoint.uid) == Some(id));
        }
        let restarted = list
            .endpoints
            .iter()
            .filter_map(|endpoint| self.restarted(endpoint))
            .collect();
        let entries = list
            .endpoints
            .into_iter()
            .map(|endpoint| self.update(endpoint, context))
            .collect();
        AppliedList {
            form,
            entries,
            restarted,
        }
    }

    /// Returns the id of a server that is now listed with a different start time, i.e. has restarted.
    fn restarted(&self, endpoint: &Endpoint) -> Option<ServerId> {
        let id = *self.ids.get(&endpoint.uid)?;
        let previous = self.servers.get(&id)?;
        (previous.listed_start_s != endpoint.listed_start_s).then_some(id)
    }

    fn update(&mut self, mut endpoint: Endpoint, context: StartTimeContext) -> ServerEntry {
        let id = self.assign_id(&endpoint.uid);
        let previous = self
            .servers
            .get(&id)
            .filter(|previous| previous.listed_start_s == endpoint.listed_start_s);
        // The start time of a server process is computed once and kept while its listed start stays the same.
        endpoint.start_s = previous.map_or_else(
            || context.start_s(endpoint.listed_start_s),
            |previous| previous.start_s,
        );
        let entry = ServerEntry {
            id,
            status: endpoint.status,
            kind: endpoint.kind,
            cell: endpoint.cell,
            zone: endpoint.zone,
            weight: endpoint.weight,
            booted_at: endpoint.start_s,
        };
        if endpoint.status == ServerStatus::Removed {
            // Removed servers must not stay in the tables, as new servers keep arriving with new names.
            self.ids.remove(&endpoint.uid);
            self.servers.remove(&id);
        } else {
            self.ids.insert(endpoint.uid.clone(), id);
            self.servers.insert(id, endpoint);
        }
        entry
    }

    /// Returns the numeric id for a uid. Every dispatcher derives the same id, because the decision module ranks the
    /// servers for a session key by it.
    fn assign_id(&self, uid: &str) -> ServerId {
        if let Some(id) = self.ids.get(uid) {
            return *id;
        }
        let mut id = xxhash_rust::xxh3::xxh3_64(uid.as_bytes()) as ServerId;
        while self.servers.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        id
    }
}
