//! Recovery trials: the attempts that dispatchers make at a server that failed lately, to find out whether the server works again. Of the
//! dispatchers that saw the server fail, only one at a time makes such attempts, and only up to a limit on attempts in flight that doubles
//! with each answer. The server counts as recovered once the limit reaches a fixed number.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_membership::NameKey;

use crate::probes::{responsible_member, HealthCheckMessage};

/// How long after a dispatcher reported that a server failed the report counts.
const FAILURE_LIFETIME: Duration = Duration::from_secs(6);
/// How long a limit on attempts in flight at a server is valid after it was computed.
const LIMIT_LIFETIME: Duration = Duration::from_millis(900);
/// Limit on attempts in flight from which on a server that answers counts as recovered and is no longer limited.
const RECOVERED_IN_FLIGHT: u32 = 8;
/// Minimum interval between two messages to the others about the same failed server.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of servers that are tracked as failed; servers beyond it are not limited.
const MAX_SERVERS: usize = 1024;
/// Number of dispatchers that are remembered per failed server.
const MAX_REPORTERS: usize = 1024;

/// The recovery trial of one failed server.
#[derive(Debug, Default)]
struct Trial {
    /// The dispatchers that saw the server fail, and when that was last reported.
    reporters: BTreeMap<NameKey, Duration>,
    /// When this dispatcher last sent a message about the failure.
    sent_at: Option<Duration>,
    /// Number of attempts in flight at the server that are allowed to the one dispatcher that makes the trial.
    max_in_flight: u32,
}

/// How many attempts this dispatcher may have in flight at a server, and until when that holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveryLimit {
    pub server: u32,
    pub max_in_flight: u32,
    pub until: Duration,
}

/// The recovery trials of all servers that failed lately, as this dispatcher knows them.
#[derive(Debug)]
pub struct RecoveryTrials {
    own: NameKey,
    servers: BTreeMap<u32, Trial>,
}

impl RecoveryTrials {
    pub fn new(own: NameKey) -> RecoveryTrials {
        RecoveryTrials {
            own,
            servers: BTreeMap::new(),
        }
    }

    fn record_failure(&mut self, now: Duration, server: u32, reporter: NameKey) {
        if self.servers.len() >= MAX_SERVERS && !self.servers.contains_key(&server) {
            return;
        }
        let trial = self.servers.entry(server).or_default();
        if trial.reporters.len() < MAX_REPORTERS || trial.reporters.contains_key(&reporter) {
            trial.reporters.insert(reporter, now);
        }
        trial.max_in_flight = 1;
    }

    /// Consecutive attempts of this dispatcher at the server failed. Returns the message to send to the others, if one is due.
    pub fn failed(&mut self, now: Duration, server: u32) -> Option<HealthCheckMessage> {
        self.record_failure(now, server, self.own);
        let trial = self.servers.get_mut(&server)?;
        let due = trial
            .sent_at
            .is_none_or(|at| now.saturating_sub(at) >= MESSAGE_INTERVAL);
        due.then(|| {
            trial.sent_at = Some(now);
            HealthCheckMessage::Failed(server)
        })
    }

    /// The server answered an attempt of this dispatcher. Doubles the server's limit on attempts in flight; once the server counts as
    /// recovered, returns the message to send to the other dispatchers.
    pub fn answered(&mut self, server: u32) -> Option<HealthCheckMessage> {
        let trial = self.servers.get_mut(&server)?;
        trial.max_in_flight = trial.max_in_flight.saturating_mul(2);
        if trial.max_in_flight < RECOVERED_IN_FLIGHT {
            return None;
        }
        self.servers.remove(&server);
        Some(HealthCheckMessage::Recovered(server))
    }

    /// Another dispatcher reported that a server failed, or that it recovered.
    pub fn peer_reported(&mut self, now: Duration, from: NameKey, server: u32, failed: bool) {
        match failed {
            true => self.record_failure(now, server, from),
            false => drop(self.servers.remove(&server)),
        }
    }

