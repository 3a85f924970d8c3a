//! The thread that hears and speaks datagrams, and wakes the member when it wants.

use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bitternlatch_core::settings::Cluster;
use bitternlatch_core::{Input, Micros, ServerObservation};
use bitternlatch_membership::{Event, Membership, NameKey, Peer, Roster, Secret, MAX_DATAGRAM};
use bitternlatch_net::clock::Clock;
use bitternlatch_net::lock;
use bitternlatch_quota_lease::{
    Action, ClusterMember, ClusterService, ObservationKey, Output, Peers, Process, QuotaLease,
};

use crate::error::{ClusterNetError, EndpointKind};
use crate::links::Links;
use crate::routes::{Heard, Routes};
use crate::seeds;
use crate::service::{End, ServiceContext, ServiceHandle, Store};
use crate::start;
use crate::status::{self, ClusterStatus};

/// Longest wait for a datagram, so that a stop is seen.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Bounds of the secret's file, bytes.
const SECRET_BYTES: std::ops::RangeInclusive<u64> = 16..=4096;

/// How often the standing is told again, and how long what was told counts: less than peers take to give one up.
const TELL_EVERY: Duration = Duration::from_millis(200);
const COUNTS_FOR: Duration = Duration::from_millis(900);

/// What the dispatcher is told.
#[derive(Clone, Debug, PartialEq)]
pub enum ClusterEvent {
    /// Of standing, parts and hosts: one that is not taken in time is followed by another.
    Input(Input),
    /// Another process under this name started later.
    Fenced,
}

/// One dispatcher's part in the cluster, running.
pub struct ClusterRuntime {
    whole: Arc<Mutex<ClusterMember>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    ground: ServiceContext,
    /// Machines beside it.
    beside: Vec<End>,
}

struct Loop {
    socket: UdpSocket,
    clock: Clock,
    whole: Arc<Mutex<ClusterMember>>,
    stop: Arc<AtomicBool>,
    routes: Arc<Routes>,
    name: String,
    /// The number of this start, and where the latest is kept.
    run: u64,
    kept: Option<PathBuf>,
}

pub(crate) fn read_secret(path: &Path) -> Result<Vec<u8>, ClusterNetError> {
    let unread = |error| ClusterNetError::Secret {
        path: path.to_path_buf(),
        error,
    };
    let bytes = std::fs::metadata(path).map_err(unread)?.len();
    if !SECRET_BYTES.contains(&bytes) {
        let (path, min, max) = (
            path.to_path_buf(),
            *SECRET_BYTES.start(),
            *SECRET_BYTES.end(),
        );
        return Err(ClusterNetError::SecretSize {
            path,
            bytes,
            min,
            max,
        });
    }
    std::fs::read(path).map_err(unread)
}

/// What a member needs of its settings and files.
struct Papers {
    roster: Roster,
    secret: Secret,
    address: SocketAddrV4,
}

impl Papers {
    fn read(cluster: &Cluster, name: &str, base: &Path) -> Result<Papers, ClusterNetError> {
        let peers = cluster.roster.iter().map(|p| Peer {
            name: p.name.clone(),
            address: p.address,
        });
        let roster = Roster::new(name, &peers.collect::<Vec<_>>())?;
        let address = cluster
            .own_address(name)
            .ok_or(ClusterNetError::NoOwnAddress)?;
        let secret = Secret::new(&cluster.name, &read_secret(&base.join(&cluster.secret))?);
        Ok(Papers {
            roster,
            secret,
            address,
        })
    }
}

impl ClusterRuntime {
    /// Whether [`ClusterRuntime::join`] could use these settings and the secret's file.
    ///
    /// # Errors
    /// Where not, and why.
    pub fn check(cluster: &Cluster, name: &str, base: &Path) -> Result<(), ClusterNetError> {
        Papers::read(cluster, name, base).map(|_| ())
    }

