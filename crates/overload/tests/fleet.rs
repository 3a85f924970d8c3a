//! Dispatchers, hosts as queues and clients that come back, in simulated time, by the code that serves.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_membership::{NameKey, QuorumState};
use bitternlatch_overload::{Ask, Asked, Gate, Overload, Settings, Taken, Told, Verdict};
use bitternlatch_quota_lease::{
    ClusterService, Peers, Process, QuotaLease, ServiceInput, ServiceOutput,
};
use bitternlatch_simulation::{ms, Node, Sent, World};

const AIM_S: f64 = 1.5;
/// Far from 0, as the clocks in service are.
const BEGIN: Duration = Duration::from_secs(1_000_000);

struct Member {
    machine: Overload,
    gate: Gate,
    start: u64,
    bytes: u64,
    warned: u32,
}

impl Member {
    fn new(i: usize, of: usize, start: u64, now: Duration) -> Member {
        let own = Process {
            name: NameKey(i as u32),
            start,
        };
        let roster = (0..of as u32).map(NameKey).collect();
        let settings = Settings {
            read_tokens_per_s: 1000.0,
            ..Settings::default()
        };
        let machine = Overload::new(own, roster, settings.clone(), AIM_S, start ^ i as u64, now);
        Member {
            machine,
            gate: Gate::new(settings, of, 5.0, i as u64),
            start,
            bytes: 0,
            warned: 0,
        }
    }

    fn give(&mut self, now: Duration, given: ServiceInput<Ask>, sent: &mut Sent<(u64, Vec<u8>)>) {
        let mut out = Vec::new();
        self.machine.step(now, given, &mut out);
        for wanted in out {
            match wanted {
                ServiceOutput::SendDatagram(to, said) => {
                    // With the envelope's 42 bytes, and UDP's and IP's 28.
                    self.bytes += said.len() as u64 + 70;
                    sent.push((to.0 as usize, (self.start, said)));
                }
                ServiceOutput::Event(Told::Cut(cut)) => self.gate.told(cut),
                ServiceOutput::Log { warn: true, .. } => self.warned += 1,
                _ => {}
            }
        }
    }
}

impl Node for Member {
    type Message = (u64, Vec<u8>);

    fn wake_at(&self) -> Option<Duration> {
        self.machine.wake_at()
    }

    fn wake(&mut self, now: Duration, out: &mut Sent<(u64, Vec<u8>)>) {
        self.give(now, ServiceInput::Wake, out);
    }

    fn take(
        &mut self,
        now: Duration,
        from: usize,
        (start, said): (u64, Vec<u8>),
        out: &mut Sent<(u64, Vec<u8>)>,
    ) {
        let from = Process {
            name: NameKey(from as u32),
            start,
        };
        self.give(
            now,
            ServiceInput::Datagram {
                from,
                payload: said,
            },
            out,
        );
    }
}

#[derive(Clone, Copy)]
struct Try {
    id: u64,
    tries: u32,
    tokens: f64,
    worth: f64,
    member: usize,
    since: Duration,
}

/// What came of a span.
#[derive(Clone, Debug, Default)]
struct Figures {
    asked: f64,
    /// Worth answered within the aim.
    good: f64,
    late: f64,
    taken_work: f64,
    again_work: f64,
    /// Fresh requests and refused ones, by member.
    by_member: BTreeMap<usize, (u32, u32)>,
    /// The same by half seconds.
    by_time: BTreeMap<u128, (u32, u32)>,
}

impl Figures {
    /// Standard deviation over members of the share refused, beyond what chance alone gives.
    fn spread(&self) -> f64 {
        spread(self.by_member.values())
    }

    /// The same over time.
    fn swing(&self) -> f64 {
        spread(self.by_time.values())
    }
}

fn spread<'a>(of: impl Iterator<Item = &'a (u32, u32)>) -> f64 {
    let many = of
        .filter(|m| m.0 > 20)
        .map(|m| (f64::from(m.1) / f64::from(m.0), f64::from(m.0)));
    let shares: Vec<(f64, f64)> = many.collect();
    let n = shares.len().max(1) as f64;
    let mean = shares.iter().map(|s| s.0).sum::<f64>() / n;
    let var = shares.iter().map(|s| (s.0 - mean).powi(2)).sum::<f64>() / n;
    let chance = shares
        .iter()
        .map(|s| mean * (1.0 - mean) / s.1)
        .sum::<f64>()
        / n;
    (var - chance).max(0.0).sqrt()
}

struct Fleet {
    world: World<Member>,
    of: usize,
    /// When each host has done all that it was given.
    hosts: Vec<Duration>,
    stalled: Option<(usize, Duration)>,
    /// Work a second that a host does.
    speed: f64,
    begins: BTreeMap<(Duration, u64), (usize, u64, Taken, Try)>,
    back: BTreeMap<(Duration, u64), Try>,
    next: u64,
    cut_off: Vec<usize>,
    honour: bool,
    lent: bool,
    figures: Figures,
}

