//! What this process knows of its own attempts: those that it let leave and that have not ended, and those whose intent may be
//! in a register though nobody was told to send it.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_quota_lease::Process;
use bitternlatch_replicated_register::RegisterKey;

use crate::step::Attempt;
use crate::step_transitions::LocalAttempt;

/// Attempts known at a time; intents beyond are refused as busy.
const MAX_ATTEMPTS: usize = 16 * 1024;
/// How long one is remembered for certain.
const ATTEMPT_RETENTION: Duration = Duration::from_secs(120);

#[derive(Clone, Debug)]
pub(crate) struct TrackedAttempt {
    pub step: u32,
    pub epoch: u64,
    pub sent: bool,
    /// Past it the attempt may be forgotten where there is no room. Until then one that was sent has its workflow carried for
    /// it without a word of the worker.
    pub until: Duration,
}

/// By workflow and number, in order.
#[derive(Debug)]
pub(crate) struct Attempts {
    own: Process,
    count: u64,
    known: BTreeMap<(RegisterKey, u64), TrackedAttempt>,
}

impl Attempts {
    pub(crate) fn new(own: Process) -> Attempts {
        Attempts {
            own,
            count: 0,
            known: BTreeMap::new(),
        }
    }

    /// A new attempt, which nobody was told to send yet; none where too many are known.
    pub(crate) fn open(
        &mut self,
        now: Duration,
        key: RegisterKey,
        step: u32,
        epoch: u64,
    ) -> Option<Attempt> {
        if self.known.len() >= MAX_ATTEMPTS {
            self.known.retain(|_, local| now < local.until);
        }
        if self.known.len() >= MAX_ATTEMPTS {
            return None;
        }
        self.count += 1;
        self.known.insert(
            (key, self.count),
            TrackedAttempt {
                step,
                epoch,
                sent: false,
                until: now + ATTEMPT_RETENTION,
            },
        );
        Some(Attempt {
            name: self.own.name.0,
            start: self.own.start,
            number: self.count,
        })
    }

    pub(crate) fn sent(&mut self, now: Duration, key: RegisterKey, attempt: Attempt) {
        if let Some(local) = self.known.get_mut(&(key, attempt.number)) {
            (local.sent, local.until) = (true, now + ATTEMPT_RETENTION);
        }
    }

    pub(crate) fn mine(&self, key: RegisterKey, attempt: Attempt) -> LocalAttempt {
        let own = attempt.name == self.own.name.0 && attempt.start == self.own.start;
        match self.known.get(&(key, attempt.number)).filter(|_| own) {
            Some(TrackedAttempt { sent: true, .. }) => LocalAttempt::Running,
            Some(_) => LocalAttempt::NeverSent,
            None => LocalAttempt::Unknown,
        }
    }

    fn of(&self, key: RegisterKey) -> impl DoubleEndedIterator<Item = (u64, &TrackedAttempt)> {
        self.known
            .range((key, 0)..=(key, u64::MAX))
            .map(|((_, number), local)| (*number, local))
    }

    /// The attempt whose end is told: the last one that left for this step under this epoch.
    pub(crate) fn latest_sent(&self, key: RegisterKey, step: u32, epoch: u64) -> Option<Attempt> {
        let is = |l: &TrackedAttempt| l.sent && l.step == step && l.epoch == epoch;
        let (number, _) = self.of(key).rev().find(|(_, l)| is(l))?;
        Some(Attempt {
            name: self.own.name.0,
            start: self.own.start,
            number,
        })
    }

    /// The epoch under which the workflow is to be carried for an attempt that is under way.
    pub(crate) fn active_epoch(&self, now: Duration, key: RegisterKey) -> Option<u64> {
        self.of(key)
            .filter(|(_, l)| l.sent && now < l.until)
            .map(|(_, l)| l.epoch)
            .max()
    }

    /// The workflow is not this one's to carry any more; the attempt's end is still of use.
    pub(crate) fn fence(&mut self, key: RegisterKey, epoch: u64) {
        let known = self.known.range_mut((key, 0)..=(key, u64::MAX));
        known
            .filter(|(_, l)| l.epoch == epoch)
            .for_each(|(_, l)| l.until = Duration::ZERO);
    }

    /// It has ended, and the register says so, or nobody will ask any more.
    pub(crate) fn close(&mut self, key: RegisterKey, attempt: Attempt) {
        self.known.remove(&(key, attempt.number));
    }

    /// The workflow is over.
    pub(crate) fn close_all(&mut self, key: RegisterKey) {
        let numbers: Vec<u64> = self.of(key).map(|(number, _)| number).collect();
        for number in numbers {
            self.known.remove(&(key, number));
        }
    }
}
