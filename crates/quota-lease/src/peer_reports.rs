//! Gossip of observations: what members have observed of model servers, gathered by the leader and sent to the others.
//!
//! Each member sends the leader its observations with every lease request, and gets with the answer what others observe:
//! how many members were counted, how many of them observed it, and how old the latest observation is. A member never gets
//! its own observations back, and they are dropped with its lease when it falls silent.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Process;

/// Observations in one lease request, as many as fit into a datagram; the oldest beyond it are not sent.
pub const MAX_OBSERVATIONS: usize = 32;
/// Reports in one answer, as many as fit into a datagram; those of the fewest reporters beyond it are not sent.
pub const MAX_REPORTS: usize = 24;
/// Observations that the leader holds over all members; further ones are not taken.
const MAX_TABLE_OBSERVATIONS: usize = 16_384;
/// Unit of an encoded age; up to 255 units are sent, and an older observation is sent as that old.
const AGE_STEP: Duration = Duration::from_millis(100);

/// A model server, by the number that all dispatchers give it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerNumber(pub u32);

/// A condition that can be observed of a model server. Encoded as the variant's position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerCondition {
    /// Its last attempts failed, or it cannot be reached.
    Failing,
    /// It was started recently.
    #[serde(rename = "Cold")]
    WarmingUp,
    /// The member's endpoint list has it draining, or the server said so itself.
    Draining,
}

impl ServerCondition {
    const ALL: [ServerCondition; 3] = [
        ServerCondition::Failing,
        ServerCondition::WarmingUp,
        ServerCondition::Draining,
    ];

    fn byte(self) -> u8 {
        self as u8
    }

    fn from_byte(byte: u8) -> Option<ServerCondition> {
        ServerCondition::ALL
            .into_iter()
            .find(|condition| condition.byte() == byte)
    }
}

/// What an observation is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObservationKey {
    /// The server that was observed.
    pub server: ServerNumber,
    /// What was observed of it.
    pub condition: ServerCondition,
}

/// One member's own observation, with its age when it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The server that was observed.
    pub server: ServerNumber,
    /// What was observed of it.
    pub condition: ServerCondition,
    /// Time since the observation.
    pub age: Duration,
}

/// What other members have observed of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReport {
    /// The server that was observed.
    #[serde(rename = "host")]
    pub server: ServerNumber,
    /// What was observed of it.
    #[serde(rename = "what")]
    pub condition: ServerCondition,
    /// How many members observed it, up to 255.
    #[serde(rename = "voices")]
    pub reporters: u8,
    /// Age of the latest observation.
    pub age: Duration,
}

fn age_steps(age: Duration) -> u8 {
    u8::try_from(age.as_millis() / AGE_STEP.as_millis()).unwrap_or(u8::MAX)
}

impl Observation {
    pub(crate) fn encode(&self, out: &mut Vec<u8>) {
        out.extend(self.server.0.to_le_bytes());
        out.extend([self.condition.byte(), age_steps(self.age)]);
    }

    pub(crate) fn decode(bytes: &[u8; 6]) -> Option<Observation> {
        let [a, b, c, d, condition, age] = *bytes;
        Some(Observation {
            server: ServerNumber(u32::from_le_bytes([a, b, c, d])),
            condition: ServerCondition::from_byte(condition)?,
            age: AGE_STEP * u32::from(age),
        })
    }
}

impl PeerReport {
    pub(crate) fn encode(&self, out: &mut Vec<u8>) {
        out.extend(self.server.0.to_le_bytes());
        out.extend([self.condition.byte(), self.reporters, age_steps(self.age)]);
    }

    pub(crate) fn decode(bytes: &[u8; 7]) -> Option<PeerReport> {
        let [a, b, c, d, condition, reporters, age] = *bytes;
        Some(PeerReport {
            server: ServerNumber(u32::from_le_bytes([a, b, c, d])),
            condition: ServerCondition::from_byte(condition)?,
            reporters,
            age: AGE_STEP * u32::from(age),
        })
    }
}

/// The latest observations, as many as one lease request holds.
pub(crate) fn latest(mut observations: Vec<Observation>) -> Vec<Observation> {
    observations.sort_by_key(|one| (one.age, one.server, one.condition));
    observations.truncate(MAX_OBSERVATIONS);
    observations
}

/// The answer to one member: what the others have observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReportsForMember {
    /// How many other members the leader has observations of, or an empty list of them.
    pub members: u16,
    /// Reports of the most reporters first, at most [`MAX_REPORTS`].
    pub reports: Vec<PeerReport>,
}

#[derive(Default)]
struct Tally {
    reporters: u8,
    latest: Duration,
}

/// The leader's table: each member's observations as it sent them last, dated by the leader's clock. An observation looks
/// younger there than it is, by the time that its message took.
#[derive(Default)]
pub(crate) struct PeerReports {
    by_member: BTreeMap<Process, BTreeMap<ObservationKey, Duration>>,
    observations: usize,
}

impl PeerReports {
    /// Replaces a member's observations by its latest ones.
    pub(crate) fn replace(&mut self, now: Duration, by: Process, observations: &[Observation]) {
        self.remove(by);
        let capacity = MAX_TABLE_OBSERVATIONS.saturating_sub(self.observations);
        let dated = observations.iter().take(capacity).map(|one| {
            let key = ObservationKey {
                server: one.server,
                condition: one.condition,
            };
            (key, now.saturating_sub(one.age))
        });
        let dated: BTreeMap<ObservationKey, Duration> = dated.collect();
        self.observations += dated.len();
        self.by_member.insert(by, dated);
    }

    pub(crate) fn remove(&mut self, member: Process) {
        let removed = self.by_member.remove(&member);
        self.observations -= removed.map_or(0, |dated| dated.len());
    }

    pub(crate) fn retain(&mut self, keeps: impl Fn(&Process) -> bool) {
        let removed: Vec<Process> = self
            .by_member
            .keys()
            .filter(|member| !keeps(member))
            .copied()
            .collect();
        removed.into_iter().for_each(|member| self.remove(member));
    }

    /// What members under other names than this one's have observed.
    pub(crate) fn for_member(&self, now: Duration, member: Process) -> ReportsForMember {
        let mut members = 0u16;
        let mut tallies: BTreeMap<ObservationKey, Tally> = BTreeMap::new();
        for (by, dated) in &self.by_member {
            if by.name == member.name {
                continue;
            }
            members = members.saturating_add(1);
            for (key, at) in dated {
                let tally = tallies.entry(*key).or_default();
                tally.reporters = tally.reporters.saturating_add(1);
                tally.latest = tally.latest.max(*at);
            }
        }
        let mut reports: Vec<PeerReport> = tallies
            .into_iter()
            .map(|(key, tally)| PeerReport {
                server: key.server,
                condition: key.condition,
                reporters: tally.reporters,
                age: now.saturating_sub(tally.latest),
            })
            .collect();
        reports.sort_by_key(|report| (Reverse(report.reporters), report.age));
        reports.truncate(MAX_REPORTS);
        ReportsForMember { members, reports }
    }
}

#[cfg(test)]
mod tests;
