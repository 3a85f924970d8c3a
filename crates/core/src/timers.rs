//! The machine's timers, in order of time and then of setting.

use std::collections::BTreeMap;

use bitternlatch_policy::interface::{RequestId, ServerId};
use bitternlatch_workflow::Call;

use crate::types::{Micros, SessionId};

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// The decision module's own.
    Router { label: u64 },
    /// An attempt's time is up.
    AttemptTimeout { request: RequestId, attempt: u16 },
    /// The client gives up.
    Deadline { request: RequestId },
    /// A stream may have stalled.
    Stall { request: RequestId },
    /// A probe is overdue.
    HealthCheck { id: u64 },
    /// A link's next step is due: it has not come up, said nothing, or may be reconnected.
    Link { server: ServerId, epoch: u32 },
    /// A caller's proof ends.
    CredentialExpiry { session: SessionId },
    /// Tables are swept.
    Sweep,
    /// Looks at what to ask the quota server for.
    BudgetLeases,
    /// Looks at what to tell peers of servers.
    Observations,
    /// A question about a workflow is overdue.
    WorkflowQuery { call: Call },
    /// A step's end is to be told again.
    StepEnd { request: RequestId },
    /// Tells what was seen of the load.
    LoadShedding,
}

/// What is due when; of what falls on one time, what was set first comes first.
#[derive(Debug)]
pub struct Timers<T> {
    due: BTreeMap<(Micros, u64), T>,
    set: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers {
            due: BTreeMap::new(),
            set: 0,
        }
    }
}

impl<T> Timers<T> {
    /// Sets one more; timers cannot be withdrawn.
    pub fn set(&mut self, at: Micros, timer: T) {
        self.set += 1;
        self.due.insert((at, self.set), timer);
    }

    /// Timers that are set.
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }

    /// The earliest time at which something is due.
    pub fn next(&self) -> Option<Micros> {
        self.due.first_key_value().map(|(key, _)| key.0)
    }

    /// Takes all that is due; timers set meanwhile wait for the next call.
    pub fn take_due(&mut self, now: Micros) -> Vec<T> {
        let later = self.due.split_off(&(Micros(now.0.saturating_add(1)), 0));
        std::mem::replace(&mut self.due, later)
            .into_values()
            .collect()
    }
}
