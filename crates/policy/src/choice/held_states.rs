//! KV states that prefill servers may hold for a request, and when they are released.
//!
//! The hold time of a KV state keeps counting until a transfer request for it arrives, and the
//! router learns whether one has arrived only from the attempt's answer. So it counts the hold time
//! while a decode attempt is in flight, and releases the state shortly before the limit. A decode
//! server that is already waiting for the state still gets it; one that asks later answers that the
//! state is missing.
//!
//! An attempt that the router gave up may go on at its server for as long as the server was told
//! that the router would wait: a prefill may end and leave a state, and a KV transfer may wait for
//! one. No answer shows when this happens, and a server confirms a release whether or not there was
//! a state. Until that time a release settles only what was held when it arrived, so it is repeated.

use crate::interface::{AttemptEnd, Outcome, ReleaseRepeat, ServerId};

/// Fraction of the limit on holding a KV state (`kv_hold_limit_s`) after which the state is
/// released. The rest leaves time for the release to arrive.
const RELEASE_FRACTION: f64 = 0.9;
/// Shortest time between two releases, in seconds; the settings may hold a limit of 0.
const MIN_RELEASE_INTERVAL_S: f64 = 0.05;

/// A KV state that a prefill server is known to hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct KnownKvHold {
    pub server: ServerId,
    /// Clock time of the end of the prefill, in seconds.
    pub since: f64,
}

/// Tracks the KV states that may be held for one request. Every state that a prefill leaves ends as
/// fetched or released.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct KvHolds {
    known: Option<KnownKvHold>,
    /// Clock time, in seconds, since which the oldest state that may be held has waited, assuming
    /// that no transfer request in flight has arrived.
    earliest_since: Option<f64>,
    /// A prefill or a KV transfer ended without an answer, so a state may still be held.
    may_hold_unknown_state: bool,
    /// The known state was released while a KV transfer was in flight; the transfer may have kept
    /// the state.
    released: bool,
    /// Clock time, in seconds, until which abandoned prefills may leave a state, and abandoned KV
    /// transfers may wait for one that is no longer known; 0 if there are none. No release frees a
    /// state while a KV transfer waits for it.
    abandoned_until: f64,
    /// Clock time, in seconds, until which abandoned KV transfers may wait for the known state; 0 if
    /// there are none.
    known_awaited_until: f64,
}

impl KvHolds {
    /// Returns the server that holds the state for a KV transfer, and since when.
    pub fn known_hold(&self) -> Option<KnownKvHold> {
        self.known
    }

    /// Returns whether a KV state may still have to be released when the request ends.
    pub fn needs_release(&self) -> bool {
        let is_held = self.known.is_some() && !self.released;
        is_held || self.may_hold_unknown_state || self.abandoned_until > 0.0
    }

    /// Returns how the release at the end of the request is repeated.
    pub fn release_repeat(&self, limit_s: f64) -> Option<ReleaseRepeat> {
        let until = self.abandoned_until.max(self.known_awaited_until);
        let interval_s = release_interval_s(limit_s);
        (until > 0.0).then_some(ReleaseRepeat { interval_s, until })
    }

    /// Returns whether the known state was released while a KV transfer was in flight.
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Clock time, in seconds, at which the states that may be held must be released, even if an
    /// attempt is in flight.
    pub fn release_at(&self, limit_s: f64) -> Option<f64> {
        self.earliest_since
            .map(|since| since + release_interval_s(limit_s))
    }

    /// Records that a decode server fetched the state, which the first token of an answer shows.
    pub fn record_fetched(&mut self) {
        self.known = None;
        self.earliest_since = None;
        self.released = false;
        self.known_awaited_until = 0.0;
    }

    /// Records a release while the request continues. If an abandoned attempt may still leave or
    /// keep a state, another release becomes due after the same delay.
    pub fn record_release(&mut self, now: f64) {
        let is_repeated = now < self.abandoned_until;
        self.may_hold_unknown_state = is_repeated;
        self.released = self.known.is_some();
        self.earliest_since = is_repeated.then_some(now);
    }

    /// Updates the holds when an attempt ends. `at_prefill` is true if it ran at a prefill server;
    /// `told_until` is the clock time until which the server was told that the router would wait.
    pub fn record_attempt_end(
        &mut self,
        now: f64,
        end: &AttemptEnd,
        at_prefill: bool,
        told_until: f64,
    ) {
        let released = std::mem::take(&mut self.released);
        let unanswered = matches!(
            end.outcome,
            Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled
        );
        match end.outcome {
            Outcome::PrefillDone => {
                let server = end.server;
                self.known = Some(KnownKvHold { server, since: now });
                // The answer shows that the prefill was in flight at its server, so until now no
                // state of this request was left waiting.
                self.earliest_since = Some(now);
            }
            // This decode server could not fetch the state, which may be so because it does not
            // reach the prefill server that holds it.
            Outcome::Rejected {
                state_missing: true,
            } => {
                self.forget_known();
                self.may_hold_unknown_state = true;
                self.earliest_since = Some(now);
            }
            Outcome::Served => self.record_fetched(),
            _ if unanswered && at_prefill => {
                self.abandoned_until = self.abandoned_until.max(told_until);
                self.record_possible_hold(now);
            }
            // The KV transfer may have reached the prefill server before the release, or may have
            // been registered there as waiting while it was still on its way. In either case it may
            // have kept the state.
            _ if released => {
                if unanswered {
                    self.record_abandoned_transfer(told_until);
                }
                self.forget_known();
                self.record_possible_hold(now);
            }
            _ if unanswered && self.known.is_some() => self.record_abandoned_transfer(told_until),
            // The answer shows that the transfer request had arrived, so until now the state was
            // not waiting unclaimed.
            Outcome::Rejected { .. } | Outcome::Error
                if self.known.is_some() && !self.may_hold_unknown_state =>
            {
                self.earliest_since = Some(now);
            }
            _ => {}
        }
    }

    fn record_abandoned_transfer(&mut self, told_until: f64) {
        self.known_awaited_until = self.known_awaited_until.max(told_until);
    }

    /// Forgets where the known state is; abandoned KV transfers may still wait for it.
    fn forget_known(&mut self) {
        self.known = None;
        self.abandoned_until = self.abandoned_until.max(self.known_awaited_until);
        self.known_awaited_until = 0.0;
    }

    fn record_possible_hold(&mut self, now: f64) {
        self.may_hold_unknown_state = true;
        self.earliest_since.get_or_insert(now);
    }
}

/// Seconds for which a state may be held before its release.
fn release_interval_s(limit_s: f64) -> f64 {
    (limit_s * RELEASE_FRACTION).max(MIN_RELEASE_INTERVAL_S)
}

#[cfg(test)]
#[path = "../part_tests/held_states.rs"]
mod tests;
