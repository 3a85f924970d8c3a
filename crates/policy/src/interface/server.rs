//! Entries of the endpoint list, which names the servers of the service.

use super::ServerId;

/// State of a server's process according to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerStatus {
    /// The server accepts requests.
    Ready,
    /// The server completes its running requests and accepts no new ones.
    Draining,
    /// The server is not, or no longer, part of the service.
    #[default]
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// Identifier of the server.
    pub id: ServerId,
    /// State of the server's process.
    pub status: ServerStatus,
    /// Index of the server's kind in [`Settings::kinds`](super::Settings::kinds).
    pub kind: u16,
    /// The server's cell: the servers of one cell share a network link to the other cells.
    pub cell: u16,
    /// The server's zone; a router prefers servers in its own zone.
    pub zone: u16,
    /// Relative size among the servers of the same role; 1 if unknown.
    pub weight: f64,
    /// Clock time of the latest start of the server's process, seconds; 0 means long ago.
    pub booted_at: f64,
}

/// How a received endpoint list relates to the one known so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListForm {
    /// Only the entries that have changed.
    Delta,
    /// The complete list; servers that it doesn't contain are removed.
    Full,
    /// The complete list as saved before the dispatcher restarted; it may be stale.
    Cached,
    /// A fetch of the list failed; the list known so far stays in use.
    Failed,
}
