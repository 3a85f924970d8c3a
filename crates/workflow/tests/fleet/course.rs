//! One simulated run by a seed: faults are injected for some time, then repaired, and the invariants are checked at the end.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use bitternlatch_membership::{NameKey, QuorumState};
use bitternlatch_quota_lease::{Peers, QuotaLease, ServiceInput};
use bitternlatch_simulation::{ms, World};
use bitternlatch_workflow::*;

use super::actors::*;

/// Parameters of a run.
#[derive(Clone, Copy)]
pub struct Plan {
    pub dispatchers: usize,
    pub workers: usize,
    pub workflows: u32,
    /// Faults are injected until this time; afterwards everything is repaired.
    pub faults_until: Duration,
    pub safety_checks: SafetyChecks,
    /// Whether an operator settles unsettled and parked workflows by the counts of the tool server.
    pub operator: bool,
}

impl Plan {
    pub fn of(seed: u64) -> Plan {
        Plan {
            dispatchers: 3 + (seed % 4) as usize,
            workers: 2 + (seed % 2) as usize,
            workflows: 6,
            faults_until: ms(15_000),
            safety_checks: SafetyChecks::AS_BUILT,
            operator: !seed.is_multiple_of(8),
        }
    }
}

struct Run {
    plan: Plan,
    seed: u64,
    world: World<Actor>,
    random: Random,
    stop_point: Rc<StopPoint>,
    observed: Rc<RefCell<Observations>>,
    starts: Vec<u64>,
    /// Recovery actions by time and place.
    recoveries: BTreeMap<(Duration, usize), Recovery>,
    /// Links that drop messages, as pairs of sender and receiver.
    cuts: Rc<RefCell<BTreeSet<(usize, usize)>>>,
    /// Links to repair, by time.
    link_repairs: BTreeMap<Duration, Vec<(usize, usize)>>,
    /// When the operator first saw each unsettled or parked workflow.
    stopped_at: BTreeMap<u32, Duration>,
    /// Pairs of receiver and sender that could communicate at the last membership update.
    reachable: BTreeSet<(usize, usize)>,
}

/// How a place recovers from a fault.
enum Recovery {
    /// Restart a killed dispatcher with this disk.
    Start(Disk),
    /// Resume a dispatcher that was stopped before an output.
    Resume,
    /// Resume a paused worker.
    Unpause,
    /// Restart a killed worker.
    Worker,
    /// Free the space of a full disk.
    DiskSpace,
}

/// Runs one seed and returns the observations.
pub fn run(seed: u64, plan: Plan) -> Observations {
    let mut run = Run::new(seed, plan);
    let end = plan.faults_until + ms(60_000);
    while run.world.now() < end && !run.is_over() {
        run.tick();
    }
    run.check_invariants();
    drop(run.world);
    Rc::try_unwrap(run.observed)
        .map(RefCell::into_inner)
        .unwrap_or_default()
}

/// Kills a dispatcher that holds many workflows, and claims all of them at other dispatchers at once. Returns the sorted times from
/// the kill to each adoption, and the number of rejections by response.
pub fn adopt_all(workflows: u32) -> (Vec<Duration>, BTreeMap<String, u32>) {
    let mut run = Run::without_faults(6, workflows);
    run.start_claimant("first", vec![0]);
    let first_claims = run.until_claimed();
    run.kill(run.world.now(), 0);
    run.recoveries.clear();
    let killed = run.world.now_at(run.claimant_place());
    run.start_claimant("second", (1..6).collect());
    let rejections = run.until_claimed().rejections;
    let Some(Actor::Claimant(claimant)) = &run.world.places[run.claimant_place()].node else {
        return Default::default();
    };
    let mut took: Vec<Duration> = claimant.claimed.values().map(|at| *at - killed).collect();
    took.sort();
    assert!(
        run.observed.borrow().violations.is_empty() && first_claims.claimed.len() == took.len()
    );
    (took, rejections)
}

