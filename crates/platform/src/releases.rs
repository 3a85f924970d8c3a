//! Releases of held states: each is called for, at more and more model hosts, until one of them has confirmed it.
//!
//! Any host takes a release, whoever holds the state. Which of them can be reached is not known while hosts fall silent
//! with no error, so a call without an answer is hedged soon: by one more, then two, then four and so on, those first
//! that nothing speaks against. Once enough have been called a new round begins, with more patience.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{Outcome, RequestId, ServerId, ServerStatus};

use crate::discovery::Endpoints;
use crate::node::{Node, Timer};
use crate::pool::{ConnectionAges, ConnectionPool, ConnectionUse};
use crate::types::{Command, Level};

/// Hosts called in one round.
const MAX_CALLS_PER_ROUND: usize = 32;
/// A release that is not confirmed by then is called for at further hosts, seconds.
const HEDGE_SECS: f64 = 0.05;
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
/// A release that no host has confirmed by then is given up, seconds.
const GIVE_UP_SECS: f64 = 60.0;
/// Most requests whose states are being released at once; past them the oldest is given up.
const MOST: usize = 1024;
/// A host that has failed a call is called after the others for so long, seconds.
const AVOID_AFTER_FAILURE_SECS: f64 = 2.0;
/// The close of an attempt that may wait for the state, or make it, has arrived everywhere by then, seconds. A release
/// that overtakes it finds the state in use, or not made yet, and is confirmed all the same.
const CLOSE_PROPAGATION_SECS: f64 = 0.12;
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
    /// An earlier one was confirmed: no other before that time.
    waits_until_valid: bool,
    /// Hosts called in this round.
    called: BTreeSet<ServerId>,
    round: u32,
    hedges: u32,
    calls: u32,
}

impl Release {
    fn new(now: Micros, valid_from: Micros, request: String) -> Release {
        let called = BTreeSet::new();
        Release {
            request,
            begun: now,
            valid_from,
            waits_until_valid: false,
            called,
            round: 0,
            hedges: 0,
            calls: 0,
        }
    }

    /// A line for the log once a host has confirmed it, where that took longer than the platform allows.
    fn late_line(&self, now: Micros, server: ServerId) -> Option<String> {
        let (took_s, calls) = (now.since(self.begun), self.calls);
        let line = || {
            format!(
                "state of {} released late: {took_s:.3} s, {calls} calls, by {server}",
                self.request
            )
        };
        (took_s > SLACK_SECS).then(line)
    }

    /// A line for the log where no host has confirmed it.
    fn unconfirmed_line(&self, now: Micros, why: &str) -> String {
        let (took_s, calls) = (now.since(self.begun), self.calls);
        format!(
            "state of {} may still be held: {why} after {took_s:.3} s and {calls} calls",
            self.request
        )
    }
}

/// All that are under way.
#[derive(Debug, Default)]
pub struct Releases {
    open: BTreeMap<u64, Release>,
    /// Those whose call found all connections in use.
    waiting: BTreeSet<u64>,
    /// Hosts that have failed a call, and when last.
    failed: BTreeMap<ServerId, Micros>,
    last: u64,
}

impl Releases {
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Begins one, which a call proves that began at a time or later; gives its number, and the one that had to give
    /// way at the table's bound.
    pub fn begin(
        &mut self,
        now: Micros,
        valid_from: Micros,
        request: String,
    ) -> (u64, Option<Release>) {
        let dropped = if self.open.len() >= MOST {
            self.open.pop_first()
        } else {
            None
        };
        self.last += 1;
        self.open
            .insert(self.last, Release::new(now, valid_from, request));
        (self.last, dropped.map(|d| d.1))
    }

    fn finish(&mut self, id: u64) -> Option<Release> {
        self.waiting.remove(&id);
        self.open.remove(&id)
    }

    /// A call could not go out: its host is not asked yet, and it waits for a connection.
    fn defer(&mut self, id: u64, server: ServerId) {
        if let Some(release) = self.open.get_mut(&id) {
            release.called.remove(&server);
            release.calls -= 1;
            self.waiting.insert(id);
        }
    }

