//! The protocol of one member: passes datagrams and clock readings to the failure detector, and reports changes of
//! membership as events.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use foca::{AccumulatingRuntime, Foca, Member, NoCustomBroadcast};
use rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::datagram_auth::{word, Kind, RejectReason, Secret, Sender, Signer, Topic, Verifier};
use crate::detector_config::detector_config;
use crate::incarnation_watch::IncarnationWatch;
use crate::member::{Id, NameKey, Start};
use crate::member_table::{MemberRecord, MemberTable};
use crate::quorum::QuorumState;
use crate::quorum_tracker::QuorumTracker;
use crate::roster::Roster;
use crate::suspicion::SuspectNotifications;
use crate::timers::Timers;
use crate::view::{MemberView, RejectCounts, State, View};

/// Time between two attempts to contact a member of the roster that is not present; such members take turns.
const CONTACT_INTERVAL: Duration = Duration::from_millis(500);
/// Lateness of a timer from which this process counts as having been paused, or as too slow to suspect others.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(250);
/// Length of a pause after which peers count as present only once something is received from them again, because they
/// may have declared this member down meanwhile.
const DISTRUST_AFTER_PAUSE: Duration = Duration::from_millis(900);
/// Time allowed after a pause for reading the datagrams that were queued in the socket meanwhile.
const SOCKET_DRAIN_TIME: Duration = Duration::from_millis(200);
/// Length of the payload of [`Kind::Replaced`], bytes: the name's short form and the later start.
const REPLACED_BYTES: usize = 12;

/// A change in the cluster or in this member's part in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The state, address or start of another member has changed.
    Member {
        /// Short form of the member's name.
        name: NameKey,
        /// The member's current state.
        state: State,
        /// The start of the member's process that the state is about.
        start: Start,
    },
    /// The quorum state has changed.
    QuorumState(QuorumState),
    /// This process was paused for this long. The deadlines of pending probes and suspicions are extended by that time.
    Paused(Duration),
    /// Peers had declared this member down, and it has rejoined with this start.
    Rejoined(Start),
    /// A process with this later start runs under the same name; this process sends nothing any more.
    Fenced(Start),
}

/// An output of [`Membership`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Sends a datagram to an address.
    Send(SocketAddrV4, Vec<u8>),
    /// Reports a change.
    Event(Event),
    /// Delivers a message of another service: authenticated, not a replay, and sent by the latest known start of the
    /// sender.
    Message {
        /// The service that the message belongs to.
        topic: Topic,
        /// Short form of the sender's name.
        name: NameKey,
        /// Number of the start of the sender's process.
        start: u64,
        /// The message.
        payload: Vec<u8>,
    },
}

pub(crate) type Detector = Foca<Id, IncarnationWatch, Xoshiro256PlusPlus, NoCustomBroadcast>;

/// The membership protocol state of one member. All times are by its own clock.
pub struct Membership {
    pub(crate) detector: Detector,
    pub(crate) runtime: AccumulatingRuntime<Id>,
    pub(crate) signer: Signer,
    pub(crate) suspect_notifications: SuspectNotifications,
    verifier: Verifier,
    rejected: RejectCounts,
    roster: Roster,
    table: MemberTable,
    timers: Timers,
    quorum: QuorumTracker,
    contact_at: Duration,
    /// The member that was contacted last; the next one in the order of names has the next turn.
    last_contact: Option<NameKey>,
    /// The latest start received under the own name.
    own_name_start: Arc<AtomicU64>,
    fenced_by: Option<Start>,
    left: bool,
}

impl Membership {
    /// Creates the member `name`, at the address that the roster gives. `process` is the number of this start, greater than
    /// that of any earlier start under the name.
    pub fn new(
        name: &str,
        process: u64,
        roster: Roster,
        secret: Secret,
        seed: u64,
        now: Duration,
    ) -> Self {
        let name = NameKey::of(name);
        let unspecified = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
        let start = Start {
            process,
            rejoins: 0,
        };
        let own = Id {
            name,
            address: roster.0.get(&name).map_or(unspecified, |peer| peer.address),
            start,
        };
        let others = roster.0.keys().filter(|key| **key != name).copied();
        let table = MemberTable::new(others, now);
        let own_name_start = Arc::new(AtomicU64::new(0));
        let codec = IncarnationWatch {
            own: name,
            latest: Arc::clone(&own_name_start),
        };
        let random = Xoshiro256PlusPlus::seed_from_u64(seed);
        Membership {
            detector: Foca::new(own, detector_config(), random, codec),
            runtime: AccumulatingRuntime::new(),
            signer: Signer::new(secret, name, process),
            suspect_notifications: SuspectNotifications::default(),
            verifier: Verifier::default(),
            rejected: RejectCounts::new(),
            table,
            timers: Timers::default(),
            quorum: QuorumTracker::new(roster.0.len()),
            roster,
            contact_at: now,
            last_contact: None,
            own_name_start,
            fenced_by: None,
            left: false,
        }
    }

