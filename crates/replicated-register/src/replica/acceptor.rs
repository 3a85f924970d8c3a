//! The copies held here: what they promise and take, each answered once it is on disk.

use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::KeepError;

use super::{PendingWrite, Replica, Unsynced, WritePurpose, CATCH_UP_GRACE, MAX_PENDING_WRITES};
use crate::disk_records::{self, ReplicaMetadata};
use crate::message::{Message, Provenance, RejectReason};
use crate::register::{Ballot, RegisterKey, State};
use crate::store::CapacityError;
use crate::{Event, Output};

impl Replica {
    /// Whether this copy counts for a register; none where it holds no copy of it.
    fn check_ready(
        &mut self,
        now: Duration,
        key: RegisterKey,
        out: &mut Vec<Output>,
    ) -> Option<Result<(), RejectReason>> {
        let replicas = self.replicas(key);
        if !replicas.contains(&self.own.name) {
            return None;
        }
        let Some(recovery) = &self.recovery else {
            return Some(Err(RejectReason::CatchingUp));
        };
        if recovery.ready(&replicas, now >= self.opened + CATCH_UP_GRACE) {
            return Some(Ok(()));
        }
        if !recovery.lost(&replicas) {
            return Some(Err(RejectReason::CatchingUp));
        }
        if self.lost_since.is_none() {
            self.lost_since = Some(now);
            out.push(Output::Event(Event::MajorityLost));
        }
        Some(Err(RejectReason::Lost))
    }

    fn provenance(&self, key: RegisterKey) -> Provenance {
        let others = self
            .replicas(key)
            .into_iter()
            .filter(|name| *name != self.own.name);
        let recovery = self.recovery.as_ref();
        Provenance {
            incarnation: recovery.map_or(0, |m| m.incarnation),
            count: self.kept,
            incarnations: others
                .map(|name| (name, recovery.map_or(0, |m| m.incarnation_of(name))))
                .collect(),
        }
    }

    pub(super) fn on_read(
        &mut self,
        now: Duration,
        from: NameKey,
        key: RegisterKey,
        ballot: Ballot,
        out: &mut Vec<Output>,
    ) {
        let reply = match self.check_ready(now, key, out) {
            None => return,
            Some(Err(reason)) => {
                return self.send(
                    from,
                    Message::Rejected {
                        key,
                        ballot,
                        reason,
                    },
                    out,
                )
            }
            Some(Ok(())) => {
                let accepted = self
                    .store
                    .get(key)
                    .and_then(|acceptor| acceptor.accepted.clone());
                Message::Promise {
                    key,
                    ballot,
                    provenance: self.provenance(key),
                    accepted,
                }
            }
        };
        self.reply(from, key, reply, false, out);
    }

    pub(super) fn on_prepare(
        &mut self,
        now: Duration,
        from: NameKey,
        key: RegisterKey,
        ballot: Ballot,
        out: &mut Vec<Output>,
    ) {
        let rejected = |reason| Message::Rejected {
            key,
            ballot,
            reason,
        };
        match self.check_ready(now, key, out) {
            None => return,
            Some(Err(reason)) => return self.send(from, rejected(reason), out),
            Some(Ok(())) => {}
        }
        match self.store.prepare(now, key, ballot) {
            Err(CapacityError) => self.reject_full(from, rejected(RejectReason::Full), out),
            Ok(Err(passed)) => self.send(from, rejected(RejectReason::HigherBallot(passed)), out),
            Ok(Ok(changed)) => {
                let accepted = self
                    .store
                    .get(key)
                    .and_then(|acceptor| acceptor.accepted.clone());
                let reply = Message::Promise {
                    key,
                    ballot,
                    provenance: self.provenance(key),
                    accepted,
                };
                self.reply(from, key, reply, changed, out);
            }
        }
    }

    pub(super) fn on_accept(
        &mut self,
        now: Duration,
        from: NameKey,
        (key, ballot, state): (RegisterKey, Ballot, &State),
        out: &mut Vec<Output>,
    ) {
        let rejected = |reason| Message::Rejected {
            key,
            ballot,
            reason,
        };
        match self.check_ready(now, key, out) {
            None => return,
            Some(Err(reason)) => return self.send(from, rejected(reason), out),
            Some(Ok(())) => {}
        }
        match self.store.accept(now, key, ballot, state) {
            Err(CapacityError) => self.reject_full(from, rejected(RejectReason::Full), out),
            Ok(Err(passed)) => self.send(from, rejected(RejectReason::HigherBallot(passed)), out),
            Ok(Ok(changed)) => {
                let reply = Message::Accepted {
                    key,
                    ballot,
                    provenance: self.provenance(key),
                };
                self.reply(from, key, reply, changed, out);
            }
        }
    }

    fn reject_full(&mut self, to: NameKey, message: Message, out: &mut Vec<Output>) {
        self.counters.rejected += 1;
        self.send(to, message, out);
    }

