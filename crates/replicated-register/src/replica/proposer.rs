//! Proposer side of a replica: runs the calls of this process. Calls are queued by register and run one at a time for each
//! register; each is answered by its deadline.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bitternlatch_membership::NameKey;

use super::request::{answer, Request};
use super::Replica;
use crate::ids::IdAllocator;
use crate::message::{Provenance, RejectReason};
use crate::proposal::{LeaderBallot, NextStep, Operation, Outcome, Proposal, Write};
use crate::quorum::majority;
use crate::register::{Accepted, RegisterKey};
use crate::{CallId, Output, RegisterError, MAX_VALUE_BYTES};

/// Maximum number of calls in progress or queued. Further calls fail with [`RegisterError::Busy`].
pub const MAX_CALLS: usize = 4096;
/// Maximum number of leader ballots that are remembered. Without a leader ballot a write takes two rounds.
const MAX_LEADER_BALLOTS: usize = 16 * 1024;
/// Interval at which a message is sent again to replicas that have not responded.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Range of the random backoff in microseconds, before it is doubled with each attempt.
const BACKOFF_MICROS: u64 = 4000;
/// Maximum number of times that the range of the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 7;

/// Calls of this process that are in progress or queued.
pub(super) struct Proposer {
    ids: IdAllocator,
    proposals: BTreeMap<CallId, Proposal>,
    /// Queue of calls for each register. The first call of a queue is in progress.
    queues: BTreeMap<RegisterKey, VecDeque<CallId>>,
    /// Timers of calls, ordered by time.
    timers: BTreeSet<(Duration, CallId)>,
    /// Ballots under which the next write of a register can skip the prepare phase.
    leader_ballots: BTreeMap<RegisterKey, LeaderBallot>,
}

impl Proposer {
    pub(super) fn new(ids: IdAllocator) -> Proposer {
        Proposer {
            ids,
            proposals: BTreeMap::new(),
            queues: BTreeMap::new(),
            timers: BTreeSet::new(),
            leader_ballots: BTreeMap::new(),
        }
    }

    /// Time at which the first timer is due.
    pub(super) fn wake_at(&self) -> Option<Duration> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Whether another call can be accepted: the limit is not reached and its identifier is not in use.
    fn has_capacity(&self, call: CallId) -> bool {
        self.proposals.len() < MAX_CALLS && !self.proposals.contains_key(&call)
    }

    /// Appends a proposal to its register's queue. Returns whether it is the first, so that it has to be started.
    fn enqueue(&mut self, proposal: Proposal) -> bool {
        let (call, key) = (proposal.call, proposal.key);
        self.timers.insert((proposal.deadline, call));
        self.proposals.insert(call, proposal);
        let queue = self.queues.entry(key).or_default();
        queue.push_back(call);
        queue.len() == 1
    }

    /// The call that is in progress for a register, if any.
    fn active_call(&self, key: RegisterKey) -> Option<CallId> {
        self.queues.get(&key)?.front().copied()
    }

    /// The proposal that is in progress for a register, if any, and the allocator of ballots and versions that its methods need.
    fn active(&mut self, key: RegisterKey) -> Option<(&mut Proposal, &mut IdAllocator)> {
        let call = self.active_call(key)?;
        Some((self.proposals.get_mut(&call)?, &mut self.ids))
    }

    fn start(&mut self, call: CallId) {
        let Some(proposal) = self.proposals.get_mut(&call) else {
            return;
        };
        let leader = match proposal.starts_by_reading() {
            true => None,
            false => self.leader_ballots.remove(&proposal.key),
        };
        proposal.start(leader, &mut self.ids);
    }

    /// Applies `change` to the proposal of a call, and moves the call's timer to the proposal's new time.
    fn reschedule(&mut self, call: CallId, change: impl FnOnce(&mut Proposal)) {
        if let Some(proposal) = self.proposals.get_mut(&call) {
            self.timers.remove(&(proposal.timer(), call));
            change(proposal);
            self.timers.insert((proposal.timer(), call));
        }
    }

    /// Remembers a leader ballot. At the limit, forgets the one of the register with the lowest key.
    fn remember_leader(&mut self, key: RegisterKey, leader: LeaderBallot) {
        if self.leader_ballots.len() >= MAX_LEADER_BALLOTS {
            self.leader_ballots.pop_first();
        }
        self.leader_ballots.insert(key, leader);
    }

    /// Removes the proposal and timers of a call that is about to be answered.
    fn remove(&mut self, call: CallId) -> Option<Proposal> {
        let proposal = self.proposals.remove(&call)?;
        self.timers.remove(&(proposal.timer(), call));
        self.timers.remove(&(proposal.deadline, call));
        Some(proposal)
    }