/// Erases the disks of two of three dispatchers. Returns how many workflows can be claimed afterwards, and the number of rejections
/// by response.
pub fn lose_majority() -> (usize, BTreeMap<String, u32>) {
    let mut run = Run::without_faults(3, 20);
    run.start_claimant("first", vec![0]);
    run.until_claimed();
    let now = run.world.now();
    [1, 2].into_iter().for_each(|i| run.kill(now, i));
    run.recoveries.clear();
    [1, 2].into_iter().for_each(|i| run.start(i, Disk::new()));
    run.start_claimant("second", vec![0, 1, 2]);
    let claimant = run.until_claimed();
    (claimant.claimed.len(), claimant.rejections)
}

impl Run {
    /// Creates a run without workers, faults or an operator, and waits until the dispatchers are ready.
    fn without_faults(dispatchers: usize, workflows: u32) -> Run {
        let (safety_checks, faults_until) = (SafetyChecks::AS_BUILT, ms(0));
        let plan = Plan {
            dispatchers,
            workers: 0,
            workflows,
            faults_until,
            safety_checks,
            operator: false,
        };
        let mut run = Run::new(1, plan);
        while run.world.now() < ms(1500) {
            run.tick();
        }
        run
    }

    /// Returns the last place, used by the claimant or the operator; dispatchers, tool server and workers have the places before
    /// it.
    fn claimant_place(&self) -> usize {
        self.plan.dispatchers + 1 + self.plan.workers
    }

    fn start_claimant(&mut self, name: &'static str, dispatchers: Vec<usize>) {
        let now = self.world.now_at(self.claimant_place());
        let due = (0..self.plan.workflows).map(|w| (now, w)).collect();
        let claimant = Claimant {
            name,
            dispatchers,
            due,
            claimed: BTreeMap::new(),
            rejections: BTreeMap::new(),
        };
        let place = self.claimant_place();
        self.world.start(place, Actor::Claimant(claimant));
    }

    fn until_claimed(&mut self) -> Claimant {
        let end = self.world.now() + ms(30_000);
        loop {
            self.tick();
            let Some(Actor::Claimant(claimant)) = &self.world.places[self.claimant_place()].node
            else {
                unreachable!()
            };
            if claimant.claimed.len() as u32 == self.plan.workflows || self.world.now() > end {
                let (name, dispatchers, due) =
                    (claimant.name, claimant.dispatchers.clone(), BTreeSet::new());
                let (claimed, rejections) = (claimant.claimed.clone(), claimant.rejections.clone());
                return Claimant {
                    name,
                    dispatchers,
                    due,
                    claimed,
                    rejections,
                };
            }
        }
    }

    fn new(seed: u64, plan: Plan) -> Run {
        // The last place is the operator's, which ignores messages.
        let places = plan.dispatchers + 2 + plan.workers;
        let mut world = World::new(places, seed);
        let cuts = Rc::new(RefCell::new(BTreeSet::new()));
        let dropped_links = Rc::clone(&cuts);
        world.net.passes = Box::new(move |from, to| !dropped_links.borrow().contains(&(from, to)));
        let mut run = Run {
            plan,
            seed,
            world,
            random: Random(seed ^ 0xC0FFEE),
            stop_point: Rc::new(StopPoint::default()),
            observed: Rc::default(),
            starts: vec![0; plan.dispatchers],
            recoveries: BTreeMap::new(),
            cuts,
            link_repairs: BTreeMap::new(),
            stopped_at: BTreeMap::new(),
            reachable: BTreeSet::new(),
        };
        for i in 0..places {
            run.world.places[i].ahead = ms(1000 * (i as u64 * 7 % 5));
        }
        (0..plan.dispatchers).for_each(|i| run.start(i, Disk::new()));
        let observed = Rc::clone(&run.observed);
        let tool = ToolServer {
            observed,
            random: Random(seed),
            results_due: BTreeMap::new(),
            count: 0,
        };
        run.world.start(plan.dispatchers, Actor::ToolServer(tool));
        (0..plan.workers).for_each(|i| run.worker(plan.dispatchers + 1 + i));
        run
    }

