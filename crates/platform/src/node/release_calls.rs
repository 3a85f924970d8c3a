//! Calls that release KV cache state held at model servers. They are hedged until one server has confirmed the release.

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{Outcome, ReleaseRepeat, RequestId, ServerId};

use super::attempt_ends::EndCause;
use super::{log, Node};
use crate::pool::{ConnectionUse, ServerAddress};
use crate::releases::Release;
use crate::timer::Timer;
use crate::types::{Command, Level};

/// Delay after which an unconfirmed release is also sent to further servers, seconds.
const HEDGE_DELAY_SECS: f64 = 0.05;
/// Time after which every running server has noticed that an aborted attempt's connection was closed, seconds. A release
/// that arrives earlier can find the state still in use or not yet created, and a server confirms it all the same.
const CLOSE_PROPAGATION_SECS: f64 = 0.12;

impl Node {
    /// Starts releasing the KV cache state held for a request. A decode attempt that has not been written yet would
    /// find no state and is abandoned.
    pub(super) fn start_release(
        &mut self,
        now: Micros,
        request: RequestId,
        repeat: Option<ReleaseRepeat>,
        commands: &mut Vec<Command>,
    ) {
        let Some(open) = self.requests.get(request) else {
            return;
        };
        let closes_noticed_at = open
            .aborted_at
            .map_or(now, |at| at.after(CLOSE_PROPAGATION_SECS));
        let is_decode_attempt = open.in_flight.is_some_and(|attempt| !attempt.is_prefill);
        let release = Release::new(now, closes_noticed_at, repeat, open.id.clone());
        let started = self.releases.start(release);
        self.counts.releases += 1;
        if let Some(dropped) = started.dropped {
            self.report_unconfirmed(now, &dropped, "too many releases are open", commands);
        }
        if is_decode_attempt {
            self.abandon_undelivered_attempt(now, request, EndCause::StateReleased, commands);
        }
        self.call_release(now, started.id, commands);
        self.timers.set(
            now.after(HEDGE_DELAY_SECS),
            Timer::Release { id: started.id },
        );
    }

    /// Sends the release to one more server, or defers it if no connection may be used for it. Returns false if no server
    /// is left in this round.
    fn call_release(&mut self, now: Micros, id: u64, commands: &mut Vec<Command>) -> bool {
        if self.releases.is_repeat(id) && !self.pool.may_repeat_release() {
            self.releases.defer_repeat(id);
            return true;
        }
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
            // All connections are in use. The state stays held until some server is called, so the call is made as
            // soon as a connection is free.
            self.releases.defer(id, server);
        }
        true
    }

    /// Sends the releases that were deferred because all connections were in use, oldest first, while connections are
    /// free.
    pub(super) fn call_deferred_releases(&mut self, now: Micros, commands: &mut Vec<Command>) {
        while self.pool.has_capacity() {
            let may_repeat = self.pool.may_repeat_release();
            let Some(id) = self.releases.next_deferred(may_repeat) else {
                return;
            };
            self.call_release(now, id, commands);
        }
    }

    /// Sends a release that is still unconfirmed to further servers.
    pub(super) fn hedge_release(&mut self, now: Micros, id: u64, commands: &mut Vec<Command>) {
        if let Some(at) = self.releases.delayed_until(id, now) {
            return self.timers.set(at, Timer::Release { id });
        }
        let calls = if self.releases.is_deferred(id) {
            0
        } else {
            self.releases.next_hedge_size(id)
        };
        for _ in 0..calls {
            if self.releases.is_deferred(id) {
                break;
            }
            if !self.call_release(now, id, commands) {
                return self.start_next_round(now, id, commands);
            }
        }
        if self.releases.is_open(id) {
            self.timers
                .set(now.after(HEDGE_DELAY_SECS), Timer::Release { id });
        }
    }

    /// Calls each release that waits for its next call once more. A process that ends leaves nothing to repeat it.
    pub(super) fn end_release_repetition(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let ended = self.releases.end_repetition(now);
        if ended.is_empty() {
            return;
        }
        self.counts.releases_cut_short += ended.len() as u64;
        log(
            commands,
            Level::Warn,
            format!(
                "{} releases are made for the last time: abandoned attempts may still leave states",
                ended.len()
            ),
        );
        for id in ended {
            self.timers.set(now, Timer::Release { id });
        }
    }

    fn start_next_round(&mut self, now: Micros, id: u64, commands: &mut Vec<Command>) {
        if let Some(pause_s) = self.releases.next_round(id, now) {
            return self.timers.set(now.after(pause_s), Timer::Release { id });
        }
        if let Some(release) = self.releases.finish(id) {
            self.report_unconfirmed(
                now,
                &release,
                "no model server has confirmed the release",
                commands,
            );
        }
    }

    pub(super) fn on_release_response(
        &mut self,
        now: Micros,
        id: u64,
        server: ServerId,
        started_at: Micros,
        status: u16,
        commands: &mut Vec<Command>,
    ) {
        if !(200..300).contains(&status) {
            return self.on_release_failed(now, id, server, Outcome::Error, commands);
        }
        let Some(confirmation) = self.releases.confirm(id, now, server, started_at) else {
            return;
        };
        if confirmation.is_final {
            self.counts.releases_confirmed += 1;
        } else {
            self.counts.release_repeats += 1;
        }
        if let Some(line) = confirmation.late_log_line {
            self.counts.releases_late += 1;
            log(commands, Level::Warn, line);
        }
    }

    /// Handles a failed release call by trying another server at once. After a timeout no extra call is needed, because
    /// hedged calls have been sent by then.
    pub(super) fn on_release_failed(
        &mut self,
        now: Micros,
        id: u64,
        server: ServerId,
        outcome: Outcome,
        commands: &mut Vec<Command>,
    ) {
        self.releases.record_failure(now, server);
        if outcome != Outcome::TimedOut && !self.releases.is_waiting(id) {
            self.call_release(now, id, commands);
        }
    }

    fn report_unconfirmed(
        &mut self,
        now: Micros,
        release: &Release,
        reason: &str,
        commands: &mut Vec<Command>,
    ) {
        self.counts.releases_unconfirmed += 1;
        log(
            commands,
            Level::Warn,
            release.unconfirmed_log_line(now, reason),
        );
    }
}
