//! Takes questions, asks the register, decides by the record, and answers each question once, in time.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_quota_lease::Process;
use bitternlatch_replicated_register::{Call as Op, Input, RegisterKey, ReplicaError, Version};

use crate::attempts::Attempts;
use crate::cache::Cache;
use crate::io::{Ask, Call, Refusal, Settings, Told};
use crate::job::{Act, Failure, Found, Job, Phase};
use crate::queue::{Queue, Taken};
use crate::record::{micros, Answer, Claimant, Guards, Limits, Notice, Record, State, Turn};
use crate::step::NAME_MOST;
use crate::timers::Timers;
use crate::turns::{Intent, Mine};
use crate::watch::{leaves, Watches};

/// The longest that one question to the register may take; then it is asked again.
const OP_MOST: Duration = Duration::from_millis(1000);
/// First wait before a question is tried again; doubled up to the last.
const AGAIN: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(160));
/// How long a question waits for a majority that is not there, where its caller would wait longer. Results wait on.
const PATIENCE: Duration = Duration::from_millis(1500);
/// How long a result, or that something never ran, is offered to the register after its caller was refused.
pub(crate) const SILENTLY: Duration = Duration::from_secs(60);
/// How long the short record of a finished workflow stays.
pub(crate) const OVER_LASTS: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    /// A question is answered now at the latest.
    Deadline(u64),
    Again(u64),
    Carry(RegisterKey),
}

/// What the desk wants done.
#[derive(Debug)]
pub(crate) enum Out {
    Register(Input),
    Tell(Told),
    Log { warn: bool, text: String },
}

pub(crate) struct Desk {
    own: Process,
    limits: Limits,
    pub(crate) lease: Duration,
    pub(crate) guards: Guards,
    pub(crate) queue: Queue,
    ops: BTreeMap<u64, u64>,
    asked: u64,
    pub(crate) cache: Cache,
    pub(crate) watches: Watches,
    pub(crate) attempts: Attempts,
    pub(crate) timers: Timers<Due>,
    /// Last time that a full table was logged.
    said_full: Option<Duration>,
}

/// The name of a workflow's register.
pub(crate) fn key_of(name: &str) -> RegisterKey {
    let mut key = [0; 16];
    key.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..16]);
    RegisterKey(key)
}

pub(crate) fn us(at: Duration) -> u64 {
    u64::try_from(at.as_micros()).unwrap_or(u64::MAX)
}

impl Desk {
    pub(crate) fn new(own: Process, settings: &Settings, guards: Guards) -> Desk {
        Desk {
            own,
            limits: Limits::of(settings),
            lease: Duration::from_micros(micros(settings.lease_s).max(1000)),
            guards,
            queue: Queue::default(),
            ops: BTreeMap::new(),
            asked: 0,
            cache: Cache::default(),
            watches: Watches::default(),
            attempts: Attempts::new(own),
            timers: Timers::new(),
            said_full: None,
        }
    }

    pub(crate) fn wake_at(&self) -> Option<Duration> {
        self.timers.next()
    }

    pub(crate) fn wake(&mut self, now: Duration, out: &mut Vec<Out>) {
        while let Some(due) = self.timers.due(now) {
            match due {
                Due::Deadline(id) => self.late(now, id, out),
                Due::Again(id) => self.start(now, id, out),
                Due::Carry(key) => self.carry(now, key, out),
            }
        }
    }

    /// A question of the core.
    pub(crate) fn ask(&mut self, now: Duration, ask: Ask, out: &mut Vec<Out>) {
        let (call, name, mut act, until_us) = Act::of(ask);
        let until = Duration::from_micros(until_us);
        let refuse = |why| Out::Tell(Told::Refused { call, why });
        let worker = if let Act::Claim { worker } = &act {
            worker.as_str()
        } else {
            "-"
        };
        if name.len() > NAME_MOST || worker.is_empty() || worker.len() > NAME_MOST {
            return out.push(refuse(Refusal::Limit));
        }
        if until <= now {
            return out.push(refuse(Refusal::NoMajority));
        }
        let key = key_of(&name);
        match &mut act {
            Act::Intend {
                epoch,
                step,
                attempt,
                ..
            } => {
                *attempt = self.attempts.open(now, key, *step, *epoch);
                if attempt.is_none() {
                    return out.push(refuse(Refusal::Busy));
                }
            }
            Act::Ended {
                epoch,
                step,
                attempt,
                ..
            } => *attempt = self.attempts.ending(key, *step, *epoch),
            _ => {}
        }
        // A twentieth of its time is left for the way back.
        let until = until - (until - now) / 20;
        self.take(now, new_job(now, key, name, Some(call), act, until), out);
    }

