//! Attempts made by this process: those in flight, and those that were never sent although a register may hold their intent.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_quota_lease::Process;
use bitternlatch_replicated_register::RegisterKey;

use crate::step::Attempt;
use crate::step_transitions::LocalAttempt;

/// Maximum number of tracked attempts; further intents are rejected as busy.
const MAX_ATTEMPTS: usize = 16 * 1024;
/// Time for which an attempt is tracked even if the table is full.
const ATTEMPT_RETENTION: Duration = Duration::from_secs(120);

#[derive(Clone, Debug)]
struct TrackedAttempt {
    step: u32,
    epoch: u64,
    /// A dispatch permit was given, so the request may have been sent.
    sent: bool,
    /// After this time the attempt may be dropped if the table is full. Before it, an attempt that may have been sent keeps the
    /// lease of its workflow renewed.
    retained_until: Duration,
}

/// Table of the tracked attempts, keyed by workflow and attempt number.
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

    /// Starts to track a new attempt, not sent yet. Returns `None` if the table is full.
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

    /// Marks an attempt as one that may be sent.
    pub(crate) fn mark_sent(&mut self, now: Duration, key: RegisterKey, attempt: Attempt) {
        if let Some(tracked) = self.tracked.get_mut(&(key, attempt.number)) {
            tracked.sent = true;
            tracked.retained_until = now + ATTEMPT_RETENTION;
        }
    }

    /// Returns what this process knows of an attempt.
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

    /// Returns the attempt that an outcome report is about: the latest one sent for this step under this epoch.
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

    /// Returns the epoch under which the workflow's lease is renewed on behalf of an attempt in flight; `None` if there is no such
    /// attempt.
    pub(crate) fn active_epoch(&self, now: Duration, key: RegisterKey) -> Option<u64> {
        self.of_workflow(key)
            .filter(|(_, tracked)| tracked.sent && now < tracked.retained_until)
            .map(|(_, tracked)| tracked.epoch)
            .max()
    }

    /// Stops renewing the lease for attempts under this epoch. They stay tracked, as their outcome can still be reported.
    pub(crate) fn fence(&mut self, key: RegisterKey, epoch: u64) {
        let of_workflow = self.tracked.range_mut((key, 0)..=(key, u64::MAX));
        for (_, tracked) in of_workflow {
            if tracked.epoch == epoch {
                tracked.retained_until = Duration::ZERO;
            }
        }
    }

    /// Stops tracking an attempt whose outcome is stored in the register or is not needed any more.
    pub(crate) fn close(&mut self, key: RegisterKey, attempt: Attempt) {
        self.tracked.remove(&(key, attempt.number));
    }

    /// Stops tracking all attempts of a workflow, as it has ended.
    pub(crate) fn close_all(&mut self, key: RegisterKey) {
        let numbers: Vec<u64> = self.of_workflow(key).map(|(number, _)| number).collect();
        for number in numbers {
            self.tracked.remove(&(key, number));
        }
    }
}
