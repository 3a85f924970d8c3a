//! This process's own attempts: those that it permitted to be sent and that have not ended, and those whose intent may be in a
//! register though they were never sent.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_quota_lease::Process;
use bitternlatch_replicated_register::RegisterKey;

use crate::step::Attempt;
use crate::step_transitions::LocalAttempt;

/// Attempts known at a time; intents beyond them are rejected as busy.
const MAX_ATTEMPTS: usize = 16 * 1024;
/// How long an attempt is known for certain.
const ATTEMPT_RETENTION: Duration = Duration::from_secs(120);

#[derive(Clone, Debug)]
struct TrackedAttempt {
    step: u32,
    epoch: u64,
    sent: bool,
    /// Past it the attempt may be forgotten where there is no capacity. Until then the lease of its workflow is renewed for one that
    /// was sent.
    retained_until: Duration,
}

/// Attempts by workflow and number, in order.
#[derive(Debug)]
pub(crate) struct Attempts {
    own: Process,
    last_number: u64,
    tracked: BTreeMap<(RegisterKey, u64), TrackedAttempt>,
}

impl Attempts {
    pub(crate) fn new(own: Process) -> Attempts {
        Attempts {
            own,
            last_number: 0,
            tracked: BTreeMap::new(),
        }
    }

    fn attempt(&self, number: u64) -> Attempt {
        Attempt {
            name: self.own.name.0,
            start: self.own.start,
            number,
        }
    }

    /// A new attempt that was not sent; none where too many are known.
    pub(crate) fn open(
        &mut self,
        now: Duration,
        key: RegisterKey,
        step: u32,
        epoch: u64,
    ) -> Option<Attempt> {
        if self.tracked.len() >= MAX_ATTEMPTS {
            self.tracked
                .retain(|_, tracked| now < tracked.retained_until);
        }
        if self.tracked.len() >= MAX_ATTEMPTS {
            return None;
        }
        self.last_number += 1;
        let tracked = TrackedAttempt {
            step,
            epoch,
            sent: false,
            retained_until: now + ATTEMPT_RETENTION,
        };
        self.tracked.insert((key, self.last_number), tracked);
        Some(self.attempt(self.last_number))
    }

    /// The attempt may be sent.
    pub(crate) fn sent(&mut self, now: Duration, key: RegisterKey, attempt: Attempt) {
        if let Some(tracked) = self.tracked.get_mut(&(key, attempt.number)) {
            tracked.sent = true;
            tracked.retained_until = now + ATTEMPT_RETENTION;
        }
    }

    /// What this process knows of an attempt.
    pub(crate) fn local_attempt(&self, key: RegisterKey, attempt: Attempt) -> LocalAttempt {
        if attempt != self.attempt(attempt.number) {
            return LocalAttempt::Unknown;
        }
        match self.tracked.get(&(key, attempt.number)) {
            Some(tracked) if tracked.sent => LocalAttempt::Running,
            Some(_) => LocalAttempt::NeverSent,
            None => LocalAttempt::Unknown,
        }
    }

    fn of_workflow(
        &self,
        key: RegisterKey,
    ) -> impl DoubleEndedIterator<Item = (u64, &TrackedAttempt)> {
        self.tracked
            .range((key, 0)..=(key, u64::MAX))
            .map(|((_, number), tracked)| (*number, tracked))
    }

    /// The attempt whose outcome is reported: the last one that was sent for this step under this epoch.
    pub(crate) fn latest_sent(&self, key: RegisterKey, step: u32, epoch: u64) -> Option<Attempt> {
        let is_reported = |tracked: &TrackedAttempt| {
            tracked.sent && tracked.step == step && tracked.epoch == epoch
        };
        let (number, _) = self
            .of_workflow(key)
            .rev()
            .find(|(_, tracked)| is_reported(tracked))?;
        Some(self.attempt(number))
    }

    /// The epoch under which the workflow's lease is to be renewed for an attempt in flight.
    pub(crate) fn active_epoch(&self, now: Duration, key: RegisterKey) -> Option<u64> {
        self.of_workflow(key)
            .filter(|(_, tracked)| tracked.sent && now < tracked.retained_until)
            .map(|(_, tracked)| tracked.epoch)
            .max()
    }

    /// The lease is not renewed any more; the attempt's outcome is still of use.
    pub(crate) fn fence(&mut self, key: RegisterKey, epoch: u64) {
        let of_workflow = self.tracked.range_mut((key, 0)..=(key, u64::MAX));
        for (_, tracked) in of_workflow {
            if tracked.epoch == epoch {
                tracked.retained_until = Duration::ZERO;
            }
        }
    }

    /// The attempt has ended and the register states so, or nobody will ask for it any more.
    pub(crate) fn close(&mut self, key: RegisterKey, attempt: Attempt) {
        self.tracked.remove(&(key, attempt.number));
    }

    /// The workflow has ended.
    pub(crate) fn close_all(&mut self, key: RegisterKey) {
        let numbers: Vec<u64> = self.of_workflow(key).map(|(number, _)| number).collect();
        for number in numbers {
            self.tracked.remove(&(key, number));
        }
    }
}
