//! What prefill servers may hold for a request, and when it is released.
//!
//! A KV transfer that has not arrived does not stop the clock of a held state, and nothing says
//! whether it has arrived until its answer comes. So the clock runs on while an attempt is in
//! flight, and the state is released shortly before the limit: a decode server that waits for the
//! state keeps it, and one that is reached later answers that it is missing.

use crate::interface::{AttemptEnd, Outcome, ServerId};

/// Share of the hold limit after which a state is released; the rest is for the release to arrive.
const RELEASE_FRACTION: f64 = 0.9;

/// A KV state that a prefill server has said to hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct KnownKvHold {
    pub server: ServerId,
    /// Clock time of the prefill's end, seconds.
    pub since: f64,
}

/// What may be held for one request. Every state that a prefill leaves ends here: taken, missing or
/// released.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct KvHolds {
    known: Option<KnownKvHold>,
    /// Since when the earliest of what may be held is held, with nothing in flight that is known to
    /// have arrived.
    earliest_since: Option<f64>,
    /// A prefill or a KV transfer ended without an answer, and may have left a state.
    may_hold_unknown_state: bool,
    /// The known state was released while a KV transfer was in flight that may have kept it.
    released: bool,
    /// A transfer that was given up may go on waiting for the state: no release frees it until that
    /// ends.
    abandoned_transfer_may_wait: bool,
}

impl KvHolds {
    /// Where the state is held for a KV transfer, and since when.
    pub fn known_hold(&self) -> Option<KnownKvHold> {
        self.known
    }

    /// A final answer leaves something to release.
    pub fn needs_release(&self) -> bool {
        let is_held = self.known.is_some() && !self.released;
        is_held || self.may_hold_unknown_state || self.abandoned_transfer_may_wait
    }

    /// It was released while the KV transfer was in flight.
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// When it has to be released, whatever is in flight.
    pub fn release_at(&self, limit_s: f64) -> Option<f64> {
        self.earliest_since
            .map(|since| since + limit_s * RELEASE_FRACTION)
    }

    /// The first token of an answer has come: its state was taken.
    pub fn record_fetched(&mut self) {
        self.known = None;
        self.earliest_since = None;
        self.released = false;
    }

    /// The state is released while the request goes on; once more after as long where it may be
    /// waited for.
    pub fn record_release(&mut self, now: f64) {
        self.may_hold_unknown_state = false;
        self.released = self.known.is_some();
        self.earliest_since = self.abandoned_transfer_may_wait.then_some(now);
    }

    /// An attempt has ended at a prefill server, or elsewhere.
    pub fn record_attempt_end(&mut self, now: f64, end: &AttemptEnd, at_prefill: bool) {
        let released = std::mem::take(&mut self.released);
        let unanswered = matches!(
            end.outcome,
            Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled
        );
        match end.outcome {
            Outcome::PrefillDone => {
                let server = end.server;
                self.known = Some(KnownKvHold { server, since: now });
                self.earliest_since.get_or_insert(now);
            }
            Outcome::Rejected {
                state_missing: true,
            } => *self = KvHolds::default(),
            Outcome::Served => self.record_fetched(),
            _ if unanswered && at_prefill => self.record_possible_hold(now),
            // It may have arrived before the release, or counted as waiting on its way, and kept
            // the state.
            _ if released => {
                self.known = None;
                self.abandoned_transfer_may_wait |= unanswered;
                self.record_possible_hold(now);
            }
            // Its answer shows that it had arrived: nothing was left waiting until now.
            Outcome::Rejected { .. } | Outcome::Error
                if self.known.is_some() && !self.may_hold_unknown_state =>
            {
                self.earliest_since = Some(now);
            }
            _ => {}
        }
    }

    fn record_possible_hold(&mut self, now: f64) {
        self.may_hold_unknown_state = true;
        self.earliest_since.get_or_insert(now);
    }
}

#[cfg(test)]
#[path = "../part_tests/held_states.rs"]
mod tests;
