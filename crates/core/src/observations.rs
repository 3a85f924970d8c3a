//! What this dispatcher sees of hosts, for its peers, and what they tell of theirs.

use std::collections::{BTreeMap, BTreeSet};

use bitternlatch_policy::interface::{Event, ListForm, Observation, Outcome, ServerId};
use bitternlatch_quota_lease::{Hearsay, Host, Trait};

use crate::machine::{log, Machine};
use crate::timers::Timer;
use crate::types::{Level, Micros, Output};

/// Between two looks at what is seen.
pub(crate) const LOOK_S: f64 = 0.25;
/// Failed attempts in a row, and how long after the last of them a host counts as failing.
const ROW: u32 = 2;
const FAILING_S: f64 = 3.0;
/// A link that has not been open for so long is no start and no short break.
const AWAY_S: f64 = 0.5;
/// What peers told is old after this: the steward answers a few times a second.
const OLD_S: f64 = 2.0;
/// No host reached for so long, while peers are there, is taken for this dispatcher's own fault.
const NONE_REACHED_S: f64 = 1.0;

/// Something seen of a host, and since when; the words that peers have for it.
pub type ServerObservation = (Host, Trait, Micros);

#[derive(Default)]
pub(crate) struct Evidence {
    /// Failed attempts in a row, and the last of them.
    row: BTreeMap<ServerId, (u32, Micros)>,
    /// Since when something that has no time of its own is so.
    since: BTreeMap<(Host, Trait), Micros>,
    told: Vec<ServerObservation>,
    /// Since when no link has been open.
    none_open: Option<Micros>,
    list_lost: bool,
    /// Hosts that any peer has said to fail, and when.
    failing_elsewhere: BTreeMap<ServerId, Micros>,
}

fn sight(what: Trait) -> Observation {
    match what {
        Trait::Failing => Observation::Failing,
        Trait::Cold => Observation::WarmingUp,
        Trait::Draining => Observation::Draining,
    }
}

impl Machine {
    /// Counts failures in a row. What never ran tells nothing of a host but where there was no way to it.
    pub(crate) fn note_outcome(&mut self, now: Micros, host: ServerId, outcome: Outcome) {
        if self.settings.cluster.is_none() {
            return;
        }
        match outcome {
            Outcome::Served | Outcome::PrefillDone => drop(self.evidence.row.remove(&host)),
            Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::ConnectFailed => {
                let (many, last) = self.evidence.row.entry(host).or_default();
                (*many, *last) = (many.saturating_add(1), now);
            }
            Outcome::Rejected { .. } | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Looks at all hosts, and tells peers where something has changed.
    pub(crate) fn look_at_hosts(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.timers.set(now.after(LOOK_S), Timer::Evidence);
        let evidence = &mut self.evidence;
        evidence.none_open = match self.links.open_count() {
            0 if self.fleet.ready().next().is_some() => evidence.none_open.or(Some(now)),
            _ => None,
        };
        evidence.row.retain(|host, (_, last)| {
            now.since(*last) < FAILING_S && self.fleet.get(*host).is_some()
        });
        evidence
            .failing_elsewhere
            .retain(|_, at| now.since(*at) < OLD_S);
        let seen = self.seen(now);
        if self.evidence.told != seen {
            self.evidence.told = seen.clone();
            out.push(Output::Observations(seen));
        }
    }

    fn seen(&mut self, now: Micros) -> Vec<ServerObservation> {
        let warm_after_s = self.settings.rules.slow_start.warm_after_s;
        let mut seen: BTreeMap<(Host, Trait), Micros> = BTreeMap::new();
        // What has no time of its own counts from the look at which it was first so.
        let mut so = BTreeSet::new();
        for (id, known) in self.fleet.listed() {
            let host = Host(id);
            if known.is_draining() {
                so.insert((host, Trait::Draining));
            }
            if self.links.open(id).is_none() {
                so.insert((host, Trait::Failing));
            }
            if let Some(at) = known.booted_at().filter(|at| now.since(*at) < warm_after_s) {
                seen.insert((host, Trait::Cold), at);
            }
        }
        self.evidence.since.retain(|key, _| so.contains(key));
        for key in so {
            let at = *self.evidence.since.entry(key).or_insert(now);
            if key.1 != Trait::Failing || now.since(at) >= AWAY_S {
                seen.insert(key, at);
            }
        }
        for (id, (_, last)) in self
            .evidence
            .row
            .iter()
            .filter(|(_, (many, _))| *many >= ROW)
        {
            let at = seen.entry((Host(*id), Trait::Failing)).or_insert(*last);
            *at = (*at).max(*last);
        }
        seen.into_iter()
            .map(|((host, what), at)| (host, what, at))
            .collect()
    }

    /// What peers see of hosts, as told at a time: told from before this process stood still it is no evidence.
    pub(crate) fn on_heard(
        &mut self,
        now: Micros,
        at: Micros,
        of: u16,
        heard: &[Hearsay],
        out: &mut Vec<Output>,
    ) {
        if self.settings.cluster.is_none() || now.since(at) > OLD_S {
            return;
        }
        let drained = heard
            .iter()
            .filter(|h| h.what == Trait::Draining)
            .map(|h| h.host.0);
        if self.evidence.list_lost {
            self.drain_by_hearsay(drained.collect(), out);
        }
        for one in heard.iter().filter(|h| self.fleet.get(h.host.0).is_some()) {
            if one.what == Trait::Failing {
                self.evidence.failing_elsewhere.insert(one.host.0, now);
            }
            self.events.push_back(Event::PeerReport {
                server: one.host.0,
                observation: sight(one.what),
                reporters: u32::from(one.voices),
                peers: u32::from(of),
                age_s: one.age.as_secs_f64() + now.since(at),
            });
        }
    }

    /// Whether the list can be read. One who cannot read it may miss a drain: until it can, the word of any peer counts.
    pub(crate) fn on_list_lost(&mut self, lost: bool, out: &mut Vec<Output>) {
        if self.settings.cluster.is_some() && self.evidence.list_lost != lost {
            self.evidence.list_lost = lost;
            if !lost {
                self.drain_by_hearsay(BTreeSet::new(), out);
            }
        }
    }

    fn drain_by_hearsay(&mut self, hosts: BTreeSet<ServerId>, out: &mut Vec<Output>) {
        let entries = self.fleet.drained_elsewhere(hosts);
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

    /// Whether hosts are reached, as far as can be told.
    pub(crate) fn reaches_hosts(&self, now: Micros) -> bool {
        self.evidence
            .none_open
            .is_none_or(|since| now.since(since) < NONE_REACHED_S)
    }

    /// Whether peers have said of every host that takes work that it fails for them too.
    pub(crate) fn all_fail_elsewhere(&self) -> bool {
        self.fleet
            .ready()
            .all(|id| self.evidence.failing_elsewhere.contains_key(&id))
    }
}
