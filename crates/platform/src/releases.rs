//! Releases of KV cache state: each is sent to a growing number of model servers until one has confirmed it.
//!
//! Any server accepts a release, whichever server holds the state. A server can become unreachable without an error, so
//! an unanswered call is soon hedged with one more call, then two, four and so on, starting with the servers most
//! likely to respond. Once the round has called enough servers, the next round starts with longer timeouts.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{ServerId, ServerStatus};

use crate::discovery::{Endpoint, Endpoints};
use crate::pool::{ConnectionPool, PoolActivity};

/// Most servers that are called in one round.
const MAX_CALLS_PER_ROUND: usize = 32;
/// Most calls in one hedge; hedges double in size up to this.
const MAX_CALLS_PER_HEDGE: usize = 16;
/// Response timeout of a call in the first round, seconds; it doubles with each round.
const RESPONSE_TIMEOUT_SECS: f64 = 0.15;
/// Longest response timeout of a release call, seconds.
const MAX_RESPONSE_TIMEOUT_SECS: f64 = 1.2;
/// Pause before the second round, seconds; it doubles before each further round.
const ROUND_PAUSE_SECS: f64 = 0.25;
/// Longest pause between two rounds of release calls, seconds.
const MAX_ROUND_PAUSE_SECS: f64 = 2.0;
/// Largest exponent used when a time or a hedge size is doubled.
const MAX_DOUBLINGS: u32 = 8;
/// Time after which an unconfirmed release is given up, seconds.
const RELEASE_TIMEOUT_SECS: f64 = 60.0;
/// Most releases that are open at once; beyond this the oldest is given up.
const MAX_OPEN_RELEASES: usize = 1024;
/// Time for which a server that failed a call is ranked after the others, seconds.
const AVOID_AFTER_FAILURE_SECS: f64 = 2.0;
/// Time that the platform allows for a release in addition to the limit in the settings, seconds. A release confirmed
/// later is logged.
const LATE_AFTER_SECS: f64 = 0.3;

/// Returns `first_s` doubled `times` times, but at most `max_s`.
fn doubled(first_s: f64, times: u32, max_s: f64) -> f64 {
    (first_s * f64::from(1u32 << times.min(MAX_DOUBLINGS))).min(max_s)
}

/// Release of the KV cache state that is held for one request.
#[derive(Debug)]
pub struct Release {
    request: String,
    started_at: Micros,
    /// Time from which a confirmation counts; calls that started earlier do not prove that the state was released.
    valid_from: Micros,
    /// Set after a confirmed call that started before `valid_from`: the next call waits until then.
    waits_until_valid: bool,
    round: Round,
    /// Calls made in all rounds.
    calls: u32,
}

/// One round of calls, each to a different server.
#[derive(Debug, Default)]
struct Round {
    /// Number of completed rounds.
    number: u32,
    /// Hedges made in this round; each has twice as many calls as the one before, up to `MAX_CALLS_PER_HEDGE`.
    hedges: u32,
    called: BTreeSet<ServerId>,
}

impl Round {
    /// Starts the round again: every server may be called once more.
    fn restart(&mut self) {
        self.hedges = 0;
        self.called.clear();
    }

    /// Returns the number of calls of the next hedge.
    fn next_hedge_size(&mut self) -> usize {
        let calls = 1usize << self.hedges.min(MAX_DOUBLINGS);
        self.hedges += 1;
        calls.min(MAX_CALLS_PER_HEDGE)
    }

    /// Moves on to the next round and returns the pause before it, seconds.
    fn advance(&mut self) -> f64 {
        let pause_s = doubled(ROUND_PAUSE_SECS, self.number, MAX_ROUND_PAUSE_SECS);
        self.number += 1;
        self.restart();
        pause_s
    }

    /// Response timeout of a call in this round, seconds.
    fn response_timeout_s(&self) -> f64 {
        doubled(
            RESPONSE_TIMEOUT_SECS,
            self.number,
            MAX_RESPONSE_TIMEOUT_SECS,
        )
    }
}

