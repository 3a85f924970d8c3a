//! Quota leases under faults of network and processes, where each member has a clock of its own. The fractions of a quota
//! that all members may use at the same time never exceed the complete quota.

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
    /// Leases that have not expired, also those replaced by a later one.
    leases: Vec<QuotaLease>,
    start: u64,
    /// The reading of the member's clock at virtual time zero.
    clock_offset: Us,
    /// How much too fast the member's clock runs, in millionths; negative if it runs too slow.
    clock_drift_ppm: i64,
}

impl Member {
    fn clock(&self, now: Us) -> Duration {
        Duration::from_micros(
            self.clock_offset + (now as i64 + now as i64 * self.clock_drift_ppm / 1_000_000) as u64,
        )
    }

    /// The first virtual time at which the member's clock has this reading.
    fn at(&self, reading: Duration) -> Us {
        let elapsed = (reading.as_micros() as u64).saturating_sub(self.clock_offset);
        let mut at = (elapsed as i64 * 1_000_000 / (1_000_000 + self.clock_drift_ppm)) as u64;
        while self.clock(at).as_micros() < u128::from(elapsed + self.clock_offset) {
            at += 1;
        }
        at
    }
}

struct World {
    now: Us,
    members: Vec<Member>,
    /// Bit i is the side of the partition that member i is on.
    side: u32,
    /// Percentage of messages that are lost.
    loss_percent: u64,
    /// Percentage of messages that are delivered twice.
    duplicate_percent: u64,
    /// Upper bound of the random part of a message's delay.
    max_delay: Us,
    /// Messages in transit, by delivery time and number, with receiver and sender.
    in_transit: BTreeMap<(Us, u64), (usize, Process, Vec<u8>)>,
    /// Number of messages sent.
    sent: u64,
    random_state: u64,
    /// The largest sum of the fractions that all members could use at one time.
    max_in_use: f64,
    /// The largest number of processes that were leader at one time by their own clocks.
    max_leaders: usize,
}

fn name(i: usize) -> NameKey {
    NameKey(10 + i as u32)
}

impl World {
    fn new(size: usize, seed: u64) -> World {
        let mut world = World {
            now: 0,
            members: vec![],
            side: 0,
            loss_percent: 0,
            duplicate_percent: 0,
            max_delay: 3 * MS,
            in_transit: BTreeMap::new(),
            sent: 0,
            random_state: seed,
            max_in_use: 0.0,
            max_leaders: 0,
        };
        for _ in 0..size {
            let (clock_offset, clock_drift_ppm) =
                (world.draw(5_000_000), world.draw(20_001) as i64 - 10_000);
            let member = Member {
                quota: None,
                paused: false,
                inbox: vec![],
                leases: vec![],
                start: 0,
                clock_offset,
                clock_drift_ppm,
            };
            world.members.push(member);
        }
        (0..size).for_each(|i| world.start(i));
        world
    }

