//! The copies held here: what they promise and take, each answered once it is on disk.

use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::KeepError;

use super::{For, Replica, Ticket, Unkept, GRACE, WAITING_MOST};
use crate::disk::{self, Meta};
use crate::message::{Said, Stamp, Why};
use crate::register::{Ballot, RegisterKey, State};
use crate::shelf::NoRoom;
use crate::{Event, Output};

impl Replica {
    /// Whether this copy counts for a register; none where it holds no copy of it.
    fn may(
        &mut self,
        now: Duration,
        key: RegisterKey,
        out: &mut Vec<Output>,
    ) -> Option<Result<(), Why>> {
        let copies = self.copies(key);
        if !copies.contains(&self.own.name) {
            return None;
        }
        let Some(memory) = &self.memory else {
            return Some(Err(Why::CatchingUp));
        };
        if memory.ready(&copies, now >= self.opened + GRACE) {
            return Some(Ok(()));
        }
        if !memory.lost(&copies) {
            return Some(Err(Why::CatchingUp));
        }
        if self.lost_since.is_none() {
            self.lost_since = Some(now);
            out.push(Output::Event(Event::MajorityLost));
        }
        Some(Err(Why::Lost))
    }

    fn stamp(&self, key: RegisterKey) -> Stamp {
        let others = self
            .copies(key)
            .into_iter()
            .filter(|name| *name != self.own.name);
        let memory = self.memory.as_ref();
        Stamp {
            life: memory.map_or(0, |m| m.life),
            count: self.kept,
            lives: others
                .map(|name| (name, memory.map_or(0, |m| m.life_of(name))))
                .collect(),
        }
    }