    /// Removes a call from its register's queue. If the call was in progress, returns the next call of the queue, which has to be
    /// started.
    fn dequeue(&mut self, key: RegisterKey, call: CallId) -> Option<CallId> {
        let queue = self.queues.get_mut(&key)?;
        let was_active = queue.front() == Some(&call);
        queue.retain(|waiting| *waiting != call);
        let Some(next) = queue.front().copied() else {
            self.queues.remove(&key);
            return None;
        };
        was_active.then_some(next)
    }
}

impl Replica {
    pub(super) fn read(
        &mut self,
        now: Duration,
        call: CallId,
        key: RegisterKey,
        deadline: Duration,
        out: &mut Vec<Output>,
    ) {
        if self.has_capacity(call) {
            self.enqueue(now, call, key, Operation::Read, deadline, out);
        } else {
            out.push(Output::Read {
                call,
                result: Err(RegisterError::Busy),
            });
        }
    }

    pub(super) fn write(
        &mut self,
        now: Duration,
        call: CallId,
        key: RegisterKey,
        write: Write,
        deadline: Duration,
        out: &mut Vec<Output>,
    ) {
        let bytes = write.body.as_ref().map_or(0, Vec::len);
        let error = if bytes > MAX_VALUE_BYTES {
            Some(RegisterError::TooLong {
                bytes,
                max: MAX_VALUE_BYTES,
            })
        } else {
            (!self.has_capacity(call)).then_some(RegisterError::Busy)
        };
        match error {
            Some(error) => out.push(Output::Written {
                call,
                result: Err(error),
            }),
            None => self.enqueue(now, call, key, Operation::Write(write), deadline, out),
        }
    }

    fn has_capacity(&mut self, call: CallId) -> bool {
        let has_capacity = self.proposer.has_capacity(call);
        self.counters.rejected += u64::from(!has_capacity);
        has_capacity
    }

    fn enqueue(
        &mut self,
        now: Duration,
        call: CallId,
        key: RegisterKey,
        operation: Operation,
        deadline: Duration,
        out: &mut Vec<Output>,
    ) {
        let replicas = self.replicas(key);
        let ids = &mut self.proposer.ids;
        let proposal = Proposal::new(call, key, replicas, deadline, operation, ids);
        let is_first = self.proposer.enqueue(proposal);
        if is_first && now < deadline {
            self.start(now, call, out);
        }
    }

    fn start(&mut self, now: Duration, call: CallId, out: &mut Vec<Output>) {
        self.proposer.start(call);
        self.send_requests(now, call, out);
    }

    /// Sends the proposal's current message to the replicas that have not responded, and sets the timer for sending it again.
    fn send_requests(&mut self, now: Duration, call: CallId, out: &mut Vec<Output>) {
        let Some(proposal) = self.proposer.proposals.get(&call) else {
            return;
        };
        let Some((message, receivers)) = proposal.message() else {
            return;
        };
        self.proposer.reschedule(call, |proposal| {
            proposal.resume_at = now + RETRY_INTERVAL;
        });
        for name in receivers {
            self.send(name, message.clone(), out);
        }
    }

    pub(super) fn on_promise(
        &mut self,
        now: Duration,
        from: NameKey,
        request: Request,
        provenance: Provenance,
        accepted: Option<Accepted>,
        out: &mut Vec<Output>,
    ) {
        self.note_incarnation(from, provenance.incarnation, provenance.count, out);
        let Some((proposal, ids)) = self.proposer.active(request.key) else {
            return;
        };
        let next = proposal.on_promise(from, request.ballot, provenance, accepted, ids);
        self.proceed(now, request.key, next, out);
    }

    pub(super) fn on_accepted(
        &mut self,
        now: Duration,
        from: NameKey,
        request: Request,
        provenance: Provenance,
        out: &mut Vec<Output>,
    ) {
        self.note_incarnation(from, provenance.incarnation, provenance.count, out);
        if self.repairs.is_for(request) {
            return self.on_tombstone_accepted(request.key, from, out);
        }
        let Some((proposal, ids)) = self.proposer.active(request.key) else {
            return;
        };
        let next = proposal.on_accepted(from, request.ballot, provenance, ids);
        self.proceed(now, request.key, next, out);
    }

