//! The endpoint list.

use super::ServerId;

/// What the endpoint list says of a server's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerStatus {
    /// It takes requests.
    Ready,
    /// It completes what it has and takes nothing new.
    Draining,
    /// It is not there.
    #[default]
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// What its process does.
    pub status: ServerStatus,
    /// Index in [`Settings::kinds`](super::Settings::kinds).
    pub kind: u16,
    /// Servers of a cell have a link of their own to the other cells.
    pub cell: u16,
    /// Its zone.
    pub zone: u16,
    /// Size against servers of the same role; 1 where it is not known.
    pub weight: f64,
    /// Clock time of the latest start, seconds; 0 = long ago.
    pub booted_at: f64,
}

/// How a list relates to the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListForm {
    /// Changed entries only.
    Delta,
    /// The complete list; servers not in it are removed.
    Full,
    /// The complete list as last held before a restart; may be stale.
    Cached,
    /// A call for the list failed; the old list stays.
    Failed,
}
