//! Pending operations: one after the other for each workflow, and a bounded number of claims at a time, the nearest deadline first,
//! so that the workflows of a dead dispatcher are taken over without overloading the register.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bitternlatch_replicated_register::RegisterKey;

use crate::operation::{Operation, PendingOperation};

/// Pending operations at a time.
const MAX_OPERATIONS: usize = 4096;
/// Of them those that nobody waits for.
const MAX_BACKGROUND_OPERATIONS: usize = 1024;
/// Operations on one workflow that somebody waits for.
const MAX_OPERATIONS_PER_WORKFLOW: usize = 8;
/// Claims that use the register at a time.
const MAX_CONCURRENT_CLAIMS: usize = 32;
/// Claims that wait for that.
const MAX_WAITING_CLAIMS: usize = 1024;

/// All pending operations, by number.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    last_id: u64,
    pending: BTreeMap<u64, PendingOperation>,
    /// Operations that nobody waits for.
    background: usize,
    /// Numbers by workflow, in order; the first of each has its turn.
    by_workflow: BTreeMap<RegisterKey, VecDeque<u64>>,
    /// Claims that use the register.
    active_claims: BTreeSet<u64>,
    /// Claims that wait, by deadline.
    waiting_claims: BTreeSet<(Duration, u64)>,
}

/// Whether an operation was enqueued.
#[derive(Debug)]
pub(crate) enum Enqueued {
    /// Under this number.
    Accepted(u64),
    /// Under this number, in place of another one with a later deadline.
    Replaced(u64, Box<PendingOperation>),
    /// Too many are pending.
    Rejected(Box<PendingOperation>),
}

impl Queue {
    pub(crate) fn get(&self, id: u64) -> Option<&PendingOperation> {
        self.pending.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: u64) -> Option<&mut PendingOperation> {
        self.pending.get_mut(&id)
    }

    /// Appends an operation to its workflow's queue.
    pub(crate) fn enqueue(&mut self, pending: PendingOperation) -> Enqueued {
        let is_claim = matches!(pending.operation, Operation::Claim { .. });
        if self.is_full_for(&pending) {
            return Enqueued::Rejected(Box::new(pending));
        }
        // A number is used up whether or not the operation is enqueued: the jitter of later ones depends on it.
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

    fn is_full_for(&self, pending: &PendingOperation) -> bool {
        let is_share_full = match pending.call {
            None => self.background >= MAX_BACKGROUND_OPERATIONS,
            Some(_) => {
                let queue = self.by_workflow.get(&pending.key);
                queue.map_or(0, VecDeque::len) >= MAX_OPERATIONS_PER_WORKFLOW
            }
        };
        is_share_full || self.pending.len() >= MAX_OPERATIONS
    }

    /// Removes the waiting claim with the latest deadline, if that is after the given one.
    fn remove_later_claim(&mut self, deadline: Duration) -> Option<PendingOperation> {
        let (latest, id) = self.waiting_claims.last().copied()?;
        (latest > deadline).then(|| self.remove(id)).flatten()
    }

    /// Whether an operation has its turn: the first of its workflow, and, of claims, one of those that may use the register.
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

    /// Removes an operation.
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

    /// Operations that may start after one of this workflow was removed: the workflow's next one, and a claim that waits.
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

    /// Whether any operation on a workflow is pending.
    pub(crate) fn is_busy(&self, key: RegisterKey) -> bool {
        self.by_workflow.contains_key(&key)
    }
}
