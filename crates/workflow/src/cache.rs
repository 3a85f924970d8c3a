//! The records that this process wrote or read last, so that a step costs one write and no read. What is here may be old: a
//! compare-and-set notices, and nothing is refused by it that the register was not asked about.

use std::collections::BTreeMap;

use bitternlatch_replicated_register::{RegisterKey, Version};

use crate::record::Record;

/// Records kept: some 48 MiB if each were as long as one may be.
const MAX_CACHED_RECORDS: usize = 1024;

#[derive(Debug, Default)]
pub(crate) struct Cache {
    records: BTreeMap<RegisterKey, (u64, Version, Record)>,
    by_use: BTreeMap<u64, RegisterKey>,
    uses: u64,
}

impl Cache {
    pub(crate) fn put(&mut self, key: RegisterKey, version: Version, record: Record) {
        self.drop(key);
        if self.records.len() >= MAX_CACHED_RECORDS {
            if let Some((_, oldest)) = self.by_use.pop_first() {
                self.records.remove(&oldest);
            }
        }
        self.uses += 1;
        self.by_use.insert(self.uses, key);
        self.records.insert(key, (self.uses, version, record));
    }

    pub(crate) fn get(&self, key: RegisterKey) -> Option<(Version, Record)> {
        self.records
            .get(&key)
            .map(|(_, version, record)| (*version, record.clone()))
    }

    pub(crate) fn drop(&mut self, key: RegisterKey) {
        if let Some((used, ..)) = self.records.remove(&key) {
            self.by_use.remove(&used);
        }
    }
}
