//! Takes the core's commands, decides each by the workflow's record, and answers it once, by its deadline.
//!
//! - `decision`: the transition that an operation makes of a record.
//! - `register_calls`: reads and writes of the register, and what their failures mean.
//! - `dispatch_permits`: permissions to send, and intents that have to be undone.
//! - `notices`: what is logged of a workflow.

mod decision;
mod dispatch_permits;
mod notices;
mod register_calls;

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_quota_lease::Process;
use bitternlatch_replicated_register::{Input, RegisterKey, Version};

use crate::attempts::Attempts;
use crate::cache::Cache;
use crate::io::{Call, Command, Event, RejectReason, Settings};
use crate::lease_observer::LeaseObserver;
use crate::operation::{Operation, PendingOperation, Phase, Request};
use crate::queue::{Enqueued, Queue};
use crate::record::{Limits, Record, State};
use crate::step::MAX_NAME_BYTES;
use crate::time::{as_micros, micros_of_seconds};
use crate::timers::Timers;
use crate::transition::{Reply, SafetyChecks};

/// How long a result, or that something never ran, is offered to the register after its caller was answered.
const BACKGROUND_RETRY: Duration = Duration::from_secs(60);
/// How long the short record of an ended workflow stays.
const ENDED_RECORD_RETENTION: Duration = Duration::from_secs(600);
/// Deadline of an operation that nobody waits for and that is not tried again.
const SWEEP_TIMEOUT: Duration = Duration::from_millis(1000);
/// Of the time until a caller's deadline this part is left for the answer's way back.
const ANSWER_RESERVE: u32 = 20;
/// Shortest lease that the settings may ask for, microseconds.
const MIN_LEASE_MICROS: u64 = 1000;
/// A full queue is logged this often at most.
const FULL_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What is to be done at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// The operation is answered now at the latest.
    Deadline(u64),
    /// The backoff of the operation is over.
    Retry(u64),
    /// The lease of a workflow with an attempt in flight is to be renewed.
    RenewLease(RegisterKey),
}

/// What the coordinator wants done.
#[derive(Debug)]
pub(crate) enum CoordinatorOutput {
    /// A call of the register.
    Register(Input),
    /// To the core.
    Event(Event),
    /// A line for the log.
    Log {
        /// Whether an operator should look.
        warn: bool,
        /// The line.
        text: String,
    },
}

/// All operations of one dispatcher.
pub(crate) struct Coordinator {
    own: Process,
    limits: Limits,
    /// Length of the leases that this dispatcher asks for.
    lease: Duration,
    safety_checks: SafetyChecks,
    queue: Queue,
    /// Operations by the number of their register call.
    register_calls: BTreeMap<u64, u64>,
    last_register_call: u64,
    cache: Cache,
    lease_observer: LeaseObserver,
    attempts: Attempts,
    timers: Timers<Timer>,
    full_logged_at: Option<Duration>,
}

/// Key of a workflow's register.
pub(crate) fn key_of(name: &str) -> RegisterKey {
    let mut key = [0; 16];
    key.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..16]);
    RegisterKey(key)
}

impl Coordinator {
    pub(crate) fn new(
        own: Process,
        settings: &Settings,
        safety_checks: SafetyChecks,
    ) -> Coordinator {
        let lease_micros = micros_of_seconds(settings.lease_s).max(MIN_LEASE_MICROS);
        Coordinator {
            own,
            limits: Limits::of(settings),
            lease: Duration::from_micros(lease_micros),
            safety_checks,
            queue: Queue::default(),
            register_calls: BTreeMap::new(),
            last_register_call: 0,
            cache: Cache::default(),
            lease_observer: LeaseObserver::default(),
            attempts: Attempts::new(own),
            timers: Timers::new(),
            full_logged_at: None,
        }
    }

    /// When it needs [`Coordinator::wake`].
    pub(crate) fn wake_at(&self) -> Option<Duration> {
        self.timers.next()
    }

    /// Does what is due.
    pub(crate) fn wake(&mut self, now: Duration, out: &mut Vec<CoordinatorOutput>) {
        while let Some(timer) = self.timers.due(now) {
            match timer {
                Timer::Deadline(id) => self.on_deadline(now, id, out),
                Timer::Retry(id) => self.start(now, id, out),
                Timer::RenewLease(key) => self.renew_lease(now, key, out),
            }
        }
    }