/// A release call to be made: the server and the request bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseCall {
    /// Model server to call.
    pub server: ServerId,
    /// Socket address of the server.
    pub address: SocketAddr,
    /// Bytes of the HTTP request.
    pub bytes: Vec<u8>,
}

/// Result of [`Releases::start`].
#[derive(Debug)]
pub struct StartedRelease {
    /// Id of the new release.
    pub id: u64,
    /// The oldest release, given up because the table was full.
    pub dropped: Option<Release>,
}

impl Release {
    fn new(now: Micros, valid_from: Micros, request: String) -> Release {
        Release {
            request,
            started_at: now,
            valid_from,
            waits_until_valid: false,
            round: Round::default(),
            calls: 0,
        }
    }

    /// Log line for a confirmed release that took longer than `LATE_AFTER_SECS`; `None` if it was in time.
    pub(crate) fn late_log_line(&self, now: Micros, server: ServerId) -> Option<String> {
        let (took_s, calls) = (now.since(self.started_at), self.calls);
        let line = || {
            format!(
                "state of {} released late: {took_s:.3} s, {calls} calls, by {server}",
                self.request
            )
        };
        (took_s > LATE_AFTER_SECS).then(line)
    }

    /// Log line for a release that no server has confirmed.
    pub(crate) fn unconfirmed_log_line(&self, now: Micros, reason: &str) -> String {
        let (took_s, calls) = (now.since(self.started_at), self.calls);
        format!(
            "state of {} may still be held: {reason} after {took_s:.3} s and {calls} calls",
            self.request
        )
    }
}

/// Order in which servers are called, comparing the fields from first to last: an idle connection carries the call
/// without a connect, and a server that has responded recently is most likely to respond again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CallRank {
    is_unresponsive: bool,
    idle_since: Reverse<Option<Micros>>,
    last_received: Reverse<Option<Micros>>,
    is_not_ready: bool,
    server: ServerId,
    to: SocketAddr,
}

/// All open releases.
#[derive(Debug, Default)]
pub struct Releases {
    open: BTreeMap<u64, Release>,
    /// Releases whose next call is waiting for a free connection.
    deferred: BTreeSet<u64>,
    /// Servers that failed a call, with the time of the last failure.
    failed: BTreeMap<ServerId, Micros>,
    last_id: u64,
}

impl Releases {
    /// Whether no release is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Number of open releases.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Starts a release that only calls made from `valid_from` on can confirm. If the table is full, the oldest release
    /// is given up and returned with the new id.
    pub fn start(&mut self, now: Micros, valid_from: Micros, request: String) -> StartedRelease {
        let dropped = if self.open.len() >= MAX_OPEN_RELEASES {
            self.open.pop_first()
        } else {
            None
        };
        self.last_id += 1;
        self.open
            .insert(self.last_id, Release::new(now, valid_from, request));
        StartedRelease {
            id: self.last_id,
            dropped: dropped.map(|(_, release)| release),
        }
    }

    pub(crate) fn finish(&mut self, id: u64) -> Option<Release> {
        self.deferred.remove(&id);
        self.open.remove(&id)
    }

    /// Records that a call could not be sent: the server counts as not called, and the release waits for a free
    /// connection.
    pub(crate) fn defer(&mut self, id: u64, server: ServerId) {
        if let Some(release) = self.open.get_mut(&id) {
            release.round.called.remove(&server);
            release.calls -= 1;
            self.deferred.insert(id);
        }
    }

    /// Response timeout of a call of this release, seconds.
    pub fn response_timeout_s(&self, id: u64) -> f64 {
        let first = Round::default();
        let round = self.open.get(&id).map_or(&first, |release| &release.round);
        round.response_timeout_s()
    }

