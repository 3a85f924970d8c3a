//! The requesting side of quota leases: the receiver of the next request, the pending requests, and the lease held.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_membership::NameKey;

use crate::{usable, RequestNumber, LEASE_COUNTED_FOR};

/// Maximum number of pending requests. A lease that answered an older request would have expired.
const MAX_PENDING: usize = 8;
/// Number of consecutive requests without a lease after which the known leader is forgotten.
const MAX_UNANSWERED: u32 = 2;

/// The lease of a part of all shared quotas, in addition to [`crate::unleased_quota`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaLease {
    /// The leased fraction of each quota, from 0 to 1.
    pub leased: f64,
    /// Time at which the lease expires, by this process's clock.
    pub until: Duration,
}

/// One member's lease requests and its current lease.
pub(crate) struct LeaseClient {
    own: NameKey,
    /// The member that is believed to be leader.
    leader: Option<NameKey>,
    /// Number of consecutive requests without a lease.
    unanswered: u32,
    /// Position of the next voter to ask. Voters are asked in turn while no leader is known.
    next_voter: usize,
    /// The time at which each pending request was sent.
    pending: BTreeMap<RequestNumber, Duration>,
    lease: QuotaLease,
    /// The request that the current lease answers.
    lease_request: RequestNumber,
}

impl LeaseClient {
    pub(crate) fn new(own: NameKey, first_voter: usize) -> LeaseClient {
        LeaseClient {
            own,
            leader: None,
            unanswered: 0,
            next_voter: first_voter,
            pending: BTreeMap::new(),
            lease: QuotaLease::default(),
            lease_request: RequestNumber::default(),
        }
    }

    pub(crate) fn lease(&self) -> QuotaLease {
        self.lease
    }

    pub(crate) fn leader(&self) -> Option<NameKey> {
        self.leader
    }

    /// The receiver of the next lease request: the leader, or the next voter where no leader is known, because a voter can
    /// name the process that it has promised its vote to.
    pub(crate) fn next_receiver(&mut self, is_leader: bool, voters: &[NameKey]) -> Option<NameKey> {
        if is_leader {
            self.leader = Some(self.own);
        } else if self.unanswered >= MAX_UNANSWERED || self.leader == Some(self.own) {
            self.leader = None;
        }
        self.unanswered += 1;
        let voter = voters.get(self.next_voter % voters.len().max(1)).copied();
        let receiver = self.leader.or(voter)?;
        self.next_voter += 1;
        Some(receiver)
    }

    pub(crate) fn on_request_sent(&mut self, now: Duration, number: RequestNumber) {
        self.pending.insert(number, now);
        while self.pending.len() > MAX_PENDING {
            self.pending.pop_first();
        }
    }

    /// Records a granted lease. Its expiry is computed from the time of the request.
    ///
    /// Returns whether it answers the latest request answered so far, in which case the peer reports in the same message are
    /// the latest too.
    pub(crate) fn on_lease_granted(&mut self, number: RequestNumber, leased: f64) -> bool {
        let Some(requested_at) = self.pending.remove(&number) else {
            return false;
        };
        self.unanswered = 0;
        if number > self.lease_request {
            self.lease_request = number;
            self.lease = QuotaLease {
                leased,
                until: requested_at + usable(LEASE_COUNTED_FOR),
            };
        }
        number == self.lease_request
    }

    /// Records the leader that another member has named.
    pub(crate) fn on_leader_named(&mut self, leader: NameKey) {
        if self.leader != Some(leader) {
            self.leader = Some(leader);
            self.unanswered = 0;
        }
    }

    /// Stops using the lease.
    pub(crate) fn release(&mut self) {
        self.lease = QuotaLease::default();
    }
}
