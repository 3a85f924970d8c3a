//! The servers: what the list says, what each says of itself, and the entry that the decision module is given.

use std::collections::{BTreeMap, BTreeSet};

use bitternlatch_inventory::{ModelServer, ServerState};
use bitternlatch_policy::interface::{Role, ServerEntry, ServerId, ServerStatus};
use bitternlatch_protocol::engine::EngineState;

use crate::settings::Settings;
use crate::types::Micros;

/// An engine younger than this many seconds more than at its last greeting has been started anew; less is the
/// clocks' drift.
const RESTART_SLACK_S: f64 = 1.0;

pub(crate) struct KnownServer {
    pub server: ModelServer,
    pub role: Role,
    kind: u16,
    cell: u16,
    zone: u16,
    reported: EngineState,
    /// Clock seconds of the start that it told; 0 = not told.
    booted_at: f64,
    /// By the word of peers, while the own list cannot be read.
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

    /// By the list or its own word.
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

/// Small numbers for names, in order of first sight.
#[derive(Default)]
struct NameInterner(BTreeMap<String, u16>);

impl NameInterner {
    fn number(&mut self, name: &str) -> u16 {
        let next = u16::try_from(self.0.len()).unwrap_or(u16::MAX);
        *self.0.entry(name.to_string()).or_insert(next)
    }
}

/// What a list changed.
#[derive(Default)]
pub(crate) struct ListChange {
    pub entries: Vec<ServerEntry>,
    /// Servers whose address is new or other than before.
    pub connect: Vec<ServerId>,
    /// Servers that are gone, or no longer at the address that their link leads to.
    pub disconnect: Vec<ServerId>,
    /// Servers that take no new work any more.
    pub closed: Vec<ServerId>,
    /// Servers that were passed over, with the cause.
    pub skipped: Vec<String>,
}

pub(crate) struct ServerTable {
    servers: BTreeMap<ServerId, KnownServer>,
    zones: NameInterner,
    cells: NameInterner,
}

impl ServerTable {
    /// The dispatcher's own zone is number 0.
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

    /// All but those that are gone.
    pub(crate) fn listed(&self) -> impl Iterator<Item = (ServerId, &KnownServer)> {
        self.servers
            .iter()
            .filter(|(_, k)| k.status() != ServerStatus::Removed)
            .map(|(id, k)| (*id, k))
    }

    /// Those that take work.
    pub(crate) fn ready(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.servers
            .iter()
            .filter(|(_, k)| k.accepts_work())
            .map(|(id, _)| *id)
    }

    /// Holds these for draining by the word of others, and no more those that were before; gives what changed.
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

    /// Takes a complete list. A server whose kind the settings do not name is passed over and said so.
    pub(crate) fn apply_list(&mut self, list: Vec<ModelServer>, settings: &Settings) -> ListChange {
        let mut change = ListChange::default();
        let mut seen = BTreeMap::new();
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
            let was_open = old.as_ref().is_some_and(KnownServer::accepts_work);
            let moved = old
                .as_ref()
                .is_none_or(|o| o.server.endpoint() != server.endpoint());
            let (reported, booted_at) = match &old {
                Some(o) if !moved => (o.reported, o.booted_at),
                _ => (EngineState::Ready, 0.0),
            };
            let gone = server.state == ServerState::Gone;
            if old.is_some() && (moved || gone) {
                change.disconnect.push(id);
            }
            if moved && !gone {
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
            if was_open && !known.accepts_work() {
                change.closed.push(id);
            }
            change.entries.push(known.entry(id));
            seen.insert(id, known);
        }
        for id in self.servers.keys() {
            change.disconnect.push(*id);
            change.closed.push(*id);
        }
        self.servers = seen;
        change
    }

    /// Takes a link's greeting. Gives the changed entry, and whether the server has been started anew since it was last
    /// heard, so that what was decided for it before no longer holds.
    pub(crate) fn apply_greeting(
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
        let same = (booted_at - known.booted_at).abs() <= RESTART_SLACK_S;
        let restarted = booted_at > 0.0 && !same;
        if !same {
            known.booted_at = booted_at;
        }
        known.reported = reported;
        Some((known.entry(id), restarted))
    }

    /// Takes a server's word on its own state.
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
