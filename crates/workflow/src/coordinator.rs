//! Handles the core's commands: applies each one to the workflow's record and answers it exactly once, before its deadline.
//!
//! - `decision`: applies an operation's transition to a record.
//! - `register_calls`: reads and writes of registers, and the handling of their failures.
//! - `dispatch_permits`: permits to send a step, and intents that have to be undone.
//! - `notices`: log lines about workflows.

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
use crate::time::{as_micros, seconds_to_micros};
use crate::timers::Timers;
use crate::transition::{Reply, SafetyChecks};

/// How long an attempt's outcome is offered to the register in the background, with no caller waiting for it.
const BACKGROUND_RETRY_LIMIT: Duration = Duration::from_secs(60);
/// How long the short record of an ended workflow is stored before a sweep deletes it.
const ENDED_RECORD_RETENTION: Duration = Duration::from_secs(600);
/// Time limit of the operation that a sweep starts; if it fails, a later sweep starts a new one.
const SWEEP_TIMEOUT: Duration = Duration::from_millis(1000);
/// An operation's deadline is earlier than its caller's by the remaining time divided by this, which leaves time to return the
/// answer.
const ANSWER_RESERVE_DIVISOR: u32 = 20;
/// Shortest lease, microseconds; a shorter one in the settings is raised to it.
const MIN_LEASE_MICROS: u64 = 1000;
/// Minimum time between log lines about a full queue.
const QUEUE_FULL_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What to do when a timer is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// The deadline of this operation has passed: answer it.
    Deadline(u64),
    /// The backoff of this operation is over: retry it.
    Retry(u64),
    /// Renew the lease of this workflow, if an attempt is in flight.
    RenewLease(RegisterKey),
}

/// An output of the coordinator, processed by [`crate::Workflows`].
#[derive(Debug)]
pub(crate) enum CoordinatorOutput {
    /// A call to the register replica.
    Register(Input),
    /// An event for the core.
    Event(Event),
    /// A log line.
    Log {
        /// Whether the line is a warning, which an operator should look at.
        warn: bool,
        /// Text of the log line.
        text: String,
    },
}

/// Coordinates all workflow operations of one dispatcher.
pub(crate) struct Coordinator {
    own: Process,
    limits: Limits,
    /// Length of the leases that this dispatcher claims.
    lease: Duration,
    safety_checks: SafetyChecks,
    queue: Queue,
    /// Maps the number of each register call in progress to the number of its operation.
    register_calls: BTreeMap<u64, u64>,
    last_register_call: u64,
    cache: Cache,
    lease_observer: LeaseObserver,
    attempts: Attempts,
    timers: Timers<Timer>,
    /// When a full queue was last logged.
    queue_full_logged_at: Option<Duration>,
}

/// Returns the key of a workflow's register: the first 16 bytes of the BLAKE3 hash of its name.
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
        let lease_micros = seconds_to_micros(settings.lease_s).max(MIN_LEASE_MICROS);
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
            queue_full_logged_at: None,
        }
    }

    /// Returns when [`Coordinator::wake`] has to be called, if any timer is set.
    pub(crate) fn wake_at(&self) -> Option<Duration> {
        self.timers.next()
    }

    /// Runs all timers that are due.
    pub(crate) fn wake(&mut self, now: Duration, out: &mut Vec<CoordinatorOutput>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Deadline(id) => self.on_deadline(now, id, out),
                Timer::Retry(id) => self.start(now, id, out),
                Timer::RenewLease(key) => self.renew_lease(now, key, out),
            }
        }
    }

    /// Starts the operation of a command, or rejects it at once.
    pub(crate) fn handle(
        &mut self,
        now: Duration,
        command: Command,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let mut request = Request::of(command);
        let call = Some(request.call);
        if let Some(reason) = reject_reason(now, &request) {
            return self.reject(call, reason, out);
        }
        let key = key_of(&request.workflow);
        if !self.assign_attempt(now, key, &mut request.operation) {
            return self.reject(call, RejectReason::Busy, out);
        }
        let deadline = request.deadline - (request.deadline - now) / ANSWER_RESERVE_DIVISOR;
        let Request {
            workflow,
            operation,
            ..
        } = request;
        let pending = PendingOperation::new(now, key, workflow, call, operation, deadline);
        self.enqueue(now, pending, out);
    }

    /// Opens a new attempt for an intent, or finds the attempt that an outcome report is about. Returns false if too many attempts
    /// are tracked.
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

    /// Observes the lease of a record that the local replica holds. If the workflow is overdue (see `is_overdue`), starts an
    /// operation that expires it or deletes its record.
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

    /// Returns whether a record that has been unchanged for this long has to be expired or, if the workflow has ended, deleted.
    fn is_overdue(&self, record: &Record, unchanged: Duration) -> bool {
        match record.state() {
            State::Ended(_) => unchanged >= ENDED_RECORD_RETENTION,
            State::Open => {
                as_micros(unchanged).saturating_add(record.age_us) >= self.limits.max_age_us
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

    /// Rejects an operation because too many are pending: a new one, or one that was removed from the queue for a more urgent one.
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
            .queue_full_logged_at
            .is_none_or(|at| now.saturating_sub(at) >= QUEUE_FULL_LOG_INTERVAL);
        if is_log_due {
            self.queue_full_logged_at = Some(now);
            out.push(notices::queue_full());
        }
        self.reject(pending.call, RejectReason::Busy, out);
    }

    /// Starts or retries an operation if it is its turn and no register call is in progress for it.
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

    /// Ends an operation whose deadline has passed, or that has waited too long for a majority.
    fn on_deadline(&mut self, now: Duration, id: u64, out: &mut Vec<CoordinatorOutput>) {
        let Some(pending) = self.queue.get_mut(id) else {
            return;
        };
        // An operation that never had its turn was delayed by other operations.
        let had_turn = pending.failed_calls > 0 || !matches!(pending.phase, Phase::Idle);
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

    /// Rejects the call, and continues to write the reported outcome in the background.
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
        let background = pending.in_background(now, now + BACKGROUND_RETRY_LIMIT);
        self.enqueue(now, background, out);
    }

    fn reject(&self, call: Option<Call>, reason: RejectReason, out: &mut Vec<CoordinatorOutput>) {
        if let Some(call) = call {
            out.push(CoordinatorOutput::Event(Event::Rejected { call, reason }));
        }
    }

    /// Removes an operation without an answer, and starts the operations that were waiting for it.
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

    /// Removes an operation and answers its call. A rejected intent that may have been stored is undone in addition.
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

/// Returns why a command has to be rejected at once; `None` if it is valid.
fn reject_reason(now: Duration, request: &Request) -> Option<RejectReason> {
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
        // Never reached: only `permit_send` answers with a dispatch permit.
        Reply::SendPermitted => Event::Rejected {
            call,
            reason: RejectReason::Busy,
        },
    }
}
