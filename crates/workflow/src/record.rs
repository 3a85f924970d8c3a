//! The value of one workflow's register: who carries it under which epoch, its steps, its limits. Pure transitions: each
//! says whether the value is to be written, and what is answered once it is.

use bitternlatch_membership::NameKey;
use serde::{Deserialize, Serialize};

use crate::context::Context;
use crate::error::WorkflowError;
use crate::io::{RejectReason, Settings, Step};
use crate::step::{cut, Attempt, StepRecord, StepState, MAX_NAME_BYTES};
use crate::step_transitions::LocalAttempt;

/// First byte of an encoded record.
const VERSION: u8 = 1;
/// Bytes of an encoded record at the most: far below what a frame carries.
pub const MAX_RECORD_BYTES: usize = 48 * 1024;
/// Closed steps that are kept whole; older ones are compacted.
pub const MAX_UNCOMPACTED_STEPS: usize = 6;
/// Workers that may die over one step.
pub const MAX_WORKER_DEATHS: u32 = 3;
/// Bytes of the last result that a finished workflow leaves behind.
const MAX_FINAL_RESULT_BYTES: usize = 1024;

/// How a workflow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    Finished,
    Cancelled,
    /// Its time was over.
    Expired,
}

/// Where a workflow stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    Open,
    /// An unsafe step may have run; a person has to decide.
    Unsettled,
    /// It killed its workers; a person has to decide.
    Parked,
    Ended(Outcome),
}

/// What of the rules is kept. All of it, but where it is to be shown that the judge notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[doc(hidden)]
pub struct SafetyChecks {
    /// Older epochs are refused, and a permission to send ends by time.
    pub fencing: bool,
    /// An effect leaves when a majority holds its intent, not before.
    pub majority_first: bool,
}

impl SafetyChecks {
    /// As this crate is built.
    pub const AS_BUILT: SafetyChecks = SafetyChecks {
        fencing: !cfg!(feature = "without-fencing"),
        majority_first: !cfg!(feature = "before-majority"),
    };
}

/// Limits of one workflow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub steps: u32,
    pub bytes: u64,
    pub tokens: u64,
    pub lasts_us: u64,
}

impl Limits {
    pub(crate) fn of(settings: &Settings) -> Limits {
        Limits {
            steps: settings.steps,
            bytes: settings.bytes,
            tokens: settings.tokens,
            lasts_us: micros(settings.lasts_s),
        }
    }
}

/// Microseconds of seconds in a file; nonsense counts as none.
pub(crate) fn micros(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6) as u64
}

/// What is answered once the record is written, or at once where nothing is to be written.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Claimed,
    SendPermitted,
    AlreadyDone(String),
    Committed,
    Rejected(RejectReason),
}

/// What has to be said once, when the record that says so is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    Unsettled {
        step: u32,
        key: String,
    },
    Parked {
        step: u32,
    },
    /// A step that nobody knew the fate of is known now.
    Resolved {
        step: u32,
    },
    DuplicateResult {
        step: u32,
    },
    Expired,
}

/// One transition's end.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    pub write: bool,
    pub answer: Reply,
    pub notice: Option<Notice>,
}

impl Transition {
    pub(crate) fn write(answer: Reply) -> Transition {
        Transition {
            write: true,
            answer,
            notice: None,
        }
    }

    pub(crate) fn without_write(answer: Reply) -> Transition {
        Transition {
            write: false,
            answer,
            notice: None,
        }
    }

    pub(crate) fn rejected(why: RejectReason) -> Transition {
        Transition::without_write(Reply::Rejected(why))
    }

    pub(crate) fn with_notice(self, notice: Notice) -> Transition {
        Transition {
            notice: Some(notice),
            ..self
        }
    }
}

/// Who wants to carry a workflow, and what its dispatcher knows.
#[derive(Clone, Debug)]
pub struct Claim<'a> {
    pub worker: &'a str,
    pub holder: NameKey,
    pub lease_us: u64,
    /// The lease in the record was seen here, without a word, for longer than it lasts.
    pub dead: bool,
    /// What this process knows of the open step's attempt.
    pub mine: LocalAttempt,
}

