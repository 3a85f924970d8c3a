//! Test harness: a cluster of replicas over a simulated network, with disks that survive process restarts and a recorded history of
//! calls.
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

/// A write to disk in progress: time of completion, ticket, name of the record and its content (`None` to remove it).
type PendingWrite = (Duration, u64, Vec<u8>, Option<Vec<u8>>);

/// One process and its disk.
pub struct Host {
    pub replica: Replica,
    /// Start number of the process.
    pub start: u64,
    pub disk: Disk,
    /// Whether the disk is full, so that writes of records fail.
    pub disk_full: bool,
    /// Time until a write to disk is durable.
    pub write_latency: Duration,
    pending_writes: Vec<PendingWrite>,
    pub answers: Vec<(Duration, Output)>,
    pub events: Vec<Event>,
    /// Number of frames that the process has sent.
    pub sent_frames: u64,
    /// Total size in bytes of the frames that the process has sent.
    pub sent_bytes: u64,
}

impl Host {
    pub fn input(&mut self, now: Duration, input: Input, out: &mut Sent<Frame>) {
        let mut outputs = Vec::new();
        self.replica.step(now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Send(to, message) => {
                    assert!(
                        message.len() <= 64 * 1024,
                        "a frame of {} bytes",
                        message.len()
                    );
                    self.sent_frames += 1;
                    self.sent_bytes += message.len() as u64;
                    out.push((to.0 as usize - 10, (self.start, message)));
                }
                Output::Store {
                    ticket,
                    name,
                    bytes,
                } => {
                    self.pending_writes
                        .push((now + self.write_latency, ticket, name, bytes));
                }
                Output::Event(event) => self.events.push(event),
                answer => self.answers.push((now, answer)),
            }
        }
    }

    /// Makes the writes that are due durable, and reports them to the replica.
    fn complete_writes(&mut self, now: Duration, out: &mut Sent<Frame>) {
        let due: Vec<_> = self
            .pending_writes
            .iter()
            .filter(|w| w.0 <= now)
            .cloned()
            .collect();
        self.pending_writes.retain(|w| w.0 > now);
        for (_, ticket, name, bytes) in due {
            let result = match (self.disk_full, bytes) {
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
        let next_write = self.pending_writes.iter().map(|w| w.0).min();
        next_write.into_iter().chain(self.replica.wake_at()).min()
    }

    fn wake(&mut self, now: Duration, out: &mut Sent<Frame>) {
        self.complete_writes(now, out);
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

/// A call and its result.
#[derive(Clone, Debug)]
pub struct Operation {
    pub key: RegisterKey,
    pub expected: Option<Version>,
    pub is_read: bool,
    pub is_delete: bool,
    pub started_at: Duration,
    /// Time and content of the answer; `None` until the call is answered.
    pub answer: Option<(Duration, Output)>,
}

/// A cluster of replicas, and the history of the calls made to it.
pub struct Cluster {
    pub world: World<Host>,
    pub settings: Settings,
    /// Disks of the members that are down; the disks of the others are in their [`Host`].
    pub disks: Vec<Disk>,
    /// Number of processes started so far.
    pub started_processes: u64,
    /// All calls, each with the member that made it.
    pub operations: BTreeMap<CallId, (usize, Operation)>,
    /// Version of each register that was last reported to each member.
    pub known_versions: BTreeMap<(usize, RegisterKey), Option<Version>>,
    /// Epoch of each register that was last reported by a `StaleEpoch` error.
    pub epochs: BTreeMap<RegisterKey, u64>,
    pub events: Vec<(usize, Event)>,
    /// Time until a write to disk is durable, for processes started from now on.
    pub write_latency: Duration,
}

impl Cluster {
    pub fn new(members: usize, durable: bool, seed: u64) -> Cluster {
        let mut cluster = Cluster {
            world: World::new(members, seed),
            settings: Settings {
                replicas: 3,
                durable,
            },
            disks: vec![Disk::new(); members],
            started_processes: 0,
            operations: BTreeMap::new(),
            known_versions: BTreeMap::new(),
            epochs: BTreeMap::new(),
            events: vec![],
            write_latency: ms(1),
        };
        for i in 0..members {
            cluster.world.places[i].ahead = ms(cluster.random_below(5000));
            cluster.start(i);
        }
        cluster
    }

    /// Draws a random number in `0..below`.
    pub fn random_below(&mut self, below: u64) -> u64 {
        self.world.net.draw_bits() % below
    }

    /// Starts a process at a member, with the disk that its previous process left.
    pub fn start(&mut self, i: usize) {
        self.started_processes += 1;
        let (start, seed) = (1000 + self.started_processes, self.random_below(1 << 60));
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
        let (answers, events, pending_writes) = (vec![], vec![], vec![]);
        let write_latency = self.write_latency;
        let host = Host {
            replica,
            start,
            disk,
            disk_full: false,
            write_latency,
            pending_writes,
            answers,
            events,
            sent_frames: 0,
            sent_bytes: 0,
        };
        self.world.start(i, host);
        if self.settings.durable {
            self.world.act(i, |host, now, out| {
                host.input(now, Input::Loaded(Ok(found)), out)
            });
        }
    }

    pub fn is_up(&self, i: usize) -> bool {
        self.world.places[i].node.is_some()
    }

    /// Kills the process of a member, and retains its disk.
    pub fn kill(&mut self, i: usize) {
        self.collect();
        if let Some(host) = self.world.kill(i) {
            self.disks[i] = host.disk;
            self.known_versions.retain(|(member, _), _| *member != i);
        }
    }

    pub fn host(&self, i: usize) -> &Host {
        self.world.places[i]
            .node
            .as_ref()
            .expect("the member is up")
    }

    /// Whether a member is up and its replica counts toward a majority of each of the registers that it holds.
    pub fn is_caught_up(&self, i: usize, keys: &[RegisterKey]) -> bool {
        let Some(host) = &self.world.places[i].node else {
            return false;
        };
        let own = |key: &&RegisterKey| host.replica.replicas(**key).contains(&name(i));
        keys.iter().filter(own).all(|key| {
            host.replica
                .counts_toward_majority(self.world.now_at(i), *key)
        })
    }

    /// Makes a call at a member and records it. Returns `None` if the member is down.
    fn submit(
        &mut self,
        i: usize,
        op: Operation,
        input: impl FnOnce(CallId, Duration) -> Input,
    ) -> Option<CallId> {
        let call = CallId(self.operations.len() as u64);
        let op = Operation {
            started_at: self.world.now(),
            ..op
        };
        self.world
            .act(i, |host, now, out| host.input(now, input(call, now), out))?;
        self.operations.insert(call, (i, op));
        Some(call)
    }

    pub fn read(&mut self, i: usize, key: RegisterKey, timeout: Duration) -> Option<CallId> {
        let op = Operation {
            key,
            expected: None,
            is_read: true,
            is_delete: false,
            started_at: Duration::ZERO,
            answer: None,
        };
        self.submit(i, op, |call, now| Input::Read {
            call,
            key,
            deadline: now + timeout,
        })
    }

    /// Writes a value that consists of the call's number, so that a read shows which call wrote the value.
    pub fn write(
        &mut self,
        i: usize,
        key: RegisterKey,
        expected: Option<Version>,
        epoch: u64,
        timeout: Duration,
    ) -> Option<CallId> {
        let op = Operation {
            key,
            expected,
            is_read: false,
            is_delete: false,
            started_at: Duration::ZERO,
            answer: None,
        };
        self.submit(i, op, |call, now| Input::Write {
            call,
            key,
            expected,
            epoch,
            value: call.0.to_le_bytes().to_vec(),
            deadline: now + timeout,
        })
    }

    pub fn delete(
        &mut self,
        i: usize,
        key: RegisterKey,
        expected: Version,
        timeout: Duration,
    ) -> Option<CallId> {
        let op = Operation {
            key,
            expected: Some(expected),
            is_read: false,
            is_delete: true,
            started_at: Duration::ZERO,
            answer: None,
        };
        self.submit(i, op, |call, now| Input::Delete {
            call,
            key,
            expected,
            deadline: now + timeout,
        })
    }

    pub fn run(&mut self, time: Duration) {
        self.world.run(self.world.now() + time);
        self.collect();
    }

    /// Moves answers and events of all processes into the history.
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
                let (caller, op) = self
                    .operations
                    .get_mut(&call)
                    .expect("the call was recorded");
                assert!(
                    *caller == i && op.answer.is_none(),
                    "call {call:?} was answered twice"
                );
                if let Output::Written {
                    result: Err(RegisterError::StaleEpoch { epoch }),
                    ..
                } = &answer
                {
                    self.epochs.insert(op.key, *epoch);
                }
                if let Some(latest) = latest {
                    self.known_versions
                        .insert((i, op.key), latest.filter(|_| !op.is_delete));
                }
                op.answer = Some((at - ahead, answer));
            }
        }
    }

    /// Runs the cluster until a call is answered, and returns the answer.
    pub fn answer(&mut self, call: CallId) -> Output {
        for _ in 0..20_000 {
            if let Some((_, answer)) = &self.operations[&call].1.answer {
                return answer.clone();
            }
            self.run(ms(1));
        }
        panic!("no answer to {call:?}");
    }

    /// Runs the cluster until a write or deletion is answered, and returns its result.
    pub fn write_result(&mut self, call: Option<CallId>) -> Result<Version, RegisterError> {
        match self.answer(call.expect("the member is up")) {
            Output::Written { result, .. } => result,
            other => panic!("{other:?}"),
        }
    }

    /// Runs the cluster until a read is answered, and returns the version that it found.
    pub fn read_result(&mut self, call: Option<CallId>) -> Result<Option<Version>, RegisterError> {
        match self.answer(call.expect("the member is up")) {
            Output::Read { result, .. } => result.map(|f| f.map(|f| f.0)),
            other => panic!("{other:?}"),
        }
    }

    /// Number of events so far that match a predicate.
    pub fn count_events(&self, matches: impl Fn(&Event) -> bool) -> usize {
        self.events
            .iter()
            .filter(|(_, event)| matches(event))
            .count()
    }

    /// Checks for each key that the history of calls is consistent with a single register that changes by compare-and-set.
    pub fn check(&self) -> Result<(), String> {
        let keys: BTreeSet<RegisterKey> = self.operations.values().map(|(_, op)| op.key).collect();
        keys.into_iter().try_for_each(|key| self.check_key(key))
    }

    fn check_key(&self, key: RegisterKey) -> Result<(), String> {
        let ops: Vec<(CallId, &Operation)> = self
            .operations
            .iter()
            .filter(|(_, (_, op))| op.key == key)
            .map(|(c, (_, op))| (*c, op))
            .collect();
        let not_written = |op: &Operation| {
            use RegisterError::{
                Busy, CatchingUp, Conflict, Lost, NoMajority, StaleEpoch, TooLong,
            };
            matches!(
                &op.answer,
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
        // The call that wrote each version and the version that it expected.
        let mut written: BTreeMap<Version, (CallId, Option<Version>)> = BTreeMap::new();
        // The version that each answer proves to have been the latest at some time during the call: start and end of the call, the
        // version, and whether the call deleted the register.
        let mut observations: Vec<(Duration, Duration, Option<Version>, bool)> = vec![];
        for (call, op) in &ops {
            let Some((at, answer)) = &op.answer else {
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
                    if written
                        .insert(*version, (*call, op.expected))
                        .is_some_and(|(other, _)| other != *call)
                    {
                        return Err(format!("{version:?} was written twice"));
                    }
                    observations.push((op.started_at, *at, Some(*version), op.is_delete));
                }
                Output::Written {
                    result: Err(RegisterError::Conflict { latest }),
                    ..
                } => {
                    observations.push((op.started_at, *at, *latest, false));
                }
                Output::Read {
                    result: Ok(found), ..
                } => {
                    observations.push((op.started_at, *at, found.as_ref().map(|f| f.0), false));
                    if let Some((version, value)) = found {
                        let writer_call = CallId(u64::from_le_bytes(
                            value
                                .as_slice()
                                .try_into()
                                .map_err(|_| "a value is corrupt")?,
                        ));
                        let (_, writer) = &self.operations[&writer_call];
                        if not_written(writer) || writer.started_at > *at || writer.key != key {
                            return Err(format!(
                                "{call:?} read a value that {writer_call:?} did not write: {:?}",
                                writer.answer
                            ));
                        }
                        if written
                            .insert(*version, (writer_call, writer.expected))
                            .is_some_and(|(other, _)| other != writer_call)
                        {
                            return Err(format!("{version:?} has two values"));
                        }
                    }
                }
                _ => {}
            }
        }
        // No version is replaced by two writes. A register without a value may be written again after each deletion.
        let deletions: Vec<(&Operation, Option<Version>)> = ops
            .iter()
            .filter(|(_, op)| op.is_delete && !not_written(op))
            .map(|(_, op)| (*op, op.expected))
            .collect();
        let mut successors: BTreeMap<Option<Version>, Vec<CallId>> = BTreeMap::new();
        written
            .values()
            .for_each(|(call, expected)| successors.entry(*expected).or_default().push(*call));
        for (expected, calls) in &successors {
            let max_successors = if expected.is_none() {
                1 + deletions.len()
            } else {
                1
            };
            if calls.len() > max_successors {
                return Err(format!("{calls:?} all replaced {expected:?}"));
            }
        }
        // A call never observes a version older than one that was observed before the call started, unless the register was
        // deleted.
        observations.sort_by_key(|(started_at, ..)| *started_at);
        let mut by_end = observations.clone();
        by_end.sort_by_key(|(_, ended_at, ..)| *ended_at);
        let (mut ended_count, mut latest) = (0, None);
        for (started_at, ended_at, observed, _) in &observations {
            while by_end[ended_count].1 < *started_at {
                latest = latest.max(by_end[ended_count].2);
                ended_count += 1;
            }
            let was_deleted = || {
                deletions.iter().any(|(op, expected)| op.started_at < *ended_at && (*expected >= latest || matches!(&op.answer, Some((_, Output::Written { result: Ok(v), .. })) if Some(*v) >= latest)))
            };
            if *observed < latest && !(observed.is_none() && was_deleted()) {
                return Err(format!(
                    "{key:?}: a call from {started_at:?} to {ended_at:?} observed {observed:?}, after {latest:?} had been observed"
                ));
            }
        }
        Ok(())
    }
}
