//! What the node's timers are for.

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::RequestId;

use crate::types::ConnId;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// Set by the decision module, which gave the label.
    Router { label: u64 },
    /// The timeout of an attempt.
    AttemptTimeout { request: RequestId, number: u16 },
    /// The timeout of a connect, or of an exchange other than an attempt, that began at `since`.
    ServerConnection { conn: ConnId, since: Micros },
    /// The next hedged call of a release that is not confirmed.
    Release { id: u64 },
    /// The periodic check of connections and streams.
    Sweep,
    /// The discovery watch is to be begun, or is overdue.
    DiscoveryWatch,
    /// Shutdown: the listener is closed.
    StopAccepting,
    /// Shutdown: streams that still run are ended.
    StreamsEnd,
    /// Shutdown: releases are waited for no longer.
    ReleasesEnd,
}
