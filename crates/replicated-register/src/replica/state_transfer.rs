//! A copy that returns: what its disk holds, what others know of it, and the fetching of what it missed, in chunks, each asked for by
//! the last key that has arrived, so that a broken link or a lost frame costs one chunk.

use std::collections::BTreeSet;
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::{Found, KeepError, Process};

use super::{Replica, Unsynced, WritePurpose, CATCH_UP_GRACE};
use crate::disk_records::{self, StoredState};
use crate::message::{Message, StateChunk, TransferSession};
use crate::recovery::{Completeness, Incarnation, RecoveryState, Source};
use crate::register::{Acceptor, RegisterKey};
use crate::{Event, Output};

/// A chunk that did not come is asked for again, and one who did not answer, or lacked something itself.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes of values in a chunk; a single value always has room.
const MAX_CHUNK_BYTES: usize = 50 * 1024;
/// Bytes of a register beside its value, at the most.
const REGISTER_OVERHEAD_BYTES: usize = 160;
/// Registers looked through for one chunk.
const MAX_SCANNED_REGISTERS: usize = 4096;

/// The fetching of all that another copy holds.
pub struct StateTransfer {
    number: u64,
    /// The start of the process that tells.
    start: Option<u64>,
    after: Option<RegisterKey>,
    pub at: Duration,
    ended: bool,
    /// Registers that are not on disk yet.
    waiting: usize,
    failed: bool,
    completeness: Completeness,
    missing: BTreeSet<NameKey>,
}

impl Replica {
    pub(super) fn on_loaded(
        &mut self,
        now: Duration,
        found: Result<Found, KeepError>,
        out: &mut Vec<Output>,
    ) {
        if self.recovery.is_some() {
            return;
        }
        self.opened = now;
        let (own, start) = (self.own.name, self.own.start);
        let new = |completeness, incarnation| {
            RecoveryState::new(own, &self.roster, completeness, incarnation)
        };
        let mut stale = Vec::new();
        let recovery = match found {
            Err(fault) => {
                self.fault = Some(fault.clone());
                out.push(Output::Event(Event::DiskFault(fault)));
                new(Completeness::Lost, start)
            }
            Ok(found) => {
                let names: Vec<Vec<u8>> = found.iter().map(|(name, _)| name.clone()).collect();
                match disk_records::open(found) {
                    StoredState::Empty => new(Completeness::Fresh, start),
                    StoredState::Corrupt => {
                        stale = names;
                        out.push(Output::Event(Event::DiskCorrupt));
                        new(Completeness::Lost, start)
                    }
                    StoredState::Intact {
                        meta,
                        registers,
                        stale: old,
                    } => {
                        stale = old;
                        for (key, acceptor) in registers {
                            // What does not fit now did not fit then.
                            let bytes = acceptor.bytes();
                            let _ = self.store.update(now, key, bytes, |held| *held = acceptor);
                        }
                        self.kept = meta.count;
                        new(meta.completeness, meta.incarnation).with(meta.count, meta.incarnations)
                    }
                }
            }
        };
        self.recovery = Some(recovery);
        for name in stale {
            self.store_record(WritePurpose::Removal, name, None, vec![], out);
        }
        self.store_metadata(vec![], out);
    }

    /// Asks those it has not caught up with, one chunk at a time of each.
    pub(super) fn request_state(&mut self, now: Duration, out: &mut Vec<Output>) {
        let Some(recovery) = &self.recovery else {
            return;
        };
        let pending_sources = recovery.pending_sources();
        let (incarnation, count) = (recovery.incarnation, self.kept);
        for name in pending_sources {
            if !self.transfers.contains_key(&name) {
                self.sessions += 1;
                self.transfers
                    .insert(name, StateTransfer::new(self.sessions, now));
            }
        }
        let mut asks = Vec::new();
        for (name, fetch) in self.transfers.iter_mut().filter(|(_, f)| f.at <= now) {
            fetch.at = now + RETRY_INTERVAL;
            if !fetch.ended {
                let session = TransferSession {
                    start: self.own.start,
                    number: fetch.number,
                };
                asks.push((
                    *name,
                    Message::FetchState {
                        session,
                        incarnation,
                        count,
                        after: fetch.after,
                    },
                ));
            }
        }
        asks.into_iter()
            .for_each(|(name, message)| self.send(name, message, out));
    }