    /// The holder of a copy saw that a record has not been written for long.
    pub(crate) fn sweep(
        &mut self,
        now: Duration,
        key: RegisterKey,
        record: &Record,
        out: &mut Vec<Out>,
    ) {
        if !self.queue.busy(key) {
            self.take(
                now,
                new_job(
                    now,
                    key,
                    record.name.clone(),
                    None,
                    Act::Sweep,
                    now + OP_MOST,
                ),
                out,
            );
        }
    }

    /// Whether a record that was seen unchanged for so long has to go on to its end.
    pub(crate) fn stale(&self, record: &Record, unchanged: Duration) -> bool {
        match record.state() {
            State::Over(_) => unchanged >= OVER_LASTS,
            State::Open => us(unchanged).saturating_add(record.aged_us) >= self.limits.lasts_us,
            State::Unsettled | State::Parked => false,
        }
    }

    pub(crate) fn take(&mut self, now: Duration, job: Job, out: &mut Vec<Out>) {
        let until = job.until;
        let (id, refused) = match self.queue.take(job) {
            Taken::Yes(id) => (Some(id), None),
            Taken::Instead(id, other) => (Some(id), Some(other)),
            Taken::No(job) => (None, Some(job)),
        };
        if let Some(job) = refused {
            self.full(now, *job, out);
        }
        if let Some(id) = id {
            self.timers.set(Due::Deadline(id), until);
            self.start(now, id, out);
        }
    }

    /// A question that is not taken, or no longer, as too many are in hand.
    fn full(&mut self, now: Duration, job: Job, out: &mut Vec<Out>) {
        if let Act::Intend {
            attempt: Some(attempt),
            ..
        } = job.act
        {
            self.attempts.close(job.key, attempt);
        }
        if self
            .said_full
            .is_none_or(|at| now.saturating_sub(at) >= Duration::from_secs(10))
        {
            self.said_full = Some(now);
            let text =
                "too many questions about workflows in hand: the later ones are refused as busy";
            out.push(Out::Log {
                warn: true,
                text: text.to_string(),
            });
        }
        if let Some(call) = job.call {
            out.push(Out::Tell(Told::Refused {
                call,
                why: Refusal::Busy,
            }));
        }
    }

    /// Goes on with one whose turn it is.
    fn start(&mut self, now: Duration, id: u64, out: &mut Vec<Out>) {
        if !self.queue.may_start(id) {
            return;
        }
        let Some(job) = self.queue.jobs.get_mut(&id).filter(|job| job.op.is_none()) else {
            return;
        };
        job.fresh = false;
        match self.cache.get(job.key).filter(|_| !job.act.reads()) {
            Some(found) => self.decide(now, id, Some(found), out),
            None => self.read(now, id, out),
        }
    }

    fn read(&mut self, now: Duration, id: u64, out: &mut Vec<Out>) {
        let op = self.op(id);
        let Some(job) = self.queue.jobs.get_mut(&id) else {
            return;
        };
        (job.phase, job.op, job.fresh) = (Phase::Reads, Some(op.0), true);
        out.push(Out::Register(Input::Read {
            call: op,
            key: job.key,
            until: job.until.min(now + OP_MOST),
        }));
    }

    fn op(&mut self, id: u64) -> Op {
        self.asked += 1;
        self.ops.insert(self.asked, id);
        Op(self.asked)
    }

    /// The question of the register that is answered, with its job, if anybody waits for it still.
    fn answered(&mut self, op: Op) -> Option<(u64, &mut Job)> {
        let id = self.ops.remove(&op.0)?;
        let job = self
            .queue
            .jobs
            .get_mut(&id)
            .filter(|job| job.op == Some(op.0))?;
        job.op = None;
        Some((id, job))
    }

