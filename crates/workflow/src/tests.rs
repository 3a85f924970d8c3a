//! Tests of coordinators whose registers are one in-memory map, so that a test can choose the result of each register call.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::{Process, StorageError};
use bitternlatch_replicated_register::{Input, RegisterError, RegisterKey, Version};

use crate::coordinator::{key_of, Coordinator, CoordinatorOutput};
use crate::*;

type Registers = BTreeMap<RegisterKey, (Version, Vec<u8>)>;

/// Result of the next write, chosen by the test.
#[derive(Clone, Debug, PartialEq)]
enum NextWrite {
    /// Stored, unless it conflicts.
    Succeeds,
    /// Not stored; returns the error.
    Fails(RegisterError),
    /// Stored, but returns the error.
    StoredButFails(RegisterError),
    /// Not stored and never answered.
    Unanswered,
}

struct Cluster {
    now: Duration,
    coordinators: Vec<Coordinator>,
    registers: Registers,
    next_write: NextWrite,
    events: Vec<Event>,
    logs: Vec<String>,
    calls: u64,
    writes: u64,
    reads: u64,
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

impl Cluster {
    fn new(of: usize) -> Cluster {
        let own = |i: usize| Process {
            name: NameKey(i as u32 + 1),
            start: 1,
        };
        let coordinators = (0..of)
            .map(|i| Coordinator::new(own(i), &Settings::default(), SafetyChecks::AS_BUILT))
            .collect();
        let (registers, now) = (Registers::new(), ms(1000));
        let (events, logs) = (vec![], vec![]);
        Cluster {
            now,
            coordinators,
            registers,
            next_write: NextWrite::Succeeds,
            events,
            logs,
            calls: 0,
            writes: 0,
            reads: 0,
        }
    }

    fn deliver(&mut self, i: usize, out: Vec<CoordinatorOutput>) {
        let mut out: std::collections::VecDeque<CoordinatorOutput> = out.into();
        while let Some(output) = out.pop_front() {
            let mut more = vec![];
            match output {
                CoordinatorOutput::Event(event) => self.events.push(event),
                CoordinatorOutput::Log { text, .. } => self.logs.push(text),
                CoordinatorOutput::Register(Input::Read { call, key, .. }) => {
                    self.reads += 1;
                    self.coordinators[i].on_read(
                        self.now,
                        call,
                        Ok(self.registers.get(&key).cloned()),
                        &mut more,
                    );
                }
                CoordinatorOutput::Register(Input::Write {
                    call,
                    key,
                    expected,
                    epoch,
                    value,
                    ..
                }) => {
                    self.writes += 1;
                    let latest = self.registers.get(&key).map(|(version, _)| *version);
                    let version = Version {
                        epoch,
                        count: self.writes,
                        writer: NameKey(i as u32),
                        start: 1,
                    };
                    let done = match std::mem::replace(&mut self.next_write, NextWrite::Succeeds) {
                        NextWrite::Unanswered => continue,
                        NextWrite::Fails(error) => Err(error),
                        _ if latest != expected => Err(RegisterError::Conflict { latest }),
                        next => {
                            self.registers.insert(key, (version, value));
                            if let NextWrite::StoredButFails(error) = next {
                                Err(error)
                            } else {
                                Ok(version)
                            }
                        }
                    };
                    self.coordinators[i].on_written(self.now, call, done, &mut more);
                }
                CoordinatorOutput::Register(Input::Delete {
                    call,
                    key,
                    expected,
                    ..
                }) => {
                    self.registers.remove(&key);
                    self.coordinators[i].on_written(self.now, call, Ok(expected), &mut more);
                }
                CoordinatorOutput::Register(_) => {}
            }
            out.extend(more);
        }
    }

