//! What members have seen of servers, gathered by the leader and told to the others: evidence with age and source.
//!
//! Each member tells the leader what it sees with every question for a part, and is told with the answer what others
//! see: of how many it comes, how many told anything, and how old the latest of it is. Nobody is told his own word again,
//! and nobody's word lives on without him: a member that fell silent is forgotten with its part.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Process;

/// Sights in one question, and in one answer, as many as fit into a datagram; past it the oldest stay untold.
pub const MAX_OBSERVATIONS: usize = 32;
pub const MAX_REPORTS: usize = 24;
/// Sights that the leader holds over all members; past it those that come are not taken.
const MAX_TABLE_OBSERVATIONS: usize = 16_384;
/// Ages are told in steps of this, up to 255 of them; an older observation is told as so old.
const AGE_STEP: Duration = Duration::from_millis(100);

/// A server, by the number that all dispatchers give it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerNumber(pub u32);

/// What can be seen of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerCondition {
    /// Its last attempts failed, or it cannot be reached.
    Failing,
    /// It was started lately.
    #[serde(rename = "Cold")]
    WarmingUp,
    /// The member's list has it draining, or it said so itself.
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

    fn of(byte: u8) -> Option<ServerCondition> {
        ServerCondition::ALL.into_iter().find(|t| t.byte() == byte)
    }
}

/// One member's own observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    pub server: ServerNumber,
    pub condition: ServerCondition,
    pub age: Duration,
}

/// What others have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReport {
    #[serde(rename = "host")]
    pub server: ServerNumber,
    #[serde(rename = "what")]
    pub condition: ServerCondition,
    /// How many saw it, up to 255.
    #[serde(rename = "voices")]
    pub reporters: u8,
    /// Age of the latest observation.
    pub age: Duration,
}

fn steps(age: Duration) -> u8 {
    u8::try_from(age.as_millis() / AGE_STEP.as_millis()).unwrap_or(u8::MAX)
}

impl Observation {
    pub(crate) fn write(&self, out: &mut Vec<u8>) {
        out.extend(self.server.0.to_le_bytes());
        out.extend([self.condition.byte(), steps(self.age)]);
    }

    pub(crate) fn read(bytes: &[u8; 6]) -> Option<Observation> {
        let [a, b, c, d, condition, age] = *bytes;
        let server = ServerNumber(u32::from_le_bytes([a, b, c, d]));
        Some(Observation {
            server,
            condition: ServerCondition::of(condition)?,
            age: AGE_STEP * u32::from(age),
        })
    }
}

impl PeerReport {
    pub(crate) fn write(&self, out: &mut Vec<u8>) {
        out.extend(self.server.0.to_le_bytes());
        out.extend([self.condition.byte(), self.reporters, steps(self.age)]);
    }

    pub(crate) fn read(bytes: &[u8; 7]) -> Option<PeerReport> {
        let [a, b, c, d, condition, reporters, age] = *bytes;
        let server = ServerNumber(u32::from_le_bytes([a, b, c, d]));
        Some(PeerReport {
            server,
            condition: ServerCondition::of(condition)?,
            reporters,
            age: AGE_STEP * u32::from(age),
        })
    }
}

/// The latest observations of one's own, as many as one question holds.
pub(crate) fn latest(mut observations: Vec<Observation>) -> Vec<Observation> {
    observations.sort_by_key(|s| (s.age, s.server, s.condition));
    observations.truncate(MAX_OBSERVATIONS);
    observations
}

/// The leader's table: each member's observations as it told them last, dated by the leader's clock. An observation is younger there
/// than it is, by the way that it came.
#[derive(Default)]
pub(crate) struct PeerReports {
    by: BTreeMap<Process, BTreeMap<(ServerNumber, ServerCondition), Duration>>,
    held: usize,
}

impl PeerReports {
    /// Takes all that a member sees now in place of what it saw before.
    pub(crate) fn told(&mut self, now: Duration, by: Process, observations: &[Observation]) {
        self.forget(by);
        let room = MAX_TABLE_OBSERVATIONS.saturating_sub(self.held);
        let seen = observations
            .iter()
            .take(room)
            .map(|s| ((s.server, s.condition), now.saturating_sub(s.age)));
        let seen: BTreeMap<_, _> = seen.collect();
        self.held += seen.len();
        self.by.insert(by, seen);
    }

    pub(crate) fn forget(&mut self, who: Process) {
        self.held -= self.by.remove(&who).map_or(0, |seen| seen.len());
    }

    pub(crate) fn keep(&mut self, there: impl Fn(&Process) -> bool) {
        let gone: Vec<Process> = self.by.keys().filter(|p| !there(p)).copied().collect();
        gone.into_iter().for_each(|p| self.forget(p));
    }

