//! One call: the rounds of a proposer until a majority of the copies has settled it.
//!
//! A read looks: where a majority has taken the same ballot, that is what the register holds, and nothing was written for it.
//! Otherwise, and for a write, the proposer prepares a ballot and, with the promises of a majority, has the value accepted that the
//! latest one asks for. An answer is given only for what a majority has taken.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::{KeepError, Process};

use crate::memory::majority;
use crate::message::{Said, Stamp, Why};
use crate::register::{Accepted, Ballot, RegisterKey, State, Version};
use crate::{Call, ReplicaError};

/// Numbers of one process that are never used twice.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Mint {
    name: NameKey,
    start: u64,
    round: u64,
    count: u64,
}

impl Mint {
    pub fn new(own: Process) -> Mint {
        Mint {
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
            by: self.name,
            start: self.start,
        }
    }

    /// Another one is that far.
    pub fn seen(&mut self, ballot: Ballot) {
        self.round = self.round.max(ballot.round);
    }

    fn version(&mut self, epoch: u64, on: Option<Version>) -> Version {
        self.count = self.count.max(on.map_or(0, |on| on.count)) + 1;
        Version {
            epoch,
            count: self.count,
            writer: self.name,
            start: self.start,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Ask {
    Read,
    /// No body: let go of it.
    Write {
        on: Option<Version>,
        epoch: u64,
        body: Option<Vec<u8>>,
    },
}

/// What is told to who called.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    Read(Option<(Version, Vec<u8>)>),
    Written(Version),
    Failed(ReplicaError),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// Until a moment, as another proposer may be under way.
    Waiting,
    Looking,
    Preparing,
    Accepting {
        state: State,
        answer: Answer,
    },
}

/// A ballot that a majority has promised to this proposer, and what was taken before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lead {
    pub ballot: Ballot,
    pub latest: Option<Version>,
    /// It is a gap.
    pub gap: bool,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Next {
    Wait,
    /// Ask the copies that have not answered.
    Ask,
    /// Begin anew with a higher ballot, after a moment.
    Again,
    Done(Answer, Option<Lead>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Job {
    pub call: Call,
    pub key: RegisterKey,
    pub copies: Vec<NameKey>,
    pub until: Duration,
    /// When it asks again, or begins anew.
    pub at: Duration,
    pub tries: u32,
    ask: Ask,
    ballot: Ballot,
    phase: Phase,
    answers: BTreeMap<NameKey, (Stamp, Option<Accepted>)>,
    refused: BTreeMap<NameKey, Why>,
    /// The last refusal that was not for another proposer.
    why: Option<Why>,
    /// What this call has asked copies to take, and what that was to replace.
    ours: Option<Version>,
    base: Option<Version>,
}

impl Job {
    pub fn new(
        call: Call,
        key: RegisterKey,
        copies: Vec<NameKey>,
        until: Duration,
        ask: Ask,
        mint: &mut Mint,
    ) -> Job {
        let (answers, refused) = (BTreeMap::new(), BTreeMap::new());
        let (ballot, phase) = (mint.ballot(), Phase::Waiting);
        let at = Duration::ZERO;
        Job {
            call,
            key,
            copies,
            until,
            at,
            tries: 0,
            ask,
            ballot,
            phase,
            answers,
            refused,
            why: None,
            ours: None,
            base: None,
        }
    }

    pub fn reads(&self) -> bool {
        self.ask == Ask::Read
    }

    /// The gap that it makes, once that is settled.
    pub fn gap(&self) -> Option<(Ballot, State)> {
        match &self.phase {
            Phase::Accepting {
                state,
                answer: Answer::Written(_),
            } if state.body.is_none() => Some((self.ballot, state.clone())),
            _ => None,
        }
    }

    /// Who has done what it says.
    pub fn answered(&self) -> impl Iterator<Item = &NameKey> {
        self.answers.keys()
    }

    /// Begins: in one round where it has the lead and that fits.
    pub fn begin(&mut self, lead: Option<Lead>, mint: &mut Mint) {
        let (answers, refused) = (BTreeMap::new(), BTreeMap::new());
        (self.answers, self.refused) = (answers, refused);
        if self.reads() && self.tries == 0 {
            (self.ballot, self.phase) = (mint.ballot(), Phase::Looking);
            return;
        }
        if let (Ask::Write { on, epoch, body }, Some(lead), None) = (&self.ask, lead, self.ours) {
            let shown = lead.latest.filter(|_| !lead.gap);
            if *on == shown && lead.latest.is_none_or(|latest| latest.epoch <= *epoch) {
                let version = mint.version(*epoch, lead.latest);
                let state = State {
                    version,
                    before: lead.latest,
                    body: body.clone(),
                };
                (self.ours, self.base, self.ballot) = (Some(version), lead.latest, lead.ballot);
                self.phase = Phase::Accepting {
                    state,
                    answer: Answer::Written(version),
                };
                return;
            }
        }
        (self.ballot, self.phase) = (mint.ballot(), Phase::Preparing);
    }

    /// What to say, and to whom.
    pub fn says(&self) -> Option<(Said, Vec<NameKey>)> {
        let (key, ballot) = (self.key, self.ballot);
        let said = match &self.phase {
            Phase::Waiting => return None,
            Phase::Looking => Said::Look { key, ballot },
            Phase::Preparing => Said::Prepare { key, ballot },
            Phase::Accepting { state, .. } => Said::Accept {
                key,
                ballot,
                state: state.clone(),
            },
        };
        let to = self
            .copies
            .iter()
            .copied()
            .filter(|name| !self.answers.contains_key(name))
            .collect();
        Some((said, to))
    }

    /// Whether it does nothing until its time.
    pub fn waits(&self) -> bool {
        self.phase == Phase::Waiting
    }

    pub fn wait(&mut self, at: Duration) {
        (self.phase, self.at) = (Phase::Waiting, at);
        self.tries += 1;
    }

    /// Nothing came of it for a while.
    pub fn stalled(&mut self) -> Next {
        let passed = self
            .refused
            .values()
            .any(|why| matches!(why, Why::Passed(_)));
        self.refused.clear();
        let apart =
            self.phase == Phase::Looking && self.answers.len() >= majority(self.copies.len());
        if passed || apart {
            Next::Again
        } else {
            Next::Ask
        }
    }

    pub fn on_promised(
        &mut self,
        from: NameKey,
        ballot: Ballot,
        stamp: Stamp,
        accepted: Option<Accepted>,
        mint: &mut Mint,
    ) -> Next {
        let looking = self.phase == Phase::Looking;
        // A late promise says nothing about whether the value was taken, which may go under the same ballot.
        if !(looking || self.phase == Phase::Preparing) || !self.take(from, ballot, stamp, accepted)
        {
            return Next::Wait;
        }
        let most = majority(self.copies.len());
        let taken = || {
            self.answers
                .values()
                .filter_map(|(_, accepted)| accepted.as_ref())
        };
        // So that the next ballot is not refused.
        taken().for_each(|a| mint.seen(a.ballot.next()));
        if self.answers.len() < most {
            return Next::Wait;
        }
        let latest = taken().max_by_key(|a| a.ballot).cloned();
        let same = |a: &&Accepted| a.own && latest.as_ref().is_some_and(|l| l.ballot == a.ballot);
        let settled = latest.is_none() || taken().filter(same).count() >= most;
        if looking && !settled {
            // The third answer may make it a majority; otherwise it has to be settled in rounds.
            if self.answers.len() + self.refused.len() < self.copies.len() {
                return Next::Wait;
            }
            self.tries += 1;
            self.begin(None, mint);
            return Next::Ask;
        }
        let latest = latest.map(|l| l.state);
        let (state, answer) = match self.verdict(latest.as_ref(), mint) {
            (Some(state), answer) => (state, answer),
            (None, answer) => match latest.clone().filter(|_| !settled) {
                Some(state) => (state, answer),
                None => {
                    let lead = (!looking).then(|| self.lead(self.ballot, latest.as_ref()));
                    return Next::Done(answer, lead);
                }
            },
        };
        self.phase = Phase::Accepting { state, answer };
        self.answers.clear();
        self.refused.clear();
        Next::Ask
    }

    pub fn on_took(
        &mut self,
        from: NameKey,
        ballot: Ballot,
        stamp: Stamp,
        mint: &mut Mint,
    ) -> Next {
        let Phase::Accepting { state, answer } = &self.phase else {
            return Next::Wait;
        };
        let (state, answer) = (state.clone(), answer.clone());
        if !self.take(from, ballot, stamp, None) || self.answers.len() < majority(self.copies.len())
        {
            return Next::Wait;
        }
        mint.seen(self.ballot.next());
        Next::Done(answer, Some(self.lead(self.ballot.next(), Some(&state))))
    }

    pub fn on_refused(&mut self, from: NameKey, ballot: Ballot, why: Why, mint: &mut Mint) -> Next {
        if ballot != self.ballot || self.waits() || !self.copies.contains(&from) {
            return Next::Wait;
        }
        match why {
            Why::Passed(passed) => mint.seen(passed),
            why => self.why = Some(why),
        }
        self.refused.insert(from, why);
        let spare = self.copies.len() - majority(self.copies.len());
        let count = |of: &dyn Fn(&Why) -> bool| self.refused.values().filter(|why| of(why)).count();
        if count(&|why| *why == Why::Lost) > spare {
            return Next::Done(Answer::Failed(self.undone(ReplicaError::Lost)), None);
        }
        let hard =
            |why: &Why| matches!(why, Why::Lost | Why::Full | Why::DiskFull | Why::DiskFault);
        if count(&hard) > spare {
            return Next::Done(Answer::Failed(self.failure()), None);
        }
        if self.refused.len() > spare && count(&|why| matches!(why, Why::Passed(_))) > 0 {
            return Next::Again;
        }
        Next::Wait
    }

    /// Why it has come to nothing by its end.
    pub fn failure(&self) -> ReplicaError {
        match self.why {
            Some(Why::Full) => ReplicaError::Full,
            Some(Why::DiskFull) => ReplicaError::NotKept(KeepError::Full),
            Some(Why::DiskFault) => {
                ReplicaError::NotKept(KeepError::Io("at a majority of the copies".into()))
            }
            Some(Why::Lost) => self.undone(ReplicaError::Lost),
            Some(Why::CatchingUp) => self.undone(ReplicaError::CatchingUp),
            _ => self.undone(ReplicaError::NoMajority),
        }
    }

    /// An error that says that nothing is written, unless something may be.
    pub fn undone(&self, error: ReplicaError) -> ReplicaError {
        match self.ours {
            None => error,
            Some(_) => ReplicaError::TimedOut,
        }
    }

    /// Takes an answer to the ballot under way. What a memory said that has ended since, as another copy knows, counts no more: that
    /// one may have caught up from a majority before this was taken there.
    fn take(
        &mut self,
        from: NameKey,
        ballot: Ballot,
        stamp: Stamp,
        accepted: Option<Accepted>,
    ) -> bool {
        if ballot != self.ballot || self.waits() || !self.copies.contains(&from) {
            return false;
        }
        self.refused.remove(&from);
        self.answers.insert(from, (stamp, accepted));
        let lives: Vec<(NameKey, u64)> = self
            .answers
            .values()
            .flat_map(|(s, _)| s.lives.clone())
            .collect();
        let ended =
            |name: &NameKey, life: u64| lives.iter().any(|(of, known)| of == name && *known > life);
        self.answers
            .retain(|name, (stamp, _)| !ended(name, stamp.life));
        true
    }

    fn lead(&self, ballot: Ballot, latest: Option<&State>) -> Lead {
        Lead {
            ballot,
            latest: latest.map(|s| s.version),
            gap: latest.is_some_and(|s| s.body.is_none()),
        }
    }

    /// What is to be written on top of the latest, if anything, and the answer once that, or the latest, is settled.
    fn verdict(&mut self, latest: Option<&State>, mint: &mut Mint) -> (Option<State>, Answer) {
        let failed = |error| (None, Answer::Failed(error));
        let Ask::Write { on, epoch, body } = &self.ask else {
            let found = latest.and_then(|s| Some((s.version, s.body.clone()?)));
            return (None, Answer::Read(found));
        };
        let (shown, version) = (latest.and_then(State::shown), latest.map(|s| s.version));
        if let Some(ours) = self.ours {
            // It may have been taken, and others may have gone on from it.
            let before = latest.and_then(|s| s.before);
            return match version {
                _ if version == Some(ours) => (None, Answer::Written(ours)),
                _ if version == self.base => {
                    let state = State {
                        version: ours,
                        before: version,
                        body: body.clone(),
                    };
                    (Some(state), Answer::Written(ours))
                }
                _ if before == Some(ours) => (None, Answer::Written(ours)),
                Some(_) if before == self.base => failed(ReplicaError::Conflict { latest: shown }),
                _ => failed(ReplicaError::TimedOut),
            };
        }
        match latest {
            Some(state) if state.version.epoch > *epoch => {
                return failed(ReplicaError::EpochPassed {
                    epoch: state.version.epoch,
                });
            }
            _ if shown != *on => return failed(ReplicaError::Conflict { latest: shown }),
            _ => {}
        }
        let ours = mint.version(*epoch, version);
        (self.ours, self.base) = (Some(ours), version);
        (
            Some(State {
                version: ours,
                before: version,
                body: body.clone(),
            }),
            Answer::Written(ours),
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ON: Version = Version {
        epoch: 1,
        count: 1,
        writer: NameKey(9),
        start: 1,
    };

    fn job(ask: Ask) -> (Job, Mint) {
        let mut mint = Mint::new(Process {
            name: NameKey(9),
            start: 1,
        });
        let copies = (1..=3).map(NameKey).collect();
        let mut job = Job::new(
            Call(1),
            RegisterKey([0; 16]),
            copies,
            Duration::MAX,
            ask,
            &mut mint,
        );
        job.begin(None, &mut mint);
        (job, mint)
    }

    fn stamp(life: u64, other: u32, known: u64) -> Stamp {
        Stamp {
            life,
            count: 1,
            lives: vec![(NameKey(other), known)],
        }
    }

    fn accepted(round: u64, own: bool) -> Option<Accepted> {
        let state = State {
            version: ON,
            before: None,
            body: Some(vec![1]),
        };
        Some(Accepted {
            ballot: Ballot {
                round,
                by: NameKey(9),
                start: 1,
            },
            state,
            own,
        })
    }

    #[test]
    fn what_a_copy_has_learnt_is_no_vote_and_is_settled_before_it_is_told() {
        let (mut job, mut mint) = job(Ask::Read);
        let look = job.ballot;
        let next = job.on_promised(
            NameKey(1),
            look,
            stamp(1, 2, 1),
            accepted(1, true),
            &mut mint,
        );
        assert_eq!(next, Next::Wait);
        let next = job.on_promised(
            NameKey(2),
            look,
            stamp(1, 1, 1),
            accepted(1, false),
            &mut mint,
        );
        assert_eq!(next, Next::Wait);
        let next = job.on_promised(NameKey(3), look, stamp(1, 1, 1), None, &mut mint);
        assert_eq!((next, &job.phase), (Next::Ask, &Phase::Preparing));
    }

    #[test]
    fn a_vote_of_a_memory_that_has_ended_is_asked_for_again() {
        let (mut job, mut mint) = job(Ask::Write {
            on: None,
            epoch: 1,
            body: Some(vec![1]),
        });
        let ballot = job.ballot;
        job.on_promised(NameKey(1), ballot, stamp(1, 2, 1), None, &mut mint);
        let next = job.on_promised(NameKey(2), ballot, stamp(1, 1, 1), None, &mut mint);
        assert_eq!(next, Next::Ask);
        assert_eq!(
            job.on_took(NameKey(1), ballot, stamp(1, 2, 1), &mut mint),
            Next::Wait
        );
        // The second one has heard meanwhile that the first has begun anew, and may have told it what it held before this.
        assert_eq!(
            job.on_took(NameKey(2), ballot, stamp(1, 1, 2), &mut mint),
            Next::Wait
        );
        let asked: Vec<NameKey> = job.says().map(|(_, to)| to).unwrap_or_default();
        assert_eq!(asked, [NameKey(1), NameKey(3)]);
        let next = job.on_took(NameKey(1), ballot, stamp(2, 2, 1), &mut mint);
        assert!(matches!(next, Next::Done(Answer::Written(_), Some(_))));
    }
}
