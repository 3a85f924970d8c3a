//! The machine's timers, ordered by due time; timers due at the same time keep the order in which they were set.

use std::collections::BTreeMap;

use bitternlatch_policy::interface::{RequestId, ServerId};
use bitternlatch_workflow::Call;

use crate::types::{Micros, SessionId};

/// What a timer of the machine is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// Set by the decision module, which gave it the label.
    Router { label: u64 },
    /// The timeout of an attempt.
    AttemptTimeout { request: RequestId, attempt: u16 },
    /// The deadline of a request, after which its client no longer waits for a first token.
    Deadline { request: RequestId },
    /// Checks whether the response stream of a request has stalled.
    Stall { request: RequestId },
    /// The timeout of a health check.
    HealthCheck { id: u64 },
    /// A link to a model server: it has to be open with a hello message received by now, or its reconnect delay is
    /// over.
    Link { server: ServerId, epoch: u32 },
    /// The credential of a session's caller expires.
    CredentialExpiry { session: SessionId },
    /// Removes expired table entries and closes idle links.
    Sweep,
    /// Checks which budget leases to request from the quota server.
    BudgetLeases,
    /// Checks which observations of model servers to send to peers.
    Observations,
    /// The timeout of a call to the workflow coordinator.
    WorkflowQuery { call: Call },
    /// Sends the outcome of a workflow step to the coordinator again.
    StepEnd { request: RequestId },
    /// Sends this dispatcher's load report to the cluster's load shedding.
    LoadShedding,
}

/// A timer queue. Timers due at the same time fire in the order in which they were set.
#[derive(Debug)]
pub struct Timers<T> {
    due: BTreeMap<(Micros, u64), T>,
    /// Number of timers set so far; the tie-breaker for equal due times.
    sequence: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers {
            due: BTreeMap::new(),
            sequence: 0,
        }
    }
}

impl<T> Timers<T> {
    /// Adds a timer. Timers cannot be cancelled: the receiver ignores one that no longer applies.
    pub fn set(&mut self, at: Micros, timer: T) {
        self.sequence += 1;
        self.due.insert((at, self.sequence), timer);
    }

    /// Number of timers that have not fired.
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }

    /// The time at which the next timer is due.
    pub fn next(&self) -> Option<Micros> {
        self.due.first_key_value().map(|(key, _)| key.0)
    }

    /// Removes and returns all timers that are due at `now`, in order. Timers set while these are processed wait for
    /// the next call.
    pub fn take_due(&mut self, now: Micros) -> Vec<T> {
        let later = self.due.split_off(&(Micros(now.0.saturating_add(1)), 0));
        std::mem::replace(&mut self.due, later)
            .into_values()
            .collect()
    }
}
