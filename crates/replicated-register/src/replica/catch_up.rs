//! A copy that returns: what its disk holds, what others know of it, and the fetching of what it missed, in chunks, each asked for by
//! the last key that has arrived, so that a broken link or a lost frame costs one chunk.

use std::collections::BTreeSet;
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::{Found, KeepError, Process};

use super::{For, Replica, Unkept, GRACE};
use crate::disk::{self, Disk};
use crate::memory::{Kind, Life, Memory, Source};
use crate::message::{Chunk, Said, Session};
use crate::register::{Copy, RegisterKey};
use crate::{Event, Output};

/// A chunk that did not come is asked for again, and one who did not answer, or lacked something itself.
const ASK_AGAIN: Duration = Duration::from_millis(500);
/// Bytes of values in a chunk; a single value always has room.
const CHUNK_BYTES: usize = 50 * 1024;
/// Bytes of a register beside its value, at the most.
const ITEM_BYTES: usize = 160;
/// Registers looked through for one chunk.
const LOOKED_MOST: usize = 4096;

/// The fetching of all that another copy holds.
pub struct Fetch {
    number: u64,
    /// The start of the process that tells.
    start: Option<u64>,
    after: Option<RegisterKey>,
    pub at: Duration,
    ended: bool,
    /// Registers that are not on disk yet.
    waiting: usize,
    failed: bool,
    kind: Kind,
    miss: BTreeSet<NameKey>,
}

impl Replica {
    pub(super) fn found(
        &mut self,
        now: Duration,
        found: Result<Found, KeepError>,
        out: &mut Vec<Output>,
    ) {
        if self.memory.is_some() {
            return;
        }
        self.opened = now;
        let (own, start) = (self.own.name, self.own.start);
        let new = |kind, life| Memory::new(own, &self.roster, kind, life);
        let mut stale = Vec::new();
        let memory = match found {
            Err(fault) => {
                self.fault = Some(fault.clone());
                out.push(Output::Event(Event::DiskFault(fault)));
                new(Kind::Lost, start)
            }
            Ok(found) => {
                let names: Vec<Vec<u8>> = found.iter().map(|(name, _)| name.clone()).collect();
                match disk::open(found) {
                    Disk::Empty => new(Kind::Fresh, start),
                    Disk::Torn => {
                        stale = names;
                        out.push(Output::Event(Event::Torn));
                        new(Kind::Lost, start)
                    }
                    Disk::Whole {
                        meta,
                        registers,
                        stale: old,
                    } => {
                        stale = old;
                        for (key, copy) in registers {
                            // What does not fit now did not fit then.
                            let bytes = copy.bytes();
                            let _ = self.shelf.change(now, key, bytes, |held| *held = copy);
                        }
                        self.kept = meta.count;
                        new(meta.kind, meta.life).with(meta.count, meta.lives)
                    }
                }
            }
        };
        self.memory = Some(memory);
        for name in stale {
            self.keep(For::Nothing, name, None, vec![], out);
        }
        self.keep_meta(vec![], out);
    }

    /// Asks those it has not caught up with, one chunk at a time of each.
    pub(super) fn fetch(&mut self, now: Duration, out: &mut Vec<Output>) {
        let Some(memory) = &self.memory else { return };
        let wanting = memory.wanting();
        let (life, count) = (memory.life, self.kept);
        for name in wanting {
            if !self.fetches.contains_key(&name) {
                self.sessions += 1;
                self.fetches.insert(name, Fetch::new(self.sessions, now));
            }
        }
        let mut asks = Vec::new();
        for (name, fetch) in self.fetches.iter_mut().filter(|(_, f)| f.at <= now) {
            fetch.at = now + ASK_AGAIN;
            if !fetch.ended {
                let session = Session {
                    start: self.own.start,
                    number: fetch.number,
                };
                asks.push((
                    *name,
                    Said::CatchUp {
                        session,
                        life,
                        count,
                        after: fetch.after,
                    },
                ));
            }
        }
        asks.into_iter()
            .for_each(|(name, said)| self.send(name, said, out));
    }

