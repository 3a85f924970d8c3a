//! Timers of the node.

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::RequestId;

use crate::types::ConnId;

/// Purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// Set by the decision module, which chose the label.
    DecisionModule { label: u64 },
    /// An attempt times out.
    AttemptTimeout { request: RequestId, number: u16 },
    /// A connection attempt, health check or release call that started at `since` times out.
    ServerConnection { conn: ConnId, since: Micros },
    /// A release that is still unconfirmed is sent to further servers.
    Release { id: u64 },
    /// A stream is ended if no event has come for too long.
    StreamCheck { request: RequestId },
    /// Periodic check of connections.
    Sweep,
    /// The discovery watch has to be started or has missed a timeout.
    DiscoveryWatch,
    /// The node reports ready without an endpoint list.
    ReadinessTimeout,
    /// Shutdown: the listener is closed.
    StopAccepting,
    /// Shutdown: streams that are still running are ended.
    StreamsEnd,
    /// Shutdown: unconfirmed releases are no longer waited for.
    ReleasesEnd,
}
