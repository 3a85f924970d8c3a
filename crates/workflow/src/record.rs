//! The value of one workflow's register: who carries it under which epoch, its steps, its limits. Pure transitions: each
//! says whether the value is to be written, and what is answered once it is.

use bitternlatch_membership::NameKey;
use serde::{Deserialize, Serialize};

use crate::context::Context;
use crate::error::WorkflowError;
use crate::io::{Refusal, Settings, Step};
use crate::step::{cut, Attempt, Entry, Stage, NAME_MOST};
use crate::turns::Mine;

/// First byte of an encoded record.
const VERSION: u8 = 1;
/// Bytes of an encoded record at the most: far below what a frame carries.
pub const RECORD_MOST: usize = 48 * 1024;
/// Closed steps that are kept whole; older ones are compacted.
pub const WHOLE_MOST: usize = 6;
/// Workers that may die over one step.
pub const DEATHS_MOST: u32 = 3;
/// Bytes of the last result that a finished workflow leaves behind.
const LEFT_MOST: usize = 1024;

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
    Over(Outcome),
}

/// What of the rules is kept. All of it, but where it is to be shown that the judge notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[doc(hidden)]
pub struct Guards {
    /// Older epochs are refused, and a permission to send ends by time.
    pub fencing: bool,
    /// An effect leaves when a majority holds its intent, not before.
    pub majority_first: bool,
}