    pub(super) fn on_catch_up(
        &mut self,
        from: NameKey,
        (session, after): (Session, Option<RegisterKey>),
        (life, count): (u64, u64),
        out: &mut Vec<Output>,
    ) {
        let later = self.note(from, life, count, out);
        let Some(memory) = &self.memory else { return };
        let (mut items, mut bytes, mut looked) = (Vec::<(RegisterKey, &Copy)>::new(), 0, 0);
        let (mut upto, mut end) = (after, true);
        for (key, copy) in self.shelf.after(after) {
            if looked >= LOOKED_MOST || bytes + copy.bytes() + ITEM_BYTES > CHUNK_BYTES {
                end = false;
                break;
            }
            looked += 1;
            upto = Some(*key);
            if self.copies(*key).contains(&from) {
                bytes += copy.bytes() + ITEM_BYTES;
                items.push((*key, copy));
            }
        }
        // Plain data cannot fail to be written; what does not open is asked for again.
        let items = postcard::to_stdvec(&items).unwrap_or_default();
        let said = Said::Chunk(Box::new(Chunk {
            session,
            after,
            upto: upto.filter(|_| !end),
            kind: memory.kind,
            miss: memory.miss().iter().copied().collect(),
            lives: memory
                .lives()
                .iter()
                .map(|(name, life)| (*name, *life))
                .collect(),
            sum: crc32fast::hash(&items),
            items,
        }));
        // From now on it says to all that the other's earlier life has ended; it must not forget that.
        match (self.settings.durable, self.meta) {
            (true, Some(Unkept::Ticket(ticket))) if !later => {
                self.tickets
                    .get_mut(&ticket)
                    .into_iter()
                    .for_each(|t| t.replies.push((from, said.clone())));
            }
            (true, meta) if later || meta.is_some() => self.keep_meta(vec![(from, said)], out),
            _ => self.send(from, said, out),
        }
    }

    pub(super) fn on_chunk(
        &mut self,
        now: Duration,
        from: Process,
        chunk: &Chunk,
        out: &mut Vec<Output>,
    ) {
        let name = from.name;
        let ours = |f: &&mut Fetch| {
            chunk.session
                == Session {
                    start: self.own.start,
                    number: f.number,
                }
                && chunk.after == f.after
                && !f.ended
        };
        let Some(fetch) = self.fetches.get_mut(&name).filter(ours) else {
            return;
        };
        let Some(items) = chunk.open() else {
            self.counts.broken_chunks += 1;
            return;
        };
        if fetch.start.is_some_and(|start| start != from.start) {
            // Another process tells on: from the beginning, as its memory may be another one.
            self.fetches.remove(&name);
            return;
        }
        fetch.start = Some(from.start);
        fetch.kind = fetch.kind.max(chunk.kind);
        fetch.miss.extend(&chunk.miss);
        fetch.at = now;
        match chunk.upto {
            Some(upto) => fetch.after = Some(upto),
            None => fetch.ended = true,
        }
        let number = fetch.number;
        if self.hear_lives(name, &chunk.lives, out) {
            return;
        }
        for (key, copy) in items {
            if !self.learn(now, key, copy, (name, number), out) {
                self.fetches
                    .get_mut(&name)
                    .into_iter()
                    .for_each(|f| f.failed = true);
            }
        }
        self.look_fetched(now, name, out);
    }

    /// What another one knows of lives, this one's among them; tells whether that ends this life.
    fn hear_lives(
        &mut self,
        by: NameKey,
        lives: &[(NameKey, Life)],
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(memory) = &mut self.memory else {
            return true;
        };
        let own = lives
            .iter()
            .find(|(name, _)| *name == self.own.name)
            .map(|(_, life)| *life);
        let contradicted = own.is_some_and(|known| memory.contradicted(known));
        if contradicted {
            if memory.kind == Kind::Fresh {
                out.push(Output::Event(Event::Emptied { by }));
                memory.lose(memory.life);
            } else if self.own.start > memory.life {
                out.push(Output::Event(Event::OlderDisk { by }));
                memory.lose(self.own.start);
                self.shelf.clear();
                self.unkept.clear();
                self.tickets
                    .values_mut()
                    .for_each(|ticket| ticket.replies.clear());
            } else {
                return false;
            }
            self.fetches.clear();
            if self.settings.durable {
                self.keep_meta(vec![], out);
            }
            return true;
        }
        for (name, life) in lives {
            if memory.note(*name, *life).1 {
                out.push(Output::Event(Event::CopyLost(*name)));
            }
        }
        false
    }

