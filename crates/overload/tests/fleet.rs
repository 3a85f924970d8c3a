//! Simulates a cluster in virtual time: dispatchers that run the production code, servers modelled as queues, and clients that retry.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_membership::{NameKey, QuorumState};
use bitternlatch_overload::{
    AdmissionController, AdmissionDecision, AdmissionRequest, Command, Event, OverloadControl,
    PendingWork, Settings,
};
use bitternlatch_quota_lease::{
    ClusterService, Peers, Process, QuotaLease, ServiceInput, ServiceOutput,
};
use bitternlatch_simulation::{ms, Node, Sent, World};

const TTFT_OBJECTIVE_S: f64 = 1.5;
/// Start of the virtual clock, far from 0 as in production.
const BEGIN: Duration = Duration::from_secs(1_000_000);

/// One dispatcher.
struct Member {
    control: OverloadControl,
    controller: AdmissionController,
    /// Number of the process's start.
    start: u64,
    /// Bytes sent, with headers.
    bytes: u64,
    /// Warnings logged.
    warnings: u32,
}

impl Member {
    fn new(i: usize, members: usize, start: u64, now: Duration) -> Member {
        let own = Process {
            name: NameKey(i as u32),
            start,
        };
        let roster = (0..members as u32).map(NameKey).collect();
        let settings = Settings {
            read_tokens_per_s: 1000.0,
            ..Settings::default()
        };
        let control = OverloadControl::new(
            own,
            roster,
            settings.clone(),
            TTFT_OBJECTIVE_S,
            start ^ i as u64,
            now,
        );
        Member {
            control,
            controller: AdmissionController::new(settings, members, 5.0, i as u64),
            start,
            bytes: 0,
            warnings: 0,
        }
    }

    fn step(
        &mut self,
        now: Duration,
        input: ServiceInput<Command>,
        sent: &mut Sent<(u64, Vec<u8>)>,
    ) {
        let mut out = Vec::new();
        self.control.step(now, input, &mut out);
        for output in out {
            match output {
                ServiceOutput::SendDatagram(to, payload) => {
                    // Plus 42 bytes of envelope and 28 bytes of UDP and IP headers.
                    self.bytes += payload.len() as u64 + 70;
                    sent.push((to.0 as usize, (self.start, payload)));
                }
                ServiceOutput::Event(Event::Threshold(threshold)) => {
                    self.controller.set_threshold(threshold)
                }
                ServiceOutput::Log { warn: true, .. } => self.warnings += 1,
                _ => {}
            }
        }
    }
}

impl Node for Member {
    type Message = (u64, Vec<u8>);

    fn wake_at(&self) -> Option<Duration> {
        self.control.wake_at()
    }

    fn wake(&mut self, now: Duration, out: &mut Sent<(u64, Vec<u8>)>) {
        self.step(now, ServiceInput::Wake, out);
    }

    fn take(
        &mut self,
        now: Duration,
        from: usize,
        (start, payload): (u64, Vec<u8>),
        out: &mut Sent<(u64, Vec<u8>)>,
    ) {
        let from = Process {
            name: NameKey(from as u32),
            start,
        };
        self.step(now, ServiceInput::Datagram { from, payload }, out);
    }
}

/// An attempt of a client to have a request answered.
#[derive(Clone, Copy)]
struct Attempt {
    id: u64,
    /// Number of earlier attempts, all rejected.
    retries: u32,
    prompt_tokens: f64,
    priority_weight: f64,
    member: usize,
    /// When the client sent the first attempt.
    sent_at: Duration,
}

/// Measurements over a period. Weights are sums of priority weights.
#[derive(Clone, Debug, Default)]
struct Measurements {
    /// Weight of the requests that clients sent.
    sent: f64,
    /// Weight of the requests answered within the latency objective.
    good: f64,
    /// Weight of the requests answered later.
    late: f64,
    /// Admitted work, retries included.
    admitted_work: f64,
    /// Admitted work of retries.
    retry_work: f64,
    /// First attempts, and how many of them were rejected, by dispatcher.
    by_member: BTreeMap<usize, (u32, u32)>,
    /// First attempts, and how many of them were rejected, by half second.
    by_time: BTreeMap<u128, (u32, u32)>,
}

impl Measurements {
    /// Standard deviation over dispatchers of the fraction of first attempts that were rejected, less what chance alone causes.
    fn deviation_by_member(&self) -> f64 {
        deviation(self.by_member.values())
    }

