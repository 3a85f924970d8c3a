//! Releases of KV cache state: each is sent to a growing number of model servers until one has confirmed it, and again
//! for as long as an abandoned attempt may still leave a state.
//!
//! Any server accepts a release, whichever server holds the state. A server can become unreachable without an error, so
//! an unanswered call is soon hedged with one more call, then two, four and so on, starting with the servers most
//! likely to respond. Once the round has called enough servers, the next round starts with longer timeouts.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{ReleaseRepeat, ServerId, ServerStatus};

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
/// Most releases that are open at once; beyond this one is given up, if possible one that has been confirmed before.
pub const MAX_OPEN_RELEASES: usize = 4096;
/// Time for which a server that failed a call is ranked after the others, seconds.
const AVOID_AFTER_FAILURE_SECS: f64 = 2.0;
/// Time that the platform allows for a release in addition to the limit in the settings, seconds. A release confirmed
/// later is logged.
const LATE_AFTER_SECS: f64 = 0.3;
/// Time from the end of a wait that a server was told until every server has ended what it did for that attempt,
/// seconds: the request may have reached the server a little after it was written.
const ATTEMPT_END_MARGIN_SECS: f64 = 0.12;

/// Returns `first_s` doubled `times` times, but at most `max_s`.
fn doubled(first_s: f64, times: u32, max_s: f64) -> f64 {
    (first_s * f64::from(1u32 << times.min(MAX_DOUBLINGS))).min(max_s)
}