    fn start(&mut self, i: usize, disk: Disk) {
        self.starts[i] += 1;
        let settings = Settings {
            lease_s: 1.0,
            ..Settings::default()
        };
        let (start, safety_checks) = (self.starts[i], self.plan.safety_checks);
        let config = DispatcherConfig {
            place: i,
            dispatcher_count: self.plan.dispatchers,
            start,
            seed: self.seed,
            settings,
            safety_checks,
        };
        let now = self.world.now_at(i);
        let dispatcher = Dispatcher::new(
            config,
            now,
            disk,
            Rc::clone(&self.stop_point),
            Rc::clone(&self.observed),
        );
        self.world.start(i, Actor::Dispatcher(Box::new(dispatcher)));
    }

    fn worker(&mut self, place: usize) {
        let now = self.world.now_at(place);
        let worker = Worker {
            name: format!("w{place}"),
            dispatcher_count: self.plan.dispatchers,
            workflows: self.plan.workflows,
            observed: Rc::clone(&self.observed),
            random: Random(self.seed ^ (place as u64) << 20),
            id: now.as_micros() as u64,
            at: now + ms(400),
            current: None,
            dispatcher: place % self.plan.dispatchers,
            last_known_step: 0,
            awaits_response: false,
        };
        self.world.start(place, Actor::Worker(worker));
    }

    fn is_over(&self) -> bool {
        let observed = self.observed.borrow();
        self.world.now() > self.plan.faults_until
            && observed.finished.len() as u32 == self.plan.workflows
    }

    fn tick(&mut self) {
        let now = self.world.now();
        self.recover(now);
        // No faults until the dispatchers are ready.
        if now >= ms(1500) && now < self.plan.faults_until {
            self.inject_faults(now);
        }
        self.recover_stopped(now);
        if now.as_millis().is_multiple_of(200) {
            self.update_peers();
            self.settle(now);
        }
        self.world.run(now + ms(20));
    }

    fn recover(&mut self, now: Duration) {
        while let Some((key, _)) = self
            .link_repairs
            .first_key_value()
            .filter(|(at, _)| **at <= now)
        {
            let key = *key;
            for cut in self.link_repairs.remove(&key).unwrap_or_default() {
                self.cuts.borrow_mut().remove(&cut);
            }
        }
        while let Some((key, _)) = self
            .recoveries
            .first_key_value()
            .filter(|((at, _), _)| *at <= now)
        {
            let (at, i) = *key;
            match self.recoveries.remove(&(at, i)) {
                Some(Recovery::Start(disk)) => self.start(i, disk),
                Some(Recovery::Unpause) => self.world.go_on(i),
                Some(Recovery::Worker) => self.worker(i),
                Some(Recovery::Resume) => self.at_dispatcher(i, |d, now, out| d.resume(now, out)),
                Some(Recovery::DiskSpace) => self.at_dispatcher(i, |d, _, _| d.disk_full = false),
                None => {}
            }
        }
    }

    fn at_dispatcher(
        &mut self,
        i: usize,
        f: impl FnOnce(&mut Dispatcher, Duration, &mut bitternlatch_simulation::Sent<Message>),
    ) {
        self.world.act(i, |actor, now, out| {
            if let Actor::Dispatcher(d) = actor {
                f(d, now, out);
            }
        });
    }

    /// Returns whether a recovery is scheduled for the place already.
    fn has_fault(&self, i: usize) -> bool {
        self.recoveries.keys().any(|(_, other)| *other == i)
    }

    fn random_ms(&mut self, min: u64, max: u64) -> Duration {
        ms(min + self.random.below(max - min))
    }

