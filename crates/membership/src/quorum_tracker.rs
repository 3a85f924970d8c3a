//! Tracks the quorum state over time: a worse state takes effect at once, a better one after it has held for a while.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::member::NameKey;
use crate::quorum::QuorumState;

/// Time for which a better quorum state must hold before it takes effect.
const SETTLE: Duration = Duration::from_secs(1);

/// A better quorum state that has not taken effect yet.
#[derive(Clone, Copy)]
struct Improvement {
    /// The worst of the states since the improvement began.
    state: QuorumState,
    since: Duration,
}

/// The quorum state of one member. All times are by its own clock.
pub(crate) struct QuorumTracker {
    state: QuorumState,
    improvement: Option<Improvement>,
    /// After a pause of this process, only peers from which something was received since this time count as present.
    distrust_before: Option<Duration>,
    last_received: BTreeMap<NameKey, Duration>,
}

impl QuorumTracker {
    pub(crate) fn new(roster: usize) -> QuorumTracker {
        QuorumTracker {
            state: QuorumState::of(1, roster),
            improvement: None,
            distrust_before: None,
            last_received: BTreeMap::new(),
        }
    }

    pub(crate) fn state(&self) -> QuorumState {
        self.state
    }

    /// When the current improvement takes effect; `None` where there is none.
    pub(crate) fn settles_at(&self) -> Option<Duration> {
        self.improvement
            .map(|improvement| improvement.since + SETTLE)
    }

    /// Records that an authenticated datagram of a peer was received.
    pub(crate) fn on_received(&mut self, now: Duration, peer: NameKey) {
        self.last_received.insert(peer, now);
    }

    /// From now on a peer counts as present only once something was received from it at or after `at`.
    pub(crate) fn distrust_before(&mut self, at: Duration) {
        self.distrust_before = Some(at);
    }

    /// Updates the quorum state from the members of the roster that are present, without this one. Returns the state where
    /// it has changed.
    pub(crate) fn update(
        &mut self,
        now: Duration,
        present: &[NameKey],
        roster: usize,
    ) -> Option<QuorumState> {
        let state = self.current_state(present, roster);
        if state <= self.state {
            self.improvement = None;
            return self.set(state);
        }
        let since = self.improvement.map_or(now, |earlier| earlier.since);
        let lowest = self
            .improvement
            .map_or(state, |earlier| earlier.state.min(state));
        self.improvement = Some(Improvement {
            state: lowest,
            since,
        });
        if now < since + SETTLE {
            return None;
        }
        self.improvement = None;
        self.set(state)
    }

    fn current_state(&mut self, present: &[NameKey], roster: usize) -> QuorumState {
        let since = self.distrust_before;
        let is_fresh = |peer: &&NameKey| {
            let received_at = self.last_received.get(*peer);
            since.is_none_or(|since| received_at.is_some_and(|at| *at >= since))
        };
        let counted = 1 + present.iter().filter(is_fresh).count();
        let state = QuorumState::of(counted, roster);
        let all_received = counted == present.len() + 1 && counted > 1;
        if state >= QuorumState::Majority || all_received {
            self.distrust_before = None;
        }
        state
    }

    fn set(&mut self, state: QuorumState) -> Option<QuorumState> {
        let changed = state != self.state;
        self.state = state;
        changed.then_some(state)
    }
}
