//! The proposer of one call: the message rounds until a majority of the replicas has accepted its result.
//!
//! A read first collects the states that the replicas have accepted. If a majority has accepted the same ballot, its state is the
//! result and nothing is written. Otherwise, and for every write, the proposer prepares a ballot. With the promises of a majority
//! it derives a new state from the latest accepted one and asks the replicas to accept it. A result is reported only after a
//! majority has accepted the state that it is based on.

mod decision;
mod failure;
mod leader_ballot;
mod operation;

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_membership::NameKey;

use crate::ids::IdAllocator;
use crate::message::{Message, Provenance, RejectReason};
use crate::quorum::majority;
use crate::register::{Accepted, Ballot, RegisterKey, State};
use crate::CallId;

use decision::{Decision, OwnWrite};
pub use leader_ballot::LeaderBallot;
pub use operation::{Operation, Outcome, Write};

/// Phase of a proposal: what the proposer waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// Waits for the end of its backoff, or has not been started. A backoff gives way to a competing proposer.
    BackingOff,
    /// Waits for a majority to report the states that they have accepted.
    Reading,
    /// Waits for the promises of a majority.
    Preparing,
    /// Waits for a majority to accept the state; the call then ends with the outcome.
    Accepting { state: State, outcome: Outcome },
}

/// What the caller of a proposal's methods has to do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum NextStep {
    /// Wait for the next message or timer.
    Wait,
    /// Send the message of the current phase to the replicas that have not responded.
    Send,
    /// Back off, then start the proposal again with a higher ballot.
    Restart,
    /// Report the outcome to the caller, and remember the leader ballot, if any, for the next write of the register.
    Done(Outcome, Option<LeaderBallot>),
}

/// A replica's response to the message of the current phase.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Response {
    provenance: Provenance,
    accepted: Option<Accepted>,
}

/// The proposal of one call: a read or write of one register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// Identifies the call.
    pub call: CallId,
    /// Key of the register.
    pub key: RegisterKey,
    /// Members that hold replicas of the register.
    pub replicas: Vec<NameKey>,
    /// Time at which the call fails unless it has completed.
    pub deadline: Duration,
    /// Time at which the current message is sent again, or the backoff ends.
    pub resume_at: Duration,
    /// Number of times that the proposal was restarted.
    pub attempts: u32,
    operation: Operation,
    /// Ballot of the current phase.
    ballot: Ballot,
    phase: Phase,
    /// Responses to the message of the current phase, by replica.
    responses: BTreeMap<NameKey, Response>,
    /// Rejections of the message of the current phase since it was last sent, by replica.
    rejections: BTreeMap<NameKey, RejectReason>,
    /// Reason of the last rejection that was not caused by a competing proposer.
    failure_reason: Option<RejectReason>,
    /// The write that replicas were asked to accept for this call, if any.
    own_write: Option<OwnWrite>,
}

impl Proposal {
    /// Creates a proposal that has not been started.
    pub fn new(
        call: CallId,
        key: RegisterKey,
        replicas: Vec<NameKey>,
        deadline: Duration,
        operation: Operation,
        ids: &mut IdAllocator,
    ) -> Proposal {
        Proposal {
            call,
            key,
            replicas,
            deadline,
            resume_at: Duration::ZERO,
            attempts: 0,
            operation,
            ballot: ids.ballot(),
            phase: Phase::BackingOff,
            responses: BTreeMap::new(),
            rejections: BTreeMap::new(),
            failure_reason: None,
            own_write: None,
        }
    }

    /// Whether the operation is a read.
    pub fn is_read(&self) -> bool {
        self.operation == Operation::Read
    }

    /// Whether the proposal starts with a read round, which needs no promises, so that a leader ballot would be of no use to it.
    pub fn starts_by_reading(&self) -> bool {
        self.is_read() && self.attempts == 0
    }

    /// Time at which the proposal's timer is due: when the message is sent again or the backoff ends, but no later than the
    /// deadline.
    pub fn timer(&self) -> Duration {
        self.resume_at.min(self.deadline)
    }

    /// Ballot and state of the tombstone that this proposal had accepted; `None` if it did not delete the register. To be called
    /// once a majority has accepted the write.
    pub fn accepted_tombstone(&self) -> Option<(Ballot, State)> {
        match &self.phase {
            Phase::Accepting {
                state,
                outcome: Outcome::Written(_),
            } if state.body.is_none() => Some((self.ballot, state.clone())),
            _ => None,
        }
    }

