//! Queue of pending operations. Operations on one workflow run one after the other, and only a limited number of claims run at a
//! time, those with the earliest deadline first, so that adopting the workflows of a dead dispatcher does not overload the
//! registers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bitternlatch_replicated_register::RegisterKey;

use crate::operation::{Operation, PendingOperation};

/// Maximum number of pending operations, background operations included.
const MAX_OPERATIONS: usize = 4096;
/// Maximum number of pending background operations, which no caller waits for.
const MAX_BACKGROUND_OPERATIONS: usize = 1024;
/// Number of operations queued for one workflow from which further commands for it are rejected.
const MAX_OPERATIONS_PER_WORKFLOW: usize = 8;
/// Maximum number of claims that read or write registers at a time.
const MAX_CONCURRENT_CLAIMS: usize = 32;
/// Maximum number of claims that wait for their turn.
const MAX_WAITING_CLAIMS: usize = 1024;

/// All pending operations, keyed by a number that is assigned on arrival.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    last_id: u64,
    pending: BTreeMap<u64, PendingOperation>,
    /// Number of pending background operations.
    background: usize,
    /// Numbers of the operations on each workflow in order of arrival; the first one may run.
    by_workflow: BTreeMap<RegisterKey, VecDeque<u64>>,
    /// Numbers of the claims that have started and are not answered yet.
    active_claims: BTreeSet<u64>,
    /// Claims that have not started yet, ordered by deadline.
    waiting_claims: BTreeSet<(Duration, u64)>,
}

/// Result of adding an operation to the queue.
#[derive(Debug)]
pub(crate) enum Enqueued {
    /// The operation was enqueued under this number.
    Accepted(u64),
    /// The operation was enqueued under this number, and a waiting claim with a later deadline was removed to make room.
    Replaced(u64, Box<PendingOperation>),
    /// The operation was not enqueued, because too many are pending.
    Rejected(Box<PendingOperation>),
}

impl Queue {
    pub(crate) fn get(&self, id: u64) -> Option<&PendingOperation> {
        self.pending.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: u64) -> Option<&mut PendingOperation> {
        self.pending.get_mut(&id)
    }

    /// Appends an operation to the queue of its workflow, if there is room.
    pub(crate) fn enqueue(&mut self, pending: PendingOperation) -> Enqueued {
        let is_claim = matches!(pending.operation, Operation::Claim { .. });
        if self.has_no_room_for(&pending) {
            return Enqueued::Rejected(Box::new(pending));
        }
        // The number is consumed even if the claim is rejected below: the backoff jitter of later operations depends on their
        // numbers.
        self.last_id += 1;
        let id = self.last_id;
        let mut replaced = None;
        if is_claim && self.waiting_claims.len() >= MAX_WAITING_CLAIMS {
            replaced = self.remove_later_claim(pending.deadline);
            if replaced.is_none() {
                return Enqueued::Rejected(Box::new(pending));
            }
        }
        if is_claim {
            self.waiting_claims.insert((pending.deadline, id));
        }
        self.background += usize::from(pending.call.is_none());
        self.by_workflow
            .entry(pending.key)
            .or_default()
            .push_back(id);
        self.pending.insert(id, pending);
        match replaced {
            Some(other) => Enqueued::Replaced(id, Box::new(other)),
            None => Enqueued::Accepted(id),
        }
    }

    fn has_no_room_for(&self, pending: &PendingOperation) -> bool {
        let is_at_own_limit = match pending.call {
            None => self.background >= MAX_BACKGROUND_OPERATIONS,
            Some(_) => {
                let queue = self.by_workflow.get(&pending.key);
                queue.map_or(0, VecDeque::len) >= MAX_OPERATIONS_PER_WORKFLOW
            }
        };
        is_at_own_limit || self.pending.len() >= MAX_OPERATIONS
    }

    /// Removes the waiting claim with the latest deadline, if that deadline is after the given one.
    fn remove_later_claim(&mut self, deadline: Duration) -> Option<PendingOperation> {
        let (latest, id) = self.waiting_claims.last().copied()?;
        (latest > deadline).then(|| self.remove(id)).flatten()
    }

    /// Returns whether an operation may run: it is the first one of its workflow and, if it is a claim, the number of active claims
    /// is below its limit. A claim that may run becomes active.
    pub(crate) fn may_start(&mut self, id: u64) -> bool {
        let Some(pending) = self.pending.get(&id) else {
            return false;
        };
        if !self.is_first(pending.key, id) {
            return false;
        }
        let is_claim = matches!(pending.operation, Operation::Claim { .. });
        if !is_claim || self.active_claims.contains(&id) {
            return true;
        }
        if self.active_claims.len() >= MAX_CONCURRENT_CLAIMS {
            return false;
        }
        self.waiting_claims.remove(&(pending.deadline, id));
        self.active_claims.insert(id)
    }

    fn is_first(&self, key: RegisterKey, id: u64) -> bool {
        self.by_workflow.get(&key).and_then(VecDeque::front) == Some(&id)
    }

    /// Removes an operation from the queue, whether or not it has started.
    pub(crate) fn remove(&mut self, id: u64) -> Option<PendingOperation> {
        let pending = self.pending.remove(&id)?;
        self.background -= usize::from(pending.call.is_none());
        self.active_claims.remove(&id);
        self.waiting_claims.remove(&(pending.deadline, id));
        if let Some(queue) = self.by_workflow.get_mut(&pending.key) {
            queue.retain(|other| *other != id);
            if queue.is_empty() {
                self.by_workflow.remove(&pending.key);
            }
        }
        Some(pending)
    }

    /// Returns the operations to start after one on this workflow was removed: the next one of the workflow, and the waiting claim
    /// with the earliest deadline that is the first one of its workflow.
    pub(crate) fn next(&self, key: RegisterKey) -> Vec<u64> {
        let first = self.by_workflow.get(&key).and_then(VecDeque::front);
        let may_claim = self.active_claims.len() < MAX_CONCURRENT_CLAIMS;
        let claim = self
            .waiting_claims
            .iter()
            .map(|(_, id)| *id)
            .find(|id| may_claim && self.is_first_of_its_workflow(*id));
        first.copied().into_iter().chain(claim).collect()
    }

    fn is_first_of_its_workflow(&self, id: u64) -> bool {
        self.pending
            .get(&id)
            .is_some_and(|pending| self.is_first(pending.key, id))
    }

    /// Returns whether any operation on the workflow is pending.
    pub(crate) fn is_busy(&self, key: RegisterKey) -> bool {
        self.by_workflow.contains_key(&key)
    }
}
