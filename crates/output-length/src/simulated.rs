//! Members on a simulated network and responses of chosen lengths, for tests and benchmarks.

use std::collections::BTreeSet;
use std::time::Duration;

use bitternlatch_membership::{NameKey, QuorumState};
use bitternlatch_quota_lease::{
    ClusterService, Peers, Process, QuotaLease, ServiceInput, ServiceOutput,
};
use bitternlatch_simulation::{ms, Network, Node, Sent, World};

use crate::{
    ClassKey, Command, CurveTable, Event, FinishedResponse, ModelKey, OutputLengths, ResponseEnd,
    TenantKey,
};

/// A member: its state machine and what the machine has emitted.
pub struct SimulatedMember {
    pub machine: OutputLengths,
    pub curves: CurveTable,
    pub logs: Vec<String>,
    /// The snapshot that was stored last.
    pub snapshot: Option<Vec<u8>>,
    /// Indexes of the members that are reported to this member as reachable.
    pub peers: BTreeSet<usize>,
    /// Length of the longest datagram sent, bytes.
    pub longest_datagram: usize,
    /// When the reachable peers are next reported to this member.
    next_peers_report: Duration,
}

/// A message on the simulated network: whether it is sent as a frame instead of a datagram, and its payload.
#[derive(Clone)]
pub struct SimulatedMessage(pub bool, pub Vec<u8>);

/// The key of the member with an index.
pub fn member_key(i: usize) -> NameKey {
    NameKey(i as u32 + 1)
}

impl SimulatedMember {
    /// The member with index `i` among `count` members that are all reachable. `start` tells its incarnations apart.
    pub fn new(i: usize, start: u64, count: usize, now: Duration) -> SimulatedMember {
        SimulatedMember {
            machine: OutputLengths::new(
                Process {
                    name: member_key(i),
                    start,
                },
                now,
            ),
            curves: CurveTable::default(),
            logs: vec![],
            snapshot: None,
            peers: (0..count).filter(|other| *other != i).collect(),
            longest_datagram: 0,
            next_peers_report: now,
        }
    }

    /// Passes an input to the machine, sends its messages and collects its other outputs.
    pub fn step(
        &mut self,
        now: Duration,
        input: ServiceInput<Command>,
        out: &mut Sent<SimulatedMessage>,
    ) {
        let mut outputs = vec![];
        self.machine.step(now, input, &mut outputs);
        for output in outputs {
            match output {
                ServiceOutput::SendDatagram(to, payload) => {
                    self.longest_datagram = self.longest_datagram.max(payload.len());
                    out.push((to.0 as usize - 1, SimulatedMessage(false, payload)));
                }
                ServiceOutput::SendFrame(to, payload) => {
                    out.push((to.0 as usize - 1, SimulatedMessage(true, payload)))
                }
                ServiceOutput::Event(Event::Estimates(curves)) => curves
                    .into_iter()
                    .for_each(|(cell, curve)| self.curves.set(cell, curve)),
                ServiceOutput::Persist { bytes, .. } => self.snapshot = bytes,
                ServiceOutput::Log { text, .. } => self.logs.push(text),
            }
        }
    }

    /// Number of responses in all windows that this member stores.
    pub fn responses(&self) -> u64 {
        self.machine.learner().windows().responses()
    }
}

impl Node for SimulatedMember {
    type Message = SimulatedMessage;

    fn wake_at(&self) -> Option<Duration> {
        self.machine
            .wake_at()
            .into_iter()
            .chain([self.next_peers_report])
            .min()
    }

    fn wake(&mut self, now: Duration, out: &mut Sent<SimulatedMessage>) {
        if now >= self.next_peers_report {
            self.next_peers_report = now + ms(200);
            let present = self.peers.iter().map(|i| member_key(*i)).collect();
            let lease = QuotaLease::default();
            let peers = Peers {
                quorum: QuorumState::Whole,
                present,
                valid_until: now + ms(900),
                lease,
            };
            self.step(now, ServiceInput::Peers(peers), out);
        }
        self.step(now, ServiceInput::Wake, out);
    }

    fn take(
        &mut self,
        now: Duration,
        from: usize,
        SimulatedMessage(is_frame, payload): SimulatedMessage,
        out: &mut Sent<SimulatedMessage>,
    ) {
        let from = Process {
            name: member_key(from),
            start: 0,
        };
        let input = if is_frame {
            ServiceInput::Frame { from, payload }
        } else {
            ServiceInput::Datagram { from, payload }
        };
        self.step(now, input, out);
    }
}

/// A simulation of members that are all peers of each other.
pub fn simulate_members(count: usize, seed: u64) -> World<SimulatedMember> {
    let mut world = World::new(count, seed);
    (0..count).for_each(|i| world.start(i, SimulatedMember::new(i, 1, count, Duration::ZERO)));
    world
}

/// A complete response to a request of a class.
pub fn response(class: u32, tokens: u32) -> FinishedResponse {
    FinishedResponse {
        model: ModelKey(1),
        class: ClassKey(class),
        tenant: TenantKey(0),
        prompt_tokens: 500,
        max_output_tokens: 8000,
        output_tokens: tokens,
        text_bytes: 4 * tokens,
        end: ResponseEnd::Complete,
        predicted_p90: None,
        server: "writer-1".to_string(),
    }
}

/// Reports a finished response to a member, with the 90th percentile that the member estimates for it.
pub fn finish_response(
    world: &mut World<SimulatedMember>,
    i: usize,
    mut response: FinishedResponse,
) {
    world.act(i, |member, now, out| {
        let curve = member
            .curves
            .find(response.model, response.class, response.prompt_tokens);
        response.predicted_p90 =
            curve.map(|c| c.estimate(response.max_output_tokens).p90.round() as u32);
        member.step(
            now,
            ServiceInput::Request(Command::ResponseFinished(response)),
            out,
        )
    });
}

/// A random length, approximately log-normal with this median; `spread` is the standard deviation of its logarithm.
pub fn random_length<M: Clone>(net: &mut Network<M>, median: f64, spread: f64) -> u32 {
    let sum: f64 = (0..12).map(|_| net.draw()).sum();
    (median * ((sum - 6.0) * spread).exp()).round().max(1.0) as u32
}