    /// Chooses the next server to call. Returns `None` once the round has called enough servers or none is left.
    pub fn next_call(
        &mut self,
        id: u64,
        now: Micros,
        endpoints: &Endpoints,
        pool: &ConnectionPool,
    ) -> Option<ReleaseCall> {
        let release = self.open.get(&id)?;
        if release.round.called.len() >= MAX_CALLS_PER_ROUND {
            return None;
        }
        let ages = pool.activity(now);
        let uncalled = endpoints
            .iter()
            .filter(|(server, _)| !release.round.called.contains(server));
        let best = uncalled
            .map(|(server, endpoint)| self.rank(now, server, endpoint, &ages))
            .min()?;
        let release = self.open.get_mut(&id)?;
        release.round.called.insert(best.server);
        release.calls += 1;
        let call = format!(
            "DELETE /bootstrap/rooms/{} HTTP/1.1\r\nHost: origin.svc\r\n\r\n",
            release.request
        );
        Some(ReleaseCall {
            server: best.server,
            address: best.to,
            bytes: call.into_bytes(),
        })
    }

    fn rank(
        &self,
        now: Micros,
        server: ServerId,
        endpoint: &Endpoint,
        ages: &PoolActivity,
    ) -> CallRank {
        let failed_at = self.failed.get(&server);
        let failed = failed_at.is_some_and(|at| now.since(*at) < AVOID_AFTER_FAILURE_SECS);
        CallRank {
            is_unresponsive: ages.is_unresponsive(now, server) || failed,
            idle_since: Reverse(ages.idle_since(server, endpoint.address)),
            last_received: Reverse(ages.last_received(server)),
            is_not_ready: endpoint.status != ServerStatus::Ready,
            server,
            to: endpoint.address,
        }
    }

    /// Removes and returns the oldest release that is waiting for a free connection.
    pub(crate) fn next_deferred(&mut self) -> Option<u64> {
        self.deferred.pop_first()
    }

    pub(crate) fn is_deferred(&self, id: u64) -> bool {
        self.deferred.contains(&id)
    }

    pub(crate) fn is_open(&self, id: u64) -> bool {
        self.open.contains_key(&id)
    }

    /// Clears the recorded failure of a server that has confirmed a call.
    pub(crate) fn forget_failure(&mut self, server: ServerId) {
        self.failed.remove(&server);
    }

    pub(crate) fn record_failure(&mut self, now: Micros, server: ServerId) {
        self.failed
            .retain(|_, at| now.since(*at) < AVOID_AFTER_FAILURE_SECS);
        self.failed.insert(server, now);
    }

    /// Returns true if a confirmed call started before `valid_from` and so proves nothing; the release is then called
    /// again from that time on.
    pub(crate) fn retry_if_too_early(&mut self, id: u64, started_at: Micros) -> bool {
        let Some(release) = self
            .open
            .get_mut(&id)
            .filter(|release| started_at < release.valid_from)
        else {
            return false;
        };
        release.waits_until_valid = true;
        release.round.restart();
        true
    }

    /// Returns the time of the next call if a release has to wait for `valid_from`, or `None` if it may be called now.
    pub(crate) fn delayed_until(&mut self, id: u64, now: Micros) -> Option<Micros> {
        let release = self
            .open
            .get_mut(&id)
            .filter(|release| release.waits_until_valid)?;
        if now < release.valid_from {
            return Some(release.valid_from);
        }
        release.waits_until_valid = false;
        None
    }

    /// Returns the number of calls in the next hedge, which doubles each time; 0 if the release is closed.
    pub(crate) fn next_hedge_size(&mut self, id: u64) -> usize {
        let release = self.open.get_mut(&id);
        release.map_or(0, |release| release.round.next_hedge_size())
    }

    /// Ends a round in which all servers were called and returns the pause before the next one, seconds. Returns `None`
    /// if the release has timed out or is closed.
    pub(crate) fn next_round(&mut self, id: u64, now: Micros) -> Option<f64> {
        let release = self
            .open
            .get_mut(&id)
            .filter(|release| now.since(release.started_at) < RELEASE_TIMEOUT_SECS)?;
        Some(release.round.advance())
    }
}