impl Guards {
    /// As this crate is built.
    pub const BUILT: Guards = Guards {
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
pub enum Answer {
    Claimed,
    Go,
    Known(String),
    Held,
    Refused(Refusal),
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
    Known {
        step: u32,
    },
    TwoResults {
        step: u32,
    },
    Expired,
}

/// One transition's end.
#[derive(Clone, Debug, PartialEq)]
pub struct Turn {
    pub write: bool,
    pub answer: Answer,
    pub notice: Option<Notice>,
}

impl Turn {
    pub(crate) fn write(answer: Answer) -> Turn {
        Turn {
            write: true,
            answer,
            notice: None,
        }
    }

    pub(crate) fn as_it_is(answer: Answer) -> Turn {
        Turn {
            write: false,
            answer,
            notice: None,
        }
    }

    pub(crate) fn refused(why: Refusal) -> Turn {
        Turn::as_it_is(Answer::Refused(why))
    }

    pub(crate) fn noting(self, notice: Notice) -> Turn {
        Turn {
            notice: Some(notice),
            ..self
        }
    }
}

/// Who wants to carry a workflow, and what its dispatcher knows.
#[derive(Clone, Debug)]
pub struct Claimant<'a> {
    pub worker: &'a str,
    pub holder: NameKey,
    pub lease_us: u64,
    /// The lease in the record was seen here, without a word, for longer than it lasts.
    pub dead: bool,
    /// What this process knows of the open step's attempt.
    pub mine: Mine,
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
    pub(crate) aged_us: u64,
    /// Workers that died since a step was last done.
    pub(crate) deaths: u32,
    pub(crate) bytes: u64,
    pub(crate) tokens: u64,
    pub(crate) context: Context,
    pub(crate) steps: Vec<Entry>,
}

impl Record {
    /// A workflow that nobody has begun, under its first epoch.
    pub fn begin(name: &str, by: &Claimant) -> Record {
        Record {
            name: cut(name, NAME_MOST),
            state: State::Open,
            epoch: 1,
            worker: by.worker.to_string(),
            holder: by.holder,
            lease: 1,
            lease_us: by.lease_us,
            aged_us: 0,
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
    pub fn shown(&self) -> (String, Vec<Step>) {
        (
            self.context.text(),
            self.steps.iter().map(Entry::shown).collect(),
        )
    }

    /// Adds what its writer saw go by since the word before. Gives whether its time is over.
    pub fn age(&mut self, seen_us: u64, limits: &Limits) -> bool {
        self.aged_us = self.aged_us.saturating_add(seen_us);
        self.aged_us >= limits.lasts_us
    }

    /// Why nothing can be done with it now, if so.
    pub(crate) fn closed_to(&self) -> Option<Refusal> {
        match self.state {
            State::Open => None,
            State::Unsettled => Some(Refusal::Unsettled),
            State::Parked => Some(Refusal::Parked),
            State::Over(_) => Some(Refusal::Ended),
        }
    }

    /// A word of who carries it: others begin to wait anew.
    pub(crate) fn word(&mut self) {
        self.lease = self.lease.wrapping_add(1);
    }

    /// The attempt at the open step that runs, or may have run.
    pub fn open_attempt(&self) -> Option<Attempt> {
        self.steps.last().and_then(Entry::attempt)
    }

    pub(crate) fn open_step(&mut self) -> Option<&mut Entry> {
        self.steps.last_mut().filter(|e| !e.closed())
    }

    /// A worker takes it over, or comes back to its own. Each time the epoch rises.
    pub fn claim(&mut self, by: &Claimant) -> Turn {
        if let Some(why) = self.closed_to() {
            return Turn::refused(why);
        }
        let own = self.worker == by.worker;
        if !own && !by.dead && !self.worker.is_empty() {
            return Turn::refused(Refusal::Carried);
        }
        if !own && !self.worker.is_empty() {
            self.deaths += 1;
        }
        if self.deaths >= DEATHS_MOST {
            self.state = State::Parked;
            let step = self.closed().saturating_add(1);
            return Turn::write(Answer::Refused(Refusal::Parked)).noting(Notice::Parked { step });
        }
        if let Some(notice) = self.orphan(by.mine) {
            return Turn::write(Answer::Refused(Refusal::Unsettled)).noting(notice);
        }
        self.epoch += 1;
        self.worker = by.worker.to_string();
        self.holder = by.holder;
        self.lease_us = by.lease_us;
        self.word();
        Turn::write(Answer::Claimed)
    }

    /// The open step's attempt belongs to nobody any more, but for one that this very process has under way: its end is heard.
    fn orphan(&mut self, mine: Mine) -> Option<Notice> {
        let open = self.open_step()?;
        let attempt = open.attempt()?;
        match mine {
            Mine::Running => return None,
            Mine::NeverSent if !open.earlier => open.stage = Stage::Planned,
            Mine::NeverSent | Mine::Unknown => open.stage = Stage::MayHaveRun { attempt },
        }
        self.unsettle()
    }

    /// Stops where the open step is unsafe and may have run.
    pub(crate) fn unsettle(&mut self) -> Option<Notice> {
        let open = self.open_step()?;
        if open.effect != crate::io::Effect::Unsafe
            || !matches!(open.stage, Stage::MayHaveRun { .. })
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
    pub fn carry(&mut self, epoch: u64, guards: Guards) -> Turn {
        if let Some(why) = self.closed_to() {
            return Turn::refused(why);
        }
        if guards.fencing && epoch != self.epoch {
            return Turn::refused(Refusal::Fenced);
        }
        self.word();
        Turn::write(Answer::Held)
    }

    /// Done, or cancelled. A finished one has no step open that may have changed the world; a cancelled one may.
    pub fn finish(&mut self, epoch: u64, cancelled: bool, guards: Guards) -> Turn {
        if let State::Over(outcome) = self.state {
            let same = outcome
                == if cancelled {
                    Outcome::Cancelled
                } else {
                    Outcome::Finished
                };
            return match same && epoch == self.epoch {
                true => Turn::as_it_is(Answer::Held),
                false => Turn::refused(Refusal::Ended),
            };
        }
        if guards.fencing && epoch != self.epoch {
            return Turn::refused(Refusal::Fenced);
        }
        if !cancelled {
            if let Some(why) = self.closed_to() {
                return Turn::refused(why);
            }
            let changes =
                |e: &&mut Entry| e.attempt().is_some() && e.effect != crate::io::Effect::Safe;
            if self.open_step().filter(changes).is_some() {
                return Turn::refused(Refusal::Unknown);
            }
        }
        self.end(if cancelled {
            Outcome::Cancelled
        } else {
            Outcome::Finished
        });
        Turn::write(Answer::Held)
    }

    /// Its time is over.
    pub fn expire(&mut self) -> Turn {
        if matches!(self.state, State::Over(_)) {
            return Turn::refused(Refusal::Ended);
        }
        self.end(Outcome::Expired);
        Turn::write(Answer::Refused(Refusal::Limit)).noting(Notice::Expired)
    }

    /// All is let go of but how it ended, how many steps it had, and the end of its last result.
    fn end(&mut self, outcome: Outcome) {
        let last = self.steps.iter().rev().find_map(|e| match &e.stage {
            Stage::Done { .. } => Some(e.clone()),
            _ => None,
        });
        self.state = State::Over(outcome);
        self.context = Context::default();
        self.steps.clear();
        self.worker.clear();
        self.word();
        if let Some(mut last) = last {
            if let Stage::Done { result, .. } = &mut last.stage {
                *result = cut(result, LEFT_MOST);
            }
            last.late.clear();
            self.steps.push(last);
        }
    }

    /// Compacts what is long done.
    pub(crate) fn compact(&mut self) {
        while self.steps.iter().filter(|e| e.closed()).count() > WHOLE_MOST {
            let oldest = self.steps.remove(0);
            self.context.take(&oldest);
        }
    }

    /// As the register holds it.
    ///
    /// # Errors
    /// [`WorkflowError::TooLong`] past [`RECORD_MOST`]: not reached by any record that these transitions make.
    pub fn encode(&self) -> Result<Vec<u8>, WorkflowError> {
        let bytes =
            postcard::to_extend(self, vec![VERSION]).map_err(|_| WorkflowError::Unreadable)?;
        match bytes.len() <= RECORD_MOST {
            true => Ok(bytes),
            false => Err(WorkflowError::TooLong),
        }
    }

    /// Reads it back.
    ///
    /// # Errors
    /// Where it is longer than any, of another version, or not a record.
    pub fn decode(bytes: &[u8]) -> Result<Record, WorkflowError> {
        if bytes.len() > RECORD_MOST {
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