    fn is_silent(&self) -> bool {
        self.left || self.fenced_by.is_some()
    }

    /// When [`Membership::wake`] is due at the latest; `None` once this member has left or is fenced.
    pub fn wake_at(&self) -> Option<Duration> {
        if self.is_silent() {
            return None;
        }
        let due = [
            Some(self.contact_at),
            self.timers.next_at(),
            self.quorum.settles_at(),
            self.table.suspect_until(),
            self.suspect_notifications.next(),
        ];
        due.into_iter().flatten().min()
    }

    /// Handles a datagram that was received from an address.
    pub fn handle_datagram(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) {
        if self.is_silent() {
            return;
        }
        // Runs overdue timers first. If none is due, nothing can have changed since the last step.
        if self.wake_at().is_some_and(|at| at <= now) {
            self.wake(now, out);
        }
        let verified = self.verifier.verify(&self.signer, bytes);
        if let Ok((sender, _)) = &verified {
            // Only members of the roster are recorded, which bounds the table.
            if self.roster.0.contains_key(&sender.name) {
                self.quorum.on_received(now, sender.name);
            }
        }
        let handled = verified.and_then(|(sender, payload)| self.dispatch(sender, payload, out));
        if let Err(reason) = handled {
            if let RejectReason::OldStart(name, later) = reason {
                self.notify_replaced(name, later, from, out);
            }
            *self.rejected.entry(reason.without_sender()).or_default() += 1;
        }
        let latest = self.own_name_start.load(Ordering::Relaxed);
        if latest > self.detector.identity().start.process {
            let by = Start {
                process: latest,
                rejoins: 0,
            };
            self.fence(by, out);
        } else {
            self.settle(now, out);
        }
    }

    /// Notifies a process that a later one runs under its name, at the address that it sent from and at the address in the
    /// roster.
    fn notify_replaced(
        &mut self,
        name: NameKey,
        later: u64,
        from: SocketAddrV4,
        out: &mut Vec<Output>,
    ) {
        let listed = self.roster.0.get(&name).map(|peer| peer.address);
        let listed = listed.filter(|address| *address != from);
        let payload = [&name.0.to_le_bytes()[..], &later.to_le_bytes()].concat();
        for to in [Some(from), listed].into_iter().flatten() {
            let datagram = self.signer.sign(Kind::Replaced, &payload);
            out.push(Output::Send(to, datagram));
        }
    }

    fn dispatch(
        &mut self,
        sender: Sender,
        payload: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), RejectReason> {
        let own = self.detector.identity().name;
        match sender.kind {
            Kind::Replaced => {
                let later = read_replaced(own, payload)?;
                self.own_name_start.fetch_max(later, Ordering::Relaxed);
                Ok(())
            }
            _ if sender.name == own => {
                let start = sender.process;
                self.own_name_start.fetch_max(start, Ordering::Relaxed);
                Ok(())
            }
            Kind::Suspicion => self.refute_suspicion(sender.name, payload, out),
            Kind::Refutation => self.on_suspicion_refuted(sender.name, payload),
            Kind::Topic(topic) => {
                out.push(Output::Message {
                    topic,
                    name: sender.name,
                    start: sender.process,
                    payload: payload.to_vec(),
                });
                Ok(())
            }
            Kind::Swim => self
                .detector
                .handle_data(payload, &mut self.runtime)
                .map_err(|_| RejectReason::Unreadable),
        }
    }

