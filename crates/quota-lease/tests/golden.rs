//! Golden tests: the bytes of every message, and digests of the outputs of seeded runs.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use bitternlatch_membership::{
    Event, Membership, NameKey, Peer, QuorumState, Roster, Secret, Start, State, Topic,
};
use bitternlatch_quota_lease::{
    Action, ClusterMember, Message, Observation, ObservationKey, Output, PeerReport, RequestNumber,
    ServerCondition, ServerNumber,
};

const MS: Duration = Duration::from_millis(1);

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn messages_keep_their_bytes() {
    let number = RequestNumber(0x0102_0304_0506_0708);
    let leader = Some(NameKey(0xAABB_CCDD));
    let observation = |condition| Observation {
        server: ServerNumber(0x1122_3344),
        condition,
        age: MS * 1250,
    };
    let report = |condition| PeerReport {
        server: ServerNumber(0x1122_3344),
        condition,
        reporters: 3,
        age: MS * 60_000,
    };
    let golden = [
        (
            Message::VoteRequest {
                number,
                roster: 0x0A0B_0C0D,
            },
            "0008070605040302010d0c0b0a",
        ),
        (Message::VoteGranted { number }, "010807060504030201"),
        (
            Message::VoteDenied { number, leader },
            "020807060504030201ddccbbaa",
        ),
        (
            Message::VoteDenied {
                number,
                leader: None,
            },
            "02080706050403020100000000",
        ),
        (Message::VoteReleased { number }, "030807060504030201"),
        (
            Message::LeaseRequest {
                number,
                roster: 0x0A0B_0C0D,
                observations: vec![
                    observation(ServerCondition::Failing),
                    observation(ServerCondition::WarmingUp),
                    observation(ServerCondition::Draining),
                ],
            },
            "0408070605040302010d0c0b0a44332211000c44332211010c44332211020c",
        ),
        (
            Message::LeaseGranted {
                number,
                leased_ppm: 166_666,
                members: 299,
                reports: vec![
                    report(ServerCondition::Failing),
                    report(ServerCondition::WarmingUp),
                    report(ServerCondition::Draining),
                ],
            },
            "0508070605040302010a8b02002b01443322110003ff443322110103ff443322110203ff",
        ),
        (
            Message::NotLeader { number, leader },
            "060807060504030201ddccbbaa",
        ),
        (Message::Leave, "070000000000000000"),
    ];
    for (message, bytes) in golden {
        assert_eq!(hex(&message.encode()), bytes, "{message:?}");
    }
}

/// 64-bit FNV-1a over explicitly encoded outputs.
struct Digest(u64);

impl Digest {
    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn number(&mut self, number: u64) {
        for byte in number.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn start(&mut self, start: Start) {
        self.number(start.process);
        self.number(u64::from(start.rejoins));
    }

    fn event(&mut self, event: &Event) {
        match event {
            Event::Member { name, state, start } => {
                self.number(0);
                self.number(u64::from(name.0));
                self.number(match state {
                    State::Unheard => 0,
                    State::Alive => 1,
                    State::Suspect => 2,
                    State::Down => 3,
                });
                self.start(*start);
            }
            Event::QuorumState(state) => {
                self.number(1);
                self.number(match state {
                    QuorumState::Alone => 0,
                    QuorumState::CutOff => 1,
                    QuorumState::Majority => 2,
                    QuorumState::Whole => 3,
                });
            }
            Event::Paused(late) => {
                self.number(2);
                self.number(late.as_micros() as u64);
            }
            Event::Rejoined(start) => {
                self.number(3);
                self.start(*start);
            }
            Event::Fenced(start) => {
                self.number(4);
                self.start(*start);
            }
        }
    }

    fn action(&mut self, action: &Action) {
        match action {
            Action::Send { to, payload } => {
                self.number(0);
                self.number(u64::from(to.0));
                self.bytes(payload);
            }
            Action::Leader(is_leader) => {
                self.number(1);
                self.number(u64::from(*is_leader));
            }
            Action::PeerReports { members, reports } => {
                self.number(2);
                self.number(u64::from(*members));
                for report in reports {
                    self.number(u64::from(report.server.0));
                    self.number(match report.condition {
                        ServerCondition::Failing => 0,
                        ServerCondition::WarmingUp => 1,
                        ServerCondition::Draining => 2,
                    });
                    self.number(u64::from(report.reporters));
                    self.number(report.age.as_micros() as u64);
                }
            }
            Action::RosterMismatch(name) => {
                self.number(3);
                self.number(u64::from(name.0));
            }
        }
    }

    fn output(&mut self, output: &Output) {
        match output {
            Output::Send(to, bytes) => {
                self.number(0);
                self.number(u64::from(to.port()));
                self.bytes(bytes);
            }
            Output::Member(event) => {
                self.number(1);
                self.event(event);
            }
            Output::Quota(action) => {
                self.number(2);
                self.action(action);
            }
            Output::Message {
                topic,
                from,
                payload,
            } => {
                self.number(3);
                self.number(u64::from(topic.byte()));
                self.number(u64::from(from.name.0));
                self.number(from.start);
                self.bytes(payload);
            }
        }
    }
}

fn address(i: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 20_000 + i as u16)
}

const MEMBERS: usize = 4;

/// A simulated cluster over a network that delays, loses and duplicates datagrams, at random from one seed.
struct SimulatedCluster {
    now: Duration,
    members: Vec<Option<ClusterMember>>,
    queue: BTreeMap<(Duration, u64), (usize, usize, Vec<u8>)>,
    queued: u64,
    starts: u64,
    draws: u64,
    digest: Digest,
    /// Number of outputs of each kind: datagrams, membership events, quota actions and messages to services.
    outputs: [usize; 4],
}