impl Fleet {
    fn new(of: usize, hosts: usize, seed: u64) -> Fleet {
        let mut world = World::new(of, seed);
        world.net.now = BEGIN;
        world.net.loss = 0.01;
        for i in 0..of {
            world.start(i, Member::new(i, of, 1, BEGIN));
        }
        Fleet {
            world,
            of,
            hosts: vec![BEGIN; hosts],
            stalled: None,
            speed: 1.0,
            begins: BTreeMap::new(),
            back: BTreeMap::new(),
            next: 0,
            cut_off: vec![],
            honour: true,
            lent: true,
            figures: Figures::default(),
        }
    }

    fn peers(&mut self) {
        let alive: Vec<usize> = (0..self.of)
            .filter(|i| self.world.places[*i].node.is_some())
            .collect();
        for i in alive.clone() {
            let off = self.cut_off.contains(&i);
            let there: Vec<NameKey> = match off {
                true => vec![],
                false => alive
                    .iter()
                    .filter(|j| **j != i && !self.cut_off.contains(j))
                    .map(|j| NameKey(*j as u32))
                    .collect(),
            };
            let standing = match there.len() + 1 {
                n if n == self.of => QuorumState::Whole,
                n if 2 * n > self.of => QuorumState::Majority,
                1 => QuorumState::Alone,
                _ => QuorumState::CutOff,
            };
            let lent = if off || !self.lent {
                0.0
            } else {
                0.9 / self.of as f64
            };
            self.world.act(i, |node, now, out| {
                let part = QuotaLease {
                    leased: lent,
                    until: now + ms(1470),
                };
                node.give(
                    now,
                    ServiceInput::Peers(Peers {
                        quorum: standing,
                        present: there,
                        valid_until: now + ms(900),
                        lease: part,
                    }),
                    out,
                );
            });
        }
    }

    fn ask(&mut self, t: Try) {
        let now = self.world.now();
        let asked = Asked {
            worth: t.worth,
            prompt_tokens: t.tokens,
            identity: t.id,
            fingerprint: t.id,
            quota_rps: f64::INFINITY,
            aim_s: AIM_S,
            ..Asked::default()
        };
        let verdict = self
            .world
            .act(t.member, |node, now, _| node.gate.judge(now, &asked));
        let Some(verdict) = verdict else {
            // Nobody is there: at the next one, soon.
            let member = (t.member + 1) % self.of;
            self.next += 1;
            self.back
                .insert((now + ms(50), self.next), Try { member, ..t });
            return;
        };
        if t.tries == 0 {
            let by = self.figures.by_member.entry(t.member).or_default();
            by.0 += 1;
            by.1 += u32::from(matches!(verdict, Verdict::Refuse { .. }));
            let by = self
                .figures
                .by_time
                .entry(now.as_millis() / 500)
                .or_default();
            by.0 += 1;
            by.1 += u32::from(matches!(verdict, Verdict::Refuse { .. }));
        }
        match verdict {
            Verdict::Take(taken) => {
                self.figures.taken_work += taken.work;
                self.figures.again_work += if t.tries > 0 { taken.work } else { 0.0 };
                let n = self.hosts.len();
                let (a, b) = (
                    self.world.net.draw_bits() as usize % n,
                    self.world.net.draw_bits() as usize % n,
                );
                let host = if self.hosts[a] <= self.hosts[b] { a } else { b };
                let stall = self
                    .stalled
                    .filter(|(many, _)| host < *many)
                    .map_or(now, |(_, until)| until);
                let ends = self.hosts[host].max(now).max(stall)
                    + Duration::from_secs_f64(taken.work / self.speed);
                self.hosts[host] = ends;
                self.next += 1;
                let start = self.world.places[t.member]
                    .node
                    .as_ref()
                    .map_or(0, |m| m.start);
                self.begins
                    .insert((ends, self.next), (t.member, start, taken, t));
            }
            Verdict::Refuse { retry_after_s } => {
                let after = if self.honour {
                    retry_after_s.min(2.0)
                } else {
                    0.05
                };
                if t.tries < 2 {
                    self.next += 1;
                    let again = Try {
                        tries: t.tries + 1,
                        ..t
                    };
                    self.back
                        .insert((now + Duration::from_secs_f64(after), self.next), again);
                }
            }
        }
    }