    /// Runs all timers that are due.
    pub fn wake(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.is_silent() {
            return;
        }
        self.compensate_pause(now, out);
        while let Some(timer) = self.timers.pop_due(now) {
            // Fails only for timers that were set before the own identity changed, which have no effect.
            let _ = self.detector.handle_timer(timer, &mut self.runtime);
            self.collect(now, out);
        }
        if self.table.suspect_until().is_some_and(|until| now >= until) {
            self.declare_suspects_down(now);
        }
        if now >= self.contact_at {
            self.contact_at = now + CONTACT_INTERVAL;
            self.contact_absent();
        }
        // A suspicion that arises here comes from a probe of this member. Suspicions received in datagrams are confirmed by
        // the members that raised them.
        let from = out.len();
        self.settle(now, out);
        for output in &out[from..] {
            if let Output::Event(Event::Member {
                name,
                state: State::Suspect,
                ..
            }) = output
            {
                self.suspect_notifications.begin(now, *name);
            }
        }
        self.notify_suspects(now, out);
    }

    /// Announces that this member leaves. It sends and accepts nothing afterwards.
    pub fn leave(&mut self, now: Duration, out: &mut Vec<Output>) {
        if !self.is_silent() {
            // Fails only where no other member is left to notify.
            let _ = self.detector.leave_cluster(&mut self.runtime);
            self.collect(now, out);
            self.left = true;
        }
    }

    /// After a pause of this process, extends all timers and suspicions by the length of the pause and [`PAUSE_THRESHOLD`].
    ///
    /// Acknowledgements may still be queued in the socket, so members whose probes seem to have timed out may be alive.
    fn compensate_pause(&mut self, now: Duration, out: &mut Vec<Output>) {
        let due = self.timers.next_at();
        let Some(late) = due.and_then(|at| now.checked_sub(at)) else {
            return;
        };
        if late < PAUSE_THRESHOLD {
            return;
        }
        self.timers.delay(late + PAUSE_THRESHOLD);
        self.table.delay_suspicions(late + PAUSE_THRESHOLD);
        if late >= DISTRUST_AFTER_PAUSE {
            self.quorum.distrust_before(now + SOCKET_DRAIN_TIME);
        }
        out.push(Output::Event(Event::Paused(late)));
    }

    /// Declares down the suspects that the failure detector should have declared down by now.
    fn declare_suspects_down(&mut self, now: Duration) {
        let expired = self.table.expired_suspects(now);
        let members = self
            .detector
            .iter_membership_state()
            .filter(|member| expired.contains(member.id()));
        let down: Vec<Member<Id>> = members
            .map(|member| Member::new(*member.id(), member.incarnation(), foca::State::Down))
            .collect();
        // Fails only for updates that are older than what the detector knows.
        let _ = self
            .detector
            .apply_many(down.into_iter(), true, &mut self.runtime);
    }

    /// Announces this member to the next member of the roster that is not present.
    fn contact_absent(&mut self) {
        let is_absent = |name: &&NameKey| {
            let record = self.table.get(**name);
            record.is_some_and(|record| !record.state.is_present())
        };
        let absent: Vec<NameKey> = self.roster.0.keys().filter(is_absent).copied().collect();
        let next = absent
            .iter()
            .find(|name| Some(**name) > self.last_contact)
            .or(absent.first())
            .copied();
        self.last_contact = next;
        if let Some(peer) = next.and_then(|name| self.roster.0.get(&name)) {
            let id = Id {
                name: NameKey::of(&peer.name),
                address: peer.address,
                start: Start {
                    process: 0,
                    rejoins: 0,
                },
            };
            // A failed attempt is repeated after `CONTACT_INTERVAL`.
            let _ = self.detector.announce(id, &mut self.runtime);
        }
    }

    /// Applies the detector's outputs, then updates the member records and the quorum state.
    fn settle(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.collect(now, out);
        self.update_members(now, out);
        let present = self.present();
        if let Some(state) = self.quorum.update(now, &present, self.roster.0.len()) {
            out.push(Output::Event(Event::QuorumState(state)));
        }
    }

    fn update_members(&mut self, now: Duration, out: &mut Vec<Output>) {
        let own = self.detector.identity().name;
        let members = self.detector.iter_membership_state();
        for change in self.table.update(now, own, members) {
            out.push(Output::Event(Event::Member {
                name: change.id.name,
                state: change.state,
                start: change.id.start,
            }));
            if change.state != State::Suspect {
                self.suspect_notifications.end(change.id.name);
            }
        }
    }

