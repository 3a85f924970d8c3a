//! Model check by `stateright` of two writers and three replicas of one register, over a network that loses, duplicates and
//! reorders messages, where one replica may lose its memory and catch up. The transitions are those that run in service.

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
/// Name of the first writer; replicas are named from 0.
const FIRST_WRITER: u32 = 10;

/// Writes in a row, tries of each, and losses of memory.
#[derive(Clone, Copy)]
struct Size {
    writes: [usize; 2],
    attempts: u32,
    losses: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Writer {
    ids: IdAllocator,
    proposal: Option<Proposal>,
    leader_ballot: Option<LeaderBallot>,
    begun: usize,
    /// What it writes on next.
    expected: Option<Version>,
    done: Vec<(Option<Version>, Version)>,
    /// Versions that it was told are the latest, or were written.
    seen: Vec<Version>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct ModelReplica {
    acceptor: Acceptor,
    incarnation: u64,
    /// Lives of the others that it knows, and, while it catches up, those it has fetched from.
    incarnations: BTreeMap<NameKey, u64>,
    fetched: Option<BTreeSet<u32>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    replicas: Vec<ModelReplica>,
    writers: Vec<Writer>,
    /// From, to, what; whatever was ever sent may arrive, any number of times.
    in_flight: BTreeSet<(u32, u32, Vec<u8>)>,
    losses: u32,
    /// The latest that anybody was told of, at each beginning of a write.
    floor: Vec<Option<Version>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// A writer begins its next write.
    Begin(usize),
    /// A writer starts its proposal anew.
    Restart(usize),
    /// A message from one to another.
    Deliver(u32, u32, Vec<u8>),
    /// A replica loses its memory.
    Lose(u32),
    /// A replica fetches all that another one holds.
    Transfer(u32, u32),
}

struct Network(Size);

impl Network {
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
            NextStep::Done(answer, leader_ballot) => {
                let writer = &mut state.writers[w];
                (writer.proposal, writer.leader_ballot) = (None, leader_ballot);
                match answer {
                    Outcome::Written(version) => {
                        writer.done.push((writer.expected, version));
                        writer.seen.push(version);
                        writer.expected = Some(version);
                    }
                    Outcome::Failed(RegisterError::Conflict { latest }) => {
                        writer.seen.extend(latest);
                        writer.expected = latest;
                    }
                    _ => writer.begun = usize::MAX,
                }
            }
        }
    }

    fn at_replica(&self, held: &mut ModelReplica, message: Message) -> Option<Message> {
        let incarnations = held
            .incarnations
            .iter()
            .map(|(name, incarnation)| (*name, *incarnation))
            .collect();
        let provenance = Provenance {
            incarnation: held.incarnation,
            count: 0,
            incarnations,
        };
        if held.fetched.is_some() {
            return None;
        }
        match message {
            Message::Prepare { key, ballot } => Some(match held.acceptor.prepare(ballot) {
                Ok(_) => Message::Promise {
                    key,
                    ballot,
                    provenance,
                    accepted: held.acceptor.accepted.clone(),
                },
                Err(passed) => Message::Rejected {
                    key,
                    ballot,
                    reason: RejectReason::HigherBallot(passed),
                },
            }),
            Message::Accept { key, ballot, state } => {
                Some(match held.acceptor.accept(ballot, &state) {
                    Ok(_) => Message::Accepted {
                        key,
                        ballot,
                        provenance,
                    },
                    Err(passed) => Message::Rejected {
                        key,
                        ballot,
                        reason: RejectReason::HigherBallot(passed),
                    },
                })
            }
            _ => None,
        }
    }

    fn at_writer(&self, state: &mut State, w: usize, from: NameKey, message: Message) {
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

    fn begin(&self, state: &mut State, w: usize) {
        let seen = state.writers.iter().flat_map(|writer| &writer.seen);
        state.floor[w] = seen.copied().max();
        let writer = &mut state.writers[w];
        writer.begun += 1;
        let write = Operation::Write(Write {
            expected: writer.expected,
            epoch: 1,
            body: Some(vec![w as u8, writer.begun as u8]),
        });
        let call = CallId(writer.begun as u64);
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
            self.at_writer(state, writer, NameKey(from), message);
        } else if let Some(reply) = self.at_replica(&mut state.replicas[to as usize], message) {
            state.in_flight.insert((to, from, reply.encode()));
        }
        Some(())
    }