    pub(super) fn on_fetch_state(
        &mut self,
        from: NameKey,
        (session, after): (TransferSession, Option<RegisterKey>),
        (incarnation, count): (u64, u64),
        out: &mut Vec<Output>,
    ) {
        let later = self.note_incarnation(from, incarnation, count, out);
        let Some(recovery) = &self.recovery else {
            return;
        };
        let (mut items, mut bytes, mut looked) = (Vec::<(RegisterKey, &Acceptor)>::new(), 0, 0);
        let (mut up_to, mut end) = (after, true);
        for (key, acceptor) in self.store.iter_after(after) {
            if looked >= MAX_SCANNED_REGISTERS
                || bytes + acceptor.bytes() + REGISTER_OVERHEAD_BYTES > MAX_CHUNK_BYTES
            {
                end = false;
                break;
            }
            looked += 1;
            up_to = Some(*key);
            if self.replicas(*key).contains(&from) {
                bytes += acceptor.bytes() + REGISTER_OVERHEAD_BYTES;
                items.push((*key, acceptor));
            }
        }
        // Plain data cannot fail to be written; what does not open is asked for again.
        let items = postcard::to_stdvec(&items).unwrap_or_default();
        let message = Message::StateChunk(Box::new(StateChunk {
            session,
            after,
            up_to: up_to.filter(|_| !end),
            completeness: recovery.completeness,
            missing: recovery.missing().iter().copied().collect(),
            incarnations: recovery
                .incarnations()
                .iter()
                .map(|(name, incarnation)| (*name, *incarnation))
                .collect(),
            sum: crc32fast::hash(&items),
            items,
        }));
        // From now on it says to all that the other's earlier life has ended; it must not forget that.
        match (self.settings.durable, self.metadata_unsynced) {
            (true, Some(Unsynced::Pending(ticket))) if !later => {
                self.pending_writes
                    .get_mut(&ticket)
                    .into_iter()
                    .for_each(|t| t.replies.push((from, message.clone())));
            }
            (true, meta) if later || meta.is_some() => {
                self.store_metadata(vec![(from, message)], out)
            }
            _ => self.send(from, message, out),
        }
    }

    pub(super) fn on_state_chunk(
        &mut self,
        now: Duration,
        from: Process,
        chunk: &StateChunk,
        out: &mut Vec<Output>,
    ) {
        let name = from.name;
        let own_version = |f: &&mut StateTransfer| {
            chunk.session
                == TransferSession {
                    start: self.own.start,
                    number: f.number,
                }
                && chunk.after == f.after
                && !f.ended
        };
        let Some(fetch) = self.transfers.get_mut(&name).filter(own_version) else {
            return;
        };
        let Some(items) = chunk.open() else {
            self.counters.broken_chunks += 1;
            return;
        };
        if fetch.start.is_some_and(|start| start != from.start) {
            // Another process tells on: from the beginning, as its memory may be another one.
            self.transfers.remove(&name);
            return;
        }
        fetch.start = Some(from.start);
        fetch.completeness = fetch.completeness.max(chunk.completeness);
        fetch.missing.extend(&chunk.missing);
        fetch.at = now;
        match chunk.up_to {
            Some(up_to) => fetch.after = Some(up_to),
            None => fetch.ended = true,
        }
        let number = fetch.number;
        if self.on_incarnations(name, &chunk.incarnations, out) {
            return;
        }
        for (key, acceptor) in items {
            if !self.learn(now, key, acceptor, (name, number), out) {
                self.transfers
                    .get_mut(&name)
                    .into_iter()
                    .for_each(|f| f.failed = true);
            }
        }
        self.finish_transfer(now, name, out);
    }

