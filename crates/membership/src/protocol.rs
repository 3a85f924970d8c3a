//! One member: the protocol's steps, its timers, and the view that comes of them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::num::{NonZeroU8, NonZeroUsize};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use foca::{AccumulatingRuntime, Config, Foca, Member, NoCustomBroadcast, PeriodicParams, Timer};
use rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::datagram_auth::{
    word, Kind, RejectReason, Secret, Sender, Signer, Topic, Verifier, MAX_PAYLOAD,
};
use crate::incarnation_watch::IncarnationWatch;
use crate::member::{Id, NameKey, Start};
use crate::quorum::QuorumState;
use crate::roster::Roster;
use crate::suspicion::SuspicionConfirmations;
use crate::view::{MemberView, RejectCounts, State, View};

/// Time between two probes, and within it until others are asked to probe too.
const PROBE_EVERY: Duration = Duration::from_millis(250);
const PROBE_WAIT: Duration = Duration::from_millis(100);
const PROBES_BY_OTHERS: usize = 3;
/// Time that a suspect has to say that it is there.
const SUSPECT_FOR: Duration = Duration::from_millis(900);
/// A suspect for so long is given up here: the library forgets the suspicions that it had before a comeback of its own,
/// and a suspect that nobody tells of it cannot deny it.
const SUSPECT_MOST: Duration = Duration::from_millis(2_000);
/// News go out with that frequency to so many while there are any.
const GOSSIP: (Duration, usize) = (Duration::from_millis(50), 3);
/// Members given up are called now and then, so that halves find each other again.
const CALL_BACK: (Duration, usize) = (Duration::from_millis(1000), 2);
/// Members of the roster that are not there are called one by one, that often.
const HAIL_EVERY: Duration = Duration::from_millis(500);
/// How long a member that was given up is remembered as such.
const FORGET_AFTER: Duration = Duration::from_secs(3600);
/// A timer so late means that this process stood still, or was too slow to be a judge of others.
const LATE: Duration = Duration::from_millis(250);
/// After standing still for so long peers may have given this one up: it knows nothing until they are heard again, past
/// what lay unread in its socket meanwhile.
const DOUBT_AFTER: Duration = Duration::from_millis(900);
const UNREAD: Duration = Duration::from_millis(200);
/// How long a better standing must hold before it counts; a worse one counts at once.
const SETTLE: Duration = Duration::from_secs(1);

/// What has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Member {
        name: NameKey,
        state: State,
        start: Start,
    },
    QuorumState(QuorumState),
    /// This process stood still for so long; peers get that time before they are doubted.
    StoodStill(Duration),
    /// Others had given this one up; it is back.
    CameBack(Start),
    /// Another process under this name started later; this one speaks no more.
    Fenced(Start),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Send(SocketAddrV4, Vec<u8>),
    Event(Event),
    /// What a member said of something decided elsewhere: proven, once, and by the latest start under its name.
    Message {
        topic: Topic,
        name: NameKey,
        start: u64,
        payload: Vec<u8>,
    },
}

struct MemberRecord {
    id: Option<Id>,
    state: State,
    since: Duration,
    evidence: &'static str,
}

pub(crate) type Swim = Foca<Id, IncarnationWatch, Xoshiro256PlusPlus, NoCustomBroadcast>;

pub struct Membership {
    pub(crate) swim: Swim,
    pub(crate) runtime: AccumulatingRuntime<Id>,
    roster: Roster,
    rows: BTreeMap<NameKey, MemberRecord>,
    timers: BTreeMap<(Duration, u64), Timer<Id>>,
    set: u64,
    /// When the oldest suspicion is over, if there is one.
    suspect_until: Option<Duration>,
    hail_at: Duration,
    hailed: Option<NameKey>,
    pub(crate) signer: Signer,
    /// Suspects that are asked.
    pub(crate) confirmations: SuspicionConfirmations,
    verifier: Verifier,
    dropped: RejectCounts,
    standing: QuorumState,
    /// A better standing, and since when it has held.
    better: Option<(QuorumState, Duration)>,
    /// Since when nothing is known but by peers that were heard later.
    doubt: Option<Duration>,
    heard: BTreeMap<NameKey, Duration>,
    /// The latest start heard of under the own name.
    namesake: Arc<AtomicU64>,
    fenced_by: Option<Start>,
    left: bool,
}

