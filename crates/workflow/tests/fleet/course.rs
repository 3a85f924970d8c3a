//! One course of events by one seed, and what is judged at its end.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use bitternlatch_membership::{NameKey, QuorumState};
use bitternlatch_quota_lease::{Peers, QuotaLease, ServiceInput};
use bitternlatch_simulation::{ms, World};
use bitternlatch_workflow::*;

use super::actors::*;

#[derive(Clone, Copy)]
pub struct Plan {
    pub dispatchers: usize,
    pub workers: usize,
    pub workflows: u32,
    /// Trouble goes on for so long; then all is mended.
    pub trouble: Duration,
    pub safety_checks: SafetyChecks,
    /// Whether what stopped is decided by somebody who looks at the tool.
    pub person: bool,
}

impl Plan {
    pub fn of(seed: u64) -> Plan {
        Plan {
            dispatchers: 3 + (seed % 4) as usize,
            workers: 2 + (seed % 2) as usize,
            workflows: 6,
            trouble: ms(15_000),
            safety_checks: SafetyChecks::AS_BUILT,
            person: !seed.is_multiple_of(8),
        }
    }
}

struct Course {
    plan: Plan,
    seed: u64,
    world: World<Actor>,
    chance: Chance,
    trap: Rc<Trap>,
    seen: Rc<RefCell<Seen>>,
    starts: Vec<u64>,
    /// What is to be done to a place, and when.
    back: BTreeMap<(Duration, usize), Back>,
    cuts: Rc<RefCell<BTreeSet<(usize, usize)>>>,
    mend: BTreeMap<Duration, Vec<(usize, usize)>>,
    stopped_at: BTreeMap<u32, Duration>,
    heard: BTreeSet<(usize, usize)>,
}

enum Back {
    Start(Disk),
    Thaw,
    GoOn,
    Worker,
    DiskWell,
}

/// Plays one course. Gives what was seen of it.
pub fn play(seed: u64, plan: Plan) -> Seen {
    let mut course = Course::new(seed, plan);
    let end = plan.trouble + ms(60_000);
    while course.world.now() < end && !course.over() {
        course.tick();
    }
    course.judge();
    drop(course.world);
    Rc::try_unwrap(course.seen)
        .map(RefCell::into_inner)
        .unwrap_or_default()
}

/// Many workflows of one dispatcher, which is killed; others ask for all of them at once. Gives how long each one took from
/// then, in order, and what was refused meanwhile.
pub fn adopt(workflows: u32) -> (Vec<Duration>, BTreeMap<String, u32>) {
    let mut course = Course::born(6, workflows);
    course.crowd("first", vec![0]);
    let begun = course.until_claimed();
    course.kill(course.world.now(), 0);
    course.back.clear();
    let killed = course.world.now_at(course.ear());
    course.crowd("second", (1..6).collect());
    let refused = course.until_claimed().refused;
    let Some(Actor::Crowd(crowd)) = &course.world.places[course.ear()].node else {
        return Default::default();
    };
    let mut took: Vec<Duration> = crowd.claimed.values().map(|at| *at - killed).collect();
    took.sort();
    assert!(course.seen.borrow().wrong.is_empty() && begun.claimed.len() == took.len());
    (took, refused)
}

/// Two of three lose what they held. Gives how many then get a workflow, and what those who ask are refused.
pub fn lost() -> (usize, BTreeMap<String, u32>) {
    let mut course = Course::born(3, 20);
    course.crowd("first", vec![0]);
    course.until_claimed();
    let now = course.world.now();
    [1, 2].into_iter().for_each(|i| course.kill(now, i));
    course.back.clear();
    [1, 2]
        .into_iter()
        .for_each(|i| course.start(i, Disk::new()));
    course.crowd("second", vec![0, 1, 2]);
    let crowd = course.until_claimed();
    (crowd.claimed.len(), crowd.refused)
}

impl Course {
    /// Without workers, trouble, or anybody who decides.
    fn born(dispatchers: usize, workflows: u32) -> Course {
        let (safety_checks, trouble) = (SafetyChecks::AS_BUILT, ms(0));
        let plan = Plan {
            dispatchers,
            workers: 0,
            workflows,
            trouble,
            safety_checks,
            person: false,
        };
        let mut course = Course::new(1, plan);
        while course.world.now() < ms(1500) {
            course.tick();
        }
        course
    }