    /// What the register holds.
    pub(crate) fn found(
        &mut self,
        now: Duration,
        op: Op,
        found: Result<Option<(Version, Vec<u8>)>, ReplicaError>,
        out: &mut Vec<Out>,
    ) {
        let Some((id, job)) = self.answered(op) else {
            return;
        };
        job.phase = Phase::Waits;
        let key = job.key;
        match found {
            Err(error) => self.failed(now, id, Failure::of(&error), out),
            Ok(None) => self.decide(now, id, None, out),
            Ok(Some((version, bytes))) => match Record::decode(&bytes) {
                Ok(record) => {
                    self.watches.see(now, key, version, &record);
                    self.cache.put(key, version, record.clone());
                    self.decide(now, id, Some((version, record)), out)
                }
                Err(error) => {
                    let text = format!("workflow {}: {error}; {}", job.name, error.advice());
                    out.push(Out::Log { warn: true, text });
                    self.end(now, id, Answer::Refused(Refusal::NoMajority), None, out)
                }
            },
        }
    }

    /// By what is known of the record.
    fn decide(&mut self, now: Duration, id: u64, found: Found, out: &mut Vec<Out>) {
        let Some(job) = self.queue.jobs.get(&id) else {
            return;
        };
        let (version, record, turn) = match found {
            None => {
                let Act::Claim { worker } = &job.act else {
                    return self.end(now, id, Answer::Refused(Refusal::Unknown), None, out);
                };
                let record = Record::begin(&job.name, &self.claimant(worker, false, Mine::Unknown));
                (None, record, Turn::write(Answer::Claimed))
            }
            Some((version, mut record)) => {
                let turn = self.turn(now, job, version, &mut record);
                (Some(version), record, turn)
            }
        };
        if turn.write {
            return self.write(now, id, version, record, turn, out);
        }
        if matches!(turn.answer, Answer::Refused(_)) && !job.fresh {
            self.cache.drop(job.key);
            return self.read(now, id, out);
        }
        if let (Act::Sweep, Some(version), State::Over(_)) = (&job.act, version, record.state()) {
            if self.watches.unchanged(now, job.key, version) >= OVER_LASTS {
                return self.forget(now, id, version, out);
            }
        }
        self.end(now, id, turn.answer, Some(record), out)
    }

