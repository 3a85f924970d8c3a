//! Members over the simulated network, and answers of stated shapes, for tests and measurements.

use std::collections::BTreeSet;
use std::time::Duration;

use bitternlatch_membership::{NameKey, QuorumState};
use bitternlatch_quota_lease::{
    ClusterService, Peers, Process, QuotaLease, ServiceInput, ServiceOutput,
};
use bitternlatch_simulation::{ms, Network, Node, Sent, World};

use crate::{Ask, ClassKey, Curves, End, Ended, Lengths, ModelKey, TenantKey, Told};

/// A machine, and what it has told, said and kept.
pub struct Member {
    pub machine: Lengths,
    pub curves: Curves,
    pub logs: Vec<String>,
    pub kept: Option<Vec<u8>>,
    pub there: BTreeSet<usize>,
    /// Bytes of the longest datagram said.
    pub longest: usize,
    peers_at: Duration,
}

/// What is under way: whether as a frame, and what.
#[derive(Clone)]
pub struct Said(pub bool, pub Vec<u8>);

/// Of a place.
pub fn name(i: usize) -> NameKey {
    NameKey(i as u32 + 1)
}

impl Member {
    /// One of so many, at a place.
    pub fn new(i: usize, start: u64, of: usize, now: Duration) -> Member {
        Member {
            machine: Lengths::new(
                Process {
                    name: name(i),
                    start,
                },
                now,
            ),
            curves: Curves::default(),
            logs: vec![],
            kept: None,
            there: (0..of).filter(|other| *other != i).collect(),
            longest: 0,
            peers_at: now,
        }
    }

    /// Steps it, and gathers what it wants.
    pub fn give(&mut self, now: Duration, given: ServiceInput<Ask>, out: &mut Sent<Said>) {
        let mut wanted = vec![];
        self.machine.step(now, given, &mut wanted);
        for wanted in wanted {
            match wanted {
                ServiceOutput::SendDatagram(to, said) => {
                    self.longest = self.longest.max(said.len());
                    out.push((to.0 as usize - 1, Said(false, said)));
                }
                ServiceOutput::SendFrame(to, said) => {
                    out.push((to.0 as usize - 1, Said(true, said)))
                }
                ServiceOutput::Event(Told::Curves(curves)) => curves
                    .into_iter()
                    .for_each(|(cell, curve)| self.curves.set(cell, curve)),
                ServiceOutput::Persist { bytes, .. } => self.kept = bytes,
                ServiceOutput::Log { text, .. } => self.logs.push(text),
            }
        }
    }

    /// Answers that it knows of.
    pub fn answers(&self) -> u64 {
        self.machine.learner().windows().answers()
    }
}

impl Node for Member {
    type Message = Said;

    fn wake_at(&self) -> Option<Duration> {
        self.machine
            .wake_at()
            .into_iter()
            .chain([self.peers_at])
            .min()
    }

    fn wake(&mut self, now: Duration, out: &mut Sent<Said>) {
        if now >= self.peers_at {
            self.peers_at = now + ms(200);
            let there = self.there.iter().map(|i| name(*i)).collect();
            let part = QuotaLease::default();
            let peers = Peers {
                quorum: QuorumState::Whole,
                present: there,
                valid_until: now + ms(900),
                lease: part,
            };
            self.give(now, ServiceInput::Peers(peers), out);
        }
        self.give(now, ServiceInput::Wake, out);
    }

    fn take(&mut self, now: Duration, from: usize, Said(frame, said): Said, out: &mut Sent<Said>) {
        let from = Process {
            name: name(from),
            start: 0,
        };
        let given = if frame {
            ServiceInput::Frame {
                from,
                payload: said,
            }
        } else {
            ServiceInput::Datagram {
                from,
                payload: said,
            }
        };
        self.give(now, given, out);
    }
}

/// Members that all know each other.
pub fn world(of: usize, seed: u64) -> World<Member> {
    let mut world = World::new(of, seed);
    (0..of).for_each(|i| world.start(i, Member::new(i, 1, of, Duration::ZERO)));
    world
}

/// A whole answer of one class.
pub fn answer(class: u32, tokens: u32) -> Ended {
    Ended {
        model: ModelKey(1),
        class: ClassKey(class),
        tenant: TenantKey(0),
        prompt_tokens: 500,
        ceiling: 8000,
        tokens,
        bytes: 4 * tokens,
        end: End::Whole,
        told: None,
        host: "writer-1".to_string(),
    }
}

/// An answer at a member, told what it was told at its arrival.
pub fn end(world: &mut World<Member>, i: usize, mut ended: Ended) {
    world.act(i, |member, now, out| {
        let known = member
            .curves
            .find(ended.model, ended.class, ended.prompt_tokens);
        ended.told = known.map(|c| c.expected(ended.ceiling).p90.round() as u32);
        member.give(now, ServiceInput::Request(Ask::Ended(ended)), out)
    });
}

/// A length around a median, as of a logarithmic normal distribution.
pub fn around<M: Clone>(net: &mut Network<M>, median: f64, spread: f64) -> u32 {
    let sum: f64 = (0..12).map(|_| net.draw()).sum();
    (median * ((sum - 6.0) * spread).exp()).round().max(1.0) as u32
}
