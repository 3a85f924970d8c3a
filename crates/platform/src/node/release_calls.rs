//! Calls that release states held at model servers, hedged until one of the servers has confirmed.

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{Outcome, RequestId, ServerId};

use super::{log, Node};
use crate::pool::{ConnectionUse, ServerAddress};
use crate::releases::Release;
use crate::timer::Timer;
use crate::types::{Command, Level};

/// A release that is not confirmed by then is called for at further servers, seconds.
const HEDGE_SECS: f64 = 0.05;
/// The close of an attempt that may wait for the state, or make it, has arrived everywhere by then, seconds. A release
/// that overtakes it finds the state in use, or not made yet, and is confirmed all the same.
const CLOSE_PROPAGATION_SECS: f64 = 0.12;

impl Node {
    /// Releases what is held for a request. A transfer to a decode server that has not gone out would find nothing: it ends.
    pub(super) fn release(&mut self, now: Micros, request: RequestId, commands: &mut Vec<Command>) {
        let Some(open) = self.requests.get(request) else {
            return;
        };
        let valid_from = open
            .aborted_at
            .map_or(now, |at| at.after(CLOSE_PROPAGATION_SECS));
        let is_handed_over = open.in_flight.is_some_and(|attempt| !attempt.is_prefill);
        let begun = self.releases.start(now, valid_from, open.id.clone());
        self.counts.releases += 1;
        if let Some(dropped) = begun.dropped {
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
        self.call_release(now, begun.id, commands);
        self.timers
            .set(now.after(HEDGE_SECS), Timer::Release { id: begun.id });
    }

    /// Calls one more server. False where none is left in this round.
    fn call_release(&mut self, now: Micros, id: u64, commands: &mut Vec<Command>) -> bool {
        let endpoints = self.discovery.endpoints();
        let Some(call) = self.releases.next_call(id, now, endpoints, &self.pool) else {
            return false;
        };
        let server = call.server;
        let usage = ConnectionUse::Release {
            id,
            server,
            started_at: now,
        };
        let target = ServerAddress {
            server,
            address: call.address,
        };
        let conn = self.start_exchange(now, target, usage, call.bytes, commands);
        if conn.is_some() {
            self.counts.release_calls += 1;
        } else {
            // The state stays held until some server is called: that goes out once a connection is free.
            self.releases.defer(id, server);
        }
        true
    }

    /// Calls that found all connections in use go out as some are free, the oldest first.
    pub(super) fn call_waiting_releases(&mut self, now: Micros, commands: &mut Vec<Command>) {
        while self.pool.has_capacity() {
            let Some(id) = self.releases.next_waiting() else {
                return;
            };
            self.call_release(now, id, commands);
        }
    }

    /// No server has confirmed it yet.
    pub(super) fn hedge_release(&mut self, now: Micros, id: u64, commands: &mut Vec<Command>) {
        if let Some(at) = self.releases.delayed_until(id, now) {
            return self.timers.set(at, Timer::Release { id });
        }
        for _ in 0..self.releases.hedge(id) {
            if self.releases.is_waiting(id) {
                break;
            }
            if !self.call_release(now, id, commands) {
                return self.begin_round(now, id, commands);
            }
        }
        if self.releases.is_open(id) {
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

    pub(super) fn release_answered(
        &mut self,
        now: Micros,
        id: u64,
        server: ServerId,
        begun: Micros,
        status: u16,
        commands: &mut Vec<Command>,
    ) {
        if !(200..300).contains(&status) {
            return self.release_failed(now, id, server, Outcome::Error, commands);
        }
        self.releases.forget_failure(server);
        if self.releases.retry_if_too_early(id, begun) {
            return;
        }
        let Some(release) = self.releases.finish(id) else {
            return;
        };
        self.counts.releases_confirmed += 1;
        if let Some(line) = release.late_line(now, server) {
            self.counts.releases_late += 1;
            log(commands, Level::Warn, line);
        }
    }

    /// One call has failed: another server is called at once. One that has had no answer has been hedged by now.
    pub(super) fn release_failed(
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
        log(commands, Level::Warn, release.unconfirmed_line(now, why));
    }
}
