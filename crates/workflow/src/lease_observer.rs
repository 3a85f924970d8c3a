//! Leases of others, judged by this process's own clock: from when it first saw a lease's counter, which is later than when
//! its holder asked for it.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_replicated_register::{RegisterKey, Version};

use crate::record::Record;

/// Workflows whose leases are watched; one beyond takes the place of another, which is then seen as for the first time.
const MAX_OBSERVED_LEASES: usize = 64 * 1024;

/// How long the holder may use a lease of this length: clocks run apart by up to one in a hundred, either way.
pub(crate) fn usable(lease: Duration) -> Duration {
    lease * 98 / 100
}

/// How long a watcher waits until it takes its holder for dead.
pub(crate) fn over(lease: Duration) -> Duration {
    lease * 102 / 100
}

/// How long an effect may still leave, from when its intent was asked for: adoption is then as far away again.
pub(crate) fn send_window(lease: Duration) -> Duration {
    usable(lease) / 2
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    /// Epoch and counter of the lease.
    lease: (u64, u64),
    lease_at: Duration,
    version: Version,
    version_at: Duration,
}

/// What was seen of workflows, and when first.
#[derive(Debug, Default)]
pub(crate) struct LeaseObserver {
    seen: BTreeMap<RegisterKey, Seen>,
}

impl LeaseObserver {
    /// A record that some copy accepted was seen now.
    pub(crate) fn observe(
        &mut self,
        now: Duration,
        key: RegisterKey,
        version: Version,
        record: &Record,
    ) {
        let lease = (record.epoch(), record.lease().0);
        let new = Seen {
            lease,
            lease_at: now,
            version,
            version_at: now,
        };
        match self.seen.get_mut(&key) {
            Some(seen) => {
                if seen.lease != lease {
                    (seen.lease, seen.lease_at) = (lease, now);
                }
                if seen.version != version {
                    (seen.version, seen.version_at) = (version, now);
                }
            }
            None => {
                if self.seen.len() >= MAX_OBSERVED_LEASES {
                    self.seen.pop_first();
                }
                self.seen.insert(key, new);
            }
        }
    }

    /// Whether this record's lease was seen, without another word, for longer than it lasts.
    pub(crate) fn dead(&self, now: Duration, key: RegisterKey, record: &Record) -> bool {
        let (counter, length) = record.lease();
        self.seen.get(&key).is_some_and(|seen| {
            let since = now.saturating_sub(seen.lease_at);
            seen.lease == (record.epoch(), counter) && since > over(Duration::from_micros(length))
        })
    }

    /// For how long this very write has been the last one, as far as it was seen here.
    pub(crate) fn unchanged(&self, now: Duration, key: RegisterKey, version: Version) -> Duration {
        let seen = self.seen.get(&key).filter(|seen| seen.version == version);
        seen.map_or(Duration::ZERO, |seen| now.saturating_sub(seen.version_at))
    }

    pub(crate) fn forget(&mut self, key: RegisterKey) {
        self.seen.remove(&key);
    }
}
