//! A simulated cluster for tests and benchmarks: members in virtual time, over a network with loss, delay, duplication and
//! partitions, in processes that can be paused, killed and restarted. The same seed gives the same run.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

pub use bitternlatch_simulation::ms;
use bitternlatch_simulation::Network;

use crate::{Event, Membership, NameKey, Output, Peer, QuorumState, Roster, Secret, State};

/// The address of member `i`.
pub fn address(i: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 10_000 + i as u16)
}

/// The name of member `i`.
pub fn name(i: usize) -> String {
    format!("d{i}")
}

/// A roster of the first `size` members.
pub fn roster(size: usize) -> Vec<Peer> {
    (0..size)
        .map(|i| Peer {
            name: name(i),
            address: address(i),
        })
        .collect()
}

/// One simulated node, on which at most one process runs.
pub struct Node {
    /// The member's process; `None` while it is not running.
    pub member: Option<Membership>,
    /// Whether the process is paused: datagrams are queued in its socket, and its timers do not run.
    pub paused: bool,
    /// Datagrams queued in the socket during a pause, with their senders.
    inbox: Vec<(usize, Vec<u8>)>,
}

/// A simulated cluster: its nodes, its network and the events that members have reported.
pub struct World {
    /// The simulated network, which also keeps the virtual time.
    pub net: Network<Vec<u8>>,
    /// All nodes, by number.
    pub nodes: Vec<Node>,
    /// All reported events, each with its time and the node that reported it.
    pub events: Vec<(Duration, usize, Event)>,
    /// Length of the longest datagram sent, bytes.
    pub longest_datagram: usize,
    /// Total length of all datagrams sent, bytes.
    pub bytes_sent: u64,
    /// All datagrams sent, with sender and receiver; `None` where they are not recorded.
    pub recorded: Option<Vec<(usize, usize, Vec<u8>)>>,
    starts: u64,
}

impl World {
    /// Creates a cluster of `size` members, all started at time zero.
    pub fn new(size: usize, seed: u64) -> World {
        let node = || Node {
            member: None,
            paused: false,
            inbox: vec![],
        };
        let mut world = World {
            net: Network::new(seed),
            nodes: (0..size).map(|_| node()).collect(),
            events: vec![],
            longest_datagram: 0,
            bytes_sent: 0,
            recorded: None,
            starts: 0,
        };
        (0..size).for_each(|i| world.start(i));
        world
    }

    /// Starts a new process on node `i`, without any state of an earlier one.
    pub fn start(&mut self, i: usize) {
        self.start_as(i, i);
    }

    /// Starts a new process on node `i` under the name of member `named`.
    pub fn start_as(&mut self, i: usize, named: usize) {
        let seed = self.net.draw_bits();
        self.starts += 1;
        let mut peers = roster(self.nodes.len());
        peers[named].address = address(i);
        // Never fails: the names differ, and the own one is among them.
        let Ok(all) = Roster::new(&name(named), &peers) else {
            return;
        };
        let secret = Secret::new("hall", b"secret");
        let member = Membership::new(&name(named), self.starts, all, secret, seed, self.net.now);
        self.nodes[i] = Node {
            member: Some(member),
            paused: false,
            inbox: vec![],
        };
    }

    /// Kills the process on node `i`; it cannot announce that it leaves.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i].member = None;
    }

    /// Delivers a datagram to a node at the current time, or queues it if the node is paused.
    pub fn deliver(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let (now, node) = (self.net.now, &mut self.nodes[to]);
        match &mut node.member {
            Some(_) if node.paused => node.inbox.push((from, bytes)),
            Some(member) => {
                let mut out = vec![];
                member.handle_datagram(now, address(from), &bytes, &mut out);
                self.apply_outputs(to, out);
            }
            None => {}
        }
    }

    /// Resumes a paused process. Its clock did not stop during the pause.
    pub fn resume(&mut self, i: usize) {
        self.nodes[i].paused = false;
        for (from, bytes) in std::mem::take(&mut self.nodes[i].inbox) {
            self.deliver(from, i, bytes);
        }
    }

    /// Applies the outputs of the member on node `from`: sends datagrams and records events.
    pub fn apply_outputs(&mut self, from: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Event(event) => self.events.push((self.net.now, from, event)),
                Output::Message { .. } => {}
                Output::Send(to, bytes) => self.send(from, usize::from(to.port()) - 10_000, bytes),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.longest_datagram = self.longest_datagram.max(bytes.len());
        self.bytes_sent += bytes.len() as u64;
        if let Some(recorded) = &mut self.recorded {
            recorded.push((from, to, bytes.clone()));
        }
        self.net.send(from, to, bytes);
    }

    /// Runs the cluster until the given virtual time.
    pub fn run(&mut self, until: Duration) {
        loop {
            let datagram = self.net.next_at();
            let awake = self.nodes.iter().enumerate().filter(|(_, n)| !n.paused);
            let timers = awake.filter_map(|(i, n)| Some((n.member.as_ref()?.wake_at()?, i)));
            let timer = timers.min();
            let next = [datagram, timer.map(|t| t.0)].into_iter().flatten().min();
            let Some(next) = next.filter(|at| *at <= until) else {
                break;
            };
            self.net.now = self.net.now.max(next);
            if datagram == Some(next) {
                if let Some((from, to, bytes)) = self.net.arrive() {
                    self.deliver(from, to, bytes);
                }
            } else if let Some((_, i)) = timer {
                let mut out = vec![];
                let now = self.net.now;
                if let Some(member) = &mut self.nodes[i].member {
                    member.wake(now, &mut out);
                }
                self.apply_outputs(i, out);
            }
        }
        self.net.now = until;
    }

    /// The quorum state of the member on node `i`; `None` where no process is running.
    pub fn quorum_state(&self, i: usize) -> Option<QuorumState> {
        self.nodes[i].member.as_ref().map(Membership::quorum_state)
    }

    /// The state of member `of` as known on node `at`.
    pub fn state(&self, of: usize, at: usize) -> Option<State> {
        let view = self.nodes[at].member.as_ref()?.view();
        view.members
            .iter()
            .find(|m| m.name == name(of))
            .map(|m| m.state)
    }

    /// Whether every running member has the quorum state [`QuorumState::Whole`].
    pub fn all_see_whole_roster(&self) -> bool {
        let alive = self.nodes.iter().filter_map(|n| n.member.as_ref());
        alive
            .map(Membership::quorum_state)
            .all(|s| s == QuorumState::Whole)
    }

    /// The times at or after `since` at which member `of` was declared down, each with the node that reported it.
    pub fn down_events(&self, of: usize, since: Duration) -> Vec<(Duration, usize)> {
        let key = NameKey::of(&name(of));
        let down =
            |e: &Event| matches!(e, Event::Member { name, state: State::Down, .. } if *name == key);
        self.events
            .iter()
            .filter(|(at, _, e)| *at >= since && down(e))
            .map(|(at, by, _)| (*at, *by))
            .collect()
    }
}