    /// Draws a random number less than `below`.
    fn draw(&mut self, below: u64) -> u64 {
        self.random_state = self
            .random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 33) % below
    }

    fn start(&mut self, i: usize) {
        let roster: BTreeSet<NameKey> = (0..self.members.len()).map(name).collect();
        self.start_with(i, roster);
    }

    fn start_with(&mut self, i: usize, roster: BTreeSet<NameKey>) {
        let (seed, now) = (self.draw(1 << 30), self.now);
        let member = &mut self.members[i];
        member.start += 1;
        (member.paused, member.inbox, member.leases) = (false, vec![], vec![]);
        let quota = QuotaMember::new(name(i), member.start, roster, seed, member.clock(now));
        member.quota = Some(quota);
    }

    /// The largest fraction that a member may use now by its own clock. Its event loop may be late, so that it may still use
    /// any earlier lease that has not expired.
    fn usable(&self, i: usize) -> f64 {
        let member = &self.members[i];
        if member.quota.is_none() {
            return 0.0;
        }
        let now = member.clock(self.now);
        let leased = member
            .leases
            .iter()
            .filter(|lease| now < lease.until)
            .map(|lease| lease.leased);
        leased.fold(0.0, f64::max) + unleased_quota(self.members.len())
    }

    /// Records a member's current lease.
    fn record_lease(&mut self, i: usize) {
        let member = &mut self.members[i];
        let (now, Some(quota)) = (member.clock(self.now), &member.quota) else {
            return;
        };
        if member.leases.last() != Some(&quota.lease()) {
            member.leases.retain(|lease| now < lease.until);
            member.leases.push(quota.lease());
        }
    }

    fn total_usable(&self) -> f64 {
        (0..self.members.len()).map(|i| self.usable(i)).sum()
    }

    fn apply_actions(&mut self, from: usize, actions: Vec<Action>) {
        self.record_lease(from);
        for action in actions {
            let Action::Send { to, payload } = action else {
                continue;
            };
            let to = (to.0 - 10) as usize;
            let sender = Process {
                name: name(from),
                start: self.members[from].start,
            };
            let copies = if self.draw(100) < self.duplicate_percent {
                2
            } else {
                1
            };
            for _ in 0..copies {
                let passes = self.side >> from & 1 == self.side >> to & 1;
                let delay = 200 + self.draw(self.max_delay);
                if passes && self.draw(100) >= self.loss_percent {
                    self.sent += 1;
                    self.in_transit
                        .insert((self.now + delay, self.sent), (to, sender, payload.clone()));
                }
            }
        }
    }

    fn deliver(&mut self, to: usize, from: Process, payload: Vec<u8>) {
        let now = self.members[to].clock(self.now);
        let member = &mut self.members[to];
        if member.paused {
            return member.inbox.push((from, payload));
        }
        let mut out = vec![];
        if let Some(quota) = &mut member.quota {
            quota.handle_message(now, from, &payload, &mut out);
        }
        self.apply_actions(to, out);
    }

    fn resume(&mut self, i: usize) {
        self.members[i].paused = false;
        for (from, payload) in std::mem::take(&mut self.members[i].inbox) {
            self.deliver(i, from, payload);
        }
    }

    fn run(&mut self, duration: Us) {
        let until = self.now + duration;
        loop {
            let message = self.in_transit.keys().next().map(|k| k.0);
            let awake = self.members.iter().enumerate().filter(|(_, m)| !m.paused);
            let timers = awake.filter_map(|(i, m)| Some((m.at(m.quota.as_ref()?.wake_at()?), i)));
            let timer = timers.min();
            let next = [message, timer.map(|t| t.0)].into_iter().flatten().min();
            let Some(next) = next.filter(|at| *at <= until) else {
                break;
            };
            self.now = self.now.max(next);
            if message == Some(next) {
                if let Some((_, (to, from, payload))) = self.in_transit.pop_first() {
                    self.deliver(to, from, payload);
                }
            } else if let Some((_, i)) = timer {
                let (now, mut out) = (self.members[i].clock(self.now), vec![]);
                if let Some(quota) = &mut self.members[i].quota {
                    quota.wake(now, &mut out);
                }
                self.apply_actions(i, out);
            }
            // Leases are granted at events only, so each maximum is seen here.
            self.max_in_use = self.max_in_use.max(self.total_usable());
            self.max_leaders = self.max_leaders.max(self.leaders());
        }
        self.now = until;
    }

    /// Ends all faults, resumes paused processes and starts those that are not running.
    fn heal(&mut self) {
        (
            self.side,
            self.loss_percent,
            self.duplicate_percent,
            self.max_delay,
        ) = (0, 0, 0, 3 * MS);
        for i in 0..self.members.len() {
            match self.members[i].quota.is_some() {
                true => self.resume(i),
                false => self.start(i),
            }
        }
    }

    /// Number of processes that are leader by their own clocks.
    fn leaders(&self) -> usize {
        let is_leader = |m: &&Member| {
            m.quota
                .as_ref()
                .is_some_and(|quota| quota.lease_holders(m.clock(self.now)).is_some())
        };
        self.members.iter().filter(is_leader).count()
    }
}

/// The complete quota, with a tolerance for rounding.
const COMPLETE_QUOTA: f64 = 1.0 + 1e-9;

