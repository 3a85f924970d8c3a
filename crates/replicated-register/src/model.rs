//! Every course of two writers and three copies of one register over a network that loses, doubles and reorders, where one copy may
//! lose its memory and catch up: by `stateright`, over the transitions that run in service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::Process;
use stateright::{Checker, Model, Property};

use crate::job::{Answer, Ask, Job, Lead, Mint, Next};
use crate::message::{Said, Stamp, Why};
use crate::register::{Copy, RegisterKey};
use crate::{Call, ReplicaError, Version};

const KEY: RegisterKey = RegisterKey([7; 16]);
const COPIES: u32 = 3;

/// Writes in a row, tries of each, and losses of memory.
#[derive(Clone, Copy)]
struct Size {
    writes: [usize; 2],
    tries: u32,
    losses: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Writer {
    mint: Mint,
    job: Option<Job>,
    lead: Option<Lead>,
    begun: usize,
    /// What it writes on next.
    on: Option<Version>,
    done: Vec<(Option<Version>, Version)>,
    /// Versions that it was told are the latest, or were written.
    seen: Vec<Version>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Held {
    copy: Copy,
    life: u64,
    /// Lives of the others that it knows, and, while it catches up, those it has fetched from.
    lives: BTreeMap<NameKey, u64>,
    fetched: Option<BTreeSet<u32>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    copies: Vec<Held>,
    writers: Vec<Writer>,
    /// From, to, what; whatever was ever sent may arrive, any number of times.
    way: BTreeSet<(u32, u32, Vec<u8>)>,
    losses: u32,
    /// The latest that anybody was told of, at each beginning of a write.
    floor: Vec<Option<Version>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Begin(usize),
    Again(usize),
    Arrive(u32, u32, Vec<u8>),
    Lose(u32),
    Fetch(u32, u32),
}

struct World(Size);

impl World {
    fn send(&self, state: &mut State, w: usize) {
        let Some(job) = &state.writers[w].job else {
            return;
        };
        let Some((said, to)) = job.says() else { return };
        let said = said.write();
        state
            .way
            .extend(to.iter().map(|name| (10 + w as u32, name.0, said.clone())));
    }

    fn go_on(&self, state: &mut State, w: usize, next: Next) {
        match next {
            Next::Wait | Next::Again => {}
            Next::Ask => self.send(state, w),
            Next::Done(answer, lead) => {
                let writer = &mut state.writers[w];
                (writer.job, writer.lead) = (None, lead);
                match answer {
                    Answer::Written(version) => {
                        writer.done.push((writer.on, version));
                        writer.seen.push(version);
                        writer.on = Some(version);
                    }
                    Answer::Failed(ReplicaError::Conflict { latest }) => {
                        writer.seen.extend(latest);
                        writer.on = latest;
                    }
                    _ => writer.begun = usize::MAX,
                }
            }
        }
    }

    fn at_copy(&self, held: &mut Held, said: Said) -> Option<Said> {
        let lives = held
            .lives
            .iter()
            .map(|(name, life)| (*name, *life))
            .collect();
        let stamp = Stamp {
            life: held.life,
            count: 0,
            lives,
        };
        if held.fetched.is_some() {
            return None;
        }
        match said {
            Said::Prepare { key, ballot } => Some(match held.copy.prepare(ballot) {
                Ok(_) => Said::Promised {
                    key,
                    ballot,
                    stamp,
                    accepted: held.copy.accepted.clone(),
                },
                Err(passed) => Said::Refused {
                    key,
                    ballot,
                    why: Why::Passed(passed),
                },
            }),
            Said::Accept { key, ballot, state } => Some(match held.copy.accept(ballot, &state) {
                Ok(_) => Said::Took { key, ballot, stamp },
                Err(passed) => Said::Refused {
                    key,
                    ballot,
                    why: Why::Passed(passed),
                },
            }),
            _ => None,
        }
    }

    fn at_writer(&self, state: &mut State, w: usize, from: NameKey, said: Said) {
        let writer = &mut state.writers[w];
        let Some(job) = &mut writer.job else { return };
        let next = match said {
            Said::Promised {
                ballot,
                stamp,
                accepted,
                ..
            } => job.on_promised(from, ballot, stamp, accepted, &mut writer.mint),
            Said::Took { ballot, stamp, .. } => job.on_took(from, ballot, stamp, &mut writer.mint),
            Said::Refused { ballot, why, .. } => {
                job.on_refused(from, ballot, why, &mut writer.mint)
            }
            _ => Next::Wait,
        };
        self.go_on(state, w, next);
    }
}

impl Model for World {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        let writer = |i: u32| Writer {
            mint: Mint::new(Process {
                name: NameKey(10 + i),
                start: 1,
            }),
            job: None,
            lead: None,
            begun: 0,
            on: None,
            done: vec![],
            seen: vec![],
        };
        vec![State {
            copies: vec![Held::default(); COPIES as usize],
            writers: (0..2).map(writer).collect(),
            way: BTreeSet::new(),
            losses: 0,
            floor: vec![None; 2],
        }]
    }

    fn actions(&self, state: &State, acts: &mut Vec<Act>) {
        for (w, writer) in state.writers.iter().enumerate() {
            match &writer.job {
                None if writer.begun < self.0.writes[w] => acts.push(Act::Begin(w)),
                Some(job) if job.tries < self.0.tries => acts.push(Act::Again(w)),
                _ => {}
            }
        }
        acts.extend(
            state
                .way
                .iter()
                .map(|(from, to, said)| Act::Arrive(*from, *to, said.clone())),
        );
        for i in 0..COPIES {
            match &state.copies[i as usize].fetched {
                None if state.losses < self.0.losses => acts.push(Act::Lose(i)),
                None => {}
                Some(had) => {
                    let from = (0..COPIES).filter(|j| *j != i && !had.contains(j));
                    acts.extend(from.map(|j| Act::Fetch(i, j)));
                }
            }
        }
    }

    fn next_state(&self, last: &State, act: Act) -> Option<State> {
        let mut state = last.clone();
        match act {
            Act::Begin(w) => {
                let latest = state
                    .writers
                    .iter()
                    .flat_map(|w| w.seen.iter().copied())
                    .max();
                state.floor[w] = latest;
                let writer = &mut state.writers[w];
                writer.begun += 1;
                let ask = Ask::Write {
                    on: writer.on,
                    epoch: 1,
                    body: Some(vec![w as u8, writer.begun as u8]),
                };
                let copies = (0..COPIES).map(NameKey).collect();
                let mut job = Job::new(
                    Call(writer.begun as u64),
                    KEY,
                    copies,
                    Duration::MAX,
                    ask,
                    &mut writer.mint,
                );
                job.begin(writer.lead.take(), &mut writer.mint);
                writer.job = Some(job);
                self.send(&mut state, w);
            }
            Act::Again(w) => {
                let writer = &mut state.writers[w];
                let job = writer.job.as_mut()?;
                job.wait(Duration::ZERO);
                job.begin(None, &mut writer.mint);
                self.send(&mut state, w);
            }
            Act::Arrive(from, to, said) => {
                let said = Said::read(&said).ok()?;
                if to >= 10 {
                    self.at_writer(&mut state, to as usize - 10, NameKey(from), said);
                } else if let Some(reply) = self.at_copy(&mut state.copies[to as usize], said) {
                    state.way.insert((to, from, reply.write()));
                }
            }
            Act::Lose(i) => {
                state.losses += 1;
                let life = state.copies[i as usize].life + 1;
                state.copies[i as usize] = Held {
                    life,
                    fetched: Some(BTreeSet::new()),
                    ..Held::default()
                };
            }
            Act::Fetch(i, from) => {
                let life = state.copies[i as usize].life;
                let teller = &mut state.copies[from as usize];
                if teller.fetched.is_some() {
                    return None;
                }
                teller.lives.insert(NameKey(i), life);
                let (copy, lives) = (teller.copy.clone(), teller.lives.clone());
                let held = &mut state.copies[i as usize];
                held.copy.learn(copy);
                lives
                    .into_iter()
                    .filter(|(name, _)| name.0 != i)
                    .for_each(|(name, life)| {
                        let known = held.lives.entry(name).or_default();
                        *known = life.max(*known);
                    });
                let had = held.fetched.as_mut()?;
                had.insert(from);
                if had.len() == COPIES as usize - 1 {
                    held.fetched = None;
                }
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no version is followed by two", |_, state: &State| {
                let done = || state.writers.iter().flat_map(|w| &w.done);
                let bases: BTreeSet<Option<Version>> = done().map(|(on, _)| *on).collect();
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
                            writer.job.is_some()
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
    let checker = World(size)
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
fn two_writers_that_begin_anew_never_both_write_on_one_version() {
    let (count, whole) = check(
        Size {
            writes: [1, 1],
            tries: 1,
            losses: 0,
        },
        states(30_000),
    );
    println!("two writers, a second try each: {count} states, whole {whole}");
}

#[test]
fn a_writer_in_one_round_and_another_never_both_write_on_one_version() {
    let (count, whole) = check(
        Size {
            writes: [2, 1],
            tries: 0,
            losses: 0,
        },
        states(30_000),
    );
    println!("two writes in a row beside another: {count} states, whole {whole}");
}

#[test]
fn a_copy_that_forgets_and_catches_up_never_lets_both_write() {
    let (count, whole) = check(
        Size {
            writes: [1, 1],
            tries: 0,
            losses: 1,
        },
        states(30_000),
    );
    println!("one loss of memory: {count} states, whole {whole}");
}
