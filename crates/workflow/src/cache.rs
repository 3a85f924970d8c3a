//! The records that this process wrote or read last, so that a step costs one write and no read. An entry may be out of date: the
//! compare-and-set notices it, and nothing is rejected without a read of the register.

use std::collections::BTreeMap;

use bitternlatch_replicated_register::{RegisterKey, Version};

use crate::record::Record;

/// Records that are cached: some 48 MiB if each had its maximal length.
const MAX_CACHED_RECORDS: usize = 1024;

#[derive(Debug)]
struct CachedRecord {
    last_use: u64,
    version: Version,
    record: Record,
}

/// Records by register; the least recently written one is evicted.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    records: BTreeMap<RegisterKey, CachedRecord>,
    by_use: BTreeMap<u64, RegisterKey>,
    uses: u64,
}

impl Cache {
    pub(crate) fn put(&mut self, key: RegisterKey, version: Version, record: Record) {
        self.remove(key);
        if self.records.len() >= MAX_CACHED_RECORDS {
            if let Some((_, oldest)) = self.by_use.pop_first() {
                self.records.remove(&oldest);
            }
        }
        self.uses += 1;
        self.by_use.insert(self.uses, key);
        let cached = CachedRecord {
            last_use: self.uses,
            version,
            record,
        };
        self.records.insert(key, cached);
    }

    pub(crate) fn get(&self, key: RegisterKey) -> Option<(Version, Record)> {
        let cached = self.records.get(&key)?;
        Some((cached.version, cached.record.clone()))
    }

    pub(crate) fn remove(&mut self, key: RegisterKey) {
        if let Some(cached) = self.records.remove(&key) {
            self.by_use.remove(&cached.last_use);
        }
    }
}
