//! What prefill servers may hold for a request, and when it is released.
//!
//! A hand-over that has not arrived does not stop the clock of a held state, and nothing says whether it has
//! arrived until its answer comes. So the clock runs on while an attempt is out, and the state is released
//! shortly before the limit: a decode server that waits for the state keeps it, and one that is reached later
//! answers that it is gone.

use super::*;

/// Share of the pin limit after which a state is released; the rest is for the release to arrive.
const RELEASE_FRACTION: f64 = 0.9;

/// What may be held for one request. Every state that a prefill leaves ends here: taken, gone or released.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct HeldState {
    /// The prefill server that answered that it holds the state, and when.
    known: Option<(ServerId, f64)>,
    /// Since when the earliest of what may be held is held, with nothing out that is known to have arrived.
    since: Option<f64>,
    /// A prefill or a hand-over ended without an answer, and may have left a state.
    left: bool,
    /// The known state was released while a hand-over was out that may have kept it.
    released: bool,
    /// A given-up hand-over may go on waiting for the state: no release lets go of it until that ends.
    waited_for: bool,
}

impl HeldState {
    /// The prefill server that holds the state for a hand-over, and since when.
    pub fn known(&self) -> Option<(ServerId, f64)> {
        self.known
    }

    /// A final answer leaves something to release.
    pub fn needs_release(&self) -> bool {
        self.known.is_some_and(|_| !self.released) || self.left || self.waited_for
    }

    /// It was released while the hand-over was out.
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// When it has to be released, whatever is out.
    pub fn release_at(&self, limit_s: f64) -> Option<f64> {
        self.since.map(|since| since + limit_s * RELEASE_FRACTION)
    }

    /// The first token of an answer has come: its state was taken.
    pub fn taken(&mut self) {
        (self.known, self.since, self.released) = (None, None, false);
    }

    /// The state is released while the request goes on; once more after as long where it may be waited for.
    fn release(&mut self, now: f64) {
        (self.left, self.released) = (false, self.known.is_some());
        self.since = self.waited_for.then_some(now);
    }

    /// An attempt has ended at a prefill server, or elsewhere.
    pub fn attempt_ended(&mut self, now: f64, end: &AttemptEnd, at_prefill: bool) {
        let released = std::mem::take(&mut self.released);
        match end.outcome {
            Outcome::PrefillDone => {
                self.known = Some((end.server, now));
                self.since.get_or_insert(now);
            }
            Outcome::Rejected {
                state_missing: true,
            } => *self = HeldState::default(),
            Outcome::Served => self.taken(),
            Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled if at_prefill => {
                self.may_be_left(now)
            }
            // It may have arrived before the release, or counted as waiting on its way, and kept the state.
            _ if released => {
                self.known = None;
                self.waited_for |= matches!(
                    end.outcome,
                    Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled
                );
                self.may_be_left(now);
            }
            // Its answer shows that it had arrived: nothing was left waiting until now.
            Outcome::Rejected { .. } | Outcome::Error if self.known.is_some() && !self.left => {
                self.since = Some(now)
            }
            _ => {}
        }
    }

    fn may_be_left(&mut self, now: f64) {
        self.left = true;
        self.since.get_or_insert(now);
    }
}

impl Router {
    /// Releases what may be held for a request once that is due. Whether it goes on is left to the caller.
    pub(super) fn release_if_due(&mut self, now: f64, id: RequestId, actions: &mut Actions) {
        let limit_s = self.settings.kv_hold_limit_s;
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        if state.kv_state.release_at(limit_s).is_none_or(|at| now < at) {
            return;
        }
        state.kv_state.release(now);
        actions.push(Action::Release { request: id });
        self.schedule_release(id, actions);
    }

    /// Comes back to a request when what may be held for it has to be released.
    pub(super) fn schedule_release(&self, id: RequestId, actions: &mut Actions) {
        let kv_state = self
            .requests
            .get(&id)
            .and_then(|state| state.kv_state.release_at(self.settings.kv_hold_limit_s));
        kv_state
            .into_iter()
            .for_each(|at| set_timer(id, at, actions));
    }
}