    fn send(
        &mut self,
        i: usize,
        command: impl FnOnce(Call, String, u64) -> Command,
    ) -> Option<Event> {
        self.calls += 1;
        let until = (self.now + ms(1000)).as_micros() as u64;
        let mut out = vec![];
        let command = command(Call(self.calls), "w".to_string(), until);
        self.coordinators[i].handle(self.now, command, &mut out);
        self.deliver(i, out);
        self.events.pop()
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + ms(5)).min(end);
            for i in 0..self.coordinators.len() {
                let mut out = vec![];
                self.coordinators[i].wake(self.now, &mut out);
                self.deliver(i, out);
            }
        }
    }

    fn claim(&mut self, i: usize, worker: &str) -> Option<Event> {
        let worker = worker.to_string();
        self.send(i, |call, workflow, until_us| Command::Claim {
            call,
            workflow,
            worker,
            until_us,
        })
    }

    fn intend(&mut self, i: usize, epoch: u64, step: u32) -> Option<Event> {
        self.send(i, |call, workflow, until_us| Command::Intend {
            call,
            workflow,
            epoch,
            step,
            effect: Effect::Unsafe,
            key: String::new(),
            request_digest: step.into(),
            until_us,
        })
    }

    fn report_outcome(
        &mut self,
        i: usize,
        epoch: u64,
        step: u32,
        outcome: AttemptOutcome,
    ) -> Option<Event> {
        self.send(i, |call, workflow, until_us| Command::ReportOutcome {
            call,
            workflow,
            epoch,
            step,
            outcome,
            until_us,
        })
    }

    fn report_done(&mut self, i: usize, epoch: u64, step: u32) -> Option<Event> {
        self.report_outcome(
            i,
            epoch,
            step,
            AttemptOutcome::Done {
                result: format!("r{step}"),
                tokens: 1,
            },
        )
    }

    fn record(&self) -> Record {
        Record::decode(&self.registers[&key_of("w")].1).unwrap()
    }
}

fn reject_reason(event: &Option<Event>) -> Option<RejectReason> {
    match event {
        Some(Event::Rejected { reason, .. }) => Some(*reason),
        _ => None,
    }
}

fn is_permitted(event: &Option<Event>) -> bool {
    matches!(event, Some(Event::SendPermitted { .. }))
}

#[test]
fn step_costs_two_writes_and_permission_ends_before_a_takeover() {
    let mut cluster = Cluster::new(2);
    assert!(matches!(
        cluster.claim(0, "a"),
        Some(Event::Claimed { epoch: 1, .. })
    ));
    let (reads, writes) = (cluster.reads, cluster.writes);
    for step in 1..=20 {
        let Some(Event::SendPermitted { until_us, .. }) = cluster.intend(0, 1, step) else {
            panic!("step {step}")
        };
        assert!(until_us <= (cluster.now + ms(750)).as_micros() as u64);
        assert!(matches!(
            cluster.report_done(0, 1, step),
            Some(Event::Committed { .. })
        ));
    }
    assert_eq!((cluster.reads - reads, cluster.writes - writes), (0, 40));
    // The other dispatcher sees the lease for the first time and has to observe it for its whole length.
    assert_eq!(
        reject_reason(&cluster.claim(1, "b")),
        Some(RejectReason::LeaseHeld)
    );
    cluster.advance(ms(1515));
    assert_eq!(
        reject_reason(&cluster.claim(1, "b")),
        Some(RejectReason::LeaseHeld)
    );
    cluster.advance(ms(50));
    assert!(matches!(
        cluster.claim(1, "b"),
        Some(Event::Claimed { epoch: 2, .. })
    ));
    assert_eq!(
        reject_reason(&cluster.intend(0, 1, 21)),
        Some(RejectReason::Fenced)
    );
}

#[test]
fn longer_own_lease_does_not_extend_the_recorded_one() {
    let mut cluster = Cluster::new(1);
    let own = Process {
        name: NameKey(2),
        start: 1,
    };
    let settings = Settings {
        lease_s: 30.0,
        ..Settings::default()
    };
    cluster
        .coordinators
        .push(Coordinator::new(own, &settings, SafetyChecks::AS_BUILT));
    cluster.claim(0, "a");
    let Some(Event::SendPermitted { until_us, .. }) = cluster.intend(1, 1, 1) else {
        panic!()
    };
    assert!(until_us <= (cluster.now + ms(1500)).as_micros() as u64);
    // Its own claim replaces the recorded lease by the longer one.
    assert!(matches!(
        cluster.claim(1, "a"),
        Some(Event::Claimed {
            lease_us: 30_000_000,
            ..
        })
    ));
}

