//! Catching up after a restart: what the own disk holds, what others know of earlier incarnations, and the transfer of all that
//! other replicas hold. A transfer goes in chunks, each requested by the last key that has arrived, so that a lost frame costs one
//! chunk.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::{Process, StorageError, StoredEntries};

use super::persistence::{Reply, TransferId};
use super::{Replica, CATCH_UP_GRACE};
use crate::disk_records::{self, StoredState};
use crate::message::{Message, StateChunk, TransferSession};
use crate::recovery::{Completeness, Incarnation, RecoveryState, Source};
use crate::register::{Acceptor, RegisterKey};
use crate::{Event, Output};

/// A chunk that did not arrive is requested again after this.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// A source that is still needed after its transfer is asked again after this.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1000);
/// Bytes of a chunk; a single register always fits.
const MAX_CHUNK_BYTES: usize = 50 * 1024;
/// Bytes of a register in a chunk beside its value, at most.
const REGISTER_OVERHEAD_BYTES: usize = 160;
/// Registers looked at for one chunk.
const MAX_SCANNED_REGISTERS: usize = 4096;

/// The transfer of all that another replica holds.
struct StateTransfer {
    number: u64,
    /// Start number of the process that it comes from.
    source_start: Option<u64>,
    /// The last key that has arrived.
    after: Option<RegisterKey>,
    next_request: Duration,
    /// All chunks have arrived.
    ended: bool,
    /// Registers that are not on disk yet.
    unsynced: usize,
    /// Some register could not be stored.
    failed: bool,
    /// The least that the source said of its own completeness.
    completeness: Completeness,
    missing: BTreeSet<NameKey>,
}

impl StateTransfer {
    fn new(number: u64, next_request: Duration) -> StateTransfer {
        StateTransfer {
            number,
            source_start: None,
            after: None,
            next_request,
            ended: false,
            unsynced: 0,
            failed: false,
            completeness: Completeness::Complete,
            missing: BTreeSet::new(),
        }
    }

    /// Takes the head of a chunk.
    fn advance(&mut self, now: Duration, chunk: &StateChunk) {
        self.completeness = self.completeness.max(chunk.completeness);
        self.missing.extend(&chunk.missing);
        self.next_request = now;
        match chunk.up_to {
            Some(up_to) => self.after = Some(up_to),
            None => self.ended = true,
        }
    }
}

/// Transfers in progress, by source.
#[derive(Default)]
pub(super) struct Transfers {
    active: BTreeMap<NameKey, StateTransfer>,
    last_number: u64,
    /// Registers that transfers have changed.
    changed_registers: u64,
}

impl Transfers {
    /// When the next request is due.
    pub(super) fn wake_at(&self) -> Option<Duration> {
        self.active
            .values()
            .map(|transfer| transfer.next_request)
            .min()
    }

    /// Begins a transfer from each source that has none.
    fn begin(&mut self, sources: Vec<NameKey>, first_request: Duration) {
        for name in sources {
            if !self.active.contains_key(&name) {
                self.last_number += 1;
                let transfer = StateTransfer::new(self.last_number, first_request);
                self.active.insert(name, transfer);
            }
        }
    }

    /// Removes a transfer of which everything has arrived and is on disk.
    fn take_finished(&mut self, name: NameKey) -> Option<StateTransfer> {
        let transfer = self.active.get(&name)?;
        let is_finished = transfer.ended && transfer.unsynced == 0;
        is_finished.then(|| self.active.remove(&name)).flatten()
    }

    fn fail(&mut self, name: NameKey) {
        if let Some(transfer) = self.active.get_mut(&name) {
            transfer.failed = true;
        }
    }
}

/// Registers for one chunk.
struct Scan<'a> {
    items: Vec<(RegisterKey, &'a Acceptor)>,
    /// The last key looked at; none at the end.
    up_to: Option<RegisterKey>,
}

impl Replica {
    /// What was on disk at the start.
    pub(super) fn on_loaded(
        &mut self,
        now: Duration,
        found: Result<StoredEntries, StorageError>,
        out: &mut Vec<Output>,
    ) {
        if self.recovery.is_some() {
            return;
        }
        self.opened_at = now;
        let stale = match found {
            Err(fault) => {
                self.persistence.set_fault(fault.clone());
                out.push(Output::Event(Event::DiskFault(fault)));
                self.begin_incarnation(Completeness::Lost);
                vec![]
            }
            Ok(found) => self.restore(now, found, out),
        };
        for name in stale {
            self.remove_record(name, out);
        }
        self.store_metadata(vec![], out);
    }

    fn begin_incarnation(&mut self, completeness: Completeness) {
        let (own, start) = (self.own.name, self.own.start);
        self.recovery = Some(RecoveryState::new(own, &self.roster, completeness, start));
    }