    /// Answers once all that the answer rests on is on disk.
    fn reply(
        &mut self,
        to: NameKey,
        key: RegisterKey,
        message: Message,
        changed: bool,
        out: &mut Vec<Output>,
    ) {
        if let Some(recovery) = self.recovery.as_mut().filter(|_| changed) {
            recovery.count += 1;
        }
        if !self.settings.durable {
            self.kept = self.recovery.as_ref().map_or(0, |m| m.count);
            return self.send(to, message, out);
        }
        if self.pending_writes.len() >= MAX_PENDING_WRITES {
            // As if the message had been lost; what has changed is written along with the next one.
            self.counters.rejected += 1;
            if changed {
                self.unsynced.insert(key, Unsynced::Failed);
            }
            return;
        }
        match self.unsynced.get(&key) {
            Some(Unsynced::Pending(ticket)) if !changed => {
                self.pending_writes
                    .get_mut(ticket)
                    .into_iter()
                    .for_each(|t| t.replies.push((to, message.clone())));
            }
            None if !changed => self.send(to, message, out),
            _ => self.store_register(key, WritePurpose::Register(key), vec![(to, message)], out),
        }
    }

    pub(super) fn store_register(
        &mut self,
        key: RegisterKey,
        what: WritePurpose,
        replies: Vec<(NameKey, Message)>,
        out: &mut Vec<Output>,
    ) {
        let (Some(recovery), Some(acceptor)) = (&self.recovery, self.store.get(key)) else {
            return;
        };
        let (name, bytes) =
            disk_records::register(key, recovery.incarnation, recovery.count, acceptor);
        let ticket = self.store_record(what, name, Some(bytes), replies, out);
        self.unsynced.insert(key, Unsynced::Pending(ticket));
    }

    pub(super) fn store_metadata(
        &mut self,
        replies: Vec<(NameKey, Message)>,
        out: &mut Vec<Output>,
    ) {
        let Some(recovery) = &self.recovery else {
            return;
        };
        let (incarnation, completeness, count) =
            (recovery.incarnation, recovery.completeness, recovery.count);
        let (name, bytes) = disk_records::meta(&ReplicaMetadata {
            incarnation,
            completeness,
            count,
            incarnations: recovery.incarnations().clone(),
        });
        let ticket = self.store_record(WritePurpose::Metadata, name, Some(bytes), replies, out);
        self.metadata_unsynced = Some(Unsynced::Pending(ticket));
    }

    pub(super) fn store_record(
        &mut self,
        what: WritePurpose,
        name: Vec<u8>,
        bytes: Option<Vec<u8>>,
        replies: Vec<(NameKey, Message)>,
        out: &mut Vec<Output>,
    ) -> u64 {
        self.last_ticket += 1;
        let (ticket, count) = (
            self.last_ticket,
            self.recovery.as_ref().map_or(0, |m| m.count),
        );
        self.pending_writes.insert(
            ticket,
            PendingWrite {
                what,
                count,
                replies,
            },
        );
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
        done: Result<(), KeepError>,
        out: &mut Vec<Output>,
    ) {
        let Some(PendingWrite {
            what,
            count,
            replies,
        }) = self.pending_writes.remove(&ticket)
        else {
            return;
        };
        self.report_disk_fault(done.as_ref().err(), out);
        let settled = |unsynced: Option<&Unsynced>| unsynced == Some(&Unsynced::Pending(ticket));
        if let WritePurpose::Register(key) | WritePurpose::Transferred(key, ..) = what {
            if settled(self.unsynced.get(&key)) {
                match done {
                    Ok(()) => drop(self.unsynced.remove(&key)),
                    Err(_) => drop(self.unsynced.insert(key, Unsynced::Failed)),
                }
            }
        }
        if what == WritePurpose::Metadata && settled(self.metadata_unsynced.as_ref()) {
            self.metadata_unsynced = done.as_ref().err().map(|_| Unsynced::Failed);
        }
        match &done {
            Ok(()) => {
                self.kept = self.kept.max(count);
                replies
                    .into_iter()
                    .for_each(|(to, message)| self.send(to, message, out));
            }
            Err(fault) => {
                let reason = if *fault == KeepError::Full {
                    RejectReason::DiskFull
                } else {
                    RejectReason::DiskFault
                };
                for (to, message) in replies {
                    if let Message::Promise { key, ballot, .. }
                    | Message::Accepted { key, ballot, .. } = message
                    {
                        self.send(
                            to,
                            Message::Rejected {
                                key,
                                ballot,
                                reason,
                            },
                            out,
                        );
                    }
                }
            }
        }
        if let WritePurpose::Transferred(_, from, session) = what {
            self.on_transferred_stored(now, from, session, done.is_ok(), out);
        }
    }

    fn report_disk_fault(&mut self, fault: Option<&KeepError>, out: &mut Vec<Output>) {
        if self.fault.as_ref() == fault {
            return;
        }
        self.fault = fault.cloned();
        out.push(Output::Event(
            fault
                .cloned()
                .map_or(Event::DiskRecovered, Event::DiskFault),
        ));
    }
}