    /// The place of who asks, beside dispatchers, tool and workers.
    fn ear(&self) -> usize {
        self.plan.dispatchers + 1 + self.plan.workers
    }

    fn crowd(&mut self, name: &'static str, at: Vec<usize>) {
        let now = self.world.now_at(self.ear());
        let due = (0..self.plan.workflows).map(|w| (now, w)).collect();
        let crowd = Crowd {
            name,
            at,
            due,
            claimed: BTreeMap::new(),
            refused: BTreeMap::new(),
        };
        let ear = self.ear();
        self.world.start(ear, Actor::Crowd(crowd));
    }

    fn until_claimed(&mut self) -> Crowd {
        let end = self.world.now() + ms(30_000);
        loop {
            self.tick();
            let Some(Actor::Crowd(crowd)) = &self.world.places[self.ear()].node else {
                unreachable!()
            };
            if crowd.claimed.len() as u32 == self.plan.workflows || self.world.now() > end {
                let (name, at, due) = (crowd.name, crowd.at.clone(), BTreeSet::new());
                let (claimed, refused) = (crowd.claimed.clone(), crowd.refused.clone());
                return Crowd {
                    name,
                    at,
                    due,
                    claimed,
                    refused,
                };
            }
        }
    }

    fn new(seed: u64, plan: Plan) -> Course {
        // The last one is a person's, who does not listen.
        let places = plan.dispatchers + 2 + plan.workers;
        let mut world = World::new(places, seed);
        let cuts = Rc::new(RefCell::new(BTreeSet::new()));
        let passes = Rc::clone(&cuts);
        world.net.passes = Box::new(move |from, to| !passes.borrow().contains(&(from, to)));
        let mut course = Course {
            plan,
            seed,
            world,
            chance: Chance(seed ^ 0xC0FFEE),
            trap: Rc::new(Trap::default()),
            seen: Rc::default(),
            starts: vec![0; plan.dispatchers],
            back: BTreeMap::new(),
            cuts,
            mend: BTreeMap::new(),
            stopped_at: BTreeMap::new(),
            heard: BTreeSet::new(),
        };
        for i in 0..places {
            course.world.places[i].ahead = ms(1000 * (i as u64 * 7 % 5));
        }
        (0..plan.dispatchers).for_each(|i| course.start(i, Disk::new()));
        let seen = Rc::clone(&course.seen);
        let tool = Tool {
            seen,
            chance: Chance(seed),
            soon: BTreeMap::new(),
            count: 0,
        };
        course.world.start(plan.dispatchers, Actor::Tool(tool));
        (0..plan.workers).for_each(|i| course.worker(plan.dispatchers + 1 + i));
        course
    }

    fn start(&mut self, i: usize, disk: Disk) {
        self.starts[i] += 1;
        let settings = Settings {
            lease_s: 1.0,
            ..Settings::default()
        };
        let (start, safety_checks) = (self.starts[i], self.plan.safety_checks);
        let made = Made {
            place: i,
            of: self.plan.dispatchers,
            start,
            seed: self.seed,
            settings,
            safety_checks,
        };
        let now = self.world.now_at(i);
        let made = Dispatcher::new(
            made,
            now,
            disk,
            Rc::clone(&self.trap),
            Rc::clone(&self.seen),
        );
        self.world.start(i, Actor::Dispatcher(Box::new(made)));
    }

    fn worker(&mut self, place: usize) {
        let now = self.world.now_at(place);
        let worker = Worker {
            name: format!("w{place}"),
            of: self.plan.dispatchers,
            workflows: self.plan.workflows,
            seen: Rc::clone(&self.seen),
            chance: Chance(self.seed ^ (place as u64) << 20),
            id: now.as_micros() as u64,
            at: now + ms(400),
            carries: None,
            dispatcher: place % self.plan.dispatchers,
            told_before: 0,
            waits: false,
        };
        self.world.start(place, Actor::Worker(worker));
    }

    fn over(&self) -> bool {
        let seen = self.seen.borrow();
        self.world.now() > self.plan.trouble && seen.finished.len() as u32 == self.plan.workflows
    }

    fn tick(&mut self) {
        let now = self.world.now();
        self.bring_back(now);
        // The fleet is born in peace.
        if now >= ms(1500) && now < self.plan.trouble {
            self.trouble(now);
        }
        self.caught(now);
        if now.as_millis().is_multiple_of(200) {
            self.tell_peers();
            self.decide(now);
        }
        self.world.run(now + ms(20));
    }

