//! Model checking of two workers at two dispatchers, with three register replicas and one unsafe step. The model uses the crate's
//! own transitions and visits all states within its bounds. A register operation is modelled as promises of two replicas in one action,
//! followed by one action for each replica that accepts the record, so that a process may crash between any two replicas.

use bitternlatch_membership::NameKey;
use bitternlatch_workflow::*;
use stateright::{Checker, HasDiscoveries, Model, Property};

const REPLICAS: usize = 3;
const LIMITS: Limits = Limits {
    steps: 9,
    bytes: 1 << 20,
    tokens: 1 << 20,
    max_age_us: u64::MAX,
};

/// Round and process of a ballot.
type Ballot = (u8, u8);
/// Epoch and counter of a lease.
type Lease = (u64, u64);

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct ReplicaState {
    promised: Ballot,
    accepted: Option<(Ballot, Record)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Op {
    Claim,
    Intend(Attempt),
    /// Report for an attempt; `true` if it ran.
    ReportOutcome(Attempt, bool),
    /// Settlement by an operator, who knows whether the step ran.
    Settle,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    /// The record is being written; `accepted` replicas have accepted it.
    Accept {
        op: Op,
        ballot: Ballot,
        accepted: u8,
        record: Record,
        answer: Event,
    },
    /// The dispatch permit was given; the step is not sent yet.
    Permitted(Attempt),
    /// The step was sent.
    Sent(Attempt),
    /// The worker has the result.
    Answered,
}

/// [`Reply`], reduced to what the model distinguishes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Event {
    Claimed,
    SendPermitted,
    Committed,
    AlreadyDone,
    Rejected(ModelRejection),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ModelRejection {
    Fenced,
    Other,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    phase: Phase,
    start: u64,
    /// Number of register operations so far.
    ops: u8,
    epoch: u64,
    /// Lease that the process saw last.
    seen: Option<Lease>,
    /// Lease that the process takes as expired.
    expired: Option<Lease>,
    /// The permit of the current operation has expired.
    permit_expired: bool,
    /// Attempt that the process opened and never sent.
    never_sent: Option<Attempt>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    replicas: [ReplicaState; REPLICAS],
    processes: [Process; 2],
    /// Number of times that the step was sent.
    effects: u8,
    lease_expiries: u8,
    crashes: u8,
    abandoned_ops: u8,
}

impl State {
    /// Brings states that differ only in the order of replicas or in gaps between ballots into the same form.
    fn canonicalize(&mut self) {
        let mut rounds: Vec<u8> = self.ballots().iter().map(|b| b.0).collect();
        rounds.sort_unstable();
        rounds.dedup();
        for ballot in self.ballots() {
            ballot.0 = rounds.binary_search(&ballot.0).unwrap_or(0) as u8;
        }
        let order = |c: &ReplicaState| (c.promised, c.accepted.as_ref().map(|(b, _)| *b));
        self.replicas.sort_by_key(order);
    }

    fn ballots(&mut self) -> Vec<&mut Ballot> {
        let replicas = self.replicas.iter_mut();
        let promised_or_accepted =
            replicas.flat_map(|c| [Some(&mut c.promised), c.accepted.as_mut().map(|(b, _)| b)]);
        let pending = self.processes.iter_mut().map(|p| match &mut p.phase {
            Phase::Accept { ballot, .. } => Some(ballot),
            _ => None,
        });
        promised_or_accepted.chain(pending).flatten().collect()
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// The process starts an operation; the replica of the last number gives no promise.
    Start(usize, Op, usize),
    /// The replica of the second number accepts the process's record.
    Accept(usize, usize),
    /// The process abandons its write, which some replicas may have accepted.
    Abandon(usize),
    /// The process sends the step if its permit still lasts.
    Send(usize),
    /// The process crashes and restarts.
    Crash(usize),
    /// All leases and permits that were given so far expire.
    ExpireLeases,
}

/// Bounds of the model.
struct WorkflowModel {
    safety_checks: SafetyChecks,
    /// Maximum number of register operations of each process.
    ops: [u8; 2],
    /// Maximum number of register operations of both processes together.
    total_ops: u8,
    lease_expiries: u8,
    crashes: u8,
    /// Maximum number of writes abandoned between two replicas.
    abandoned_ops: u8,
    /// Whether the second process may crash too.
    both_may_crash: bool,
}

fn worker(p: usize) -> &'static str {
    ["a", "b"][p]
}

impl WorkflowModel {
    /// Gets promises from all replicas but `without`, and applies the operation to the latest record that they accepted.
    fn start(&self, s: &mut State, p: usize, op: Op, without: usize) -> Option<()> {
        let round = s.replicas.iter().map(|c| c.promised.0).max().unwrap_or(0) + 1;
        let ballot = (round, p as u8);
        let mut best = None;
        for replica in (0..REPLICAS).filter(|c| *c != without) {
            s.replicas[replica].promised = ballot;
            best = best.max_by_ballot(s.replicas[replica].accepted.clone());
        }
        let found = best.map(|(_, r)| r);
        let lease = found.as_ref().map(|r| (r.epoch(), r.lease().0));
        let (record, answer) = self.decide(s, p, &op, found)?;
        let process = &mut s.processes[p];
        process.ops += 1;
        process.permit_expired = false;
        process.seen = lease;
        if answer == Event::SendPermitted && !self.safety_checks.majority_first {
            s.effects += 1;
        }
        process.phase = Phase::Accept {
            op,
            ballot,
            accepted: 0,
            record,
            answer,
        };
        Some(())
    }

    /// Applies the operation to the record, by the crate's transitions.
    fn decide(
        &self,
        s: &State,
        p: usize,
        op: &Op,
        found: Option<Record>,
    ) -> Option<(Record, Event)> {
        let process = &s.processes[p];
        let lease = |r: &Record| (r.epoch(), r.lease().0);
        let lease_expired = found
            .as_ref()
            .is_some_and(|r| process.expired == Some(lease(r)));
        let running = match process.phase {
            Phase::Permitted(a) | Phase::Sent(a) => Some(a),
            _ => None,
        };
        let local_attempt = |a: Attempt| match () {
            () if running == Some(a) => LocalAttempt::Running,
            () if process.never_sent == Some(a) => LocalAttempt::NeverSent,
            () => LocalAttempt::Unknown,
        };
        let claim_with = |local_attempt| Claim {
            worker: worker(p),
            holder: NameKey(p as u32),
            lease_us: 1,
            lease_expired,
            local_attempt,
        };
        let Some(mut r) = found else {
            return (*op == Op::Claim).then(|| {
                (
                    Record::begin("w", &claim_with(LocalAttempt::Unknown)),
                    Event::Claimed,
                )
            });
        };
        let transition = match op {
            Op::Claim => r.claim(&claim_with(
                r.open_attempt()
                    .map_or(LocalAttempt::Unknown, local_attempt),
            )),
            Op::Intend(attempt) => {
                let (epoch, attempt) = (process.epoch, *attempt);
                let intent = Intent {
                    epoch,
                    step: 1,
                    effect: Effect::Unsafe,
                    key: "",
                    request_digest: 1,
                    attempt,
                };
                r.intend(&intent, local_attempt, &LIMITS, self.safety_checks)
            }
            Op::ReportOutcome(attempt, ran) => {
                let done = AttemptOutcome::Done {
                    result: "r".into(),
                    tokens: 0,
                };
                let outcome = if *ran { done } else { AttemptOutcome::NeverRan };
                r.report_outcome(
                    process.epoch,
                    1,
                    &outcome,
                    Some(*attempt),
                    self.safety_checks,
                )
            }
            Op::Settle => {
                let done = AttemptOutcome::Done {
                    result: "r".into(),
                    tokens: 0,
                };
                r.settle(
                    1,
                    if s.effects > 0 {
                        &done
                    } else {
                        &AttemptOutcome::NeverRan
                    },
                    lease_expired,
                )
            }
        };
        let event = match transition.reply {
            Reply::Claimed => Event::Claimed,
            Reply::SendPermitted => Event::SendPermitted,
            Reply::Committed => Event::Committed,
            Reply::AlreadyDone(_) => Event::AlreadyDone,
            Reply::Rejected(RejectReason::Fenced) => Event::Rejected(ModelRejection::Fenced),
            Reply::Rejected(_) => Event::Rejected(ModelRejection::Other),
        };
        Some((r, event))
    }

    fn accept(&self, s: &mut State, p: usize, c: usize) -> Option<()> {
        let phase = s.processes[p].phase.clone();
        match phase {
            Phase::Accept {
                op,
                ballot,
                accepted,
                record,
                answer,
            } if s.replicas[c].promised <= ballot
                && s.replicas[c]
                    .accepted
                    .as_ref()
                    .is_none_or(|(b, _)| *b < ballot) =>
            {
                s.replicas[c] = ReplicaState {
                    promised: ballot,
                    accepted: Some((ballot, record.clone())),
                };
                let accepted = accepted + 1;
                if accepted < 2 {
                    s.processes[p].phase = Phase::Accept {
                        op,
                        ballot,
                        accepted,
                        record,
                        answer,
                    };
                } else {
                    self.on_majority(s, p, op, record, answer);
                }
                Some(())
            }
            _ => None,
        }
    }

    fn on_majority(&self, s: &mut State, p: usize, op: Op, record: Record, answer: Event) {
        let process = &mut s.processes[p];
        process.seen = Some((record.epoch(), record.lease().0));
        process.phase = match (op, answer) {
            (Op::Claim, Event::Claimed) => {
                process.epoch = record.epoch();
                Phase::Idle
            }
            (Op::Intend(a), Event::SendPermitted) if !self.safety_checks.majority_first => {
                Phase::Sent(a)
            }
            (Op::Intend(a), Event::SendPermitted)
                if process.permit_expired && self.safety_checks.fencing =>
            {
                process.never_sent = Some(a);
                Phase::Idle
            }
            (Op::Intend(a), Event::SendPermitted) => {
                process.never_sent = None;
                Phase::Permitted(a)
            }
            (Op::Intend(_), Event::AlreadyDone) | (Op::ReportOutcome(_, true), _) => {
                Phase::Answered
            }
            (_, Event::Rejected(ModelRejection::Fenced)) => {
                process.epoch = 0;
                Phase::Idle
            }
            _ => Phase::Idle,
        };
    }
}

trait ByBallot {
    fn max_by_ballot(self, other: Self) -> Self;
}

impl ByBallot for Option<(Ballot, Record)> {
    fn max_by_ballot(self, other: Self) -> Self {
        let ballot = |x: &Self| x.as_ref().map(|(b, _)| *b);
        if ballot(&other) > ballot(&self) {
            other
        } else {
            self
        }
    }
}

impl Model for WorkflowModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let process = Process {
            phase: Phase::Idle,
            start: 1,
            ops: 0,
            epoch: 0,
            seen: None,
            expired: None,
            permit_expired: false,
            never_sent: None,
        };
        let processes = [process.clone(), process];
        vec![State {
            replicas: Default::default(),
            processes,
            effects: 0,
            lease_expiries: 0,
            crashes: 0,
            abandoned_ops: 0,
        }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Action>) {
        for (p, process) in s.processes.iter().enumerate() {
            let attempt = Attempt {
                name: p as u32,
                start: process.start,
                number: process.ops.into(),
            };
            let total: u8 = s.processes.iter().map(|p| p.ops).sum();
            let may_start = process.ops < self.ops[p] && total < self.total_ops;
            let mut operations: Vec<Op> = vec![];
            let mut add = |op: Op| operations.push(op);
            match &process.phase {
                Phase::Idle if may_start => {
                    match (process.epoch, process.never_sent) {
                        (0, _) => add(Op::Claim),
                        (_, Some(a)) => add(Op::ReportOutcome(a, false)),
                        _ => {}
                    }
                    if process.epoch > 0 {
                        add(Op::Intend(attempt));
                    }
                    let needs_settling = |c: &ReplicaState| {
                        c.accepted
                            .as_ref()
                            .is_some_and(|(_, r)| r.state() != bitternlatch_workflow::State::Open)
                    };
                    if s.replicas.iter().any(needs_settling) {
                        add(Op::Settle);
                    }
                }
                Phase::Accept { .. } => {
                    (0..REPLICAS).for_each(|c| actions.push(Action::Accept(p, c)));
                    if s.abandoned_ops < self.abandoned_ops {
                        actions.push(Action::Abandon(p));
                    }
                }
                Phase::Permitted(_) => actions.push(Action::Send(p)),
                Phase::Sent(a) if may_start => add(Op::ReportOutcome(*a, true)),
                _ => {}
            }
            for op in operations {
                actions.extend((0..REPLICAS).map(|without| Action::Start(p, op.clone(), without)));
            }
            // The two workers are symmetric, so crashes of the second one are left to the larger model.
            let may_crash = p == 0 || self.both_may_crash;
            if may_crash && s.crashes < self.crashes && process.phase != Phase::Answered {
                actions.push(Action::Crash(p));
            }
        }
        if s.lease_expiries < self.lease_expiries {
            actions.push(Action::ExpireLeases);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut s = last.clone();
        match action {
            Action::Start(p, op, without) => self.start(&mut s, p, op, without)?,
            Action::Accept(p, c) => self.accept(&mut s, p, c)?,
            Action::Abandon(p) => {
                s.abandoned_ops += 1;
                let process = &mut s.processes[p];
                process.phase = match process.phase.clone() {
                    Phase::Accept {
                        op: Op::ReportOutcome(a, true),
                        ..
                    } => Phase::Sent(a),
                    Phase::Accept {
                        op: Op::Intend(a),
                        answer: Event::SendPermitted,
                        ..
                    } if !self.safety_checks.majority_first => Phase::Sent(a),
                    Phase::Accept {
                        op: Op::Intend(a), ..
                    } => {
                        process.never_sent = Some(a);
                        Phase::Idle
                    }
                    _ => Phase::Idle,
                };
            }
            Action::Send(p) => {
                let process = &mut s.processes[p];
                let Phase::Permitted(a) = process.phase else {
                    return None;
                };
                if process.permit_expired && self.safety_checks.fencing {
                    process.never_sent = Some(a);
                    process.phase = Phase::Idle;
                } else {
                    process.phase = Phase::Sent(a);
                    s.effects += 1;
                }
            }
            Action::Crash(p) => {
                let start = s.processes[p].start + 1;
                let fresh = self.init_states().remove(0).processes[0].clone();
                s.processes[p] = Process {
                    start,
                    ops: s.processes[p].ops,
                    ..fresh
                };
                s.crashes += 1;
            }
            Action::ExpireLeases => {
                s.lease_expiries += 1;
                for process in &mut s.processes {
                    process.permit_expired = true;
                    process.expired = process.seen;
                }
            }
        }
        s.canonicalize();
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no unsafe effect twice", |_, s: &State| s.effects <= 1),
            Property::always("an answered step has run", |_, s: &State| {
                s.effects > 0 || s.processes.iter().all(|p| p.phase != Phase::Answered)
            }),
            Property::sometimes("another worker completes the step", |_, s: &State| {
                s.processes[1].phase == Phase::Answered
                    && s.processes[0].phase != Phase::Answered
                    && s.crashes > 0
            }),
        ]
    }
}

