//! The thread that receives and sends datagrams, and wakes the member when its timers are due.

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
use crate::routes::{Incoming, Routes};
use crate::seeds;
use crate::service::{ServiceContext, ServiceHandle, StopService, Store};
use crate::start;
use crate::status::{self, ClusterStatus};

/// Maximum wait for a datagram, so that the thread notices a stop request.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Accepted size of the file with the cluster secret, bytes.
const SECRET_FILE_BYTES: std::ops::RangeInclusive<u64> = 16..=4096;

/// Interval at which the dispatcher is notified of the quorum state again.
const QUORUM_NOTIFY_INTERVAL: Duration = Duration::from_millis(200);
/// How long a notification of the quorum state is valid: less than peers take to declare a member down.
const QUORUM_VALID_FOR: Duration = Duration::from_millis(900);

/// An event that the runtime passes to the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum ClusterEvent {
    /// A quorum state, a quota lease or reports on servers. A lost quorum state or report is followed by a newer one.
    Input(Input),
    /// Another process with the same member name started later, so this one must stop.
    Fenced,
}

/// The running cluster membership of one dispatcher.
pub struct ClusterRuntime {
    cluster_member: Arc<Mutex<ClusterMember>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    service_context: ServiceContext,
    /// Stops the services, one function each.
    service_stops: Vec<StopService>,
}

struct Loop {
    socket: UdpSocket,
    clock: Clock,
    cluster_member: Arc<Mutex<ClusterMember>>,
    stop: Arc<AtomicBool>,
    routes: Arc<Routes>,
    name: String,
    /// The start number of this process.
    start_number: u64,
    /// The file that stores the latest start number, if any.
    start_number_path: Option<PathBuf>,
}

