//! Releases of held states: each is called for, at more and more model servers, until one of them has confirmed it.
//!
//! Any server takes a release, whoever holds the state. Which of them can be reached is not known while servers fall silent
//! with no error, so a call without an answer is hedged soon: by one more, then two, then four and so on, those first
//! that nothing speaks against. Once enough have been called a new round begins, with more patience.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{ServerId, ServerStatus};

use crate::discovery::{Endpoint, Endpoints};
use crate::pool::{ConnectionPool, PoolActivity};

/// Servers called in one round.
const MAX_CALLS_PER_ROUND: usize = 32;
/// Calls of one hedge double up to this.
const MAX_HEDGED: usize = 16;
/// A call waits for its answer for so long in the first round, twice as long in each further one, seconds.
const ANSWER_SECS: f64 = 0.15;
const MAX_ANSWER_SECS: f64 = 1.2;
/// Pause before the second round, twice as long before each further one, seconds.
const ROUND_SECS: f64 = 0.25;
const MAX_ROUND_SECS: f64 = 2.0;
/// Doublings that are told apart.
const MAX_DOUBLINGS: u32 = 8;
/// A release that no server has confirmed by then is given up, seconds.
const GIVE_UP_SECS: f64 = 60.0;
/// Most requests whose states are being released at once; past them the oldest is given up.
const MOST: usize = 1024;
/// A server that has failed a call is called after the others for so long, seconds.
const AVOID_AFTER_FAILURE_SECS: f64 = 2.0;
/// What the platform allows for a release beyond the limit of the settings, seconds.
const SLACK_SECS: f64 = 0.3;

/// A time that doubles so often, and no further than to its bound.
fn doubled(first_s: f64, times: u32, max_s: f64) -> f64 {
    (first_s * f64::from(1u32 << times.min(MAX_DOUBLINGS))).min(max_s)
}

/// One request's state that is to be released.
#[derive(Debug)]
pub struct Release {
    request: String,
    begun: Micros,
    /// Calls that began earlier prove nothing.
    valid_from: Micros,
    /// A call that began too early was confirmed: the next one is made at `valid_from`.
    waits_until_valid: bool,
    round: Round,
    /// Calls made in all rounds.
    calls: u32,
}

/// One round of calls, each at another server.
#[derive(Debug, Default)]
struct Round {
    /// Rounds before this one.
    number: u32,
    /// Hedges made, each of twice as many calls as the one before.
    hedges: u32,
    called: BTreeSet<ServerId>,
}

impl Round {
    /// The same round from its begin: all servers may be called once more.
    fn restart(&mut self) {
        self.hedges = 0;
        self.called.clear();
    }

    /// Calls of the next hedge.
    fn hedge(&mut self) -> usize {
        let calls = 1usize << self.hedges.min(MAX_DOUBLINGS);
        self.hedges += 1;
        calls.min(MAX_HEDGED)
    }

    /// Goes on to the next round; gives the pause before it, seconds.
    fn advance(&mut self) -> f64 {
        let pause_s = doubled(ROUND_SECS, self.number, MAX_ROUND_SECS);
        self.number += 1;
        self.restart();
        pause_s
    }

    /// How long a call of this round waits for its response, seconds.
    fn response_timeout_s(&self) -> f64 {
        doubled(ANSWER_SECS, self.number, MAX_ANSWER_SECS)
    }
}

/// The next call of a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseCall {
    /// The model server to call.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// The request to write.
    pub bytes: Vec<u8>,
}

/// A release that has just begun.
#[derive(Debug)]
pub struct Begun {
    /// Its number.
    pub id: u64,
    /// The oldest one, given up for it at the table's bound.
    pub dropped: Option<Release>,
}

impl Release {
    fn new(now: Micros, valid_from: Micros, request: String) -> Release {
        Release {
            request,
            begun: now,
            valid_from,
            waits_until_valid: false,
            round: Round::default(),
            calls: 0,
        }
    }

    /// A line for the log once a server has confirmed it, where that took longer than the platform allows.
    pub(crate) fn late_line(&self, now: Micros, server: ServerId) -> Option<String> {
        let (took_s, calls) = (now.since(self.begun), self.calls);
        let line = || {
            format!(
                "state of {} released late: {took_s:.3} s, {calls} calls, by {server}",
                self.request
            )
        };
        (took_s > SLACK_SECS).then(line)
    }

    /// A line for the log where no server has confirmed it.
    pub(crate) fn unconfirmed_line(&self, now: Micros, why: &str) -> String {
        let (took_s, calls) = (now.since(self.begun), self.calls);
        format!(
            "state of {} may still be held: {why} after {took_s:.3} s and {calls} calls",
            self.request
        )
    }
}