    /// Takes what another copy holds; tells whether there is room for it.
    fn learn(
        &mut self,
        now: Duration,
        key: RegisterKey,
        copy: Copy,
        (from, number): (NameKey, u64),
        out: &mut Vec<Output>,
    ) -> bool {
        if !self.copies(key).contains(&self.own.name) {
            return true;
        }
        match self
            .shelf
            .change(now, key, copy.bytes(), |held| held.learn(copy))
        {
            Err(_) => return false,
            Ok(false) if !self.unkept.contains_key(&key) => return true,
            Ok(changed) => {
                self.fetched += u64::from(changed);
                self.memory
                    .iter_mut()
                    .for_each(|m| m.count += u64::from(changed));
            }
        }
        match self.settings.durable {
            true => {
                self.keep_register(key, For::Fetched(key, from, number), vec![], out);
                self.fetches
                    .get_mut(&from)
                    .into_iter()
                    .for_each(|f| f.waiting += 1);
            }
            false => self.kept = self.memory.as_ref().map_or(0, |m| m.count),
        }
        true
    }

    pub(super) fn on_fetched_kept(
        &mut self,
        now: Duration,
        from: NameKey,
        number: u64,
        kept: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(fetch) = self.fetches.get_mut(&from).filter(|f| f.number == number) else {
            return;
        };
        fetch.waiting = fetch.waiting.saturating_sub(1);
        fetch.failed |= !kept;
        self.look_fetched(now, from, out);
    }

    fn look_fetched(&mut self, now: Duration, name: NameKey, out: &mut Vec<Output>) {
        let Some(fetch) = self
            .fetches
            .get(&name)
            .filter(|f| f.ended && f.waiting == 0)
        else {
            return;
        };
        let source = Source {
            kind: fetch.kind,
            miss: fetch.miss.clone(),
        };
        let failed = fetch.failed;
        self.fetches.remove(&name);
        let Some(memory) = self.memory.as_mut() else {
            return;
        };
        let before = memory.kind;
        if !failed {
            memory.fetched(name, source);
        }
        let changed = memory.kind != before;
        // Whoever is still wanted is asked again in a while, not at once.
        for name in self
            .memory
            .iter()
            .flat_map(Memory::wanting)
            .collect::<Vec<_>>()
        {
            if !self.fetches.contains_key(&name) {
                self.sessions += 1;
                self.fetches
                    .insert(name, Fetch::new(self.sessions, now + 2 * ASK_AGAIN));
            }
        }
        if changed && self.settings.durable {
            self.keep_meta(vec![], out);
        }
        self.look_caught_up(now, out);
    }

    pub(super) fn look_caught_up(&mut self, now: Duration, out: &mut Vec<Output>) {
        let Some(memory) = self.memory.as_ref().filter(|_| !self.caught_up) else {
            return;
        };
        let waited = memory.kind == Kind::Whole && now >= self.opened + GRACE && memory.heard() > 0;
        if memory.miss().is_empty() || waited {
            self.caught_up = true;
            let (registers, fetched) = (self.shelf.len(), self.fetched);
            out.push(Output::Event(Event::CaughtUp { registers, fetched }));
        }
    }
}

impl Fetch {
    fn new(number: u64, at: Duration) -> Fetch {
        Fetch {
            number,
            start: None,
            after: None,
            at,
            ended: false,
            waiting: 0,
            failed: false,
            kind: Kind::Whole,
            miss: BTreeSet::new(),
        }
    }
}
