//! Takes questions, asks the register, decides by the record, and answers each question once, in time.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_quota_lease::Process;
use bitternlatch_replicated_register::{Call as Op, Input, RegisterError, RegisterKey, Version};

use crate::attempts::Attempts;
use crate::cache::Cache;
use crate::io::{Call, Command, Event, RejectReason, Settings};
use crate::lease_observer::{send_window, LeaseObserver};
use crate::operation::{Failure, Found, Operation, PendingOperation, Phase};
use crate::queue::{Enqueued, Queue};
use crate::record::{
    micros, Claim, Limits, Notice, Record, Reply, SafetyChecks, State, Transition,
};
use crate::step::MAX_NAME_BYTES;
use crate::step_transitions::{Intent, LocalAttempt};
use crate::timers::Timers;

/// The longest that one question to the register may take; then it is asked again.
const MAX_REGISTER_CALL: Duration = Duration::from_millis(1000);
/// First wait before a question is tried again; doubled up to the last.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(160));
/// How long a question waits for a majority that is not there, where its caller would wait longer. Results wait on.
const MAX_QUORUM_WAIT: Duration = Duration::from_millis(1500);
/// How long a result, or that something never ran, is offered to the register after its caller was refused.
pub(crate) const BACKGROUND_RETRY: Duration = Duration::from_secs(60);
/// How long the short record of a finished workflow stays.
pub(crate) const ENDED_RECORD_RETENTION: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A question is answered now at the latest.
    Deadline(u64),
    Retry(u64),
    RenewLease(RegisterKey),
}

/// What the desk wants done.
#[derive(Debug)]
pub(crate) enum CoordinatorOutput {
    Register(Input),
    Event(Event),
    Log { warn: bool, text: String },
}

pub(crate) struct Coordinator {
    own: Process,
    limits: Limits,
    pub(crate) lease: Duration,
    pub(crate) safety_checks: SafetyChecks,
    pub(crate) queue: Queue,
    ops: BTreeMap<u64, u64>,
    asked: u64,
    pub(crate) cache: Cache,
    pub(crate) lease_observer: LeaseObserver,
    pub(crate) attempts: Attempts,
    pub(crate) timers: Timers<Timer>,
    /// Last time that a full table was logged.
    full_logged_at: Option<Duration>,
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

impl Coordinator {
    pub(crate) fn new(
        own: Process,
        settings: &Settings,
        safety_checks: SafetyChecks,
    ) -> Coordinator {
        Coordinator {
            own,
            limits: Limits::of(settings),
            lease: Duration::from_micros(micros(settings.lease_s).max(1000)),
            safety_checks,
            queue: Queue::default(),
            ops: BTreeMap::new(),
            asked: 0,
            cache: Cache::default(),
            lease_observer: LeaseObserver::default(),
            attempts: Attempts::new(own),
            timers: Timers::new(),
            full_logged_at: None,
        }
    }

    pub(crate) fn wake_at(&self) -> Option<Duration> {
        self.timers.next()
    }

    pub(crate) fn wake(&mut self, now: Duration, out: &mut Vec<CoordinatorOutput>) {
        while let Some(due) = self.timers.due(now) {
            match due {
                Timer::Deadline(id) => self.late(now, id, out),
                Timer::Retry(id) => self.start(now, id, out),
                Timer::RenewLease(key) => self.renew_lease(now, key, out),
            }
        }
    }

    /// A question of the core.
    pub(crate) fn ask(&mut self, now: Duration, ask: Command, out: &mut Vec<CoordinatorOutput>) {
        let (call, name, mut operation, until_us) = Operation::of(ask);
        let until = Duration::from_micros(until_us);
        let refuse = |why| CoordinatorOutput::Event(Event::Rejected { call, reason: why });
        let worker = if let Operation::Claim { worker } = &operation {
            worker.as_str()
        } else {
            "-"
        };
        if name.len() > MAX_NAME_BYTES || worker.is_empty() || worker.len() > MAX_NAME_BYTES {
            return out.push(refuse(RejectReason::Limit));
        }
        if until <= now {
            return out.push(refuse(RejectReason::NoMajority));
        }
        let key = key_of(&name);
        match &mut operation {
            Operation::Intend {
                epoch,
                step,
                attempt,
                ..
            } => {
                *attempt = self.attempts.open(now, key, *step, *epoch);
                if attempt.is_none() {
                    return out.push(refuse(RejectReason::Busy));
                }
            }
            Operation::ReportOutcome {
                epoch,
                step,
                attempt,
                ..
            } => *attempt = self.attempts.latest_sent(key, *step, *epoch),
            _ => {}
        }
        // A twentieth of its time is left for the way back.
        let until = until - (until - now) / 20;
        self.take(
            now,
            new_pending(now, key, name, Some(call), operation, until),
            out,
        );
    }

