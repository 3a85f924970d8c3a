//! What has to be on disk before it is answered: writes in progress, their replies, and faults of the disk.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::StorageError;

use super::Replica;
use crate::disk_records::{self, ReplicaMetadata};
use crate::message::{Message, RejectReason};
use crate::register::RegisterKey;
use crate::{Event, Output};

/// Writes in progress; beyond them a message counts as lost.
const MAX_PENDING_WRITES: usize = 16 * 1024;

/// A message that is sent once a write is on disk.
pub(super) struct Reply {
    pub(super) to: NameKey,
    pub(super) message: Message,
}

/// The transfer that a stored register came with.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct TransferId {
    pub(super) from: NameKey,
    pub(super) number: u64,
}

/// What a write is for.
#[derive(Clone, Copy, PartialEq)]
enum Purpose {
    Register(RegisterKey),
    Metadata,
    Transferred(RegisterKey, TransferId),
    Removal,
}

impl Purpose {
    fn register(self) -> Option<RegisterKey> {
        match self {
            Purpose::Register(key) | Purpose::Transferred(key, _) => Some(key),
            Purpose::Metadata | Purpose::Removal => None,
        }
    }
}

/// A write in progress.
struct PendingWrite {
    purpose: Purpose,
    /// Changes of this replica when it was asked for.
    changes: u64,
    replies: Vec<Reply>,
}

/// State of what is not on disk as memory has it.
#[derive(Clone, Copy, PartialEq)]
enum Unsynced {
    /// Its latest write has this ticket.
    Pending(u64),
    /// Its latest write failed.
    Failed,
}

/// Writes in progress, and what is not on disk.
#[derive(Default)]
pub(super) struct Persistence {
    pending: BTreeMap<u64, PendingWrite>,
    last_ticket: u64,
    registers: BTreeMap<RegisterKey, Unsynced>,
    metadata: Option<Unsynced>,
    /// Of the changes, those that outlive this process.
    durable_changes: u64,
    fault: Option<StorageError>,
}

impl Persistence {
    /// Changes that outlive this process, or all of them where there is no disk.
    pub(super) fn durable_changes(&self) -> u64 {
        self.durable_changes
    }

    pub(super) fn set_durable_changes(&mut self, changes: u64) {
        self.durable_changes = changes;
    }

    /// The disk could not be read at the start.
    pub(super) fn set_fault(&mut self, fault: StorageError) {
        self.fault = Some(fault);
    }

    /// A register is not held any more.
    pub(super) fn forget(&mut self, key: RegisterKey) {
        self.registers.remove(&key);
    }

    /// Whether a register is not on disk as memory has it.
    pub(super) fn is_unsynced(&self, key: RegisterKey) -> bool {
        self.registers.contains_key(&key)
    }

    /// An incarnation has ended: nothing of it is to be answered or waited for.
    pub(super) fn end_incarnation(&mut self) {
        self.registers.clear();
        for write in self.pending.values_mut() {
            write.replies.clear();
        }
    }

    fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING_WRITES
    }

    fn add_reply(&mut self, ticket: u64, reply: Reply) {
        if let Some(write) = self.pending.get_mut(&ticket) {
            write.replies.push(reply);
        }
    }

    /// Sets aside what a finished write was about, unless a later one is in progress.
    fn settle(&mut self, ticket: u64, purpose: Purpose, failed: bool) {
        let settled = Some(Unsynced::Pending(ticket));
        let left = failed.then_some(Unsynced::Failed);
        if let Some(key) = purpose.register() {
            if self.registers.get(&key).copied() == settled {
                match left {
                    Some(left) => drop(self.registers.insert(key, left)),
                    None => drop(self.registers.remove(&key)),
                }
            }
        }
        if purpose == Purpose::Metadata && self.metadata == settled {
            self.metadata = left;
        }
    }
}

impl Replica {
    /// Sends a reply about a register once all that it rests on is on disk. `changed`: whether the request changed the register.
    pub(super) fn reply_when_durable(
        &mut self,
        key: RegisterKey,
        reply: Reply,
        changed: bool,
        out: &mut Vec<Output>,
    ) {
        if let Some(recovery) = self.recovery.as_mut().filter(|_| changed) {
            recovery.changes += 1;
        }
        if !self.settings.durable {
            self.persistence.durable_changes = self.changes();
            return self.send(reply.to, reply.message, out);
        }
        if self.persistence.is_full() {
            return self.drop_reply(key, changed);
        }
        match self.persistence.registers.get(&key).copied() {
            Some(Unsynced::Pending(ticket)) if !changed => {
                self.persistence.add_reply(ticket, reply);
            }
            None if !changed => self.send(reply.to, reply.message, out),
            _ => self.store_register(Purpose::Register(key), key, vec![reply], out),
        }
    }

