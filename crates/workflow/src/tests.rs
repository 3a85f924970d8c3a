//! Desks over a register that is one map, so that each answer of it can be chosen.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::{Process, StorageError};
use bitternlatch_replicated_register::{Input, RegisterError, RegisterKey, Version};

use crate::coordinator::{key_of, Coordinator, CoordinatorOutput};
use crate::*;

type Held = BTreeMap<RegisterKey, (Version, Vec<u8>)>;

/// What becomes of the next write.
#[derive(Clone, Debug, PartialEq)]
enum Next {
    Well,
    Fails(RegisterError),
    /// Written, though nobody is told.
    InDoubt(RegisterError),
    /// Never answered.
    Silent,
}

struct Cluster {
    now: Duration,
    coordinators: Vec<Coordinator>,
    held: Held,
    next: Next,
    told: Vec<Event>,
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
        let (held, now) = (Held::new(), ms(1000));
        let (told, logs) = (vec![], vec![]);
        Cluster {
            now,
            coordinators,
            held,
            next: Next::Well,
            told,
            logs,
            calls: 0,
            writes: 0,
            reads: 0,
        }
    }

    fn deliver(&mut self, i: usize, out: Vec<CoordinatorOutput>) {
        let mut out: std::collections::VecDeque<CoordinatorOutput> = out.into();
        while let Some(wanted) = out.pop_front() {
            let mut more = vec![];
            match wanted {
                CoordinatorOutput::Event(told) => self.told.push(told),
                CoordinatorOutput::Log { text, .. } => self.logs.push(text),
                CoordinatorOutput::Register(Input::Read { call, key, .. }) => {
                    self.reads += 1;
                    self.coordinators[i].on_read(
                        self.now,
                        call,
                        Ok(self.held.get(&key).cloned()),
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
                    let latest = self.held.get(&key).map(|(version, _)| *version);
                    let version = Version {
                        epoch,
                        count: self.writes,
                        writer: NameKey(i as u32),
                        start: 1,
                    };
                    let done = match std::mem::replace(&mut self.next, Next::Well) {
                        Next::Silent => continue,
                        Next::Fails(error) => Err(error),
                        _ if latest != expected => Err(RegisterError::Conflict { latest }),
                        next => {
                            self.held.insert(key, (version, value));
                            if let Next::InDoubt(error) = next {
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
                    self.held.remove(&key);
                    self.coordinators[i].on_written(self.now, call, Ok(expected), &mut more);
                }
                CoordinatorOutput::Register(_) => {}
            }
            out.extend(more);
        }
    }

    fn ask(&mut self, i: usize, ask: impl FnOnce(Call, String, u64) -> Command) -> Option<Event> {
        self.calls += 1;
        let until = (self.now + ms(1000)).as_micros() as u64;
        let mut out = vec![];
        let ask = ask(Call(self.calls), "w".to_string(), until);
        self.coordinators[i].handle(self.now, ask, &mut out);
        self.deliver(i, out);
        self.told.pop()
    }

    fn pass(&mut self, time: Duration) {
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
        self.ask(i, |call, workflow, until_us| Command::Claim {
            call,
            workflow,
            worker,
            until_us,
        })
    }

    fn intend(&mut self, i: usize, epoch: u64, step: u32) -> Option<Event> {
        self.ask(i, |call, workflow, until_us| Command::Intend {
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
        self.ask(i, |call, workflow, until_us| Command::ReportOutcome {
            call,
            workflow,
            epoch,
            step,
            outcome,
            until_us,
        })
    }

    fn done(&mut self, i: usize, epoch: u64, step: u32) -> Option<Event> {
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
        Record::decode(&self.held[&key_of("w")].1).unwrap()
    }
}

fn why(told: &Option<Event>) -> Option<RejectReason> {
    match told {
        Some(Event::Rejected { reason: why, .. }) => Some(*why),
        _ => None,
    }
}

fn is_go(told: &Option<Event>) -> bool {
    matches!(told, Some(Event::SendPermitted { .. }))
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
            cluster.done(0, 1, step),
            Some(Event::Committed { .. })
        ));
    }
    assert_eq!((cluster.reads - reads, cluster.writes - writes), (0, 40));
    // The other one sees the lease for the first time, and has to see it through.
    assert_eq!(why(&cluster.claim(1, "b")), Some(RejectReason::LeaseHeld));
    cluster.pass(ms(1515));
    assert_eq!(why(&cluster.claim(1, "b")), Some(RejectReason::LeaseHeld));
    cluster.pass(ms(50));
    assert!(matches!(
        cluster.claim(1, "b"),
        Some(Event::Claimed { epoch: 2, .. })
    ));
    assert_eq!(why(&cluster.intend(0, 1, 21)), Some(RejectReason::Fenced));
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
    // Its own claim makes it the longer one.
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
        Next::Silent,
        Next::InDoubt(RegisterError::TimedOut),
        Next::InDoubt(RegisterError::NotStored(StorageError::Full)),
        Next::Fails(RegisterError::TimedOut),
    ] {
        let mut cluster = Cluster::new(1);
        cluster.claim(0, "a");
        cluster.next = next.clone();
        let told = cluster.intend(0, 1, 1);
        assert!(told.is_none(), "{next:?} {told:?}");
        cluster.pass(ms(2000));
        // Answered once: sent under a write of its own, or refused and, in silence, undone.
        assert_eq!(cluster.told.len(), 1, "{next:?} {:?}", cluster.told);
        let told = cluster.told.pop();
        match is_go(&told) {
            true => assert!(matches!(
                cluster.done(0, 1, 1),
                Some(Event::Committed { .. })
            )),
            false => {
                assert_eq!(why(&told), Some(RejectReason::NoMajority));
                assert_eq!(cluster.record().open_attempt(), None, "{next:?}");
                assert!(is_go(&cluster.intend(0, 1, 1)));
            }
        }
    }
}

#[test]
fn result_is_offered_until_its_deadline_and_then_in_background() {
    let mut cluster = Cluster::new(1);
    cluster.claim(0, "a");
    cluster.intend(0, 1, 1);
    cluster.next = Next::InDoubt(RegisterError::TimedOut);
    assert_eq!(cluster.done(0, 1, 1), None);
    cluster.pass(ms(100));
    assert!(matches!(cluster.told.pop(), Some(Event::Committed { .. })));
    cluster.intend(0, 1, 2);
    cluster.next = Next::Silent;
    cluster.done(0, 1, 2);
    for _ in 0..400 {
        cluster.next = Next::Fails(RegisterError::NoMajority);
        cluster.pass(ms(5));
    }
    assert_eq!(cluster.told.len(), 1);
    assert_eq!(why(&cluster.told.pop()), Some(RejectReason::NoMajority));
    cluster.next = Next::Well;
    cluster.pass(ms(500));
    assert_eq!(cluster.record().open_attempt(), None);
    assert!(
        matches!(cluster.intend(0, 1, 2), Some(Event::AlreadyDone { result, .. }) if result == "r2")
    );
}

#[test]
fn lease_is_renewed_during_a_long_attempt_that_is_not_sent_again() {
    let mut cluster = Cluster::new(2);
    cluster.claim(0, "a");
    assert!(is_go(&cluster.intend(0, 1, 1)));
    assert_eq!(why(&cluster.claim(1, "b")), Some(RejectReason::LeaseHeld));
    cluster.pass(ms(9000));
    assert_eq!(why(&cluster.claim(1, "b")), Some(RejectReason::LeaseHeld));
    assert_eq!(why(&cluster.intend(0, 1, 1)), Some(RejectReason::Busy));
    // Its worker comes back to its own at once, and gets the result of the attempt that it left.
    assert!(matches!(
        cluster.claim(0, "a"),
        Some(Event::Claimed { epoch: 2, .. })
    ));
    assert_eq!(why(&cluster.done(0, 1, 1)), Some(RejectReason::Fenced));
    assert!(matches!(
        cluster.intend(0, 2, 1),
        Some(Event::AlreadyDone { .. })
    ));
}

#[test]
fn unsettled_workflow_is_logged_once_and_settled_after_its_lease() {
    let mut cluster = Cluster::new(2);
    cluster.claim(0, "a");
    cluster.intend(0, 1, 1);
    // Its dispatcher is no more.
    cluster.coordinators.remove(0);
    cluster.claim(0, "b");
    cluster.pass(ms(3200));
    assert_eq!(why(&cluster.claim(0, "b")), Some(RejectReason::Unsettled));
    assert_eq!(why(&cluster.claim(0, "c")), Some(RejectReason::Unsettled));
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
        cluster.ask(0, settle),
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
    // Those with the most time left make room for the nearer ones.
    assert!(
        busy.iter().all(|call| (32..1500 - 1024).contains(call)),
        "{busy:?}"
    );
    cluster.deliver(0, out);
    let claimed = cluster
        .told
        .iter()
        .filter(|t| matches!(t, Event::Claimed { .. }))
        .count();
    assert_eq!((claimed, cluster.told.len()), (32 + 1024, 1500));
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
        let look = |cluster: &mut Cluster| {
            let (version, _) = cluster.held[&key_of("w")];
            let (record, now, mut out) = (cluster.record(), cluster.now, vec![]);
            cluster.coordinators[0].sweep(now, key_of("w"), version, &record, &mut out);
            cluster.deliver(0, out);
        };
        look(&mut cluster);
        assert!(cluster.held.contains_key(&key_of("w")));
        cluster.pass(ms(after));
        look(&mut cluster);
        match state {
            State::Open => assert!(cluster.held.is_empty()),
            state => assert_eq!(cluster.record().state(), state),
        }
    }
}

#[test]
fn record_of_another_version_is_rejected_and_logged() {
    let mut cluster = Cluster::new(1);
    cluster.claim(0, "a");
    cluster.held.get_mut(&key_of("w")).unwrap().1[0] = 9;
    assert_eq!(why(&cluster.claim(0, "a")), Some(RejectReason::NoMajority));
    assert!(
        cluster.logs[0].contains("another version"),
        "{:?}",
        cluster.logs
    );
}