    /// The holder of a copy saw that a record has not been written for long.
    pub(crate) fn sweep(
        &mut self,
        now: Duration,
        key: RegisterKey,
        record: &Record,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        if !self.queue.busy(key) {
            self.take(
                now,
                new_pending(
                    now,
                    key,
                    record.name.clone(),
                    None,
                    Operation::Sweep,
                    now + MAX_REGISTER_CALL,
                ),
                out,
            );
        }
    }

    /// Whether a record that was seen unchanged for so long has to go on to its end.
    pub(crate) fn stale(&self, record: &Record, unchanged: Duration) -> bool {
        match record.state() {
            State::Ended(_) => unchanged >= ENDED_RECORD_RETENTION,
            State::Open => us(unchanged).saturating_add(record.age_us) >= self.limits.lasts_us,
            State::Unsettled | State::Parked => false,
        }
    }

    pub(crate) fn take(
        &mut self,
        now: Duration,
        pending: PendingOperation,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let until = pending.until;
        let (id, refused) = match self.queue.take(pending) {
            Enqueued::Accepted(id) => (Some(id), None),
            Enqueued::Replaced(id, other) => (Some(id), Some(other)),
            Enqueued::Rejected(pending) => (None, Some(pending)),
        };
        if let Some(pending) = refused {
            self.full(now, *pending, out);
        }
        if let Some(id) = id {
            self.timers.set(Timer::Deadline(id), until);
            self.start(now, id, out);
        }
    }

    /// A question that is not taken, or no longer, as too many are in hand.
    fn full(&mut self, now: Duration, pending: PendingOperation, out: &mut Vec<CoordinatorOutput>) {
        if let Operation::Intend {
            attempt: Some(attempt),
            ..
        } = pending.operation
        {
            self.attempts.close(pending.key, attempt);
        }
        if self
            .full_logged_at
            .is_none_or(|at| now.saturating_sub(at) >= Duration::from_secs(10))
        {
            self.full_logged_at = Some(now);
            let text =
                "too many questions about workflows in hand: the later ones are refused as busy";
            out.push(CoordinatorOutput::Log {
                warn: true,
                text: text.to_string(),
            });
        }
        if let Some(call) = pending.call {
            out.push(CoordinatorOutput::Event(Event::Rejected {
                call,
                reason: RejectReason::Busy,
            }));
        }
    }

    /// Goes on with one whose turn it is.
    fn start(&mut self, now: Duration, id: u64, out: &mut Vec<CoordinatorOutput>) {
        if !self.queue.may_start(id) {
            return;
        }
        let Some(pending) = self
            .queue
            .pending
            .get_mut(&id)
            .filter(|pending| pending.op.is_none())
        else {
            return;
        };
        pending.fresh = false;
        match self
            .cache
            .get(pending.key)
            .filter(|_| !pending.operation.reads())
        {
            Some(found) => self.decide(now, id, Some(found), out),
            None => self.read(now, id, out),
        }
    }

    fn read(&mut self, now: Duration, id: u64, out: &mut Vec<CoordinatorOutput>) {
        let op = self.op(id);
        let Some(pending) = self.queue.pending.get_mut(&id) else {
            return;
        };
        (pending.phase, pending.op, pending.fresh) = (Phase::Reading, Some(op.0), true);
        out.push(CoordinatorOutput::Register(Input::Read {
            call: op,
            key: pending.key,
            until: pending.until.min(now + MAX_REGISTER_CALL),
        }));
    }

    fn op(&mut self, id: u64) -> Op {
        self.asked += 1;
        self.ops.insert(self.asked, id);
        Op(self.asked)
    }

    /// The question of the register that is answered, with its job, if anybody waits for it still.
    fn answered(&mut self, op: Op) -> Option<(u64, &mut PendingOperation)> {
        let id = self.ops.remove(&op.0)?;
        let pending = self
            .queue
            .pending
            .get_mut(&id)
            .filter(|pending| pending.op == Some(op.0))?;
        pending.op = None;
        Some((id, pending))
    }