    /// Standard deviation over time of the fraction of first attempts that were rejected, less what chance alone causes.
    fn deviation_by_time(&self) -> f64 {
        deviation(self.by_time.values())
    }
}

/// Standard deviation of the fraction rejected over groups of first attempts, less what chance alone causes. Small groups are ignored.
fn deviation<'a>(groups: impl Iterator<Item = &'a (u32, u32)>) -> f64 {
    let rejected = groups
        .filter(|m| m.0 > 20)
        .map(|m| (f64::from(m.1) / f64::from(m.0), f64::from(m.0)));
    let shares: Vec<(f64, f64)> = rejected.collect();
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

/// The simulated cluster, its servers and its clients.
struct Cluster {
    world: World<Member>,
    /// Number of dispatchers.
    members: usize,
    /// When each server finishes the work in its queue.
    servers: Vec<Duration>,
    /// If servers are stalled: how many, counted from the first, and until when they do no work.
    stalled: Option<(usize, Duration)>,
    /// Work that a server does per second.
    speed: f64,
    /// Admitted requests, by the time of their first token: dispatcher, its start number, the admission and the attempt.
    pending: BTreeMap<(Duration, u64), (usize, u64, PendingWork, Attempt)>,
    /// Attempts that clients will repeat, by the time at which they do.
    retries: BTreeMap<(Duration, u64), Attempt>,
    /// Last request id or sequence number used.
    next: u64,
    /// Dispatchers that reach no other.
    cut_off: Vec<usize>,
    /// Whether clients wait for the retry delay that they are given.
    honours_retry_after: bool,
    /// Whether dispatchers have a lease on the retry budget.
    has_lease: bool,
    measurements: Measurements,
}

impl Cluster {
    fn new(members: usize, servers: usize, seed: u64) -> Cluster {
        let mut world = World::new(members, seed);
        world.net.now = BEGIN;
        world.net.loss = 0.01;
        for i in 0..members {
            world.start(i, Member::new(i, members, 1, BEGIN));
        }
        Cluster {
            world,
            members,
            servers: vec![BEGIN; servers],
            stalled: None,
            speed: 1.0,
            pending: BTreeMap::new(),
            retries: BTreeMap::new(),
            next: 0,
            cut_off: vec![],
            honours_retry_after: true,
            has_lease: true,
            measurements: Measurements::default(),
        }
    }

    /// Notifies each dispatcher of the others that it reaches.
    fn notify_peers(&mut self) {
        let alive: Vec<usize> = (0..self.members)
            .filter(|i| self.world.places[*i].node.is_some())
            .collect();
        for i in alive.clone() {
            let is_cut_off = self.cut_off.contains(&i);
            let present: Vec<NameKey> = match is_cut_off {
                true => vec![],
                false => alive
                    .iter()
                    .filter(|j| **j != i && !self.cut_off.contains(j))
                    .map(|j| NameKey(*j as u32))
                    .collect(),
            };
            let quorum = match present.len() + 1 {
                n if n == self.members => QuorumState::Whole,
                n if 2 * n > self.members => QuorumState::Majority,
                1 => QuorumState::Alone,
                _ => QuorumState::CutOff,
            };
            let leased = if is_cut_off || !self.has_lease {
                0.0
            } else {
                0.9 / self.members as f64
            };
            self.world.act(i, |node, now, out| {
                let lease = QuotaLease {
                    leased,
                    until: now + ms(1470),
                };
                node.step(
                    now,
                    ServiceInput::Peers(Peers {
                        quorum,
                        present,
                        valid_until: now + ms(900),
                        lease,
                    }),
                    out,
                );
            });
        }
    }

    fn send(&mut self, attempt: Attempt) {
        let now = self.world.now();
        let request = AdmissionRequest {
            priority_weight: attempt.priority_weight,
            prompt_tokens: attempt.prompt_tokens,
            identity: attempt.id,
            fingerprint: attempt.id,
            quota_rps: f64::INFINITY,
            ttft_objective_s: TTFT_OBJECTIVE_S,
            ..AdmissionRequest::default()
        };
        let decision = self.world.act(attempt.member, |node, now, _| {
            node.controller.evaluate(now, &request)
        });
        let Some(decision) = decision else {
            // This dispatcher is down: the client tries the next one after 50 ms.
            let member = (attempt.member + 1) % self.members;
            self.next += 1;
            self.retries
                .insert((now + ms(50), self.next), Attempt { member, ..attempt });
            return;
        };
        if attempt.retries == 0 {
            let by = self
                .measurements
                .by_member
                .entry(attempt.member)
                .or_default();
            by.0 += 1;
            by.1 += u32::from(matches!(decision, AdmissionDecision::Reject { .. }));
            let by = self
                .measurements
                .by_time
                .entry(now.as_millis() / 500)
                .or_default();
            by.0 += 1;
            by.1 += u32::from(matches!(decision, AdmissionDecision::Reject { .. }));
        }
        match decision {
            AdmissionDecision::Admit(pending) => {
                self.measurements.admitted_work += pending.work;
                self.measurements.retry_work += if attempt.retries > 0 {
                    pending.work
                } else {
                    0.0
                };
                let n = self.servers.len();
                let (a, b) = (
                    self.world.net.draw_bits() as usize % n,
                    self.world.net.draw_bits() as usize % n,
                );
                let server = if self.servers[a] <= self.servers[b] {
                    a
                } else {
                    b
                };
                let stall = self
                    .stalled
                    .filter(|(count, _)| server < *count)
                    .map_or(now, |(_, until)| until);
                let ends_at = self.servers[server].max(now).max(stall)
                    + Duration::from_secs_f64(pending.work / self.speed);
                self.servers[server] = ends_at;
                self.next += 1;
                let start = self.world.places[attempt.member]
                    .node
                    .as_ref()
                    .map_or(0, |m| m.start);
                self.pending.insert(
                    (ends_at, self.next),
                    (attempt.member, start, pending, attempt),
                );
            }
            AdmissionDecision::Reject { retry_after_s } => {
                let delay_s = if self.honours_retry_after {
                    retry_after_s.min(2.0)
                } else {
                    0.05
                };
                if attempt.retries < 2 {
                    self.next += 1;
                    let retry = Attempt {
                        retries: attempt.retries + 1,
                        ..attempt
                    };
                    self.retries
                        .insert((now + Duration::from_secs_f64(delay_s), self.next), retry);
                }
            }
        }
    }

    /// Delivers the first tokens that are due and counts whether they are on time.
    fn deliver_first_tokens(&mut self) {
        let now = self.world.now();
        while let Some(entry) = self.pending.first_entry().filter(|e| e.key().0 <= now) {
            let (member, start, pending, attempt) = entry.remove();
            let waited_s = now.saturating_sub(attempt.sent_at).as_secs_f64();
            let is_running = self.world.places[member]
                .node
                .as_ref()
                .is_some_and(|m| m.start == start);
            if !is_running {
                continue;
            }
            self.world.act(member, |node, now, _| {
                node.controller.first_token(now, pending)
            });
            // Measured from the first attempt, as clients do; each retry extends the objective by 4 s for its delay.
            let wait_s = waited_s.min(now.saturating_sub(attempt.sent_at).as_secs_f64());
            if wait_s <= TTFT_OBJECTIVE_S + 4.0 * f64::from(attempt.retries) {
                self.measurements.good += attempt.priority_weight
            } else {
                self.measurements.late += attempt.priority_weight
            }
        }
    }

    /// Runs for a number of seconds in which clients send `load` work per second; returns the measurements.
    fn run(&mut self, seconds: f64, load: f64) -> Measurements {
        self.measurements = Measurements::default();
        let slices = (seconds * 100.0) as u64;
        // 60 % are queries with 80 ms of work, 40 % bookings with 300 ms and twice the priority weight.
        let per_slice = load / (0.6 * 0.08 + 0.4 * 0.3) / 100.0;
        let mut due = 0.0;
        for slice in 0..slices {
            if slice % 20 == 0 {
                self.notify_peers();
            }
            due += per_slice;
            while due >= 1.0 {
                due -= 1.0;
                let is_query = self.world.net.draw() < 0.6;
                let (prompt_tokens, priority_weight) = if is_query {
                    (60.0 + 40.0 * self.world.net.draw(), 1.0)
                } else {
                    (200.0 + 200.0 * self.world.net.draw(), 2.0)
                };
                let member = self.world.net.draw_bits() as usize % self.members;
                self.next += 1;
                self.measurements.sent += priority_weight;
                let attempt = Attempt {
                    id: self.next,
                    retries: 0,
                    prompt_tokens,
                    priority_weight,
                    member,
                    sent_at: self.world.now(),
                };
                self.send(attempt);
            }
            while let Some(entry) = self
                .retries
                .first_entry()
                .filter(|e| e.key().0 <= self.world.now())
            {
                let attempt = entry.remove();
                self.send(attempt);
            }
            if slice % 10 == 0 {
                let server_weight = self.servers.len() as f64;
                for i in 0..self.members {
                    self.world.act(i, |node, now, out| {
                        if let Some(load) = node.controller.local_load(now, server_weight) {
                            node.step(now, ServiceInput::Request(Command::LocalLoad(load)), out);
                        }
                    });
                }
            }
            let until = self.world.now() + ms(10);
            self.world.run(until);
            self.deliver_first_tokens();
        }
        self.measurements.clone()
    }

    fn kill(&mut self, members: std::ops::Range<usize>) {
        members.for_each(|i| drop(self.world.kill(i)));
    }

    fn start(&mut self, members: std::ops::Range<usize>, start: u64) {
        for i in members {
            let node = Member::new(i, self.members, start, self.world.now_at(i));
            self.world.start(i, node);
        }
    }

    fn warnings(&self) -> u32 {
        self.world
            .places
            .iter()
            .filter_map(|p| p.node.as_ref())
            .map(|m| m.warnings)
            .sum()
    }
}

/// Runs a cluster at `load` times its servers' capacity; returns the measurements of 6 s after 4 s of warm-up.
fn steady(members: usize, servers: usize, load: f64) -> (Cluster, Measurements) {
    let mut cluster = Cluster::new(members, servers, 7);
    cluster.run(4.0, load * servers as f64);
    let measurements = cluster.run(6.0, load * servers as f64);
    (cluster, measurements)
}

#[test]
fn goodput_does_not_fall_with_load_and_retries_are_a_tenth() {
    let mut at_capacity = 0.0;
    for load in [0.5, 0.9, 2.0, 8.0] {
        let (_, f) = steady(12, 24, load);
        let retried = f.retry_work / (f.admitted_work - f.retry_work);
        println!(
            "12 members, {load}: sent {:.0} good {:.0} late {:.0} retried {retried:.3} deviation by member {:.3} by time {:.3}",
            f.sent,
            f.good,
            f.late,
            f.deviation_by_member(),
            f.deviation_by_time()
        );
        if load < 1.0 {
            assert!(f.good > 0.97 * f.sent, "{load}: {f:?}");
            at_capacity = f.good;
        } else {
            assert!(
                f.good > 0.95 * at_capacity && f.late < 0.03 * f.good,
                "{load}: {} {}",
                f.good,
                f.late
            );
        }
        assert!(retried <= 0.12, "{load}: {retried}");
        assert!(
            f.deviation_by_time() < 0.1,
            "{load}: {}",
            f.deviation_by_time()
        );
        assert!(
            f.deviation_by_member() < 0.05,
            "{load}: {}",
            f.deviation_by_member()
        );
    }
}

#[test]
fn three_hundred_dispatchers_shed_alike_from_sampled_reports() {
    let (cluster, f) = steady(300, 60, 2.5);
    let bytes: u64 = cluster
        .world
        .places
        .iter()
        .filter_map(|p| p.node.as_ref())
        .map(|m| m.bytes)
        .sum();
    let bytes_per_s = bytes as f64 / 300.0 / 10.0;
    println!(
        "300 members: sent {:.0} good {:.0} late {:.0} deviation {:.3} bytes/s {bytes_per_s:.0}",
        f.sent,
        f.good,
        f.late,
        f.deviation_by_member()
    );
    // 60 servers do 60 s of work per second for 6 s. Queries come first in the order, with a weight of 12.5 per second of work.
    assert!(f.good > 0.9 * 60.0 * 6.0 * 11.0, "{}", f.good);
    assert!(
        f.late < 0.03 * f.good && f.deviation_by_member() < 0.05,
        "{} {}",
        f.late,
        f.deviation_by_member()
    );
    assert!(bytes_per_s < 4096.0, "{bytes_per_s}");
}

/// Guards against an overload that outlasts its cause: after a third of the dispatchers restart with empty state, and after half of the
/// servers stall for 5 s, nearly all requests are on time again.
#[test]
fn restart_of_a_third_of_the_dispatchers_and_a_server_stall_leave_no_overload_behind() {
    let mut cluster = Cluster::new(12, 24, 3);
    let before = cluster.run(6.0, 0.8 * 24.0);
    cluster.kill(0..4);
    cluster.run(2.0, 0.8 * 24.0);
    cluster.start(0..4, 2);
    cluster.run(5.0, 0.8 * 24.0);
    let after = cluster.run(4.0, 0.8 * 24.0);
    println!(
        "restarted: before {:.3} after {:.3}",
        before.good / before.sent,
        after.good / after.sent
    );
    assert!(after.good > 0.95 * after.sent, "{after:?}");
    cluster.stalled = Some((12, cluster.world.now() + ms(5000)));
    cluster.run(5.0, 0.8 * 24.0);
    cluster.stalled = None;
    cluster.run(5.0, 0.8 * 24.0);
    let after = cluster.run(4.0, 0.8 * 24.0);
    println!(
        "stalled: after {:.3} late {:.0}",
        after.good / after.sent,
        after.late
    );
    assert!(after.good > 0.95 * after.sent, "{after:?}");
    assert_eq!(
        cluster.warnings(),
        0,
        "no correct report is taken for an outlier"
    );
}

/// Guards against overloaded servers when dispatchers are partitioned and have no lease on the retry budget: first two dispatchers send
/// datagrams that nobody receives, then they are cut off in both directions.
#[test]
fn partitioned_dispatchers_without_a_lease_do_not_overload_servers() {
    let mut cluster = Cluster::new(6, 24, 5);
    cluster.run(4.0, 2.0 * 24.0);
    cluster.has_lease = false;
    // Datagrams from dispatchers 0 and 1 are lost, those to them are not.
    cluster.world.net.passes = Box::new(|from, _| from > 1);
    let f = cluster.run(10.0, 2.0 * 24.0);
    println!("one-way partition: good {:.0} late {:.0}", f.good, f.late);
    assert!(f.late < 0.05 * f.good, "{} {}", f.late, f.good);
    cluster.cut_off = vec![0, 1];
    cluster.world.net.passes = Box::new(|from, to| from > 1 && to > 1);
    let f = cluster.run(8.0, 2.0 * 24.0);
    println!(
        "partition: good {:.0} late {:.0} retried {:.3}",
        f.good,
        f.late,
        f.retry_work / f.admitted_work
    );
    assert!(
        f.late < 0.1 * f.good && f.good > 0.75 * 24.0 * 8.0 * 11.0,
        "{} {}",
        f.late,
        f.good
    );
    assert!(f.retry_work < 0.1 * f.admitted_work);
}

#[test]
fn immediate_retries_and_servers_at_half_speed_keep_answers_on_time() {
    let mut cluster = Cluster::new(6, 24, 6);
    cluster.honours_retry_after = false;
    cluster.run(4.0, 2.0 * 24.0);
    let full = cluster.run(5.0, 2.0 * 24.0);
    cluster.speed = 0.5;
    cluster.run(5.0, 2.0 * 24.0);
    let half = cluster.run(5.0, 2.0 * 24.0);
    println!(
        "half speed: full {:.0} late {:.0}, half {:.0} late {:.0}",
        full.good, full.late, half.good, half.late
    );
    assert!(
        full.late < 0.03 * full.good && half.late < 0.05 * half.good,
        "{} {}",
        full.late,
        half.late
    );
    assert!(half.good > 0.45 * full.good, "{} {}", half.good, full.good);
}

#[test]
fn servers_three_times_slower_or_six_times_faster_than_configured_are_measured_within_seconds() {
    for speed in [1.0 / 3.0, 6.0] {
        let mut cluster = Cluster::new(3, 12, 9);
        cluster.speed = speed;
        let first = cluster.run(4.0, 3.0 * 12.0 * speed);
        let f = cluster.run(6.0, 3.0 * 12.0 * speed);
        let (late, capacity) = (
            first.late / (first.good + first.late),
            12.0 * speed * 6.0 * 10.0,
        );
        println!(
            "speed {speed:.2}: first late {late:.2}, then good {:.0} of {capacity:.0} late {:.0}",
            f.good, f.late
        );
        assert!(
            f.good > 0.8 * capacity && f.late < 0.1 * f.good,
            "{} {}",
            f.good,
            f.late
        );
    }
}