impl SimulatedCluster {
    fn new(seed: u64) -> SimulatedCluster {
        let mut cluster = SimulatedCluster {
            now: Duration::ZERO,
            members: (0..MEMBERS).map(|_| None).collect(),
            queue: BTreeMap::new(),
            queued: 0,
            starts: 0,
            draws: seed,
            digest: Digest(0xcbf2_9ce4_8422_2325),
            outputs: [0; 4],
        };
        (0..MEMBERS).for_each(|i| cluster.start(i));
        cluster
    }

    /// Draws a random number less than `below`.
    fn draw(&mut self, below: u64) -> u64 {
        self.draws = self
            .draws
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.draws >> 33) % below
    }

    fn start(&mut self, i: usize) {
        self.starts += 1;
        let peers: Vec<Peer> = (0..MEMBERS)
            .map(|n| Peer {
                name: format!("d{n}"),
                address: address(n),
            })
            .collect();
        let own = format!("d{i}");
        let roster = Roster::new(&own, &peers).expect("a valid roster");
        let secret = Secret::new("hall", b"secret");
        let seed = self.draw(1 << 30);
        let member = Membership::new(&own, self.starts, roster, secret, seed, self.now);
        let mut cluster_member = ClusterMember::new(member, seed + 1, self.now);
        // Each member has other observations, and several members make some of them.
        let conditions = [
            ServerCondition::Failing,
            ServerCondition::WarmingUp,
            ServerCondition::Draining,
        ];
        let observations = (0..5u32).map(|n| {
            let server = ServerNumber(n / 2 * i as u32);
            let condition = conditions[n as usize % 3];
            (ObservationKey { server, condition }, MS * 100 * n)
        });
        cluster_member
            .quota_mut()
            .set_observations(observations.collect());
        self.members[i] = Some(cluster_member);
    }

    fn apply_outputs(&mut self, from: usize, out: Vec<Output>) {
        for output in out {
            self.digest.number(self.now.as_micros() as u64);
            self.digest.number(from as u64);
            self.digest.output(&output);
            match output {
                Output::Send(to, bytes) => {
                    self.outputs[0] += 1;
                    self.send(from, usize::from(to.port()) - 20_000, bytes);
                }
                Output::Member(_) => self.outputs[1] += 1,
                Output::Quota(_) => self.outputs[2] += 1,
                Output::Message { .. } => self.outputs[3] += 1,
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let copies = match self.draw(100) {
            0..5 => 0,
            5..8 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay = Duration::from_micros(500 + self.draw(4_000));
            self.queued += 1;
            let key = (self.now + delay, self.queued);
            self.queue.insert(key, (from, to, bytes.clone()));
        }
    }

    fn step(
        &mut self,
        member: usize,
        action: impl FnOnce(&mut ClusterMember, Duration, &mut Vec<Output>),
    ) {
        let mut out = Vec::new();
        if let Some(state) = &mut self.members[member] {
            action(state, self.now, &mut out);
        }
        self.apply_outputs(member, out);
    }

    fn run(&mut self, until: Duration, paused: BTreeSet<usize>) {
        loop {
            let datagram = self.queue.first_key_value().map(|((at, _), _)| *at);
            let awake = (0..MEMBERS).filter(|i| !paused.contains(i));
            let timer = awake
                .filter_map(|i| Some((self.members[i].as_ref()?.wake_at()?, i)))
                .min();
            let next = datagram.into_iter().chain(timer.map(|t| t.0)).min();
            let Some(next) = next.filter(|at| *at <= until) else {
                break;
            };
            self.now = self.now.max(next);
            if datagram == Some(next) {
                let Some((_, (from, to, bytes))) = self.queue.pop_first() else {
                    break;
                };
                if !paused.contains(&to) {
                    self.step(to, |m, now, out| {
                        m.handle_datagram(now, address(from), &bytes, out)
                    });
                }
            } else if let Some((_, i)) = timer {
                self.step(i, |m, now, out| m.wake(now, out));
            }
        }
        self.now = until;
    }
}

fn digest(seed: u64) -> (u64, [usize; 4]) {
    let mut cluster = SimulatedCluster::new(seed);
    cluster.run(MS * 6_000, BTreeSet::new());
    // A message of another service.
    let sent = cluster.members[0]
        .as_mut()
        .and_then(|m| m.sign_message(Topic::Overload, NameKey::of("d1"), b"of another machine"));
    let bytes = sent.expect("a datagram").bytes;
    cluster.step(1, |m, now, out| {
        m.handle_datagram(now, address(0), &bytes, out)
    });
    cluster.members[0] = None;
    cluster.run(MS * 11_000, BTreeSet::new());
    cluster.start(0);
    cluster.run(MS * 15_000, BTreeSet::from([2]));
    cluster.run(MS * 20_000, BTreeSet::new());
    cluster.step(1, |m, now, out| m.leave(now, out));
    cluster.members[1] = None;
    cluster.run(MS * 24_000, BTreeSet::new());
    (cluster.digest.0, cluster.outputs)
}

#[test]
fn outputs_of_seeded_inputs_keep_their_order() {
    let golden = [
        (11_986_833_329_088_127_880, [2029, 80, 151, 1]),
        (85_228_189_285_573_167, [1911, 59, 181, 1]),
        (11_788_479_638_678_046_749, [2263, 104, 180, 1]),
    ];
    assert_eq!([1, 2, 3].map(digest), golden);
}
