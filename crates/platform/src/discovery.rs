//! The list of model servers in discovery's form, and the servers as they stand.

use std::collections::BTreeMap;
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

/// One model server as listed.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Name; the same at every dispatcher.
    pub uid: String,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Whether it takes requests.
    pub status: ServerStatus,
    /// Number of its kind in the settings.
    pub kind: u16,
    /// Number of its zone in the settings.
    pub zone: u16,
    /// Number of its cell.
    pub cell: u16,
    /// Relative capacity.
    pub weight: f64,
    /// Its start as listed: Unix time, seconds; 0 for long ago.
    pub listed_start_s: f64,
    /// The same by the node's own clock; as listed until the fleet has taken it over.
    pub start_s: f64,
}

/// One version of the list, or what changed since the one before.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Version of the list.
    pub version: u64,
    /// Complete; otherwise changes alone.
    pub is_full: bool,
    /// Servers listed or changed.
    pub endpoints: Vec<Endpoint>,
}

impl EndpointList {
    /// Reads one line.
    ///
    /// # Errors
    /// What cannot be read: the JSON; an address, a kind, a zone or a state that is not known; a figure that is not
    /// finite or negative; a server that is named twice and differently.
    pub fn parse(line: &[u8], names: &Names) -> Result<EndpointList, String> {
        serde_json::from_slice(line)
            .map_err(|e| e.to_string())
            .and_then(|raw| EndpointList::read(raw, names))
    }

    /// As [`EndpointList::parse`], from JSON that is read already.
    ///
    /// # Errors
    /// As [`EndpointList::parse`].
    pub fn from_value(value: Value, names: &Names) -> Result<EndpointList, String> {
        serde_json::from_value(value)
            .map_err(|e| e.to_string())
            .and_then(|raw| EndpointList::read(raw, names))
    }

    fn read(raw: RawList, names: &Names) -> Result<EndpointList, String> {
        let targets = raw
            .targets
            .into_iter()
            .map(|t| target(t, names))
            .collect::<Result<Vec<_>, _>>()?;
        // Two servers at one address are no contradiction: a process may have its predecessor's while that still drains.
        let mut named: BTreeMap<&str, &Endpoint> = BTreeMap::new();
        for target in &targets {
            if named
                .insert(&target.uid, target)
                .is_some_and(|other| other != target)
            {
                return Err(format!(
                    "host '{}' is named twice and differently",
                    target.uid
                ));
            }
        }
        Ok(EndpointList {
            version: raw.rev,
            is_full: raw.all,
            endpoints: targets,
        })
    }
}

fn target(raw: RawEndpoint, names: &Names) -> Result<Endpoint, String> {
    let unknown =
        |what: &str, word: &str| format!("host '{}': {what} '{word}' is not known", raw.uid);
    let standing = match raw.state.as_str() {
        "in_service" => ServerStatus::Ready,
        "terminating" => ServerStatus::Draining,
        "terminated" => ServerStatus::Removed,
        word => return Err(unknown("state", word)),
    };
    let index = |list: &[String], word: &str| list.iter().position(|n| n == word).map(|i| i as u16);
    let kind = index(&names.kinds, &raw.model).ok_or_else(|| unknown("model", &raw.model))?;
    let zone = match raw.az.as_str() {
        "" => 0,
        word => index(&names.zones, word).ok_or_else(|| unknown("az", word))?,
    };
    let endpoint = raw
        .endpoint
        .parse()
        .map_err(|_| unknown("endpoint", &raw.endpoint))?;
    let figure = |what: &str, value: f64| match value.is_finite() && value >= 0.0 {
        true => Ok(value),
        false => Err(format!(
            "host '{}': {what} {value} is no figure from 0 on",
            raw.uid
        )),
    };
    let booted_at = figure("boot_ms", raw.boot_ms)? / 1e3;
    let weight = figure("capacity_hint", raw.capacity_hint.unwrap_or(1.0))?;
    Ok(Endpoint {
        uid: raw.uid,
        address: endpoint,
        status: standing,
        kind,
        zone,
        cell: raw.pod_group,
        weight,
        listed_start_s: booted_at,
        start_s: booted_at,
    })
}