    fn bring_back(&mut self, now: Duration) {
        while let Some((key, _)) = self.mend.first_key_value().filter(|(at, _)| **at <= now) {
            let key = *key;
            for cut in self.mend.remove(&key).unwrap_or_default() {
                self.cuts.borrow_mut().remove(&cut);
            }
        }
        while let Some((key, _)) = self
            .back
            .first_key_value()
            .filter(|((at, _), _)| *at <= now)
        {
            let (at, i) = *key;
            match self.back.remove(&(at, i)) {
                Some(Back::Start(disk)) => self.start(i, disk),
                Some(Back::GoOn) => self.world.go_on(i),
                Some(Back::Worker) => self.worker(i),
                Some(Back::Thaw) => self.at_dispatcher(i, |d, now, out| d.thaw(now, out)),
                Some(Back::DiskWell) => self.at_dispatcher(i, |d, _, _| d.disk_full = false),
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

    /// Whether something is being done to a place already.
    fn troubled(&self, i: usize) -> bool {
        self.back.keys().any(|(_, other)| *other == i)
    }

    fn draw(&mut self, least: u64, most: u64) -> Duration {
        ms(least + self.chance.below(most - least))
    }

    fn trouble(&mut self, now: Duration) {
        let of = self.plan.dispatchers;
        if self.trap.after.get().is_none()
            && self.trap.frozen.get().is_none()
            && self.chance.below(10) == 0
        {
            let after = self.chance.below(120) as u32;
            self.trap.after.set(Some(after));
        }
        if self.chance.below(40) == 0 {
            let (a, b) = (
                self.chance.below(of as u64) as usize,
                self.chance.below(of as u64 + 1) as usize,
            );
            let both = self.chance.below(2) == 0;
            let links = if both {
                vec![(a, b), (b, a)]
            } else {
                vec![(a, b)]
            };
            self.cut(now, links.into_iter().filter(|(a, b)| a != b).collect());
        }
        if self.chance.below(150) == 0 {
            // Two sides, of any sizes; workers and the tool are heard on both.
            let first = self.chance.below(of as u64) as usize;
            let size = 1 + self.chance.below(of as u64 / 2) as usize;
            let side = |i: usize| (i + of - first) % of < size;
            let all = (0..of).flat_map(|a| (0..of).map(move |b| (a, b)));
            self.cut(now, all.filter(|(a, b)| side(*a) != side(*b)).collect());
        }
        if self.chance.below(120) == 0 {
            let i = of + 1 + self.chance.below(self.plan.workers as u64) as usize;
            let at = now + self.draw(200, 4000);
            if !self.troubled(i) {
                let back = if self.chance.below(2) == 0 {
                    self.world.pause(i);
                    Back::GoOn
                } else {
                    self.world.kill(i);
                    Back::Worker
                };
                self.back.insert((at, i), back);
            }
        }
        if self.chance.below(200) == 0 {
            let i = self.chance.below(of as u64) as usize;
            let at = now + self.draw(300, 2500);
            if !self.troubled(i) {
                self.at_dispatcher(i, |d, _, _| d.disk_full = true);
                self.back.insert((at, i), Back::DiskWell);
            }
        }
        if self.chance.below(800) == 0 {
            // All at once, back one after the other.
            for i in (0..of).filter(|i| !self.troubled(*i)).collect::<Vec<_>>() {
                self.kill(now, i);
            }
        }
        self.world.net.loss = if self.chance.below(50) == 0 {
            0.03
        } else {
            self.world.net.loss * 0.98
        };
        self.world.net.twice = 0.01;
    }

    fn cut(&mut self, now: Duration, links: Vec<(usize, usize)>) {
        self.cuts.borrow_mut().extend(links.iter().copied());
        let at = now + self.draw(200, 4000);
        self.mend.entry(at).or_default().extend(links);
    }

    fn kill(&mut self, now: Duration, i: usize) {
        let Some(Actor::Dispatcher(dead)) = self.world.kill(i) else {
            return;
        };
        let at = now + self.draw(200, 3000);
        self.back.insert((at, i), Back::Start(dead.disk));
    }

    /// A dispatcher was stopped before something: killed, or paused.
    fn caught(&mut self, now: Duration) {
        let Some(i) = self.trap.frozen.take() else {
            return;
        };
        if self.world.places[i].node.is_none() {
            // It was killed in the same moment, and is on its way back.
            return;
        }
        if self.troubled(i) {
            self.back.retain(|(_, other), _| *other != i);
        }
        if self.chance.below(2) == 0 {
            return self.kill(now, i);
        }
        let at = now + self.draw(300, 6000);
        self.back.insert((at, i), Back::Thaw);
    }

    /// What members believe: who could be heard at the look before.
    fn tell_peers(&mut self) {
        let of = self.plan.dispatchers;
        let key = |i: usize| NameKey::of(&format!("d{i}"));
        let up = |i: usize| match &self.world.places[i].node {
            Some(Actor::Dispatcher(d)) => !d.frozen && !self.world.places[i].paused,
            _ => false,
        };
        let mut heard = BTreeSet::new();
        for (a, b) in (0..of).flat_map(|a| (0..of).map(move |b| (a, b))) {
            if a != b && up(a) && up(b) && !self.cuts.borrow().contains(&(b, a)) {
                heard.insert((a, b));
            }
        }
        for i in (0..of).filter(|i| up(*i)).collect::<Vec<_>>() {
            let there: Vec<NameKey> = (0..of)
                .filter(|b| self.heard.contains(&(i, *b)))
                .map(key)
                .collect();
            let standing = match there.len() + 1 {
                1 => QuorumState::Alone,
                n if n == of => QuorumState::Whole,
                n if n * 2 > of => QuorumState::Majority,
                _ => QuorumState::CutOff,
            };
            let until = self.world.now_at(i) + ms(900);
            let part = QuotaLease { leased: 0.0, until };
            let mut there = there;
            there.sort();
            let peers = Peers {
                quorum: standing,
                present: there,
                valid_until: until,
                lease: part,
            };
            self.at_dispatcher(i, |d, now, out| {
                d.give(now, ServiceInput::Peers(peers), out)
            });
        }
        self.heard = heard;
    }

    /// A person looks at the tool and decides, some seconds after a workflow stopped.
    fn decide(&mut self, now: Duration) {
        if !self.plan.person {
            return;
        }
        let stopped: Vec<u32> = self.seen.borrow().stopped.keys().copied().collect();
        for workflow in stopped {
            let since = *self.stopped_at.entry(workflow).or_insert(now);
            if now - since < ms(3000) {
                continue;
            }
            self.stopped_at.remove(&workflow);
            let i = self.chance.below(self.plan.dispatchers as u64) as usize;
            let mut seen = self.seen.borrow_mut();
            let asked: Vec<u32> = (1..=STEPS)
                .filter(|s| effect(*s) == Effect::Unsafe)
                .collect();
            let runs: BTreeMap<u32, u32> = asked
                .iter()
                .map(|s| (*s, seen.effects.get(&(workflow, *s)).copied().unwrap_or(0)))
                .collect();
            seen.stopped.remove(&workflow);
            drop(seen);
            let person = self.plan.dispatchers + 1 + self.plan.workers;
            for (step, runs) in runs {
                let outcome = match runs {
                    0 => AttemptOutcome::NeverRan,
                    n => AttemptOutcome::Done {
                        result: format!("{workflow}.{step}#{n}"),
                        tokens: 0,
                    },
                };
                let req = Req::Settle { step, outcome };
                let ask = Message::Command {
                    id: 0,
                    worker: "person".into(),
                    workflow,
                    req,
                };
                self.at_dispatcher(i, |d, now, out| d.hear(now, person, ask, out));
            }
        }
    }

    fn judge(&mut self) {
        let mut seen = self.seen.borrow_mut();
        let twice: Vec<String> = seen
            .effects
            .iter()
            .filter(|((_, step), runs)| effect(*step) != Effect::Safe && **runs > 1)
            .map(|((w, s), runs)| format!("{w}.{s}: {runs} effects"))
            .collect();
        seen.wrong.extend(twice);
        for workflow in 0..self.plan.workflows {
            let (finished, stopped) = (
                seen.finished.contains(&workflow),
                seen.stopped.contains_key(&workflow),
            );
            if !finished && (self.plan.person || !stopped) {
                let why = seen.refused.get(&workflow).copied();
                seen.wrong
                    .push(format!("{workflow} has neither ended nor stopped: {why:?}"));
            }
            let ran = |step: &u32| seen.effects.contains_key(&(workflow, *step));
            if finished && !(1..=STEPS).all(|step| ran(&step)) {
                seen.wrong
                    .push(format!("{workflow} has ended without all its effects"));
            }
        }
    }
}
