//! What this dispatcher sees of servers, for its peers, and what they tell of theirs.

use std::collections::{BTreeMap, BTreeSet};

use bitternlatch_policy::interface::{Event, ListForm, Observation, Outcome, ServerId};
use bitternlatch_quota_lease::{PeerReport, ServerCondition, ServerNumber};
use serde::{Deserialize, Serialize};

use crate::machine::{log, Machine};
use crate::timers::Timer;
use crate::types::{Level, Micros, Output};

/// Between two looks at what is seen.
pub(crate) const OBSERVE_INTERVAL_S: f64 = 0.25;
/// Failed attempts in a row, and how long after the last of them a server counts as failing.
const FAILURE_STREAK: u32 = 2;
const FAILING_S: f64 = 3.0;
/// A link that has not been open for so long is no start and no short break.
const MIN_LINK_DOWN_S: f64 = 0.5;
/// What peers told is old after this: the leader answers a few times a second.
const MAX_REPORT_AGE_S: f64 = 2.0;
/// No server reached for so long, while peers are there, is taken for this dispatcher's own fault.
const UNREACHABLE_AFTER_S: f64 = 1.0;

/// A condition of a model server, in the form that peers exchange. Serialized as a triple.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "Triple", into = "Triple")]
pub struct ServerObservation {
    /// The server.
    pub server: ServerNumber,
    /// What is observed of it.
    pub condition: ServerCondition,
    /// Since when.
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

/// Failed attempts in a row at one server.
#[derive(Default)]
struct FailureStreak {
    count: u32,
    /// When the last of them ended.
    last: Micros,
}

#[derive(Default)]
pub(crate) struct Observations {
    /// Failed attempts in a row.
    failures: BTreeMap<ServerId, FailureStreak>,
    /// Since when something that has no time of its own is so.
    since: BTreeMap<(ServerNumber, ServerCondition), Micros>,
    sent: Vec<ServerObservation>,
    /// Since when no link has been open.
    unreachable_since: Option<Micros>,
    list_unreadable: bool,
    /// Servers that any peer has said to fail, and when.
    failing_at_peers: BTreeMap<ServerId, Micros>,
}

fn observation_of(what: ServerCondition) -> Observation {
    match what {
        ServerCondition::Failing => Observation::Failing,
        ServerCondition::WarmingUp => Observation::WarmingUp,
        ServerCondition::Draining => Observation::Draining,
    }
}

impl Machine {
    /// Counts failures in a row. What never ran tells nothing of a server but where there was no way to it.
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

    /// Looks at all servers, and tells peers where something has changed.
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
        let observe = self.observe(now);
        if self.observations.sent != observe {
            self.observations.sent = observe.clone();
            out.push(Output::Observations(observe));
        }
    }

    fn observe(&mut self, now: Micros) -> Vec<ServerObservation> {
        let warm_after_s = self.settings.rules.slow_start.warm_after_s;
        let mut seen: BTreeMap<(ServerNumber, ServerCondition), Micros> = BTreeMap::new();
        // What has no time of its own counts from the look at which it was first so.
        let mut so = BTreeSet::new();
        for (id, known) in self.servers.listed() {
            let server = ServerNumber(id);
            if known.is_draining() {
                so.insert((server, ServerCondition::Draining));
            }
            if self.links.open_link(id).is_none() {
                so.insert((server, ServerCondition::Failing));
            }
            if let Some(at) = known.booted_at().filter(|at| now.since(*at) < warm_after_s) {
                seen.insert((server, ServerCondition::WarmingUp), at);
            }
        }
        self.observations.since.retain(|key, _| so.contains(key));
        for key in so {
            let at = *self.observations.since.entry(key).or_insert(now);
            if key.1 != ServerCondition::Failing || now.since(at) >= MIN_LINK_DOWN_S {
                seen.insert(key, at);
            }
        }
        for (id, streak) in self
            .observations
            .failures
            .iter()
            .filter(|(_, streak)| streak.count >= FAILURE_STREAK)
        {
            let at = seen
                .entry((ServerNumber(*id), ServerCondition::Failing))
                .or_insert(streak.last);
            *at = (*at).max(streak.last);
        }
        seen.into_iter()
            .map(|((server, condition), since)| ServerObservation {
                server,
                condition,
                since,
            })
            .collect()
    }

    /// What peers see of servers, as told at a time: told from before this process stood still it is no evidence.
    pub(crate) fn on_peer_reports(
        &mut self,
        now: Micros,
        at: Micros,
        of: u16,
        heard: &[PeerReport],
        out: &mut Vec<Output>,
    ) {
        if self.settings.cluster.is_none() || now.since(at) > MAX_REPORT_AGE_S {
            return;
        }
        let drained = heard
            .iter()
            .filter(|h| h.condition == ServerCondition::Draining)
            .map(|h| h.server.0);
        if self.observations.list_unreadable {
            self.drain_by_peer_reports(drained.collect(), out);
        }
        for one in heard
            .iter()
            .filter(|h| self.servers.get(h.server.0).is_some())
        {
            if one.condition == ServerCondition::Failing {
                self.observations.failing_at_peers.insert(one.server.0, now);
            }
            self.events.push_back(Event::PeerReport {
                server: one.server.0,
                observation: observation_of(one.condition),
                reporters: u32::from(one.reporters),
                peers: u32::from(of),
                age_s: one.age.as_secs_f64() + now.since(at),
            });
        }
    }

    /// Whether the list can be read. One who cannot read it may miss a drain: until it can, the word of any peer counts.
    pub(crate) fn on_server_list_unreadable(&mut self, lost: bool, out: &mut Vec<Output>) {
        if self.settings.cluster.is_some() && self.observations.list_unreadable != lost {
            self.observations.list_unreadable = lost;
            if !lost {
                self.drain_by_peer_reports(BTreeSet::new(), out);
            }
        }
    }

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

    /// Whether servers are reached, as far as can be told.
    pub(crate) fn reaches_servers(&self, now: Micros) -> bool {
        self.observations
            .unreachable_since
            .is_none_or(|since| now.since(since) < UNREACHABLE_AFTER_S)
    }

    /// Whether peers have said of every server that takes work that it fails for them too.
    pub(crate) fn all_failing_at_peers(&self) -> bool {
        self.servers
            .ready()
            .all(|id| self.observations.failing_at_peers.contains_key(&id))
    }
}
