//! Members that share one whole, over a network and processes that fail, each with a clock of its own. Whatever happens,
//! what all may spend together is never more than the whole.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::{
    unleased_quota, Action, Message, Process, QuotaLease, QuotaMember, RequestNumber,
};
use proptest::prelude::*;

/// Virtual time, microseconds.
type Us = u64;
const MS: Us = 1000;

struct Member {
    quota: Option<QuotaMember>,
    paused: bool,
    inbox: Vec<(Process, Vec<u8>)>,
    had: Vec<QuotaLease>,
    start: u64,
    /// Its clock: what it shows at zero, and how many millionths it runs too fast (or, below zero, too slow).
    ahead: Us,
    fast: i64,
}

impl Member {
    fn clock(&self, now: Us) -> Duration {
        Duration::from_micros(self.ahead + (now as i64 + now as i64 * self.fast / 1_000_000) as u64)
    }

    /// The first moment at which its clock shows that.
    fn at(&self, shown: Duration) -> Us {
        let shown = (shown.as_micros() as u64).saturating_sub(self.ahead);
        let mut at = (shown as i64 * 1_000_000 / (1_000_000 + self.fast)) as u64;
        while self.clock(at).as_micros() < u128::from(shown + self.ahead) {
            at += 1;
        }
        at
    }
}

struct World {
    now: Us,
    members: Vec<Member>,
    side: u32,
    lost: u64,
    twice: u64,
    slow: Us,
    way: BTreeMap<(Us, u64), (usize, Process, Vec<u8>)>,
    count: u64,
    draws: u64,
    worst: f64,
    /// The most processes that held themselves for leader at one moment.
    many: usize,
}

fn name(i: usize) -> NameKey {
    NameKey(10 + i as u32)
}