#[test]
fn uncertain_intent_is_never_sent_and_is_undone() {
    for next in [
        NextWrite::Unanswered,
        NextWrite::StoredButFails(RegisterError::TimedOut),
        NextWrite::StoredButFails(RegisterError::NotStored(StorageError::Full)),
        NextWrite::Fails(RegisterError::TimedOut),
    ] {
        let mut cluster = Cluster::new(1);
        cluster.claim(0, "a");
        cluster.next_write = next.clone();
        let event = cluster.intend(0, 1, 1);
        assert!(event.is_none(), "{next:?} {event:?}");
        cluster.advance(ms(2000));
        // Exactly one answer: either a retried write succeeded and sending is permitted, or the intent was rejected and undone in
        // the background.
        assert_eq!(cluster.events.len(), 1, "{next:?} {:?}", cluster.events);
        let event = cluster.events.pop();
        match is_permitted(&event) {
            true => assert!(matches!(
                cluster.report_done(0, 1, 1),
                Some(Event::Committed { .. })
            )),
            false => {
                assert_eq!(reject_reason(&event), Some(RejectReason::NoMajority));
                assert_eq!(cluster.record().open_attempt(), None, "{next:?}");
                assert!(is_permitted(&cluster.intend(0, 1, 1)));
            }
        }
    }
}

#[test]
fn result_is_offered_until_its_deadline_and_then_in_background() {
    let mut cluster = Cluster::new(1);
    cluster.claim(0, "a");
    cluster.intend(0, 1, 1);
    cluster.next_write = NextWrite::StoredButFails(RegisterError::TimedOut);
    assert_eq!(cluster.report_done(0, 1, 1), None);
    cluster.advance(ms(100));
    assert!(matches!(
        cluster.events.pop(),
        Some(Event::Committed { .. })
    ));
    cluster.intend(0, 1, 2);
    cluster.next_write = NextWrite::Unanswered;
    cluster.report_done(0, 1, 2);
    for _ in 0..400 {
        cluster.next_write = NextWrite::Fails(RegisterError::NoMajority);
        cluster.advance(ms(5));
    }
    assert_eq!(cluster.events.len(), 1);
    assert_eq!(
        reject_reason(&cluster.events.pop()),
        Some(RejectReason::NoMajority)
    );
    cluster.next_write = NextWrite::Succeeds;
    cluster.advance(ms(500));
    assert_eq!(cluster.record().open_attempt(), None);
    assert!(
        matches!(cluster.intend(0, 1, 2), Some(Event::AlreadyDone { result, .. }) if result == "r2")
    );
}

#[test]
fn lease_is_renewed_during_a_long_attempt_that_is_not_sent_again() {
    let mut cluster = Cluster::new(2);
    cluster.claim(0, "a");
    assert!(is_permitted(&cluster.intend(0, 1, 1)));
    assert_eq!(
        reject_reason(&cluster.claim(1, "b")),
        Some(RejectReason::LeaseHeld)
    );
    cluster.advance(ms(9000));
    assert_eq!(
        reject_reason(&cluster.claim(1, "b")),
        Some(RejectReason::LeaseHeld)
    );
    assert_eq!(
        reject_reason(&cluster.intend(0, 1, 1)),
        Some(RejectReason::Busy)
    );
    // The worker can claim its own workflow again at once, and gets the result of the attempt in flight.
    assert!(matches!(
        cluster.claim(0, "a"),
        Some(Event::Claimed { epoch: 2, .. })
    ));
    assert_eq!(
        reject_reason(&cluster.report_done(0, 1, 1)),
        Some(RejectReason::Fenced)
    );
    assert!(matches!(
        cluster.intend(0, 2, 1),
        Some(Event::AlreadyDone { .. })
    ));
}