    /// What another one knows of lives, this one's among them; tells whether that ends this life.
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
        let contradicted = own.is_some_and(|known| recovery.contradicted(known));
        if contradicted {
            if recovery.completeness == Completeness::Fresh {
                out.push(Output::Event(Event::DiskErased { by }));
                recovery.lose(recovery.incarnation);
            } else if self.own.start > recovery.incarnation {
                out.push(Output::Event(Event::OlderDisk { by }));
                recovery.lose(self.own.start);
                self.store.clear();
                self.unsynced.clear();
                self.pending_writes
                    .values_mut()
                    .for_each(|ticket| ticket.replies.clear());
            } else {
                return false;
            }
            self.transfers.clear();
            if self.settings.durable {
                self.store_metadata(vec![], out);
            }
            return true;
        }
        for (name, incarnation) in incarnations {
            if recovery.note_incarnation(*name, *incarnation).1 {
                out.push(Output::Event(Event::ReplicaLost(*name)));
            }
        }
        false
    }

    /// Takes what another copy holds; tells whether there is room for it.
    fn learn(
        &mut self,
        now: Duration,
        key: RegisterKey,
        acceptor: Acceptor,
        (from, number): (NameKey, u64),
        out: &mut Vec<Output>,
    ) -> bool {
        if !self.replicas(key).contains(&self.own.name) {
            return true;
        }
        match self
            .store
            .update(now, key, acceptor.bytes(), |held| held.learn(acceptor))
        {
            Err(_) => return false,
            Ok(false) if !self.unsynced.contains_key(&key) => return true,
            Ok(changed) => {
                self.fetched += u64::from(changed);
                self.recovery
                    .iter_mut()
                    .for_each(|m| m.count += u64::from(changed));
            }
        }
        match self.settings.durable {
            true => {
                self.store_register(
                    key,
                    WritePurpose::Transferred(key, from, number),
                    vec![],
                    out,
                );
                self.transfers
                    .get_mut(&from)
                    .into_iter()
                    .for_each(|f| f.waiting += 1);
            }
            false => self.kept = self.recovery.as_ref().map_or(0, |m| m.count),
        }
        true
    }

    pub(super) fn on_transferred_stored(
        &mut self,
        now: Duration,
        from: NameKey,
        number: u64,
        kept: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(fetch) = self.transfers.get_mut(&from).filter(|f| f.number == number) else {
            return;
        };
        fetch.waiting = fetch.waiting.saturating_sub(1);
        fetch.failed |= !kept;
        self.finish_transfer(now, from, out);
    }

    fn finish_transfer(&mut self, now: Duration, name: NameKey, out: &mut Vec<Output>) {
        let Some(fetch) = self
            .transfers
            .get(&name)
            .filter(|f| f.ended && f.waiting == 0)
        else {
            return;
        };
        let source = Source {
            completeness: fetch.completeness,
            missing: fetch.missing.clone(),
        };
        let failed = fetch.failed;
        self.transfers.remove(&name);
        let Some(recovery) = self.recovery.as_mut() else {
            return;
        };
        let before = recovery.completeness;
        if !failed {
            recovery.fetched(name, source);
        }
        let changed = recovery.completeness != before;
        // Whoever is still wanted is asked again in a while, not at once.
        for name in self
            .recovery
            .iter()
            .flat_map(RecoveryState::pending_sources)
            .collect::<Vec<_>>()
        {
            if !self.transfers.contains_key(&name) {
                self.sessions += 1;
                self.transfers.insert(
                    name,
                    StateTransfer::new(self.sessions, now + 2 * RETRY_INTERVAL),
                );
            }
        }
        if changed && self.settings.durable {
            self.store_metadata(vec![], out);
        }
        self.check_caught_up(now, out);
    }

    pub(super) fn check_caught_up(&mut self, now: Duration, out: &mut Vec<Output>) {
        let Some(recovery) = self.recovery.as_ref().filter(|_| !self.caught_up) else {
            return;
        };
        let waited = recovery.completeness == Completeness::Complete
            && now >= self.opened + CATCH_UP_GRACE
            && recovery.source_count() > 0;
        if recovery.missing().is_empty() || waited {
            self.caught_up = true;
            let (registers, fetched) = (self.store.len(), self.fetched);
            out.push(Output::Event(Event::CaughtUp { registers, fetched }));
        }
    }
}

impl StateTransfer {
    fn new(number: u64, at: Duration) -> StateTransfer {
        StateTransfer {
            number,
            start: None,
            after: None,
            at,
            ended: false,
            waiting: 0,
            failed: false,
            completeness: Completeness::Complete,
            missing: BTreeSet::new(),
        }
    }
}