    /// Restores what is on disk; returns the names of records that are of no use.
    fn restore(
        &mut self,
        now: Duration,
        found: StoredEntries,
        out: &mut Vec<Output>,
    ) -> Vec<Vec<u8>> {
        let names: Vec<Vec<u8>> = found.iter().map(|(name, _)| name.clone()).collect();
        match disk_records::open(found) {
            StoredState::Empty => {
                self.begin_incarnation(Completeness::Fresh);
                vec![]
            }
            StoredState::Corrupt => {
                out.push(Output::Event(Event::DiskCorrupt));
                self.begin_incarnation(Completeness::Lost);
                names
            }
            StoredState::Intact {
                metadata,
                registers,
                stale,
            } => {
                for (key, acceptor) in registers {
                    // What exceeds the capacity now exceeded it when it was written.
                    let bytes = acceptor.value_bytes();
                    let _ = self.store.update(now, key, bytes, |held| *held = acceptor);
                }
                self.persistence.set_durable_changes(metadata.count);
                let recovery = RecoveryState::new(
                    self.own.name,
                    &self.roster,
                    metadata.completeness,
                    metadata.incarnation,
                );
                self.recovery = Some(recovery.with(metadata.count, metadata.incarnations));
                stale
            }
        }
    }

    /// Requests what is missing, one chunk at a time of each source.
    pub(super) fn request_state(&mut self, now: Duration, out: &mut Vec<Output>) {
        let Some(recovery) = &self.recovery else {
            return;
        };
        let incarnation = recovery.incarnation;
        self.transfers.begin(recovery.pending_sources(), now);
        let mut requests = Vec::new();
        for (name, transfer) in &mut self.transfers.active {
            if transfer.next_request > now {
                continue;
            }
            transfer.next_request = now + RETRY_INTERVAL;
            if transfer.ended {
                continue;
            }
            let message = Message::FetchState {
                session: TransferSession {
                    start: self.own.start,
                    number: transfer.number,
                },
                incarnation,
                count: self.persistence.durable_changes(),
                after: transfer.after,
            };
            requests.push((*name, message));
        }
        for (name, message) in requests {
            self.send(name, message, out);
        }
    }

    /// Another replica asks for a chunk. `incarnation_is_later`: it was not known yet that its earlier one has ended.
    pub(super) fn on_fetch_state(
        &mut self,
        from: NameKey,
        session: TransferSession,
        after: Option<RegisterKey>,
        incarnation_is_later: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(recovery) = &self.recovery else {
            return;
        };
        let scan = self.scan(from, after);
        // Plain data cannot fail to be encoded; a chunk that does not open is requested again.
        let items = postcard::to_stdvec(&scan.items).unwrap_or_default();
        let chunk = StateChunk {
            session,
            after,
            up_to: scan.up_to,
            completeness: recovery.completeness,
            missing: recovery.missing().iter().copied().collect(),
            incarnations: recovery
                .incarnations()
                .iter()
                .map(|(name, incarnation)| (*name, *incarnation))
                .collect(),
            sum: crc32fast::hash(&items),
            items,
        };
        let reply = Reply {
            to: from,
            message: Message::StateChunk(Box::new(chunk)),
        };
        // From now on this replica reports to all that the other's earlier incarnation has ended; it must not forget that.
        self.send_when_metadata_durable(reply, incarnation_is_later, out);
    }

