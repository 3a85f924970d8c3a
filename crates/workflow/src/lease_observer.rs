//! Leases of other processes, judged by this process's own clock: from when it first saw a lease's counter, which is later than when
//! its holder requested it.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_replicated_register::{RegisterKey, Version};

use crate::record::Record;

/// Workflows whose leases are observed; a further one takes the place of another, which counts as seen for the first time then.
const MAX_OBSERVED_LEASES: usize = 64 * 1024;

/// How long its holder may use a lease of this length: clocks differ in speed by up to one in a hundred, either way.
fn usable(lease: Duration) -> Duration {
    lease * 98 / 100
}

/// How long an observer waits until it takes a lease of this length as expired.
fn expired_after(lease: Duration) -> Duration {
    lease * 102 / 100
}

/// How long an effect may be sent, from when its intent was requested: a takeover is then as far away again.
pub(crate) fn send_window(lease: Duration) -> Duration {
    usable(lease) / 2
}

/// Identifies one renewal of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LeaseId {
    epoch: u64,
    counter: u64,
}

impl LeaseId {
    fn of(record: &Record) -> LeaseId {
        LeaseId {
            epoch: record.epoch(),
            counter: record.lease().0,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct ObservedLease {
    lease: LeaseId,
    lease_seen_at: Duration,
    version: Version,
    version_seen_at: Duration,
}

/// What was seen of workflows, and when first.
#[derive(Debug, Default)]
pub(crate) struct LeaseObserver {
    observed: BTreeMap<RegisterKey, ObservedLease>,
}

impl LeaseObserver {
    /// A record that some replica has accepted was seen.
    pub(crate) fn observe(
        &mut self,
        now: Duration,
        key: RegisterKey,
        version: Version,
        record: &Record,
    ) {
        let lease = LeaseId::of(record);
        if let Some(observed) = self.observed.get_mut(&key) {
            if observed.lease != lease {
                observed.lease = lease;
                observed.lease_seen_at = now;
            }
            if observed.version != version {
                observed.version = version;
                observed.version_seen_at = now;
            }
            return;
        }
        if self.observed.len() >= MAX_OBSERVED_LEASES {
            self.observed.pop_first();
        }
        let observed = ObservedLease {
            lease,
            lease_seen_at: now,
            version,
            version_seen_at: now,
        };
        self.observed.insert(key, observed);
    }

    /// Whether this record's lease was seen, without a renewal, for longer than it lasts.
    pub(crate) fn is_expired(&self, now: Duration, key: RegisterKey, record: &Record) -> bool {
        let (_, length_us) = record.lease();
        let limit = expired_after(Duration::from_micros(length_us));
        self.observed.get(&key).is_some_and(|observed| {
            let seen_for = now.saturating_sub(observed.lease_seen_at);
            observed.lease == LeaseId::of(record) && seen_for > limit
        })
    }

    /// For how long this version has been the latest one, as far as it was seen here.
    pub(crate) fn unchanged(&self, now: Duration, key: RegisterKey, version: Version) -> Duration {
        match self.observed.get(&key) {
            Some(observed) if observed.version == version => {
                now.saturating_sub(observed.version_seen_at)
            }
            _ => Duration::ZERO,
        }
    }

    /// The register was deleted.
    pub(crate) fn forget(&mut self, key: RegisterKey) {
        self.observed.remove(&key);
    }
}
