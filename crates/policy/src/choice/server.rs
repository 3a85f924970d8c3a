//! One server: its endpoint list entry, this router's attempts and streams there, its health and
//! its load.

use std::collections::BTreeMap;

use super::health::ServerHealth;
use super::load::ServerLoad;
use super::slow_start_account::SlowStartAccount;
use super::PROBE_WAIT_S;
use crate::interface::{RequestId, Role, ServerEntry, ServerStatus};

/// Memory that a request holds at a server, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct MemoryUse {
    /// Expected memory for prompt and output, in tokens, as the mean over the request's run at a
    /// decode server.
    pub mean: f64,
    /// Memory, in tokens, that the request holds at the end of its run if its output reaches the
    /// 90th percentile of the predicted length, less `mean`; 0 if no length is predicted.
    pub growth: f64,
}

/// An attempt of this router that waits for the end of its prefill or for its first token.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    /// Expected prefill time that the attempt adds to the server's queue, in seconds.
    pub queued_prefill_s: f64,
    /// Clock time, in seconds, at which the attempt's prefill end or first token is expected.
    pub due_at: f64,
    pub memory: MemoryUse,
    /// Cell of the prefill server, if the KV transfer crosses that cell's link.
    pub crossed_link_cell: Option<u16>,
}

/// Everything that this router knows about one server.
#[derive(Debug, Default)]
pub(super) struct Server {
    pub entry: ServerEntry,
    pub role: Role,
    /// Memory for KV states, in tokens; at least 1.
    pub memory_tokens: f64,
    pub in_flight: BTreeMap<RequestId, InFlightAttempt>,
    pub streaming: BTreeMap<RequestId, MemoryUse>,
    pub health: ServerHealth,
    pub load: ServerLoad,
    /// Clock time, in seconds, at which this router learned of the server's last start.
    pub start_learned_at: f64,
    /// Clock time, in seconds, of a start that peers have seen and the endpoint list has not told; 0
    /// if there is none.
    pub reported_start_at: f64,
    /// What this router may send to the server while it is warming up.
    pub slow_start: SlowStartAccount,
}

impl Server {
    /// Sums one part of the memory use, mean or growth, over this router's requests at the server.
    pub fn own_tokens(&self, part: fn(&MemoryUse) -> f64) -> f64 {
        let waiting = self
            .in_flight
            .values()
            .map(|attempt| part(&attempt.memory))
            .sum::<f64>();
        waiting + self.streaming.values().map(part).sum::<f64>()
    }

    /// Number of this router's requests that the server holds.
    pub fn own_requests(&self) -> usize {
        self.in_flight.len() + self.streaming.len()
    }

    /// Longest time past due, in seconds, among this router's attempts and probes at the server. A
    /// paused, slow, dead or unreachable server shows first in this value. Attempts whose KV
    /// transfer crosses a cell link are left out.
    pub fn overdue_s(&self, now: f64) -> f64 {
        self.in_flight
            .values()
            .filter(|attempt| attempt.crossed_link_cell.is_none())
            .map(|attempt| now - attempt.due_at)
            .fold(
                self.health.unanswered_probe_delay_s(PROBE_WAIT_S, now),
                f64::max,
            )
    }

    /// Clock time, in seconds, of the latest known start of the server's process; 0 means long ago.
    pub fn booted_at(&self) -> f64 {
        self.entry.booted_at.max(self.reported_start_at)
    }

    /// Returns whether the endpoint list marks the server as ready for requests.
    pub fn is_ready(&self) -> bool {
        self.entry.status == ServerStatus::Ready
    }
}
