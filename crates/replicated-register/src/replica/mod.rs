//! One member's part: the registers that it holds replicas of, and the calls that it makes.

mod acceptor;
mod heartbeat;
mod persistence;
mod proposer;
mod request;
mod restore;
mod state_transfer;
mod tombstone_repair;
mod transfers;

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::{Peers, Process};
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::SplitMix64;

use crate::ids::IdAllocator;
use crate::message::Message;
use crate::proposal::Write;
use crate::recovery::{Completeness, RecoveryState};
use crate::store::RegisterStore;
use crate::{Event, Input, Output, RegisterError, RegisterKey, Settings, Version};

use heartbeat::Heartbeats;
use persistence::Persistence;
use proposer::Proposer;
use request::Request;
use tombstone_repair::TombstoneRepairs;
use transfers::Transfers;

/// How long a replica that restarted with its disk waits for all others to be heard, before one is enough.
const CATCH_UP_GRACE: Duration = Duration::from_secs(3);

/// Messages and calls that were dropped or refused, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Frames that could not be decoded.
    pub malformed: u64,
    /// Frames of another protocol version.
    pub unsupported_version: u64,
    /// Chunks whose checksum was wrong.
    pub broken_chunks: u64,
    /// Calls and messages refused for lack of capacity.
    pub rejected: u64,
}

/// One member's replicas and calls: a pure machine that takes [`Input`] and appends [`Output`].
pub struct Replica {
    own: Process,
    roster: BTreeSet<NameKey>,
    settings: Settings,
    /// None until the disk has been read.
    recovery: Option<RecoveryState>,
    /// When the replica began to catch up.
    opened_at: Duration,
    has_caught_up: bool,
    /// When a majority was first found to have lost what it held.
    lost_since: Option<Duration>,
    store: RegisterStore,
    persistence: Persistence,
    proposer: Proposer,
    repairs: TombstoneRepairs,
    transfers: Transfers,
    heartbeats: Heartbeats,
    peers: Option<Peers>,
    /// Messages to itself, within a step.
    loopback: VecDeque<Message>,
    /// Members whose protocol version was reported as unsupported.
    unsupported_versions: BTreeSet<NameKey>,
    counters: Counters,
    rng: SplitMix64,
}

