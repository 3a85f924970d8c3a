//! Model checking with `stateright` of two writers and three replicas of one register. The network may lose, duplicate and reorder
//! messages, and one replica may lose its state and catch up. The model runs the acceptor and proposal code of the service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::Process;
use stateright::{Checker, Model, Property};

use crate::ids::IdAllocator;
use crate::message::{Message, Provenance, RejectReason};
use crate::proposal::{LeaderBallot, NextStep, Operation, Outcome, Proposal, Write};
use crate::register::{Acceptor, RegisterKey};
use crate::{CallId, RegisterError, Version};

const KEY: RegisterKey = RegisterKey([7; 16]);
const REPLICAS: u32 = 3;
/// Number used as the name of the first writer. The replicas' names are numbered from 0, below the writers'.
const FIRST_WRITER: u32 = 10;

/// Bounds of the explored state space.
#[derive(Clone, Copy)]
struct Bounds {
    /// Number of consecutive writes by each writer.
    writes: [usize; 2],
    /// Maximum number of restarts of each proposal.
    attempts: u32,
    /// Maximum number of times that a replica loses its state.
    losses: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Writer {
    ids: IdAllocator,
    proposal: Option<Proposal>,
    leader_ballot: Option<LeaderBallot>,
    /// Number of writes that the writer has started.
    started_writes: usize,
    /// Version that the writer expects in its next write.
    expected: Option<Version>,
    /// Expected and new version of each write that succeeded.
    completed_writes: Vec<(Option<Version>, Version)>,
    /// Versions that were reported to the writer, as written by it or as the latest.
    observed: Vec<Version>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct ModelReplica {
    acceptor: Acceptor,
    incarnation: u64,
    /// Incarnations of the other replicas that this one knows.
    incarnations: BTreeMap<NameKey, u64>,
    /// While the replica catches up, the replicas that it has fetched state from; `None` otherwise.
    fetched: Option<BTreeSet<u32>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    replicas: Vec<ModelReplica>,
    writers: Vec<Writer>,
    /// All messages that were ever sent, as sender, receiver and frame. Each may arrive any number of times.
    in_flight: BTreeSet<(u32, u32, Vec<u8>)>,
    /// Number of times that a replica has lost its state.
    losses: u32,
    /// For each writer, the latest version that any writer had observed when its current write started.
    observed_at_start: Vec<Option<Version>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// This writer starts its next write.
    StartWrite(usize),
    /// This writer restarts its proposal.
    Restart(usize),
    /// A message arrives: sender, receiver and frame.
    Deliver(u32, u32, Vec<u8>),
    /// This replica loses its state.
    LoseState(u32),
    /// The first replica fetches all state of the second one.
    Transfer(u32, u32),
}

struct RegisterModel(Bounds);

impl RegisterModel {
    fn send(&self, state: &mut State, w: usize) {
        let Some(proposal) = &state.writers[w].proposal else {
            return;
        };
        let Some((message, to)) = proposal.message() else {
            return;
        };
        let message = message.encode();
        state.in_flight.extend(
            to.iter()
                .map(|name| (FIRST_WRITER + w as u32, name.0, message.clone())),
        );
    }

    fn proceed(&self, state: &mut State, w: usize, next: NextStep) {
        match next {
            NextStep::Wait | NextStep::Restart => {}
            NextStep::Send => self.send(state, w),
            NextStep::Done(outcome, leader_ballot) => {
                let writer = &mut state.writers[w];
                (writer.proposal, writer.leader_ballot) = (None, leader_ballot);
                match outcome {
                    Outcome::Written(version) => {
                        writer.completed_writes.push((writer.expected, version));
                        writer.observed.push(version);
                        writer.expected = Some(version);
                    }
                    Outcome::Failed(RegisterError::Conflict { latest }) => {
                        writer.observed.extend(latest);
                        writer.expected = latest;
                    }
                    _ => writer.started_writes = usize::MAX,
                }
            }
        }
    }

    fn on_message_at_replica(
        &self,
        replica: &mut ModelReplica,
        message: Message,
    ) -> Option<Message> {
        let incarnations = replica
            .incarnations
            .iter()
            .map(|(name, incarnation)| (*name, *incarnation))
            .collect();
        let provenance = Provenance {
            incarnation: replica.incarnation,
            count: 0,
            incarnations,
        };
        if replica.fetched.is_some() {
            return None;
        }
        match message {
            Message::Prepare { key, ballot } => Some(match replica.acceptor.prepare(ballot) {
                Ok(_) => Message::Promise {
                    key,
                    ballot,
                    provenance,
                    accepted: replica.acceptor.accepted.clone(),
                },
                Err(promised) => Message::Rejected {
                    key,
                    ballot,
                    reason: RejectReason::HigherBallot(promised),
                },
            }),
            Message::Accept { key, ballot, state } => {
                Some(match replica.acceptor.accept(ballot, &state) {
                    Ok(_) => Message::Accepted {
                        key,
                        ballot,
                        provenance,
                    },
                    Err(promised) => Message::Rejected {
                        key,
                        ballot,
                        reason: RejectReason::HigherBallot(promised),
                    },
                })
            }
            _ => None,
        }
    }

    fn on_message_at_writer(&self, state: &mut State, w: usize, from: NameKey, message: Message) {
        let writer = &mut state.writers[w];
        let Some(proposal) = &mut writer.proposal else {
            return;
        };
        let next = match message {
            Message::Promise {
                ballot,
                provenance,
                accepted,
                ..
            } => proposal.on_promise(from, ballot, provenance, accepted, &mut writer.ids),
            Message::Accepted {
                ballot, provenance, ..
            } => proposal.on_accepted(from, ballot, provenance, &mut writer.ids),
            Message::Rejected { ballot, reason, .. } => {
                proposal.on_rejected(from, ballot, reason, &mut writer.ids)
            }
            _ => NextStep::Wait,
        };
        self.proceed(state, w, next);
    }

    fn start_write(&self, state: &mut State, w: usize) {
        let observed = state.writers.iter().flat_map(|writer| &writer.observed);
        state.observed_at_start[w] = observed.copied().max();
        let writer = &mut state.writers[w];
        writer.started_writes += 1;
        let write = Operation::Write(Write {
            expected: writer.expected,
            epoch: 1,
            body: Some(vec![w as u8, writer.started_writes as u8]),
        });
        let call = CallId(writer.started_writes as u64);
        let replicas = (0..REPLICAS).map(NameKey).collect();
        let ids = &mut writer.ids;
        let mut proposal = Proposal::new(call, KEY, replicas, Duration::MAX, write, ids);
        proposal.start(writer.leader_ballot.take(), ids);
        writer.proposal = Some(proposal);
        self.send(state, w);
    }

    fn restart(&self, state: &mut State, w: usize) -> Option<()> {
        let writer = &mut state.writers[w];
        let proposal = writer.proposal.as_mut()?;
        proposal.back_off(Duration::ZERO);
        proposal.start(None, &mut writer.ids);
        self.send(state, w);
        Some(())
    }

    fn deliver(&self, state: &mut State, from: u32, to: u32, message: &[u8]) -> Option<()> {
        let message = Message::decode(message).ok()?;
        if to >= FIRST_WRITER {
            let writer = (to - FIRST_WRITER) as usize;
            self.on_message_at_writer(state, writer, NameKey(from), message);
        } else if let Some(reply) =
            self.on_message_at_replica(&mut state.replicas[to as usize], message)
        {
            state.in_flight.insert((to, from, reply.encode()));
        }
        Some(())
    }

    fn lose_state(&self, state: &mut State, replica: u32) {
        state.losses += 1;
        let lost = &mut state.replicas[replica as usize];
        *lost = ModelReplica {
            incarnation: lost.incarnation + 1,
            fetched: Some(BTreeSet::new()),
            ..ModelReplica::default()
        };
    }

    fn transfer(&self, state: &mut State, replica: u32, from: u32) -> Option<()> {
        let incarnation = state.replicas[replica as usize].incarnation;
        let source = &mut state.replicas[from as usize];
        if source.fetched.is_some() {
            return None;
        }
        source.incarnations.insert(NameKey(replica), incarnation);
        let (acceptor, incarnations) = (source.acceptor.clone(), source.incarnations.clone());
        let receiver = &mut state.replicas[replica as usize];
        receiver.acceptor.learn(acceptor);
        for (name, incarnation) in incarnations {
            if name.0 != replica {
                let known = receiver.incarnations.entry(name).or_default();
                *known = incarnation.max(*known);
            }
        }
        let fetched = receiver.fetched.as_mut()?;
        fetched.insert(from);
        if fetched.len() == REPLICAS as usize - 1 {
            receiver.fetched = None;
        }
        Some(())
    }
}

impl Model for RegisterModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let writer = |i: u32| Writer {
            ids: IdAllocator::new(Process {
                name: NameKey(FIRST_WRITER + i),
                start: 1,
            }),
            proposal: None,
            leader_ballot: None,
            started_writes: 0,
            expected: None,
            completed_writes: vec![],
            observed: vec![],
        };
        vec![State {
            replicas: vec![ModelReplica::default(); REPLICAS as usize],
            writers: (0..2).map(writer).collect(),
            in_flight: BTreeSet::new(),
            losses: 0,
            observed_at_start: vec![None; 2],
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (w, writer) in state.writers.iter().enumerate() {
            match &writer.proposal {
                None if writer.started_writes < self.0.writes[w] => {
                    actions.push(Action::StartWrite(w))
                }
                Some(proposal) if proposal.attempts < self.0.attempts => {
                    actions.push(Action::Restart(w))
                }
                _ => {}
            }
        }
        actions.extend(
            state
                .in_flight
                .iter()
                .map(|(from, to, message)| Action::Deliver(*from, *to, message.clone())),
        );
        for i in 0..REPLICAS {
            match &state.replicas[i as usize].fetched {
                None if state.losses < self.0.losses => actions.push(Action::LoseState(i)),
                None => {}
                Some(fetched) => {
                    let from = (0..REPLICAS).filter(|j| *j != i && !fetched.contains(j));
                    actions.extend(from.map(|j| Action::Transfer(i, j)));
                }
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::StartWrite(writer) => self.start_write(&mut state, writer),
            Action::Restart(writer) => self.restart(&mut state, writer)?,
            Action::Deliver(from, to, message) => self.deliver(&mut state, from, to, &message)?,
            Action::LoseState(replica) => self.lose_state(&mut state, replica),
            Action::Transfer(replica, source) => self.transfer(&mut state, replica, source)?,
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no version is replaced by two writes",
                |_, state: &State| {
                    let completed_writes =
                        || state.writers.iter().flat_map(|w| &w.completed_writes);
                    let bases: BTreeSet<Option<Version>> =
                        completed_writes().map(|(expected, _)| *expected).collect();
                    bases.len() == completed_writes().count()
                },
            ),
            Property::always(
                "a write never observes a version older than one observed before it started",
                |_, state: &State| {
                    state.writers.iter().zip(&state.observed_at_start).all(
                        |(writer, observed_at_start)| {
                            writer.proposal.is_some()
                                || writer.observed.is_empty()
                                || writer.observed.last().copied() >= *observed_at_start
                        },
                    )
                },
            ),
            Property::sometimes("both writers succeed", |_, state: &State| {
                state.writers.iter().all(|w| !w.completed_writes.is_empty())
            }),
        ]
    }
}

/// Explores states up to a limit, and fails if a property does not hold. Returns the number of unique states, and whether the state
/// space was explored exhaustively.
fn check(bounds: Bounds, state_limit: usize) -> (usize, bool) {
    let checker = RegisterModel(bounds)
        .checker()
        .threads(2)
        .target_state_count(state_limit)
        .spawn_bfs()
        .join();
    for property in [
        "no version is replaced by two writes",
        "a write never observes a version older than one observed before it started",
    ] {
        if let Some(path) = checker.discovery(property) {
            panic!("{property}: {:?}", path.into_actions());
        }
    }
    (
        checker.unique_state_count(),
        checker.state_count() < state_limit,
    )
}

/// Number of states to explore. The environment variable `REPLICA_STATES` overrides the default, which is chosen for a short test
/// run.
fn state_limit(default: usize) -> usize {
    std::env::var("REPLICA_STATES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(default)
}

#[test]
fn restarted_proposals_never_both_replace_one_version() {
    let (count, exhaustive) = check(
        Bounds {
            writes: [1, 1],
            attempts: 1,
            losses: 0,
        },
        state_limit(30_000),
    );
    println!("two writers, one restart each: {count} states, exhaustive {exhaustive}");
}

#[test]
fn leader_and_competitor_never_both_replace_one_version() {
    let (count, exhaustive) = check(
        Bounds {
            writes: [2, 1],
            attempts: 0,
            losses: 0,
        },
        state_limit(30_000),
    );
    println!("two consecutive writes and a competing one: {count} states, exhaustive {exhaustive}");
}

#[test]
fn writes_never_replace_one_version_twice_when_a_replica_loses_its_state() {
    let (count, exhaustive) = check(
        Bounds {
            writes: [1, 1],
            attempts: 0,
            losses: 1,
        },
        state_limit(30_000),
    );
    println!("one replica loses its state: {count} states, exhaustive {exhaustive}");
}