    /// How long a call waits for its answer, seconds.
    pub fn response_timeout_s(&self, id: u64) -> f64 {
        doubled(
            ANSWER_SECS,
            self.open.get(&id).map_or(0, |r| r.round),
            MAX_ANSWER_SECS,
        )
    }

    /// The next host to call, and what to say; `None` once enough were called in this round or none is left.
    pub fn next_call(
        &mut self,
        id: u64,
        now: Micros,
        endpoints: &Endpoints,
        pool: &ConnectionPool,
    ) -> Option<(ServerId, SocketAddr, Vec<u8>)> {
        self.call_after(id, now, endpoints, &pool.connection_ages(now))
    }

    fn call_after(
        &mut self,
        id: u64,
        now: Micros,
        endpoints: &Endpoints,
        ages: &ConnectionAges,
    ) -> Option<(ServerId, SocketAddr, Vec<u8>)> {
        let failed = |server| {
            self.failed
                .get(&server)
                .is_some_and(|at| now.since(*at) < AVOID_AFTER_FAILURE_SECS)
        };
        let release = self
            .open
            .get_mut(&id)
            .filter(|r| r.called.len() < MAX_CALLS_PER_ROUND)?;
        let rank = |(server, to, standing): (ServerId, SocketAddr, ServerStatus)| {
            // A kept connection carries it at once, and a host that has answered of late is likeliest to answer.
            let silent = ages.silent(now, server) || failed(server);
            let idle_since = ages.idle_since(server, to);
            (
                silent,
                Reverse(idle_since),
                Reverse(ages.last_received(server)),
                standing != ServerStatus::Ready,
                server,
                to,
            )
        };
        let fresh = endpoints
            .iter()
            .filter(|(server, _)| !release.called.contains(server));
        let best = fresh
            .map(|(server, t)| rank((server, t.endpoint, t.standing)))
            .min()?;
        let (_, _, _, _, server, to) = best;
        release.called.insert(server);
        release.calls += 1;
        let call = format!(
            "DELETE /bootstrap/rooms/{} HTTP/1.1\r\nHost: origin.svc\r\n\r\n",
            release.request
        );
        Some((server, to, call.into_bytes()))
    }

    fn record_failure(&mut self, now: Micros, server: ServerId) {
        self.failed
            .retain(|_, at| now.since(*at) < AVOID_AFTER_FAILURE_SECS);
        self.failed.insert(server, now);
    }

    /// A confirmed call began too early to prove anything: it is made once more when it can.
    fn retry_if_too_early(&mut self, id: u64, begun: Micros) -> bool {
        let Some(release) = self.open.get_mut(&id).filter(|r| begun < r.valid_from) else {
            return false;
        };
        (release.waits_until_valid, release.hedges) = (true, 0);
        release.called.clear();
        true
    }

    /// When the next call is to be made, where that is later than now.
    fn delayed_until(&mut self, id: u64, now: Micros) -> Option<Micros> {
        let release = self.open.get_mut(&id).filter(|r| r.waits_until_valid)?;
        if now < release.valid_from {
            return Some(release.valid_from);
        }
        release.waits_until_valid = false;
        None
    }

    /// Calls that a hedge makes, twice as many each time.
    fn hedge(&mut self, id: u64) -> usize {
        let Some(release) = self.open.get_mut(&id) else {
            return 0;
        };
        let calls = 1usize << release.hedges.min(MAX_DOUBLINGS);
        release.hedges += 1;
        calls.min(MAX_HEDGED)
    }

    /// All hosts of a round were called: the next one begins after this pause, seconds. `None` where it is given up.
    fn next_round(&mut self, id: u64, now: Micros) -> Option<f64> {
        let release = self
            .open
            .get_mut(&id)
            .filter(|r| now.since(r.begun) < GIVE_UP_SECS)?;
        let pause_s = doubled(ROUND_SECS, release.round, MAX_ROUND_SECS);
        release.called.clear();
        (release.round, release.hedges) = (release.round + 1, 0);
        Some(pause_s)
    }
}