impl World {
    fn new(of: usize, seed: u64) -> World {
        let mut world = World {
            now: 0,
            members: vec![],
            side: 0,
            lost: 0,
            twice: 0,
            slow: 3 * MS,
            way: BTreeMap::new(),
            count: 0,
            draws: seed,
            worst: 0.0,
            many: 0,
        };
        for _ in 0..of {
            let (ahead, fast) = (world.draw(5_000_000), world.draw(20_001) as i64 - 10_000);
            let member = Member {
                quota: None,
                paused: false,
                inbox: vec![],
                had: vec![],
                start: 0,
                ahead,
                fast,
            };
            world.members.push(member);
        }
        (0..of).for_each(|i| world.start(i));
        world
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws = self
            .draws
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.draws >> 33) % below
    }

    fn start(&mut self, i: usize) {
        let roster: BTreeSet<NameKey> = (0..self.members.len()).map(name).collect();
        self.start_with(i, roster);
    }

    fn start_with(&mut self, i: usize, roster: BTreeSet<NameKey>) {
        let (seed, now) = (self.draw(1 << 30), self.now);
        let member = &mut self.members[i];
        member.start += 1;
        (member.paused, member.inbox, member.had) = (false, vec![], vec![]);
        let quota = QuotaMember::new(name(i), member.start, roster, seed, member.clock(now));
        member.quota = Some(quota);
    }

    /// The most that one may spend now, by its own clock, which it looks at when it does. Its loop may be behind, and
    /// go by any part that has not ended.
    fn spends(&self, i: usize) -> f64 {
        let member = &self.members[i];
        if member.quota.is_none() {
            return 0.0;
        }
        let now = member.clock(self.now);
        let lent = member
            .had
            .iter()
            .filter(|part| now < part.until)
            .map(|part| part.leased);
        lent.fold(0.0, f64::max) + unleased_quota(self.members.len())
    }

    /// Keeps what a member has been lent.
    fn note(&mut self, i: usize) {
        let member = &mut self.members[i];
        let (now, Some(quota)) = (member.clock(self.now), &member.quota) else {
            return;
        };
        if member.had.last() != Some(&quota.lease()) {
            member.had.retain(|part| now < part.until);
            member.had.push(quota.lease());
        }
    }

    fn all_spend(&self) -> f64 {
        (0..self.members.len()).map(|i| self.spends(i)).sum()
    }

    fn carry(&mut self, from: usize, told: Vec<Action>) {
        self.note(from);
        for one in told {
            let Action::Send { to, payload: said } = one else {
                continue;
            };
            let to = (to.0 - 10) as usize;
            let me = Process {
                name: name(from),
                start: self.members[from].start,
            };
            let copies = if self.draw(100) < self.twice { 2 } else { 1 };
            for _ in 0..copies {
                let passes = self.side >> from & 1 == self.side >> to & 1;
                let after = 200 + self.draw(self.slow);
                if passes && self.draw(100) >= self.lost {
                    self.count += 1;
                    self.way
                        .insert((self.now + after, self.count), (to, me, said.clone()));
                }
            }
        }
    }

    fn deliver(&mut self, to: usize, from: Process, said: Vec<u8>) {
        let now = self.members[to].clock(self.now);
        let member = &mut self.members[to];
        if member.paused {
            return member.inbox.push((from, said));
        }
        let mut out = vec![];
        if let Some(quota) = &mut member.quota {
            quota.handle_message(now, from, &said, &mut out);
        }
        self.carry(to, out);
    }

    fn go_on(&mut self, i: usize) {
        self.members[i].paused = false;
        for (from, said) in std::mem::take(&mut self.members[i].inbox) {
            self.deliver(i, from, said);
        }
    }

    fn run(&mut self, for_: Us) {
        let until = self.now + for_;
        loop {
            let message = self.way.keys().next().map(|k| k.0);
            let awake = self.members.iter().enumerate().filter(|(_, m)| !m.paused);
            let timers = awake.filter_map(|(i, m)| Some((m.at(m.quota.as_ref()?.wake_at()?), i)));
            let timer = timers.min();
            let next = [message, timer.map(|t| t.0)].into_iter().flatten().min();
            let Some(next) = next.filter(|at| *at <= until) else {
                break;
            };
            self.now = self.now.max(next);
            if message == Some(next) {
                if let Some((_, (to, from, said))) = self.way.pop_first() {
                    self.deliver(to, from, said);
                }
            } else if let Some((_, i)) = timer {
                let (now, mut out) = (self.members[i].clock(self.now), vec![]);
                if let Some(quota) = &mut self.members[i].quota {
                    quota.wake(now, &mut out);
                }
                self.carry(i, out);
            }
            // Parts only grow when something is heard or done, so looking here sees every height.
            self.worst = self.worst.max(self.all_spend());
            self.many = self.many.max(self.leaders());
        }
        self.now = until;
    }

    fn heal(&mut self) {
        (self.side, self.lost, self.twice, self.slow) = (0, 0, 0, 3 * MS);
        for i in 0..self.members.len() {
            match self.members[i].quota.is_some() {
                true => self.go_on(i),
                false => self.start(i),
            }
        }
    }

    fn leaders(&self) -> usize {
        let lends = |m: &&Member| {
            m.quota
                .as_ref()
                .is_some_and(|s| s.lease_holders(m.clock(self.now)).is_some())
        };
        self.members.iter().filter(lends).count()
    }
}

/// Sums of millionths.
const WHOLE_PPM: f64 = 1.0 + 1e-9;

