//! Conditions of model servers (failing, warming up, draining): those that this dispatcher observes and sends to its
//! peers, and those that peers report.

use std::collections::{BTreeMap, BTreeSet};

use bitternlatch_policy::interface::{Event, ListForm, Observation, Outcome, ServerId};
use bitternlatch_quota_lease::{PeerReport, ServerCondition, ServerNumber};
use serde::{Deserialize, Serialize};

use crate::machine::{log, Machine};
use crate::timers::Timer;
use crate::types::{Level, Micros, Output};

/// Interval at which the conditions of all model servers are evaluated, seconds.
pub(crate) const OBSERVE_INTERVAL_S: f64 = 0.25;
/// Number of consecutive failed attempts after which a server counts as failing.
const FAILURE_STREAK: u32 = 2;
/// Time after the last failed attempt during which a server still counts as failing, seconds.
const FAILING_S: f64 = 3.0;
/// Time for which a link has to be down before its server counts as failing, seconds: a shorter outage is a start or a
/// brief interruption.
const MIN_LINK_DOWN_S: f64 = 0.5;
/// Age above which peer reports are ignored, seconds. The cluster's leader sends new ones several times a second.
const MAX_REPORT_AGE_S: f64 = 2.0;
/// Time without any open link to a model server after which this dispatcher, if peers are reachable, takes itself
/// rather than the servers to be cut off, seconds.
const UNREACHABLE_AFTER_S: f64 = 1.0;

/// A condition of a model server that this dispatcher has observed, to be sent to its peers. Serialized as a triple.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "Triple", into = "Triple")]
pub struct ServerObservation {
    /// The server.
    pub server: ServerNumber,
    /// The observed condition.
    pub condition: ServerCondition,
    /// Time since which the condition has been observed.
    pub since: Micros,
}

type Triple = (ServerNumber, ServerCondition, Micros);

impl From<Triple> for ServerObservation {
    fn from((server, condition, since): Triple) -> ServerObservation {
        ServerObservation {
            server,
            condition,
            since,
        }
    }
}

impl From<ServerObservation> for Triple {
    fn from(observation: ServerObservation) -> Triple {
        (observation.server, observation.condition, observation.since)
    }
}

/// Consecutive failed attempts at one server.
#[derive(Default)]
struct FailureStreak {
    count: u32,
    /// When the last failed attempt ended.
    last: Micros,
}

#[derive(Default)]
pub(crate) struct Observations {
    /// Current failure streak of each server; a successful attempt removes it.
    failures: BTreeMap<ServerId, FailureStreak>,
    /// First evaluation at which a condition without a start time of its own was observed.
    since: BTreeMap<(ServerNumber, ServerCondition), Micros>,
    /// The observations that were last sent to peers.
    sent: Vec<ServerObservation>,
    /// Time since which no link has been open although some server accepts work.
    unreachable_since: Option<Micros>,
    /// Whether this dispatcher cannot read its server list.
    list_unreadable: bool,
    /// Servers that a peer has reported as failing, with the time at which the latest report was received.
    failing_at_peers: BTreeMap<ServerId, Micros>,
}

/// The decision module's form of a condition.
fn observation_of(condition: ServerCondition) -> Observation {
    match condition {
        ServerCondition::Failing => Observation::Failing,
        ServerCondition::WarmingUp => Observation::WarmingUp,
        ServerCondition::Draining => Observation::Draining,
    }
}