    /// Joins the cluster; paths are relative to `base`. `told` is called from the runtime's thread, with the
    /// standing several times a second.
    ///
    /// # Errors
    /// Where the secret, the kept start, the roster or an address cannot be used.
    pub fn join(
        cluster: &Cluster,
        name: &str,
        base: &Path,
        mut told: impl FnMut(ClusterEvent) + Send + 'static,
    ) -> Result<ClusterRuntime, ClusterNetError> {
        let Papers {
            roster,
            secret,
            address,
        } = Papers::read(cluster, name, base)?;
        let bind_error = |kind| {
            move |error| ClusterNetError::Bind {
                kind,
                address,
                error,
            }
        };
        let socket = UdpSocket::bind(address).map_err(bind_error(EndpointKind::Datagrams))?;
        let listener = TcpListener::bind(address).map_err(bind_error(EndpointKind::Connections))?;
        // Only now: a start that finds its address taken must not count.
        let kept = cluster.incarnation_file.as_ref().map(|k| base.join(k));
        let process = start::number(kept.as_deref())?;
        let seed = getrandom::u64()?;
        let clock = Clock::start();
        let member = Membership::new(name, process, roster, secret.clone(), seed, now(&clock));
        let routes = Arc::new(Routes::default());
        let links = Arc::new(Links::new(
            name,
            process,
            &secret,
            member.addresses(),
            Arc::clone(&routes),
        ));
        let whole = ClusterMember::new(member, seed.rotate_left(32), now(&clock));
        let whole = Arc::new(Mutex::new(whole));
        let thread = |what: &str| std::thread::Builder::new().name(what.into());
        let no_thread = ClusterNetError::Thread;
        let (seen, cluster_name, own) =
            (Arc::clone(&whole), cluster.name.clone(), name.to_string());
        let view = move || ClusterStatus::of(&cluster_name, &own, &lock(&seen), now(&clock));
        let (own_roster, proven) = (cluster.clone(), secret.clone());
        let other = move |question: &str| seeds::answer(&own_roster, &proven, question);
        let doors = Arc::clone(&links);
        let link = move |reader| doors.accept(reader);
        thread("views")
            .spawn(move || status::serve(&listener, view, other, link))
            .map_err(no_thread)?;
        let own_socket = socket
            .try_clone()
            .map_err(bind_error(EndpointKind::Datagrams))?;
        let ground = ServiceContext {
            whole: Arc::clone(&whole),
            socket: own_socket,
            links,
            clock,
            routes: Arc::clone(&routes),
        };
        let stop = Arc::new(AtomicBool::new(false));
        let ear = Arc::clone(&whole);
        let (ended, name) = (Arc::clone(&stop), name.to_string());
        let runtime = Loop {
            socket,
            clock,
            whole,
            stop: ended,
            routes,
            name,
            run: process,
            kept,
        };
        let run = move || runtime.run(&mut told);
        let thread = thread("peers").spawn(run).map_err(no_thread)?;
        tracing::info!(cluster = cluster.name, %address, start = process, "in the cluster");
        Ok(ClusterRuntime {
            whole: ear,
            stop,
            thread: Some(thread),
            ground,
            beside: vec![],
        })
    }

