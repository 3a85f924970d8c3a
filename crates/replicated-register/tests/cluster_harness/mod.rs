//! Replicas over a simulated network, with disks that survive their processes, and a history of calls.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::{Process, StorageError};
use bitternlatch_replicated_register::{
    CallId, Event, Input, Output, RegisterError, RegisterKey, Replica, Settings, Version,
};
use bitternlatch_simulation::{ms, Node, Sent, World};

pub type Disk = BTreeMap<Vec<u8>, Vec<u8>>;
pub type Frame = (u64, Vec<u8>);

pub fn name(i: usize) -> NameKey {
    NameKey(10 + i as u32)
}

/// When it is done, its ticket, the name, the bytes.
type Write = (Duration, u64, Vec<u8>, Option<Vec<u8>>);

/// One process and its disk.
pub struct Host {
    pub replica: Replica,
    pub start: u64,
    pub disk: Disk,
    pub full: bool,
    /// How long a write takes.
    pub sync: Duration,
    writes: Vec<Write>,
    pub answers: Vec<(Duration, Output)>,
    pub events: Vec<Event>,
    pub sent: u64,
    pub bytes: u64,
}

impl Host {
    pub fn input(&mut self, now: Duration, input: Input, out: &mut Sent<Frame>) {
        let mut wanted = Vec::new();
        self.replica.step(now, input, &mut wanted);
        for one in wanted {
            match one {
                Output::Send(to, message) => {
                    assert!(
                        message.len() <= 64 * 1024,
                        "a frame of {} bytes",
                        message.len()
                    );
                    self.sent += 1;
                    self.bytes += message.len() as u64;
                    out.push((to.0 as usize - 10, (self.start, message)));
                }
                Output::Store {
                    ticket,
                    name,
                    bytes,
                } => {
                    self.writes.push((now + self.sync, ticket, name, bytes));
                }
                Output::Event(event) => self.events.push(event),
                answer => self.answers.push((now, answer)),
            }
        }
    }

    fn sync(&mut self, now: Duration, out: &mut Sent<Frame>) {
        let done: Vec<_> = self.writes.iter().filter(|w| w.0 <= now).cloned().collect();
        self.writes.retain(|w| w.0 > now);
        for (_, ticket, name, bytes) in done {
            let result = match (self.full, bytes) {
                (true, Some(_)) => Err(StorageError::Full),
                (_, Some(bytes)) => {
                    self.disk.insert(name, bytes);
                    Ok(())
                }
                (_, None) => {
                    self.disk.remove(&name);
                    Ok(())
                }
            };
            self.input(now, Input::Stored { ticket, result }, out);
        }
    }
}

impl Node for Host {
    type Message = Frame;

    fn wake_at(&self) -> Option<Duration> {
        let written = self.writes.iter().map(|w| w.0).min();
        written.into_iter().chain(self.replica.wake_at()).min()
    }

    fn wake(&mut self, now: Duration, out: &mut Sent<Frame>) {
        self.sync(now, out);
        self.input(now, Input::Wake, out);
    }

    fn take(&mut self, now: Duration, from: usize, (start, message): Frame, out: &mut Sent<Frame>) {
        self.input(
            now,
            Input::Frame {
                from: Process {
                    name: name(from),
                    start,
                },
                payload: message,
            },
            out,
        );
    }
}

#[derive(Clone, Debug)]
pub struct Op {
    pub key: RegisterKey,
    pub expected: Option<Version>,
    pub reads: bool,
    pub drops: bool,
    pub asked: Duration,
    pub ended: Option<(Duration, Output)>,
}

pub struct Fleet {
    pub world: World<Host>,
    pub settings: Settings,
    pub disks: Vec<Disk>,
    pub starts: u64,
    pub ops: BTreeMap<CallId, (usize, Op)>,
    /// The version that each host last knew of each register.
    pub known: BTreeMap<(usize, RegisterKey), Option<Version>>,
    /// The latest epoch that anyone was told of.
    pub epochs: BTreeMap<RegisterKey, u64>,
    pub events: Vec<(usize, Event)>,
    pub sync: Duration,
}