    /// Takes a command of the core.
    pub(crate) fn handle(
        &mut self,
        now: Duration,
        command: Command,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let mut request = Request::of(command);
        let call = Some(request.call);
        if let Some(reason) = invalid(now, &request) {
            return self.reject(call, reason, out);
        }
        let key = key_of(&request.workflow);
        if !self.assign_attempt(now, key, &mut request.operation) {
            return self.reject(call, RejectReason::Busy, out);
        }
        let deadline = request.deadline - (request.deadline - now) / ANSWER_RESERVE;
        let Request {
            workflow,
            operation,
            ..
        } = request;
        let pending = PendingOperation::new(now, key, workflow, call, operation, deadline);
        self.enqueue(now, pending, out);
    }

    /// Opens an attempt for an intent, or finds the one whose outcome is reported; false where too many are known.
    fn assign_attempt(
        &mut self,
        now: Duration,
        key: RegisterKey,
        operation: &mut Operation,
    ) -> bool {
        match operation {
            Operation::Intend {
                epoch,
                step,
                attempt,
                ..
            } => {
                *attempt = self.attempts.open(now, key, *step, *epoch);
                attempt.is_some()
            }
            Operation::ReportOutcome {
                epoch,
                step,
                attempt,
                ..
            } => {
                *attempt = self.attempts.latest_sent(key, *step, *epoch);
                true
            }
            _ => true,
        }
    }

    /// A replica held here has this record: its lease is observed, and one that has not been written for as long as it may last
    /// is brought to its end.
    pub(crate) fn sweep(
        &mut self,
        now: Duration,
        key: RegisterKey,
        version: Version,
        record: &Record,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        self.lease_observer.observe(now, key, version, record);
        let unchanged = self.lease_observer.unchanged(now, key, version);
        if !self.is_overdue(record, unchanged) || self.queue.is_busy(key) {
            return;
        }
        let (name, deadline) = (record.name.clone(), now + SWEEP_TIMEOUT);
        let pending = PendingOperation::new(now, key, name, None, Operation::Sweep, deadline);
        self.enqueue(now, pending, out);
    }

    /// Whether a record that has been unchanged for so long has to be brought to its end.
    fn is_overdue(&self, record: &Record, unchanged: Duration) -> bool {
        match record.state() {
            State::Ended(_) => unchanged >= ENDED_RECORD_RETENTION,
            State::Open => {
                as_micros(unchanged).saturating_add(record.age_us) >= self.limits.lasts_us
            }
            State::Unsettled | State::Parked => false,
        }
    }

    fn enqueue(
        &mut self,
        now: Duration,
        pending: PendingOperation,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let deadline = pending.deadline;
        let (id, rejected) = match self.queue.enqueue(pending) {
            Enqueued::Accepted(id) => (Some(id), None),
            Enqueued::Replaced(id, other) => (Some(id), Some(other)),
            Enqueued::Rejected(pending) => (None, Some(pending)),
        };
        if let Some(rejected) = rejected {
            self.reject_as_busy(now, *rejected, out);
        }
        if let Some(id) = id {
            self.timers.set(Timer::Deadline(id), deadline);
            self.start(now, id, out);
        }
    }

    /// An operation is not taken, or not kept, as too many are pending.
    fn reject_as_busy(
        &mut self,
        now: Duration,
        pending: PendingOperation,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        if let Operation::Intend {
            attempt: Some(attempt),
            ..
        } = pending.operation
        {
            self.attempts.close(pending.key, attempt);
        }
        let is_log_due = self
            .full_logged_at
            .is_none_or(|at| now.saturating_sub(at) >= FULL_LOG_INTERVAL);
        if is_log_due {
            self.full_logged_at = Some(now);
            out.push(notices::queue_full());
        }
        self.reject(pending.call, RejectReason::Busy, out);
    }

