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

struct Office {
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

impl Office {
    fn new(of: usize) -> Office {
        let own = |i: usize| Process {
            name: NameKey(i as u32 + 1),
            start: 1,
        };
        let coordinators = (0..of)
            .map(|i| Coordinator::new(own(i), &Settings::default(), SafetyChecks::AS_BUILT))
            .collect();
        let (held, now) = (Held::new(), ms(1000));
        let (told, logs) = (vec![], vec![]);
        Office {
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

    fn renew_lease(&mut self, i: usize, out: Vec<CoordinatorOutput>) {
        let mut out: std::collections::VecDeque<CoordinatorOutput> = out.into();
        while let Some(wanted) = out.pop_front() {
            let mut more = vec![];
            match wanted {
                CoordinatorOutput::Event(told) => self.told.push(told),
                CoordinatorOutput::Log { text, .. } => self.logs.push(text),
                CoordinatorOutput::Register(Input::Read { call, key, .. }) => {
                    self.reads += 1;
                    self.coordinators[i].found(
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
                    self.coordinators[i].written(self.now, call, done, &mut more);
                }
                CoordinatorOutput::Register(Input::Delete {
                    call,
                    key,
                    expected,
                    ..
                }) => {
                    self.held.remove(&key);
                    self.coordinators[i].written(self.now, call, Ok(expected), &mut more);
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
        self.coordinators[i].ask(self.now, ask, &mut out);
        self.renew_lease(i, out);
        self.told.pop()
    }

    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + ms(5)).min(end);
            for i in 0..self.coordinators.len() {
                let mut out = vec![];
                self.coordinators[i].wake(self.now, &mut out);
                self.renew_lease(i, out);
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
fn a_step_costs_two_writes_and_no_read_and_what_leaves_ends_before_anybody_adopts() {
    let mut office = Office::new(2);
    assert!(matches!(
        office.claim(0, "a"),
        Some(Event::Claimed { epoch: 1, .. })
    ));
    let (reads, writes) = (office.reads, office.writes);
    for step in 1..=20 {
        let Some(Event::SendPermitted { until_us, .. }) = office.intend(0, 1, step) else {
            panic!("step {step}")
        };
        assert!(until_us <= (office.now + ms(750)).as_micros() as u64);
        assert!(matches!(
            office.done(0, 1, step),
            Some(Event::Committed { .. })
        ));
    }
    assert_eq!((office.reads - reads, office.writes - writes), (0, 40));
    // The other one sees the lease for the first time, and has to see it through.
    assert_eq!(why(&office.claim(1, "b")), Some(RejectReason::LeaseHeld));
    office.pass(ms(1515));
    assert_eq!(why(&office.claim(1, "b")), Some(RejectReason::LeaseHeld));
    office.pass(ms(50));
    assert!(matches!(
        office.claim(1, "b"),
        Some(Event::Claimed { epoch: 2, .. })
    ));
    assert_eq!(why(&office.intend(0, 1, 21)), Some(RejectReason::Fenced));
}

#[test]
fn a_dispatcher_with_a_longer_lease_goes_by_the_one_that_others_watch() {
    let mut office = Office::new(1);
    let own = Process {
        name: NameKey(2),
        start: 1,
    };
    let settings = Settings {
        lease_s: 30.0,
        ..Settings::default()
    };
    office
        .coordinators
        .push(Coordinator::new(own, &settings, SafetyChecks::AS_BUILT));
    office.claim(0, "a");
    let Some(Event::SendPermitted { until_us, .. }) = office.intend(1, 1, 1) else {
        panic!()
    };
    assert!(until_us <= (office.now + ms(1500)).as_micros() as u64);
    // Its own claim makes it the longer one.
    assert!(matches!(
        office.claim(1, "a"),
        Some(Event::Claimed {
            lease_us: 30_000_000,
            ..
        })
    ));
}

#[test]
fn an_intent_whose_write_may_have_happened_never_leads_to_a_send_and_is_undone() {
    for next in [
        Next::Silent,
        Next::InDoubt(RegisterError::TimedOut),
        Next::InDoubt(RegisterError::NotStored(StorageError::Full)),
        Next::Fails(RegisterError::TimedOut),
    ] {
        let mut office = Office::new(1);
        office.claim(0, "a");
        office.next = next.clone();
        let told = office.intend(0, 1, 1);
        assert!(told.is_none(), "{next:?} {told:?}");
        office.pass(ms(2000));
        // Answered once: sent under a write of its own, or refused and, in silence, undone.
        assert_eq!(office.told.len(), 1, "{next:?} {:?}", office.told);
        let told = office.told.pop();
        match is_go(&told) {
            true => assert!(matches!(
                office.done(0, 1, 1),
                Some(Event::Committed { .. })
            )),
            false => {
                assert_eq!(why(&told), Some(RejectReason::NoMajority));
                assert_eq!(office.record().open_attempt(), None, "{next:?}");
                assert!(is_go(&office.intend(0, 1, 1)));
            }
        }
    }
}

#[test]
fn a_result_is_offered_until_its_deadline_and_on_in_silence() {
    let mut office = Office::new(1);
    office.claim(0, "a");
    office.intend(0, 1, 1);
    office.next = Next::InDoubt(RegisterError::TimedOut);
    assert_eq!(office.done(0, 1, 1), None);
    office.pass(ms(100));
    assert!(matches!(office.told.pop(), Some(Event::Committed { .. })));
    office.intend(0, 1, 2);
    office.next = Next::Silent;
    office.done(0, 1, 2);
    for _ in 0..400 {
        office.next = Next::Fails(RegisterError::NoMajority);
        office.pass(ms(5));
    }
    assert_eq!(office.told.len(), 1);
    assert_eq!(why(&office.told.pop()), Some(RejectReason::NoMajority));
    office.next = Next::Well;
    office.pass(ms(500));
    assert_eq!(office.record().open_attempt(), None);
    assert!(
        matches!(office.intend(0, 1, 2), Some(Event::AlreadyDone { result, .. }) if result == "r2")
    );
}

#[test]
fn a_long_attempt_is_carried_and_one_that_is_under_way_is_not_sent_again() {
    let mut office = Office::new(2);
    office.claim(0, "a");
    assert!(is_go(&office.intend(0, 1, 1)));
    assert_eq!(why(&office.claim(1, "b")), Some(RejectReason::LeaseHeld));
    office.pass(ms(9000));
    assert_eq!(why(&office.claim(1, "b")), Some(RejectReason::LeaseHeld));
    assert_eq!(why(&office.intend(0, 1, 1)), Some(RejectReason::Busy));
    // Its worker comes back to its own at once, and gets the result of the attempt that it left.
    assert!(matches!(
        office.claim(0, "a"),
        Some(Event::Claimed { epoch: 2, .. })
    ));
    assert_eq!(why(&office.done(0, 1, 1)), Some(RejectReason::Fenced));
    assert!(matches!(
        office.intend(0, 2, 1),
        Some(Event::AlreadyDone { .. })
    ));
}

#[test]
fn an_unsettled_one_is_told_once_and_settled_by_a_person_after_its_lease() {
    let mut office = Office::new(2);
    office.claim(0, "a");
    office.intend(0, 1, 1);
    // Its dispatcher is no more.
    office.coordinators.remove(0);
    office.claim(0, "b");
    office.pass(ms(3200));
    assert_eq!(why(&office.claim(0, "b")), Some(RejectReason::Unsettled));
    assert_eq!(why(&office.claim(0, "c")), Some(RejectReason::Unsettled));
    assert_eq!(
        office
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
        office.ask(0, settle),
        Some(Event::Committed { .. })
    ));
    assert!(matches!(office.claim(0, "c"), Some(Event::Claimed { .. })));
}

#[test]
fn claims_are_metered_the_nearest_deadline_first_and_all_are_answered() {
    let mut office = Office::new(1);
    let mut out = vec![];
    let now = office.now;
    for i in 0..1500u64 {
        let until_us = (now + ms(10_000 - i)).as_micros() as u64;
        let (workflow, worker) = (format!("w{i}"), "a".to_string());
        office.coordinators[0].ask(
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
    office.renew_lease(0, out);
    let claimed = office
        .told
        .iter()
        .filter(|t| matches!(t, Event::Claimed { .. }))
        .count();
    assert_eq!((claimed, office.told.len()), (32 + 1024, 1500));
}

#[test]
fn what_is_over_and_what_nobody_writes_any_more_goes_to_its_end() {
    let mut office = Office::new(1);
    let settings = Settings {
        lasts_s: 10.0,
        ..Settings::default()
    };
    let own = Process {
        name: NameKey(1),
        start: 1,
    };
    office.coordinators = vec![Coordinator::new(own, &settings, SafetyChecks::AS_BUILT)];
    office.claim(0, "a");
    for (state, after) in [
        (State::Ended(Outcome::Expired), 11_000),
        (State::Open, 601_000),
    ] {
        let look = |office: &mut Office| {
            let (version, _) = office.held[&key_of("w")];
            let (record, now, mut out) = (office.record(), office.now, vec![]);
            office.coordinators[0]
                .lease_observer
                .observe(now, key_of("w"), version, &record);
            let unchanged =
                office.coordinators[0]
                    .lease_observer
                    .unchanged(now, key_of("w"), version);
            if office.coordinators[0].stale(&record, unchanged) {
                office.coordinators[0].sweep(now, key_of("w"), &record, &mut out);
            }
            office.renew_lease(0, out);
        };
        look(&mut office);
        assert!(office.held.contains_key(&key_of("w")));
        office.pass(ms(after));
        look(&mut office);
        match state {
            State::Open => assert!(office.held.is_empty()),
            state => assert_eq!(office.record().state(), state),
        }
    }
}

#[test]
fn a_copy_of_another_version_is_refused_and_named() {
    let mut office = Office::new(1);
    office.claim(0, "a");
    office.held.get_mut(&key_of("w")).unwrap().1[0] = 9;
    assert_eq!(why(&office.claim(0, "a")), Some(RejectReason::NoMajority));
    assert!(
        office.logs[0].contains("another version"),
        "{:?}",
        office.logs
    );
}