    /// Registers after a key that another member holds too, as many as fit into a chunk.
    fn scan(&self, member: NameKey, after: Option<RegisterKey>) -> Scan<'_> {
        let mut scan = Scan {
            items: vec![],
            up_to: after,
        };
        let mut bytes = 0;
        for (scanned, (key, acceptor)) in self.store.iter_after(after).enumerate() {
            let register_bytes = acceptor.value_bytes() + REGISTER_OVERHEAD_BYTES;
            if scanned >= MAX_SCANNED_REGISTERS || bytes + register_bytes > MAX_CHUNK_BYTES {
                return scan;
            }
            scan.up_to = Some(*key);
            if self.replicas(*key).contains(&member) {
                bytes += register_bytes;
                scan.items.push((*key, acceptor));
            }
        }
        scan.up_to = None;
        scan
    }

    pub(super) fn on_state_chunk(
        &mut self,
        now: Duration,
        from: Process,
        chunk: &StateChunk,
        out: &mut Vec<Output>,
    ) {
        let name = from.name;
        let own_start = self.own.start;
        let is_awaited = |transfer: &&mut StateTransfer| {
            let session = TransferSession {
                start: own_start,
                number: transfer.number,
            };
            chunk.session == session && chunk.after == transfer.after && !transfer.ended
        };
        let Some(transfer) = self.transfers.active.get_mut(&name).filter(is_awaited) else {
            return;
        };
        let Some(items) = chunk.open() else {
            self.counters.broken_chunks += 1;
            return;
        };
        if transfer
            .source_start
            .is_some_and(|start| start != from.start)
        {
            // Another process goes on with it, which may hold something else: it begins anew.
            self.transfers.active.remove(&name);
            return;
        }
        transfer.source_start = Some(from.start);
        transfer.advance(now, chunk);
        let number = transfer.number;
        if self.on_incarnations(name, &chunk.incarnations, out) {
            return;
        }
        let id = TransferId { from: name, number };
        for (key, acceptor) in items {
            if !self.learn(now, key, acceptor, id, out) {
                self.transfers.fail(name);
            }
        }
        self.finish_transfer(now, name, out);
    }

    /// What another replica knows of incarnations, this one's among them; returns whether transfers have to begin anew.
    fn on_incarnations(
        &mut self,
        by: NameKey,
        incarnations: &[(NameKey, Incarnation)],
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(recovery) = &mut self.recovery else {
            return true;
        };
        let own = incarnations
            .iter()
            .find(|(name, _)| *name == self.own.name)
            .map(|(_, incarnation)| *incarnation);
        if own.is_some_and(|known| recovery.is_contradicted_by(known)) {
            return self.end_incarnation(by, out);
        }
        for (name, incarnation) in incarnations {
            if recovery.note_incarnation(*name, *incarnation).is_loss {
                out.push(Output::Event(Event::ReplicaLost(*name)));
            }
        }
        false
    }

    /// Another replica knows more of this one than it holds itself: begins an incarnation that is known to be incomplete. Returns
    /// false where this process has begun one already.
    fn end_incarnation(&mut self, by: NameKey, out: &mut Vec<Output>) -> bool {
        let Some(recovery) = &mut self.recovery else {
            return true;
        };
        if recovery.completeness == Completeness::Fresh {
            out.push(Output::Event(Event::DiskErased { by }));
            recovery.begin_incomplete(recovery.incarnation);
        } else if self.own.start > recovery.incarnation {
            out.push(Output::Event(Event::OlderDisk { by }));
            recovery.begin_incomplete(self.own.start);
            self.store.clear();
            self.persistence.end_incarnation();
        } else {
            return false;
        }
        self.transfers.active.clear();
        if self.settings.durable {
            self.store_metadata(vec![], out);
        }
        true
    }

    /// Takes a register that another replica holds; returns whether there is capacity for it.
    fn learn(
        &mut self,
        now: Duration,
        key: RegisterKey,
        acceptor: Acceptor,
        transfer: TransferId,
        out: &mut Vec<Output>,
    ) -> bool {
        if !self.replicas(key).contains(&self.own.name) {
            return true;
        }
        let bytes = acceptor.value_bytes();
        let learned = self
            .store
            .update(now, key, bytes, |held| held.learn(acceptor));
        let Ok(changed) = learned else {
            return false;
        };
        if !changed && !self.persistence.is_unsynced(key) {
            return true;
        }
        self.transfers.changed_registers += u64::from(changed);
        if let Some(recovery) = &mut self.recovery {
            recovery.changes += u64::from(changed);
        }
        if self.settings.durable {
            self.store_transferred(key, transfer, out);
            if let Some(transfer) = self.transfers.active.get_mut(&transfer.from) {
                transfer.unsynced += 1;
            }
        } else {
            self.persistence.set_durable_changes(self.changes());
        }
        true
    }

    /// A register that was fetched is on disk, or could not be written.
    pub(super) fn on_transferred_stored(
        &mut self,
        now: Duration,
        id: TransferId,
        stored: bool,
        out: &mut Vec<Output>,
    ) {
        let is_current = |transfer: &&mut StateTransfer| transfer.number == id.number;
        let Some(transfer) = self.transfers.active.get_mut(&id.from).filter(is_current) else {
            return;
        };
        transfer.unsynced = transfer.unsynced.saturating_sub(1);
        transfer.failed |= !stored;
        self.finish_transfer(now, id.from, out);
    }

    fn finish_transfer(&mut self, now: Duration, name: NameKey, out: &mut Vec<Output>) {
        let Some(transfer) = self.transfers.take_finished(name) else {
            return;
        };
        let Some(recovery) = self.recovery.as_mut() else {
            return;
        };
        let before = recovery.completeness;
        if !transfer.failed {
            let source = Source {
                completeness: transfer.completeness,
                missing: transfer.missing,
            };
            recovery.add_source(name, source);
        }
        let has_changed = recovery.completeness != before;
        let pending = recovery.pending_sources();
        self.transfers.begin(pending, now + REPEAT_INTERVAL);
        if has_changed && self.settings.durable {
            self.store_metadata(vec![], out);
        }
        self.check_caught_up(now, out);
    }

    /// Reports once that this replica has caught up.
    pub(super) fn check_caught_up(&mut self, now: Duration, out: &mut Vec<Output>) {
        let Some(recovery) = self.recovery.as_ref().filter(|_| !self.has_caught_up) else {
            return;
        };
        let waited = recovery.completeness == Completeness::Complete
            && now >= self.opened_at + CATCH_UP_GRACE
            && recovery.source_count() > 0;
        if recovery.missing().is_empty() || waited {
            self.has_caught_up = true;
            out.push(Output::Event(Event::CaughtUp {
                registers: self.store.len(),
                fetched: self.transfers.changed_registers,
            }));
        }
    }
}
