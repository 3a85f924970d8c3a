//! Digests of all outputs of replicas, in order, for seeded random inputs. A changed digest shows a change in what a process sends,
//! stores or answers.
//!
//! The encoding of outputs for the digest is written by hand rather than derived from `Debug`, so that renaming a type does not
//! change the digest.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::{Process, StorageError};
use bitternlatch_replicated_register::{
    CallId, Event, Input, Output, RegisterError, RegisterKey, Replica, Settings, Version,
};
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::SplitMix64;

const MEMBERS: usize = 5;
const STEPS: usize = 6000;
/// Simulated time between two steps.
const STEP: Duration = Duration::from_millis(5);

/// Records on the disk of a member, by name.
type Disk = BTreeMap<Vec<u8>, Vec<u8>>;

/// Hasher of outputs. Variable-length fields are preceded by their length, so that different fields do not yield the same bytes.
#[derive(Default)]
struct Digest(blake3::Hasher);

impl Digest {
    fn bytes(&mut self, bytes: &[u8]) {
        self.0.update(&(bytes.len() as u64).to_le_bytes());
        self.0.update(bytes);
    }

    fn number(&mut self, number: u64) {
        self.0.update(&number.to_le_bytes());
    }

    fn version(&mut self, version: Version) {
        self.number(version.epoch);
        self.number(version.count);
        self.number(version.writer.0.into());
        self.number(version.start);
    }

    fn fault(&mut self, fault: &StorageError) {
        match fault {
            StorageError::Full => self.number(0),
            StorageError::Io(text) => {
                self.number(1);
                self.bytes(text.as_bytes());
            }
            StorageError::NoDisk => self.number(2),
        }
    }

    fn error(&mut self, error: &RegisterError) {
        match error {
            RegisterError::Malformed => self.number(0),
            RegisterError::UnsupportedVersion(version) => self.bytes(&[1, *version]),
            RegisterError::Conflict { latest } => {
                self.number(2);
                latest.iter().for_each(|version| self.version(*version));
            }
            RegisterError::StaleEpoch { epoch } => {
                self.number(3);
                self.number(*epoch);
            }
            RegisterError::NoMajority => self.number(4),
            RegisterError::CatchingUp => self.number(5),
            RegisterError::Lost => self.number(6),
            RegisterError::NotStored(fault) => {
                self.number(7);
                self.fault(fault);
            }
            RegisterError::TooLong { bytes, max } => {
                self.number(8);
                self.number(*bytes as u64);
                self.number(*max as u64);
            }
            RegisterError::Busy => self.number(9),
            RegisterError::Full => self.number(10),
            RegisterError::TimedOut => self.number(11),
        }
    }

    fn event(&mut self, event: &Event) {
        match event {
            Event::CaughtUp { registers, fetched } => {
                self.number(0);
                self.number(*registers as u64);
                self.number(*fetched);
            }
            Event::OlderDisk { by } => self.tagged_name(1, *by),
            Event::DiskErased { by } => self.tagged_name(2, *by),
            Event::DiskCorrupt => self.number(3),
            Event::DiskFault(fault) => {
                self.number(4);
                self.fault(fault);
            }
            Event::DiskRecovered => self.number(5),
            Event::ReplicaLost(name) => self.tagged_name(6, *name),
            Event::MajorityLost => self.number(7),
            Event::UnsupportedVersion(name) => self.tagged_name(8, *name),
        }
    }

    fn tagged_name(&mut self, tag: u64, name: NameKey) {
        self.number(tag);
        self.number(name.0.into());
    }

    fn output(&mut self, member: usize, output: &Output) {
        self.number(member as u64);
        match output {
            Output::Send(to, bytes) => {
                self.tagged_name(0, *to);
                self.bytes(bytes);
            }
            Output::Store {
                ticket,
                name,
                bytes,
            } => {
                self.number(1);
                self.number(*ticket);
                self.bytes(name);
                self.number(u64::from(bytes.is_some()));
                bytes.iter().for_each(|bytes| self.bytes(bytes));
            }
            Output::Read { call, result } => {
                self.number(2);
                self.number(call.0);
                match result {
                    Ok(None) => self.number(0),
                    Ok(Some((version, value))) => {
                        self.number(1);
                        self.version(*version);
                        self.bytes(value);
                    }
                    Err(error) => {
                        self.number(2);
                        self.error(error);
                    }
                }
            }
            Output::Written { call, result } => {
                self.number(3);
                self.number(call.0);
                match result {
                    Ok(version) => self.version(*version),
                    Err(error) => self.error(error),
                }
            }
            Output::Event(event) => {
                self.number(4);
                self.event(event);
            }
        }
    }
}

