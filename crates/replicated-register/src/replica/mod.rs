//! State machine of one member: the register replicas that it holds, and the calls that it makes.

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

/// Grace period after a start. Before its end, a replica that restored its state from disk counts toward a majority of a register
/// only if it has caught up with all other replicas of the register. After it, a majority that includes the replica itself is
/// enough.
const CATCH_UP_GRACE: Duration = Duration::from_secs(3);

/// Numbers of messages and calls that were dropped or rejected since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Number of received frames that could not be decoded.
    pub malformed: u64,
    /// Number of received frames of an unsupported protocol version.
    pub unsupported_version: u64,
    /// Number of received state chunks whose checksum did not match or whose items could not be decoded.
    pub corrupt_chunks: u64,
    /// Number of calls and requests that were rejected or dropped for lack of capacity.
    pub rejected: u64,
}

/// State machine of one member's register replicas and calls. It takes an [`Input`] and appends each [`Output`]; it performs no
/// I/O.
pub struct Replica {
    own: Process,
    roster: BTreeSet<NameKey>,
    settings: Settings,
    /// State of recovery; `None` until the records on disk have been read.
    recovery: Option<RecoveryState>,
    /// Time at which the replica began to catch up with the other members.
    opened_at: Duration,
    /// Whether the replica has reported that it has caught up.
    has_caught_up: bool,
    /// Time at which a majority of some register's replicas was first found to have lost its state.
    lost_since: Option<Duration>,
    store: RegisterStore,
    persistence: Persistence,
    proposer: Proposer,
    repairs: TombstoneRepairs,
    transfers: Transfers,
    heartbeats: Heartbeats,
    /// Latest report of membership about the reachable members, if any.
    peers: Option<Peers>,
    /// Messages of this replica to itself, which are handled at the end of the step that sends them.
    loopback: VecDeque<Message>,
    /// Members for which an unsupported protocol version was logged.
    unsupported_versions: BTreeSet<NameKey>,
    counters: Counters,
    rng: SplitMix64,
}

impl Replica {
    /// Creates the replica of process `own`, whose `start` has to be greater than that of earlier processes under the same name.
    /// The roster includes the own name and has to be the same at all members; changing it requires a restart of all members.
    /// `seed` seeds the random backoff.
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

    /// Time by which the replica needs an [`Input::Wake`], unless another input arrives before.
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

    /// Handles one input at time `now` of the process's clock, and appends the outputs in order.
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

    /// Iterates over the registers that this member holds with a value: key, version and value. The value is the one that this
    /// replica accepted last; other replicas may have a later one.
    pub fn local_values(&self) -> impl Iterator<Item = (&RegisterKey, Version, &[u8])> {
        self.store.iter_after(None).filter_map(|(key, acceptor)| {
            let state = &acceptor.accepted.as_ref()?.state;
            Some((key, state.version, state.body.as_deref()?))
        })
    }

    /// Members that hold replicas of a register, chosen by rendezvous hashing over the roster.
    pub fn replicas(&self, key: RegisterKey) -> Vec<NameKey> {
        crate::placement::replicas(&self.roster, self.settings.replicas, key)
    }

    /// Whether this replica currently counts toward a majority of a register.
    pub fn counts_toward_majority(&self, now: Duration, key: RegisterKey) -> bool {
        let replicas = self.replicas(key);
        let waited = now >= self.opened_at + CATCH_UP_GRACE;
        replicas.contains(&self.own.name)
            && self
                .recovery
                .as_ref()
                .is_some_and(|recovery| recovery.counts_toward_majority(&replicas, waited))
    }

    /// Numbers of messages and calls that were dropped or rejected so far.
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

    /// Runs all timers that are due.
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
                // After a restart the number of changes is the highest in any record, and the removed record may be the one that
                // holds it. So the metadata record is written with the current number first.
                self.store_metadata(vec![], out);
                self.remove_record(crate::disk_records::name(key), out);
            }
        }
    }

    /// Records a report of another member's incarnation and number of changes. Returns whether this changed the known incarnation:
    /// it is later, or it became known that an earlier one has ended.
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

    /// Sends a message to a member, or queues it in the loopback if the member is this one.
    fn send(&mut self, to: NameKey, message: Message, out: &mut Vec<Output>) {
        if to == self.own.name {
            self.loopback.push_back(message);
        } else {
            out.push(Output::Send(to, message.encode()));
        }
    }

    /// Number of changes of this replica in its current incarnation; 0 until the records on disk have been read.
    fn changes(&self) -> u64 {
        self.recovery
            .as_ref()
            .map_or(0, |recovery| recovery.changes)
    }

    /// Returns 64 random bits.
    fn random_bits(&mut self) -> u64 {
        self.rng.next_u64()
    }
}
