//! One call: the rounds of a proposer until a majority of the copies has settled it.
//!
//! A read looks: where a majority has taken the same ballot, that is what the register holds, and nothing was written for it.
//! Otherwise, and for a write, the proposer prepares a ballot and, with the promises of a majority, has the value accepted that the
//! latest one asks for. An answer is given only for what a majority has taken.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::{KeepError, Process};

use crate::message::{Message, Provenance, RejectReason};
use crate::recovery::majority;
use crate::register::{Accepted, Ballot, RegisterKey, State, Version};
use crate::{Call, RegisterError};

/// Numbers of one process that are never used twice.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdAllocator {
    name: NameKey,
    start: u64,
    round: u64,
    count: u64,
}

impl IdAllocator {
    pub fn new(own: Process) -> IdAllocator {
        IdAllocator {
            name: own.name,
            start: own.start,
            round: 0,
            count: 0,
        }
    }

    pub fn ballot(&mut self) -> Ballot {
        self.round += 1;
        Ballot {
            round: self.round,
            proposer: self.name,
            start: self.start,
        }
    }

    /// Another one is that far.
    pub fn observe(&mut self, ballot: Ballot) {
        self.round = self.round.max(ballot.round);
    }

    fn version(&mut self, epoch: u64, expected: Option<Version>) -> Version {
        self.count = self
            .count
            .max(expected.map_or(0, |expected| expected.count))
            + 1;
        Version {
            epoch,
            count: self.count,
            writer: self.name,
            start: self.start,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    Read,
    /// No body: let go of it.
    Write {
        expected: Option<Version>,
        epoch: u64,
        body: Option<Vec<u8>>,
    },
}

/// What is told to who called.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    Read(Option<(Version, Vec<u8>)>),
    Written(Version),
    Failed(RegisterError),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// Until a moment, as another proposer may be under way.
    BackingOff,
    Reading,
    Preparing,
    Accepting {
        state: State,
        answer: Outcome,
    },
}

/// A ballot that a majority has promised to this proposer, and what was taken before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaderBallot {
    pub ballot: Ballot,
    pub latest: Option<Version>,
    /// It is a gap.
    pub gap: bool,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum NextStep {
    Wait,
    /// Ask the copies that have not answered.
    Send,
    /// Begin anew with a higher ballot, after a moment.
    Restart,
    Done(Outcome, Option<LeaderBallot>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    pub call: Call,
    pub key: RegisterKey,
    pub replicas: Vec<NameKey>,
    pub until: Duration,
    /// When it asks again, or begins anew.
    pub at: Duration,
    pub attempts: u32,
    operation: Operation,
    ballot: Ballot,
    phase: Phase,
    answers: BTreeMap<NameKey, (Provenance, Option<Accepted>)>,
    rejected: BTreeMap<NameKey, RejectReason>,
    /// The last refusal that was not for another proposer.
    reason: Option<RejectReason>,
    /// What this call has asked copies to take, and what that was to replace.
    own_version: Option<Version>,
    base: Option<Version>,
}

impl Proposal {
    pub fn new(
        call: Call,
        key: RegisterKey,
        replicas: Vec<NameKey>,
        until: Duration,
        operation: Operation,
        ids: &mut IdAllocator,
    ) -> Proposal {
        let (answers, rejected) = (BTreeMap::new(), BTreeMap::new());
        let (ballot, phase) = (ids.ballot(), Phase::BackingOff);
        let at = Duration::ZERO;
        Proposal {
            call,
            key,
            replicas,
            until,
            at,
            attempts: 0,
            operation,
            ballot,
            phase,
            answers,
            rejected,
            reason: None,
            own_version: None,
            base: None,
        }
    }

    pub fn is_read(&self) -> bool {
        self.operation == Operation::Read
    }

    /// The gap that it makes, once that is settled.
    pub fn gap(&self) -> Option<(Ballot, State)> {
        match &self.phase {
            Phase::Accepting {
                state,
                answer: Outcome::Written(_),
            } if state.body.is_none() => Some((self.ballot, state.clone())),
            _ => None,
        }
    }

    /// Who has done what it says.
    pub fn responders(&self) -> impl Iterator<Item = &NameKey> {
        self.answers.keys()
    }

    /// Begins: in one round where it has the lead and that fits.
    pub fn begin(&mut self, leader_ballot: Option<LeaderBallot>, ids: &mut IdAllocator) {
        let (answers, rejected) = (BTreeMap::new(), BTreeMap::new());
        (self.answers, self.rejected) = (answers, rejected);
        if self.is_read() && self.attempts == 0 {
            (self.ballot, self.phase) = (ids.ballot(), Phase::Reading);
            return;
        }
        if let (
            Operation::Write {
                expected,
                epoch,
                body,
            },
            Some(leader_ballot),
            None,
        ) = (&self.operation, leader_ballot, self.own_version)
        {
            let visible_version = leader_ballot.latest.filter(|_| !leader_ballot.gap);
            if *expected == visible_version
                && leader_ballot
                    .latest
                    .is_none_or(|latest| latest.epoch <= *epoch)
            {
                let version = ids.version(*epoch, leader_ballot.latest);
                let state = State {
                    version,
                    before: leader_ballot.latest,
                    body: body.clone(),
                };
                (self.own_version, self.base, self.ballot) =
                    (Some(version), leader_ballot.latest, leader_ballot.ballot);
                self.phase = Phase::Accepting {
                    state,
                    answer: Outcome::Written(version),
                };
                return;
            }
        }
        (self.ballot, self.phase) = (ids.ballot(), Phase::Preparing);
    }

    /// What to say, and to whom.
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
        let to = self
            .replicas
            .iter()
            .copied()
            .filter(|name| !self.answers.contains_key(name))
            .collect();
        Some((message, to))
    }

    /// Whether it does nothing until its time.
    pub fn is_backing_off(&self) -> bool {
        self.phase == Phase::BackingOff
    }

    pub fn wait(&mut self, at: Duration) {
        (self.phase, self.at) = (Phase::BackingOff, at);
        self.attempts += 1;
    }

    /// Nothing came of it for a while.
    pub fn stalled(&mut self) -> NextStep {
        let passed = self
            .rejected
            .values()
            .any(|reason| matches!(reason, RejectReason::HigherBallot(_)));
        self.rejected.clear();
        let apart =
            self.phase == Phase::Reading && self.answers.len() >= majority(self.replicas.len());
        if passed || apart {
            NextStep::Restart
        } else {
            NextStep::Send
        }
    }

    pub fn on_promised(
        &mut self,
        from: NameKey,
        ballot: Ballot,
        provenance: Provenance,
        accepted: Option<Accepted>,
        ids: &mut IdAllocator,
    ) -> NextStep {
        let looking = self.phase == Phase::Reading;
        // A late promise says nothing about whether the value was taken, which may go under the same ballot.
        if !(looking || self.phase == Phase::Preparing)
            || !self.take(from, ballot, provenance, accepted)
        {
            return NextStep::Wait;
        }
        let majority_size = majority(self.replicas.len());
        let taken = || {
            self.answers
                .values()
                .filter_map(|(_, accepted)| accepted.as_ref())
        };
        // So that the next ballot is not refused.
        taken().for_each(|a| ids.observe(a.ballot.next()));
        if self.answers.len() < majority_size {
            return NextStep::Wait;
        }
        let latest = taken().max_by_key(|a| a.ballot).cloned();
        let same = |a: &&Accepted| a.own && latest.as_ref().is_some_and(|l| l.ballot == a.ballot);
        let settled = latest.is_none() || taken().filter(same).count() >= majority_size;
        if looking && !settled {
            // The third answer may make it a majority; otherwise it has to be settled in rounds.
            if self.answers.len() + self.rejected.len() < self.replicas.len() {
                return NextStep::Wait;
            }
            self.attempts += 1;
            self.begin(None, ids);
            return NextStep::Send;
        }
        let latest = latest.map(|l| l.state);
        let (state, answer) = match self.decide(latest.as_ref(), ids) {
            (Some(state), answer) => (state, answer),
            (None, answer) => match latest.clone().filter(|_| !settled) {
                Some(state) => (state, answer),
                None => {
                    let leader_ballot =
                        (!looking).then(|| self.leader_ballot(self.ballot, latest.as_ref()));
                    return NextStep::Done(answer, leader_ballot);
                }
            },
        };
        self.phase = Phase::Accepting { state, answer };
        self.answers.clear();
        self.rejected.clear();
        NextStep::Send
    }

    pub fn on_accepted(
        &mut self,
        from: NameKey,
        ballot: Ballot,
        provenance: Provenance,
        ids: &mut IdAllocator,
    ) -> NextStep {
        let Phase::Accepting { state, answer } = &self.phase else {
            return NextStep::Wait;
        };
        let (state, answer) = (state.clone(), answer.clone());
        if !self.take(from, ballot, provenance, None)
            || self.answers.len() < majority(self.replicas.len())
        {
            return NextStep::Wait;
        }
        ids.observe(self.ballot.next());
        NextStep::Done(
            answer,
            Some(self.leader_ballot(self.ballot.next(), Some(&state))),
        )
    }

    pub fn on_rejected(
        &mut self,
        from: NameKey,
        ballot: Ballot,
        reason: RejectReason,
        ids: &mut IdAllocator,
    ) -> NextStep {
        if ballot != self.ballot || self.is_backing_off() || !self.replicas.contains(&from) {
            return NextStep::Wait;
        }
        match reason {
            RejectReason::HigherBallot(passed) => ids.observe(passed),
            reason => self.reason = Some(reason),
        }
        self.rejected.insert(from, reason);
        let spare = self.replicas.len() - majority(self.replicas.len());
        let count = |of: &dyn Fn(&RejectReason) -> bool| {
            self.rejected.values().filter(|reason| of(reason)).count()
        };
        if count(&|reason| *reason == RejectReason::Lost) > spare {
            return NextStep::Done(
                Outcome::Failed(self.unless_written(RegisterError::Lost)),
                None,
            );
        }
        let hard = |reason: &RejectReason| {
            matches!(
                reason,
                RejectReason::Lost
                    | RejectReason::Full
                    | RejectReason::DiskFull
                    | RejectReason::DiskFault
            )
        };
        if count(&hard) > spare {
            return NextStep::Done(Outcome::Failed(self.failure()), None);
        }
        if self.rejected.len() > spare
            && count(&|reason| matches!(reason, RejectReason::HigherBallot(_))) > 0
        {
            return NextStep::Restart;
        }
        NextStep::Wait
    }

    /// Why it has come to nothing by its end.
    pub fn failure(&self) -> RegisterError {
        match self.reason {
            Some(RejectReason::Full) => RegisterError::Full,
            Some(RejectReason::DiskFull) => RegisterError::NotStored(KeepError::Full),
            Some(RejectReason::DiskFault) => {
                RegisterError::NotStored(KeepError::Io("at a majority of the copies".into()))
            }
            Some(RejectReason::Lost) => self.unless_written(RegisterError::Lost),
            Some(RejectReason::CatchingUp) => self.unless_written(RegisterError::CatchingUp),
            _ => self.unless_written(RegisterError::NoMajority),
        }
    }

    /// An error that says that nothing is written, unless something may be.
    pub fn unless_written(&self, error: RegisterError) -> RegisterError {
        match self.own_version {
            None => error,
            Some(_) => RegisterError::TimedOut,
        }
    }

    /// Takes an answer to the ballot under way. What a memory said that has ended since, as another copy knows, counts no more: that
    /// one may have caught up from a majority before this was taken there.
    fn take(
        &mut self,
        from: NameKey,
        ballot: Ballot,
        provenance: Provenance,
        accepted: Option<Accepted>,
    ) -> bool {
        if ballot != self.ballot || self.is_backing_off() || !self.replicas.contains(&from) {
            return false;
        }
        self.rejected.remove(&from);
        self.answers.insert(from, (provenance, accepted));
        let incarnations: Vec<(NameKey, u64)> = self
            .answers
            .values()
            .flat_map(|(s, _)| s.incarnations.clone())
            .collect();
        let ended = |name: &NameKey, incarnation: u64| {
            incarnations
                .iter()
                .any(|(of, known)| of == name && *known > incarnation)
        };
        self.answers
            .retain(|name, (provenance, _)| !ended(name, provenance.incarnation));
        true
    }

    fn leader_ballot(&self, ballot: Ballot, latest: Option<&State>) -> LeaderBallot {
        LeaderBallot {
            ballot,
            latest: latest.map(|s| s.version),
            gap: latest.is_some_and(|s| s.body.is_none()),
        }
    }

    /// What is to be written on top of the latest, if anything, and the answer once that, or the latest, is settled.
    fn decide(
        &mut self,
        latest: Option<&State>,
        ids: &mut IdAllocator,
    ) -> (Option<State>, Outcome) {
        let failed = |error| (None, Outcome::Failed(error));
        let Operation::Write {
            expected,
            epoch,
            body,
        } = &self.operation
        else {
            let found = latest.and_then(|s| Some((s.version, s.body.clone()?)));
            return (None, Outcome::Read(found));
        };
        let (visible_version, version) = (
            latest.and_then(State::visible_version),
            latest.map(|s| s.version),
        );
        if let Some(own_version) = self.own_version {
            // It may have been taken, and others may have gone on from it.
            let before = latest.and_then(|s| s.before);
            return match version {
                _ if version == Some(own_version) => (None, Outcome::Written(own_version)),
                _ if version == self.base => {
                    let state = State {
                        version: own_version,
                        before: version,
                        body: body.clone(),
                    };
                    (Some(state), Outcome::Written(own_version))
                }
                _ if before == Some(own_version) => (None, Outcome::Written(own_version)),
                Some(_) if before == self.base => failed(RegisterError::Conflict {
                    latest: visible_version,
                }),
                _ => failed(RegisterError::TimedOut),
            };
        }
        match latest {
            Some(state) if state.version.epoch > *epoch => {
                return failed(RegisterError::StaleEpoch {
                    epoch: state.version.epoch,
                });
            }
            _ if visible_version != *expected => {
                return failed(RegisterError::Conflict {
                    latest: visible_version,
                })
            }
            _ => {}
        }
        let own_version = ids.version(*epoch, version);
        (self.own_version, self.base) = (Some(own_version), version);
        (
            Some(State {
                version: own_version,
                before: version,
                body: body.clone(),
            }),
            Outcome::Written(own_version),
        )
    }
}

#[cfg(test)]
mod tests;