/// Number of outputs of each kind, by which a run with too few outputs is noticed.
#[derive(Debug, Default, PartialEq, Eq)]
struct Totals {
    sent: usize,
    stored: usize,
    read: usize,
    written: usize,
    failed: usize,
    events: usize,
}

struct Run {
    rng: SplitMix64,
    durable: bool,
    now: Duration,
    members: Vec<Replica>,
    disks: Vec<Disk>,
    starts: u64,
    /// Start number of each member's process.
    process_starts: Vec<u64>,
    calls: u64,
    /// Version that was last reported to a member, by member and key.
    versions: BTreeMap<(usize, RegisterKey), Option<Version>>,
    /// Member and key of each call in progress.
    active_calls: BTreeMap<u64, (usize, RegisterKey)>,
    /// Inputs that have not been delivered yet, each with the member that receives it.
    pending: VecDeque<(usize, Input)>,
    digest: Digest,
    totals: Totals,
}

fn name(member: usize) -> NameKey {
    NameKey(member as u32 + 10)
}

fn key(number: u64) -> RegisterKey {
    RegisterKey([number as u8; 16])
}

impl Run {
    fn new(seed: u64, durable: bool) -> Run {
        let mut run = Run {
            rng: SplitMix64::seed_from_u64(seed),
            durable,
            now: Duration::ZERO,
            members: vec![],
            disks: vec![Disk::new(); MEMBERS],
            starts: 0,
            process_starts: vec![0; MEMBERS],
            calls: 0,
            versions: BTreeMap::new(),
            active_calls: BTreeMap::new(),
            pending: VecDeque::new(),
            digest: Digest::default(),
            totals: Totals::default(),
        };
        for member in 0..MEMBERS {
            let replica = run.start(member);
            run.members.push(replica);
        }
        run
    }

    fn random_below(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below
    }

    fn start(&mut self, member: usize) -> Replica {
        self.starts += 1;
        self.process_starts[member] = self.starts;
        let own = Process {
            name: name(member),
            start: self.starts,
        };
        let settings = Settings {
            replicas: 3,
            durable: self.durable,
        };
        let roster: BTreeSet<NameKey> = (0..MEMBERS).map(name).collect();
        let replica = Replica::new(own, roster, settings, self.starts, self.now);
        if self.durable {
            let stored = self.disks[member].clone().into_iter().collect();
            self.pending.push_back((member, Input::Loaded(Ok(stored))));
        }
        replica
    }

    fn restart(&mut self, member: usize) {
        self.pending.retain(|(to, _)| *to != member);
        if self.random_below(4) == 0 {
            self.disks[member].clear();
        }
        self.members[member] = self.start(member);
    }

    /// Makes a random call.
    fn random_call(&mut self) {
        let member = self.random_below(MEMBERS as u64) as usize;
        let key = key(self.random_below(6));
        let deadline = self.now + Duration::from_millis(100 + self.random_below(900));
        self.calls += 1;
        let call = CallId(self.calls);
        self.active_calls.insert(call.0, (member, key));
        let expected = self.versions.get(&(member, key)).copied();
        let length = self.random_below(40) as usize;
        let input = match (self.random_below(10), expected) {
            (0, Some(Some(expected))) => Input::Delete {
                call,
                key,
                expected,
                deadline,
            },
            (1..=6, Some(expected)) => Input::Write {
                call,
                key,
                expected,
                epoch: expected.map_or(1, |expected| expected.epoch),
                value: vec![call.0 as u8; length],
                deadline,
            },
            _ => Input::Read {
                call,
                key,
                deadline,
            },
        };
        self.pending.push_back((member, input));
    }