    /// Replicas that have responded to the message of the current phase.
    pub fn responders(&self) -> impl Iterator<Item = &NameKey> {
        self.responses.keys()
    }

    /// Starts or restarts the proposal. A write that the leader ballot fits skips the prepare phase.
    pub fn start(&mut self, leader: Option<LeaderBallot>, ids: &mut IdAllocator) {
        self.responses.clear();
        self.rejections.clear();
        if self.starts_by_reading() {
            self.ballot = ids.ballot();
            self.phase = Phase::Reading;
            return;
        }
        if !leader.is_some_and(|leader| self.start_as_leader(leader, ids)) {
            self.ballot = ids.ballot();
            self.phase = Phase::Preparing;
        }
    }

    /// Skips the prepare phase, as a majority has already promised the leader ballot. Returns false, and changes nothing, unless
    /// the operation is a write that has not been proposed yet and whose expected version and epoch fit the latest state.
    fn start_as_leader(&mut self, leader: LeaderBallot, ids: &mut IdAllocator) -> bool {
        let (Operation::Write(write), None) = (&self.operation, self.own_write) else {
            return false;
        };
        let epoch_allowed = leader
            .latest
            .is_none_or(|latest| latest.epoch <= write.epoch);
        if write.expected != leader.visible_version() || !epoch_allowed {
            return false;
        }
        let version = ids.version(write.epoch, leader.latest);
        let state = State {
            version,
            replaces: leader.latest,
            body: write.body.clone(),
        };
        self.own_write = Some(OwnWrite {
            version,
            base: leader.latest,
        });
        self.ballot = leader.ballot;
        self.phase = Phase::Accepting {
            state,
            outcome: Outcome::Written(version),
        };
        true
    }

    /// The message of the current phase and the replicas that have not responded to it; `None` during a backoff.
    pub fn message(&self) -> Option<(Message, Vec<NameKey>)> {
        let (key, ballot) = (self.key, self.ballot);
        let message = match &self.phase {
            Phase::BackingOff => return None,
            Phase::Reading => Message::Read { key, ballot },
            Phase::Preparing => Message::Prepare { key, ballot },
            Phase::Accepting { state, .. } => Message::Accept {
                key,
                ballot,
                state: state.clone(),
            },
        };
        let receivers = self
            .replicas
            .iter()
            .copied()
            .filter(|name| !self.responses.contains_key(name))
            .collect();
        Some((message, receivers))
    }

    /// Whether the proposal waits for the end of its backoff, or has not been started.
    pub fn is_backing_off(&self) -> bool {
        self.phase == Phase::BackingOff
    }

    /// Begins a backoff until the given time. The owner then restarts the proposal.
    pub fn back_off(&mut self, until: Duration) {
        self.phase = Phase::BackingOff;
        self.resume_at = until;
        self.attempts += 1;
    }

    /// Handles the retry timer: the replicas did not complete the phase in time.
    pub fn on_timeout(&mut self) -> NextStep {
        let preempted = self.was_preempted();
        self.rejections.clear();
        let undecided = self.phase == Phase::Reading && self.has_majority();
        if preempted || undecided {
            NextStep::Restart
        } else {
            NextStep::Send
        }
    }

    /// Handles a replica's promise of the ballot, or its report of the accepted state in a read round.
    pub fn on_promise(
        &mut self,
        from: NameKey,
        ballot: Ballot,
        provenance: Provenance,
        accepted: Option<Accepted>,
        ids: &mut IdAllocator,
    ) -> NextStep {
        // The accept phase uses the same ballot as the prepare phase, so a late promise must not be taken for an acceptance.
        if !matches!(self.phase, Phase::Reading | Phase::Preparing) {
            return NextStep::Wait;
        }
        let response = Response {
            provenance,
            accepted,
        };
        if !self.record_response(from, ballot, response) {
            return NextStep::Wait;
        }
        // Later ballots have to be above those that the replicas promised implicitly when they accepted.
        self.accepted_states()
            .for_each(|accepted| ids.observe(accepted.ballot.next()));
        if !self.has_majority() {
            return NextStep::Wait;
        }
        let latest = self
            .accepted_states()
            .max_by_key(|accepted| accepted.ballot)
            .cloned();
        let settled = self.is_settled(latest.as_ref());
        if self.phase == Phase::Reading && !settled {
            return self.on_undecided_read(ids);
        }
        self.on_latest(latest.map(|accepted| accepted.state), settled, ids)
    }

