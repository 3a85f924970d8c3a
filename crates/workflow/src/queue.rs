//! Questions in hand: one after the other for each workflow, and a bounded number of claims at a time, the nearest deadline
//! first, so that the workflows of a dead dispatcher are adopted without a storm.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bitternlatch_replicated_register::RegisterKey;

use crate::operation::{Operation, PendingOperation};

/// Questions in hand at a time.
const MAX_OPERATIONS: usize = 4096;
/// Of them those that nobody waits for any more.
const MAX_BACKGROUND_OPERATIONS: usize = 1024;
/// Questions about one workflow at a time.
const MAX_OPERATIONS_PER_WORKFLOW: usize = 8;
/// Claims that ask the register at a time.
const MAX_CONCURRENT_CLAIMS: usize = 32;
/// Claims that wait for that.
const MAX_WAITING_CLAIMS: usize = 1024;

#[derive(Debug, Default)]
pub(crate) struct Queue {
    count: u64,
    pub(crate) pending: BTreeMap<u64, PendingOperation>,
    silent: usize,
    lines: BTreeMap<RegisterKey, VecDeque<u64>>,
    claiming: BTreeSet<u64>,
    waiting: BTreeSet<(Duration, u64)>,
}

/// Whether a question was taken.
#[derive(Debug)]
pub(crate) enum Enqueued {
    Accepted(u64),
    /// Taken in place of another one, which has more time left and is refused.
    Replaced(u64, Box<PendingOperation>),
    Rejected(Box<PendingOperation>),
}

impl Queue {
    /// Puts a question at the end of its workflow's line.
    pub(crate) fn take(&mut self, pending: PendingOperation) -> Enqueued {
        let silent = pending.call.is_none();
        let line = self.lines.get(&pending.key).map_or(0, VecDeque::len);
        let full = if silent {
            self.silent >= MAX_BACKGROUND_OPERATIONS
        } else {
            line >= MAX_OPERATIONS_PER_WORKFLOW
        };
        if full || self.pending.len() >= MAX_OPERATIONS {
            return Enqueued::Rejected(Box::new(pending));
        }
        self.count += 1;
        let id = self.count;
        let mut instead = None;
        if matches!(pending.operation, Operation::Claim { .. }) {
            if self.waiting.len() >= MAX_WAITING_CLAIMS {
                match self.waiting.last().copied() {
                    Some((until, last)) if until > pending.until => {
                        instead = self.end(last).map(Box::new)
                    }
                    _ => return Enqueued::Rejected(Box::new(pending)),
                }
            }
            self.waiting.insert((pending.until, id));
        }
        self.silent += usize::from(silent);
        self.lines.entry(pending.key).or_default().push_back(id);
        self.pending.insert(id, pending);
        match instead {
            Some(other) => Enqueued::Replaced(id, other),
            None => Enqueued::Accepted(id),
        }
    }

    /// Whether it is this one's turn: the first of its line, and, of claims, one of those that may ask at a time.
    pub(crate) fn may_start(&mut self, id: u64) -> bool {
        let Some(pending) = self.pending.get(&id) else {
            return false;
        };
        if self.lines.get(&pending.key).and_then(VecDeque::front) != Some(&id) {
            return false;
        }
        if !matches!(pending.operation, Operation::Claim { .. }) || self.claiming.contains(&id) {
            return true;
        }
        if self.claiming.len() >= MAX_CONCURRENT_CLAIMS {
            return false;
        }
        self.waiting.remove(&(pending.until, id));
        self.claiming.insert(id)
    }

    /// Takes one out.
    pub(crate) fn end(&mut self, id: u64) -> Option<PendingOperation> {
        let pending = self.pending.remove(&id)?;
        self.silent -= usize::from(pending.call.is_none());
        self.claiming.remove(&id);
        self.waiting.remove(&(pending.until, id));
        if let Some(line) = self.lines.get_mut(&pending.key) {
            line.retain(|other| *other != id);
            if line.is_empty() {
                self.lines.remove(&pending.key);
            }
        }
        Some(pending)
    }

    /// Those that may start after one of this workflow has ended.
    pub(crate) fn next(&self, key: RegisterKey) -> Vec<u64> {
        let first = self.lines.get(&key).and_then(VecDeque::front).copied();
        let free = MAX_CONCURRENT_CLAIMS.saturating_sub(self.claiming.len());
        let line = |id: &u64| {
            self.pending
                .get(id)
                .and_then(|pending| self.lines.get(&pending.key))
        };
        let front = |id: &u64| line(id).and_then(VecDeque::front) == Some(id);
        let claims = self
            .waiting
            .iter()
            .map(|(_, id)| *id)
            .filter(front)
            .take(free.min(1));
        first.into_iter().chain(claims).collect()
    }

    /// Whether any question about a workflow is in hand.
    pub(crate) fn busy(&self, key: RegisterKey) -> bool {
        self.lines.contains_key(&key)
    }
}
