//! A proposer's work on one call: the rounds of messages until a majority of the replicas has settled it.
//!
//! A read first collects what the replicas have accepted. Where a majority has accepted the same ballot, that is the value, and
//! nothing is written. Otherwise, and for a write, the proposer prepares a ballot and, with the promises of a majority, has the
//! value accepted that the operation derives from the latest one. An outcome is reported only for what a majority has accepted.

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

/// What the proposer waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// Its backoff, as another proposer may be active.
    BackingOff,
    /// What a majority has accepted.
    Reading,
    /// Promises of a majority.
    Preparing,
    /// Acceptance of a state by a majority, and what is answered then.
    Accepting { state: State, outcome: Outcome },
}

/// What the owner of a proposal has to do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum NextStep {
    /// Nothing until the next message or timer.
    Wait,
    /// Send the current message to the replicas that have not responded.
    Send,
    /// Back off, then start again with a higher ballot.
    Restart,
    /// Answer the caller; keep the leader ballot for the next write, if there is one.
    Done(Outcome, Option<LeaderBallot>),
}

/// A replica's response to the current ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Response {
    provenance: Provenance,
    accepted: Option<Accepted>,
}

/// One call of one register in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// The caller's number.
    pub call: CallId,
    /// The register.
    pub key: RegisterKey,
    /// Members that hold the register.
    pub replicas: Vec<NameKey>,
    /// When the caller is answered at the latest.
    pub deadline: Duration,
    /// When the message is sent again, or the backoff ends.
    pub resume_at: Duration,
    /// Times that it was started anew.
    pub attempts: u32,
    operation: Operation,
    ballot: Ballot,
    phase: Phase,
    responses: BTreeMap<NameKey, Response>,
    rejections: BTreeMap<NameKey, RejectReason>,
    /// The last rejection for another reason than a competing proposer.
    failure_reason: Option<RejectReason>,
    own_write: Option<OwnWrite>,
}

impl Proposal {
    /// A proposal that has not been started.
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

    /// Whether it would read without a ballot of its own, so that a leader ballot is of no use to it.
    pub fn starts_by_reading(&self) -> bool {
        self.is_read() && self.attempts == 0
    }

    /// When its timer is due: at the next send or the end of the backoff, or at the deadline.
    pub fn timer(&self) -> Duration {
        self.resume_at.min(self.deadline)
    }

    /// The tombstone that this proposal had accepted, once its write is settled.
    pub fn accepted_tombstone(&self) -> Option<(Ballot, State)> {
        match &self.phase {
            Phase::Accepting {
                state,
                outcome: Outcome::Written(_),
            } if state.body.is_none() => Some((self.ballot, state.clone())),
            _ => None,
        }
    }

    /// Replicas that have responded to the current message.
    pub fn responders(&self) -> impl Iterator<Item = &NameKey> {
        self.responses.keys()
    }

    /// Starts, or starts anew: with one round where a leader ballot fits the operation.
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

    /// Skips the first round under a ballot that is promised already; returns whether the operation allows it.
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

    /// The message of the current phase, and the replicas that have not responded to it.
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

    /// Whether it waits for the end of its backoff.
    pub fn is_backing_off(&self) -> bool {
        self.phase == Phase::BackingOff
    }

    /// Does nothing until a time.
    pub fn back_off(&mut self, until: Duration) {
        self.phase = Phase::BackingOff;
        self.resume_at = until;
        self.attempts += 1;
    }

    /// The replicas did not settle it in time.
    pub fn on_timeout(&mut self) -> NextStep {
        let outpaced = self.was_outpaced();
        self.rejections.clear();
        let undecided = self.phase == Phase::Reading && self.has_majority();
        if outpaced || undecided {
            NextStep::Restart
        } else {
            NextStep::Send
        }
    }

    /// A replica has promised the ballot, or reports what it accepted.
    pub fn on_promise(
        &mut self,
        from: NameKey,
        ballot: Ballot,
        provenance: Provenance,
        accepted: Option<Accepted>,
        ids: &mut IdAllocator,
    ) -> NextStep {
        // A late promise says nothing about acceptance, which may go under the same ballot.
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
        // The next ballot has to be above those that replicas have promised.
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

    /// A majority has responded to a read, and no ballot has a majority.
    fn on_undecided_read(&mut self, ids: &mut IdAllocator) -> NextStep {
        // A response that is still to come may make it a majority.
        if self.responses.len() + self.rejections.len() < self.replicas.len() {
            return NextStep::Wait;
        }
        self.attempts += 1;
        self.start(None, ids);
        NextStep::Send
    }

    /// The latest state is known: proceeds to have the operation's state accepted, or the latest one where that is not settled.
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

    /// A replica has accepted the state.
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

    /// Whether a majority has voted for the latest state, or there is none.
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

    /// Records a response to the current ballot; returns false for one to another ballot. Responses of an incarnation that has
    /// ended since, as another replica knows, are discarded: that replica may have caught up from a majority before this state
    /// was accepted there.
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