    /// As if the request had been lost; what it changed is written along with the next change.
    fn drop_reply(&mut self, key: RegisterKey, changed: bool) {
        self.counters.rejected += 1;
        if changed {
            self.persistence.registers.insert(key, Unsynced::Failed);
        }
    }

    /// Sends a message once the metadata are on disk, after writing them anew where `write_anew`.
    pub(super) fn send_when_metadata_durable(
        &mut self,
        reply: Reply,
        write_anew: bool,
        out: &mut Vec<Output>,
    ) {
        if !self.settings.durable {
            return self.send(reply.to, reply.message, out);
        }
        match self.persistence.metadata {
            Some(Unsynced::Pending(ticket)) if !write_anew => {
                self.persistence.add_reply(ticket, reply);
            }
            None if !write_anew => self.send(reply.to, reply.message, out),
            _ => self.store_metadata(vec![reply], out),
        }
    }

    /// Stores a register that was fetched from another replica.
    pub(super) fn store_transferred(
        &mut self,
        key: RegisterKey,
        transfer: TransferId,
        out: &mut Vec<Output>,
    ) {
        self.store_register(Purpose::Transferred(key, transfer), key, vec![], out);
    }

    fn store_register(
        &mut self,
        purpose: Purpose,
        key: RegisterKey,
        replies: Vec<Reply>,
        out: &mut Vec<Output>,
    ) {
        let (Some(recovery), Some(acceptor)) = (&self.recovery, self.store.get(key)) else {
            return;
        };
        let record = disk_records::register(key, recovery.incarnation, recovery.changes, acceptor);
        let ticket = self.store_record(purpose, record.name, Some(record.bytes), replies, out);
        self.persistence
            .registers
            .insert(key, Unsynced::Pending(ticket));
    }

    pub(super) fn store_metadata(&mut self, replies: Vec<Reply>, out: &mut Vec<Output>) {
        let Some(recovery) = &self.recovery else {
            return;
        };
        let record = disk_records::metadata(&ReplicaMetadata {
            incarnation: recovery.incarnation,
            completeness: recovery.completeness,
            count: recovery.changes,
            incarnations: recovery.incarnations().clone(),
        });
        let bytes = Some(record.bytes);
        let ticket = self.store_record(Purpose::Metadata, record.name, bytes, replies, out);
        self.persistence.metadata = Some(Unsynced::Pending(ticket));
    }

    pub(super) fn remove_record(&mut self, name: Vec<u8>, out: &mut Vec<Output>) {
        self.store_record(Purpose::Removal, name, None, vec![], out);
    }

    fn store_record(
        &mut self,
        purpose: Purpose,
        name: Vec<u8>,
        bytes: Option<Vec<u8>>,
        replies: Vec<Reply>,
        out: &mut Vec<Output>,
    ) -> u64 {
        self.persistence.last_ticket += 1;
        let ticket = self.persistence.last_ticket;
        let write = PendingWrite {
            purpose,
            changes: self.changes(),
            replies,
        };
        self.persistence.pending.insert(ticket, write);
        out.push(Output::Store {
            ticket,
            name,
            bytes,
        });
        ticket
    }

    pub(super) fn on_stored(
        &mut self,
        now: Duration,
        ticket: u64,
        result: Result<(), StorageError>,
        out: &mut Vec<Output>,
    ) {
        let Some(write) = self.persistence.pending.remove(&ticket) else {
            return;
        };
        self.report_disk_fault(result.as_ref().err(), out);
        self.persistence
            .settle(ticket, write.purpose, result.is_err());
        match &result {
            Ok(()) => {
                let durable = &mut self.persistence.durable_changes;
                *durable = (*durable).max(write.changes);
                for reply in write.replies {
                    self.send(reply.to, reply.message, out);
                }
            }
            Err(fault) => self.reject_replies(write.replies, fault, out),
        }
        if let Purpose::Transferred(_, transfer) = write.purpose {
            self.on_transferred_stored(now, transfer, result.is_ok(), out);
        }
    }

    fn reject_replies(&mut self, replies: Vec<Reply>, fault: &StorageError, out: &mut Vec<Output>) {
        let reason = match fault {
            StorageError::Full => RejectReason::DiskFull,
            _ => RejectReason::DiskFault,
        };
        for reply in replies {
            if let Message::Promise { key, ballot, .. } | Message::Accepted { key, ballot, .. } =
                reply.message
            {
                let rejected = Message::Rejected {
                    key,
                    ballot,
                    reason,
                };
                self.send(reply.to, rejected, out);
            }
        }
    }

    /// Reports a fault of the disk, or its end, once.
    fn report_disk_fault(&mut self, fault: Option<&StorageError>, out: &mut Vec<Output>) {
        if self.persistence.fault.as_ref() == fault {
            return;
        }
        self.persistence.fault = fault.cloned();
        let event = fault
            .cloned()
            .map_or(Event::DiskRecovered, Event::DiskFault);
        out.push(Output::Event(event));
    }
}