#[test]
fn killed_members_quota_goes_to_others_after_expiry() {
    for seed in 0..50 {
        let mut world = World::new(5, seed);
        world.run(8_000 * MS);
        (0..5).for_each(|i| {
            assert!(
                (world.spends(i) - 0.2).abs() < 1e-4,
                "{seed}: {}",
                world.spends(i)
            )
        });
        let victim = (seed % 5) as usize;
        world.members[victim].quota = None;
        world.run(1_000 * MS);
        // It may be standing still and not be dead; what it has is spent until it ends.
        let others = |w: &World| {
            (0..5)
                .filter(|i| *i != victim)
                .map(|i| w.spends(i))
                .fold(0.0, f64::max)
        };
        assert!(
            others(&world) <= 0.2,
            "{seed}: grown while the other's part may be in use"
        );
        world.run(5_000 * MS);
        assert!(
            (others(&world) - (0.9 / 4.0 + 0.02)).abs() < 1e-4,
            "{seed}: {}",
            others(&world)
        );
        world.start(victim);
        world.run(5_000 * MS);
        (0..5).for_each(|i| {
            assert!(
                (world.spends(i) - 0.2).abs() < 1e-4,
                "{seed}: {}",
                world.spends(i)
            )
        });
        assert!(world.worst <= WHOLE_PPM, "{seed}: {}", world.worst);
    }
}

#[test]
fn minority_uses_unleased_quota_and_majority_the_rest() {
    for seed in 0..20 {
        let mut world = World::new(5, seed);
        world.run(8_000 * MS);
        world.side = 0b00011;
        world.run(8_000 * MS);
        (0..2).for_each(|i| assert!((world.spends(i) - 0.02).abs() < 1e-9));
        (2..5).for_each(|i| {
            assert!(
                (world.spends(i) - 0.32).abs() < 1e-4,
                "{seed}: {}",
                world.spends(i)
            )
        });
        assert!(world.worst <= WHOLE_PPM);
        assert_eq!(world.leaders(), 1);
    }
}

#[test]
fn leave_frees_a_lease_without_a_wait() {
    let mut world = World::new(3, 7);
    world.run(8_000 * MS);
    let leader = (0..3).find(|i| {
        world.members[*i]
            .quota
            .as_ref()
            .is_some_and(|s| s.leader() == Some(name(*i)))
    });
    let leaver = (0..3).find(|i| Some(*i) != leader).expect("another");
    let (now, mut out) = (world.members[leaver].clock(world.now), vec![]);
    if let Some(quota) = &mut world.members[leaver].quota {
        quota.leave(now, &mut out);
    }
    world.carry(leaver, out);
    world.run(20 * MS);
    world.members[leaver].quota = None;
    world.run(1_000 * MS);
    let others: f64 = world.all_spend();
    assert!(
        others > 0.95,
        "within a second, and not after 1.5 s: {others}"
    );
    assert!(world.worst <= WHOLE_PPM);
}

#[test]
fn members_with_another_roster_use_the_unleased_quota() {
    let mut world = World::new(3, 1);
    let four: BTreeSet<NameKey> = (0..4).map(name).collect();
    world.start_with(2, four);
    world.run(10_000 * MS);
    assert!((world.spends(2) - unleased_quota(3)).abs() < 1e-9);
    assert!(
        (world.spends(0) - 0.45 - unleased_quota(3)).abs() < 1e-4,
        "{}",
        world.spends(0)
    );
    let mut told = vec![];
    let (clock, from) = (
        world.members[0].clock(world.now),
        Process {
            name: name(2),
            start: 9,
        },
    );
    let question = Message::LeaseRequest {
        number: RequestNumber(1),
        roster: 1,
        observations: vec![],
    };
    let mut fresh = QuotaMember::new(name(0), 1, (0..3).map(name).collect(), 1, clock);
    fresh.handle_message(clock, from, &question.encode(), &mut told);
    fresh.handle_message(clock, from, &question.encode(), &mut told);
    assert_eq!(
        told.iter()
            .filter(|t| **t == Action::RosterMismatch(name(2)))
            .count(),
        1,
        "once"
    );
}

