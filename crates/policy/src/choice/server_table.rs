//! Table of servers by id, kept from the endpoint list.

use std::collections::btree_map::{BTreeMap, Values};

use super::decay::non_negative;
use super::load::ServerLoad;
use super::server::Server;
use super::slow_start_account::SlowStartAccount;
use crate::interface::{
    KindSettings, ListForm, Observation, Role, ServerEntry, ServerId, ServerStatus,
};

/// Peer reports of failures are applied only while at most this fraction of a role's ready servers
/// is reported failing.
const MAX_REPORTED_FAILING_FRACTION: f64 = 0.25;
/// Minimum number of peers that must report the same observation for it to be used.
const MIN_REPORTERS: u32 = 2;

/// An observation of one server that peers report.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerObservation {
    pub observation: Observation,
    /// Number of peers that report this observation.
    pub reporters: u32,
    /// Number of peers that report anything.
    pub peers: u32,
    /// Age of the most recent of the reports, in seconds.
    pub age_s: f64,
}

/// All servers that are listed or that still hold requests of this router.
#[derive(Debug)]
pub(super) struct ServerTable {
    kinds: Vec<KindSettings>,
    servers: BTreeMap<ServerId, Server>,
}

impl ServerTable {
    /// Creates a table without servers.
    pub fn new(kinds: Vec<KindSettings>) -> Self {
        ServerTable {
            kinds,
            servers: BTreeMap::new(),
        }
    }

    /// Returns a server, or `None` if it is unknown.
    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// Returns a server for modification, or `None` if it is unknown.
    pub fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(&id)
    }

    /// Iterates over all servers in the order of their ids.
    pub fn iter(&self) -> Values<'_, ServerId, Server> {
        self.servers.values()
    }

    /// Returns whether a server is known and only prefills.
    pub fn is_prefill(&self, id: ServerId) -> bool {
        self.get(id)
            .is_some_and(|server| server.role == Role::Prefill)
    }

    /// Applies an endpoint list or a change of it. A failed list changes nothing.
    pub fn apply_endpoint_list(&mut self, now: f64, form: ListForm, entries: Vec<ServerEntry>) {
        if form == ListForm::Failed {
            return;
        }
        if form != ListForm::Delta {
            self.mark_missing_removed(&entries);
        }
        for entry in entries {
            self.apply_entry(now, entry);
        }
        self.servers.retain(|_, server| {
            server.entry.status != ServerStatus::Removed || server.own_requests() > 0
        });
    }

    fn mark_missing_removed(&mut self, entries: &[ServerEntry]) {
        for server in self.servers.values_mut() {
            if !entries.iter().any(|entry| entry.id == server.entry.id) {
                server.entry.status = ServerStatus::Removed;
            }
        }
    }

    fn apply_entry(&mut self, now: f64, mut entry: ServerEntry) {
        let Some(kind) = self.kinds.get(usize::from(entry.kind)) else {
            return;
        };
        entry.booted_at = non_negative(entry.booted_at);
        let id = entry.id;
        let new_server = Server {
            entry: entry.clone(),
            role: kind.role,
            memory_tokens: kind.memory_tokens.max(1.0),
            start_learned_at: now,
            load: ServerLoad::new(),
            ..Server::default()
        };
        let server = match self.servers.remove(&id) {
            Some(old) if old.entry.booted_at == entry.booted_at => Server { entry, ..old },
            // What was learned about a server process ends with it, but its attempts have yet to
            // end.
            Some(old) => Server {
                in_flight: old.in_flight,
                streaming: old.streaming,
                ..new_server
            },
            None => new_server,
        };
        self.servers.insert(id, server);
    }

    /// Applies what peers report of a server. A single reporter changes nothing, and a more recent
    /// success at this router outweighs a report of failures. A failing server gets a cost as after
    /// a failure seen here, a warming server is treated as if the list gave its start time, and a
    /// draining server is excluded while it is reported. The drawback is that two wrong reporters
    /// can keep requests off a server for some seconds.
    pub fn record_peer_report(&mut self, now: f64, id: ServerId, report: PeerObservation) {
        if report.reporters < MIN_REPORTERS {
            return;
        }
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        let reported_at = now - report.age_s;
        match report.observation {
            Observation::Failing if server.health.last_success_at() < reported_at => {
                server.health.record_reported_failing(now);
                self.apply_failure_report_of_outlier(now, id);
            }
            Observation::WarmingUp if server.booted_at() <= 0.0 => {
                server.reported_start_at = reported_at;
                server.start_learned_at = now;
                server.slow_start = SlowStartAccount::default();
            }
            Observation::Draining if 2 * report.reporters > report.peers => {
                server.health.record_reported_drain(now);
            }
            _ => {}
        }
    }

    /// Applies a report of failures if the server is an outlier, that is if no other ready server
    /// of its role, or at most the fraction [`MAX_REPORTED_FAILING_FRACTION`] of them, is reported
    /// failing. If many servers of its role are reported failing, the network path to them is the
    /// likely cause.
    fn apply_failure_report_of_outlier(&mut self, now: f64, id: ServerId) {
        let Some(role) = self.get(id).map(|server| server.role) else {
            return;
        };
        let (mut ready, mut failing) = (0usize, 0usize);
        for server in self.servers.values() {
            if server.role == role && server.is_ready() {
                ready += 1;
                failing += usize::from(server.health.is_reported_failing(now));
            }
        }
        let is_outlier =
            failing <= 1 || failing as f64 <= MAX_REPORTED_FAILING_FRACTION * ready as f64;
        if let Some(server) = self.servers.get_mut(&id).filter(|_| is_outlier) {
            server.health.apply_reported_failure(now);
        }
    }
}
