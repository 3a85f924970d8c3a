//! Questions in hand: one after the other for each workflow, and a bounded number of claims at a time, the nearest deadline
//! first, so that the workflows of a dead dispatcher are adopted without a storm.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bitternlatch_replicated_register::RegisterKey;

use crate::job::{Act, Job};

/// Questions in hand at a time.
const JOBS_MOST: usize = 4096;
/// Of them those that nobody waits for any more.
const SILENT_MOST: usize = 1024;
/// Questions about one workflow at a time.
const ONE_MOST: usize = 8;
/// Claims that ask the register at a time.
const CLAIMS_AT_ONCE: usize = 32;
/// Claims that wait for that.
const CLAIMS_WAITING: usize = 1024;

#[derive(Debug, Default)]
pub(crate) struct Queue {
    count: u64,
    pub(crate) jobs: BTreeMap<u64, Job>,
    silent: usize,
    lines: BTreeMap<RegisterKey, VecDeque<u64>>,
    claiming: BTreeSet<u64>,
    waiting: BTreeSet<(Duration, u64)>,
}

/// Whether a question was taken.
#[derive(Debug)]
pub(crate) enum Taken {
    Yes(u64),
    /// Taken in place of another one, which has more time left and is refused.
    Instead(u64, Box<Job>),
    No(Box<Job>),
}

impl Queue {
    /// Puts a question at the end of its workflow's line.
    pub(crate) fn take(&mut self, job: Job) -> Taken {
        let silent = job.call.is_none();
        let line = self.lines.get(&job.key).map_or(0, VecDeque::len);
        let full = if silent {
            self.silent >= SILENT_MOST
        } else {
            line >= ONE_MOST
        };
        if full || self.jobs.len() >= JOBS_MOST {
            return Taken::No(Box::new(job));
        }
        self.count += 1;
        let id = self.count;
        let mut instead = None;
        if matches!(job.act, Act::Claim { .. }) {
            if self.waiting.len() >= CLAIMS_WAITING {
                match self.waiting.last().copied() {
                    Some((until, last)) if until > job.until => {
                        instead = self.end(last).map(Box::new)
                    }
                    _ => return Taken::No(Box::new(job)),
                }
            }
            self.waiting.insert((job.until, id));
        }
        self.silent += usize::from(silent);
        self.lines.entry(job.key).or_default().push_back(id);
        self.jobs.insert(id, job);
        match instead {
            Some(other) => Taken::Instead(id, other),
            None => Taken::Yes(id),
        }
    }

    /// Whether it is this one's turn: the first of its line, and, of claims, one of those that may ask at a time.
    pub(crate) fn may_start(&mut self, id: u64) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        if self.lines.get(&job.key).and_then(VecDeque::front) != Some(&id) {
            return false;
        }
        if !matches!(job.act, Act::Claim { .. }) || self.claiming.contains(&id) {
            return true;
        }
        if self.claiming.len() >= CLAIMS_AT_ONCE {
            return false;
        }
        self.waiting.remove(&(job.until, id));
        self.claiming.insert(id)
    }

    /// Takes one out.
    pub(crate) fn end(&mut self, id: u64) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.silent -= usize::from(job.call.is_none());
        self.claiming.remove(&id);
        self.waiting.remove(&(job.until, id));
        if let Some(line) = self.lines.get_mut(&job.key) {
            line.retain(|other| *other != id);
            if line.is_empty() {
                self.lines.remove(&job.key);
            }
        }
        Some(job)
    }

    /// Those that may start after one of this workflow has ended.
    pub(crate) fn next(&self, key: RegisterKey) -> Vec<u64> {
        let first = self.lines.get(&key).and_then(VecDeque::front).copied();
        let free = CLAIMS_AT_ONCE.saturating_sub(self.claiming.len());
        let line = |id: &u64| self.jobs.get(id).and_then(|job| self.lines.get(&job.key));
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