/// Order in which servers are called: an idle connection carries a call at once, and a server that has responded of
/// late is likeliest to respond. The fields are compared in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CallRank {
    is_silent: bool,
    idle_since: Reverse<Option<Micros>>,
    last_received: Reverse<Option<Micros>>,
    is_not_ready: bool,
    server: ServerId,
    to: SocketAddr,
}

/// All that are under way.
#[derive(Debug, Default)]
pub struct Releases {
    open: BTreeMap<u64, Release>,
    /// Those whose call found all connections in use.
    waiting: BTreeSet<u64>,
    /// Servers that have failed a call, and when last.
    failed: BTreeMap<ServerId, Micros>,
    last: u64,
}

impl Releases {
    /// Whether none is under way.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// How many are under way.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Begins one, which a call proves that began at a time or later; gives its number, and the one that had to give
    /// way at the table's bound.
    pub fn start(&mut self, now: Micros, valid_from: Micros, request: String) -> Begun {
        let dropped = if self.open.len() >= MOST {
            self.open.pop_first()
        } else {
            None
        };
        self.last += 1;
        self.open
            .insert(self.last, Release::new(now, valid_from, request));
        Begun {
            id: self.last,
            dropped: dropped.map(|(_, release)| release),
        }
    }

    pub(crate) fn finish(&mut self, id: u64) -> Option<Release> {
        self.waiting.remove(&id);
        self.open.remove(&id)
    }

    /// A call could not go out: its server is not asked yet, and it waits for a connection.
    pub(crate) fn defer(&mut self, id: u64, server: ServerId) {
        if let Some(release) = self.open.get_mut(&id) {
            release.round.called.remove(&server);
            release.calls -= 1;
            self.waiting.insert(id);
        }
    }

    /// How long a call waits for its answer, seconds.
    pub fn response_timeout_s(&self, id: u64) -> f64 {
        let first = Round::default();
        let round = self.open.get(&id).map_or(&first, |release| &release.round);
        round.response_timeout_s()
    }

    /// The next call; `None` once enough servers were called in this round or none is left.
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
            is_silent: ages.is_unresponsive(now, server) || failed,
            idle_since: Reverse(ages.idle_since(server, endpoint.address)),
            last_received: Reverse(ages.last_received(server)),
            is_not_ready: endpoint.status != ServerStatus::Ready,
            server,
            to: endpoint.address,
        }
    }

    /// A release whose call found all connections in use, the oldest first; it waits no longer.
    pub(crate) fn next_waiting(&mut self) -> Option<u64> {
        self.waiting.pop_first()
    }

    pub(crate) fn is_waiting(&self, id: u64) -> bool {
        self.waiting.contains(&id)
    }

    pub(crate) fn is_open(&self, id: u64) -> bool {
        self.open.contains_key(&id)
    }

    /// A server has confirmed a call.
    pub(crate) fn forget_failure(&mut self, server: ServerId) {
        self.failed.remove(&server);
    }

    pub(crate) fn record_failure(&mut self, now: Micros, server: ServerId) {
        self.failed
            .retain(|_, at| now.since(*at) < AVOID_AFTER_FAILURE_SECS);
        self.failed.insert(server, now);
    }

    /// A confirmed call began too early to prove anything: it is made once more when it can.
    pub(crate) fn retry_if_too_early(&mut self, id: u64, begun: Micros) -> bool {
        let Some(release) = self.open.get_mut(&id).filter(|r| begun < r.valid_from) else {
            return false;
        };
        release.waits_until_valid = true;
        release.round.restart();
        true
    }

    /// When the next call is to be made, where that is later than now.
    pub(crate) fn delayed_until(&mut self, id: u64, now: Micros) -> Option<Micros> {
        let release = self.open.get_mut(&id).filter(|r| r.waits_until_valid)?;
        if now < release.valid_from {
            return Some(release.valid_from);
        }
        release.waits_until_valid = false;
        None
    }

    /// Calls that a hedge makes, twice as many each time.
    pub(crate) fn hedge(&mut self, id: u64) -> usize {
        let release = self.open.get_mut(&id);
        release.map_or(0, |release| release.round.hedge())
    }

    /// All servers of a round were called: the next one begins after this pause, seconds. `None` where it is given up.
    pub(crate) fn next_round(&mut self, id: u64, now: Micros) -> Option<f64> {
        let release = self
            .open
            .get_mut(&id)
            .filter(|r| now.since(r.begun) < GIVE_UP_SECS)?;
        Some(release.round.advance())
    }
}