    /// What the register holds.
    pub(crate) fn found(
        &mut self,
        now: Duration,
        op: Op,
        found: Result<Option<(Version, Vec<u8>)>, RegisterError>,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let Some((id, pending)) = self.answered(op) else {
            return;
        };
        pending.phase = Phase::Idle;
        let key = pending.key;
        match found {
            Err(error) => self.failed(now, id, Failure::of(&error), out),
            Ok(None) => self.decide(now, id, None, out),
            Ok(Some((version, bytes))) => match Record::decode(&bytes) {
                Ok(record) => {
                    self.lease_observer.observe(now, key, version, &record);
                    self.cache.put(key, version, record.clone());
                    self.decide(now, id, Some((version, record)), out)
                }
                Err(error) => {
                    let text = format!("workflow {}: {error}; {}", pending.name, error.advice());
                    out.push(CoordinatorOutput::Log { warn: true, text });
                    self.end(
                        now,
                        id,
                        Reply::Rejected(RejectReason::NoMajority),
                        None,
                        out,
                    )
                }
            },
        }
    }

    /// By what is known of the record.
    fn decide(&mut self, now: Duration, id: u64, found: Found, out: &mut Vec<CoordinatorOutput>) {
        let Some(pending) = self.queue.pending.get(&id) else {
            return;
        };
        let (version, record, turn) = match found {
            None => {
                let Operation::Claim { worker } = &pending.operation else {
                    return self.end(now, id, Reply::Rejected(RejectReason::Unknown), None, out);
                };
                let record = Record::begin(
                    &pending.name,
                    &self.claim(worker, false, LocalAttempt::Unknown),
                );
                (None, record, Transition::write(Reply::Claimed))
            }
            Some((version, mut record)) => {
                let turn = self.turn(now, pending, version, &mut record);
                (Some(version), record, turn)
            }
        };
        if turn.write {
            return self.write(now, id, version, record, turn, out);
        }
        if matches!(turn.answer, Reply::Rejected(_)) && !pending.fresh {
            self.cache.drop(pending.key);
            return self.read(now, id, out);
        }
        if let (Operation::Sweep, Some(version), State::Ended(_)) =
            (&pending.operation, version, record.state())
        {
            if self.lease_observer.unchanged(now, pending.key, version) >= ENDED_RECORD_RETENTION {
                return self.forget(now, id, version, out);
            }
        }
        self.end(now, id, turn.answer, Some(record), out)
    }

