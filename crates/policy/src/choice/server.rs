//! One server: its list entry, its attempts and streams of this router, its health and its load.

use std::collections::BTreeMap;

use super::health::ServerHealth;
use super::load::ServerLoad;
use super::PROBE_WAIT_S;
use crate::interface::{RequestId, Role, ServerEntry, ServerStatus};

/// Tokens of memory that a request holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct MemoryUse {
    /// In the mean of its run.
    pub mean: f64,
    /// Beyond the mean, at its end.
    pub growth: f64,
}

/// An attempt of this router that waits for its prefill or first token.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    /// Expected prefill time, seconds.
    pub queued_prefill_s: f64,
    /// When its answer is expected.
    pub due_at: f64,
    pub memory: MemoryUse,
    /// The prefill server's cell, where the KV state crosses that cell's link.
    pub crossed_link_cell: Option<u16>,
}

/// What is known of a server.
#[derive(Debug, Default)]
pub(super) struct Server {
    pub entry: ServerEntry,
    pub role: Role,
    /// Memory for KV states in tokens, at least 1.
    pub memory_tokens: f64,
    pub in_flight: BTreeMap<RequestId, InFlightAttempt>,
    pub streaming: BTreeMap<RequestId, MemoryUse>,
    pub health: ServerHealth,
    pub load: ServerLoad,
    /// When its last start became known here.
    pub start_learned_at: f64,
}

impl Server {
    /// Sum of a part of the memory that this router's requests hold there.
    pub fn own_tokens(&self, part: fn(&MemoryUse) -> f64) -> f64 {
        let waiting = self
            .in_flight
            .values()
            .map(|attempt| part(&attempt.memory))
            .sum::<f64>();
        waiting + self.streaming.values().map(part).sum::<f64>()
    }

    /// Requests of this router that it holds.
    pub fn own_requests(&self) -> usize {
        self.in_flight.len() + self.streaming.len()
    }

    /// Seconds past due of own attempts or probes: a paused, slow, dead or cut-off server shows
    /// first as this.
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

    /// The endpoint list says that it takes requests.
    pub fn is_ready(&self) -> bool {
        self.entry.status == ServerStatus::Ready
    }
}