const ALL_CHECKS: SafetyChecks = SafetyChecks {
    fencing: true,
    majority_first: true,
};

/// Returns the bounds of the model. With the environment variable `MODEL=both` either process may crash; with `MODEL=whole` a write
/// may also be abandoned between two replicas.
fn bounds(safety_checks: SafetyChecks) -> WorkflowModel {
    let model = std::env::var("MODEL").unwrap_or_default();
    let (both_may_crash, abandoned_ops) = (!model.is_empty(), u8::from(model == "whole"));
    WorkflowModel {
        safety_checks,
        ops: [2, 4],
        total_ops: 6,
        lease_expiries: 1,
        crashes: 1,
        abandoned_ops,
        both_may_crash,
    }
}

#[test]
fn unsafe_step_never_runs_twice() {
    let checker = bounds(ALL_CHECKS).checker().threads(2).spawn_bfs().join();
    println!(
        "{} states, {} of them unique",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_no_discovery("no unsafe effect twice");
    checker.assert_no_discovery("an answered step has run");
    assert!(checker.is_done() && checker.unique_state_count() > 10_000);
    checker.assert_any_discovery("another worker completes the step");
}

#[test]
fn model_finds_a_violation_where_a_safety_check_is_off() {
    for safety_checks in [
        SafetyChecks {
            fencing: false,
            ..ALL_CHECKS
        },
        SafetyChecks {
            majority_first: false,
            ..ALL_CHECKS
        },
    ] {
        let found = HasDiscoveries::AnyFailures;
        let checker = bounds(safety_checks)
            .checker()
            .threads(2)
            .finish_when(found)
            .spawn_bfs()
            .join();
        checker.assert_any_discovery("no unsafe effect twice");
    }
}