    pub(super) fn on_look(
        &mut self,
        now: Duration,
        from: NameKey,
        key: RegisterKey,
        ballot: Ballot,
        out: &mut Vec<Output>,
    ) {
        let reply = match self.may(now, key, out) {
            None => return,
            Some(Err(why)) => return self.send(from, Said::Refused { key, ballot, why }, out),
            Some(Ok(())) => {
                let accepted = self.shelf.get(key).and_then(|copy| copy.accepted.clone());
                Said::Promised {
                    key,
                    ballot,
                    stamp: self.stamp(key),
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
        let refused = |why| Said::Refused { key, ballot, why };
        match self.may(now, key, out) {
            None => return,
            Some(Err(why)) => return self.send(from, refused(why), out),
            Some(Ok(())) => {}
        }
        match self.shelf.prepare(now, key, ballot) {
            Err(NoRoom) => self.full(from, refused(Why::Full), out),
            Ok(Err(passed)) => self.send(from, refused(Why::Passed(passed)), out),
            Ok(Ok(changed)) => {
                let accepted = self.shelf.get(key).and_then(|copy| copy.accepted.clone());
                let reply = Said::Promised {
                    key,
                    ballot,
                    stamp: self.stamp(key),
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
        let refused = |why| Said::Refused { key, ballot, why };
        match self.may(now, key, out) {
            None => return,
            Some(Err(why)) => return self.send(from, refused(why), out),
            Some(Ok(())) => {}
        }
        match self.shelf.accept(now, key, ballot, state) {
            Err(NoRoom) => self.full(from, refused(Why::Full), out),
            Ok(Err(passed)) => self.send(from, refused(Why::Passed(passed)), out),
            Ok(Ok(changed)) => {
                let reply = Said::Took {
                    key,
                    ballot,
                    stamp: self.stamp(key),
                };
                self.reply(from, key, reply, changed, out);
            }
        }
    }

    fn full(&mut self, to: NameKey, said: Said, out: &mut Vec<Output>) {
        self.counts.turned_away += 1;
        self.send(to, said, out);
    }

    /// Answers once all that the answer rests on is on disk.
    fn reply(
        &mut self,
        to: NameKey,
        key: RegisterKey,
        said: Said,
        changed: bool,
        out: &mut Vec<Output>,
    ) {
        if let Some(memory) = self.memory.as_mut().filter(|_| changed) {
            memory.count += 1;
        }
        if !self.settings.durable {
            self.kept = self.memory.as_ref().map_or(0, |m| m.count);
            return self.send(to, said, out);
        }
        if self.tickets.len() >= WAITING_MOST {
            // As if the message had been lost; what has changed is written along with the next one.
            self.counts.turned_away += 1;
            if changed {
                self.unkept.insert(key, Unkept::Failed);
            }
            return;
        }
        match self.unkept.get(&key) {
            Some(Unkept::Ticket(ticket)) if !changed => {
                self.tickets
                    .get_mut(ticket)
                    .into_iter()
                    .for_each(|t| t.replies.push((to, said.clone())));
            }
            None if !changed => self.send(to, said, out),
            _ => self.keep_register(key, For::Register(key), vec![(to, said)], out),
        }
    }

    pub(super) fn keep_register(
        &mut self,
        key: RegisterKey,
        what: For,
        replies: Vec<(NameKey, Said)>,
        out: &mut Vec<Output>,
    ) {
        let (Some(memory), Some(copy)) = (&self.memory, self.shelf.get(key)) else {
            return;
        };
        let (name, bytes) = disk::register(key, memory.life, memory.count, copy);
        let ticket = self.keep(what, name, Some(bytes), replies, out);
        self.unkept.insert(key, Unkept::Ticket(ticket));
    }

    pub(super) fn keep_meta(&mut self, replies: Vec<(NameKey, Said)>, out: &mut Vec<Output>) {
        let Some(memory) = &self.memory else { return };
        let (life, kind, count) = (memory.life, memory.kind, memory.count);
        let (name, bytes) = disk::meta(&Meta {
            life,
            kind,
            count,
            lives: memory.lives().clone(),
        });
        let ticket = self.keep(For::Meta, name, Some(bytes), replies, out);
        self.meta = Some(Unkept::Ticket(ticket));
    }

    pub(super) fn keep(
        &mut self,
        what: For,
        name: Vec<u8>,
        bytes: Option<Vec<u8>>,
        replies: Vec<(NameKey, Said)>,
        out: &mut Vec<Output>,
    ) -> u64 {
        self.next_ticket += 1;
        let (ticket, count) = (
            self.next_ticket,
            self.memory.as_ref().map_or(0, |m| m.count),
        );
        self.tickets.insert(
            ticket,
            Ticket {
                what,
                count,
                replies,
            },
        );
        out.push(Output::Keep {
            ticket,
            name,
            bytes,
        });
        ticket
    }

    pub(super) fn on_kept(
        &mut self,
        now: Duration,
        ticket: u64,
        done: Result<(), KeepError>,
        out: &mut Vec<Output>,
    ) {
        let Some(Ticket {
            what,
            count,
            replies,
        }) = self.tickets.remove(&ticket)
        else {
            return;
        };
        self.look_fault(done.as_ref().err(), out);
        let settled = |unkept: Option<&Unkept>| unkept == Some(&Unkept::Ticket(ticket));
        if let For::Register(key) | For::Fetched(key, ..) = what {
            if settled(self.unkept.get(&key)) {
                match done {
                    Ok(()) => drop(self.unkept.remove(&key)),
                    Err(_) => drop(self.unkept.insert(key, Unkept::Failed)),
                }
            }
        }
        if what == For::Meta && settled(self.meta.as_ref()) {
            self.meta = done.as_ref().err().map(|_| Unkept::Failed);
        }
        match &done {
            Ok(()) => {
                self.kept = self.kept.max(count);
                replies
                    .into_iter()
                    .for_each(|(to, said)| self.send(to, said, out));
            }
            Err(fault) => {
                let why = if *fault == KeepError::Full {
                    Why::DiskFull
                } else {
                    Why::DiskFault
                };
                for (to, said) in replies {
                    if let Said::Promised { key, ballot, .. } | Said::Took { key, ballot, .. } =
                        said
                    {
                        self.send(to, Said::Refused { key, ballot, why }, out);
                    }
                }
            }
        }
        if let For::Fetched(_, from, session) = what {
            self.on_fetched_kept(now, from, session, done.is_ok(), out);
        }
    }

    fn look_fault(&mut self, fault: Option<&KeepError>, out: &mut Vec<Output>) {
        if self.fault.as_ref() == fault {
            return;
        }
        self.fault = fault.cloned();
        out.push(Output::Event(
            fault.cloned().map_or(Event::DiskWell, Event::DiskFault),
        ));
    }
}
