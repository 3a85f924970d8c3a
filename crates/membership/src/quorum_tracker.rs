//! How much of the roster is present, as it changes: a worse state counts at once, a better one once it has held.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::member::NameKey;
use crate::quorum::QuorumState;

/// How long a better state must hold before it counts.
const SETTLE: Duration = Duration::from_secs(1);

/// A better state that does not count yet.
#[derive(Clone, Copy)]
struct Improvement {
    state: QuorumState,
    since: Duration,
}

/// The quorum state of one member, by its own clock.
pub(crate) struct QuorumTracker {
    state: QuorumState,
    improvement: Option<Improvement>,
    /// After a pause of this process: only peers that were heard since count as present.
    distrust_before: Option<Duration>,
    last_heard: BTreeMap<NameKey, Duration>,
}

impl QuorumTracker {
    pub(crate) fn new(roster: usize) -> QuorumTracker {
        QuorumTracker {
            state: QuorumState::of(1, roster),
            improvement: None,
            distrust_before: None,
            last_heard: BTreeMap::new(),
        }
    }

    pub(crate) fn state(&self) -> QuorumState {
        self.state
    }

    /// When a better state would count.
    pub(crate) fn settles_at(&self) -> Option<Duration> {
        self.improvement
            .map(|improvement| improvement.since + SETTLE)
    }

    pub(crate) fn on_heard(&mut self, now: Duration, peer: NameKey) {
        self.last_heard.insert(peer, now);
    }

    /// Peers count as present only once they are heard after this time.
    pub(crate) fn distrust_before(&mut self, at: Duration) {
        self.distrust_before = Some(at);
    }

    /// Judges by the members of the roster that are present, this one not among them; returns the state where it changed.
    pub(crate) fn update(
        &mut self,
        now: Duration,
        present: &[NameKey],
        roster: usize,
    ) -> Option<QuorumState> {
        let state = self.judge(present, roster);
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

    fn judge(&mut self, present: &[NameKey], roster: usize) -> QuorumState {
        let since = self.distrust_before;
        let is_fresh = |peer: &&NameKey| {
            let heard_at = self.last_heard.get(*peer);
            since.is_none_or(|since| heard_at.is_some_and(|at| *at >= since))
        };
        let heard = 1 + present.iter().filter(is_fresh).count();
        let state = QuorumState::of(heard, roster);
        let all_heard = heard == present.len() + 1 && heard > 1;
        if state >= QuorumState::Majority || all_heard {
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