    /// Takes what the dispatcher sees of hosts, for its peers; from any thread.
    pub fn observation_sink(&self) -> impl Fn(Vec<ServerObservation>) + 'static {
        let whole = Arc::clone(&self.whole);
        move |seen| {
            let dated = seen.into_iter().map(|observation| {
                let key = ObservationKey {
                    server: observation.server,
                    condition: observation.condition,
                };
                (key, Duration::from_micros(observation.since.0))
            });
            lock(&whole).quota_mut().set_observations(dated.collect());
        }
    }

    /// Runs a machine beside it, which hears its topic from now on; `told` is called from the machine's thread.
    ///
    /// # Errors
    /// Where there is no thread or socket for it.
    pub fn add_service<B>(
        &mut self,
        machine: B,
        store: Option<Box<dyn Store>>,
        told: impl FnMut(B::Event) + Send + 'static,
    ) -> Result<ServiceHandle<B::Request>, ClusterNetError>
    where
        B: ClusterService + Send + 'static,
        B::Request: Send + 'static,
        B::Event: 'static,
    {
        let (handle, end) = self
            .ground
            .start(machine, store, told)
            .map_err(ClusterNetError::Thread)?;
        self.beside.push(end);
        Ok(handle)
    }

    /// Who this process is among the members, and all that there should be.
    pub fn process_and_roster(&self) -> (Process, BTreeSet<NameKey>) {
        let whole = lock(&self.whole);
        let own = whole.membership().own();
        (
            Process {
                name: own.name,
                start: own.start.process,
            },
            whole.membership().roster(),
        )
    }

    /// The time by its clock, which machines beside it are stepped by.
    pub fn now(&self) -> Duration {
        now(&self.ground.clock)
    }

    /// Ends the machines beside it, says farewell to the peers and ends.
    pub fn leave(mut self) {
        self.beside.drain(..).for_each(|end| end());
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

pub(crate) fn now(clock: &Clock) -> Duration {
    Duration::from_micros(clock.now().0)
}

fn micros(at: Duration) -> Micros {
    Micros(at.as_micros() as u64)
}

impl Loop {
    fn run(&self, told: &mut dyn FnMut(ClusterEvent)) {
        // One more than any datagram of ours, so that a longer one is seen to be longer.
        let mut buffer = [0u8; MAX_DATAGRAM + 1];
        let mut out = Vec::new();
        let mut tell_at = Duration::ZERO;
        let (mut told_part, mut said) = (QuotaLease::default(), QuotaLease::default());
        loop {
            let wake_at = lock(&self.whole).wake_at();
            let wait = wake_at.map_or(LOOK_EVERY, |at| {
                at.saturating_sub(now(&self.clock)).min(LOOK_EVERY)
            });
            let heard = self.hear(wait, &mut buffer);
            let mut whole = lock(&self.whole);
            match heard {
                Some((SocketAddr::V4(from), n)) => {
                    whole.handle_datagram(now(&self.clock), from, &buffer[..n], &mut out)
                }
                _ => whole.wake(now(&self.clock), &mut out),
            }
            let at = now(&self.clock);
            let news = out
                .iter()
                .any(|o| matches!(o, Output::Member(Event::QuorumState(_))));
            if news || at >= tell_at {
                tell_at = at + TELL_EVERY;
                let until = micros(at + COUNTS_FOR);
                let (standing, there) = (
                    whole.membership().quorum_state(),
                    whole.membership().present_names(),
                );
                told(ClusterEvent::Input(Input::QuorumState {
                    state: standing,
                    present: there,
                    until,
                }));
                let (there, part) = (whole.membership().present(), whole.quota().lease());
                self.routes.tell_all(&Peers {
                    quorum: standing,
                    present: there,
                    valid_until: at + COUNTS_FOR,
                    lease: part,
                });
            }
            let part = whole.quota().lease();
            if part != told_part {
                told_part = part;
                told(ClusterEvent::Input(Input::QuotaLease {
                    leased: part.leased,
                    until: micros(part.until),
                }));
            }
            said = self.log_part(at, part, said);
            let stop = self.stop.load(Ordering::SeqCst);
            if stop {
                whole.leave(now(&self.clock), &mut out);
            }
            drop(whole);
            self.carry(&mut out, told);
            if stop {
                return;
            }
        }
    }

    fn hear(&self, wait: Duration, buffer: &mut [u8]) -> Option<(SocketAddr, usize)> {
        let began = Instant::now();
        let wait = wait.max(Duration::from_millis(1));
        let heard = self
            .socket
            .set_read_timeout(Some(wait))
            .and_then(|()| self.socket.recv_from(buffer));
        match heard {
            Ok((n, from)) => Some((from, n)),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => None,
            Err(_) => {
                // A peer's closed port comes back as an error at once; a broken socket must not spin.
                if began.elapsed() < Duration::from_millis(1) {
                    std::thread::sleep(Duration::from_millis(1));
                }
                None
            }
        }
    }

    fn carry(&self, out: &mut Vec<Output>, told: &mut dyn FnMut(ClusterEvent)) {
        for output in out.drain(..) {
            match output {
                // A datagram that cannot be sent is as good as lost, which the protocol bears.
                Output::Send(to, bytes) => drop(self.socket.send_to(&bytes, to)),
                Output::Quota(Action::PeerReports { members, reports }) => {
                    told(ClusterEvent::Input(Input::PeerReports {
                        sent_at: self.clock.now(),
                        reporters: members,
                        reports,
                    }))
                }
                Output::Quota(agreed) => self.log_agreed(&agreed),
                Output::Message {
                    topic,
                    from,
                    payload,
                } => self.routes.tell(
                    topic,
                    Heard::Said {
                        from,
                        said: payload,
                    },
                ),
                Output::Member(event) => {
                    self.log(&event);
                    if let Event::Fenced(by) = event {
                        self.keep_later(by.process);
                        told(ClusterEvent::Fenced);
                    }
                }
            }
        }
    }

    /// A line where what may be spent has changed, with the time until which the part before would have counted; renewals are none.
    fn log_part(&self, at: Duration, part: QuotaLease, said: QuotaLease) -> QuotaLease {
        let lent = if at < part.until { part.leased } else { 0.0 };
        if lent != said.leased {
            let before_until_us = micros(said.until).0;
            tracing::info!(
                me = self.name,
                run = self.run,
                at_us = micros(at).0,
                lent,
                before_until_us,
                "its part of what all share"
            );
        }
        QuotaLease {
            leased: lent,
            until: part.until,
        }
    }

    fn keep_later(&self, later: u64) {
        if let Some(Err(error)) = self.kept.as_ref().map(|path| start::raise(path, later)) {
            tracing::warn!(%error, "the later start's number cannot be kept; a start with a clock set back may be taken for an earlier one");
        }
    }

    fn log_agreed(&self, agreed: &Action) {
        let me = self.name.as_str();
        match agreed {
            Action::Send { .. } | Action::PeerReports { .. } => {}
            Action::Leader(true) => tracing::info!(me, "lends parts of what all share"),
            Action::Leader(false) => tracing::info!(me, "lends parts no more"),
            Action::RosterMismatch(name) => {
                let peer = lock(&self.whole).membership().name_of(*name);
                tracing::warn!(
                    me,
                    peer,
                    "was started with another roster; both spend carefully, apart from each other"
                )
            }
        }
    }

    fn log(&self, event: &Event) {
        let (me, at_us) = (self.name.as_str(), self.clock.now().0);
        match event {
            Event::Member { name, state, start } => {
                let named = lock(&self.whole).membership().name_of(*name);
                tracing::info!(me, at_us, peer = named, state = ?state, start = start.process, "a member");
            }
            Event::QuorumState(standing) => {
                tracing::warn!(me, at_us, standing = ?standing, "standing")
            }
            Event::Paused(d) => {
                tracing::warn!(
                    me,
                    at_us,
                    ms = d.as_millis() as u64,
                    "stood still; doubts itself first"
                )
            }
            Event::Rejoined(start) => {
                tracing::warn!(
                    me,
                    at_us,
                    comebacks = start.rejoins,
                    "had been given up by peers; is back"
                )
            }
            Event::Fenced(by) => {
                tracing::error!(
                    me,
                    later = by.process,
                    "another process under this name started later; this one stops"
                )
            }
        }
    }
}
