//! Calls of this process: in a line by register, each with an end.

use std::collections::BTreeSet;
use std::time::Duration;

use bitternlatch_membership::NameKey;

use super::Replica;
use crate::message::{Message, Provenance, RejectReason};
use crate::proposal::{NextStep, Operation, Outcome, Proposal};
use crate::recovery::majority;
use crate::register::{Accepted, Ballot, RegisterKey, State};
use crate::{Call, Output, RegisterError, Version, MAX_VALUE_BYTES};

/// Calls in hand at the most; beyond it they are refused as [`RegisterError::Busy`].
pub const MAX_CALLS: usize = 4096;
/// Leads that are remembered; beyond it a write takes two rounds.
const MAX_LEADER_BALLOTS: usize = 16 * 1024;
/// Gaps that are brought to all copies; beyond it they last longer where a copy missed one.
const MAX_TOMBSTONE_REPAIRS: usize = 4096;
/// What was not answered by then is asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// How long a gap is brought to copies that do not answer.
const REPAIR_TIMEOUT: Duration = Duration::from_secs(60);

/// A gap that not all copies have taken yet.
pub struct TombstoneRepair {
    ballot: Ballot,
    state: State,
    missing: BTreeSet<NameKey>,
    pub at: Duration,
    until: Duration,
}

type Change = (Option<Version>, u64, Option<Vec<u8>>);

impl Replica {
    pub(super) fn read(
        &mut self,
        now: Duration,
        call: Call,
        key: RegisterKey,
        until: Duration,
        out: &mut Vec<Output>,
    ) {
        match self.has_capacity(call) {
            true => self.enqueue(now, call, key, Operation::Read, until, out),
            false => out.push(Output::Read {
                call,
                found: Err(RegisterError::Busy),
            }),
        }
    }

    pub(super) fn write(
        &mut self,
        now: Duration,
        call: Call,
        key: RegisterKey,
        (expected, epoch, body): Change,
        until: Duration,
        out: &mut Vec<Output>,
    ) {
        let bytes = body.as_ref().map_or(0, Vec::len);
        let rejected = match bytes > MAX_VALUE_BYTES {
            true => Some(RegisterError::TooLong {
                bytes,
                most: MAX_VALUE_BYTES,
            }),
            false => (!self.has_capacity(call)).then_some(RegisterError::Busy),
        };
        match rejected {
            Some(error) => out.push(Output::Written {
                call,
                done: Err(error),
            }),
            None => self.enqueue(
                now,
                call,
                key,
                Operation::Write {
                    expected,
                    epoch,
                    body,
                },
                until,
                out,
            ),
        }
    }

    /// Whether one more call may be taken, under a number that is not in use.
    fn has_capacity(&mut self, call: Call) -> bool {
        let room = self.proposals.len() < MAX_CALLS && !self.proposals.contains_key(&call);
        self.counters.rejected += u64::from(!room);
        room
    }

    fn enqueue(
        &mut self,
        now: Duration,
        call: Call,
        key: RegisterKey,
        operation: Operation,
        until: Duration,
        out: &mut Vec<Output>,
    ) {
        let proposal = Proposal::new(
            call,
            key,
            self.replicas(key),
            until,
            operation,
            &mut self.ids,
        );
        self.due.insert((until, call));
        self.proposals.insert(call, proposal);
        let line = self.queues.entry(key).or_default();
        line.push_back(call);
        if line.len() == 1 && now < until {
            self.begin(now, call, out);
        }
    }

    fn begin(&mut self, now: Duration, call: Call, out: &mut Vec<Output>) {
        let Some(proposal) = self.proposals.get_mut(&call) else {
            return;
        };
        let looks = proposal.is_read() && proposal.attempts == 0;
        let leader_ballot = if looks {
            None
        } else {
            self.leader_ballots.remove(&proposal.key)
        };
        proposal.begin(leader_ballot, &mut self.ids);
        self.send_requests(now, call, out);
    }

    /// Asks the copies that have not answered, and again after a while.
    fn send_requests(&mut self, now: Duration, call: Call, out: &mut Vec<Output>) {
        let Some(proposal) = self.proposals.get_mut(&call) else {
            return;
        };
        let Some((message, to)) = proposal.message() else {
            return;
        };
        let was = proposal.at.min(proposal.until);
        proposal.at = now + RETRY_INTERVAL;
        self.due.remove(&(was, call));
        self.due.insert((proposal.at.min(proposal.until), call));
        to.into_iter()
            .for_each(|name| self.send(name, message.clone(), out));
    }

