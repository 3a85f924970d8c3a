//! One member: passes datagrams and time to the failure detector, and its changes on as events.

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
use crate::suspicion::SuspicionConfirmations;
use crate::timers::Timers;
use crate::view::{MemberView, RejectCounts, State, View};

/// Members of the roster that are not present are contacted one by one, that often.
const CONTACT_INTERVAL: Duration = Duration::from_millis(500);
/// A timer so late means that this process was paused, or too slow to judge others.
const LATE: Duration = Duration::from_millis(250);
/// After a pause so long peers may have given this member up: they count as present only once they are heard again.
const DISTRUST_AFTER_PAUSE: Duration = Duration::from_millis(900);
/// Time in which datagrams that lay unread in the socket during a pause are read.
const UNREAD: Duration = Duration::from_millis(200);
/// Length of a notice that a name has a later start: the name's short form and that start.
const REPLACED_BYTES: usize = 12;

/// What has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Another member's state, address or start.
    Member {
        /// Short form of its name.
        name: NameKey,
        /// Its state now.
        state: State,
        /// The start that it is about.
        start: Start,
    },
    /// How much of the roster is present.
    QuorumState(QuorumState),
    /// This process was paused for so long; peers get that time before they are suspected.
    StoodStill(Duration),
    /// Others had given this member up; it has rejoined.
    CameBack(Start),
    /// Another process under this name started later; this one sends nothing any more.
    Fenced(Start),
}

/// An output of [`Membership`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Sends a datagram to an address.
    Send(SocketAddrV4, Vec<u8>),
    /// Something has changed.
    Event(Event),
    /// A message of another topic: authenticated, not seen before, and sent by the latest start under its name.
    Message {
        /// What it belongs to.
        topic: Topic,
        /// Short form of the sender's name.
        name: NameKey,
        /// The sender's start.
        start: u64,
        /// What it holds.
        payload: Vec<u8>,
    },
}

pub(crate) type Detector = Foca<Id, IncarnationWatch, Xoshiro256PlusPlus, NoCustomBroadcast>;

/// One member's knowledge of the others. All times are by its own clock.
pub struct Membership {
    pub(crate) detector: Detector,
    pub(crate) runtime: AccumulatingRuntime<Id>,
    pub(crate) signer: Signer,
    pub(crate) confirmations: SuspicionConfirmations,
    verifier: Verifier,
    rejected: RejectCounts,
    roster: Roster,
    table: MemberTable,
    timers: Timers,
    quorum: QuorumTracker,
    contact_at: Duration,
    last_contact: Option<NameKey>,
    /// The latest start heard of under the own name.
    own_name_start: Arc<AtomicU64>,
    fenced_by: Option<Start>,
    left: bool,
}

impl Membership {
    /// A member under `name`, at the address that the roster gives; `process` distinguishes this start from others.
    pub fn new(
        name: &str,
        process: u64,
        roster: Roster,
        secret: Secret,
        seed: u64,
        now: Duration,
    ) -> Self {
        let name = NameKey::of(name);
        let nowhere = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
        let start = Start {
            process,
            comeback: 0,
        };
        let own = Id {
            name,
            address: roster.0.get(&name).map_or(nowhere, |peer| peer.address),
            start,
        };
        let others = roster.0.keys().filter(|key| **key != name).copied();
        let table = MemberTable::unheard(others, now);
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
            confirmations: SuspicionConfirmations::default(),
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

    /// When [`Membership::wake`] is due at the latest; `None` once this member has left or was superseded.
    pub fn wake_at(&self) -> Option<Duration> {
        if self.is_silent() {
            return None;
        }
        let due = [
            Some(self.contact_at),
            self.timers.next_at(),
            self.quorum.settles_at(),
            self.table.suspect_until(),
            self.confirmations.next(),
        ];
        due.into_iter().flatten().min()
    }

    /// Takes a datagram that came from an address.
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
        // Otherwise nothing can have changed since the last step, and the view need not be compared twice.
        if self.wake_at().is_some_and(|at| at <= now) {
            self.wake(now, out);
        }
        let verified = self.verifier.verify(&self.signer, bytes);
        if let Ok((sender, _)) = &verified {
            // Only members of the roster, which bounds what is remembered.
            if self.roster.0.contains_key(&sender.name) {
                self.quorum.on_heard(now, sender.name);
            }
        }
        let handled = verified.and_then(|(sender, payload)| self.dispatch(sender, payload, out));
        if let Err(reason) = handled {
            if let RejectReason::OldStart(name, later) = reason {
                self.notify_replaced(name, later, from, out);
            }
            *self.rejected.entry(reason.alike()).or_default() += 1;
        }
        let latest = self.own_name_start.load(Ordering::Relaxed);
        if latest > self.detector.identity().start.process {
            let by = Start {
                process: latest,
                comeback: 0,
            };
            self.fence(by, out);
        } else {
            self.settle(now, out);
        }
    }

