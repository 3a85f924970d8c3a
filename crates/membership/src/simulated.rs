//! Members over a network in simulated time, for tests and measurements: loss, delay, duplicates, cuts, pauses, kills.
//! One seed, one course of events.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

pub use bitternlatch_simulation::ms;
use bitternlatch_simulation::Network;

use crate::{Event, Membership, NameKey, Output, Peer, QuorumState, Roster, Secret, State};

/// Where a member is heard.
pub fn address(i: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 10_000 + i as u16)
}

/// A member's name.
pub fn name(i: usize) -> String {
    format!("d{i}")
}

/// The first so many.
pub fn roster(of: usize) -> Vec<Peer> {
    (0..of)
        .map(|i| Peer {
            name: name(i),
            address: address(i),
        })
        .collect()
}

/// One member's place; empty while its process is not there.
pub struct Node {
    /// The process; none while it does not run.
    pub member: Option<Membership>,
    /// Whether the process is paused: datagrams wait in its socket.
    pub paused: bool,
    inbox: Vec<(usize, Vec<u8>)>, // What waits in the socket of one that is paused.
}

/// Members, what is under way between them, and what they told.
pub struct World {
    /// The network between members.
    pub net: Network<Vec<u8>>,
    /// All members, by number.
    pub nodes: Vec<Node>,
    /// Events with their time and the member that reported them.
    pub events: Vec<(Duration, usize, Event)>,
    /// Longest datagram that was sent, bytes.
    pub longest: usize,
    /// All that was sent, bytes.
    pub bytes: u64,
    /// Everything ever sent, where kept.
    pub kept: Option<Vec<(usize, usize, Vec<u8>)>>,
    starts: u64,
}

impl World {
    /// So many members, all started at once.
    pub fn new(of: usize, seed: u64) -> World {
        let node = || Node {
            member: None,
            paused: false,
            inbox: vec![],
        };
        let mut world = World {
            net: Network::new(seed),
            nodes: (0..of).map(|_| node()).collect(),
            events: vec![],
            longest: 0,
            bytes: 0,
            kept: None,
            starts: 0,
        };
        (0..of).for_each(|i| world.start(i));
        world
    }

    /// Starts a process anew, with nothing of the last one.
    pub fn start(&mut self, i: usize) {
        self.start_as(i, i);
    }

    /// Starts one at an address, under the name of another.
    pub fn start_as(&mut self, i: usize, named: usize) {
        let seed = self.net.draw_bits();
        self.starts += 1;
        let mut peers = roster(self.nodes.len());
        peers[named].address = address(i);
        // Names are made to differ, and the own one is among them.
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

    /// Ends a process between two instructions.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i].member = None;
    }

    /// Brings a datagram to a member now.
    pub fn deliver(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let (now, node) = (self.net.now, &mut self.nodes[to]);
        match &mut node.member {
            Some(_) if node.paused => node.inbox.push((from, bytes)),
            Some(member) => {
                let mut out = vec![];
                member.handle_datagram(now, address(from), &bytes, &mut out);
                self.carry(to, out);
            }
            None => {}
        }
    }

    /// Lets a paused process go on; its clock stands where all others' do.
    pub fn go_on(&mut self, i: usize) {
        self.nodes[i].paused = false;
        for (from, bytes) in std::mem::take(&mut self.nodes[i].inbox) {
            self.deliver(from, i, bytes);
        }
    }

    /// Carries out what a member wants.
    pub fn carry(&mut self, me: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Event(event) => self.events.push((self.net.now, me, event)),
                Output::Message { .. } => {}
                Output::Send(to, bytes) => self.send(me, usize::from(to.port()) - 10_000, bytes),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.longest = self.longest.max(bytes.len());
        self.bytes += bytes.len() as u64;
        if let Some(kept) = &mut self.kept {
            kept.push((from, to, bytes.clone()));
        }
        self.net.send(from, to, bytes);
    }

    /// Lets time pass.
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
                self.carry(i, out);
            }
        }
        self.net.now = until;
    }

    /// None where its process is not there.
    pub fn standing(&self, i: usize) -> Option<QuorumState> {
        self.nodes[i].member.as_ref().map(Membership::quorum_state)
    }

    /// What one member holds of another.
    pub fn state(&self, of: usize, at: usize) -> Option<State> {
        let view = self.nodes[at].member.as_ref()?.view();
        view.members
            .iter()
            .find(|m| m.name == name(of))
            .map(|m| m.state)
    }

    /// Whether all that are there know of the whole.
    pub fn all_whole(&self) -> bool {
        let alive = self.nodes.iter().filter_map(|n| n.member.as_ref());
        alive
            .map(Membership::quorum_state)
            .all(|s| s == QuorumState::Whole)
    }

    /// Times at which members were taken for down, by whom and since a moment.
    pub fn downs(&self, of: usize, since: Duration) -> Vec<(Duration, usize)> {
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