    /// Goes on with an operation whose turn it is.
    fn start(&mut self, now: Duration, id: u64, out: &mut Vec<CoordinatorOutput>) {
        if !self.queue.may_start(id) {
            return;
        }
        let Some(pending) = self.queue.get_mut(id) else {
            return;
        };
        if pending.register_call.is_some() {
            return;
        }
        pending.has_read = false;
        let needs_read = pending.operation.needs_read();
        match self.cache.get(pending.key).filter(|_| !needs_read) {
            Some(found) => self.decide(now, id, Some(found), out),
            None => self.read(now, id, out),
        }
    }

    /// An operation's time is over.
    fn on_deadline(&mut self, now: Duration, id: u64, out: &mut Vec<CoordinatorOutput>) {
        let Some(pending) = self.queue.get_mut(id) else {
            return;
        };
        // One that never had its turn waited for others.
        let had_turn = pending.attempts > 0 || !matches!(pending.phase, Phase::Idle);
        let reason = match had_turn {
            true => pending.failure_reason,
            false => RejectReason::Busy,
        };
        match pending.operation {
            Operation::Intend { .. } => self.undo_intent(now, id, reason, out),
            Operation::ReportOutcome { .. } if pending.call.is_some() => {
                self.continue_in_background(now, id, reason, out);
            }
            _ => self.finish(now, id, Reply::Rejected(reason), None, out),
        }
    }

    /// Answers the caller, and goes on to offer its attempt's outcome to the register.
    fn continue_in_background(
        &mut self,
        now: Duration,
        id: u64,
        reason: RejectReason,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let Some(pending) = self.remove(now, id, out) else {
            return;
        };
        self.reject(pending.call, reason, out);
        let background = pending.in_background(now, now + BACKGROUND_RETRY);
        self.enqueue(now, background, out);
    }

    fn reject(&self, call: Option<Call>, reason: RejectReason, out: &mut Vec<CoordinatorOutput>) {
        if let Some(call) = call {
            out.push(CoordinatorOutput::Event(Event::Rejected { call, reason }));
        }
    }

    /// Removes an operation, unanswered; the next ones go on.
    fn remove(
        &mut self,
        now: Duration,
        id: u64,
        out: &mut Vec<CoordinatorOutput>,
    ) -> Option<PendingOperation> {
        let pending = self.queue.remove(id)?;
        self.timers.clear(Timer::Deadline(id));
        self.timers.clear(Timer::Retry(id));
        if let Some(register_call) = pending.register_call {
            self.register_calls.remove(&register_call);
            self.cache.remove(pending.key);
        }
        for next in self.queue.next(pending.key) {
            self.start(now, next, out);
        }
        Some(pending)
    }

    /// Answers an operation.
    fn finish(
        &mut self,
        now: Duration,
        id: u64,
        reply: Reply,
        record: Option<Record>,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        if let (Reply::Rejected(reason), Some(pending)) = (&reply, self.queue.get(id)) {
            let is_intent = matches!(pending.operation, Operation::Intend { .. });
            if pending.maybe_written && is_intent {
                return self.undo_intent(now, id, *reason, out);
            }
        }
        let Some(pending) = self.remove(now, id, out) else {
            return;
        };
        self.update_attempts(now, &pending, &reply, record.as_ref());
        if let Some(call) = pending.call {
            let event = event_of(call, reply, record.as_ref());
            out.push(CoordinatorOutput::Event(event));
        }
    }
}

/// Why a command is rejected at once, if it is.
fn invalid(now: Duration, request: &Request) -> Option<RejectReason> {
    let is_worker_valid = match &request.operation {
        Operation::Claim { worker } => !worker.is_empty() && worker.len() <= MAX_NAME_BYTES,
        _ => true,
    };
    if request.workflow.len() > MAX_NAME_BYTES || !is_worker_valid {
        return Some(RejectReason::Limit);
    }
    (request.deadline <= now).then_some(RejectReason::NoMajority)
}

fn event_of(call: Call, reply: Reply, record: Option<&Record>) -> Event {
    match reply {
        Reply::Claimed => {
            let (epoch, lease_us) =
                record.map_or((0, 0), |record| (record.epoch(), record.lease().1));
            let (context, steps) = record.map(Record::summary).unwrap_or_default();
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
        Reply::Rejected(reason) => Event::Rejected { call, reason },
        // Permissions to send are answered by `permit_send` alone.
        Reply::SendPermitted => Event::Rejected {
            call,
            reason: RejectReason::Busy,
        },
    }
}