    /// Notifies a process that its name has a later start, at the address that it sent from and at the roster's.
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
            Kind::Doubted => self.refute_suspicion(sender.name, payload, out),
            Kind::Denied => self.on_suspicion_refuted(sender.name, payload),
            Kind::Of(topic) => {
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

    /// Does what is due.
    pub fn wake(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.is_silent() {
            return;
        }
        self.compensate_pause(now, out);
        while let Some(timer) = self.timers.pop_due(now) {
            // Its errors are of timers that were set before an identity changed; they are moot.
            let _ = self.detector.handle_timer(timer, &mut self.runtime);
            self.collect(now, out);
        }
        if self.table.suspect_until().is_some_and(|until| now >= until) {
            self.give_up_suspects(now);
        }
        if now >= self.contact_at {
            self.contact_at = now + CONTACT_INTERVAL;
            self.contact_absent();
        }
        // What is suspected from here on was found by an own probe; what comes in datagrams is for others to confirm.
        let from = out.len();
        self.settle(now, out);
        for output in &out[from..] {
            if let Output::Event(Event::Member {
                name,
                state: State::Suspect,
                ..
            }) = output
            {
                self.confirmations.begin(now, *name);
            }
        }
        self.ask_suspects(now, out);
    }

    /// Announces that this member leaves; nothing is sent or taken afterwards.
    pub fn leave(&mut self, now: Duration, out: &mut Vec<Output>) {
        if !self.is_silent() {
            // Fails only where nobody is left to be told.
            let _ = self.detector.leave_cluster(&mut self.runtime);
            self.collect(now, out);
            self.left = true;
        }
    }

    /// After a pause of this process, acknowledgements may lie unread in its socket: all that is due is put off by the time
    /// that was lost, so that it distrusts itself before others.
    fn compensate_pause(&mut self, now: Duration, out: &mut Vec<Output>) {
        let due = self.timers.next_at();
        let Some(late) = due.and_then(|at| now.checked_sub(at)) else {
            return;
        };
        if late < LATE {
            return;
        }
        self.timers.delay(late + LATE);
        self.table.delay_suspicions(late + LATE);
        if late >= DISTRUST_AFTER_PAUSE {
            self.quorum.distrust_before(now + UNREAD);
        }
        out.push(Output::Event(Event::StoodStill(late)));
    }

    fn give_up_suspects(&mut self, now: Duration) {
        let expired = self.table.expired_suspects(now);
        let members = self
            .detector
            .iter_membership_state()
            .filter(|member| expired.contains(member.id()));
        let down: Vec<Member<Id>> = members
            .map(|member| Member::new(*member.id(), member.incarnation(), foca::State::Down))
            .collect();
        // Fails only for updates that the detector has overtaken.
        let _ = self
            .detector
            .apply_many(down.into_iter(), true, &mut self.runtime);
    }

    /// Contacts the next member of the roster that is not present.
    fn contact_absent(&mut self) {
        let is_absent = |name: &&NameKey| {
            let record = self.table.get(**name);
            record.is_some_and(|record| !record.state.is_there())
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
                    comeback: 0,
                },
            };
            // A contact attempt that fails is followed by another.
            let _ = self.detector.announce(id, &mut self.runtime);
        }
    }

    /// Carries out what the detector wants, and brings members and quorum up to date.
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
                self.confirmations.end(change.id.name);
            }
        }
    }

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
                    out.push(Output::Event(Event::CameBack(id.start)));
                }
            }
            if !rejoined {
                return;
            }
            // The library sends and probes nothing after a rejoin until it hears someone; two members that rejoined together
            // would wait for each other forever. An empty update makes it begin.
            let _ = self
                .detector
                .apply_many(std::iter::empty(), false, &mut self.runtime);
        }
    }

    /// Of two processes alive under one name the one that started later goes on.
    fn fence(&mut self, by: Start, out: &mut Vec<Output>) {
        self.fenced_by = Some(by);
        self.timers.clear();
        out.push(Output::Event(Event::Fenced(by)));
    }

    /// Sends a message of at most [`crate::MAX_PAYLOAD`] bytes to a member of the roster.
    pub fn send(&mut self, topic: Topic, to: NameKey, payload: &[u8], out: &mut Vec<Output>) {
        if let Some(at) = self.roster_address(to).filter(|_| !self.is_silent()) {
            let datagram = self.signer.sign(Kind::Of(topic), payload);
            out.push(Output::Send(at, datagram));
        }
    }

    /// The address of a member of the roster; the one that it announces has precedence.
    pub(crate) fn roster_address(&self, of: NameKey) -> Option<SocketAddrV4> {
        let listed = self.roster.0.get(&of)?.address;
        Some(self.table.address(of).unwrap_or(listed))
    }

    /// This process as a member.
    pub fn own(&self) -> Id {
        *self.detector.identity()
    }

    /// Short names of the roster.
    pub fn roster(&self) -> BTreeSet<NameKey> {
        self.roster.0.keys().copied().collect()
    }

    /// Names of the members of the roster that are present, as far as this one knows, without its own.
    pub fn present_names(&self) -> Vec<String> {
        let listed = |name: NameKey| self.roster.0.get(&name);
        let present = self.table.present().filter_map(listed);
        present.map(|peer| peer.name.clone()).collect()
    }

    /// The addresses that the roster gives.
    pub fn addresses(&self) -> BTreeMap<NameKey, SocketAddrV4> {
        let peers = self.roster.0.iter();
        peers.map(|(name, peer)| (*name, peer.address)).collect()
    }

    /// Short names of the members of the roster that are present, in order, without its own.
    pub fn present(&self) -> Vec<NameKey> {
        let listed = |name: &NameKey| self.roster.0.contains_key(name);
        self.table.present().filter(listed).collect()
    }

    /// A member's name, or its short form in hexadecimal where the roster has none.
    pub fn name_of(&self, key: NameKey) -> String {
        self.roster
            .0
            .get(&key)
            .map_or_else(|| format!("{:08x}", key.0), |peer| peer.name.clone())
    }

    /// How much of the roster is present.
    pub fn quorum_state(&self) -> QuorumState {
        self.quorum.state()
    }

    /// All that this member knows, for operators.
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
            me: self.own(),
            standing: self.quorum.state(),
            fenced_by: self.fenced_by,
            members: self.table.iter().filter_map(member).collect(),
            dropped: self.rejected.clone(),
        }
    }
}

/// The later start of the own name. A forwarder may bring a notice to a member that it is not meant for.
fn read_replaced(own: NameKey, payload: &[u8]) -> Result<u64, RejectReason> {
    if payload.len() != REPLACED_BYTES || word(&payload[..4]) != u64::from(own.0) {
        return Err(RejectReason::Unreadable);
    }
    Ok(word(&payload[4..]))
}