fn config() -> Config {
    let some = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let often = |(frequency, n): (Duration, usize)| {
        Some(PeriodicParams {
            frequency,
            num_members: some(n),
        })
    };
    Config {
        probe_period: PROBE_EVERY,
        probe_rtt: PROBE_WAIT,
        num_indirect_probes: some(PROBES_BY_OTHERS),
        max_transmissions: NonZeroU8::new(10).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: SUSPECT_FOR,
        remove_down_after: Some(FORGET_AFTER),
        max_packet_size: some(MAX_PAYLOAD),
        notify_down_members: true,
        periodic_announce: often((Duration::from_secs(10), 1)),
        periodic_announce_to_down_members: often(CALL_BACK),
        periodic_gossip: often(GOSSIP),
    }
}

impl Membership {
    /// A member under `name`, heard where the roster says; `process` tells this start from others.
    pub fn new(
        name: &str,
        process: u64,
        roster: Roster,
        secret: Secret,
        seed: u64,
        now: Duration,
    ) -> Self {
        let key = NameKey::of(name);
        let nowhere = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
        let address = roster.0.get(&key).map_or(nowhere, |own| own.address);
        let me = Id {
            name: key,
            address,
            start: Start {
                process,
                comeback: 0,
            },
        };
        let unheard = || MemberRecord {
            id: None,
            state: State::Unheard,
            since: now,
            evidence: "never heard",
        };
        let rows = roster
            .0
            .keys()
            .filter(|k| **k != key)
            .map(|k| (*k, unheard()))
            .collect();
        let standing = QuorumState::of(1, roster.0.len());
        let namesake = Arc::new(AtomicU64::new(0));
        let codec = IncarnationWatch {
            own: key,
            latest: Arc::clone(&namesake),
        };
        Membership {
            swim: Foca::new(me, config(), Xoshiro256PlusPlus::seed_from_u64(seed), codec),
            namesake,
            runtime: AccumulatingRuntime::new(),
            roster,
            rows,
            timers: BTreeMap::new(),
            set: 0,
            suspect_until: None,
            hail_at: now,
            hailed: None,
            signer: Signer::new(secret, key, process),
            confirmations: SuspicionConfirmations::default(),
            verifier: Verifier::default(),
            dropped: RejectCounts::new(),
            standing,
            better: None,
            doubt: None,
            heard: BTreeMap::new(),
            fenced_by: None,
            left: false,
        }
    }

    fn silent(&self) -> bool {
        self.left || self.fenced_by.is_some()
    }

