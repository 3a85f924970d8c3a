//! Allocation of ballots and versions that are unique across all processes.

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::Process;

use crate::register::{Ballot, Version};

/// Allocates ballots and versions for one process. They contain the process's `start` number, which distinguishes them from those
/// of earlier processes under the same name.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdAllocator {
    name: NameKey,
    start: u64,
    round: u64,
    count: u64,
}

impl IdAllocator {
    /// Creates an allocator for the ballots and versions of process `own`.
    pub fn new(own: Process) -> IdAllocator {
        IdAllocator {
            name: own.name,
            start: own.start,
            round: 0,
            count: 0,
        }
    }

    /// Allocates a ballot higher than all ballots that were allocated or observed before.
    pub fn ballot(&mut self) -> Ballot {
        self.round += 1;
        Ballot {
            round: self.round,
            proposer: self.name,
            start: self.start,
        }
    }

    /// Records a ballot that another proposer uses, so that ballots allocated later are higher.
    pub fn observe(&mut self, ballot: Ballot) {
        self.round = self.round.max(ballot.round);
    }

    /// Allocates a version whose count is higher than that of `replaces`, the version that it replaces.
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
