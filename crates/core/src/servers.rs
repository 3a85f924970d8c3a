//! The table of model servers: what the server list says of each, what each reports of itself, and the entries that
//! the decision module is given.

use std::collections::{BTreeMap, BTreeSet};

use bitternlatch_inventory::{ModelServer, ServerState};
use bitternlatch_policy::interface::{Role, ServerEntry, ServerId, ServerStatus};
use bitternlatch_protocol::engine::EngineState;

use crate::settings::Settings;
use crate::types::Micros;

/// Tolerance for comparing a server's boot time, computed from the uptime in its hello message, with the previous one,
/// seconds. A larger difference means that the server has restarted; a smaller one is clock drift.
const BOOT_TIME_TOLERANCE_S: f64 = 1.0;

pub(crate) struct KnownServer {
    pub server: ModelServer,
    pub role: Role,
    kind: u16,
    cell: u16,
    zone: u16,
    reported: EngineState,
    /// Clock time at which the server started, seconds; 0 once it is warm or if it has not sent a hello message.
    booted_at: f64,
    /// Whether a peer reports the server as draining, which counts only while this dispatcher cannot read its server
    /// list.
    drained_at_peers: bool,
}

impl KnownServer {
    fn status(&self) -> ServerStatus {
        match (self.server.state, self.reported) {
            (ServerState::Gone, _) => ServerStatus::Removed,
            (ServerState::Ready, EngineState::Ready) if self.drained_at_peers => {
                ServerStatus::Draining
            }
            (ServerState::Draining, _) | (_, EngineState::Draining) => ServerStatus::Draining,
            (ServerState::Ready, EngineState::Ready) => ServerStatus::Ready,
        }
    }

    pub(crate) fn accepts_work(&self) -> bool {
        self.status() == ServerStatus::Ready
    }

    /// Whether the server list or the server itself says that it is draining.
    pub(crate) fn is_draining(&self) -> bool {
        self.server.state == ServerState::Draining || self.reported == EngineState::Draining
    }

    pub(crate) fn booted_at(&self) -> Option<Micros> {
        (self.booted_at > 0.0).then(|| Micros::from_seconds(self.booted_at))
    }

    fn entry(&self, id: ServerId) -> ServerEntry {
        ServerEntry {
            id,
            status: self.status(),
            kind: self.kind,
            cell: self.cell,
            zone: self.zone,
            weight: self.server.weight,
            booted_at: self.booted_at,
        }
    }
}

/// Assigns consecutive numbers to names, in order of first use.
#[derive(Default)]
struct NameInterner(BTreeMap<String, u16>);

impl NameInterner {
    fn number(&mut self, name: &str) -> u16 {
        let next = u16::try_from(self.0.len()).unwrap_or(u16::MAX);
        *self.0.entry(name.to_string()).or_insert(next)
    }
}

/// What changed when a new server list was applied.
#[derive(Default)]
pub(crate) struct ListChange {
    pub entries: Vec<ServerEntry>,
    /// Servers that are new or whose address has changed.
    pub connect: Vec<ServerId>,
    /// Servers that were removed or are no longer at the address of their link.
    pub disconnect: Vec<ServerId>,
    /// Servers that no longer accept new work.
    pub closed: Vec<ServerId>,
    /// One log line for each server that was skipped, with the cause.
    pub skipped: Vec<String>,
}

pub(crate) struct ServerTable {
    servers: BTreeMap<ServerId, KnownServer>,
    zones: NameInterner,
    cells: NameInterner,
}

impl ServerTable {
    /// An empty table. The dispatcher's own zone gets number 0.
    pub(crate) fn new(zone: &str) -> Self {
        let mut zones = NameInterner::default();
        zones.number(zone);
        ServerTable {
            servers: BTreeMap::new(),
            zones,
            cells: NameInterner::default(),
        }
    }

    pub(crate) fn get(&self, id: ServerId) -> Option<&KnownServer> {
        self.servers.get(&id)
    }