/// Release of the KV cache state that is held for one request.
#[derive(Debug)]
pub struct Release {
    request: String,
    started_at: Micros,
    /// Time from which every running server has noticed the closes that came before the release.
    closes_noticed_at: Micros,
    /// Time from which a confirmation is final; after an earlier one a state may still appear or have been in use.
    valid_from: Micros,
    /// Longest time from a confirmed call to the next one before `valid_from`, seconds; `None` if there is no call
    /// between them.
    interval_s: Option<f64>,
    /// Start of the latest call that was confirmed.
    confirmed_start: Option<Micros>,
    /// When the call that is to be confirmed next was due.
    due_at: Micros,
    /// Whether `due_at` has to be waited for.
    is_waiting: bool,
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
    /// Empties the round: every server may be called once more.
    fn clear(&mut self) {
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
        self.clear();
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

/// Result of a confirmed call.
#[derive(Debug)]
pub struct Confirmation {
    /// Whether nothing can be held for the request any more; otherwise the release is called again.
    pub is_final: bool,
    /// Log line for a call that was confirmed late.
    pub late_log_line: Option<String>,
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
    /// Creates a release that is final once a call made from `closes_noticed_at` on is confirmed, and with `repeat` not
    /// before the abandoned attempts have ended.
    pub fn new(
        now: Micros,
        closes_noticed_at: Micros,
        repeat: Option<ReleaseRepeat>,
        request: String,
    ) -> Release {
        let attempts_end =
            repeat.map(|repeat| Micros::from_seconds(repeat.until).after(ATTEMPT_END_MARGIN_SECS));
        Release {
            request,
            started_at: now,
            closes_noticed_at,
            valid_from: attempts_end.map_or(closes_noticed_at, |end| end.max(closes_noticed_at)),
            interval_s: repeat.map(|repeat| repeat.interval_s),
            confirmed_start: None,
            due_at: now,
            is_waiting: false,
            round: Round::default(),
            calls: 0,
        }
    }

    /// Whether a call has been confirmed that was not final.
    fn is_repeat(&self) -> bool {
        self.confirmed_start.is_some()
    }

    /// Records a confirmed call. Returns whether the release is final; if not, the next call is due at `due_at`.
    fn confirm(&mut self, started_at: Micros) -> bool {
        if started_at >= self.valid_from {
            return true;
        }
        if self.confirmed_start.is_none_or(|start| start < started_at) {
            self.confirmed_start = Some(started_at);
            let next_at = self
                .interval_s
                .map(|interval_s| started_at.after(interval_s));
            self.due_at = next_at.map_or(self.valid_from, |at| at.min(self.valid_from));
            self.is_waiting = true;
            self.round = Round::default();
        }
        false
    }

    /// Log line for a call confirmed more than `LATE_AFTER_SECS` after it was due; `None` if it was in time.
    fn late_log_line(&self, now: Micros, server: ServerId) -> Option<String> {
        let (took_s, calls) = (now.since(self.due_at), self.calls);
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
    /// The same for releases that have been confirmed before.
    deferred_repeats: BTreeSet<u64>,
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

    /// Adds a release. If the table is full, another release is given up and returned with the new id.
    pub fn start(&mut self, release: Release) -> StartedRelease {
        let dropped = if self.open.len() >= MAX_OPEN_RELEASES {
            self.least_needed().and_then(|id| self.finish(id))
        } else {
            None
        };
        self.last_id += 1;
        self.open.insert(self.last_id, release);
        StartedRelease {
            id: self.last_id,
            dropped,
        }
    }

    /// Returns the release to give up when the table is full: of those that have been confirmed before, the one that
    /// would end first, because little is left to release; without any, the oldest.
    fn least_needed(&self) -> Option<u64> {
        let confirmed = self.open.iter().filter(|(_, release)| release.is_repeat());
        let first_to_end = confirmed.min_by_key(|(_, release)| release.valid_from);
        let oldest = self.open.first_key_value();
        first_to_end.or(oldest).map(|(id, _)| *id)
    }

    pub(crate) fn finish(&mut self, id: u64) -> Option<Release> {
        self.deferred.remove(&id);
        self.deferred_repeats.remove(&id);
        self.open.remove(&id)
    }

    /// Whether a call of this release would repeat one that was confirmed.
    pub(crate) fn is_repeat(&self, id: u64) -> bool {
        self.open.get(&id).is_some_and(Release::is_repeat)
    }

    /// Makes a repeated release wait for its turn on a connection.
    pub(crate) fn defer_repeat(&mut self, id: u64) {
        self.deferred_repeats.insert(id);
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

    /// Removes and returns the oldest release that is waiting for a free connection. Those that have been confirmed
    /// before come last, and only if `may_repeat` is set.
    pub(crate) fn next_deferred(&mut self, may_repeat: bool) -> Option<u64> {
        let first = self.deferred.pop_first();
        if first.is_none() && may_repeat {
            return self.deferred_repeats.pop_first();
        }
        first
    }

    pub(crate) fn is_deferred(&self, id: u64) -> bool {
        self.deferred.contains(&id) || self.deferred_repeats.contains(&id)
    }

    /// Whether a call was confirmed and the next one is not due yet.
    pub(crate) fn is_waiting(&self, id: u64) -> bool {
        self.open.get(&id).is_some_and(|release| release.is_waiting)
    }

    /// Whether a release is open.
    pub fn is_open(&self, id: u64) -> bool {
        self.open.contains_key(&id)
    }

    pub(crate) fn record_failure(&mut self, now: Micros, server: ServerId) {
        self.failed
            .retain(|_, at| now.since(*at) < AVOID_AFTER_FAILURE_SECS);
        self.failed.insert(server, now);
    }

    /// Records that a server has confirmed a call, and removes the release if that is final. Returns `None` if the
    /// release is closed already.
    pub fn confirm(
        &mut self,
        id: u64,
        now: Micros,
        server: ServerId,
        started_at: Micros,
    ) -> Option<Confirmation> {
        self.failed.remove(&server);
        let release = self.open.get_mut(&id)?;
        let late_log_line = if release.is_waiting {
            None
        } else {
            release.late_log_line(now, server)
        };
        let is_final = release.confirm(started_at);
        if is_final {
            self.finish(id);
        }
        Some(Confirmation {
            is_final,
            late_log_line,
        })
    }

    /// Ends the repetition of all releases: each is called once more, and one confirmation of that call is enough.
    /// Returns the releases that waited for their next call.
    pub(crate) fn end_repetition(&mut self, now: Micros) -> Vec<u64> {
        let waiting = self
            .open
            .iter_mut()
            .filter(|(_, release)| release.is_waiting && release.interval_s.is_some());
        let called_again = waiting.map(|(id, release)| {
            release.interval_s = None;
            release.valid_from = release.closes_noticed_at.max(now);
            release.due_at = release.valid_from;
            *id
        });
        called_again.collect()
    }

    /// Returns the time of the next call if a release has to wait for it, or `None` if it may be called now.
    pub(crate) fn delayed_until(&mut self, id: u64, now: Micros) -> Option<Micros> {
        let release = self
            .open
            .get_mut(&id)
            .filter(|release| release.is_waiting)?;
        if now < release.due_at {
            return Some(release.due_at);
        }
        release.is_waiting = false;
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
            .filter(|release| now.since(release.due_at) < RELEASE_TIMEOUT_SECS)?;
        Some(release.round.advance())
    }
}
