//! KV cache block allocator: full prompt blocks are shared by reference count and stay in the prefix cache when unused.

use std::collections::BTreeMap;

/// Key of a shared block: the number of cache flushes before it was stored, and the prefix hash of the block.
type BlockKey = (u32, u64);

#[derive(Debug)]
struct Block {
    references: usize,
    /// Position in the least-recently-used order; 0 while the block is in use.
    lru_position: u64,
}

/// KV cache blocks allocated to one request.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Allocation {
    shared: Vec<BlockKey>,
    private: usize,
}

impl Allocation {
    pub(crate) fn blocks(&self) -> usize {
        self.shared.len() + self.private
    }
}

/// Block allocator. At most `capacity` blocks are in use. Unused blocks are evicted while used and unused blocks together
/// exceed `kept`.
#[derive(Debug)]
pub(crate) struct Memory {
    capacity: usize,
    kept: usize,
    shared: BTreeMap<BlockKey, Block>,
    /// Unused blocks of the prefix cache, least recently used first.
    unused: BTreeMap<u64, BlockKey>,
    private: usize,
    flushes: u32,
    last_lru_position: u64,
}

impl Memory {
    pub(crate) fn new(capacity: usize, kept: usize) -> Memory {
        let (shared, unused) = (BTreeMap::new(), BTreeMap::new());
        Memory {
            capacity,
            kept,
            shared,
            unused,
            private: 0,
            flushes: 0,
            last_lru_position: 0,
        }
    }

    pub(crate) fn used(&self) -> usize {
        self.shared.len() - self.unused.len() + self.private
    }

    pub(crate) fn capacity(&self) -> usize {
        self.capacity
    }

    pub(crate) fn unused(&self) -> usize {
        self.unused.len()
    }

    /// Number of leading prompt blocks that are cached.
    pub(crate) fn cached_prefix_blocks(&self, marks: &[u64]) -> usize {
        marks
            .iter()
            .take_while(|m| self.shared.contains_key(&(self.flushes, **m)))
            .count()
    }

    /// Allocates `blocks` blocks, reusing the cached leading blocks of `marks`, if at least `spare` blocks stay free. Returns the
    /// allocation and the number of cached blocks in it.
    pub(crate) fn allocate(
        &mut self,
        marks: &[u64],
        blocks: usize,
        spare: usize,
    ) -> Option<(Allocation, usize)> {
        let cached = self.cached_prefix_blocks(marks).min(blocks);
        let keys: Vec<BlockKey> = marks
            .iter()
            .take(cached)
            .map(|m| (self.flushes, *m))
            .collect();
        let reactivated = keys
            .iter()
            .filter(|n| self.shared.get(n).is_some_and(|b| b.references == 0))
            .count();
        let private = blocks - cached;
        if self
            .used()
            .saturating_add(reactivated)
            .saturating_add(private)
            .saturating_add(spare)
            > self.capacity
        {
            return None;
        }
        keys.iter().for_each(|n| self.add_reference(*n));
        self.private += private;
        self.evict();
        Some((
            Allocation {
                shared: keys,
                private,
            },
            cached,
        ))
    }

    /// Adds one block to an allocation; returns false if no block is free.
    pub(crate) fn grow(&mut self, allocation: &mut Allocation) -> bool {
        if self.used() >= self.capacity {
            return false;
        }
        self.private += 1;
        allocation.private += 1;
        self.evict();
        true
    }

    /// Makes the full blocks of a prefilled prompt shareable. A block that another request stored in the meantime replaces the
    /// private copy.
    pub(crate) fn share_prompt_blocks(&mut self, allocation: &mut Allocation, marks: &[u64]) {
        for mark in marks.iter().skip(allocation.shared.len()) {
            if allocation.private == 0 {
                return;
            }
            let key = (self.flushes, *mark);
            self.add_reference(key);
            allocation.shared.push(key);
            allocation.private -= 1;
            self.private -= 1;
        }
        self.evict();
    }

    /// Releases all blocks of an allocation. Shared blocks without other references stay in the prefix cache.
    pub(crate) fn release(&mut self, allocation: &mut Allocation) {
        self.private -= allocation.private;
        allocation.private = 0;
        // The last blocks of a prompt become evictable before its first ones, which other prompts are more likely to share.
        for key in allocation.shared.drain(..).rev() {
            let Some(block) = self.shared.get_mut(&key) else {
                continue;
            };
            block.references -= 1;
            if block.references > 0 {
                continue;
            }
            if key.0 != self.flushes {
                self.shared.remove(&key);
                continue;
            }
            self.last_lru_position += 1;
            block.lru_position = self.last_lru_position;
            self.unused.insert(self.last_lru_position, key);
        }
        self.evict();
    }

    /// Clears the prefix cache. Blocks in use keep their old flush number and are no longer found.
    pub(crate) fn flush(&mut self) {
        for (_, key) in std::mem::take(&mut self.unused) {
            self.shared.remove(&key);
        }
        self.flushes = self.flushes.wrapping_add(1);
    }

    fn add_reference(&mut self, key: BlockKey) {
        let block = self.shared.entry(key).or_insert(Block {
            references: 0,
            lru_position: 0,
        });
        block.references += 1;
        // Position 0 means that the block is not in the unused list: positions start at 1.
        if block.references == 1 && block.lru_position != 0 {
            self.unused.remove(&block.lru_position);
            block.lru_position = 0;
        }
    }

    fn evict(&mut self) {
        while self.shared.len() + self.private > self.kept {
            let Some((_, key)) = self.unused.pop_first() else {
                return;
            };
            self.shared.remove(&key);
        }
    }

    /// Number of used blocks, recomputed from all allocations.
    #[cfg(test)]
    pub(crate) fn recount<'a>(allocations: impl Iterator<Item = &'a Allocation>) -> usize {
        let mut keys = std::collections::BTreeSet::new();
        let mut private = 0;
        for allocation in allocations {
            keys.extend(allocation.shared.iter().copied());
            private += allocation.private;
        }
        keys.len() + private
    }
}