#[test]
fn unsettled_workflow_is_logged_once_and_settled_after_its_lease_expired() {
    let mut cluster = Cluster::new(2);
    cluster.claim(0, "a");
    cluster.intend(0, 1, 1);
    // The dispatcher that made the attempt is gone.
    cluster.coordinators.remove(0);
    cluster.claim(0, "b");
    cluster.advance(ms(3200));
    assert_eq!(
        reject_reason(&cluster.claim(0, "b")),
        Some(RejectReason::Unsettled)
    );
    assert_eq!(
        reject_reason(&cluster.claim(0, "c")),
        Some(RejectReason::Unsettled)
    );
    assert_eq!(
        cluster
            .logs
            .iter()
            .filter(|l| l.contains("unsettled"))
            .count(),
        1
    );
    let outcome = AttemptOutcome::NeverRan;
    let settle = |call, workflow, until_us| Command::Settle {
        call,
        workflow,
        step: 1,
        outcome,
        until_us,
    };
    assert!(matches!(
        cluster.send(0, settle),
        Some(Event::Committed { .. })
    ));
    assert!(matches!(cluster.claim(0, "c"), Some(Event::Claimed { .. })));
}

#[test]
fn claims_are_limited_by_nearest_deadline_and_all_are_answered() {
    let mut cluster = Cluster::new(1);
    let mut out = vec![];
    let now = cluster.now;
    for i in 0..1500u64 {
        let until_us = (now + ms(10_000 - i)).as_micros() as u64;
        let (workflow, worker) = (format!("w{i}"), "a".to_string());
        cluster.coordinators[0].handle(
            now,
            Command::Claim {
                call: Call(i),
                workflow,
                worker,
                until_us,
            },
            &mut out,
        );
    }
    let reads = out
        .iter()
        .filter(|o| matches!(o, CoordinatorOutput::Register(_)))
        .count();
    let busy = out.iter().filter(|o| {
        matches!(
            o,
            CoordinatorOutput::Event(Event::Rejected {
                reason: RejectReason::Busy,
                ..
            })
        )
    });
    let busy: Vec<u64> = busy
        .map(|o| {
            if let CoordinatorOutput::Event(Event::Rejected { call, .. }) = o {
                call.0
            } else {
                0
            }
        })
        .collect();
    assert_eq!((reads, busy.len()), (32, 1500 - 32 - 1024));
    // Claims with later deadlines are rejected to make room for those with earlier ones.
    assert!(
        busy.iter().all(|call| (32..1500 - 1024).contains(call)),
        "{busy:?}"
    );
    cluster.deliver(0, out);
    let claimed = cluster
        .events
        .iter()
        .filter(|t| matches!(t, Event::Claimed { .. }))
        .count();
    assert_eq!((claimed, cluster.events.len()), (32 + 1024, 1500));
}

#[test]
fn sweep_expires_old_workflows_and_deletes_ended_ones() {
    let mut cluster = Cluster::new(1);
    let settings = Settings {
        lasts_s: 10.0,
        ..Settings::default()
    };
    let own = Process {
        name: NameKey(1),
        start: 1,
    };
    cluster.coordinators = vec![Coordinator::new(own, &settings, SafetyChecks::AS_BUILT)];
    cluster.claim(0, "a");
    for (state, after) in [
        (State::Ended(Outcome::Expired), 11_000),
        (State::Open, 601_000),
    ] {
        let sweep = |cluster: &mut Cluster| {
            let (version, _) = cluster.registers[&key_of("w")];
            let (record, now, mut out) = (cluster.record(), cluster.now, vec![]);
            cluster.coordinators[0].sweep(now, key_of("w"), version, &record, &mut out);
            cluster.deliver(0, out);
        };
        sweep(&mut cluster);
        assert!(cluster.registers.contains_key(&key_of("w")));
        cluster.advance(ms(after));
        sweep(&mut cluster);
        match state {
            State::Open => assert!(cluster.registers.is_empty()),
            state => assert_eq!(cluster.record().state(), state),
        }
    }
}

#[test]
fn record_of_another_version_is_rejected_and_logged() {
    let mut cluster = Cluster::new(1);
    cluster.claim(0, "a");
    cluster.registers.get_mut(&key_of("w")).unwrap().1[0] = 9;
    assert_eq!(
        reject_reason(&cluster.claim(0, "a")),
        Some(RejectReason::NoMajority)
    );
    assert!(
        cluster.logs[0].contains("another version"),
        "{:?}",
        cluster.logs
    );
}
