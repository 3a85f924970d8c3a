//! What one member knows of the others, for operators.

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
    /// Heard of, and not suspected.
    Alive,
    /// A probe went unanswered, here or elsewhere; it still counts as there.
    Suspect,
    /// Failed, or left.
    Down,
}

impl State {
    /// Whether it counts as present.
    pub fn is_there(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// One line of a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Its name, or the short form in hexadecimal.
    pub name: String,
    /// Its address.
    pub address: SocketAddrV4,
    /// The start that is known of it.
    pub start: Option<Start>,
    /// Its state.
    pub state: State,
    /// On the same clock as the calls.
    pub since: Duration,
    /// What the state is based on.
    pub evidence: &'static str,
}

/// All that one member knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// This process.
    pub me: Id,
    /// How much of the roster is present.
    pub standing: QuorumState,
    /// The later start under the same name to which this process has given way.
    pub fenced_by: Option<Start>,
    /// All other members that are known.
    pub members: Vec<MemberView>,
    /// Datagrams that were rejected, by reason.
    pub dropped: RejectCounts,
}
