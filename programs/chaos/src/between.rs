//! What lies between dispatchers: whatever is sent to one of them passes a socket of this program's own, which drops,
//! delays and doubles as it is told. Who sent it stands in its envelope. Connections pass another, which reads who asks from the
//! first line: cut ones stay open and silent, slow ones trickle.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bitternlatch_membership::{claimed_sender, NameKey};
use bitternlatch_net::lock;
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::links;
use crate::process::own_address;

/// Datagrams that may be under way on one path; past it new ones are lost, as in a full queue.
const UNDER_WAY: usize = 4096;
const LOOK_EVERY: Duration = Duration::from_millis(20);
const LONGEST: usize = 2048;

/// What is done to the datagrams of one direction between two members.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rule {
    pub cut: bool,
    /// Shares, 0 to 1.
    pub lost: f64,
    pub twice: f64,
    /// Seconds: always, and up to so much more, by which datagrams overtake each other.
    pub delay_s: f64,
    pub jitter_s: f64,
    /// Bytes a second that a slow link carries; 0 is no bound. What does not fit waits its turn.
    pub bytes_s: f64,
}

impl Rule {
    /// How long a slow link is busy with so many bytes.
    pub(crate) fn busy_with(&self, bytes: usize) -> Duration {
        let seconds = if self.bytes_s > 0.0 {
            bytes as f64 / self.bytes_s
        } else {
            0.0
        };
        Duration::from_secs_f64(seconds.min(60.0))
    }
}

/// All paths between some members, by number.
pub struct Between {
    fronts: Vec<SocketAddrV4>,
    rules: Rules,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// By sender and receiver.
pub(crate) type Rules = Arc<Mutex<BTreeMap<(usize, usize), Rule>>>;

/// What lies before one member.
struct Relay {
    socket: UdpSocket,
    to: (usize, SocketAddrV4),
    names: BTreeMap<NameKey, usize>,
    rules: Rules,
    stop: Arc<AtomicBool>,
    random: Xoshiro256PlusPlus,
    under_way: BTreeMap<(Instant, u64), Vec<u8>>,
    /// When the slow link from each sender is free again.
    busy: BTreeMap<Option<usize>, Instant>,
    count: u64,
}

impl Between {
    /// Before each of these members, by name and by where it listens; `seed` draws what is lost.
    ///
    /// # Errors
    /// Where the system gives no socket or thread.
    pub fn start(members: &[(String, SocketAddrV4)], seed: u64) -> io::Result<Between> {
        let names: BTreeMap<_, _> = members
            .iter()
            .enumerate()
            .map(|(i, m)| (NameKey::of(&m.0), i))
            .collect();
        let (stop, rules) = (Arc::<AtomicBool>::default(), Rules::default());
        let mut between = Between {
            fronts: vec![],
            rules,
            stop,
            threads: vec![],
        };
        for (to, (_, address)) in members.iter().enumerate() {
            let front = own_address(7911);
            let socket = UdpSocket::bind(front)?;
            let listener = TcpListener::bind(front)?;
            if let SocketAddr::V4(front) = socket.local_addr()? {
                between.fronts.push(front);
            }
            let relay = Relay {
                socket,
                to: (to, *address),
                names: names.clone(),
                rules: Arc::clone(&between.rules),
                stop: Arc::clone(&between.stop),
                random: Xoshiro256PlusPlus::seed_from_u64(seed ^ to as u64),
                under_way: BTreeMap::new(),
                busy: BTreeMap::new(),
                count: 0,
            };
            let door = links::Door {
                to: (to, *address),
                names: names.clone(),
                rules: Arc::clone(&between.rules),
                stop: Arc::clone(&between.stop),
            };
            let thread = std::thread::Builder::new().name(format!("links to {to}"));
            between
                .threads
                .push(thread.spawn(move || door.run(&listener))?);
            let thread = std::thread::Builder::new().name(format!("before {to}"));
            between.threads.push(thread.spawn(move || relay.run())?);
        }
        Ok(between)
    }

    /// Where others have to send what is meant for a member.
    pub fn front(&self, of: usize) -> Option<SocketAddrV4> {
        self.fronts.get(of).copied()
    }

    /// Sets what is done in one direction.
    pub fn set(&self, from: usize, to: usize, rule: Rule) {
        lock(&self.rules).insert((from, to), rule);
    }

    /// Sets what is done between those inside a group and those outside, in both directions.
    pub fn part(&self, group: &[usize], rule: Rule) {
        self.set_where(rule, |from, to| {
            group.contains(&from) != group.contains(&to)
        });
    }

    /// Sets what is done everywhere.
    pub fn all(&self, rule: Rule) {
        self.set_where(rule, |_, _| true);
    }

    fn set_where(&self, rule: Rule, fits: impl Fn(usize, usize) -> bool) {
        let all = 0..self.fronts.len();
        let pairs = all
            .clone()
            .flat_map(|from| all.clone().map(move |to| (from, to)));
        pairs
            .filter(|(from, to)| fits(*from, *to))
            .for_each(|(from, to)| self.set(from, to, rule));
    }
}

impl Drop for Between {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads
            .drain(..)
            .for_each(|thread| drop(thread.join()));
    }
}

impl Relay {
    fn run(mut self) {
        let mut buffer = [0u8; LONGEST];
        while !self.stop.load(Ordering::SeqCst) {
            let due = self
                .under_way
                .keys()
                .next()
                .map(|k| k.0.saturating_duration_since(Instant::now()));
            let wait = due
                .unwrap_or(LOOK_EVERY)
                .clamp(Duration::from_millis(1), LOOK_EVERY);
            let heard = self
                .socket
                .set_read_timeout(Some(wait))
                .and_then(|()| self.socket.recv_from(&mut buffer));
            match heard {
                Ok((n, _)) => self.take(&buffer[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                // The other side's port is closed for now.
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
            self.forward();
        }
    }

    fn draw(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn take(&mut self, datagram: &[u8]) {
        // Noise passes as it is: there is no rule for who cannot be named.
        let from = claimed_sender(datagram).and_then(|name| self.names.get(&name).copied());
        let rule = from
            .and_then(|from| lock(&self.rules).get(&(from, self.to.0)).copied())
            .unwrap_or_default();
        let copies = if self.draw() < rule.twice { 2 } else { 1 };
        for _ in 0..copies {
            let (lost, late) = (self.draw() < rule.lost, self.draw() * rule.jitter_s);
            if rule.cut || lost || self.under_way.len() >= UNDER_WAY {
                continue;
            }
            self.count += 1;
            let now = Instant::now();
            let free = self.busy.get(&from).copied().unwrap_or(now).max(now);
            let free = free + rule.busy_with(datagram.len());
            self.busy.insert(from, free);
            let at = free + Duration::from_secs_f64((rule.delay_s + late).max(0.0));
            self.under_way.insert((at, self.count), datagram.to_vec());
        }
    }

    fn forward(&mut self) {
        while let Some(first) = self
            .under_way
            .first_entry()
            .filter(|e| e.key().0 <= Instant::now())
        {
            // A closed port is the receiver's affair.
            let _ = self.socket.send_to(&first.remove(), self.to.1);
        }
    }
}