    /// Sends the detector's datagrams, sets its timers and reports rejoins.
    fn collect(&mut self, now: Duration, out: &mut Vec<Output>) {
        loop {
            let mut rejoined = false;
            while let Some((to, payload)) = self.runtime.to_send() {
                let datagram = self.signer.sign(Kind::Swim, &payload);
                out.push(Output::Send(to.address, datagram));
            }
            while let Some((after, timer)) = self.runtime.to_schedule() {
                self.timers.insert(now + after, timer);
            }
            while let Some(notification) = self.runtime.to_notify() {
                if let foca::OwnedNotification::Rejoin(id) = notification {
                    rejoined = true;
                    out.push(Output::Event(Event::Rejoined(id.start)));
                }
            }
            if !rejoined {
                return;
            }
            // After a rejoin `foca` sends no probes until it receives a datagram, so two members that rejoined at the same
            // time would wait for each other forever. An empty update makes it start probing.
            let _ = self
                .detector
                .apply_many(std::iter::empty(), false, &mut self.runtime);
        }
    }

    /// Stops this process, because a later start runs under the same name.
    fn fence(&mut self, by: Start, out: &mut Vec<Output>) {
        self.fenced_by = Some(by);
        self.timers.clear();
        out.push(Output::Event(Event::Fenced(by)));
    }

    /// Sends a message of at most [`crate::MAX_PAYLOAD`] bytes to a member of the roster.
    pub fn send(&mut self, topic: Topic, to: NameKey, payload: &[u8], out: &mut Vec<Output>) {
        if let Some(at) = self.roster_address(to).filter(|_| !self.is_silent()) {
            let datagram = self.signer.sign(Kind::Topic(topic), payload);
            out.push(Output::Send(at, datagram));
        }
    }

    /// The address that a member of the roster has announced, else the one in the roster.
    pub(crate) fn roster_address(&self, of: NameKey) -> Option<SocketAddrV4> {
        let listed = self.roster.0.get(&of)?.address;
        Some(self.table.address(of).unwrap_or(listed))
    }

    /// The identity of this process.
    pub fn own(&self) -> Id {
        *self.detector.identity()
    }

    /// Short names of all members of the roster, this one included.
    pub fn roster(&self) -> BTreeSet<NameKey> {
        self.roster.0.keys().copied().collect()
    }

    /// Names of the members of the roster that are present, as far as this one knows, without itself.
    pub fn present_names(&self) -> Vec<String> {
        let listed = |name: NameKey| self.roster.0.get(&name);
        let present = self.table.present().filter_map(listed);
        present.map(|peer| peer.name.clone()).collect()
    }

    /// The address of each member in the roster, by short name.
    pub fn addresses(&self) -> BTreeMap<NameKey, SocketAddrV4> {
        let peers = self.roster.0.iter();
        peers.map(|(name, peer)| (*name, peer.address)).collect()
    }

    /// Short names of the members of the roster that are present, in ascending order, without this one.
    pub fn present(&self) -> Vec<NameKey> {
        let listed = |name: &NameKey| self.roster.0.contains_key(name);
        self.table.present().filter(listed).collect()
    }

    /// The name with this short form, or the short form in hexadecimal where the roster has no such name.
    pub fn name_of(&self, key: NameKey) -> String {
        self.roster
            .0
            .get(&key)
            .map_or_else(|| format!("{:08x}", key.0), |peer| peer.name.clone())
    }

    /// The current quorum state.
    pub fn quorum_state(&self) -> QuorumState {
        self.quorum.state()
    }

    /// A snapshot of this member's knowledge of the cluster, for operators.
    pub fn view(&self) -> View {
        let member = |(key, record): (&NameKey, &MemberRecord)| {
            let listed = self.roster.0.get(key).map(|peer| peer.address);
            Some(MemberView {
                name: self.name_of(*key),
                address: record.id.map(|id| id.address).or(listed)?,
                start: record.id.map(|id| id.start),
                state: record.state,
                since: record.since,
                evidence: record.evidence,
            })
        };
        View {
            own: self.own(),
            quorum: self.quorum.state(),
            fenced_by: self.fenced_by,
            members: self.table.iter().filter_map(member).collect(),
            rejected: self.rejected.clone(),
        }
    }
}

/// Decodes the later start in a [`Kind::Replaced`] payload. Fails if the payload names another member, because a relay may
/// deliver a datagram to the wrong member.
fn read_replaced(own: NameKey, payload: &[u8]) -> Result<u64, RejectReason> {
    if payload.len() != REPLACED_BYTES || word(&payload[..4]) != u64::from(own.0) {
        return Err(RejectReason::Unreadable);
    }
    Ok(word(&payload[4..]))
}