    fn step(&mut self, member: usize, input: Input) {
        let mut out = vec![];
        self.members[member].step(self.now, input, &mut out);
        for output in out {
            self.digest.output(member, &output);
            self.on_output(member, output);
        }
    }

    fn on_output(&mut self, member: usize, output: Output) {
        match output {
            Output::Send(to, message) => {
                self.totals.sent += 1;
                let from = Process {
                    name: name(member),
                    start: self.process_starts[member],
                };
                let frame = Input::Frame {
                    from,
                    payload: message,
                };
                if self.random_below(20) > 0 {
                    self.pending.push_back((to.0 as usize - 10, frame));
                }
            }
            Output::Store {
                ticket,
                name,
                bytes,
            } => {
                self.totals.stored += 1;
                let disk_full = self.random_below(60) == 0;
                if !disk_full {
                    match bytes {
                        Some(bytes) => drop(self.disks[member].insert(name, bytes)),
                        None => drop(self.disks[member].remove(&name)),
                    }
                }
                let result = if disk_full {
                    Err(StorageError::Full)
                } else {
                    Ok(())
                };
                self.pending
                    .push_back((member, Input::Stored { ticket, result }));
            }
            Output::Read { call, result } => {
                self.totals.read += 1;
                match result {
                    Ok(found) => self.record_version(call, found.map(|(version, _)| version)),
                    Err(_) => self.totals.failed += 1,
                }
            }
            Output::Written { call, result } => {
                self.totals.written += 1;
                match result {
                    Ok(version) => self.record_version(call, Some(version)),
                    Err(RegisterError::Conflict { latest }) => self.record_version(call, latest),
                    Err(_) => self.totals.failed += 1,
                }
            }
            Output::Event(_) => self.totals.events += 1,
        }
    }

    /// Records the version that the answer to a call reported.
    fn record_version(&mut self, call: CallId, version: Option<Version>) {
        if let Some(member_and_key) = self.active_calls.remove(&call.0) {
            self.versions.insert(member_and_key, version);
        }
    }

    /// Runs all steps, and returns the digest and the number of outputs.
    fn run(mut self) -> (String, Totals) {
        for _ in 0..STEPS {
            self.now += STEP;
            if self.random_below(3) == 0 {
                self.random_call();
            }
            if self.random_below(1500) == 0 {
                let member = self.random_below(MEMBERS as u64) as usize;
                self.restart(member);
            }
            for _ in 0..self.pending.len() {
                if let Some((member, input)) = self.pending.pop_front() {
                    self.step(member, input);
                }
            }
            for member in 0..MEMBERS {
                if self.members[member]
                    .wake_at()
                    .is_some_and(|at| at <= self.now)
                {
                    self.step(member, Input::Wake);
                }
            }
        }
        let digest = self.digest.0.finalize().to_hex()[..32].to_string();
        (digest, self.totals)
    }
}

fn digests(durable: bool) -> Vec<String> {
    (0..4)
        .map(|seed| {
            let (digest, totals) = Run::new(seed, durable).run();
            println!("seed {seed}: {digest} {totals:?}");
            assert!(totals.sent > 0 && totals.read > 0 && totals.written > 0);
            assert!(totals.failed > 0 && totals.events > 0);
            assert_eq!(totals.stored > 0, durable);
            digest
        })
        .collect()
}

#[test]
fn outputs_without_disks_are_unchanged() {
    assert_eq!(
        digests(false),
        [
            "69e519cfec2d23e41503fefe891e2f23",
            "77e83fccd229597f55cf0c279862bd90",
            "e27251b842e651bfb1ad2b61a29e25d6",
            "782bcbf7864dbd2ccd7e3f03ec2c6020",
        ]
    );
}

#[test]
fn outputs_with_disks_are_unchanged() {
    assert_eq!(
        digests(true),
        [
            "b77d99fd4f6609b38d40b2adde65765e",
            "4f8333d683f830f94b37d720acb61c11",
            "238102b0e91e95ae89e04d4bfa4da9bb",
            "f7691bc7784be6e1c3a53eeb7b96bc88",
        ]
    );
}
