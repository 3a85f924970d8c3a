//! Peer reports: the members' observations of model servers, collected by the leader and distributed to the other members.
//!
//! Each member sends the leader its observations with every lease request. The answer summarizes those of the other
//! members: how many members were counted, how many of them made the same observation, and the age of the latest one. A
//! member's own observations are not reported back to it. When a member stops sending requests, its observations are
//! dropped when its lease expires.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Process;

/// Maximum number of observations in a lease request, as many as fit into a datagram. The oldest ones beyond it are not
/// sent.
pub const MAX_OBSERVATIONS: usize = 32;
/// Maximum number of reports in an answer, as many as fit into a datagram. Those with the fewest reporters beyond it are not
/// sent.
pub const MAX_REPORTS: usize = 24;
/// Maximum number of observations that the leader stores for all members together. Further ones are dropped.
const MAX_TABLE_OBSERVATIONS: usize = 16_384;
/// Unit of an encoded age. An age is encoded in one byte, and an older observation is sent with an age of 255 units.
const AGE_STEP: Duration = Duration::from_millis(100);

/// Identifies a model server. All dispatchers use the same number for the same server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerNumber(pub u32);

/// A condition of a model server that a member can observe. It is encoded as the position of the variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerCondition {
    /// The server's last attempts failed, or it is unreachable.
    Failing,
    /// The server was started recently.
    #[serde(rename = "Cold")]
    WarmingUp,
    /// The server is marked as draining in the member's endpoint list, or has itself reported that it is draining.
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

/// A server and a condition that was observed of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObservationKey {
    /// The observed server.
    pub server: ServerNumber,
    /// The observed condition.
    pub condition: ServerCondition,
}

/// One member's observation of a server, with its age at the time of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The observed server.
    pub server: ServerNumber,
    /// The observed condition.
    pub condition: ServerCondition,
    /// Time since the observation.
    pub age: Duration,
}

/// A summary of the other members' observations of one condition of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReport {
    /// The observed server.
    #[serde(rename = "host")]
    pub server: ServerNumber,
    /// The observed condition.
    #[serde(rename = "what")]
    pub condition: ServerCondition,
    /// Number of members that observed the condition, at most 255.
    #[serde(rename = "voices")]
    pub reporters: u8,
    /// Age of the latest observation.
    pub age: Duration,
}

/// Encodes an age in units of [`AGE_STEP`], rounded down.
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

/// Returns the latest observations, at most [`MAX_OBSERVATIONS`].
pub(crate) fn latest_observations(mut observations: Vec<Observation>) -> Vec<Observation> {
    observations.sort_by_key(|one| (one.age, one.server, one.condition));
    observations.truncate(MAX_OBSERVATIONS);
    observations
}

/// The summary of the other members' observations for one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReportsForMember {
    /// Number of other members that have reported to the leader, even without any observation.
    pub members: u16,
    /// The reports, those with the most reporters first; at most [`MAX_REPORTS`].
    pub reports: Vec<PeerReport>,
}

/// The members that made the same observation, while a summary is computed.
#[derive(Default)]
struct Tally {
    /// Number of members, at most 255.
    reporters: u8,
    /// Time of the latest observation.
    latest: Duration,
}

/// The leader's table of the latest observations of each member, with their times by the leader's clock. An observation
/// appears younger than it is by the transmission time of its message.
#[derive(Default)]
pub(crate) struct PeerReports {
    by_member: BTreeMap<Process, BTreeMap<ObservationKey, Duration>>,
    /// Number of observations in the table.
    observations: usize,
}

impl PeerReports {
    /// Replaces the observations of a member by its latest ones.
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

    pub(crate) fn retain(&mut self, is_retained: impl Fn(&Process) -> bool) {
        let removed: Vec<Process> = self
            .by_member
            .keys()
            .filter(|member| !is_retained(member))
            .copied()
            .collect();
        removed.into_iter().for_each(|member| self.remove(member));
    }

    /// Summarizes the observations of all members with another name than `member`.
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