/// What a list has changed.
#[derive(Debug)]
pub struct AppliedList {
    /// For the module, as `entries` is.
    pub form: ListForm,
    /// Servers listed or changed, for the decision module.
    pub entries: Vec<ServerEntry>,
    /// Servers that were listed already and have started anew: connections to them lead to the process before.
    pub restarted: Vec<ServerId>,
}

/// The servers as they stand, by the module's ids.
#[derive(Debug, Default)]
pub struct Endpoints {
    ids: BTreeMap<String, ServerId>,
    servers: BTreeMap<ServerId, Endpoint>,
    version: u64,
    /// When discovery said something whole last.
    notified_at: Option<Micros>,
}

impl Endpoints {
    /// The version that the list stands at.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// A server by the module's id.
    pub fn get(&self, id: ServerId) -> Option<&Endpoint> {
        self.servers.get(&id)
    }

    /// All servers, by the module's ids.
    pub fn iter(&self) -> impl Iterator<Item = (ServerId, &Endpoint)> {
        self.servers.iter().map(|(id, t)| (*id, t))
    }

    /// Discovery has said something whole, if only that nothing has changed.
    pub fn record_notification(&mut self, now: Micros) {
        self.notified_at = Some(now);
    }

    /// Takes a list over.
    pub fn apply(&mut self, now: Micros, list: EndpointList) -> AppliedList {
        self.version = list.version;
        let names_long_ago = list.endpoints.iter().any(|t| t.listed_start_s <= 0.0);
        let knowledge = StartTimeContext {
            received_at: now,
            notified_at: self.notified_at,
            lists_unknown_starts: names_long_ago,
        };
        let form = if list.is_full {
            ListForm::Full
        } else {
            ListForm::Delta
        };
        if list.is_full {
            let listed = |uid: &String| list.endpoints.iter().any(|t| t.uid == *uid);
            self.ids.retain(|uid, _| listed(uid));
            let (ids, servers) = (&self.ids, &mut self.servers);
            servers.retain(|id, t| ids.get(&t.uid) == Some(id));
        }
        let restarted = list
            .endpoints
            .iter()
            .filter_map(|t| self.restarted(t))
            .collect();
        let entries = list
            .endpoints
            .into_iter()
            .map(|t| self.put(t, knowledge))
            .collect();
        AppliedList {
            form,
            entries,
            restarted,
        }
    }

    /// The id of a server that is listed with another start than before.
    fn restarted(&self, target: &Endpoint) -> Option<ServerId> {
        let id = *self.ids.get(&target.uid)?;
        let before = self.servers.get(&id)?;
        (before.listed_start_s != target.listed_start_s).then_some(id)
    }

    fn put(&mut self, mut target: Endpoint, knowledge: StartTimeContext) -> ServerEntry {
        let id = self.id_of(&target.uid);
        let before = self
            .servers
            .get(&id)
            .filter(|before| before.listed_start_s == target.listed_start_s);
        // One start is reckoned once.
        target.start_s =
            before.map_or_else(|| knowledge.start_s(target.listed_start_s), |b| b.start_s);
        let entry = ServerEntry {
            id,
            status: target.status,
            kind: target.kind,
            cell: target.cell,
            zone: target.zone,
            weight: target.weight,
            booted_at: target.start_s,
        };
        if target.status == ServerStatus::Removed {
            // Ids are always new: what is gone must not stay for good.
            self.ids.remove(&target.uid);
            self.servers.remove(&id);
        } else {
            self.ids.insert(target.uid.clone(), id);
            self.servers.insert(id, target);
        }
        entry
    }

    /// The same id for a uid at every dispatcher, as the module ranks the homes of a key by it.
    fn id_of(&self, uid: &str) -> ServerId {
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