    fn ended(&mut self) {
        let now = self.world.now();
        while let Some(entry) = self.begins.first_entry().filter(|e| e.key().0 <= now) {
            let (member, start, taken, t) = entry.remove();
            let waited = now.saturating_sub(t.since).as_secs_f64();
            let own = self.world.places[member]
                .node
                .as_ref()
                .is_some_and(|m| m.start == start);
            if !own {
                continue;
            }
            self.world
                .act(member, |node, now, _| node.gate.begun(now, taken));
            // From the first try on, as the client counts; a return's wait is its own.
            let since_try = waited.min(now.saturating_sub(t.since).as_secs_f64());
            if since_try <= AIM_S + 4.0 * f64::from(t.tries) {
                self.figures.good += t.worth
            } else {
                self.figures.late += t.worth
            }
        }
    }

    /// Lets time pass under so much work asked a second; gives what came of it.
    fn play(&mut self, seconds: f64, load: f64) -> Figures {
        self.figures = Figures::default();
        let slices = (seconds * 100.0) as u64;
        // Queries of 80 ms and bookings of 300 ms for twice the worth.
        let per_slice = load / (0.6 * 0.08 + 0.4 * 0.3) / 100.0;
        let mut due = 0.0;
        for slice in 0..slices {
            if slice % 20 == 0 {
                self.peers();
            }
            due += per_slice;
            while due >= 1.0 {
                due -= 1.0;
                let small = self.world.net.draw() < 0.6;
                let (tokens, worth) = if small {
                    (60.0 + 40.0 * self.world.net.draw(), 1.0)
                } else {
                    (200.0 + 200.0 * self.world.net.draw(), 2.0)
                };
                let member = self.world.net.draw_bits() as usize % self.of;
                self.next += 1;
                self.figures.asked += worth;
                let t = Try {
                    id: self.next,
                    tries: 0,
                    tokens,
                    worth,
                    member,
                    since: self.world.now(),
                };
                self.ask(t);
            }
            while let Some(entry) = self
                .back
                .first_entry()
                .filter(|e| e.key().0 <= self.world.now())
            {
                let t = entry.remove();
                self.ask(t);
            }
            if slice % 10 == 0 {
                let hosts = self.hosts.len() as f64;
                for i in 0..self.of {
                    self.world.act(i, |node, now, out| {
                        if let Some(seen) = node.gate.tell(now, hosts) {
                            node.give(now, ServiceInput::Request(Ask::Seen(seen)), out);
                        }
                    });
                }
            }
            let until = self.world.now() + ms(10);
            self.world.run(until);
            self.ended();
        }
        self.figures.clone()
    }

    fn kill(&mut self, which: std::ops::Range<usize>) {
        which.for_each(|i| drop(self.world.kill(i)));
    }

    fn start(&mut self, which: std::ops::Range<usize>, number: u64) {
        for i in which {
            let node = Member::new(i, self.of, number, self.world.now_at(i));
            self.world.start(i, node);
        }
    }

    fn warned(&self) -> u32 {
        self.world
            .places
            .iter()
            .filter_map(|p| p.node.as_ref())
            .map(|m| m.warned)
            .sum()
    }
}

/// Goodput a second at so many times the hosts' capacity, once it runs.
fn steady(of: usize, hosts: usize, load: f64) -> (Fleet, Figures) {
    let mut fleet = Fleet::new(of, hosts, 7);
    fleet.play(4.0, load * hosts as f64);
    let figures = fleet.play(6.0, load * hosts as f64);
    (fleet, figures)
}

#[test]
fn goodput_does_not_fall_with_load_and_repeats_are_a_tenth() {
    let mut at_capacity = 0.0;
    for load in [0.5, 0.9, 2.0, 8.0] {
        let (_, f) = steady(12, 24, load);
        let again = f.again_work / (f.taken_work - f.again_work);
        println!(
            "12 members, {load}: asked {:.0} good {:.0} late {:.0} again {again:.3} spread {:.3} swing {:.3}",
            f.asked,
            f.good,
            f.late,
            f.spread(),
            f.swing()
        );
        if load < 1.0 {
            assert!(f.good > 0.97 * f.asked, "{load}: {f:?}");
            at_capacity = f.good;
        } else {
            assert!(
                f.good > 0.95 * at_capacity && f.late < 0.03 * f.good,
                "{load}: {} {}",
                f.good,
                f.late
            );
        }
        assert!(again <= 0.12, "{load}: {again}");
        assert!(f.swing() < 0.1, "{load}: {}", f.swing());
        assert!(f.spread() < 0.05, "{load}: {}", f.spread());
    }
}