    /// All servers that the list does not mark as removed.
    pub(crate) fn listed(&self) -> impl Iterator<Item = (ServerId, &KnownServer)> {
        self.servers
            .iter()
            .filter(|(_, k)| k.status() != ServerStatus::Removed)
            .map(|(id, k)| (*id, k))
    }

    /// The servers that accept new work.
    pub(crate) fn ready(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.servers
            .iter()
            .filter(|(_, k)| k.accepts_work())
            .map(|(id, _)| *id)
    }

    /// Replaces the set of servers that peers report as draining. Returns the entries that changed.
    pub(crate) fn set_drained_at_peers(&mut self, servers: BTreeSet<ServerId>) -> Vec<ServerEntry> {
        let mut changed = Vec::new();
        for (id, known) in &mut self.servers {
            let drained = servers.contains(id);
            if known.drained_at_peers != drained {
                known.drained_at_peers = drained;
                changed.push(known.entry(*id));
            }
        }
        changed
    }

    pub(crate) fn len(&self) -> usize {
        self.servers.len()
    }

    /// Replaces the table by a complete server list. A server whose kind the settings do not name is skipped and listed
    /// in [`ListChange::skipped`].
    pub(crate) fn apply_list(&mut self, list: Vec<ModelServer>, settings: &Settings) -> ListChange {
        let mut change = ListChange::default();
        let mut listed = BTreeMap::new();
        for server in list {
            let id = server.id();
            let kinds = &settings.kinds;
            let Some(kind) = kinds.iter().position(|k| k.name == server.kind) else {
                change.skipped.push(format!(
                    "host '{}' has kind '{}', unknown here",
                    server.name, server.kind
                ));
                continue;
            };
            let (cell, zone) = (
                self.cells.number(&server.cell),
                self.zones.number(&server.zone),
            );
            let role = kinds[kind].role;
            let old = self.servers.remove(&id);
            let accepted_work = old.as_ref().is_some_and(KnownServer::accepts_work);
            let moved = old
                .as_ref()
                .is_none_or(|o| o.server.endpoint() != server.endpoint());
            let (reported, booted_at) = match &old {
                Some(o) if !moved => (o.reported, o.booted_at),
                _ => (EngineState::Ready, 0.0),
            };
            let removed = server.state == ServerState::Gone;
            if old.is_some() && (moved || removed) {
                change.disconnect.push(id);
            }
            if moved && !removed {
                change.connect.push(id);
            }
            let kind = kind as u16;
            let known = KnownServer {
                server,
                role,
                kind,
                cell,
                zone,
                reported,
                booted_at,
                drained_at_peers: false,
            };
            if accepted_work && !known.accepts_work() {
                change.closed.push(id);
            }
            change.entries.push(known.entry(id));
            listed.insert(id, known);
        }
        for id in self.servers.keys() {
            change.disconnect.push(*id);
            change.closed.push(*id);
        }
        self.servers = listed;
        change
    }

    /// Applies the hello message received over a link. Returns the changed entry and whether the server has restarted
    /// since its previous hello message, so that earlier decisions for it no longer hold.
    pub(crate) fn apply_hello(
        &mut self,
        now: Micros,
        id: ServerId,
        uptime_s: f64,
        reported: EngineState,
        warm_after_s: f64,
    ) -> Option<(ServerEntry, bool)> {
        let known = self.servers.get_mut(&id)?;
        let warm = !uptime_s.is_finite() || uptime_s >= warm_after_s;
        let booted_at = if warm {
            0.0
        } else {
            now.seconds() - uptime_s.max(0.0)
        };
        let same_boot = (booted_at - known.booted_at).abs() <= BOOT_TIME_TOLERANCE_S;
        let restarted = booted_at > 0.0 && !same_boot;
        if !same_boot {
            known.booted_at = booted_at;
        }
        known.reported = reported;
        Some((known.entry(id), restarted))
    }

    /// Stores the state that a server reported of itself and returns the changed entry.
    pub(crate) fn set_reported_state(
        &mut self,
        id: ServerId,
        reported: EngineState,
    ) -> Option<ServerEntry> {
        let known = self.servers.get_mut(&id)?;
        known.reported = reported;
        Some(known.entry(id))
    }
}

#[cfg(test)]
mod tests;