#[test]
fn delayed_grant_is_ignored() {
    let three: BTreeSet<NameKey> = (0..3).map(name).collect();
    let at = Duration::from_millis;
    // The last of the three, which is no leader before it has voted.
    let mut quota = QuotaMember::new(name(2), 1, three, 0, at(0));
    let (mut told, mut numbers) = (vec![], vec![]);
    for beat in 0..2 {
        quota.wake(at(300 * beat), &mut told);
        let asked = told.drain(..).find_map(|t| match t {
            Action::Send { to, payload: said } => Message::decode(&said).ok().map(|m| (to, m)),
            _ => None,
        });
        match asked {
            Some((_, Message::LeaseRequest { number, .. })) => numbers.push(number),
            other => panic!("{other:?}"),
        }
    }
    let from = Process {
        name: name(0),
        start: 1,
    };
    let lent = |number, millionths| {
        Message::LeaseGranted {
            number,
            leased_ppm: millionths,
            members: 2,
            reports: vec![],
        }
        .encode()
    };
    quota.handle_message(at(310), from, &lent(numbers[1], 100_000), &mut told);
    quota.handle_message(at(320), from, &lent(numbers[0], 900_000), &mut told);
    assert_eq!(
        quota.lease(),
        QuotaLease {
            leased: 0.1,
            until: at(300 + 1470)
        }
    );
    quota.handle_message(at(330), from, &lent(RequestNumber(77), 900_000), &mut told);
    assert_eq!(quota.lease().leased, 0.1, "an answer to no question");
}

#[derive(Clone, Debug)]
enum Step {
    Network {
        side: u32,
        lost: u64,
        twice: u64,
        slow_ms: u64,
    },
    Kill(usize),
    Start(usize),
    Pause(usize),
    GoOn(usize),
    Run(u64),
}

fn step(members: usize) -> impl Strategy<Value = Step> {
    let member = 0..members;
    let slow = prop_oneof![Just(3u64), 1u64..2_000];
    prop_oneof![
        (0u32..1 << members, 0u64..50, 0u64..50, slow).prop_map(|(side, lost, twice, slow_ms)| {
            Step::Network {
                side,
                lost,
                twice,
                slow_ms,
            }
        }),
        member.clone().prop_map(Step::Kill),
        member.clone().prop_map(Step::Start),
        member.clone().prop_map(Step::Pause),
        member.prop_map(Step::GoOn),
        (50u64..3_000).prop_map(Step::Run),
        (50u64..3_000).prop_map(Step::Run),
    ]
}

fn take(world: &mut World, step: &Step) {
    match *step {
        Step::Network {
            side,
            lost,
            twice,
            slow_ms,
        } => {
            (world.side, world.lost, world.twice, world.slow) = (side, lost, twice, slow_ms * MS);
        }
        Step::Kill(i) => world.members[i].quota = None,
        Step::Start(i) => world.start(i),
        Step::Pause(i) => world.members[i].paused = true,
        Step::GoOn(i) => world.go_on(i),
        Step::Run(ms) => world.run(ms * MS),
    }
}

/// More on request, as `PROPTEST_CASES`.
fn cases() -> u32 {
    std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(400)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(cases()))]

    /// Clocks run apart by a hundredth either way and show seconds' difference; messages come late by up to two seconds, twice,
    /// or never; processes stop between two instructions, or for good, and come back as others.
    #[test]
    fn quota_in_use_never_exceeds_the_total(
        seed in 0u64..1 << 40,
        steps in prop::collection::vec(step(5), 1..40),
    ) {
        let mut world = World::new(5, seed);
        world.run(4_000 * MS);
        steps.iter().for_each(|step| take(&mut world, step));
        prop_assert!(world.worst <= WHOLE_PPM, "{} of the whole", world.worst);
        world.heal();
        world.run(12_000 * MS);
        prop_assert!(world.worst <= WHOLE_PPM, "{} of the whole", world.worst);
        prop_assert!(world.many <= 1, "{} leaders at once", world.many);
        for i in 0..5 {
            prop_assert!((world.spends(i) - 0.2).abs() < 1e-4, "{} spends {} after all is well", i, world.spends(i));
        }
    }
}
