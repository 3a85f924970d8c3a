//! Digest over all outputs of the workflow machine, in order, for seeded inputs: frames, records to store, events for the core. If
//! the digest changes, then what a process sends, stores or answers has changed.
//!
//! Events are hashed as postcard bytes and other outputs field by field, never by `Debug`, so renaming a type does not change the
//! digest. Of a log line only the level is hashed, so its text may change.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::{
    ClusterService, Process, ServiceInput, ServiceOutput, StorageError,
};
use bitternlatch_workflow::{AttemptOutcome, Call, Command, Effect, Event, Settings, Workflows};
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::SplitMix64;

const MEMBERS: usize = 4;
const WORKFLOWS: usize = 8;
const STEPS: usize = 6000;
const STEP: Duration = Duration::from_millis(5);

type Stored = BTreeMap<Vec<u8>, Vec<u8>>;

/// Hashes byte strings with their length in front, so that different lists of fields never hash the same bytes.
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

    fn output(&mut self, member: usize, output: &ServiceOutput<Event>) {
        self.number(member as u64);
        match output {
            ServiceOutput::SendDatagram(to, bytes) => {
                self.number(0);
                self.number(to.0.into());
                self.bytes(bytes);
            }
            ServiceOutput::SendFrame(to, bytes) => {
                self.number(1);
                self.number(to.0.into());
                self.bytes(bytes);
            }
            ServiceOutput::Event(event) => {
                self.number(2);
                self.bytes(&postcard::to_allocvec(event).expect("plain data"));
            }
            ServiceOutput::Persist {
                ticket,
                name,
                bytes,
            } => {
                self.number(3);
                self.number(*ticket);
                self.bytes(name);
                self.number(u64::from(bytes.is_some()));
                bytes.iter().for_each(|bytes| self.bytes(bytes));
            }
            ServiceOutput::Log { warn, .. } => {
                self.number(4);
                self.number(u64::from(*warn));
            }
        }
    }
}

/// Number of outputs by kind, to check that a run covers all of them.
#[derive(Debug, Default, PartialEq, Eq)]
struct Totals {
    sent: usize,
    stored: usize,
    logged: usize,
    claimed: usize,
    permitted: usize,
    already_done: usize,
    committed: usize,
    rejected: usize,
}

/// State of the client of one workflow, from the events that it received.
#[derive(Clone, Copy, Debug, Default)]
struct Caller {
    member: usize,
    epoch: u64,
    step: u32,
    running: bool,
    /// Part of the workflow's name; increased to start a new workflow.
    generation: u64,
}

struct Run {
    draws: SplitMix64,
    durable: bool,
    now: Duration,
    members: Vec<Workflows>,
    disks: Vec<Stored>,
    starts: u64,
    /// Start number of the current process of each member.
    started: Vec<u64>,
    calls: u64,
    callers: Vec<Caller>,
    /// Maps the number of each unanswered call to the index of its workflow.
    call_workflow: BTreeMap<u64, usize>,
    pending: VecDeque<(usize, ServiceInput<Command>)>,
    digest: Digest,
    totals: Totals,
}

fn name(member: usize) -> NameKey {
    NameKey(member as u32 + 10)
}

impl Run {
    fn new(seed: u64, durable: bool) -> Run {
        let mut run = Run {
            draws: SplitMix64::seed_from_u64(seed),
            durable,
            now: Duration::ZERO,
            members: vec![],
            disks: vec![Stored::new(); MEMBERS],
            starts: 0,
            started: vec![0; MEMBERS],
            calls: 0,
            callers: vec![Caller::default(); WORKFLOWS],
            call_workflow: BTreeMap::new(),
            pending: VecDeque::new(),
            digest: Digest::default(),
            totals: Totals::default(),
        };
        for member in 0..MEMBERS {
            let machine = run.start(member);
            run.members.push(machine);
        }
        run
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws.next_u64() % below
    }

    fn start(&mut self, member: usize) -> Workflows {
        self.starts += 1;
        self.started[member] = self.starts;
        let own = Process {
            name: name(member),
            start: self.starts,
        };
        let roster: BTreeSet<NameKey> = (0..MEMBERS).map(name).collect();
        let settings = Settings {
            steps: 12,
            lease_s: 0.6,
            ..Settings::default()
        };
        if self.durable {
            let stored = self.disks[member].clone().into_iter().collect();
            self.pending
                .push_back((member, ServiceInput::Loaded(Ok(stored))));
        }
        Workflows::new(own, roster, &settings, self.durable, self.starts, self.now)
    }

    fn restart(&mut self, member: usize) {
        self.pending.retain(|(to, _)| *to != member);
        self.members[member] = self.start(member);
    }

    fn outcome(&mut self) -> AttemptOutcome {
        match self.draw(8) {
            0 => AttemptOutcome::MayHaveRun,
            1 => AttemptOutcome::NeverRan,
            n => AttemptOutcome::Done {
                result: "r".repeat(n as usize * 20),
                tokens: n as u32,
            },
        }
    }

    fn effect(&mut self) -> Effect {
        match self.draw(8) {
            0 => Effect::Unsafe,
            1..=3 => Effect::Keyed,
            _ => Effect::Safe,
        }
    }

