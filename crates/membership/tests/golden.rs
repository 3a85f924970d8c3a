//! Golden tests: the bytes of every kind of datagram, and digests of the outputs of seeded runs.

use bitternlatch_membership::simulated::{ms, World};
use bitternlatch_membership::{
    Event, Kind, NameKey, QuorumState, Secret, Signer, Start, State, Topic,
};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn signer(secret: Secret) -> Signer {
    Signer::new(secret, NameKey::of("d1"), 0x0102_0304_0506_0708)
}

#[test]
fn signed_datagrams_keep_their_bytes() {
    let secret = Secret::new("hall", b"a secret of the cluster");
    let mut datagrams = signer(secret.clone());
    let mut frames = signer(secret.for_links());
    let mut golden = vec![];
    let kinds = [
        Kind::Swim,
        Kind::Replaced,
        Kind::Suspicion,
        Kind::Refutation,
        Kind::Topic(Topic::QuotaLease),
        Kind::Topic(Topic::Overload),
        Kind::Topic(Topic::Lengths),
        Kind::Topic(Topic::Workflows),
    ];
    for kind in kinds {
        golden.push(hex(&datagrams.sign(kind, b"said")));
    }
    golden.push(hex(&frames.sign(Kind::Topic(Topic::Workflows), b"said")));
    golden.push(hex(&secret.proof(b"number", b"text")));
    assert_eq!(
        golden.join("\n"),
        include_str!("golden/envelopes.txt").trim_end()
    );
}

/// Two members announce themselves and probe each other; one is paused, is suspected, and resumes.
#[test]
fn datagrams_of_the_protocol_keep_their_bytes() {
    let mut world = World::new(2, 1);
    world.recorded = Some(vec![]);
    world.run(ms(1_000));
    world.nodes[1].paused = true;
    world.run(ms(2_000));
    world.resume(1);
    world.run(ms(2_500));
    let recorded = world.recorded.take().expect("recorded");
    let mut kinds = std::collections::BTreeSet::new();
    let lines: Vec<String> = recorded
        .iter()
        // The first datagram of each kind and length.
        .filter(|(_, _, bytes)| kinds.insert((bytes[25], bytes.len())))
        .map(|(from, to, bytes)| format!("{from} {to} {}", hex(bytes)))
        .collect();
    assert_eq!(
        lines.join("\n"),
        include_str!("golden/datagrams.txt").trim_end()
    );
}

/// 64-bit FNV-1a over explicitly encoded outputs.
struct Digest(u64);

impl Digest {
    fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
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
}

/// The digest and the number of the datagrams, then the digest and the number of the events, of a run with faults.
fn digest(seed: u64) -> (u64, usize, u64, usize) {
    let mut world = World::new(5, seed);
    world.recorded = Some(vec![]);
    (world.net.loss, world.net.twice) = (0.05, 0.1);
    world.run(ms(4_000));
    world.kill(0);
    world.run(ms(9_000));
    world.start(0);
    world.nodes[3].paused = true;
    world.run(ms(14_000));
    world.resume(3);
    world.run(ms(18_000));
    world.net.passes = Box::new(|from, to| (from < 2) == (to < 2));
    world.run(ms(25_000));
    world.net.passes = Box::new(|_, _| true);
    world.run(ms(32_000));
    world.start_as(4, 1);
    world.run(ms(38_000));
    let (now, mut out) = (world.net.now, vec![]);
    world.nodes[2]
        .member
        .as_mut()
        .expect("alive")
        .leave(now, &mut out);
    world.apply_outputs(2, out);
    world.run(ms(40_000));
    let mut sent = Digest(0xcbf2_9ce4_8422_2325);
    let recorded = world.recorded.take().expect("recorded");
    for (from, to, bytes) in &recorded {
        sent.number(*from as u64);
        sent.number(*to as u64);
        sent.bytes(bytes);
    }
    let mut reported = Digest(0xcbf2_9ce4_8422_2325);
    for (at, by, event) in &world.events {
        reported.number(at.as_micros() as u64);
        reported.number(*by as u64);
        reported.event(event);
    }
    (sent.0, recorded.len(), reported.0, world.events.len())
}

#[test]
fn outputs_of_seeded_inputs_keep_their_order() {
    let golden = [
        (
            7_275_991_989_767_504_837,
            3355,
            6_287_230_720_408_486_410,
            173,
        ),
        (
            2_058_183_410_189_936_535,
            3417,
            14_832_559_941_057_150_088,
            179,
        ),
        (
            4_820_798_275_711_553_180,
            3420,
            3_313_214_874_165_711_657,
            181,
        ),
    ];
    assert_eq!([1, 2, 3].map(digest), golden);
}
