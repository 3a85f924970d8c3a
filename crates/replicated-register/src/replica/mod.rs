//! One member's part: the copies that it holds, and the calls that it makes.

mod acceptor;
mod proposer;
mod state_transfer;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::{KeepError, Peers, Process};
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::SplitMix64;

use crate::message::Message;
use crate::proposal::{IdAllocator, LeaderBallot, Proposal};
use crate::recovery::{Completeness, RecoveryState};
use crate::store::RegisterStore;
use crate::{
    disk_records, Call, Event, Input, Output, RegisterError, RegisterKey, Settings, Version,
};

use proposer::TombstoneRepair;
use state_transfer::StateTransfer;

/// How long a copy with its disk waits for all others to have spoken, before one that did is enough.
const CATCH_UP_GRACE: Duration = Duration::from_secs(3);
/// Between two tellings of how far its memory goes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// After so many it is told again to all, as frames are lost, and what others told is kept on disk.
const HEARTBEATS_PER_REPEAT: u32 = 10;
/// What is lost is taken to have ended by then: the longest life of a workflow.
const LOSS_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Answers that may wait for the disk; beyond it a message counts as lost.
const MAX_PENDING_WRITES: usize = 16 * 1024;

/// What is done once something is on disk.
struct PendingWrite {
    what: WritePurpose,
    /// Changes of this memory, this one included.
    count: u64,
    replies: Vec<(NameKey, Message)>,
}

#[derive(Clone, Copy, PartialEq)]
enum WritePurpose {
    Register(RegisterKey),
    Metadata,
    Transferred(RegisterKey, NameKey, u64),
    Removal,
}

/// Whether what memory holds of a register is on disk.
#[derive(Clone, Copy, PartialEq)]
enum Unsynced {
    Pending(u64),
    /// It could not be written.
    Failed,
}

/// What came to nothing, for whoever looks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub unreadable: u64,
    pub other_version: u64,
    /// Chunks whose checksum was wrong.
    pub broken_chunks: u64,
    /// Calls and messages refused at a bound.
    pub rejected: u64,
}

pub struct Replica {
    own: Process,
    roster: BTreeSet<NameKey>,
    settings: Settings,
    /// None until the disk has been read.
    recovery: Option<RecoveryState>,
    opened: Duration,
    store: RegisterStore,
    ids: IdAllocator,
    proposals: BTreeMap<Call, Proposal>,
    /// Calls by register; the first of each is under way.
    queues: BTreeMap<RegisterKey, VecDeque<Call>>,
    due: BTreeSet<(Duration, Call)>,
    leader_ballots: BTreeMap<RegisterKey, LeaderBallot>,
    tombstone_repairs: BTreeMap<RegisterKey, TombstoneRepair>,
    transfers: BTreeMap<NameKey, StateTransfer>,
    sessions: u64,
    fetched: u64,
    caught_up: bool,
    lost_since: Option<Duration>,
    pending_writes: BTreeMap<u64, PendingWrite>,
    last_ticket: u64,
    unsynced: BTreeMap<RegisterKey, Unsynced>,
    /// Of the changes, those that outlive this process.
    kept: u64,
    metadata_unsynced: Option<Unsynced>,
    fault: Option<KeepError>,
    heartbeat_at: Duration,
    heartbeats: u32,
    announced: BTreeMap<NameKey, (u64, u64)>,
    peers: Option<Peers>,
    /// To itself, within a step.
    loopback: VecDeque<Message>,
    unsupported_versions: BTreeSet<NameKey>,
    counters: Counters,
    rng: SplitMix64,
}

