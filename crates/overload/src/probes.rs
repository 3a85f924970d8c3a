//! Health checks that the dispatchers share. All dispatchers agree on which of them sends the health checks of a server, so that the
//! number of health checks a server receives doesn't grow with the number of dispatchers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlatch_membership::NameKey;

use crate::order::mix;
use crate::{Millionths, OverloadError};

/// Interval between two health checks of a server by the whole cluster. A report that is younger is reused instead.
pub const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long a dispatcher waits for a report that it requested.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// Number of servers that are tracked; requests for others get no reply.
const MAX_SERVERS: usize = 4096;
/// Number of dispatchers that can wait for the report of one server; further ones get no reply.
const MAX_WAITING: usize = 320;
/// Number of values in a server's report; further ones are omitted when the report is sent.
const MAX_REPORT_VALUES: usize = 16;

/// The messages that dispatchers send each other about servers. The first byte is the type; types are distinct from the version numbers
/// of load reports, which share the channel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HealthCheckMessage {
    /// Requests a server's report.
    Request(u32),
    /// The sender saw this server fail.
    Failed(u32),
    /// The sender saw this server recover after a failure.
    Recovered(u32),
    /// A server's report, and its age.
    Report {
        server: u32,
        age_ms: u16,
        report: Vec<Millionths>,
    },
}

const REQUEST: u8 = 2;
const REPORT: u8 = 3;
const FAILED: u8 = 4;
const RECOVERED: u8 = 5;

impl HealthCheckMessage {
    pub fn write(&self) -> Vec<u8> {
        match self {
            HealthCheckMessage::Request(server) => [&[REQUEST], &server.to_le_bytes()[..]].concat(),
            HealthCheckMessage::Failed(server) => [&[FAILED], &server.to_le_bytes()[..]].concat(),
            HealthCheckMessage::Recovered(server) => {
                [&[RECOVERED], &server.to_le_bytes()[..]].concat()
            }
            HealthCheckMessage::Report {
                server,
                age_ms,
                report,
            } => {
                let mut bytes =
                    [&[REPORT], &server.to_le_bytes()[..], &age_ms.to_le_bytes()].concat();
                report
                    .iter()
                    .take(MAX_REPORT_VALUES)
                    .for_each(|v| bytes.extend(v.raw().to_le_bytes()));
                bytes
            }
        }
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// If the type is unknown or the length does not fit it.
    pub fn read(bytes: &[u8]) -> Result<HealthCheckMessage, OverloadError> {
        let server = |bytes: &[u8]| {
            bytes
                .get(1..5)
                .and_then(|b| b.try_into().ok())
                .map(u32::from_le_bytes)
        };
        let server = server(bytes).ok_or(OverloadError::Malformed)?;
        match (bytes[0], &bytes[5..]) {
            (REQUEST, []) => Ok(HealthCheckMessage::Request(server)),
            (FAILED, []) => Ok(HealthCheckMessage::Failed(server)),
            (RECOVERED, []) => Ok(HealthCheckMessage::Recovered(server)),
            (REPORT, [a, b, rest @ ..])
                if rest.len() % 8 == 0 && rest.len() <= 8 * MAX_REPORT_VALUES =>
            {
                let value = |b: &[u8]| {
                    let mut raw = [0; 8];
                    raw.copy_from_slice(b);
                    Millionths::from_raw(u64::from_le_bytes(raw))
                };
                let report = rest.chunks_exact(8).map(value).collect();
                Ok(HealthCheckMessage::Report {
                    server,
                    age_ms: u16::from_le_bytes([*a, *b]),
                    report,
                })
            }
            (REQUEST | REPORT | FAILED | RECOVERED, _) => Err(OverloadError::Malformed),
            _ => Err(OverloadError::UnsupportedVersion),
        }
    }
}

/// The dispatcher of `members` that is responsible for a server, by rendezvous hashing (Thaler and Ravishankar 1998). That dispatcher sends
/// the server's health checks, or makes the recovery trial after the server failed. All dispatchers with the same `members` agree on it.
pub fn responsible_member(server: u32, members: impl Iterator<Item = NameKey>) -> Option<NameKey> {
    members.max_by_key(|m| (mix(u64::from(server) << 32 | u64::from(m.0)), *m))
}

/// The health checks of one server.
#[derive(Debug, Default)]
struct ServerState {
    /// When this dispatcher last sent a health check.
    sent_at: Option<Duration>,
    /// The server's latest report, and when the server sent it by this process's clock.
    report: Option<(Duration, Vec<Millionths>)>,
    /// Other dispatchers that wait for the next report.
    waiting: BTreeSet<NameKey>,
    /// When this dispatcher's core last requested a report that it has not received yet.
    requested_at: Option<Duration>,
}

/// What the caller of [`HealthChecks`] has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a health check to this server.
    SendHealthCheck(u32),
    /// Pass a server's report to this dispatcher's core.
    DeliverReport {
        server: u32,
        age: Duration,
        report: Vec<Millionths>,
    },
    /// Send a message to another dispatcher.
    SendMessage(NameKey, HealthCheckMessage),
}