pub(crate) fn read_secret(path: &Path) -> Result<Vec<u8>, ClusterNetError> {
    let unread = |error| ClusterNetError::Secret {
        path: path.to_path_buf(),
        error,
    };
    let bytes = std::fs::metadata(path).map_err(unread)?.len();
    if !SECRET_FILE_BYTES.contains(&bytes) {
        let (path, min, max) = (
            path.to_path_buf(),
            *SECRET_FILE_BYTES.start(),
            *SECRET_FILE_BYTES.end(),
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

/// The configuration of a member, from the settings and the secret file.
struct MemberConfig {
    roster: Roster,
    secret: Secret,
    address: SocketAddrV4,
}

impl MemberConfig {
    fn read(cluster: &Cluster, name: &str, base: &Path) -> Result<MemberConfig, ClusterNetError> {
        let peers = cluster.roster.iter().map(|peer| Peer {
            name: peer.name.clone(),
            address: peer.address,
        });
        let roster = Roster::new(name, &peers.collect::<Vec<_>>())?;
        let address = cluster
            .own_address(name)
            .ok_or(ClusterNetError::NoOwnAddress)?;
        let secret = Secret::new(&cluster.name, &read_secret(&base.join(&cluster.secret))?);
        Ok(MemberConfig {
            roster,
            secret,
            address,
        })
    }
}

impl ClusterRuntime {
    /// Checks that [`ClusterRuntime::join`] could use these settings and the secret file.
    ///
    /// # Errors
    /// If the secret, the roster or the own address cannot be used.
    pub fn check(cluster: &Cluster, name: &str, base: &Path) -> Result<(), ClusterNetError> {
        MemberConfig::read(cluster, name, base).map(|_| ())
    }

    /// Joins the cluster. Paths in the settings are relative to `base`. `on_event` is called from the runtime's thread,
    /// with the quorum state several times a second.
    ///
    /// # Errors
    /// If the secret, the stored start number, the roster or an address cannot be used.
    pub fn join(
        cluster: &Cluster,
        name: &str,
        base: &Path,
        mut on_event: impl FnMut(ClusterEvent) + Send + 'static,
    ) -> Result<ClusterRuntime, ClusterNetError> {
        let MemberConfig {
            roster,
            secret,
            address,
        } = MemberConfig::read(cluster, name, base)?;
        let bind_error = |kind| {
            move |error| ClusterNetError::Bind {
                kind,
                address,
                error,
            }
        };
        let socket = UdpSocket::bind(address).map_err(bind_error(EndpointKind::Datagrams))?;
        let listener = TcpListener::bind(address).map_err(bind_error(EndpointKind::Connections))?;
        // The start number is advanced only after both binds: a process that finds the address in use must not advance it.
        let start_number_path = cluster
            .incarnation_file
            .as_ref()
            .map(|file| base.join(file));
        let start_number = start::next_start_number(start_number_path.as_deref())?;
        let seed = getrandom::u64()?;
        let clock = Clock::start();
        let member = Membership::new(
            name,
            start_number,
            roster,
            secret.clone(),
            seed,
            now(&clock),
        );
        let routes = Arc::new(Routes::default());
        let links = Arc::new(Links::new(
            name,
            start_number,
            &secret,
            member.addresses(),
            Arc::clone(&routes),
        ));
        let cluster_member = ClusterMember::new(member, seed.rotate_left(32), now(&clock));
        let cluster_member = Arc::new(Mutex::new(cluster_member));
        let thread = |name: &str| std::thread::Builder::new().name(name.into());
        let thread_error = ClusterNetError::Thread;
        let (status_member, cluster_name, own_name) = (
            Arc::clone(&cluster_member),
            cluster.name.clone(),
            name.to_string(),
        );
        let status =
            move || ClusterStatus::of(&cluster_name, &own_name, &lock(&status_member), now(&clock));
        let (roster_config, roster_secret) = (cluster.clone(), secret.clone());
        let answer_roster =
            move |request: &str| seeds::answer(&roster_config, &roster_secret, request);
        let accepting_links = Arc::clone(&links);
        let link = move |reader| accepting_links.accept(reader);
        thread("views")
            .spawn(move || status::serve(&listener, status, answer_roster, link))
            .map_err(thread_error)?;
        let own_socket = socket
            .try_clone()
            .map_err(bind_error(EndpointKind::Datagrams))?;
        let service_context = ServiceContext {
            cluster_member: Arc::clone(&cluster_member),
            socket: own_socket,
            links,
            clock,
            routes: Arc::clone(&routes),
        };
        let stop = Arc::new(AtomicBool::new(false));
        let runtime_member = Arc::clone(&cluster_member);
        let (ended, name) = (Arc::clone(&stop), name.to_string());
        let runtime = Loop {
            socket,
            clock,
            cluster_member,
            stop: ended,
            routes,
            name,
            start_number,
            start_number_path,
        };
        let run = move || runtime.run(&mut on_event);
        let thread = thread("peers").spawn(run).map_err(thread_error)?;
        tracing::info!(cluster = cluster.name, %address, start = start_number, "joined the cluster");
        Ok(ClusterRuntime {
            cluster_member: runtime_member,
            stop,
            thread: Some(thread),
            service_context,
            service_stops: vec![],
        })
    }

    /// Returns a function that sets the dispatcher's observations of servers, which are reported to peers. It may be called from
    /// any thread.
    pub fn observation_sink(&self) -> impl Fn(Vec<ServerObservation>) + 'static {
        let cluster_member = Arc::clone(&self.cluster_member);
        move |observations| {
            let since_by_key = observations.into_iter().map(|observation| {
                let key = ObservationKey {
                    server: observation.server,
                    condition: observation.condition,
                };
                (key, Duration::from_micros(observation.since.0))
            });
            lock(&cluster_member)
                .quota_mut()
                .set_observations(since_by_key.collect());
        }
    }

    /// Starts a service, which receives the messages of its topic from now on. `on_event` is called from the service's thread.
    ///
    /// # Errors
    /// If the service's thread cannot be started or its socket cannot be cloned.
    pub fn add_service<B>(
        &mut self,
        service: B,
        store: Option<Box<dyn Store>>,
        on_event: impl FnMut(B::Event) + Send + 'static,
    ) -> Result<ServiceHandle<B::Request>, ClusterNetError>
    where
        B: ClusterService + Send + 'static,
        B::Request: Send + 'static,
        B::Event: 'static,
    {
        let (handle, stop) = self
            .service_context
            .start(service, store, on_event)
            .map_err(ClusterNetError::Thread)?;
        self.service_stops.push(stop);
        Ok(handle)
    }

    /// The identity of this process, and the names of all members of the roster.
    pub fn process_and_roster(&self) -> (Process, BTreeSet<NameKey>) {
        let cluster_member = lock(&self.cluster_member);
        let own = cluster_member.membership().own();
        (
            Process {
                name: own.name,
                start: own.start.process,
            },
            cluster_member.membership().roster(),
        )
    }

    /// The time by the runtime's clock, which is the time that services are stepped with.
    pub fn now(&self) -> Duration {
        now(&self.service_context.clock)
    }

    /// Stops the services, notifies the peers that this member leaves, and ends the runtime.
    pub fn leave(mut self) {
        self.service_stops.drain(..).for_each(|stop| stop());
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
    fn run(&self, on_event: &mut dyn FnMut(ClusterEvent)) {
        // One byte longer than the longest valid datagram, so that an overlong one is not truncated to a valid length.
        let mut buffer = [0u8; MAX_DATAGRAM + 1];
        let mut out = Vec::new();
        let mut notify_at = Duration::ZERO;
        let (mut notified_lease, mut logged_lease) = (QuotaLease::default(), QuotaLease::default());
        loop {
            let wake_at = lock(&self.cluster_member).wake_at();
            let wait = wake_at.map_or(STOP_POLL_INTERVAL, |at| {
                at.saturating_sub(now(&self.clock)).min(STOP_POLL_INTERVAL)
            });
            let received = self.receive(wait, &mut buffer);
            let mut cluster_member = lock(&self.cluster_member);
            match received {
                Some((SocketAddr::V4(from), n)) => {
                    cluster_member.handle_datagram(now(&self.clock), from, &buffer[..n], &mut out)
                }
                _ => cluster_member.wake(now(&self.clock), &mut out),
            }
            let at = now(&self.clock);
            let quorum_changed = out
                .iter()
                .any(|o| matches!(o, Output::Member(Event::QuorumState(_))));
            if quorum_changed || at >= notify_at {
                notify_at = at + QUORUM_NOTIFY_INTERVAL;
                let until = micros(at + QUORUM_VALID_FOR);
                let (quorum, present) = (
                    cluster_member.membership().quorum_state(),
                    cluster_member.membership().present_names(),
                );
                on_event(ClusterEvent::Input(Input::QuorumState {
                    state: quorum,
                    present,
                    until,
                }));
                let (present, lease) = (
                    cluster_member.membership().present(),
                    cluster_member.quota().lease(),
                );
                self.routes.send_peers_to_all(&Peers {
                    quorum,
                    present,
                    valid_until: at + QUORUM_VALID_FOR,
                    lease,
                });
            }
            let lease = cluster_member.quota().lease();
            if lease != notified_lease {
                notified_lease = lease;
                on_event(ClusterEvent::Input(Input::QuotaLease {
                    leased: lease.leased,
                    until: micros(lease.until),
                }));
            }
            logged_lease = self.log_lease(at, lease, logged_lease);
            let stop = self.stop.load(Ordering::SeqCst);
            if stop {
                cluster_member.leave(now(&self.clock), &mut out);
            }
            drop(cluster_member);
            self.apply_outputs(&mut out, on_event);
            if stop {
                return;
            }
        }
    }

    fn receive(&self, wait: Duration, buffer: &mut [u8]) -> Option<(SocketAddr, usize)> {
        let began = Instant::now();
        let wait = wait.max(Duration::from_millis(1));
        let received = self
            .socket
            .set_read_timeout(Some(wait))
            .and_then(|()| self.socket.recv_from(buffer));
        match received {
            Ok((n, from)) => Some((from, n)),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => None,
            Err(_) => {
                // An ICMP error from a peer's closed port is returned at once; the sleep keeps a broken socket from a busy loop.
                if began.elapsed() < Duration::from_millis(1) {
                    std::thread::sleep(Duration::from_millis(1));
                }
                None
            }
        }
    }

    fn apply_outputs(&self, out: &mut Vec<Output>, on_event: &mut dyn FnMut(ClusterEvent)) {
        for output in out.drain(..) {
            match output {
                // A datagram that cannot be sent counts as lost, which the protocol tolerates.
                Output::Send(to, bytes) => drop(self.socket.send_to(&bytes, to)),
                Output::Quota(Action::PeerReports { members, reports }) => {
                    on_event(ClusterEvent::Input(Input::PeerReports {
                        sent_at: self.clock.now(),
                        reporters: members,
                        reports,
                    }))
                }
                Output::Quota(action) => self.log_quota_action(&action),
                Output::Message {
                    topic,
                    from,
                    payload,
                } => self
                    .routes
                    .send(topic, Incoming::Datagram { from, payload }),
                Output::Member(event) => {
                    self.log(&event);
                    if let Event::Fenced(by) = event {
                        self.store_later_start_number(by.process);
                        on_event(ClusterEvent::Fenced);
                    }
                }
            }
        }
    }

    /// Logs a change of the leased fraction, with the time at which the previous lease would have expired. Renewals are not
    /// logged.
    fn log_lease(&self, at: Duration, lease: QuotaLease, logged: QuotaLease) -> QuotaLease {
        let leased = if at < lease.until { lease.leased } else { 0.0 };
        if leased != logged.leased {
            let before_until_us = micros(logged.until).0;
            tracing::info!(
                me = self.name,
                run = self.start_number,
                at_us = micros(at).0,
                lent = leased,
                before_until_us,
                "quota lease changed"
            );
        }
        QuotaLease {
            leased,
            until: lease.until,
        }
    }

    fn store_later_start_number(&self, later: u64) {
        if let Some(Err(error)) = self
            .start_number_path
            .as_ref()
            .map(|path| start::store_if_later(path, later))
        {
            tracing::warn!(%error, "cannot store the later start number; if the clock is set back, the next start may be taken for an earlier one");
        }
    }

    fn log_quota_action(&self, action: &Action) {
        let me = self.name.as_str();
        match action {
            Action::Send { .. } | Action::PeerReports { .. } => {}
            Action::Leader(true) => tracing::info!(me, "became leader; issues quota leases"),
            Action::Leader(false) => {
                tracing::info!(me, "no longer leader; stopped issuing quota leases")
            }
            Action::RosterMismatch(name) => {
                let peer = lock(&self.cluster_member).membership().name_of(*name);
                tracing::warn!(
                    me,
                    peer,
                    "peer was started with another roster; it and this member exchange no votes and no quota leases"
                )
            }
        }
    }

    fn log(&self, event: &Event) {
        let (me, at_us) = (self.name.as_str(), self.clock.now().0);
        match event {
            Event::Member { name, state, start } => {
                let peer_name = lock(&self.cluster_member).membership().name_of(*name);
                tracing::info!(me, at_us, peer = peer_name, state = ?state, start = start.process, "member changed state");
            }
            Event::QuorumState(quorum) => {
                tracing::warn!(me, at_us, standing = ?quorum, "quorum state changed")
            }
            Event::Paused(duration) => {
                tracing::warn!(
                    me,
                    at_us,
                    ms = duration.as_millis() as u64,
                    "this process was paused; deadlines of probes and suspicions are extended"
                )
            }
            Event::Rejoined(start) => {
                tracing::warn!(
                    me,
                    at_us,
                    comebacks = start.rejoins,
                    "peers had declared this member down; it has rejoined"
                )
            }
            Event::Fenced(by) => {
                tracing::error!(
                    me,
                    later = by.process,
                    "another process under this name started later; this process stops"
                )
            }
        }
    }
}