impl Replica {
    /// `start` of `own` tells this process from the earlier ones under its name, and is later than theirs. The roster holds its own
    /// name too and is the same at all; it is changed by restarts of all.
    pub fn new(
        own: Process,
        roster: BTreeSet<NameKey>,
        settings: Settings,
        seed: u64,
        now: Duration,
    ) -> Replica {
        let recovery = (!settings.durable)
            .then(|| RecoveryState::new(own.name, &roster, Completeness::Fresh, own.start));
        Replica {
            own,
            roster,
            settings,
            recovery,
            opened: now,
            store: RegisterStore::default(),
            ids: IdAllocator::new(own),
            proposals: BTreeMap::new(),
            queues: BTreeMap::new(),
            due: BTreeSet::new(),
            leader_ballots: BTreeMap::new(),
            tombstone_repairs: BTreeMap::new(),
            transfers: BTreeMap::new(),
            sessions: 0,
            fetched: 0,
            caught_up: false,
            lost_since: None,
            pending_writes: BTreeMap::new(),
            last_ticket: 0,
            unsynced: BTreeMap::new(),
            kept: 0,
            metadata_unsynced: None,
            fault: None,
            heartbeat_at: now,
            heartbeats: 0,
            announced: BTreeMap::new(),
            peers: None,
            loopback: VecDeque::new(),
            unsupported_versions: BTreeSet::new(),
            counters: Counters::default(),
            rng: SplitMix64::seed_from_u64(seed),
        }
    }

    /// When it wants [`Input::Wake`], at the latest.
    pub fn wake_at(&self) -> Option<Duration> {
        let proposal = self.due.first().map(|(at, _)| *at);
        let tombstone_repair = self.tombstone_repairs.values().map(|t| t.at).min();
        let fetch = self.transfers.values().map(|f| f.at).min();
        [
            proposal,
            tombstone_repair,
            fetch,
            self.store.next_expiry(),
            Some(self.heartbeat_at),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Takes one input at a clock time and appends what is to be done, in order.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Wake => {}
            Input::Frame { from, payload } => self.on_frame(now, from, &payload, out),
            Input::Peers(peers) => self.peers = Some(peers),
            Input::Loaded(found) => self.on_loaded(now, found, out),
            Input::Stored { ticket, done } => self.on_stored(now, ticket, done, out),
            Input::Read { call, key, until } => self.read(now, call, key, until, out),
            Input::Write {
                call,
                key,
                expected,
                epoch,
                value,
                until,
            } => {
                self.write(now, call, key, (expected, epoch, Some(value)), until, out);
            }
            Input::Delete {
                call,
                key,
                expected,
                until,
            } => {
                self.write(
                    now,
                    call,
                    key,
                    (Some(expected), expected.epoch, None),
                    until,
                    out,
                );
            }
        }
        self.run_due(now, out);
        while let Some(message) = self.loopback.pop_front() {
            self.on_message(now, self.own, message, out);
        }
    }

    /// Keys held here with their latest accepted value, which may not be the latest of all.
    pub fn held(&self) -> impl Iterator<Item = (&RegisterKey, Version, &[u8])> {
        self.store.iter_after(None).filter_map(|(key, acceptor)| {
            let state = &acceptor.accepted.as_ref()?.state;
            Some((key, state.version, state.body.as_deref()?))
        })
    }

    /// Who holds copies of a key: rendezvous hashing over the roster.
    pub fn replicas(&self, key: RegisterKey) -> Vec<NameKey> {
        crate::placement::replicas(&self.roster, self.settings.replicas, key)
    }