impl Replica {
    /// `start` of `own` tells this process from earlier ones under the same name, and is greater than theirs. The roster holds the
    /// own name too and is the same at all members; it is changed by restarts of all. `seed` is for the random backoff.
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
            opened_at: now,
            has_caught_up: false,
            lost_since: None,
            store: RegisterStore::default(),
            persistence: Persistence::default(),
            proposer: Proposer::new(IdAllocator::new(own)),
            repairs: TombstoneRepairs::default(),
            transfers: Transfers::default(),
            heartbeats: Heartbeats::new(now),
            peers: None,
            loopback: VecDeque::new(),
            unsupported_versions: BTreeSet::new(),
            counters: Counters::default(),
            rng: SplitMix64::seed_from_u64(seed),
        }
    }

    /// When it needs [`Input::Wake`] at the latest.
    pub fn wake_at(&self) -> Option<Duration> {
        [
            self.proposer.wake_at(),
            self.repairs.wake_at(),
            self.transfers.wake_at(),
            self.store.next_expiry(),
            Some(self.heartbeats.next_at()),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Takes one input at a time of the process's clock and appends the outputs, in order.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Wake => {}
            Input::Frame { from, payload } => self.on_frame(now, from, &payload, out),
            Input::Peers(peers) => self.peers = Some(peers),
            Input::Loaded(found) => self.on_loaded(now, found, out),
            Input::Stored { ticket, result } => self.on_stored(now, ticket, result, out),
            Input::Read {
                call,
                key,
                deadline,
            } => self.read(now, call, key, deadline, out),
            Input::Write {
                call,
                key,
                expected,
                epoch,
                value,
                deadline,
            } => {
                let write = Write {
                    expected,
                    epoch,
                    body: Some(value),
                };
                self.write(now, call, key, write, deadline, out);
            }
            Input::Delete {
                call,
                key,
                expected,
                deadline,
            } => {
                let write = Write {
                    expected: Some(expected),
                    epoch: expected.epoch,
                    body: None,
                };
                self.write(now, call, key, write, deadline, out);
            }
        }
        self.run_due(now, out);
        while let Some(message) = self.loopback.pop_front() {
            self.on_message(now, self.own, message, out);
        }
    }

    /// Keys held here with their latest accepted value, which may not be the latest of all replicas.
    pub fn local_values(&self) -> impl Iterator<Item = (&RegisterKey, Version, &[u8])> {
        self.store.iter_after(None).filter_map(|(key, acceptor)| {
            let state = &acceptor.accepted.as_ref()?.state;
            Some((key, state.version, state.body.as_deref()?))
        })
    }

    /// Members that hold replicas of a register: rendezvous hashing over the roster.
    pub fn replicas(&self, key: RegisterKey) -> Vec<NameKey> {
        crate::placement::replicas(&self.roster, self.settings.replicas, key)
    }

    /// Whether this replica counts towards a majority of a register now.
    pub fn counts_toward_majority(&self, now: Duration, key: RegisterKey) -> bool {
        let replicas = self.replicas(key);
        let waited = now >= self.opened_at + CATCH_UP_GRACE;
        replicas.contains(&self.own.name)
            && self
                .recovery
                .as_ref()
                .is_some_and(|recovery| recovery.counts_for(&replicas, waited))
    }

    /// What was dropped or refused so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    fn on_frame(&mut self, now: Duration, from: Process, payload: &[u8], out: &mut Vec<Output>) {
        if from.name == self.own.name || !self.roster.contains(&from.name) {
            return;
        }
        match Message::decode(payload) {
            Ok(message) => self.on_message(now, from, message, out),
            Err(RegisterError::UnsupportedVersion(_)) => {
                self.counters.unsupported_version += 1;
                if self.unsupported_versions.insert(from.name) {
                    out.push(Output::Event(Event::UnsupportedVersion(from.name)));
                }
            }
            Err(_) => self.counters.malformed += 1,
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
            Message::Read { key, ballot } => self.on_read(now, name, Request { key, ballot }, out),
            Message::Prepare { key, ballot } => {
                self.on_prepare(now, name, Request { key, ballot }, out);
            }
            Message::Accept { key, ballot, state } => {
                self.on_accept(now, name, Request { key, ballot }, &state, out);
            }
            Message::Promise {
                key,
                ballot,
                provenance,
                accepted,
            } => {
                let request = Request { key, ballot };
                self.on_promise(now, name, request, provenance, accepted, out);
            }
            Message::Accepted {
                key,
                ballot,
                provenance,
            } => self.on_accepted(now, name, Request { key, ballot }, provenance, out),
            Message::Rejected {
                key,
                ballot,
                reason,
            } => self.on_rejected(now, name, Request { key, ballot }, reason, out),
            Message::Forget { key, version } => self.store.settle_tombstone(now, key, version),
            Message::FetchState {
                session,
                incarnation,
                count,
                after,
            } => {
                let is_later = self.note_incarnation(name, incarnation, count, out);
                self.on_fetch_state(name, session, after, is_later, out);
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
        self.expire_registers(now, out);
        self.run_due_heartbeat(now, out);
    }

    fn expire_registers(&mut self, now: Duration, out: &mut Vec<Output>) {
        for key in self.store.expire(now) {
            self.persistence.forget(key);
            if self.settings.durable {
                // The record with the highest number of changes may be the one that is removed.
                self.store_metadata(vec![], out);
                self.remove_record(crate::disk_records::name(key), out);
            }
        }
    }

    /// Takes a report of another member's incarnation and number of changes; returns whether the incarnation is a later one.
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
        let report = crate::recovery::Incarnation {
            number: incarnation,
            count,
            lost: false,
        };
        let change = recovery.note_incarnation(name, report);
        if change.is_loss {
            out.push(Output::Event(Event::ReplicaLost(name)));
        }
        change.is_later
    }

    fn send(&mut self, to: NameKey, message: Message, out: &mut Vec<Output>) {
        if to == self.own.name {
            self.loopback.push_back(message);
        } else {
            out.push(Output::Send(to, message.encode()));
        }
    }

    /// Changes of this replica so far; none before its disk has been read.
    fn changes(&self) -> u64 {
        self.recovery
            .as_ref()
            .map_or(0, |recovery| recovery.changes)
    }

    /// 64 random bits.
    fn draw(&mut self) -> u64 {
        self.rng.next_u64()
    }
}
