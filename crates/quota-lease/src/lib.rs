//! Leader election among dispatchers, and leases of the quotas that they share.
//!
//! There is no input or output here: messages and a clock go in; messages come out, and the time at which the next step is
//! due. The same code runs in service, in tests and in simulated time.
//!
//! - [`LeaderElection`]: a few voters let one of themselves at a time be leader, by promises that expire by the clock
//!   (leases: Gray and Cheriton, 1989; by a majority and without a disk: PaxosLease, Trencseni and others, 2012).
//! - [`QuotaLeases`]: the leader leases parts of the shared quotas on request; a lease expires by the clock.
//! - [`PeerReport`]: what members have observed of model servers goes to the leader with each request, and to the others
//!   with its answers.
//! - [`QuotaMember`]: one member's state in all of these.
//! - [`ClusterMember`]: that and the membership, over one datagram format.
//! - [`ClusterService`]: the interface of other state machines that exchange messages with their peers.
//!
//! Every time is judged by the clock of the process that acts; nothing is ever dated by another's clock. What a process
//! may use is dated from the moment of its *request*, what it has promised from the moment of its *answer*: an answer that
//! comes late, after a pause of any length, is worth that much less.

mod cluster_member;
mod cluster_service;
mod leader_election;
mod lease_client;
mod lease_issuer;
mod message;
mod peer_reports;
mod quota_leases;
mod quota_member;
mod storage;

use std::time::Duration;

pub use cluster_member::{ClusterMember, Datagram, Output};
pub use cluster_service::{ClusterService, Peers, ServiceInput, ServiceOutput, MAX_FRAME};
pub use leader_election::{voters, LeaderElection, Verdict, LEASE};
pub use lease_client::QuotaLease;
pub use message::{DecodeError, Message, MAX_MESSAGE};
pub use peer_reports::{
    Observation, ObservationKey, PeerReport, ServerCondition, ServerNumber, MAX_OBSERVATIONS,
    MAX_REPORTS,
};
pub use quota_leases::{QuotaLeases, LEASE_COUNTED_FOR};
pub use quota_member::{unleased_quota, Action, QuotaMember};
pub use storage::{StorageError, StoredEntries};

use bitternlatch_membership::NameKey;

/// One start of a process under a name. Started again it is another process, which holds no promise or lease of the
/// earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Process {
    /// Short form of the member's name.
    pub name: NameKey,
    /// Number of the start; later starts under one name have larger numbers.
    pub start: u64,
}

/// The number of a request, unique and increasing within one start of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestNumber(pub u64);

/// What is used expires this many hundredths earlier than what is promised: the clocks of two processes may drift apart by
/// one in a hundred, either way.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// How long something that was requested may be used, of the time for which it is promised.
fn usable(promised: Duration) -> Duration {
    promised * (100 - CLOCK_DRIFT_PERCENT) / 100
}
