//! What dispatchers agree on, without input or output: messages and a clock go in, messages come out, and the time
//! at which it wants to be woken. The same code runs in service, in tests and in simulated time.
//!
//! - [`LeaderElection`]: a few voters let one of themselves at a time be leader, by promises that end by the clock
//!   (leases: Gray and Cheriton, 1989; by a majority and without a disk: PaxosLease, Trencseni and others, 2012).
//! - [`QuotaLeases`]: the leader lends parts of what all share to those that ask; a part ends by the clock.
//! - What members have seen of hosts goes to the leader with each question, and to the others with its answers.
//! - [`QuotaMember`]: one member's part in both.
//! - [`ClusterMember`]: that and the membership, over one envelope.
//!
//! Every time is judged by the clock of the process that acts; nothing is ever dated by another's clock. What a process
//! may use is dated from the moment at which it *asked*, what it has promised from the moment at which it *answered*: an
//! answer that comes late, after a pause of any length, is worth that much less.

mod cluster_member;
mod cluster_service;
mod leader_election;
mod message;
mod peer_reports;
mod quota_leases;
mod quota_member;

pub use cluster_member::{ClusterMember, Output};
pub use cluster_service::{
    ClusterService, Peers, ServiceInput, ServiceOutput, StorageError, StoredEntries, MAX_FRAME,
};
pub use leader_election::{voters, LeaderElection, Verdict, LEASE};
pub use message::{Message, Unreadable, MAX_MESSAGE};
pub use peer_reports::{
    Observation, PeerReport, ServerCondition, ServerNumber, MAX_OBSERVATIONS, MAX_REPORTS,
};
pub use quota_leases::{QuotaLeases, LEASE_COUNTED_FOR};
pub use quota_member::{unleased_quota, Action, QuotaLease, QuotaMember};

use bitternlatch_membership::NameKey;

/// One start of the process under a name: started again it is another one, which holds nothing of what the earlier held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Process {
    pub name: NameKey,
    pub start: u64,
}

/// The number of a question, unique and rising within one start of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Number(pub u64);

/// What is used ends this many hundredths earlier than what is promised: clocks of two processes may run apart by one
/// in a hundred, either way.
const EARLIER: u32 = 2;

/// How long something that was asked for may be used, of the time for which it is promised.
fn usable(promised: std::time::Duration) -> std::time::Duration {
    promised * (100 - EARLIER) / 100
}
