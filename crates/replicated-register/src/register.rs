//! Keys, versions and ballots of registers, and the acceptor: the rules by which one replica of a register promises and accepts.

use bitternlatch_membership::NameKey;
use serde::{Deserialize, Serialize};

/// 16-byte key of a register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RegisterKey(pub [u8; 16]);

/// Version of a value. Versions are totally ordered, by epoch first. No two writes have the same version: a process never uses a
/// count twice, and `start` distinguishes it from earlier processes under the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Epoch chosen by the caller; never decreases from one version of a register to the next.
    pub epoch: u64,
    /// Count that rises by one or more with each write of the register.
    pub count: u64,
    /// Member that wrote the value.
    pub writer: NameKey,
    /// Start number of the writer's process.
    pub start: u64,
}

/// Identifies one round of one proposer. Ballots are totally ordered, and no two states are proposed under the same ballot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Number of the round, the most significant part of the order.
    pub round: u64,
    /// Member whose process is the proposer.
    pub proposer: NameKey,
    /// Start number of the proposer's process.
    pub start: u64,
}

impl Ballot {
    /// The ballot that an acceptor promises implicitly when it accepts under this one. It lets the same proposer write again in one
    /// round, without a prepare phase.
    pub fn next(self) -> Ballot {
        Ballot {
            round: self.round.saturating_add(1),
            ..self
        }
    }
}

/// The state of a register that one write produced: a value or a tombstone, with its version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    /// Version of the state.
    pub version: Version,
    /// Version that the write replaced; `None` if there was none. A writer that got no response to its write uses it to find out
    /// whether the write succeeded before another one replaced it.
    pub replaces: Option<Version>,
    /// The value; `None` for a tombstone, which marks a deleted register.
    pub body: Option<Vec<u8>>,
}

impl State {
    /// Version that is reported to callers; `None` for a tombstone, as callers see a deleted register as one without a value.
    pub fn visible_version(&self) -> Option<Version> {
        self.body.is_some().then_some(self.version)
    }
}

/// A state that a replica has accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Accepted {
    /// Ballot under which the state was proposed.
    pub ballot: Ballot,
    /// The accepted state.
    pub state: State,
    /// Whether this replica accepted the state itself, rather than learning it from another replica by state transfer. A learned
    /// state may contradict a promise that this replica gave, so it does not count as a vote for the state.
    pub voted: bool,
}

/// One replica of one register: an acceptor of single-decree Paxos whose value may change (CASPaxos: Rystsov, 2018).
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Acceptor {
    /// The highest ballot that the acceptor has promised; requests with lower ballots are rejected.
    pub promised: Option<Ballot>,
    /// The state that the acceptor accepted last, if any.
    pub accepted: Option<Accepted>,
}

impl Acceptor {
    /// Promises to accept nothing below the ballot. Returns whether the acceptor changed, which is false for a repeated request.
    ///
    /// # Errors
    /// Returns the higher ballot that was promised before; nothing is changed.
    pub fn prepare(&mut self, ballot: Ballot) -> Result<bool, Ballot> {
        match self.promised {
            Some(promised) if promised > ballot => Err(promised),
            promised => {
                self.promised = Some(ballot);
                Ok(promised != Some(ballot))
            }
        }
    }

    /// Accepts a state. Returns whether the acceptor changed, which is false for a repeated request.
    ///
    /// # Errors
    /// Returns the higher ballot that was promised before; nothing is changed.
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

    /// Merges in the acceptor of another replica that was received by state transfer. Returns whether either ballot changed.
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

    /// Returns the promised ballot and the ballot of the accepted state.
    fn ballots(&self) -> [Option<Ballot>; 2] {
        [
            self.promised,
            self.accepted.as_ref().map(|accepted| accepted.ballot),
        ]
    }

    /// Length of the accepted value in bytes; 0 if there is none.
    pub fn value_bytes(&self) -> usize {
        self.accepted
            .as_ref()
            .and_then(|accepted| accepted.state.body.as_ref())
            .map_or(0, Vec::len)
    }
}

#[cfg(test)]
mod tests;