impl Node {
    /// Releases what is held for a request. A hand-over that has not gone out would find nothing: it ends.
    pub(crate) fn release(&mut self, now: Micros, request: RequestId, commands: &mut Vec<Command>) {
        let Some(open) = self.requests.get(request) else {
            return;
        };
        let valid_from = open
            .aborted_at
            .map_or(now, |at| at.after(CLOSE_PROPAGATION_SECS));
        let is_handed_over = open.in_flight.is_some_and(|attempt| !attempt.prefill);
        let (release, dropped) = self.releases.begin(now, valid_from, open.id.clone());
        self.counts.releases += 1;
        if let Some(dropped) = dropped {
            self.unconfirmed(
                now,
                &dropped,
                "too many states are to be released",
                commands,
            );
        }
        if is_handed_over {
            self.abandon_unsent_attempt(now, request, commands);
        }
        self.call_release(now, release, commands);
        self.timers
            .set(now.after(HEDGE_SECS), Timer::Release { id: release });
    }

    /// Calls one more host. False where none is left in this round.
    fn call_release(&mut self, now: Micros, id: u64, commands: &mut Vec<Command>) -> bool {
        let Some((server, to, call)) =
            self.releases
                .next_call(id, now, &self.endpoints, &self.pool)
        else {
            return false;
        };
        self.counts.release_calls += 1;
        if self
            .start_exchange(
                now,
                (server, to),
                ConnectionUse::Release {
                    id,
                    server,
                    begun: now,
                },
                call,
                commands,
            )
            .is_none()
        {
            // What is held stays held until somebody is told: the call goes out once a connection is free.
            self.counts.release_calls -= 1;
            self.releases.defer(id, server);
        }
        true
    }

    /// Calls that found all connections in use go out as some are free, the oldest first.
    pub(crate) fn call_waiting_releases(&mut self, now: Micros, commands: &mut Vec<Command>) {
        while self.pool.has_capacity() {
            let Some(id) = self.releases.waiting.pop_first() else {
                return;
            };
            self.call_release(now, id, commands);
        }
    }

    /// No host has confirmed it yet.
    pub(crate) fn hedge_release(&mut self, now: Micros, id: u64, commands: &mut Vec<Command>) {
        if let Some(at) = self.releases.delayed_until(id, now) {
            return self.timers.set(at, Timer::Release { id });
        }
        for _ in 0..self.releases.hedge(id) {
            if self.releases.waiting.contains(&id) {
                break;
            }
            if !self.call_release(now, id, commands) {
                return self.begin_round(now, id, commands);
            }
        }
        if self.releases.open.contains_key(&id) {
            self.timers
                .set(now.after(HEDGE_SECS), Timer::Release { id });
        }
    }

    fn begin_round(&mut self, now: Micros, id: u64, commands: &mut Vec<Command>) {
        if let Some(pause_s) = self.releases.next_round(id, now) {
            return self.timers.set(now.after(pause_s), Timer::Release { id });
        }
        if let Some(release) = self.releases.finish(id) {
            self.unconfirmed(now, &release, "no model host has answered", commands);
        }
    }

    pub(crate) fn release_answered(
        &mut self,
        now: Micros,
        id: u64,
        (server, begun): (ServerId, Micros),
        status: u16,
        commands: &mut Vec<Command>,
    ) {
        if !(200..300).contains(&status) {
            return self.release_failed(now, id, server, Outcome::Error, commands);
        }
        self.releases.failed.remove(&server);
        if self.releases.retry_if_too_early(id, begun) {
            return;
        }
        let Some(release) = self.releases.finish(id) else {
            return;
        };
        self.counts.releases_confirmed += 1;
        if let Some(line) = release.late_line(now, server) {
            self.counts.releases_late += 1;
            self.log(commands, Level::Warn, line);
        }
    }

    /// One call has failed: another host is called at once. One that has had no answer has been hedged by now.
    pub(crate) fn release_failed(
        &mut self,
        now: Micros,
        id: u64,
        server: ServerId,
        outcome: Outcome,
        commands: &mut Vec<Command>,
    ) {
        self.releases.record_failure(now, server);
        if outcome != Outcome::TimedOut {
            self.call_release(now, id, commands);
        }
    }

    fn unconfirmed(
        &mut self,
        now: Micros,
        release: &Release,
        why: &str,
        commands: &mut Vec<Command>,
    ) {
        self.counts.releases_unconfirmed += 1;
        self.log(commands, Level::Warn, release.unconfirmed_line(now, why));
    }
}