#[test]
fn three_hundred_shed_alike_by_samples() {
    let (fleet, f) = steady(300, 60, 2.5);
    let bytes: u64 = fleet
        .world
        .places
        .iter()
        .filter_map(|p| p.node.as_ref())
        .map(|m| m.bytes)
        .sum();
    let a_second = bytes as f64 / 300.0 / 10.0;
    println!(
        "300 members: asked {:.0} good {:.0} late {:.0} spread {:.3} bytes/s {a_second:.0}",
        f.asked,
        f.good,
        f.late,
        f.spread()
    );
    // 60 hosts do 60 a second for 6 s; by the order queries first, at 12.5 worth a second of work.
    assert!(f.good > 0.9 * 60.0 * 6.0 * 11.0, "{}", f.good);
    assert!(
        f.late < 0.03 * f.good && f.spread() < 0.05,
        "{} {}",
        f.late,
        f.spread()
    );
    assert!(a_second < 4096.0, "{a_second}");
}

#[test]
fn a_third_killed_and_back_with_empty_memory_and_a_stall_bring_no_second_wave() {
    let mut fleet = Fleet::new(12, 24, 3);
    let before = fleet.play(6.0, 0.8 * 24.0);
    fleet.kill(0..4);
    fleet.play(2.0, 0.8 * 24.0);
    fleet.start(0..4, 2);
    fleet.play(5.0, 0.8 * 24.0);
    let after = fleet.play(4.0, 0.8 * 24.0);
    println!(
        "killed: before {:.3} after {:.3}",
        before.good / before.asked,
        after.good / after.asked
    );
    assert!(after.good > 0.95 * after.asked, "{after:?}");
    fleet.stalled = Some((12, fleet.world.now() + ms(5000)));
    fleet.play(5.0, 0.8 * 24.0);
    fleet.stalled = None;
    fleet.play(5.0, 0.8 * 24.0);
    let after = fleet.play(4.0, 0.8 * 24.0);
    println!(
        "stalled: after {:.3} late {:.0}",
        after.good / after.asked,
        after.late
    );
    assert!(after.good > 0.95 * after.asked, "{after:?}");
    assert_eq!(fleet.warned(), 0, "nobody is named who says what is so");
}

#[test]
fn cut_off_one_way_and_without_a_steward_the_hosts_are_not_overrun() {
    let mut fleet = Fleet::new(6, 24, 5);
    fleet.play(4.0, 2.0 * 24.0);
    fleet.lent = false;
    // What 0 and 1 say is heard by nobody, while they hear all.
    fleet.world.net.passes = Box::new(|from, _| from > 1);
    let f = fleet.play(10.0, 2.0 * 24.0);
    println!("one way: good {:.0} late {:.0}", f.good, f.late);
    assert!(f.late < 0.05 * f.good, "{} {}", f.late, f.good);
    fleet.cut_off = vec![0, 1];
    fleet.world.net.passes = Box::new(|from, to| from > 1 && to > 1);
    let f = fleet.play(8.0, 2.0 * 24.0);
    println!(
        "cut off: good {:.0} late {:.0} again {:.3}",
        f.good,
        f.late,
        f.again_work / f.taken_work
    );
    assert!(
        f.late < 0.1 * f.good && f.good > 0.75 * 24.0 * 8.0 * 11.0,
        "{} {}",
        f.late,
        f.good
    );
    assert!(f.again_work < 0.1 * f.taken_work);
}

#[test]
fn clients_that_come_back_at_once_and_hosts_that_do_half_for_good() {
    let mut fleet = Fleet::new(6, 24, 6);
    fleet.honour = false;
    fleet.play(4.0, 2.0 * 24.0);
    let whole = fleet.play(5.0, 2.0 * 24.0);
    fleet.speed = 0.5;
    fleet.play(5.0, 2.0 * 24.0);
    let half = fleet.play(5.0, 2.0 * 24.0);
    println!(
        "half: whole {:.0} late {:.0}, half {:.0} late {:.0}",
        whole.good, whole.late, half.good, half.late
    );
    assert!(
        whole.late < 0.03 * whole.good && half.late < 0.05 * half.good,
        "{} {}",
        whole.late,
        half.late
    );
    assert!(
        half.good > 0.45 * whole.good,
        "{} {}",
        half.good,
        whole.good
    );
}

#[test]
fn hosts_three_times_slower_or_six_times_faster_than_they_were_taken_for_are_found_so_within_seconds(
) {
    for speed in [1.0 / 3.0, 6.0] {
        let mut fleet = Fleet::new(3, 12, 9);
        fleet.speed = speed;
        let first = fleet.play(4.0, 3.0 * 12.0 * speed);
        let f = fleet.play(6.0, 3.0 * 12.0 * speed);
        let (late, can) = (
            first.late / (first.good + first.late),
            12.0 * speed * 6.0 * 10.0,
        );
        println!(
            "speed {speed:.2}: first late {late:.2}, then good {:.0} of {can:.0} late {:.0}",
            f.good, f.late
        );
        assert!(
            f.good > 0.8 * can && f.late < 0.1 * f.good,
            "{} {}",
            f.good,
            f.late
        );
    }
}
