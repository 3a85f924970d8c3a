//! Catching up after a restart: the transfer of all that other replicas hold, and what they know of earlier incarnations. A transfer
//! goes in chunks, each requested by the last key that has arrived, so that a lost frame costs one chunk.

use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::Process;

use super::persistence::{Reply, TransferId};
use super::transfers::StateTransfer;
use super::{Replica, CATCH_UP_GRACE};
use crate::message::{Message, StateChunk, TransferSession};
use crate::recovery::{Completeness, Incarnation, Source};
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

/// Registers for one chunk.
struct Scan<'a> {
    items: Vec<(RegisterKey, &'a Acceptor)>,
    /// The last key looked at; none at the end.
    up_to: Option<RegisterKey>,
}

impl Replica {
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