    fn claimant<'a>(&self, worker: &'a str, dead: bool, mine: Mine) -> Claimant<'a> {
        Claimant {
            worker,
            holder: self.own.name,
            lease_us: us(self.lease),
            dead,
            mine,
        }
    }

    /// The transition that a question asks for.
    fn turn(&self, now: Duration, job: &Job, version: Version, record: &mut Record) -> Turn {
        let unchanged = self.watches.unchanged(now, job.key, version);
        let open = record.state() == State::Open;
        let over = record.age(us(unchanged), &self.limits) && open;
        let dead = self.watches.dead(now, job.key, record);
        let mine = |attempt| self.attempts.mine(job.key, attempt);
        match &job.act {
            Act::Claim { .. } | Act::Intend { .. } | Act::Carry { .. } | Act::Sweep if over => {
                record.expire()
            }
            Act::Claim { worker } => {
                let mine = record.open_attempt().map_or(Mine::Unknown, mine);
                record.claim(&self.claimant(worker, dead, mine))
            }
            Act::Intend {
                epoch,
                step,
                effect,
                key,
                asks,
                attempt,
            } => {
                let Some(attempt) = *attempt else {
                    return Turn::refused(Refusal::Busy);
                };
                let intent = Intent {
                    epoch: *epoch,
                    step: *step,
                    effect: *effect,
                    key,
                    asks: *asks,
                    attempt,
                };
                record.intend(&intent, mine, &self.limits, self.guards)
            }
            Act::Ended {
                epoch,
                step,
                fate,
                attempt,
            } => record.ended(*epoch, *step, fate, *attempt, self.guards),
            Act::Carry { epoch } => record.carry(*epoch, self.guards),
            Act::Finish { epoch, cancelled } => record.finish(*epoch, *cancelled, self.guards),
            Act::Settle { step, fate } => record.settle(*step, fate, dead),
            Act::Sweep => Turn::refused(Refusal::Carried),
        }
    }

    fn write(
        &mut self,
        now: Duration,
        id: u64,
        on: Option<Version>,
        record: Record,
        turn: Turn,
        out: &mut Vec<Out>,
    ) {
        let Ok(value) = record.encode() else {
            return self.end(now, id, Answer::Refused(Refusal::Limit), None, out);
        };
        let op = self.op(id);
        let (epoch, lease) = (record.epoch(), self.lease_of(&record));
        let Some(job) = self.queue.jobs.get_mut(&id) else {
            return;
        };
        let early = turn.answer == Answer::Go && !self.guards.majority_first;
        let longest = if turn.answer == Answer::Go {
            leaves(lease).min(OP_MOST)
        } else {
            OP_MOST
        };
        job.op = Some(op.0);
        job.phase = Phase::Writes {
            record: Box::new(record),
            turn,
            asked: now,
        };
        let (key, until) = (job.key, job.until.min(now + longest));
        out.push(Out::Register(Input::Write {
            call: op,
            key,
            on,
            epoch,
            value,
            until,
        }));
        if early {
            self.go(now, (now, lease), id, out);
        }
    }

    /// What watchers go by is the lease in the record, whatever is set here.
    pub(crate) fn lease_of(&self, record: &Record) -> Duration {
        self.lease.min(Duration::from_micros(record.lease().1))
    }

    fn forget(&mut self, now: Duration, id: u64, on: Version, out: &mut Vec<Out>) {
        let op = self.op(id);
        let Some(job) = self.queue.jobs.get_mut(&id) else {
            return;
        };
        (job.op, job.phase) = (Some(op.0), Phase::Drops);
        out.push(Out::Register(Input::Drop {
            call: op,
            key: job.key,
            on,
            until: now + OP_MOST,
        }));
    }

    /// A write is held by a majority, or is not, or nobody knows.
    pub(crate) fn written(
        &mut self,
        now: Duration,
        op: Op,
        done: Result<Version, ReplicaError>,
        out: &mut Vec<Out>,
    ) {
        let Some((id, job)) = self.answered(op) else {
            return;
        };
        let key = job.key;
        let phase = std::mem::replace(&mut job.phase, Phase::Waits);
        let version = match done {
            Ok(version) => version,
            Err(error) => {
                let failure = Failure::of(&error);
                job.doubt |= matches!(failure, Failure::Doubt(_));
                return self.failed(now, id, failure, out);
            }
        };
        let Phase::Writes {
            record,
            turn,
            asked,
        } = phase
        else {
            self.cache.drop(key);
            self.watches.forget(key);
            return self.end(now, id, Answer::Held, None, out);
        };
        job.doubt = false;
        let name = job.name.clone();
        self.watches.see(now, key, version, &record);
        self.cache.put(key, version, (*record).clone());
        if let Some(notice) = &turn.notice {
            out.push(notice_text(&name, notice));
        }
        match turn.answer {
            Answer::Go => self.go(now, (asked, self.lease_of(&record)), id, out),
            answer => self.end(now, id, answer, Some(*record), out),
        }
    }

    /// A try has failed.
    fn failed(&mut self, now: Duration, id: u64, failure: Failure, out: &mut Vec<Out>) {
        let Some(job) = self.queue.jobs.get_mut(&id) else {
            return;
        };
        self.cache.drop(job.key);
        job.tries += 1;
        match failure {
            Failure::Final(why) => return self.end(now, id, Answer::Refused(why), None, out),
            // A person decided about what was there, not about what has come since.
            Failure::Again if matches!(job.act, Act::Settle { .. }) => {
                return self.end(now, id, Answer::Refused(Refusal::Busy), None, out)
            }
            Failure::Again if job.tries <= 2 => return self.read(now, id, out),
            Failure::Again => job.why = Refusal::Busy,
            Failure::Later(why) => {
                job.why = why;
                let waits = matches!(job.act, Act::Ended { .. });
                if !waits && now.saturating_sub(job.began) >= PATIENCE {
                    return self.late(now, id, out);
                }
            }
            Failure::Doubt(why) => job.why = why,
        }
        let step = AGAIN.0 * (1 << job.tries.min(4));
        let wait = step.min(AGAIN.1);
        // Spread by name and number, so that two that met do not meet again.
        let spread = (u64::from(self.own.name.0) ^ id.wrapping_mul(0x9E37_79B9)) % 64;
        self.timers
            .set(Due::Again(id), now + wait + wait * spread as u32 / 64);
    }

    /// A question's time is over.
    fn late(&mut self, now: Duration, id: u64, out: &mut Vec<Out>) {
        let Some(job) = self.queue.jobs.get_mut(&id) else {
            return;
        };
        // One that never came to its turn waited for others.
        let turned = job.tries > 0 || !matches!(job.phase, Phase::Waits);
        let why = if turned { job.why } else { Refusal::Busy };
        match job.act {
            Act::Intend { .. } => self.undo(now, id, why, out),
            Act::Ended { .. } if job.call.is_some() => {
                let Some(job) = self.leave(now, id, out) else {
                    return;
                };
                let silent = new_job(now, job.key, job.name, None, job.act, now + SILENTLY);
                self.refuse(job.call, why, out);
                self.take(now, silent, out)
            }
            _ => self.end(now, id, Answer::Refused(why), None, out),
        }
    }

    pub(crate) fn refuse(&self, call: Option<Call>, why: Refusal, out: &mut Vec<Out>) {
        out.extend(call.map(|call| Out::Tell(Told::Refused { call, why })));
    }

    /// Takes a question out of hand, unanswered; the next ones go on.
    pub(crate) fn leave(&mut self, now: Duration, id: u64, out: &mut Vec<Out>) -> Option<Job> {
        let job = self.queue.end(id)?;
        self.timers.clear(Due::Deadline(id));
        self.timers.clear(Due::Again(id));
        if let Some(op) = job.op {
            self.ops.remove(&op);
            self.cache.drop(job.key);
        }
        for next in self.queue.next(job.key) {
            self.start(now, next, out);
        }
        Some(job)
    }

    /// Answers a question.
    fn end(
        &mut self,
        now: Duration,
        id: u64,
        answer: Answer,
        record: Option<Record>,
        out: &mut Vec<Out>,
    ) {
        if let (Answer::Refused(why), Some(job)) = (&answer, self.queue.jobs.get(&id)) {
            if job.doubt && matches!(job.act, Act::Intend { .. }) {
                return self.undo(now, id, *why, out);
            }
        }
        let Some(job) = self.leave(now, id, out) else {
            return;
        };
        self.settle_attempts(now, &job, &answer, record.as_ref());
        let Some(call) = job.call else { return };
        let told = match answer {
            Answer::Claimed => {
                let (epoch, lease_us) =
                    record.as_ref().map_or((0, 0), |r| (r.epoch(), r.lease().1));
                let (context, steps) = record.as_ref().map(Record::shown).unwrap_or_default();
                Told::Claimed {
                    call,
                    epoch,
                    context,
                    steps,
                    lease_us,
                }
            }
            Answer::Known(result) => Told::Known { call, result },
            Answer::Held => Told::Held { call },
            Answer::Refused(why) => Told::Refused { call, why },
            // Told by `go` alone.
            Answer::Go => Told::Refused {
                call,
                why: Refusal::Busy,
            },
        };
        out.push(Out::Tell(told));
    }
}