    /// Handles a read round in which a majority has responded but no ballot has been accepted by a majority.
    fn on_undecided_read(&mut self, ids: &mut IdAllocator) -> NextStep {
        // An outstanding response may complete a majority for a ballot.
        if self.responses.len() + self.rejections.len() < self.replicas.len() {
            return NextStep::Wait;
        }
        self.attempts += 1;
        self.start(None, ids);
        NextStep::Send
    }

    /// Continues once the latest state is known. Proposes the operation's new state if there is one. Otherwise proposes the latest
    /// state again if no majority is known to have accepted it, or completes the call if one is.
    fn on_latest(
        &mut self,
        latest: Option<State>,
        settled: bool,
        ids: &mut IdAllocator,
    ) -> NextStep {
        let Decision { state, outcome } = self.decide(latest.as_ref(), ids);
        let unsettled = latest.clone().filter(|_| !settled);
        let Some(state) = state.or(unsettled) else {
            let prepared = self.phase == Phase::Preparing;
            let leader = prepared.then(|| LeaderBallot::new(self.ballot, latest.as_ref()));
            return NextStep::Done(outcome, leader);
        };
        self.phase = Phase::Accepting { state, outcome };
        self.responses.clear();
        self.rejections.clear();
        NextStep::Send
    }

    /// Handles a replica's acceptance of the proposed state.
    pub fn on_accepted(
        &mut self,
        from: NameKey,
        ballot: Ballot,
        provenance: Provenance,
        ids: &mut IdAllocator,
    ) -> NextStep {
        let Phase::Accepting { state, outcome } = &self.phase else {
            return NextStep::Wait;
        };
        let (state, outcome) = (state.clone(), outcome.clone());
        let response = Response {
            provenance,
            accepted: None,
        };
        if !self.record_response(from, ballot, response) || !self.has_majority() {
            return NextStep::Wait;
        }
        let promised = self.ballot.next();
        ids.observe(promised);
        NextStep::Done(outcome, Some(LeaderBallot::new(promised, Some(&state))))
    }

    /// Whether a message with this ballot, from this member, answers a proposal that is in progress.
    fn is_current(&self, from: NameKey, ballot: Ballot) -> bool {
        ballot == self.ballot && !self.is_backing_off() && self.replicas.contains(&from)
    }

    fn has_majority(&self) -> bool {
        self.responses.len() >= majority(self.replicas.len())
    }

    fn accepted_states(&self) -> impl Iterator<Item = &Accepted> {
        self.responses
            .values()
            .filter_map(|response| response.accepted.as_ref())
    }

    /// Whether a majority has voted for the latest state, or the register has no state. Learned states do not count as votes.
    fn is_settled(&self, latest: Option<&Accepted>) -> bool {
        let Some(latest) = latest else {
            return true;
        };
        let votes = self
            .accepted_states()
            .filter(|accepted| accepted.voted && accepted.ballot == latest.ballot)
            .count();
        votes >= majority(self.replicas.len())
    }

    /// Records a response to the current ballot; returns false and ignores it if it answers another ballot. Also discards responses
    /// whose sender's incarnation has ended since, as far as another response shows: the sender may have lost the state that it
    /// responded for, and may have caught up from replicas that had not accepted it yet.
    fn record_response(&mut self, from: NameKey, ballot: Ballot, response: Response) -> bool {
        if !self.is_current(from, ballot) {
            return false;
        }
        self.rejections.remove(&from);
        self.responses.insert(from, response);
        let known: Vec<(NameKey, u64)> = self
            .responses
            .values()
            .flat_map(|response| response.provenance.incarnations.clone())
            .collect();
        let has_ended = |name: &NameKey, incarnation: u64| {
            known
                .iter()
                .any(|(of, latest)| of == name && *latest > incarnation)
        };
        self.responses
            .retain(|name, response| !has_ended(name, response.provenance.incarnation));
        true
    }
}

#[cfg(test)]
mod tests;
