//! A register's key, versions and ballots, and what one replica of it may promise and accept.

use bitternlatch_membership::NameKey;
use serde::{Deserialize, Serialize};

/// 16-byte key of a register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RegisterKey(pub [u8; 16]);

/// Version of a value, in total order, the epoch first. No two writes have the same one: a process never uses a count twice, and
/// `start` tells it from earlier processes under the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Chosen by the caller; never falls.
    pub epoch: u64,
    /// Rises with each write, by one or more.
    pub count: u64,
    /// Member that wrote it.
    pub writer: NameKey,
    /// Start number of the writer's process.
    pub start: u64,
}

/// Identifies one round of one proposer, in total order; never used for two states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Number of the round.
    pub round: u64,
    /// Member that proposes.
    pub proposer: NameKey,
    /// Start number of the proposer's process.
    pub start: u64,
}

impl Ballot {
    /// The ballot that an acceptor promises when it accepts this one, so that its proposer writes again in one round.
    pub fn next(self) -> Ballot {
        Ballot {
            round: self.round.saturating_add(1),
            ..self
        }
    }
}

/// What was written.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    /// Its version.
    pub version: Version,
    /// The version that it replaced. By it a writer whose answer was lost learns what became of its write.
    pub replaces: Option<Version>,
    /// The value; none for a tombstone, which marks a deleted register.
    pub body: Option<Vec<u8>>,
}

impl State {
    /// Version that callers see; none for a tombstone.
    pub fn visible_version(&self) -> Option<Version> {
        self.body.is_some().then_some(self.version)
    }
}

/// A state that a replica has accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Accepted {
    /// Ballot under which it was proposed.
    pub ballot: Ballot,
    /// The state.
    pub state: State,
    /// Accepted by this replica itself, and not learned from another one while it caught up. What is learned may contradict a
    /// promise that this replica gave, so it is no evidence that a majority accepted it.
    pub voted: bool,
}

/// One replica of one register: an acceptor of single-decree Paxos whose value may change (CASPaxos: Rystsov, 2018).
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Acceptor {
    /// The highest ballot that it has promised to honour; lower ones are rejected.
    pub promised: Option<Ballot>,
    /// What it has accepted last.
    pub accepted: Option<Accepted>,
}

impl Acceptor {
    /// Promises to accept nothing below the ballot; returns whether anything changed.
    ///
    /// # Errors
    /// The higher ballot that was promised before.
    pub fn prepare(&mut self, ballot: Ballot) -> Result<bool, Ballot> {
        match self.promised {
            Some(promised) if promised > ballot => Err(promised),
            promised => {
                self.promised = Some(ballot);
                Ok(promised != Some(ballot))
            }
        }
    }

    /// Accepts a state; returns whether anything changed.
    ///
    /// # Errors
    /// The higher ballot that was promised before.
    pub fn accept(&mut self, ballot: Ballot, state: &State) -> Result<bool, Ballot> {
        let is_duplicate = self
            .accepted
            .as_ref()
            .is_some_and(|accepted| accepted.voted && accepted.ballot == ballot);
        if is_duplicate {
            return Ok(false);
        }
        if let Some(promised) = self.promised.filter(|promised| *promised > ballot) {
            return Err(promised);
        }
        self.promised = Some(ballot.next());
        self.accepted = Some(Accepted {
            ballot,
            state: state.clone(),
            voted: true,
        });
        Ok(true)
    }

    /// Learns what another replica holds, while catching up; returns whether anything changed.
    pub fn learn(&mut self, other: Acceptor) -> bool {
        let before = self.ballots();
        self.promised = self.promised.max(other.promised);
        if let Some(accepted) = other.accepted {
            let is_later = self
                .accepted
                .as_ref()
                .is_none_or(|own| own.ballot < accepted.ballot);
            if is_later {
                self.accepted = Some(Accepted {
                    voted: false,
                    ..accepted
                });
            }
        }
        before != self.ballots()
    }

    /// The promised ballot and the accepted one.
    fn ballots(&self) -> [Option<Ballot>; 2] {
        [
            self.promised,
            self.accepted.as_ref().map(|accepted| accepted.ballot),
        ]
    }

    /// Bytes of the value.
    pub fn value_bytes(&self) -> usize {
        self.accepted
            .as_ref()
            .and_then(|accepted| accepted.state.body.as_ref())
            .map_or(0, Vec::len)
    }
}

#[cfg(test)]
mod tests;
