//! What one member knows of the others, as it is shown.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::datagram_auth::RejectReason;
use crate::member::{Id, Start};
use crate::quorum::QuorumState;

/// How many datagrams were dropped, by cause.
pub type RejectCounts = BTreeMap<RejectReason, u64>;

/// What is known of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Nothing was ever heard of it.
    Unheard,
    Alive,
    /// A probe went unanswered, here or elsewhere; it still counts as there.
    Suspect,
    /// Failed, or left.
    Down,
}

impl State {
    pub fn is_there(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// One line of a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    pub name: String,
    pub address: SocketAddrV4,
    pub start: Option<Start>,
    pub state: State,
    /// On the same clock as the calls.
    pub since: Duration,
    pub evidence: &'static str,
}

/// All that one member knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    pub me: Id,
    pub standing: QuorumState,
    /// The later start under the same name to which this process has given way.
    pub fenced_by: Option<Start>,
    pub members: Vec<MemberView>,
    pub dropped: RejectCounts,
}
