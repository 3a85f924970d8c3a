//! Ballots that a proposer may use without a prepare phase.

use crate::register::{Ballot, State, Version};

/// A ballot that a majority has promised to this proposer, with a summary of the state that was accepted before it. While no other
/// proposer prepares a higher ballot, the next write under it takes one round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaderBallot {
    /// The promised ballot.
    pub ballot: Ballot,
    /// Version of the state that was accepted last; `None` if the register has no state.
    pub latest: Option<Version>,
    /// Whether the state that was accepted last is a tombstone.
    pub tombstone: bool,
}

impl LeaderBallot {
    pub(super) fn new(ballot: Ballot, latest: Option<&State>) -> LeaderBallot {
        LeaderBallot {
            ballot,
            latest: latest.map(|state| state.version),
            tombstone: latest.is_some_and(|state| state.body.is_none()),
        }
    }

    /// Version that is reported to callers; `None` if the register has no value.
    pub(super) fn visible_version(&self) -> Option<Version> {
        self.latest.filter(|_| !self.tombstone)
    }
}