/// The requested, sent and answered health checks of all servers.
#[derive(Debug)]
pub struct HealthChecks {
    own: NameKey,
    servers: BTreeMap<u32, ServerState>,
}

impl HealthChecks {
    pub fn new(own: NameKey) -> HealthChecks {
        HealthChecks {
            own,
            servers: BTreeMap::new(),
        }
    }

    /// The state of a server, created if there is none; `None` if too many servers are tracked.
    fn entry(&mut self, server: u32) -> Option<&mut ServerState> {
        let fits = self.servers.len() < MAX_SERVERS || self.servers.contains_key(&server);
        fits.then(|| self.servers.entry(server).or_default())
    }

    /// The server's latest report and its age, if the report is younger than [`HEALTH_CHECK_INTERVAL`] and so may be reused.
    fn recent_report(state: &ServerState, now: Duration) -> Option<(Duration, Vec<Millionths>)> {
        let (at, report) = state.report.as_ref()?;
        let age = now.saturating_sub(*at);
        (age < HEALTH_CHECK_INTERVAL).then(|| (age, report.clone()))
    }

    /// This dispatcher's core requests a server's report. `others` are the other reachable dispatchers; if they are not known, this
    /// dispatcher sends the health checks itself, at [`HEALTH_CHECK_INTERVAL`] times `roster`, the number of dispatchers in the cluster. If
    /// all dispatchers do so, the server still gets no more than one health check per [`HEALTH_CHECK_INTERVAL`] on average.
    pub fn request(
        &mut self,
        now: Duration,
        server: u32,
        others: Option<&[NameKey]>,
        roster: usize,
        out: &mut Vec<Action>,
    ) {
        let own = self.own;
        let Some(state) = self.entry(server) else {
            return;
        };
        if let Some((age, report)) = Self::recent_report(state, now) {
            return out.push(Action::DeliverReport {
                server,
                age,
                report,
            });
        }
        state.requested_at = Some(now);
        let interval = others.map_or(HEALTH_CHECK_INTERVAL * roster.max(1) as u32, |_| {
            HEALTH_CHECK_INTERVAL
        });
        let sender = responsible_member(
            server,
            others.unwrap_or_default().iter().copied().chain([own]),
        );
        match sender.filter(|sender| *sender != own) {
            Some(sender) => out.push(Action::SendMessage(
                sender,
                HealthCheckMessage::Request(server),
            )),
            None => self.send_if_due(now, server, interval, out),
        }
    }

    /// Sends a health check unless one was sent within the interval.
    fn send_if_due(
        &mut self,
        now: Duration,
        server: u32,
        interval: Duration,
        out: &mut Vec<Action>,
    ) {
        let Some(state) = self.entry(server) else {
            return;
        };
        if state
            .sent_at
            .is_none_or(|at| now.saturating_sub(at) >= interval)
        {
            state.sent_at = Some(now);
            out.push(Action::SendHealthCheck(server));
        }
    }

    /// Handles a message from another dispatcher. A request is served even if this dispatcher is not the sender of the server's health
    /// checks by its own view of the cluster: the other one's view may differ.
    pub fn receive(
        &mut self,
        now: Duration,
        from: NameKey,
        message: HealthCheckMessage,
        out: &mut Vec<Action>,
    ) {
        match message {
            HealthCheckMessage::Request(server) => {
                let Some(state) = self.entry(server) else {
                    return;
                };
                if let Some((age, report)) = Self::recent_report(state, now) {
                    let age_ms = age.as_millis() as u16;
                    return out.push(Action::SendMessage(
                        from,
                        HealthCheckMessage::Report {
                            server,
                            age_ms,
                            report,
                        },
                    ));
                }
                if state.waiting.len() < MAX_WAITING {
                    state.waiting.insert(from);
                }
                self.send_if_due(now, server, HEALTH_CHECK_INTERVAL, out);
            }
            HealthCheckMessage::Failed(_) | HealthCheckMessage::Recovered(_) => {}
            HealthCheckMessage::Report {
                server,
                age_ms,
                report,
            } => {
                let age = Duration::from_millis(u64::from(age_ms));
                let Some(state) = self.entry(server) else {
                    return;
                };
                // The age doesn't include the time in transit, so the report is treated as slightly newer than it is.
                state.report = Some((now.saturating_sub(age), report.clone()));
                Self::deliver(state, now, server, age, report, out);
            }
        }
    }

