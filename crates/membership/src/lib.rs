//! Membership of the cluster: which dispatchers are present, have failed or are leaving, as one of them knows it.
//!
//! No input or output: datagrams, a clock and a seed go in; datagrams and events come out, and the time at which it
//! wants to be woken. The same code runs in service, in tests and in simulated time.
//!
//! The protocol is SWIM with suspicion and incarnations (Das, Gupta, Motivala, 2002), by the library `foca`. Of
//! Lifeguard (Dadgar, Phillips, Currey, 2018) there is self-awareness: a member that was itself paused or slow
//! gives its peers the time that it lost before it confirmations them.

mod datagram_auth;
mod detector_config;
mod incarnation_watch;
mod member;
mod member_table;
mod protocol;
mod quorum;
mod quorum_tracker;
mod roster;
pub mod simulated;
mod suspicion;
mod timers;
mod view;

pub use datagram_auth::{
    sender, Kind, RejectReason, Secret, Signer, Topic, Verifier, AUTH_BYTES, MAX_DATAGRAM,
    MAX_PAYLOAD,
};
pub use member::{Id, NameKey, Start};
pub use protocol::{Event, Membership, Output};
pub use quorum::{AdmissionMode, EffectClass, QuorumState, QuotaFraction};
pub use roster::{Peer, Roster, RosterError};
pub use view::{MemberView, RejectCounts, State, View};