    /// The call that is under way for a register.
    fn active_proposal(&mut self, key: RegisterKey) -> Option<&mut Proposal> {
        let call = self.queues.get(&key)?.front()?;
        self.proposals.get_mut(call)
    }

    pub(super) fn on_promised(
        &mut self,
        now: Duration,
        from: NameKey,
        (key, ballot): (RegisterKey, Ballot),
        provenance: Provenance,
        accepted: Option<Accepted>,
        out: &mut Vec<Output>,
    ) {
        self.note_incarnation(from, provenance.incarnation, provenance.count, out);
        let mut ids = self.ids.clone();
        let Some(proposal) = self.active_proposal(key) else {
            return;
        };
        let next = proposal.on_promised(from, ballot, provenance, accepted, &mut ids);
        self.ids = ids;
        self.proceed(now, key, next, out);
    }

    pub(super) fn on_accepted(
        &mut self,
        now: Duration,
        from: NameKey,
        (key, ballot): (RegisterKey, Ballot),
        provenance: Provenance,
        out: &mut Vec<Output>,
    ) {
        self.note_incarnation(from, provenance.incarnation, provenance.count, out);
        if self
            .tombstone_repairs
            .get(&key)
            .is_some_and(|tombstone_repair| tombstone_repair.ballot == ballot)
        {
            return self.on_tombstone_accepted(key, from, out);
        }
        let mut ids = self.ids.clone();
        let Some(proposal) = self.active_proposal(key) else {
            return;
        };
        let next = proposal.on_accepted(from, ballot, provenance, &mut ids);
        self.ids = ids;
        self.proceed(now, key, next, out);
    }

    pub(super) fn on_rejected(
        &mut self,
        now: Duration,
        from: NameKey,
        (key, ballot): (RegisterKey, Ballot),
        reason: RejectReason,
        out: &mut Vec<Output>,
    ) {
        if matches!(reason, RejectReason::HigherBallot(_))
            && self
                .tombstone_repairs
                .get(&key)
                .is_some_and(|t| t.ballot == ballot)
        {
            self.tombstone_repairs.remove(&key); // Somebody has begun it anew.
            return;
        }
        let mut ids = self.ids.clone();
        let Some(proposal) = self.active_proposal(key) else {
            return;
        };
        let next = proposal.on_rejected(from, ballot, reason, &mut ids);
        self.ids = ids;
        self.proceed(now, key, next, out);
    }

    fn proceed(&mut self, now: Duration, key: RegisterKey, next: NextStep, out: &mut Vec<Output>) {
        let Some(call) = self.queues.get(&key).and_then(|line| line.front()).copied() else {
            return;
        };
        match next {
            NextStep::Wait => {}
            NextStep::Send => self.send_requests(now, call, out),
            NextStep::Restart => {
                let draw = self.draw();
                let Some(proposal) = self.proposals.get_mut(&call) else {
                    return;
                };
                // At once at first, as it may only have been behind; two that met part by chance, over a wider and wider span.
                let span = if proposal.attempts == 0 {
                    1
                } else {
                    4000u64 << proposal.attempts.min(7)
                };
                self.due.remove(&(proposal.at.min(proposal.until), call));
                proposal.wait(now + Duration::from_micros(draw % span));
                self.due.insert((proposal.at.min(proposal.until), call));
            }
            NextStep::Done(answer, leader_ballot) => {
                if let Some(leader_ballot) = leader_ballot {
                    if self.leader_ballots.len() >= MAX_LEADER_BALLOTS {
                        self.leader_ballots.pop_first();
                    }
                    self.leader_ballots.insert(key, leader_ballot);
                }
                self.finish(now, call, answer, out);
            }
        }
    }

    fn finish(&mut self, now: Duration, call: Call, answer: Outcome, out: &mut Vec<Output>) {
        let Some(proposal) = self.proposals.remove(&call) else {
            return;
        };
        self.due.remove(&(proposal.at.min(proposal.until), call));
        self.due.remove(&(proposal.until, call));
        if matches!(answer, Outcome::Written(_)) {
            self.start_tombstone_repair(now, &proposal, out);
        }
        out.push(match answer {
            Outcome::Read(found) => Output::Read {
                call,
                found: Ok(found),
            },
            Outcome::Written(version) => Output::Written {
                call,
                done: Ok(version),
            },
            Outcome::Failed(error) if proposal.is_read() => Output::Read {
                call,
                found: Err(error),
            },
            Outcome::Failed(error) => Output::Written {
                call,
                done: Err(error),
            },
        });
        let Some(line) = self.queues.get_mut(&proposal.key) else {
            return;
        };
        let first = line.front() == Some(&call);
        line.retain(|waiting| *waiting != call);
        match line.front().copied() {
            None => drop(self.queues.remove(&proposal.key)),
            Some(next) if first => self.begin(now, next, out),
            Some(_) => {}
        }
    }