/// One workflow.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    pub(crate) name: String,
    pub(crate) state: State,
    pub(crate) epoch: u64,
    pub(crate) worker: String,
    pub(crate) holder: NameKey,
    /// Raised by each word of who carries it; others date it from when they first see it.
    pub(crate) lease: u64,
    pub(crate) lease_us: u64,
    /// Time that those who wrote it saw go by: never more than its age.
    pub(crate) age_us: u64,
    /// Workers that died since a step was last done.
    pub(crate) deaths: u32,
    pub(crate) bytes: u64,
    pub(crate) tokens: u64,
    pub(crate) context: Context,
    pub(crate) steps: Vec<StepRecord>,
}

impl Record {
    /// A workflow that nobody has begun, under its first epoch.
    pub fn begin(name: &str, by: &Claim) -> Record {
        Record {
            name: cut(name, MAX_NAME_BYTES),
            state: State::Open,
            epoch: 1,
            worker: by.worker.to_string(),
            holder: by.holder,
            lease: 1,
            lease_us: by.lease_us,
            age_us: 0,
            deaths: 0,
            bytes: 0,
            tokens: 0,
            context: Context::default(),
            steps: vec![],
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn holder(&self) -> NameKey {
        self.holder
    }

    /// The lease's counter, and its length in microseconds.
    pub fn lease(&self) -> (u64, u64) {
        (self.lease, self.lease_us)
    }

    /// Steps that are done or left out.
    pub fn closed(&self) -> u32 {
        self.context.steps() + self.steps.iter().filter(|e| e.closed()).count() as u32
    }

    /// For who claims it: the compacted steps as one text, the others one by one.
    pub fn summary(&self) -> (String, Vec<Step>) {
        (
            self.context.text(),
            self.steps.iter().map(StepRecord::summary).collect(),
        )
    }

    /// Adds what its writer saw go by since the word before. Gives whether its time is over.
    pub fn age(&mut self, seen_us: u64, limits: &Limits) -> bool {
        self.age_us = self.age_us.saturating_add(seen_us);
        self.age_us >= limits.lasts_us
    }

    /// Why nothing can be done with it now, if so.
    pub(crate) fn reject_reason(&self) -> Option<RejectReason> {
        match self.state {
            State::Open => None,
            State::Unsettled => Some(RejectReason::Unsettled),
            State::Parked => Some(RejectReason::Parked),
            State::Ended(_) => Some(RejectReason::Ended),
        }
    }

    /// A word of who carries it: others begin to wait anew.
    pub(crate) fn advance_lease(&mut self) {
        self.lease = self.lease.wrapping_add(1);
    }

    /// The attempt at the open step that runs, or may have run.
    pub fn open_attempt(&self) -> Option<Attempt> {
        self.steps.last().and_then(StepRecord::attempt)
    }

    pub(crate) fn open_step(&mut self) -> Option<&mut StepRecord> {
        self.steps.last_mut().filter(|e| !e.closed())
    }

    /// A worker takes it over, or comes back to its own. Each time the epoch rises.
    pub fn claim(&mut self, by: &Claim) -> Transition {
        if let Some(why) = self.reject_reason() {
            return Transition::rejected(why);
        }
        let own = self.worker == by.worker;
        if !own && !by.dead && !self.worker.is_empty() {
            return Transition::rejected(RejectReason::LeaseHeld);
        }
        if !own && !self.worker.is_empty() {
            self.deaths += 1;
        }
        if self.deaths >= MAX_WORKER_DEATHS {
            self.state = State::Parked;
            let step = self.closed().saturating_add(1);
            return Transition::write(Reply::Rejected(RejectReason::Parked))
                .with_notice(Notice::Parked { step });
        }
        if let Some(notice) = self.release_attempt(by.mine) {
            return Transition::write(Reply::Rejected(RejectReason::Unsettled)).with_notice(notice);
        }
        self.epoch += 1;
        self.worker = by.worker.to_string();
        self.holder = by.holder;
        self.lease_us = by.lease_us;
        self.advance_lease();
        Transition::write(Reply::Claimed)
    }

    /// The open step's attempt belongs to nobody any more, but for one that this very process has under way: its end is heard.
    fn release_attempt(&mut self, mine: LocalAttempt) -> Option<Notice> {
        let open = self.open_step()?;
        let attempt = open.attempt()?;
        match mine {
            LocalAttempt::Running => return None,
            LocalAttempt::NeverSent if !open.earlier => open.stage = StepState::Planned,
            LocalAttempt::NeverSent | LocalAttempt::Unknown => {
                open.stage = StepState::MayHaveRun { attempt }
            }
        }
        self.mark_unsettled()
    }

    /// Stops where the open step is unsafe and may have run.
    pub(crate) fn mark_unsettled(&mut self) -> Option<Notice> {
        let open = self.open_step()?;
        if open.effect != crate::io::Effect::Unsafe
            || !matches!(open.stage, StepState::MayHaveRun { .. })
        {
            return None;
        }
        let notice = Notice::Unsettled {
            step: open.number,
            key: open.key.clone(),
        };
        self.state = State::Unsettled;
        Some(notice)
    }

    /// The worker is alive and goes on.
    pub fn renew_lease(&mut self, epoch: u64, safety_checks: SafetyChecks) -> Transition {
        if let Some(why) = self.reject_reason() {
            return Transition::rejected(why);
        }
        if safety_checks.fencing && epoch != self.epoch {
            return Transition::rejected(RejectReason::Fenced);
        }
        self.advance_lease();
        Transition::write(Reply::Committed)
    }

    /// Done, or cancelled. A finished one has no step open that may have changed the world; a cancelled one may.
    pub fn finish(
        &mut self,
        epoch: u64,
        cancelled: bool,
        safety_checks: SafetyChecks,
    ) -> Transition {
        if let State::Ended(outcome) = self.state {
            let same = outcome
                == if cancelled {
                    Outcome::Cancelled
                } else {
                    Outcome::Finished
                };
            return match same && epoch == self.epoch {
                true => Transition::without_write(Reply::Committed),
                false => Transition::rejected(RejectReason::Ended),
            };
        }
        if safety_checks.fencing && epoch != self.epoch {
            return Transition::rejected(RejectReason::Fenced);
        }
        if !cancelled {
            if let Some(why) = self.reject_reason() {
                return Transition::rejected(why);
            }
            let changes =
                |e: &&mut StepRecord| e.attempt().is_some() && e.effect != crate::io::Effect::Safe;
            if self.open_step().filter(changes).is_some() {
                return Transition::rejected(RejectReason::Unknown);
            }
        }
        self.end(if cancelled {
            Outcome::Cancelled
        } else {
            Outcome::Finished
        });
        Transition::write(Reply::Committed)
    }

    /// Its time is over.
    pub fn expire(&mut self) -> Transition {
        if matches!(self.state, State::Ended(_)) {
            return Transition::rejected(RejectReason::Ended);
        }
        self.end(Outcome::Expired);
        Transition::write(Reply::Rejected(RejectReason::Limit)).with_notice(Notice::Expired)
    }

    /// All is let go of but how it ended, how many steps it had, and the end of its last result.
    fn end(&mut self, outcome: Outcome) {
        let last = self.steps.iter().rev().find_map(|e| match &e.stage {
            StepState::Done { .. } => Some(e.clone()),
            _ => None,
        });
        self.state = State::Ended(outcome);
        self.context = Context::default();
        self.steps.clear();
        self.worker.clear();
        self.advance_lease();
        if let Some(mut last) = last {
            if let StepState::Done { result, .. } = &mut last.stage {
                *result = cut(result, MAX_FINAL_RESULT_BYTES);
            }
            last.late.clear();
            self.steps.push(last);
        }
    }

    /// Compacts what is long done.
    pub(crate) fn compact(&mut self) {
        while self.steps.iter().filter(|e| e.closed()).count() > MAX_UNCOMPACTED_STEPS {
            let oldest = self.steps.remove(0);
            self.context.append_step(&oldest);
        }
    }

    /// As the register holds it.
    ///
    /// # Errors
    /// [`WorkflowError::TooLong`] past [`MAX_RECORD_BYTES`]: not reached by any record that these transitions make.
    pub fn encode(&self) -> Result<Vec<u8>, WorkflowError> {
        let bytes =
            postcard::to_extend(self, vec![VERSION]).map_err(|_| WorkflowError::Unreadable)?;
        match bytes.len() <= MAX_RECORD_BYTES {
            true => Ok(bytes),
            false => Err(WorkflowError::TooLong),
        }
    }

    /// Reads it back.
    ///
    /// # Errors
    /// Where it is longer than any, of another version, or not a record.
    pub fn decode(bytes: &[u8]) -> Result<Record, WorkflowError> {
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(WorkflowError::TooLong);
        }
        let (version, rest) = bytes.split_first().ok_or(WorkflowError::Unreadable)?;
        if *version != VERSION {
            return Err(WorkflowError::OtherVersion);
        }
        match postcard::take_from_bytes::<Record>(rest) {
            Ok((record, [])) => Ok(record),
            _ => Err(WorkflowError::Unreadable),
        }
    }
}