impl Fleet {
    pub fn new(of: usize, durable: bool, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            world: World::new(of, seed),
            settings: Settings {
                replicas: 3,
                durable,
            },
            disks: vec![Disk::new(); of],
            starts: 0,
            ops: BTreeMap::new(),
            known: BTreeMap::new(),
            epochs: BTreeMap::new(),
            events: vec![],
            sync: ms(1),
        };
        for i in 0..of {
            fleet.world.places[i].ahead = ms(fleet.draw(5000));
            fleet.start(i);
        }
        fleet
    }

    pub fn draw(&mut self, below: u64) -> u64 {
        self.world.net.draw_bits() % below
    }

    pub fn start(&mut self, i: usize) {
        self.starts += 1;
        let (start, seed) = (1000 + self.starts, self.draw(1 << 60));
        let roster = (0..self.disks.len()).map(name).collect::<BTreeSet<_>>();
        let now = self.world.now_at(i);
        let replica = Replica::new(
            Process {
                name: name(i),
                start,
            },
            roster,
            self.settings,
            seed,
            now,
        );
        let disk = std::mem::take(&mut self.disks[i]);
        let found = disk
            .iter()
            .map(|(name, bytes)| (name.clone(), bytes.clone()))
            .collect();
        let (answers, events, writes) = (vec![], vec![], vec![]);
        let sync = self.sync;
        let host = Host {
            replica,
            start,
            disk,
            full: false,
            sync,
            writes,
            answers,
            events,
            sent: 0,
            bytes: 0,
        };
        self.world.start(i, host);
        if self.settings.durable {
            self.world.act(i, |host, now, out| {
                host.input(now, Input::Loaded(Ok(found)), out)
            });
        }
    }

    pub fn up(&self, i: usize) -> bool {
        self.world.places[i].node.is_some()
    }

    pub fn kill(&mut self, i: usize) {
        self.collect();
        if let Some(host) = self.world.kill(i) {
            self.disks[i] = host.disk;
            self.known.retain(|(of, _), _| *of != i);
        }
    }

    pub fn host(&self, i: usize) -> &Host {
        self.world.places[i].node.as_ref().expect("it is up")
    }

    /// Registers for which a host's copy counts, of those it has.
    pub fn whole(&self, i: usize, keys: &[RegisterKey]) -> bool {
        let Some(host) = &self.world.places[i].node else {
            return false;
        };
        let own = |key: &&RegisterKey| host.replica.replicas(**key).contains(&name(i));
        keys.iter().filter(own).all(|key| {
            host.replica
                .counts_toward_majority(self.world.now_at(i), *key)
        })
    }

    fn enter(
        &mut self,
        i: usize,
        op: Op,
        input: impl FnOnce(CallId, Duration) -> Input,
    ) -> Option<CallId> {
        let call = CallId(self.ops.len() as u64);
        let op = Op {
            asked: self.world.now(),
            ..op
        };
        self.world
            .act(i, |host, now, out| host.input(now, input(call, now), out))?;
        self.ops.insert(call, (i, op));
        Some(call)
    }

    pub fn read(&mut self, i: usize, key: RegisterKey, patience: Duration) -> Option<CallId> {
        let op = Op {
            key,
            expected: None,
            reads: true,
            drops: false,
            asked: Duration::ZERO,
            ended: None,
        };
        self.enter(i, op, |call, now| Input::Read {
            call,
            key,
            deadline: now + patience,
        })
    }

    /// The value is the call's number.
    pub fn write(
        &mut self,
        i: usize,
        key: RegisterKey,
        expected: Option<Version>,
        epoch: u64,
        patience: Duration,
    ) -> Option<CallId> {
        let op = Op {
            key,
            expected,
            reads: false,
            drops: false,
            asked: Duration::ZERO,
            ended: None,
        };
        self.enter(i, op, |call, now| Input::Write {
            call,
            key,
            expected,
            epoch,
            value: call.0.to_le_bytes().to_vec(),
            deadline: now + patience,
        })
    }

    pub fn drop(
        &mut self,
        i: usize,
        key: RegisterKey,
        expected: Version,
        patience: Duration,
    ) -> Option<CallId> {
        let op = Op {
            key,
            expected: Some(expected),
            reads: false,
            drops: true,
            asked: Duration::ZERO,
            ended: None,
        };
        self.enter(i, op, |call, now| Input::Delete {
            call,
            key,
            expected,
            deadline: now + patience,
        })
    }

    pub fn run(&mut self, time: Duration) {
        self.world.run(self.world.now() + time);
        self.collect();
    }

    pub fn collect(&mut self) {
        for i in 0..self.disks.len() {
            let ahead = self.world.places[i].ahead;
            let Some(host) = &mut self.world.places[i].node else {
                continue;
            };
            self.events
                .extend(host.events.drain(..).map(|event| (i, event)));
            for (at, answer) in std::mem::take(&mut host.answers) {
                let (call, latest) = match &answer {
                    Output::Read { call, result } => {
                        (*call, result.as_ref().ok().map(|f| f.as_ref().map(|f| f.0)))
                    }
                    Output::Written {
                        call,
                        result: Ok(version),
                    } => (*call, Some(Some(*version))),
                    Output::Written {
                        call,
                        result: Err(RegisterError::Conflict { latest }),
                    } => (*call, Some(*latest)),
                    Output::Written { call, .. } => (*call, None),
                    other => panic!("{other:?}"),
                };
                let (of, op) = self.ops.get_mut(&call).expect("it was asked");
                assert!(*of == i && op.ended.is_none(), "two answers to {call:?}");
                if let Output::Written {
                    result: Err(RegisterError::StaleEpoch { epoch }),
                    ..
                } = &answer
                {
                    self.epochs.insert(op.key, *epoch);
                }
                if let Some(latest) = latest {
                    self.known.insert((i, op.key), latest.filter(|_| !op.drops));
                }
                op.ended = Some((at - ahead, answer));
            }
        }
    }

    /// The answer to a call, within some time.
    pub fn answer(&mut self, call: CallId) -> Output {
        for _ in 0..20_000 {
            if let Some((_, answer)) = &self.ops[&call].1.ended {
                return answer.clone();
            }
            self.run(ms(1));
        }
        panic!("no answer to {call:?}");
    }

    pub fn written(&mut self, call: Option<CallId>) -> Result<Version, RegisterError> {
        match self.answer(call.expect("it is up")) {
            Output::Written { result, .. } => result,
            other => panic!("{other:?}"),
        }
    }

    pub fn found(&mut self, call: Option<CallId>) -> Result<Option<Version>, RegisterError> {
        match self.answer(call.expect("it is up")) {
            Output::Read { result, .. } => result.map(|f| f.map(|f| f.0)),
            other => panic!("{other:?}"),
        }
    }

    pub fn saw(&self, what: impl Fn(&Event) -> bool) -> usize {
        self.events.iter().filter(|(_, event)| what(event)).count()
    }

    /// Holds the history against one register that changes by compare-and-set, key by key.
    pub fn check(&self) -> Result<(), String> {
        let keys: BTreeSet<RegisterKey> = self.ops.values().map(|(_, op)| op.key).collect();
        keys.into_iter().try_for_each(|key| self.check_key(key))
    }

    fn check_key(&self, key: RegisterKey) -> Result<(), String> {
        let ops: Vec<(CallId, &Op)> = self
            .ops
            .iter()
            .filter(|(_, (_, op))| op.key == key)
            .map(|(c, (_, op))| (*c, op))
            .collect();
        let not_written = |op: &Op| {
            use RegisterError::{
                Busy, CatchingUp, Conflict, Lost, NoMajority, StaleEpoch, TooLong,
            };
            matches!(
                &op.ended,
                Some((
                    _,
                    Output::Written {
                        result: Err(Conflict { .. }
                            | StaleEpoch { .. }
                            | NoMajority
                            | CatchingUp
                            | Lost
                            | Busy
                            | TooLong { .. }),
                        ..
                    }
                ))
            )
        };
        // Versions, by the call that wrote them, and what each answer proves to have been the latest at some moment of the call.
        let mut wrote: BTreeMap<Version, (CallId, Option<Version>)> = BTreeMap::new();
        let mut sights: Vec<(Duration, Duration, Option<Version>, bool)> = vec![];
        for (call, op) in &ops {
            let Some((at, answer)) = &op.ended else {
                continue;
            };
            match answer {
                Output::Written {
                    result: Ok(version),
                    ..
                } => {
                    if op.expected.is_some_and(|expected| expected >= *version) {
                        return Err(format!(
                            "{call:?}: {version:?} is not later than {:?}",
                            op.expected
                        ));
                    }
                    if wrote
                        .insert(*version, (*call, op.expected))
                        .is_some_and(|(of, _)| of != *call)
                    {
                        return Err(format!("{version:?} was written twice"));
                    }
                    sights.push((op.asked, *at, Some(*version), op.drops));
                }
                Output::Written {
                    result: Err(RegisterError::Conflict { latest }),
                    ..
                } => {
                    sights.push((op.asked, *at, *latest, false));
                }
                Output::Read {
                    result: Ok(found), ..
                } => {
                    sights.push((op.asked, *at, found.as_ref().map(|f| f.0), false));
                    if let Some((version, value)) = found {
                        let of = CallId(u64::from_le_bytes(
                            value.as_slice().try_into().map_err(|_| "torn")?,
                        ));
                        let (_, writer) = &self.ops[&of];
                        if not_written(writer) || writer.asked > *at || writer.key != key {
                            return Err(format!(
                                "{call:?} read what {of:?} did not write: {:?}",
                                writer.ended
                            ));
                        }
                        if wrote
                            .insert(*version, (of, writer.expected))
                            .is_some_and(|(other, _)| other != of)
                        {
                            return Err(format!("{version:?} has two values"));
                        }
                    }
                }
                _ => {}
            }
        }
        // No version has two that follow it.
        let drops: Vec<(&Op, Option<Version>)> = ops
            .iter()
            .filter(|(_, op)| op.drops && !not_written(op))
            .map(|(_, op)| (*op, op.expected))
            .collect();
        let mut follows: BTreeMap<Option<Version>, Vec<CallId>> = BTreeMap::new();
        wrote
            .values()
            .for_each(|(call, expected)| follows.entry(*expected).or_default().push(*call));
        for (expected, calls) in &follows {
            let most = if expected.is_none() {
                1 + drops.len()
            } else {
                1
            };
            if calls.len() > most {
                return Err(format!("{calls:?} all follow {expected:?}"));
            }
        }
        // What was seen before a call began is not later than what it sees.
        sights.sort_by_key(|(asked, ..)| *asked);
        let mut by_end = sights.clone();
        by_end.sort_by_key(|(_, ended, ..)| *ended);
        let (mut ended, mut latest) = (0, None);
        for (asked, until, seen, _) in &sights {
            while by_end[ended].1 < *asked {
                latest = latest.max(by_end[ended].2);
                ended += 1;
            }
            let dropped = || {
                drops.iter().any(|(op, expected)| op.asked < *until && (*expected >= latest || matches!(&op.ended, Some((_, Output::Written { result: Ok(v), .. })) if Some(*v) >= latest)))
            };
            if *seen < latest && !(seen.is_none() && dropped()) {
                return Err(format!(
                    "{key:?}: at {asked:?} to {until:?} {seen:?}, after {latest:?}"
                ));
            }
        }
        Ok(())
    }
}
