//! Cluster membership: one dispatcher's view of which other dispatchers are present, have failed or are leaving.
//!
//! The crate performs no I/O. Its inputs are datagrams, clock readings and a random seed; its outputs are datagrams,
//! events and the time of the next wakeup. The same code runs in production, in tests and in simulated time.
//!
//! The protocol is SWIM with suspicion and incarnations (Das, Gupta, Motivala, 2002), as implemented by the library
//! `foca`. From Lifeguard (Dadgar, Phillips, Currey, 2018) it takes local health awareness: a member that was itself
//! paused or slow extends its probe and suspicion deadlines by the time that it lost.

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
    claimed_sender, Kind, RejectReason, Secret, Signer, Topic, Verifier, AUTH_BYTES, MAX_DATAGRAM,
    MAX_PAYLOAD,
};
pub use member::{Id, NameKey, Start};
pub use protocol::{Event, Membership, Output};
pub use quorum::{AdmissionMode, EffectClass, QuorumState, QuotaFraction};
pub use roster::{Peer, Roster, RosterError};
pub use view::{MemberView, RejectCounts, State, View};