    /// When it wants to be woken, at the latest.
    pub fn wake_at(&self) -> Option<Duration> {
        if self.silent() {
            return None;
        }
        let settled = self.better.map(|(_, since)| since + SETTLE);
        let timer = self.timers.keys().next().map(|(at, _)| *at);
        let asked = self.confirmations.next();
        [
            Some(self.hail_at),
            timer,
            settled,
            self.suspect_until,
            asked,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Takes a datagram that came from an address.
    pub fn handle_datagram(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) {
        if self.silent() {
            return;
        }
        // Else nothing can have changed since the last step, and the view need not be gone through twice.
        if self.wake_at().is_some_and(|at| at <= now) {
            self.wake(now, out);
        }
        let opened = self.verifier.verify(&self.signer, bytes);
        if let Ok((sender, _)) = &opened {
            // Only of the roster, which bounds what is kept.
            if self.roster.0.contains_key(&sender.name) {
                self.heard.insert(sender.name, now);
            }
        }
        if let Err(why) = opened.and_then(|(sender, said)| self.take(sender, said, out)) {
            if let RejectReason::OldStart(name, later) = why {
                self.tell_replaced(name, later, from, out);
            }
            *self.dropped.entry(why.alike()).or_default() += 1;
        }
        let latest = self.namesake.load(Ordering::Relaxed);
        match latest > self.swim.identity().start.process {
            true => self.fence(
                Start {
                    process: latest,
                    comeback: 0,
                },
                out,
            ),
            false => self.settle(now, out),
        }
    }

    /// Tells a process that its name has a later start: where it spoke from, and where its name should be.
    fn tell_replaced(
        &mut self,
        name: NameKey,
        later: u64,
        from: SocketAddrV4,
        out: &mut Vec<Output>,
    ) {
        let listed = self
            .roster
            .0
            .get(&name)
            .map(|peer| peer.address)
            .filter(|at| *at != from);
        let said = [&name.0.to_le_bytes()[..], &later.to_le_bytes()].concat();
        for to in [Some(from), listed].into_iter().flatten() {
            out.push(Output::Send(to, self.signer.sign(Kind::Replaced, &said)));
        }
    }

    fn take(
        &mut self,
        sender: Sender,
        said: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), RejectReason> {
        let own = self.swim.identity().name;
        let later = match sender.kind {
            Kind::Replaced if said.len() != 12 => return Err(RejectReason::Unreadable),
            Kind::Replaced if word(&said[..4]) == u64::from(own.0) => word(&said[4..]),
            // Misled by a forwarder it may come to another than it is meant for.
            Kind::Replaced => return Err(RejectReason::Unreadable),
            _ if sender.name == own => sender.process,
            Kind::Doubted => return self.deny(sender.name, said, out),
            Kind::Denied => return self.denied(sender.name, said),
            Kind::Of(topic) => {
                let (name, start) = (sender.name, sender.process);
                out.push(Output::Message {
                    topic,
                    name,
                    start,
                    payload: said.to_vec(),
                });
                return Ok(());
            }
            Kind::Swim => {
                return self
                    .swim
                    .handle_data(said, &mut self.runtime)
                    .map_err(|_| RejectReason::Unreadable)
            }
        };
        self.namesake.fetch_max(later, Ordering::Relaxed);
        Ok(())
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.silent() {
            return;
        }
        self.give_back_lost_time(now, out);
        while let Some(first) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let timer = first.remove();
            // Its errors are of timers that were set before an identity changed; they are moot.
            let _ = self.swim.handle_timer(timer, &mut self.runtime);
            self.collect(now, out);
        }
        if self.suspect_until.is_some_and(|until| now >= until) {
            self.give_up_suspects(now);
        }
        if now >= self.hail_at {
            self.hail_at = now + HAIL_EVERY;
            self.hail();
        }
        // What is suspected from here on was found by an own probe; what comes in datagrams is others' to ask.
        let from = out.len();
        self.settle(now, out);
        for told in &out[from..] {
            if let Output::Event(Event::Member {
                name,
                state: State::Suspect,
                ..
            }) = told
            {
                self.confirmations.begin(now, *name);
            }
        }
        self.ask_suspects(now, out);
    }

    /// Says farewell; nothing is said or heard after it.
    pub fn leave(&mut self, now: Duration, out: &mut Vec<Output>) {
        if !self.silent() {
            let _ = self.swim.leave_cluster(&mut self.runtime);
            self.collect(now, out);
            self.left = true;
        }
    }

    /// Where this process stood still, acknowledgements may lie unread in its socket: what is due is put off by
    /// what was lost, so that it confirmations itself before others.
    fn give_back_lost_time(&mut self, now: Duration, out: &mut Vec<Output>) {
        let Some(late) = self
            .timers
            .keys()
            .next()
            .and_then(|(at, _)| now.checked_sub(*at))
        else {
            return;
        };
        if late < LATE {
            return;
        }
        let timers = std::mem::take(&mut self.timers);
        self.timers = timers
            .into_iter()
            .map(|((at, n), timer)| ((at + late + LATE, n), timer))
            .collect();
        self.rows
            .values_mut()
            .filter(|row| row.state == State::Suspect)
            .for_each(|row| row.since += late + LATE);
        self.suspect_until = self.suspect_until.map(|until| until + late + LATE);
        if late >= DOUBT_AFTER {
            self.doubt = Some(now + UNREAD);
        }
        out.push(Output::Event(Event::StoodStill(late)));
    }

    fn give_up_suspects(&mut self, now: Duration) {
        let due =
            |row: &&MemberRecord| row.state == State::Suspect && now >= row.since + SUSPECT_MOST;
        let over: Vec<Id> = self
            .rows
            .values()
            .filter(due)
            .filter_map(|row| row.id)
            .collect();
        let members = self
            .swim
            .iter_membership_state()
            .filter(|m| over.contains(m.id()));
        let down: Vec<_> = members
            .map(|m| Member::new(*m.id(), m.incarnation(), foca::State::Down))
            .collect();
        let _ = self
            .swim
            .apply_many(down.into_iter(), true, &mut self.runtime);
    }

    /// Calls the next one of the roster that is not there.
    fn hail(&mut self) {
        let absent = |key: &&NameKey| self.rows.get(key).is_some_and(|row| !row.state.is_there());
        let keys: Vec<NameKey> = self.roster.0.keys().filter(absent).copied().collect();
        let next = keys
            .iter()
            .find(|key| Some(**key) > self.hailed)
            .or(keys.first())
            .copied();
        self.hailed = next;
        if let Some(peer) = next.and_then(|key| self.roster.0.get(&key)) {
            let start = Start {
                process: 0,
                comeback: 0,
            };
            let id = Id {
                name: NameKey::of(&peer.name),
                address: peer.address,
                start,
            };
            let _ = self.swim.announce(id, &mut self.runtime);
        }
    }

    /// Carries out what the protocol wants, and brings the view up to date.
    fn settle(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.collect(now, out);
        self.look(now, out);
        let standing = self.judge();
        if standing <= self.standing {
            self.better = None;
            self.stand(standing, out);
            return;
        }
        let since = match self.better {
            Some((better, since)) => {
                self.better = Some((better.min(standing), since));
                since
            }
            None => {
                self.better = Some((standing, now));
                now
            }
        };
        if now >= since + SETTLE {
            self.better = None;
            self.stand(standing, out);
        }
    }

    /// By those of the roster that are there; in doubt, that were heard since.
    fn judge(&mut self) -> QuorumState {
        let since = self.doubt;
        let listed = self
            .rows
            .iter()
            .filter(|(key, row)| self.roster.0.contains_key(key) && row.state.is_there());
        let (there, heard) = listed.fold((1, 1), |(there, heard), (key, _)| {
            let fresh =
                since.is_none_or(|since| self.heard.get(key).is_some_and(|at| *at >= since));
            (there + 1, heard + usize::from(fresh))
        });
        let standing = QuorumState::of(heard, self.roster.0.len());
        if standing >= QuorumState::Majority || heard == there && heard > 1 {
            self.doubt = None;
        }
        standing
    }

    fn stand(&mut self, standing: QuorumState, out: &mut Vec<Output>) {
        if standing != self.standing {
            self.standing = standing;
            out.push(Output::Event(Event::QuorumState(standing)));
        }
    }

    fn collect(&mut self, now: Duration, out: &mut Vec<Output>) {
        loop {
            let mut back = false;
            while let Some((to, said)) = self.runtime.to_send() {
                out.push(Output::Send(
                    to.address,
                    self.signer.sign(Kind::Swim, &said),
                ));
            }
            while let Some((after, timer)) = self.runtime.to_schedule() {
                self.set += 1;
                self.timers.insert((now + after, self.set), timer);
            }
            while let Some(told) = self.runtime.to_notify() {
                if let foca::OwnedNotification::Rejoin(id) = told {
                    back = true;
                    out.push(Output::Event(Event::CameBack(id.start)));
                }
            }
            if !back {
                return;
            }
            // The library says and probes nothing after a comeback until it hears someone; two that came back together
            // would wait for each other without end. An update of nobody makes it begin.
            let _ = self
                .swim
                .apply_many(std::iter::empty(), false, &mut self.runtime);
        }
    }

    /// Compares the protocol's table with the view.
    fn look(&mut self, now: Duration, out: &mut Vec<Output>) {
        let me = *self.swim.identity();
        self.suspect_until = None;
        for member in self.swim.iter_membership_state() {
            let id = *member.id();
            if id.name == me.name {
                continue;
            }
            let state = match member.state() {
                foca::State::Alive => State::Alive,
                foca::State::Suspect => State::Suspect,
                foca::State::Down => State::Down,
            };
            let evidence = match state {
                State::Alive => "heard, by itself or by others",
                State::Suspect => "a probe went unanswered",
                _ => "suspected in vain, or left",
            };
            let known = self
                .rows
                .get(&id.name)
                .filter(|row| row.state == state && row.id == Some(id));
            let since = known.map_or(now, |row| row.since);
            if known.is_none() {
                self.rows.insert(
                    id.name,
                    MemberRecord {
                        id: Some(id),
                        state,
                        since,
                        evidence,
                    },
                );
                out.push(Output::Event(Event::Member {
                    name: id.name,
                    state,
                    start: id.start,
                }));
                if state != State::Suspect {
                    self.confirmations.end(id.name);
                }
            }
            if state == State::Suspect {
                let until = since + SUSPECT_MOST;
                self.suspect_until =
                    Some(self.suspect_until.map_or(until, |first| first.min(until)));
            }
        }
    }

    /// Of two processes alive under one name the one that started later goes on.
    fn fence(&mut self, by: Start, out: &mut Vec<Output>) {
        self.fenced_by = Some(by);
        self.timers.clear();
        out.push(Output::Event(Event::Fenced(by)));
    }

    /// Says something to a member of the roster, at most [`MAX_PAYLOAD`] bytes.
    pub fn send(&mut self, topic: Topic, to: NameKey, said: &[u8], out: &mut Vec<Output>) {
        if let Some(at) = self.roster_address(to).filter(|_| !self.silent()) {
            out.push(Output::Send(at, self.signer.sign(Kind::Of(topic), said)));
        }
    }

    /// Where one of the roster is heard; its own word of that counts more.
    pub(crate) fn roster_address(&self, of: NameKey) -> Option<SocketAddrV4> {
        let listed = self.roster.0.get(&of)?.address;
        Some(
            self.rows
                .get(&of)
                .and_then(|row| row.id)
                .map_or(listed, |id| id.address),
        )
    }

    /// This process, and all of the roster by their short names.
    pub fn own(&self) -> Id {
        *self.swim.identity()
    }

    pub fn roster(&self) -> BTreeSet<NameKey> {
        self.roster.0.keys().copied().collect()
    }

    /// Names of the roster that are there, as far as this one knows.
    pub fn there(&self) -> Vec<String> {
        let there = self.rows.iter().filter(|(_, row)| row.state.is_there());
        there
            .filter_map(|(key, _)| self.roster.0.get(key).map(|peer| peer.name.clone()))
            .collect()
    }

    /// Where each of the roster is sent to.
    pub fn addresses(&self) -> BTreeMap<NameKey, SocketAddrV4> {
        self.roster
            .0
            .iter()
            .map(|(key, peer)| (*key, peer.address))
            .collect()
    }

    /// Those of the roster that are there, by their short names.
    pub fn there_keys(&self) -> Vec<NameKey> {
        let there = self
            .rows
            .iter()
            .filter(|(key, row)| row.state.is_there() && self.roster.0.contains_key(key));
        there.map(|(key, _)| *key).collect()
    }

    /// A member's name, or its short form where the roster has none.
    pub fn name_of(&self, key: NameKey) -> String {
        self.roster
            .0
            .get(&key)
            .map_or_else(|| format!("{:08x}", key.0), |p| p.name.clone())
    }

    pub fn standing(&self) -> QuorumState {
        self.standing
    }

    pub fn view(&self) -> View {
        let line = |(key, row): (&NameKey, &MemberRecord)| {
            let peer = self.roster.0.get(key);
            let name = self.name_of(*key);
            let address = row.id.map(|id| id.address).or(peer.map(|p| p.address));
            Some(MemberView {
                name,
                address: address?,
                start: row.id.map(|id| id.start),
                state: row.state,
                since: row.since,
                evidence: row.evidence,
            })
        };
        View {
            me: *self.swim.identity(),
            standing: self.standing,
            fenced_by: self.fenced_by,
            members: self.rows.iter().filter_map(line).collect(),
            dropped: self.dropped.clone(),
        }
    }
}