    fn inject_faults(&mut self, now: Duration) {
        let dispatchers = self.plan.dispatchers;
        if self.stop_point.outputs_left.get().is_none()
            && self.stop_point.stopped.get().is_none()
            && self.random.below(10) == 0
        {
            let after = self.random.below(120) as u32;
            self.stop_point.outputs_left.set(Some(after));
        }
        if self.random.below(40) == 0 {
            let (a, b) = (
                self.random.below(dispatchers as u64) as usize,
                self.random.below(dispatchers as u64 + 1) as usize,
            );
            let both = self.random.below(2) == 0;
            let links = if both {
                vec![(a, b), (b, a)]
            } else {
                vec![(a, b)]
            };
            self.cut(now, links.into_iter().filter(|(a, b)| a != b).collect());
        }
        if self.random.below(150) == 0 {
            // Partition of the dispatchers into two sides of random sizes; workers and the tool server reach both.
            let first = self.random.below(dispatchers as u64) as usize;
            let size = 1 + self.random.below(dispatchers as u64 / 2) as usize;
            let side = |i: usize| (i + dispatchers - first) % dispatchers < size;
            let all = (0..dispatchers).flat_map(|a| (0..dispatchers).map(move |b| (a, b)));
            self.cut(now, all.filter(|(a, b)| side(*a) != side(*b)).collect());
        }
        if self.random.below(120) == 0 {
            let i = dispatchers + 1 + self.random.below(self.plan.workers as u64) as usize;
            let at = now + self.random_ms(200, 4000);
            if !self.has_fault(i) {
                let recovery = if self.random.below(2) == 0 {
                    self.world.pause(i);
                    Recovery::Unpause
                } else {
                    self.world.kill(i);
                    Recovery::Worker
                };
                self.recoveries.insert((at, i), recovery);
            }
        }
        if self.random.below(200) == 0 {
            let i = self.random.below(dispatchers as u64) as usize;
            let at = now + self.random_ms(300, 2500);
            if !self.has_fault(i) {
                self.at_dispatcher(i, |d, _, _| d.disk_full = true);
                self.recoveries.insert((at, i), Recovery::DiskSpace);
            }
        }
        if self.random.below(800) == 0 {
            // Kill all dispatchers at once; they restart one after the other.
            for i in (0..dispatchers)
                .filter(|i| !self.has_fault(*i))
                .collect::<Vec<_>>()
            {
                self.kill(now, i);
            }
        }
        self.world.net.loss = if self.random.below(50) == 0 {
            0.03
        } else {
            self.world.net.loss * 0.98
        };
        self.world.net.twice = 0.01;
    }

    fn cut(&mut self, now: Duration, links: Vec<(usize, usize)>) {
        self.cuts.borrow_mut().extend(links.iter().copied());
        let at = now + self.random_ms(200, 4000);
        self.link_repairs.entry(at).or_default().extend(links);
    }

    fn kill(&mut self, now: Duration, i: usize) {
        let Some(Actor::Dispatcher(dead)) = self.world.kill(i) else {
            return;
        };
        let at = now + self.random_ms(200, 3000);
        self.recoveries.insert((at, i), Recovery::Start(dead.disk));
    }

    /// Kills a dispatcher that was stopped before an output, or schedules that it resumes.
    fn recover_stopped(&mut self, now: Duration) {
        let Some(i) = self.stop_point.stopped.take() else {
            return;
        };
        if self.world.places[i].node.is_none() {
            // It was killed in the same tick, and its restart is scheduled.
            return;
        }
        if self.has_fault(i) {
            self.recoveries.retain(|(_, other), _| *other != i);
        }
        if self.random.below(2) == 0 {
            return self.kill(now, i);
        }
        let at = now + self.random_ms(300, 6000);
        self.recoveries.insert((at, i), Recovery::Resume);
    }