    pub(super) fn on_rejected(
        &mut self,
        now: Duration,
        from: NameKey,
        request: Request,
        reason: RejectReason,
        out: &mut Vec<Output>,
    ) {
        if matches!(reason, RejectReason::HigherBallot(_)) && self.repairs.is_for(request) {
            // Another proposer has prepared a higher ballot and may replace the tombstone, so the repair ends.
            self.repairs.remove(request.key);
            return;
        }
        let Some((proposal, ids)) = self.proposer.active(request.key) else {
            return;
        };
        let next = proposal.on_rejected(from, request.ballot, reason, ids);
        self.proceed(now, request.key, next, out);
    }

    /// Carries out the next step of the proposal in progress for a register.
    fn proceed(&mut self, now: Duration, key: RegisterKey, next: NextStep, out: &mut Vec<Output>) {
        let Some(call) = self.proposer.active_call(key) else {
            return;
        };
        match next {
            NextStep::Wait => {}
            NextStep::Send => self.send_requests(now, call, out),
            NextStep::Restart => self.back_off(now, call),
            NextStep::Done(outcome, leader) => {
                if let Some(leader) = leader {
                    self.proposer.remember_leader(key, leader);
                }
                self.finish(now, call, outcome, out);
            }
        }
    }

    /// Schedules the restart of a proposal. The first restart is immediate, as the proposer may just have used an outdated ballot.
    /// Later ones are delayed at random over a growing range, so that competing proposers do not preempt each other repeatedly.
    fn back_off(&mut self, now: Duration, call: CallId) {
        let random = self.random_bits();
        self.proposer.reschedule(call, |proposal| {
            let range = match proposal.attempts {
                0 => 1,
                attempts => BACKOFF_MICROS << attempts.min(MAX_BACKOFF_DOUBLINGS),
            };
            proposal.back_off(now + Duration::from_micros(random % range));
        });
    }

    /// Answers a call and starts the next call of its register's queue.
    fn finish(&mut self, now: Duration, call: CallId, outcome: Outcome, out: &mut Vec<Output>) {
        let Some(proposal) = self.proposer.remove(call) else {
            return;
        };
        if matches!(outcome, Outcome::Written(_)) {
            self.start_tombstone_repair(now, &proposal, out);
        }
        out.push(answer(&proposal, outcome));
        if let Some(next) = self.proposer.dequeue(proposal.key, call) {
            self.start(now, next, out);
        }
    }

    pub(super) fn run_due_calls(&mut self, now: Duration, out: &mut Vec<Output>) {
        while let Some((at, call)) = self.proposer.timers.first().copied() {
            if at > now {
                return;
            }
            self.proposer.timers.remove(&(at, call));
            self.run_due_call(now, call, out);
        }
    }

    fn run_due_call(&mut self, now: Duration, call: CallId, out: &mut Vec<Output>) {
        let Some(proposal) = self.proposer.proposals.get(&call) else {
            return;
        };
        let key = proposal.key;
        let is_active = self.proposer.active_call(key) == Some(call);
        if proposal.deadline <= now {
            let error = match is_active {
                true => proposal.failure(),
                false => RegisterError::Busy,
            };
            self.finish(now, call, Outcome::Failed(error), out);
        } else if !is_active {
            self.proposer.timers.insert((proposal.deadline, call));
        } else if proposal.is_backing_off() {
            self.start(now, call, out);
        } else {
            self.on_timeout(now, key, out);
        }
    }

    /// Handles a message that was not answered in time. The call fails at once if membership reports fewer than a majority of the
    /// replicas as reachable and nothing has been proposed for it; otherwise the message is sent again or the proposal restarted.
    fn on_timeout(&mut self, now: Duration, key: RegisterKey, out: &mut Vec<Output>) {
        let reachable = self.reachable(now);
        let Some((proposal, _)) = self.proposer.active(key) else {
            return;
        };
        let lacks_majority = reachable.is_some_and(|reachable| {
            let replicas = &proposal.replicas;
            let present = replicas.iter().filter(|name| reachable.contains(name));
            present.count() < majority(replicas.len())
        });
        let no_majority = RegisterError::NoMajority;
        let next = if lacks_majority && proposal.unless_written(no_majority.clone()) == no_majority
        {
            NextStep::Done(Outcome::Failed(no_majority), None)
        } else {
            proposal.on_timeout()
        };
        self.proceed(now, key, next, out);
    }

    /// The reachable members, including this one; `None` if membership has not reported them or the report is no longer valid.
    fn reachable(&self, now: Duration) -> Option<BTreeSet<NameKey>> {
        let peers = self
            .peers
            .as_ref()
            .filter(|peers| now < peers.valid_until)?;
        Some(
            peers
                .present
                .iter()
                .copied()
                .chain([self.own.name])
                .collect(),
        )
    }
}