#[test]
fn killed_members_quota_goes_to_others_after_expiry() {
    for seed in 0..50 {
        let mut world = World::new(5, seed);
        world.run(8_000 * MS);
        (0..5).for_each(|i| {
            assert!(
                (world.usable(i) - 0.2).abs() < 1e-4,
                "{seed}: {}",
                world.usable(i)
            )
        });
        let victim = (seed % 5) as usize;
        world.members[victim].quota = None;
        world.run(1_000 * MS);
        // The process may be paused instead of dead, so its lease counts until it expires.
        let others = |w: &World| {
            (0..5)
                .filter(|i| *i != victim)
                .map(|i| w.usable(i))
                .fold(0.0, f64::max)
        };
        assert!(
            others(&world) <= 0.2,
            "{seed}: a lease grew while the lease of the killed member may be in use"
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
                (world.usable(i) - 0.2).abs() < 1e-4,
                "{seed}: {}",
                world.usable(i)
            )
        });
        assert!(
            world.max_in_use <= COMPLETE_QUOTA,
            "{seed}: {}",
            world.max_in_use
        );
    }
}

#[test]
fn minority_uses_unleased_quota_and_majority_the_rest() {
    for seed in 0..20 {
        let mut world = World::new(5, seed);
        world.run(8_000 * MS);
        world.side = 0b00011;
        world.run(8_000 * MS);
        (0..2).for_each(|i| assert!((world.usable(i) - 0.02).abs() < 1e-9));
        (2..5).for_each(|i| {
            assert!(
                (world.usable(i) - 0.32).abs() < 1e-4,
                "{seed}: {}",
                world.usable(i)
            )
        });
        assert!(world.max_in_use <= COMPLETE_QUOTA);
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
            .is_some_and(|quota| quota.leader() == Some(name(*i)))
    });
    let leaver = (0..3).find(|i| Some(*i) != leader).expect("another");
    let (now, mut out) = (world.members[leaver].clock(world.now), vec![]);
    if let Some(quota) = &mut world.members[leaver].quota {
        quota.leave(now, &mut out);
    }
    world.apply_actions(leaver, out);
    world.run(20 * MS);
    world.members[leaver].quota = None;
    world.run(1_000 * MS);
    let others: f64 = world.total_usable();
    assert!(
        others > 0.95,
        "the quota must be granted within 1 s, not after the lease of 1.5 s: {others}"
    );
    assert!(world.max_in_use <= COMPLETE_QUOTA);
}

#[test]
fn members_with_another_roster_use_the_unleased_quota() {
    let mut world = World::new(3, 1);
    let four: BTreeSet<NameKey> = (0..4).map(name).collect();
    world.start_with(2, four);
    world.run(10_000 * MS);
    assert!((world.usable(2) - unleased_quota(3)).abs() < 1e-9);
    assert!(
        (world.usable(0) - 0.45 - unleased_quota(3)).abs() < 1e-4,
        "{}",
        world.usable(0)
    );
    let mut actions = vec![];
    let (clock, from) = (
        world.members[0].clock(world.now),
        Process {
            name: name(2),
            start: 9,
        },
    );
    let request = Message::LeaseRequest {
        number: RequestNumber(1),
        roster: 1,
        observations: vec![],
    };
    let mut fresh = QuotaMember::new(name(0), 1, (0..3).map(name).collect(), 1, clock);
    fresh.handle_message(clock, from, &request.encode(), &mut actions);
    fresh.handle_message(clock, from, &request.encode(), &mut actions);
    assert_eq!(
        actions
            .iter()
            .filter(|action| **action == Action::RosterMismatch(name(2)))
            .count(),
        1,
        "a mismatch is reported once"
    );
}

