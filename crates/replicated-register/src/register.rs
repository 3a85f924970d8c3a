//! What a register is called and holds, and what one copy of it may promise and accept.

use bitternlatch_membership::NameKey;
use serde::{Deserialize, Serialize};

/// 16-byte name of a register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RegisterKey(pub [u8; 16]);

/// Total order: epoch first. `count` rises with each write, by one or more. No two writes ever have the same one: a
/// process never uses a count twice, and `start` tells it from the earlier ones under its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    pub epoch: u64,
    pub count: u64,
    pub writer: NameKey,
    /// Of the writer's process.
    pub start: u64,
}

/// Of one round of one proposer; never used for two values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub proposer: NameKey,
    pub start: u64,
}

impl Ballot {
    /// The one that a copy promises along with taking this one, so that who wrote last writes again in one round.
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
    pub version: Version,
    /// The version that it replaced: tells a writer whose answer was lost what became of its write.
    pub before: Option<Version>,
    /// None: a gap, where a register was let go of.
    pub body: Option<Vec<u8>>,
}

impl State {
    /// What callers know it by.
    pub fn visible_version(&self) -> Option<Version> {
        self.body.is_some().then_some(self.version)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Accepted {
    pub ballot: Ballot,
    pub state: State,
    /// Taken by this copy itself, and not learnt from another one while it caught up. What is learnt may stand beside a promise
    /// that would have forbidden to take it, so it is no evidence that a majority took it.
    pub own: bool,
}

/// One copy of one register: an acceptor of single-decree Paxos whose value may change (CASPaxos).
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Acceptor {
    pub promised: Option<Ballot>,
    pub accepted: Option<Accepted>,
}

impl Acceptor {
    /// Promises to take nothing below the ballot; tells whether anything changed.
    ///
    /// # Errors
    /// The ballot that was promised before.
    pub fn prepare(&mut self, ballot: Ballot) -> Result<bool, Ballot> {
        match self.promised {
            Some(promised) if promised > ballot => Err(promised),
            promised => {
                self.promised = Some(ballot);
                Ok(promised != Some(ballot))
            }
        }
    }

    /// Takes a value; tells whether anything changed.
    ///
    /// # Errors
    /// The ballot that was promised before.
    pub fn accept(&mut self, ballot: Ballot, state: &State) -> Result<bool, Ballot> {
        if self
            .accepted
            .as_ref()
            .is_some_and(|a| a.own && a.ballot == ballot)
        {
            return Ok(false); // It came twice.
        }
        if let Some(promised) = self.promised.filter(|promised| *promised > ballot) {
            return Err(promised);
        }
        self.promised = Some(ballot.next());
        self.accepted = Some(Accepted {
            ballot,
            state: state.clone(),
            own: true,
        });
        Ok(true)
    }

    /// Learns what another copy holds, while catching up; tells whether anything changed.
    pub fn learn(&mut self, other: Acceptor) -> bool {
        let before = (self.promised, self.accepted.as_ref().map(|a| a.ballot));
        self.promised = self.promised.max(other.promised);
        if let Some(accepted) = other.accepted {
            if self
                .accepted
                .as_ref()
                .is_none_or(|a| a.ballot < accepted.ballot)
            {
                self.accepted = Some(Accepted {
                    own: false,
                    ..accepted
                });
            }
        }
        before != (self.promised, self.accepted.as_ref().map(|a| a.ballot))
    }

    /// Bytes of the value.
    pub fn bytes(&self) -> usize {
        self.accepted
            .as_ref()
            .and_then(|a| a.state.body.as_ref())
            .map_or(0, Vec::len)
    }
}

#[cfg(test)]
mod tests;