    fn claim<'a>(&self, worker: &'a str, dead: bool, mine: LocalAttempt) -> Claim<'a> {
        Claim {
            worker,
            holder: self.own.name,
            lease_us: us(self.lease),
            dead,
            mine,
        }
    }

    /// The transition that a question asks for.
    fn turn(
        &self,
        now: Duration,
        pending: &PendingOperation,
        version: Version,
        record: &mut Record,
    ) -> Transition {
        let unchanged = self.lease_observer.unchanged(now, pending.key, version);
        let open = record.state() == State::Open;
        let over = record.age(us(unchanged), &self.limits) && open;
        let dead = self.lease_observer.dead(now, pending.key, record);
        let mine = |attempt| self.attempts.mine(pending.key, attempt);
        match &pending.operation {
            Operation::Claim { .. }
            | Operation::Intend { .. }
            | Operation::RenewLease { .. }
            | Operation::Sweep
                if over =>
            {
                record.expire()
            }
            Operation::Claim { worker } => {
                let mine = record.open_attempt().map_or(LocalAttempt::Unknown, mine);
                record.claim(&self.claim(worker, dead, mine))
            }
            Operation::Intend {
                epoch,
                step,
                effect,
                key,
                request_digest,
                attempt,
            } => {
                let Some(attempt) = *attempt else {
                    return Transition::rejected(RejectReason::Busy);
                };
                let intent = Intent {
                    epoch: *epoch,
                    step: *step,
                    effect: *effect,
                    key,
                    request_digest: *request_digest,
                    attempt,
                };
                record.intend(&intent, mine, &self.limits, self.safety_checks)
            }
            Operation::ReportOutcome {
                epoch,
                step,
                outcome,
                attempt,
            } => record.report_outcome(*epoch, *step, outcome, *attempt, self.safety_checks),
            Operation::RenewLease { epoch } => record.renew_lease(*epoch, self.safety_checks),
            Operation::Finish { epoch, cancelled } => {
                record.finish(*epoch, *cancelled, self.safety_checks)
            }
            Operation::Settle { step, outcome } => record.settle(*step, outcome, dead),
            Operation::Sweep => Transition::rejected(RejectReason::LeaseHeld),
        }
    }

    fn write(
        &mut self,
        now: Duration,
        id: u64,
        expected: Option<Version>,
        record: Record,
        turn: Transition,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let Ok(value) = record.encode() else {
            return self.end(now, id, Reply::Rejected(RejectReason::Limit), None, out);
        };
        let op = self.op(id);
        let (epoch, lease) = (record.epoch(), self.lease_of(&record));
        let Some(pending) = self.queue.pending.get_mut(&id) else {
            return;
        };
        let early = turn.answer == Reply::SendPermitted && !self.safety_checks.majority_first;
        let longest = if turn.answer == Reply::SendPermitted {
            send_window(lease).min(MAX_REGISTER_CALL)
        } else {
            MAX_REGISTER_CALL
        };
        pending.op = Some(op.0);
        pending.phase = Phase::Writing {
            record: Box::new(record),
            turn,
            asked: now,
        };
        let (key, until) = (pending.key, pending.until.min(now + longest));
        out.push(CoordinatorOutput::Register(Input::Write {
            call: op,
            key,
            expected,
            epoch,
            value,
            until,
        }));
        if early {
            self.permit_send(now, (now, lease), id, out);
        }
    }

    /// What watchers go by is the lease in the record, whatever is set here.
    pub(crate) fn lease_of(&self, record: &Record) -> Duration {
        self.lease.min(Duration::from_micros(record.lease().1))
    }

    fn forget(
        &mut self,
        now: Duration,
        id: u64,
        expected: Version,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let op = self.op(id);
        let Some(pending) = self.queue.pending.get_mut(&id) else {
            return;
        };
        (pending.op, pending.phase) = (Some(op.0), Phase::Deleting);
        out.push(CoordinatorOutput::Register(Input::Delete {
            call: op,
            key: pending.key,
            expected,
            until: now + MAX_REGISTER_CALL,
        }));
    }

    /// A write is held by a majority, or is not, or nobody knows.
    pub(crate) fn written(
        &mut self,
        now: Duration,
        op: Op,
        done: Result<Version, RegisterError>,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let Some((id, pending)) = self.answered(op) else {
            return;
        };
        let key = pending.key;
        let phase = std::mem::replace(&mut pending.phase, Phase::Idle);
        let version = match done {
            Ok(version) => version,
            Err(error) => {
                let failure = Failure::of(&error);
                pending.doubt |= matches!(failure, Failure::Uncertain(_));
                return self.failed(now, id, failure, out);
            }
        };
        let Phase::Writing {
            record,
            turn,
            asked,
        } = phase
        else {
            self.cache.drop(key);
            self.lease_observer.forget(key);
            return self.end(now, id, Reply::Committed, None, out);
        };
        pending.doubt = false;
        let name = pending.name.clone();
        self.lease_observer.observe(now, key, version, &record);
        self.cache.put(key, version, (*record).clone());
        if let Some(notice) = &turn.notice {
            out.push(notice_text(&name, notice));
        }
        match turn.answer {
            Reply::SendPermitted => self.permit_send(now, (asked, self.lease_of(&record)), id, out),
            answer => self.end(now, id, answer, Some(*record), out),
        }
    }

    /// A try has failed.
    fn failed(
        &mut self,
        now: Duration,
        id: u64,
        failure: Failure,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let Some(pending) = self.queue.pending.get_mut(&id) else {
            return;
        };
        self.cache.drop(pending.key);
        pending.tries += 1;
        match failure {
            Failure::Permanent(why) => return self.end(now, id, Reply::Rejected(why), None, out),
            // A person decided about what was there, not about what has come since.
            Failure::Conflict if matches!(pending.operation, Operation::Settle { .. }) => {
                return self.end(now, id, Reply::Rejected(RejectReason::Busy), None, out)
            }
            Failure::Conflict if pending.tries <= 2 => return self.read(now, id, out),
            Failure::Conflict => pending.why = RejectReason::Busy,
            Failure::Retryable(why) => {
                pending.why = why;
                let waits = matches!(pending.operation, Operation::ReportOutcome { .. });
                if !waits && now.saturating_sub(pending.began) >= MAX_QUORUM_WAIT {
                    return self.late(now, id, out);
                }
            }
            Failure::Uncertain(why) => pending.why = why,
        }
        let step = RETRY_BACKOFF.0 * (1 << pending.tries.min(4));
        let wait = step.min(RETRY_BACKOFF.1);
        // Spread by name and number, so that two that met do not meet again.
        let spread = (u64::from(self.own.name.0) ^ id.wrapping_mul(0x9E37_79B9)) % 64;
        self.timers
            .set(Timer::Retry(id), now + wait + wait * spread as u32 / 64);
    }

    /// A question's time is over.
    fn late(&mut self, now: Duration, id: u64, out: &mut Vec<CoordinatorOutput>) {
        let Some(pending) = self.queue.pending.get_mut(&id) else {
            return;
        };
        // One that never came to its turn waited for others.
        let turned = pending.tries > 0 || !matches!(pending.phase, Phase::Idle);
        let why = if turned {
            pending.why
        } else {
            RejectReason::Busy
        };
        match pending.operation {
            Operation::Intend { .. } => self.undo_intent(now, id, why, out),
            Operation::ReportOutcome { .. } if pending.call.is_some() => {
                let Some(pending) = self.remove(now, id, out) else {
                    return;
                };
                let silent = new_pending(
                    now,
                    pending.key,
                    pending.name,
                    None,
                    pending.operation,
                    now + BACKGROUND_RETRY,
                );
                self.refuse(pending.call, why, out);
                self.take(now, silent, out)
            }
            _ => self.end(now, id, Reply::Rejected(why), None, out),
        }
    }

    pub(crate) fn refuse(
        &self,
        call: Option<Call>,
        why: RejectReason,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        out.extend(
            call.map(|call| CoordinatorOutput::Event(Event::Rejected { call, reason: why })),
        );
    }

    /// Takes a question out of hand, unanswered; the next ones go on.
    pub(crate) fn remove(
        &mut self,
        now: Duration,
        id: u64,
        out: &mut Vec<CoordinatorOutput>,
    ) -> Option<PendingOperation> {
        let pending = self.queue.end(id)?;
        self.timers.clear(Timer::Deadline(id));
        self.timers.clear(Timer::Retry(id));
        if let Some(op) = pending.op {
            self.ops.remove(&op);
            self.cache.drop(pending.key);
        }
        for next in self.queue.next(pending.key) {
            self.start(now, next, out);
        }
        Some(pending)
    }

    /// Answers a question.
    fn end(
        &mut self,
        now: Duration,
        id: u64,
        answer: Reply,
        record: Option<Record>,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        if let (Reply::Rejected(why), Some(pending)) = (&answer, self.queue.pending.get(&id)) {
            if pending.doubt && matches!(pending.operation, Operation::Intend { .. }) {
                return self.undo_intent(now, id, *why, out);
            }
        }
        let Some(pending) = self.remove(now, id, out) else {
            return;
        };
        self.update_attempts(now, &pending, &answer, record.as_ref());
        let Some(call) = pending.call else { return };
        let told = match answer {
            Reply::Claimed => {
                let (epoch, lease_us) =
                    record.as_ref().map_or((0, 0), |r| (r.epoch(), r.lease().1));
                let (context, steps) = record.as_ref().map(Record::summary).unwrap_or_default();
                Event::Claimed {
                    call,
                    epoch,
                    context,
                    steps,
                    lease_us,
                }
            }
            Reply::AlreadyDone(result) => Event::AlreadyDone { call, result },
            Reply::Committed => Event::Committed { call },
            Reply::Rejected(why) => Event::Rejected { call, reason: why },
            // Told by `go` alone.
            Reply::SendPermitted => Event::Rejected {
                call,
                reason: RejectReason::Busy,
            },
        };
        out.push(CoordinatorOutput::Event(told));
    }
}

pub(crate) fn new_pending(
    began: Duration,
    key: RegisterKey,
    name: String,
    call: Option<Call>,
    operation: Operation,
    until: Duration,
) -> PendingOperation {
    let (phase, why) = (Phase::Idle, RejectReason::NoMajority);
    PendingOperation {
        key,
        name,
        call,
        operation,
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

fn notice_text(name: &str, notice: &Notice) -> CoordinatorOutput {
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
        Notice::Resolved { step } => (
            false,
            format!("workflow {name}: what became of step {step} is known now"),
        ),
        Notice::DuplicateResult { step } => (
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
    CoordinatorOutput::Log { warn, text }
}
