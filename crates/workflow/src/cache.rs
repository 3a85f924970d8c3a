//! Cache of the records that this process last wrote or read, so that an operation on a known workflow costs one write and no read.
//! An entry may be stale: the compare-and-set of a write detects that, and no command is rejected without a read of the register.

use std::collections::BTreeMap;

use bitternlatch_replicated_register::{RegisterKey, Version};

use crate::record::Record;

/// Maximum number of cached records: about 48 MiB if each has the maximum size.
const MAX_CACHED_RECORDS: usize = 1024;

#[derive(Debug)]
struct CachedRecord {
    put_number: u64,
    version: Version,
    record: Record,
}

/// Cached records by register key. When the cache is full, the entry that was put least recently is evicted.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    records: BTreeMap<RegisterKey, CachedRecord>,
    by_put: BTreeMap<u64, RegisterKey>,
    last_put: u64,
}

impl Cache {
    pub(crate) fn put(&mut self, key: RegisterKey, version: Version, record: Record) {
        self.remove(key);
        if self.records.len() >= MAX_CACHED_RECORDS {
            if let Some((_, oldest)) = self.by_put.pop_first() {
                self.records.remove(&oldest);
            }
        }
        self.last_put += 1;
        self.by_put.insert(self.last_put, key);
        let cached = CachedRecord {
            put_number: self.last_put,
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
            self.by_put.remove(&cached.put_number);
        }
    }
}
