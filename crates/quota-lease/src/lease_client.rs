//! The requesting side of quota leases: whom to ask, which answers are awaited, and the lease that is held.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_membership::NameKey;

use crate::{usable, RequestNumber, LEASE_COUNTED_FOR};

/// Requests whose answers are awaited; leases of older ones would have expired.
const MAX_PENDING: usize = 8;
/// Requests without an answer after which the leader is taken to be another.
const MAX_UNANSWERED: u32 = 2;

/// What is leased to this member, beside [`crate::unleased_quota`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaLease {
    /// The leased fraction of the quota, from 0 to 1.
    pub leased: f64,
    /// When it expires, by this process's clock.
    pub until: Duration,
}

/// One member's requests for leases and what came of them.
pub(crate) struct LeaseClient {
    own: NameKey,
    /// The member that is taken to be the leader.
    leader: Option<NameKey>,
    /// Requests to it in a row that brought no lease.
    unanswered: u32,
    /// Position in the order of voters, which are asked in turn where no leader is known.
    next_voter: usize,
    /// When each awaited request was sent.
    pending: BTreeMap<RequestNumber, Duration>,
    lease: QuotaLease,
    /// The request that brought the lease.
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

    /// Where the next request goes: to the leader, or to the next voter, which knows whom it has promised its vote.
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

    /// Takes a lease of so much of the quota, dated from its request. Returns whether it answers the latest answered
    /// request, in which case the reports that came with it are the latest too.
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

    /// Another member is said to be leader.
    pub(crate) fn on_leader_named(&mut self, leader: NameKey) {
        if self.leader != Some(leader) {
            self.leader = Some(leader);
            self.unanswered = 0;
        }
    }

    /// Gives up the lease.
    pub(crate) fn release(&mut self) {
        self.lease = QuotaLease::default();
    }
}