    /// Gives each dispatcher its view of the members: those that could reach it at the previous update.
    fn update_peers(&mut self) {
        let dispatchers = self.plan.dispatchers;
        let key = |i: usize| NameKey::of(&format!("d{i}"));
        let up = |i: usize| match &self.world.places[i].node {
            Some(Actor::Dispatcher(d)) => !d.stopped && !self.world.places[i].paused,
            _ => false,
        };
        let mut reachable = BTreeSet::new();
        for (a, b) in (0..dispatchers).flat_map(|a| (0..dispatchers).map(move |b| (a, b))) {
            if a != b && up(a) && up(b) && !self.cuts.borrow().contains(&(b, a)) {
                reachable.insert((a, b));
            }
        }
        for i in (0..dispatchers).filter(|i| up(*i)).collect::<Vec<_>>() {
            let present: Vec<NameKey> = (0..dispatchers)
                .filter(|b| self.reachable.contains(&(i, *b)))
                .map(key)
                .collect();
            let quorum = match present.len() + 1 {
                1 => QuorumState::Alone,
                n if n == dispatchers => QuorumState::Whole,
                n if n * 2 > dispatchers => QuorumState::Majority,
                _ => QuorumState::CutOff,
            };
            let until = self.world.now_at(i) + ms(900);
            let lease = QuotaLease { leased: 0.0, until };
            let mut present = present;
            present.sort();
            let peers = Peers {
                quorum,
                present,
                valid_until: until,
                lease,
            };
            self.at_dispatcher(i, |d, now, out| {
                d.handle_input(now, ServiceInput::Peers(peers), out)
            });
        }
        self.reachable = reachable;
    }

    /// The operator settles each unsettled or parked workflow by the counts of the tool server, 3 s after it stopped.
    fn settle(&mut self, now: Duration) {
        if !self.plan.operator {
            return;
        }
        let stopped: Vec<u32> = self.observed.borrow().stopped.keys().copied().collect();
        for workflow in stopped {
            let since = *self.stopped_at.entry(workflow).or_insert(now);
            if now - since < ms(3000) {
                continue;
            }
            self.stopped_at.remove(&workflow);
            let i = self.random.below(self.plan.dispatchers as u64) as usize;
            let mut observed = self.observed.borrow_mut();
            let unsafe_steps: Vec<u32> = (1..=STEPS)
                .filter(|s| effect(*s) == Effect::Unsafe)
                .collect();
            let runs: BTreeMap<u32, u32> = unsafe_steps
                .iter()
                .map(|s| {
                    (
                        *s,
                        observed.effects.get(&(workflow, *s)).copied().unwrap_or(0),
                    )
                })
                .collect();
            observed.stopped.remove(&workflow);
            drop(observed);
            let operator = self.plan.dispatchers + 1 + self.plan.workers;
            for (step, runs) in runs {
                let outcome = match runs {
                    0 => AttemptOutcome::NeverRan,
                    n => AttemptOutcome::Done {
                        result: format!("{workflow}.{step}#{n}"),
                        tokens: 0,
                    },
                };
                let request = WorkerRequest::Settle { step, outcome };
                let command = Message::Command {
                    id: 0,
                    worker: "operator".into(),
                    workflow,
                    request,
                };
                self.at_dispatcher(i, |d, now, out| d.receive(now, operator, command, out));
            }
        }
    }

    fn check_invariants(&mut self) {
        let mut observed = self.observed.borrow_mut();
        let repeated: Vec<String> = observed
            .effects
            .iter()
            .filter(|((_, step), runs)| effect(*step) != Effect::Safe && **runs > 1)
            .map(|((w, s), runs)| format!("{w}.{s}: {runs} effects"))
            .collect();
        observed.violations.extend(repeated);
        for workflow in 0..self.plan.workflows {
            let (finished, stopped) = (
                observed.finished.contains(&workflow),
                observed.stopped.contains_key(&workflow),
            );
            if !finished && (self.plan.operator || !stopped) {
                let reason = observed.last_rejections.get(&workflow).copied();
                observed.violations.push(format!(
                    "{workflow} has neither ended nor stopped: last rejection {reason:?}"
                ));
            }
            let ran = |step: &u32| observed.effects.contains_key(&(workflow, *step));
            if finished && !(1..=STEPS).all(|step| ran(&step)) {
                observed
                    .violations
                    .push(format!("{workflow} has ended without all its effects"));
            }
        }
    }
}