    pub(super) fn run_due_calls(&mut self, now: Duration, out: &mut Vec<Output>) {
        while let Some((at, call)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, call));
            let Some(proposal) = self.proposals.get_mut(&call) else {
                continue;
            };
            let first = self.queues.get(&proposal.key).and_then(|line| line.front()) == Some(&call);
            if proposal.until <= now {
                let error = if first {
                    proposal.failure()
                } else {
                    RegisterError::Busy
                };
                self.finish(now, call, Outcome::Failed(error), out);
            } else if !first {
                self.due.insert((proposal.until, call));
            } else if proposal.is_backing_off() {
                self.begin(now, call, out);
            } else {
                let key = proposal.key;
                self.stalled(now, key, out);
            }
        }
    }

    fn stalled(&mut self, now: Duration, key: RegisterKey, out: &mut Vec<Output>) {
        let peers = self.peers.as_ref().filter(|peers| now < peers.until);
        let there: Option<BTreeSet<NameKey>> =
            peers.map(|peers| peers.there.iter().copied().chain([self.own.name]).collect());
        let Some(proposal) = self.active_proposal(key) else {
            return;
        };
        let few = there.is_some_and(|there| {
            proposal
                .replicas
                .iter()
                .filter(|name| there.contains(name))
                .count()
                < majority(proposal.replicas.len())
        });
        let next = match proposal.unless_written(RegisterError::NoMajority) {
            // It has tried, and by all that is known there is nobody to try on.
            RegisterError::NoMajority if few => {
                NextStep::Done(Outcome::Failed(RegisterError::NoMajority), None)
            }
            _ => proposal.stalled(),
        };
        self.proceed(now, key, next, out);
    }

    /// Brings a gap to the copies that have not taken it, so that all may forget it soon.
    fn start_tombstone_repair(
        &mut self,
        now: Duration,
        proposal: &Proposal,
        out: &mut Vec<Output>,
    ) {
        self.tombstone_repairs.remove(&proposal.key);
        let Some((ballot, state)) = proposal
            .gap()
            .filter(|_| self.tombstone_repairs.len() < MAX_TOMBSTONE_REPAIRS)
        else {
            return;
        };
        let took: BTreeSet<NameKey> = proposal.responders().copied().collect();
        let missing: BTreeSet<NameKey> = proposal
            .replicas
            .iter()
            .copied()
            .filter(|name| !took.contains(name))
            .collect();
        let tombstone_repair = TombstoneRepair {
            ballot,
            state,
            missing,
            at: now + RETRY_INTERVAL,
            until: now + REPAIR_TIMEOUT,
        };
        self.tombstone_repairs
            .insert(proposal.key, tombstone_repair);
        self.finish_tombstone_repair(proposal.key, out);
    }

    fn on_tombstone_accepted(&mut self, key: RegisterKey, from: NameKey, out: &mut Vec<Output>) {
        if let Some(tombstone_repair) = self.tombstone_repairs.get_mut(&key) {
            tombstone_repair.missing.remove(&from);
        }
        self.finish_tombstone_repair(key, out);
    }

    fn finish_tombstone_repair(&mut self, key: RegisterKey, out: &mut Vec<Output>) {
        let Some(tombstone_repair) = self
            .tombstone_repairs
            .get(&key)
            .filter(|tombstone_repair| tombstone_repair.missing.is_empty())
        else {
            return;
        };
        let version = tombstone_repair.state.version;
        self.tombstone_repairs.remove(&key);
        for name in self.replicas(key) {
            self.send(name, Message::Forget { key, version }, out);
        }
    }

    pub(super) fn run_due_tombstone_repairs(&mut self, now: Duration, out: &mut Vec<Output>) {
        let due: Vec<RegisterKey> = self
            .tombstone_repairs
            .iter()
            .filter(|(_, tombstone_repair)| tombstone_repair.at <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            let Some(tombstone_repair) = self.tombstone_repairs.get_mut(&key) else {
                continue;
            };
            if tombstone_repair.until <= now {
                self.tombstone_repairs.remove(&key);
                continue;
            }
            tombstone_repair.at = now + RETRY_INTERVAL * 8;
            let message = Message::Accept {
                key,
                ballot: tombstone_repair.ballot,
                state: tombstone_repair.state.clone(),
            };
            let missing = tombstone_repair.missing.clone();
            missing
                .into_iter()
                .for_each(|name| self.send(name, message.clone(), out));
        }
    }
}
