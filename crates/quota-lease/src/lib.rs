//! Leader election among dispatchers, and leases of the quotas that they share.
//!
//! The crate performs no I/O. Its inputs are messages and clock readings; its outputs are messages and the time of the
//! next wakeup. The same code runs in production, in tests and in simulated time.
//!
//! - [`LeaderElection`]: a few voters elect one of themselves leader by promises that expire (leases: Gray and Cheriton,
//!   1989; by a majority and without a disk: PaxosLease, Trencseni and others, 2012).
//! - [`QuotaLeases`]: the leader leases parts of the shared quotas on request; each lease expires after a fixed time.
//! - [`PeerReport`]: members send the leader their observations of model servers with each lease request, and receive the
//!   observations of the others with the answer.
//! - [`QuotaMember`]: one member's state in all of these.
//! - [`ClusterMember`]: a [`QuotaMember`] and the membership protocol, which share one datagram format.
//! - [`ClusterService`]: the interface of other state machines that exchange messages with their peers.
//!
//! No process uses a clock reading of another. The requesting process computes the expiry of a promise or lease from the
//! time of its *request*, the granting process from the time of its *answer*, which is later. An answer that is delayed,
//! by a pause of any length, therefore only shortens the time for which the requesting process may use it.

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
pub use leader_election::{voters, LeaderElection, Verdict, VOTE_PROMISE};
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

/// One start of a process under a member's name. After a restart it is another process, which holds no promise or lease
/// of the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Process {
    /// Short form of the member's name.
    pub name: NameKey,
    /// Number of the start; greater for later starts under one name.
    pub start: u64,
}

/// The number of a request, unique and increasing within one start of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestNumber(pub u64);

/// Percentage by which the requesting process shortens the duration of a promise or lease. It covers clocks that run up to
/// 1% too fast or too slow.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// The time for which the requesting process may use a promise or lease that was granted for `promised`.
fn usable(promised: Duration) -> Duration {
    promised * (100 - CLOCK_DRIFT_PERCENT) / 100
}