#[test]
fn delayed_grant_is_ignored() {
    let three: BTreeSet<NameKey> = (0..3).map(name).collect();
    let at = Duration::from_millis;
    // The last of three voters; it abstains after its start, so its first requests go to other members.
    let mut quota = QuotaMember::new(name(2), 1, three, 0, at(0));
    let (mut actions, mut numbers) = (vec![], vec![]);
    for round in 0..2 {
        quota.wake(at(300 * round), &mut actions);
        let request = actions.drain(..).find_map(|action| match action {
            Action::Send { to, payload } => Message::decode(&payload).ok().map(|m| (to, m)),
            _ => None,
        });
        match request {
            Some((_, Message::LeaseRequest { number, .. })) => numbers.push(number),
            other => panic!("{other:?}"),
        }
    }
    let from = Process {
        name: name(0),
        start: 1,
    };
    let grant = |number, leased_ppm| {
        Message::LeaseGranted {
            number,
            leased_ppm,
            members: 2,
            reports: vec![],
        }
        .encode()
    };
    quota.handle_message(at(310), from, &grant(numbers[1], 100_000), &mut actions);
    quota.handle_message(at(320), from, &grant(numbers[0], 900_000), &mut actions);
    assert_eq!(
        quota.lease(),
        QuotaLease {
            leased: 0.1,
            until: at(300 + 1470)
        }
    );
    quota.handle_message(
        at(330),
        from,
        &grant(RequestNumber(77), 900_000),
        &mut actions,
    );
    assert_eq!(
        quota.lease().leased,
        0.1,
        "an answer to no request of this member"
    );
}

#[derive(Clone, Debug)]
enum Step {
    Network {
        side: u32,
        loss_percent: u64,
        duplicate_percent: u64,
        max_delay_ms: u64,
    },
    Kill(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    Run(u64),
}

fn step(members: usize) -> impl Strategy<Value = Step> {
    let member = 0..members;
    let max_delay_ms = prop_oneof![Just(3u64), 1u64..2_000];
    prop_oneof![
        (0u32..1 << members, 0u64..50, 0u64..50, max_delay_ms).prop_map(
            |(side, loss_percent, duplicate_percent, max_delay_ms)| {
                Step::Network {
                    side,
                    loss_percent,
                    duplicate_percent,
                    max_delay_ms,
                }
            }
        ),
        member.clone().prop_map(Step::Kill),
        member.clone().prop_map(Step::Start),
        member.clone().prop_map(Step::Pause),
        member.prop_map(Step::Resume),
        (50u64..3_000).prop_map(Step::Run),
        (50u64..3_000).prop_map(Step::Run),
    ]
}

fn apply(world: &mut World, step: &Step) {
    match *step {
        Step::Network {
            side,
            loss_percent,
            duplicate_percent,
            max_delay_ms,
        } => {
            (
                world.side,
                world.loss_percent,
                world.duplicate_percent,
                world.max_delay,
            ) = (side, loss_percent, duplicate_percent, max_delay_ms * MS);
        }
        Step::Kill(i) => world.members[i].quota = None,
        Step::Start(i) => world.start(i),
        Step::Pause(i) => world.members[i].paused = true,
        Step::Resume(i) => world.resume(i),
        Step::Run(ms) => world.run(ms * MS),
    }
}

/// Number of cases of the property test; 400 unless the environment variable `PROPTEST_CASES` is set.
fn cases() -> u32 {
    std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(400)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(cases()))]

    /// Clocks run up to 1% too fast or too slow and differ by seconds. Messages are delayed by up to two seconds, duplicated
    /// or lost. Processes are paused, killed and restarted.
    #[test]
    fn quota_in_use_never_exceeds_the_total(
        seed in 0u64..1 << 40,
        steps in prop::collection::vec(step(5), 1..40),
    ) {
        let mut world = World::new(5, seed);
        world.run(4_000 * MS);
        steps.iter().for_each(|step| apply(&mut world, step));
        prop_assert!(world.max_in_use <= COMPLETE_QUOTA, "{} of the quota", world.max_in_use);
        world.heal();
        world.run(12_000 * MS);
        prop_assert!(world.max_in_use <= COMPLETE_QUOTA, "{} of the quota", world.max_in_use);
        prop_assert!(world.max_leaders <= 1, "{} leaders at the same time", world.max_leaders);
        for i in 0..5 {
            prop_assert!((world.usable(i) - 0.2).abs() < 1e-4, "member {} may use {} after the faults have ended", i, world.usable(i));
        }
    }
}