    /// Sends the next command for one workflow.
    fn send_command(&mut self, which: usize) {
        self.calls += 1;
        let call = Call(self.calls);
        let caller = self.callers[which];
        let workflow = format!("w{which}/{}", caller.generation);
        let until_us = (self.now.as_micros() as u64) + 200_000 + self.draw(1_000_000);
        let (epoch, step) = (caller.epoch, caller.step);
        let command = match self.draw(20) {
            0 => Command::Settle {
                call,
                workflow,
                step,
                outcome: self.outcome(),
                until_us,
            },
            1 | 2 => Command::RenewLease {
                call,
                workflow,
                epoch,
                until_us,
            },
            3 if step > 4 => Command::Finish {
                call,
                workflow,
                epoch,
                cancelled: self.draw(2) == 0,
                until_us,
            },
            4 => self.claim(which, call, workflow, until_us),
            _ if epoch == 0 => self.claim(which, call, workflow, until_us),
            _ if caller.running => {
                let outcome = self.outcome();
                self.callers[which].running = false;
                Command::ReportOutcome {
                    call,
                    workflow,
                    epoch,
                    step,
                    outcome,
                    until_us,
                }
            }
            _ => Command::Intend {
                call,
                workflow,
                epoch,
                step,
                effect: self.effect(),
                key: format!("k{step}"),
                request_digest: step.into(),
                until_us,
            },
        };
        self.call_workflow.insert(call.0, which);
        let member = self.callers[which].member;
        self.pending
            .push_back((member, ServiceInput::Request(command)));
    }

    fn claim(&mut self, which: usize, call: Call, workflow: String, until_us: u64) -> Command {
        let member = self.draw(MEMBERS as u64) as usize;
        self.callers[which].member = member;
        Command::Claim {
            call,
            workflow,
            worker: format!("worker{member}"),
            until_us,
        }
    }

    fn step(&mut self, member: usize, input: ServiceInput<Command>) {
        let mut out = vec![];
        self.members[member].step(self.now, input, &mut out);
        for output in out {
            self.digest.output(member, &output);
            self.on_output(member, output);
        }
    }

    fn on_output(&mut self, member: usize, output: ServiceOutput<Event>) {
        match output {
            ServiceOutput::SendDatagram(..) => {}
            ServiceOutput::SendFrame(to, payload) => {
                self.totals.sent += 1;
                let from = Process {
                    name: name(member),
                    start: self.started[member],
                };
                let frame = ServiceInput::Frame { from, payload };
                if self.draw(30) > 0 {
                    self.pending.push_back((to.0 as usize - 10, frame));
                }
            }
            ServiceOutput::Persist {
                ticket,
                name,
                bytes,
            } => {
                self.totals.stored += 1;
                let is_full = self.draw(80) == 0;
                if !is_full {
                    match bytes {
                        Some(bytes) => drop(self.disks[member].insert(name, bytes)),
                        None => drop(self.disks[member].remove(&name)),
                    }
                }
                let done = if is_full {
                    Err(StorageError::Full)
                } else {
                    Ok(())
                };
                self.pending
                    .push_back((member, ServiceInput::Persisted { ticket, done }));
            }
            ServiceOutput::Log { .. } => self.totals.logged += 1,
            ServiceOutput::Event(event) => self.on_event(event),
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Claimed {
                call, epoch, steps, ..
            } => {
                self.totals.claimed += 1;
                if let Some(caller) = self.caller(call) {
                    caller.epoch = epoch;
                    caller.step = steps.last().map_or(1, |step| step.number.max(1));
                    caller.running = false;
                }
            }
            Event::SendPermitted { call, .. } => {
                self.totals.permitted += 1;
                if let Some(caller) = self.caller(call) {
                    caller.running = true;
                }
            }
            Event::AlreadyDone { call, .. } => {
                self.totals.already_done += 1;
                if let Some(caller) = self.caller(call) {
                    caller.step += 1;
                }
            }
            Event::Committed { call } => {
                self.totals.committed += 1;
                self.caller(call);
            }
            Event::Rejected { call, .. } => {
                self.totals.rejected += 1;
                let is_replaced = self.draw(25) == 0;
                if let Some(caller) = self.caller(call) {
                    caller.epoch = 0;
                    if is_replaced {
                        caller.generation += 1;
                        caller.step = 1;
                    }
                }
            }
        }
    }

    fn caller(&mut self, call: Call) -> Option<&mut Caller> {
        let which = self.call_workflow.remove(&call.0)?;
        self.callers.get_mut(which)
    }

    fn run(mut self) -> (String, Totals) {
        for _ in 0..STEPS {
            self.now += STEP;
            if self.draw(2) == 0 {
                let which = self.draw(WORKFLOWS as u64) as usize;
                self.send_command(which);
            }
            if self.draw(2000) == 0 {
                let member = self.draw(MEMBERS as u64) as usize;
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
                    self.step(member, ServiceInput::Wake);
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
            assert!(totals.claimed > 0 && totals.permitted > 0 && totals.already_done > 0);
            assert!(totals.committed > 0 && totals.rejected > 0 && totals.sent > 0);
            digest
        })
        .collect()
}

#[test]
fn outputs_without_disks_are_unchanged() {
    assert_eq!(
        digests(false),
        [
            "43ac0efb38e0ed417716f8aa09bff33b",
            "2f02fcfd2a4a422b60ea60ac30138fc0",
            "30bb1b84d2a4d368df22b702a8c87803",
            "14ba7eff4bff549171ddb5ef047558fb",
        ]
    );
}

#[test]
fn outputs_with_disks_are_unchanged() {
    assert_eq!(
        digests(true),
        [
            "d588d2428ad6c03d03cd3b78c6d167d2",
            "279c3881a330fb7817aa0b018804ea7e",
            "a251f1fc7973545b5034414ac4d5ca2b",
            "80004662e62cbd8f58ac83ecc77258bb",
        ]
    );
}
