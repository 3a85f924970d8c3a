//! Ballots that a proposer may use without a round of promises.

use crate::register::{Ballot, State, Version};

/// A ballot that a majority has promised to this proposer, with the state that precedes it. While nobody else prepares a higher
/// ballot, the next write takes one round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaderBallot {
    /// The promised ballot.
    pub ballot: Ballot,
    /// Version of the state that was accepted last, if any.
    pub latest: Option<Version>,
    /// Whether that state is a tombstone.
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

    /// Version that callers see.
    pub(super) fn visible_version(&self) -> Option<Version> {
        self.latest.filter(|_| !self.tombstone)
    }
}
