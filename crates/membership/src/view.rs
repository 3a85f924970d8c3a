//! A snapshot of what one member knows about the others, for operators.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::datagram_auth::RejectReason;
use crate::member::{Id, Start};
use crate::quorum::QuorumState;

/// Number of rejected datagrams by reason.
pub type RejectCounts = BTreeMap<RejectReason, u64>;

/// The state of one member as another knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Nothing has been received from the member or about it.
    Unheard,
    /// The member is alive and not suspected.
    Alive,
    /// The member did not acknowledge a probe of this member or of a peer. It still counts as present.
    Suspect,
    /// The member has failed or left.
    Down,
}

impl State {
    /// Whether a member in this state counts as present.
    pub fn is_present(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// One other member in a [`View`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The member's name, or its short form in hexadecimal where the roster has no such name.
    pub name: String,
    /// The address that the member announced, else the one in the roster.
    pub address: SocketAddrV4,
    /// The latest known start of the member's process; `None` where nothing has been received.
    pub start: Option<Start>,
    /// The member's state.
    pub state: State,
    /// Time since when the member has been in this state, by the clock of this process.
    pub since: Duration,
    /// Why the member is in this state.
    pub evidence: &'static str,
}

/// A snapshot of one member's knowledge of the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// The identity of this process.
    pub own: Id,
    /// How much of the roster is present.
    pub quorum: QuorumState,
    /// The later start under the same name that has fenced this process; `None` where it is not fenced.
    pub fenced_by: Option<Start>,
    /// All other known members.
    pub members: Vec<MemberView>,
    /// Number of rejected datagrams by reason.
    pub rejected: RejectCounts,
}