    /// The limits for the servers that this dispatcher itself saw fail. A failure that only others report limits nothing here, so that one
    /// dispatcher can't take a server away from the rest. `others` are the other dispatchers that are reachable, or `None` if that is
    /// unknown; this dispatcher then makes the trial itself.
    pub fn limits(&mut self, now: Duration, others: Option<&[NameKey]>) -> Vec<RecoveryLimit> {
        let own = self.own;
        self.servers.retain(|_, t| {
            t.reporters
                .retain(|_, at| now.saturating_sub(*at) < FAILURE_LIFETIME);
            !t.reporters.is_empty()
        });
        let seen_here = self
            .servers
            .iter()
            .filter(|(_, t)| t.reporters.contains_key(&own));
        let limit = |(server, t): (&u32, &Trial)| {
            let reachable = |n: &NameKey| *n == own || others.is_some_and(|o| o.contains(n));
            let assigned =
                responsible_member(*server, t.reporters.keys().copied().filter(reachable));
            RecoveryLimit {
                server: *server,
                max_in_flight: if assigned == Some(own) {
                    t.max_in_flight
                } else {
                    0
                },
                until: now + LIMIT_LIFETIME,
            }
        };
        seen_here.map(limit).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn s(n: u64) -> Duration {
        Duration::from_secs(1000 + n)
    }

    #[test]
    fn one_dispatcher_that_saw_the_failure_tries_the_server_and_more_only_after_answers() {
        let all: Vec<NameKey> = (0..6).map(NameKey).collect();
        let mut members: Vec<RecoveryTrials> =
            all.iter().map(|n| RecoveryTrials::new(*n)).collect();
        for i in 0..5 {
            let message = members[i].failed(s(0), 7);
            assert_eq!(message, Some(HealthCheckMessage::Failed(7)));
            assert_eq!(members[i].failed(s(0), 7), None, "sent once per interval");
            (0..6)
                .filter(|j| *j != i)
                .for_each(|j| members[j].peer_reported(s(0), all[i], 7, true));
        }
        let limits = |members: &mut Vec<RecoveryTrials>, at| -> Vec<u32> {
            members
                .iter_mut()
                .map(|m| {
                    m.limits(at, Some(&all))
                        .iter()
                        .map(|l| l.max_in_flight)
                        .sum()
                })
                .collect()
        };
        assert_eq!(limits(&mut members, s(1)).iter().sum::<u32>(), 1);
        assert!(
            members[5].limits(s(1), Some(&all)).is_empty(),
            "this dispatcher did not see the failure"
        );
        let assigned = limits(&mut members, s(1))
            .iter()
            .position(|m| *m == 1)
            .expect("one dispatcher");
        assert_eq!(members[assigned].answered(7), None);
        assert_eq!(limits(&mut members, s(1)).iter().sum::<u32>(), 2);
        members[assigned].failed(s(1), 7);
        assert_eq!(limits(&mut members, s(1)).iter().sum::<u32>(), 1);
        assert_eq!(
            (members[assigned].answered(7), members[assigned].answered(7)),
            (None, None)
        );
        assert_eq!(
            members[assigned].answered(7),
            Some(HealthCheckMessage::Recovered(7))
        );
        (0..6).for_each(|j| members[j].peer_reported(s(1), all[assigned], 7, false));
        assert!((0..6).all(|j| members[j].limits(s(1), Some(&all)).is_empty()));
    }

    #[test]
    fn failures_expire_and_a_dispatcher_without_peers_tries_by_itself() {
        let mut trials = RecoveryTrials::new(NameKey(1));
        trials.peer_reported(s(0), NameKey(2), 7, true);
        trials.failed(s(0), 7);
        assert_eq!(
            trials
                .limits(s(1), None)
                .iter()
                .map(|l| l.max_in_flight)
                .sum::<u32>(),
            1
        );
        assert!(trials.limits(s(7), None).is_empty());
    }
}
