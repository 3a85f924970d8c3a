//! Persistence of a replica's state: writes to disk in progress, replies that are held until the state is durable, and disk faults.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::StorageError;

use super::Replica;
use crate::disk_records::{self, ReplicaMetadata};
use crate::message::{Message, RejectReason};
use crate::register::RegisterKey;
use crate::{Event, Output};

/// Maximum number of writes in progress. Requests beyond it get no reply, as if they had been lost.
const MAX_PENDING_WRITES: usize = 16 * 1024;

/// A message that is sent once a write to disk has completed.
pub(super) struct Reply {
    pub(super) to: NameKey,
    pub(super) message: Message,
}

/// Identifies the state transfer by which a register was received.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct TransferId {
    pub(super) from: NameKey,
    pub(super) number: u64,
}

/// Purpose of a write to disk.
#[derive(Clone, Copy, PartialEq)]
enum Purpose {
    /// Stores a register that a request has changed.
    Register(RegisterKey),
    /// Stores the replica's metadata.
    Metadata,
    /// Stores a register that was received by state transfer.
    Transferred(RegisterKey, TransferId),
    /// Removes a record.
    Removal,
}

impl Purpose {
    /// Key of the register that is stored, if any.
    fn register(self) -> Option<RegisterKey> {
        match self {
            Purpose::Register(key) | Purpose::Transferred(key, _) => Some(key),
            Purpose::Metadata | Purpose::Removal => None,
        }
    }
}

/// A write to disk in progress.
struct PendingWrite {
    purpose: Purpose,
    /// Number of changes of this replica when the write was issued.
    changes: u64,
    /// Messages to send once the write has completed.
    replies: Vec<Reply>,
}

/// State of a record whose stored content may differ from the state in memory.
#[derive(Clone, Copy, PartialEq)]
enum Unsynced {
    /// The latest write of the record is in progress and has this ticket.
    Pending(u64),
    /// The latest write of the record failed or could not be issued.
    Failed,
}

/// Writes to disk in progress, and the records that are not durable yet.
#[derive(Default)]
pub(super) struct Persistence {
    /// Writes in progress, by ticket.
    pending: BTreeMap<u64, PendingWrite>,
    last_ticket: u64,
    /// Registers whose records are not durable.
    registers: BTreeMap<RegisterKey, Unsynced>,
    /// State of the metadata record; `None` if it is durable.
    metadata: Option<Unsynced>,
    /// Number of changes that are durable.
    durable_changes: u64,
    /// Fault of the latest completed access to the disk, if it failed.
    fault: Option<StorageError>,
}

impl Persistence {
    /// Number of changes that are durable, or of all changes if there is no disk.
    pub(super) fn durable_changes(&self) -> u64 {
        self.durable_changes
    }

    pub(super) fn set_durable_changes(&mut self, changes: u64) {
        self.durable_changes = changes;
    }

    /// Records that the disk could not be read at the start.
    pub(super) fn set_fault(&mut self, fault: StorageError) {
        self.fault = Some(fault);
    }

    /// Forgets a register that this member no longer holds.
    pub(super) fn forget(&mut self, key: RegisterKey) {
        self.registers.remove(&key);
    }

    /// Whether the current state of a register is not durable.
    pub(super) fn is_unsynced(&self, key: RegisterKey) -> bool {
        self.registers.contains_key(&key)
    }

    /// Ends an incarnation: drops its outstanding replies, and no longer waits for its registers to become durable.
    pub(super) fn end_incarnation(&mut self) {
        self.registers.clear();
        for write in self.pending.values_mut() {
            write.replies.clear();
        }
    }

    /// Whether the limit of writes in progress is reached.
    fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING_WRITES
    }

    /// Adds a reply to a write in progress.
    fn add_reply(&mut self, ticket: u64, reply: Reply) {
        if let Some(write) = self.pending.get_mut(&ticket) {
            write.replies.push(reply);
        }
    }

    /// Updates the state of the record that a completed write stored, unless a later write of the record is in progress.
    fn complete_write(&mut self, ticket: u64, purpose: Purpose, failed: bool) {
        let this_write = Some(Unsynced::Pending(ticket));
        let new_state = failed.then_some(Unsynced::Failed);
        if let Some(key) = purpose.register() {
            if self.registers.get(&key).copied() == this_write {
                match new_state {
                    Some(state) => drop(self.registers.insert(key, state)),
                    None => drop(self.registers.remove(&key)),
                }
            }
        }
        if purpose == Purpose::Metadata && self.metadata == this_write {
            self.metadata = new_state;
        }
    }
}

impl Replica {
    /// Sends a reply about a register once the register's current state is durable. `changed`: whether the request changed the
    /// register.
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

    /// Drops a reply because too many writes are in progress, as if the request had been lost. A change that the request made is
    /// written along with the next change of the register.
    fn drop_reply(&mut self, key: RegisterKey, changed: bool) {
        self.counters.rejected += 1;
        if changed {
            self.persistence.registers.insert(key, Unsynced::Failed);
        }
    }

    /// Sends a message once the metadata are durable. `rewrite`: whether they have changed and have to be written first.
    pub(super) fn send_when_metadata_durable(
        &mut self,
        reply: Reply,
        rewrite: bool,
        out: &mut Vec<Output>,
    ) {
        if !self.settings.durable {
            return self.send(reply.to, reply.message, out);
        }
        match self.persistence.metadata {
            Some(Unsynced::Pending(ticket)) if !rewrite => {
                self.persistence.add_reply(ticket, reply);
            }
            None if !rewrite => self.send(reply.to, reply.message, out),
            _ => self.store_metadata(vec![reply], out),
        }
    }

    /// Stores a register that was received by state transfer.
    pub(super) fn store_transferred(
        &mut self,
        key: RegisterKey,
        transfer: TransferId,
        out: &mut Vec<Output>,
    ) {
        self.store_register(Purpose::Transferred(key, transfer), key, vec![], out);
    }

    /// Issues a write of a register's current state.
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

    /// Issues a write of the metadata; the replies are sent once it has completed.
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

    /// Issues a write of a record, or its removal if `bytes` is `None`. Returns the ticket of the write.
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

    /// Handles the completion of a write to disk: sends its replies, or rejects their requests if the write failed.
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
            .complete_write(ticket, write.purpose, result.is_err());
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

    /// Sends rejections in place of replies that depend on a failed write.
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

    /// Reports a change of the disk's condition: a new fault, or recovery from one.
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
