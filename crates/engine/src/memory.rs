//! Memory in blocks: those of prompts can be shared, and stay for a while when nobody uses them.

use std::collections::BTreeMap;

/// A block's name: how often the cache had been flushed, and the prompt's mark.
type Name = (u32, u64);

#[derive(Debug)]
struct Block {
    users: usize,
    /// Place among the unused ones.
    since: u64,
}

/// What one request holds.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Holding {
    named: Vec<Name>,
    own: usize,
}

impl Holding {
    pub(crate) fn blocks(&self) -> usize {
        self.named.len() + self.own
    }
}

/// Used blocks are `capacity` at the most; used and unused ones together `kept` at the most, as far as unused ones can go.
#[derive(Debug)]
pub(crate) struct Memory {
    capacity: usize,
    kept: usize,
    named: BTreeMap<Name, Block>,
    /// Unused blocks, the one that was used longest ago first.
    unused: BTreeMap<u64, Name>,
    own: usize,
    flushes: u32,
    serial: u64,
}

impl Memory {
    pub(crate) fn new(capacity: usize, kept: usize) -> Memory {
        let (named, unused) = (BTreeMap::new(), BTreeMap::new());
        Memory {
            capacity,
            kept,
            named,
            unused,
            own: 0,
            flushes: 0,
            serial: 0,
        }
    }

    pub(crate) fn used(&self) -> usize {
        self.named.len() - self.unused.len() + self.own
    }

    pub(crate) fn capacity(&self) -> usize {
        self.capacity
    }

    pub(crate) fn unused(&self) -> usize {
        self.unused.len()
    }

    /// Blocks at the begin of a prompt that are known.
    pub(crate) fn known(&self, marks: &[u64]) -> usize {
        marks
            .iter()
            .take_while(|m| self.named.contains_key(&(self.flushes, **m)))
            .count()
    }

    /// Room for so many blocks, those of `marks` that are known among them; `spare` blocks stay free. Gives what is held and how many were
    /// known.
    pub(crate) fn take(
        &mut self,
        marks: &[u64],
        blocks: usize,
        spare: usize,
    ) -> Option<(Holding, usize)> {
        let known = self.known(marks).min(blocks);
        let names: Vec<Name> = marks
            .iter()
            .take(known)
            .map(|m| (self.flushes, *m))
            .collect();
        let woken = names
            .iter()
            .filter(|n| self.named.get(n).is_some_and(|b| b.users == 0))
            .count();
        let own = blocks - known;
        if self
            .used()
            .saturating_add(woken)
            .saturating_add(own)
            .saturating_add(spare)
            > self.capacity
        {
            return None;
        }
        names.iter().for_each(|n| self.refer(*n));
        self.own += own;
        self.evict();
        Some((Holding { named: names, own }, known))
    }

    /// One block more; false where there is none.
    pub(crate) fn grow(&mut self, holding: &mut Holding) -> bool {
        if self.used() >= self.capacity {
            return false;
        }
        self.own += 1;
        holding.own += 1;
        self.evict();
        true
    }

    /// A prompt has been read: its blocks can be shared from now on. One that somebody else read meanwhile is shared with him.
    pub(crate) fn name(&mut self, holding: &mut Holding, marks: &[u64]) {
        for mark in marks.iter().skip(holding.named.len()) {
            if holding.own == 0 {
                return;
            }
            let name = (self.flushes, *mark);
            self.refer(name);
            holding.named.push(name);
            holding.own -= 1;
            self.own -= 1;
        }
        self.evict();
    }

    pub(crate) fn let_go(&mut self, holding: &mut Holding) {
        self.own -= holding.own;
        holding.own = 0;
        // The end of a prompt goes before its begin, which others may share.
        for name in holding.named.drain(..).rev() {
            let Some(block) = self.named.get_mut(&name) else {
                continue;
            };
            block.users -= 1;
            if block.users > 0 {
                continue;
            }
            if name.0 != self.flushes {
                self.named.remove(&name);
                continue;
            }
            self.serial += 1;
            block.since = self.serial;
            self.unused.insert(self.serial, name);
        }
        self.evict();
    }

    pub(crate) fn flush(&mut self) {
        for (_, name) in std::mem::take(&mut self.unused) {
            self.named.remove(&name);
        }
        self.flushes = self.flushes.wrapping_add(1);
    }

    fn refer(&mut self, name: Name) {
        let block = self
            .named
            .entry(name)
            .or_insert(Block { users: 0, since: 0 });
        block.users += 1;
        // Zero stands for none: places are numbered from one.
        if block.users == 1 && block.since != 0 {
            self.unused.remove(&block.since);
            block.since = 0;
        }
    }

    fn evict(&mut self) {
        while self.named.len() + self.own > self.kept {
            let Some((_, name)) = self.unused.pop_first() else {
                return;
            };
            self.named.remove(&name);
        }
    }

    /// Used blocks, counted again from what is held.
    #[cfg(test)]
    pub(crate) fn recount<'a>(holdings: impl Iterator<Item = &'a Holding>) -> usize {
        let mut names = std::collections::BTreeSet::new();
        let mut own = 0;
        for holding in holdings {
            names.extend(holding.named.iter().copied());
            own += holding.own;
        }
        names.len() + own
    }
}