impl Machine {
    /// Updates a server's failure streak with the outcome of an attempt. Attempts that never ran say nothing about the
    /// server, except that a failed connection counts as a failure.
    pub(crate) fn record_outcome(&mut self, now: Micros, server: ServerId, outcome: Outcome) {
        if self.settings.cluster.is_none() {
            return;
        }
        match outcome {
            Outcome::Served | Outcome::PrefillDone => {
                self.observations.failures.remove(&server);
            }
            Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::ConnectFailed => {
                let streak = self.observations.failures.entry(server).or_default();
                streak.count = streak.count.saturating_add(1);
                streak.last = now;
            }
            Outcome::Rejected { .. } | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Evaluates the conditions of all servers and sends them to peers if any has changed.
    pub(crate) fn observe_servers(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.timers
            .set(now.after(OBSERVE_INTERVAL_S), Timer::Observations);
        let observations = &mut self.observations;
        observations.unreachable_since = match self.links.open_count() {
            0 if self.servers.ready().next().is_some() => {
                observations.unreachable_since.or(Some(now))
            }
            _ => None,
        };
        observations.failures.retain(|server, streak| {
            now.since(streak.last) < FAILING_S && self.servers.get(*server).is_some()
        });
        observations
            .failing_at_peers
            .retain(|_, at| now.since(*at) < MAX_REPORT_AGE_S);
        let observed = self.observe(now);
        if self.observations.sent != observed {
            self.observations.sent = observed.clone();
            out.push(Output::Observations(observed));
        }
    }

    /// All conditions of model servers that are observed now, with the time since which each has held.
    fn observe(&mut self, now: Micros) -> Vec<ServerObservation> {
        let warm_after_s = self.settings.rules.slow_start.warm_after_s;
        let mut observed: BTreeMap<(ServerNumber, ServerCondition), Micros> = BTreeMap::new();
        // Conditions without a start time of their own; each dates from the evaluation that first observed it.
        let mut undated = BTreeSet::new();
        for (id, known) in self.servers.listed() {
            let server = ServerNumber(id);
            if known.is_draining() {
                undated.insert((server, ServerCondition::Draining));
            }
            if self.links.open_link(id).is_none() {
                undated.insert((server, ServerCondition::Failing));
            }
            if let Some(at) = known.booted_at().filter(|at| now.since(*at) < warm_after_s) {
                observed.insert((server, ServerCondition::WarmingUp), at);
            }
        }
        self.observations
            .since
            .retain(|key, _| undated.contains(key));
        for key in undated {
            let at = *self.observations.since.entry(key).or_insert(now);
            if key.1 != ServerCondition::Failing || now.since(at) >= MIN_LINK_DOWN_S {
                observed.insert(key, at);
            }
        }
        for (id, streak) in self
            .observations
            .failures
            .iter()
            .filter(|(_, streak)| streak.count >= FAILURE_STREAK)
        {
            let at = observed
                .entry((ServerNumber(*id), ServerCondition::Failing))
                .or_insert(streak.last);
            *at = (*at).max(streak.last);
        }
        observed
            .into_iter()
            .map(|((server, condition), since)| ServerObservation {
                server,
                condition,
                since,
            })
            .collect()
    }

    /// Passes peer reports to the decision module. Reports sent too long ago, for instance before this process was
    /// paused, are ignored.
    pub(crate) fn on_peer_reports(
        &mut self,
        now: Micros,
        sent_at: Micros,
        reporters: u16,
        reports: &[PeerReport],
        out: &mut Vec<Output>,
    ) {
        if self.settings.cluster.is_none() || now.since(sent_at) > MAX_REPORT_AGE_S {
            return;
        }
        let drained = reports
            .iter()
            .filter(|report| report.condition == ServerCondition::Draining)
            .map(|report| report.server.0);
        if self.observations.list_unreadable {
            self.drain_by_peer_reports(drained.collect(), out);
        }
        for report in reports
            .iter()
            .filter(|report| self.servers.get(report.server.0).is_some())
        {
            if report.condition == ServerCondition::Failing {
                self.observations
                    .failing_at_peers
                    .insert(report.server.0, now);
            }
            self.events.push_back(Event::PeerReport {
                server: report.server.0,
                observation: observation_of(report.condition),
                reporters: u32::from(report.reporters),
                peers: u32::from(reporters),
                age_s: report.age.as_secs_f64() + now.since(sent_at),
            });
        }
    }

    /// The server list has become unreadable (`true`) or readable again. A dispatcher that cannot read it could miss
    /// that a server is draining, so until it is readable again a report from any peer counts as draining.
    pub(crate) fn on_server_list_unreadable(&mut self, unreadable: bool, out: &mut Vec<Output>) {
        if self.settings.cluster.is_some() && self.observations.list_unreadable != unreadable {
            self.observations.list_unreadable = unreadable;
            if !unreadable {
                self.drain_by_peer_reports(BTreeSet::new(), out);
            }
        }
    }

    /// Replaces the set of servers that are draining according to peers and passes the changed entries to the decision
    /// module.
    fn drain_by_peer_reports(&mut self, servers: BTreeSet<ServerId>, out: &mut Vec<Output>) {
        let entries = self.servers.set_drained_at_peers(servers);
        if !entries.is_empty() {
            let text = format!(
                "drains by the word of peers, as the list cannot be read: {} changed",
                entries.len()
            );
            log(out, Level::Warn, text);
            self.events.push_back(Event::Servers {
                form: ListForm::Delta,
                entries,
            });
        }
    }

    /// Whether this dispatcher can reach model servers: `false` once no link has been open for [`UNREACHABLE_AFTER_S`]
    /// although servers accept work.
    pub(crate) fn reaches_servers(&self, now: Micros) -> bool {
        self.observations
            .unreachable_since
            .is_none_or(|since| now.since(since) < UNREACHABLE_AFTER_S)
    }

    /// Whether peers have reported every server that accepts work as failing for them too.
    pub(crate) fn all_failing_at_peers(&self) -> bool {
        self.servers
            .ready()
            .all(|id| self.observations.failing_at_peers.contains_key(&id))
    }
}