    fn lose(&self, state: &mut State, replica: u32) {
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

impl Model for Network {
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
            begun: 0,
            expected: None,
            done: vec![],
            seen: vec![],
        };
        vec![State {
            replicas: vec![ModelReplica::default(); REPLICAS as usize],
            writers: (0..2).map(writer).collect(),
            in_flight: BTreeSet::new(),
            losses: 0,
            floor: vec![None; 2],
        }]
    }

    fn actions(&self, state: &State, acts: &mut Vec<Action>) {
        for (w, writer) in state.writers.iter().enumerate() {
            match &writer.proposal {
                None if writer.begun < self.0.writes[w] => acts.push(Action::Begin(w)),
                Some(proposal) if proposal.attempts < self.0.attempts => {
                    acts.push(Action::Restart(w))
                }
                _ => {}
            }
        }
        acts.extend(
            state
                .in_flight
                .iter()
                .map(|(from, to, message)| Action::Deliver(*from, *to, message.clone())),
        );
        for i in 0..REPLICAS {
            match &state.replicas[i as usize].fetched {
                None if state.losses < self.0.losses => acts.push(Action::Lose(i)),
                None => {}
                Some(had) => {
                    let from = (0..REPLICAS).filter(|j| *j != i && !had.contains(j));
                    acts.extend(from.map(|j| Action::Transfer(i, j)));
                }
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Begin(writer) => self.begin(&mut state, writer),
            Action::Restart(writer) => self.restart(&mut state, writer)?,
            Action::Deliver(from, to, message) => self.deliver(&mut state, from, to, &message)?,
            Action::Lose(replica) => self.lose(&mut state, replica),
            Action::Transfer(replica, source) => self.transfer(&mut state, replica, source)?,
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no version is followed by two", |_, state: &State| {
                let done = || state.writers.iter().flat_map(|w| &w.done);
                let bases: BTreeSet<Option<Version>> =
                    done().map(|(expected, _)| *expected).collect();
                bases.len() == done().count()
            }),
            Property::always(
                "what is seen is not earlier than what was seen before it began",
                |_, state: &State| {
                    state
                        .writers
                        .iter()
                        .zip(&state.floor)
                        .all(|(writer, floor)| {
                            writer.proposal.is_some()
                                || writer.seen.is_empty()
                                || writer.seen.last().copied() >= *floor
                        })
                },
            ),
            Property::sometimes("both write", |_, state: &State| {
                state.writers.iter().all(|w| !w.done.is_empty())
            }),
        ]
    }
}

fn check(size: Size, states: usize) -> (usize, bool) {
    let checker = Network(size)
        .checker()
        .threads(2)
        .target_state_count(states)
        .spawn_bfs()
        .join();
    for found in [
        "no version is followed by two",
        "what is seen is not earlier than what was seen before it began",
    ] {
        if let Some(path) = checker.discovery(found) {
            panic!("{found}: {:?}", path.into_actions());
        }
    }
    (checker.unique_state_count(), checker.state_count() < states)
}

/// `REPLICA_STATES` looks further than a test run has time for.
fn states(most: usize) -> usize {
    std::env::var("REPLICA_STATES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(most)
}

#[test]
fn restarted_proposals_never_both_replace_one_version() {
    let (count, whole) = check(
        Size {
            writes: [1, 1],
            attempts: 1,
            losses: 0,
        },
        states(30_000),
    );
    println!("two writers, a second try each: {count} states, whole {whole}");
}

#[test]
fn leader_and_competitor_never_both_replace_one_version() {
    let (count, whole) = check(
        Size {
            writes: [2, 1],
            attempts: 0,
            losses: 0,
        },
        states(30_000),
    );
    println!("two writes in a row beside another: {count} states, whole {whole}");
}

#[test]
fn replica_that_lost_its_memory_never_lets_both_write() {
    let (count, whole) = check(
        Size {
            writes: [1, 1],
            attempts: 0,
            losses: 1,
        },
        states(30_000),
    );
    println!("one loss of memory: {count} states, whole {whole}");
}
