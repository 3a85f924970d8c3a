//! Ballots and versions of one process, none of which is ever used twice.

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::Process;

use crate::register::{Ballot, Version};

/// Allocates ballots and versions. `start` of the process tells them from those of earlier processes under the same name.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdAllocator {
    name: NameKey,
    start: u64,
    round: u64,
    count: u64,
}

impl IdAllocator {
    /// For one process.
    pub fn new(own: Process) -> IdAllocator {
        IdAllocator {
            name: own.name,
            start: own.start,
            round: 0,
            count: 0,
        }
    }

    /// A ballot above all that were allocated or observed.
    pub fn ballot(&mut self) -> Ballot {
        self.round += 1;
        Ballot {
            round: self.round,
            proposer: self.name,
            start: self.start,
        }
    }

    /// Another proposer uses this ballot: later ones are above it.
    pub fn observe(&mut self, ballot: Ballot) {
        self.round = self.round.max(ballot.round);
    }

    /// A version above the one that it replaces.
    pub fn version(&mut self, epoch: u64, replaces: Option<Version>) -> Version {
        let last = replaces.map_or(0, |version| version.count);
        self.count = self.count.max(last) + 1;
        Version {
            epoch,
            count: self.count,
            writer: self.name,
            start: self.start,
        }
    }
}
