//! Catching up after a restart: transfers the registers of other replicas, and evaluates what they know about earlier incarnations
//! of this replica. A transfer consists of chunks, each requested by the last key that has arrived, so a lost frame costs one
//! chunk.

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

/// Time after which a chunk that has not arrived is requested again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before a transfer is repeated from a source that is still needed after its transfer ended.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1000);
/// Maximum size of the registers in a chunk in bytes. A single register always fits.
const MAX_CHUNK_BYTES: usize = 50 * 1024;
/// Upper bound for the encoded size of a register in a chunk in bytes, not including its value.
const REGISTER_OVERHEAD_BYTES: usize = 160;
/// Maximum number of registers that are scanned for one chunk.
const MAX_SCANNED_REGISTERS: usize = 4096;

/// Result of scanning the registers for one chunk.
struct Scan<'a> {
    /// Registers to send.
    items: Vec<(RegisterKey, &'a Acceptor)>,
    /// Last key that was scanned; `None` if the scan reached the last register.
    up_to: Option<RegisterKey>,
}

impl Replica {
    /// Requests the next chunk from each source whose request is due. Each source sends one chunk at a time.
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

    /// Handles another replica's request for a chunk. `incarnation_is_later`: whether the request changed the known incarnation of
    /// that replica, so that the metadata have to be stored.
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
        // Encoding plain data into a vector cannot fail. A chunk that cannot be decoded would be requested again.
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
        // The chunk may report that an earlier incarnation of the other replica has ended. This replica must not forget that, so it
        // sends the chunk only once the metadata are durable.
        self.send_when_metadata_durable(reply, incarnation_is_later, out);
    }

    /// Collects registers with keys greater than `after` that another member holds too, as many as fit into a chunk.
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

    /// Handles a chunk of a state transfer. Ignores it unless it is the one that was requested last from its sender.
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
        let Some(items) = chunk.decode_items() else {
            self.counters.corrupt_chunks += 1;
            return;
        };
        if transfer
            .source_start
            .is_some_and(|start| start != from.start)
        {
            // The source has restarted in the course of the transfer and may hold other state now, so the transfer begins again.
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

    /// Evaluates what another replica knows about incarnations, including that of this replica. Returns whether transfers have to
    /// begin again because this replica has been found to have lost state.
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

    /// Handles proof from another replica that this replica has lost state: begins an incarnation that is known to be incomplete.
    /// Returns false if this process has begun one before.
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

    /// Merges in a register that was received by state transfer. Returns false if there is no capacity for it.
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

    /// Handles the completion of the write of a register that was received by state transfer. `stored`: whether the write
    /// succeeded.
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

    /// Completes the transfer from a source if all its chunks have arrived and its registers are stored.
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

    /// Reports that this replica has caught up, once, as soon as it has.
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