    /// Whether this copy counts for a register now.
    pub fn counts_for(&self, now: Duration, key: RegisterKey) -> bool {
        let replicas = self.replicas(key);
        let waited = now >= self.opened + CATCH_UP_GRACE;
        replicas.contains(&self.own.name)
            && self
                .recovery
                .as_ref()
                .is_some_and(|m| m.ready(&replicas, waited))
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    fn on_frame(&mut self, now: Duration, from: Process, message: &[u8], out: &mut Vec<Output>) {
        if from.name == self.own.name || !self.roster.contains(&from.name) {
            return;
        }
        match Message::read(message) {
            Ok(message) => self.on_message(now, from, message, out),
            Err(RegisterError::UnsupportedVersion(_)) => {
                self.counters.other_version += 1;
                if self.unsupported_versions.insert(from.name) {
                    out.push(Output::Event(Event::UnsupportedVersion(from.name)));
                }
            }
            Err(_) => self.counters.unreadable += 1,
        }
    }

    fn on_message(
        &mut self,
        now: Duration,
        from: Process,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        let name = from.name;
        match message {
            Message::Read { key, ballot } => self.on_read(now, name, key, ballot, out),
            Message::Prepare { key, ballot } => self.on_prepare(now, name, key, ballot, out),
            Message::Accept { key, ballot, state } => {
                self.on_accept(now, name, (key, ballot, &state), out)
            }
            Message::Promise {
                key,
                ballot,
                provenance,
                accepted,
            } => {
                self.on_promised(now, name, (key, ballot), provenance, accepted, out);
            }
            Message::Accepted {
                key,
                ballot,
                provenance,
            } => self.on_accepted(now, name, (key, ballot), provenance, out),
            Message::Rejected {
                key,
                ballot,
                reason,
            } => self.on_rejected(now, name, (key, ballot), reason, out),
            Message::Forget { key, version } => self.store.settle_tombstone(now, key, version),
            Message::FetchState {
                session,
                incarnation,
                count,
                after,
            } => {
                self.on_fetch_state(name, (session, after), (incarnation, count), out);
            }
            Message::StateChunk(chunk) => self.on_state_chunk(now, from, &chunk, out),
            Message::Heartbeat { incarnation, count } => {
                self.note_incarnation(name, incarnation, count, out);
            }
        }
    }

    fn run_due(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.run_due_calls(now, out);
        self.run_due_tombstone_repairs(now, out);
        self.request_state(now, out);
        self.check_caught_up(now, out);
        for key in self.store.expire(now) {
            self.unsynced.remove(&key);
            if self.settings.durable {
                // The record that told how many changes there were may be the one that goes.
                self.store_metadata(vec![], out);
                self.store_record(
                    WritePurpose::Removal,
                    disk_records::name(key),
                    None,
                    vec![],
                    out,
                );
            }
        }
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + HEARTBEAT_INTERVAL;
            self.heartbeat(now, out);
        }
    }

    fn heartbeat(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.heartbeats += 1;
        if self.heartbeats >= HEARTBEATS_PER_REPEAT {
            self.heartbeats = 0;
            self.announced.clear();
            if self.settings.durable && self.recovery.is_some() {
                self.store_metadata(vec![], out);
            }
        }
        if self
            .lost_since
            .is_some_and(|since| now >= since + LOSS_RETENTION)
        {
            self.lost_since = None;
            self.recovery
                .iter_mut()
                .for_each(RecoveryState::assume_complete);
        }
        let Some((incarnation, count)) = self.recovery.as_ref().map(|m| (m.incarnation, self.kept))
        else {
            return;
        };
        let others: Vec<NameKey> = self
            .roster
            .iter()
            .copied()
            .filter(|n| *n != self.own.name)
            .collect();
        for name in others {
            if self.announced.insert(name, (incarnation, count)) != Some((incarnation, count)) {
                self.send(name, Message::Heartbeat { incarnation, count }, out);
            }
        }
    }

    /// Takes word of how far another's memory goes.
    fn note_incarnation(
        &mut self,
        name: NameKey,
        incarnation: u64,
        count: u64,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(recovery) = &mut self.recovery else {
            return false;
        };
        let (later, loss) = recovery.note_incarnation(
            name,
            crate::recovery::Incarnation {
                incarnation,
                count,
                lost: false,
            },
        );
        if loss {
            out.push(Output::Event(Event::ReplicaLost(name)));
        }
        later
    }

    fn send(&mut self, to: NameKey, message: Message, out: &mut Vec<Output>) {
        match to == self.own.name {
            true => self.loopback.push_back(message),
            false => out.push(Output::Send(to, message.write())),
        }
    }

    /// 64 bits of chance.
    fn draw(&mut self) -> u64 {
        self.rng.next_u64()
    }
}