pub(crate) fn new_job(
    began: Duration,
    key: RegisterKey,
    name: String,
    call: Option<Call>,
    act: Act,
    until: Duration,
) -> Job {
    let (phase, why) = (Phase::Waits, Refusal::NoMajority);
    Job {
        key,
        name,
        call,
        act,
        began,
        until,
        phase,
        op: None,
        tries: 0,
        fresh: false,
        doubt: false,
        why,
    }
}

fn notice_text(name: &str, notice: &Notice) -> Out {
    let (warn, text) = match notice {
        Notice::Unsettled { step, key } => {
            let what = "may have run and nobody knows: decide whether it ran";
            (
                true,
                format!(
                    "workflow {name} is unsettled: its unsafe step {step} (key '{key}') {what}"
                ),
            )
        }
        Notice::Parked { step } => (
            true,
            format!("workflow {name} is parked: three workers died over its step {step}"),
        ),
        Notice::Known { step } => (
            false,
            format!("workflow {name}: what became of step {step} is known now"),
        ),
        Notice::TwoResults { step } => (
            true,
            format!(
                "workflow {name}: step {step} has two results; the first stands, both are kept"
            ),
        ),
        Notice::Expired => (
            true,
            format!("workflow {name} has ended unfinished: its time is over"),
        ),
    };
    Out::Log { warn, text }
}