    /// Passes a report to this dispatcher's core, if it requested one and still waits for it.
    fn deliver(
        state: &mut ServerState,
        now: Duration,
        server: u32,
        age: Duration,
        report: Vec<Millionths>,
        out: &mut Vec<Action>,
    ) {
        if state
            .requested_at
            .take()
            .is_some_and(|at| now.saturating_sub(at) < REQUEST_TIMEOUT)
        {
            out.push(Action::DeliverReport {
                server,
                age,
                report,
            });
        }
    }

    /// A server answered a health check of this dispatcher.
    pub fn answered(
        &mut self,
        now: Duration,
        server: u32,
        report: Vec<Millionths>,
        out: &mut Vec<Action>,
    ) {
        let Some(state) = self.entry(server) else {
            return;
        };
        state.report = Some((now, report.clone()));
        for to in std::mem::take(&mut state.waiting) {
            out.push(Action::SendMessage(
                to,
                HealthCheckMessage::Report {
                    server,
                    age_ms: 0,
                    report: report.clone(),
                },
            ));
        }
        Self::deliver(state, now, server, Duration::ZERO, report, out);
    }

    /// Removes servers without a recent request, health check or report.
    pub fn remove_expired(&mut self, now: Duration) {
        let recent = |at: Option<Duration>| {
            at.is_some_and(|at| now.saturating_sub(at) < 8 * REQUEST_TIMEOUT)
        };
        self.servers.retain(|_, s| {
            recent(s.sent_at) || recent(s.requested_at) || recent(s.report.as_ref().map(|r| r.0))
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// Simulates `of` dispatchers that each request one server's report every 50 ms, for 10 s. Returns the health checks sent to the server
    /// and the reports delivered to dispatchers, per second.
    fn simulate(of: u32, reachable: bool) -> (f64, f64) {
        let all: Vec<NameKey> = (0..of).map(NameKey).collect();
        let mut members: Vec<HealthChecks> = all.iter().map(|n| HealthChecks::new(*n)).collect();
        let (mut health_checks, mut delivered) = (0, 0);
        for step in 0..200u64 {
            let now = Duration::from_millis(100_000 + 50 * step);
            let mut actions: Vec<(usize, Action)> = Vec::new();
            for (i, member) in members.iter_mut().enumerate() {
                let others: Vec<NameKey> = all.iter().filter(|n| **n != all[i]).copied().collect();
                let mut out = Vec::new();
                member.request(
                    now,
                    7,
                    reachable.then_some(&others[..]),
                    of as usize,
                    &mut out,
                );
                actions.extend(out.into_iter().map(|a| (i, a)));
            }
            while let Some((i, action)) = actions.pop() {
                let mut out = Vec::new();
                let at = match action {
                    Action::DeliverReport { .. } => {
                        delivered += 1;
                        continue;
                    }
                    Action::SendHealthCheck(server) => {
                        health_checks += 1;
                        members[i].answered(now, server, vec![Millionths::of(2.0)], &mut out);
                        i
                    }
                    Action::SendMessage(to, message) => {
                        let read = HealthCheckMessage::read(&message.write())
                            .expect("a message of this version");
                        members[to.0 as usize].receive(now, all[i], read, &mut out);
                        to.0 as usize
                    }
                };
                actions.extend(out.into_iter().map(|a| (at, a)));
            }
            members.iter_mut().for_each(|m| m.remove_expired(now));
        }
        (f64::from(health_checks) / 10.0, f64::from(delivered) / 10.0)
    }

    #[test]
    fn health_check_rate_is_independent_of_the_number_of_dispatchers_and_all_receive_reports() {
        let (three, twelve) = (simulate(3, true), simulate(12, true));
        assert!(
            (three.0 - 4.0).abs() < 0.2 && (twelve.0 - three.0).abs() < 0.2,
            "{three:?} {twelve:?}"
        );
        assert!(
            three.1 > 0.95 * 60.0 && twelve.1 > 0.95 * 240.0,
            "{three:?} {twelve:?}"
        );
        assert!(
            simulate(12, false).0 <= 5.0,
            "dispatchers without contact send no more together: {:?}",
            simulate(12, false)
        );
    }

    #[test]
    fn only_the_servers_of_a_removed_dispatcher_change_their_sender() {
        let all: Vec<NameKey> = (0..9).map(NameKey).collect();
        let sender_of = |server, without| {
            responsible_member(server, all.iter().copied().filter(|n| Some(*n) != without))
                .expect("a member")
        };
        for server in 0..500 {
            let (before, after) = (sender_of(server, None), sender_of(server, Some(NameKey(4))));
            assert!(before == after || before == NameKey(4));
        }
    }

    proptest! {
        #[test]
        fn arbitrary_bytes_are_rejected_or_round_trip(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            if let Ok(message) = HealthCheckMessage::read(&bytes) {
                prop_assert_eq!(message.write(), bytes);
            }
        }
    }
}