    /// What others than this member have seen, that of the most reporters first; and how many others there are.
    pub(crate) fn for_member(&self, now: Duration, who: Process) -> (u16, Vec<PeerReport>) {
        let others = self.by.iter().filter(|(by, _)| by.name != who.name);
        let mut of = 0u16;
        let mut said: BTreeMap<(ServerNumber, ServerCondition), (u8, Duration)> = BTreeMap::new();
        for (_, seen) in others {
            of = of.saturating_add(1);
            for (key, at) in seen {
                let (reporters, latest) = said.entry(*key).or_default();
                (*reporters, *latest) = (reporters.saturating_add(1), (*latest).max(*at));
            }
        }
        let report = said
            .into_iter()
            .map(|((server, condition), (reporters, at))| {
                let age = now.saturating_sub(at);
                PeerReport {
                    server,
                    condition,
                    reporters,
                    age,
                }
            });
        let mut report: Vec<PeerReport> = report.collect();
        report.sort_by_key(|h| (std::cmp::Reverse(h.reporters), h.age));
        report.truncate(MAX_REPORTS);
        (of, report)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use bitternlatch_membership::NameKey;

    const MS: Duration = Duration::from_millis(1);

    fn observation(server: u32, condition: ServerCondition, age: u32) -> Observation {
        Observation {
            server: ServerNumber(server),
            condition,
            age: MS * age,
        }
    }

    fn who(name: u32) -> Process {
        Process {
            name: NameKey(name),
            start: 1,
        }
    }

    #[test]
    fn nobody_hears_his_own_word_and_each_counts_once() {
        let mut reports = PeerReports::default();
        let failing = |age| [observation(7, ServerCondition::Failing, age)];
        reports.told(MS * 10_000, who(1), &failing(500));
        reports.told(MS * 10_100, who(1), &failing(600));
        reports.told(MS * 10_200, who(2), &failing(0));
        reports.told(MS * 10_200, who(3), &[]);
        let heard = |by: u32| reports.for_member(MS * 10_300, who(by));
        let said = |reporters, age| PeerReport {
            server: ServerNumber(7),
            condition: ServerCondition::Failing,
            reporters,
            age: MS * age,
        };
        assert_eq!(heard(1), (2, vec![said(1, 100)]));
        assert_eq!(heard(2), (2, vec![said(1, 800)]));
        assert_eq!(heard(3), (2, vec![said(2, 100)]));
        // Started again it is the same member: its earlier word is not another voice.
        let again = Process { start: 2, ..who(1) };
        assert_eq!(reports.for_member(MS * 10_300, again).1, vec![said(1, 100)]);
    }

    #[test]
    fn what_is_no_longer_seen_or_told_is_gone() {
        let mut reports = PeerReports::default();
        reports.told(
            MS * 1000,
            who(1),
            &[
                observation(7, ServerCondition::WarmingUp, 0),
                observation(8, ServerCondition::Draining, 0),
            ],
        );
        reports.told(
            MS * 1300,
            who(1),
            &[observation(8, ServerCondition::Draining, 300)],
        );
        let servers = |g: &PeerReports| {
            g.for_member(MS * 1400, who(2))
                .1
                .iter()
                .map(|h| h.server.0)
                .collect::<Vec<_>>()
        };
        assert_eq!(servers(&reports), [8]);
        reports.keep(|p| *p != who(1));
        assert!(servers(&reports).is_empty());
        assert_eq!(reports.held, 0);
    }

    #[test]
    fn tables_and_messages_have_bounds_and_the_latest_and_the_most_seen_are_kept() {
        let many = |n: u32| {
            (0..n)
                .map(|i| observation(i, ServerCondition::Failing, n - i))
                .collect::<Vec<_>>()
        };
        let told = latest(many(100));
        assert_eq!(
            (told.len(), told[0].server),
            (MAX_OBSERVATIONS, ServerNumber(99))
        );
        let mut reports = PeerReports::default();
        (0..2000).for_each(|name| reports.told(MS * 1000, who(name), &latest(many(100))));
        assert_eq!(reports.held, MAX_TABLE_OBSERVATIONS);
        reports.told(
            MS * 1000,
            who(0),
            &[observation(5, ServerCondition::WarmingUp, 0)],
        );
        assert_eq!(reports.held, MAX_TABLE_OBSERVATIONS - MAX_OBSERVATIONS + 1);
        let (of, heard) = reports.for_member(MS * 1000, who(1));
        assert_eq!(
            (of, heard.len(), heard[0].reporters),
            (1999, MAX_REPORTS, 255)
        );
    }
}
