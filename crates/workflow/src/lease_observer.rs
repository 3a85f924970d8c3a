//! Expiry of leases as measured by this process's own clock, from when it first saw the lease's counter. That is later than when
//! the lease holder requested the lease, so the holder stops using it first.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_replicated_register::{RegisterKey, Version};

use crate::record::Record;

/// Maximum number of observed leases. When it is reached, the one with the lowest key is evicted, and its time starts anew when it
/// is observed again.
const MAX_OBSERVED_LEASES: usize = 64 * 1024;

/// Part of a lease that its holder may use, percent. Clock rates may deviate by up to 1 % in either direction.
const USABLE_LEASE_PERCENT: u32 = 98;
/// Time after which an observer takes a lease as expired, percent of its length. Clock rates may deviate by up to 1 % in either
/// direction.
const EXPIRED_LEASE_PERCENT: u32 = 102;

/// Returns how long the holder may use a lease of this length.
fn usable_time(lease: Duration) -> Duration {
    lease * USABLE_LEASE_PERCENT / 100
}

/// Returns how long an observer waits before it takes an unrenewed lease of this length as expired.
fn expired_after(lease: Duration) -> Duration {
    lease * EXPIRED_LEASE_PERCENT / 100
}

/// Returns how long a step may be sent after the write of its intent was requested: half of the usable lease, so that at least the
/// same time passes after the last possible send before another worker can adopt the workflow.
pub(crate) fn send_window(lease: Duration) -> Duration {
    usable_time(lease) / 2
}

/// Identifies one lease or renewal by its epoch and counter.
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

/// For each workflow, the lease and record version last seen and when each was first seen.
#[derive(Debug, Default)]
pub(crate) struct LeaseObserver {
    observed: BTreeMap<RegisterKey, ObservedLease>,
}

impl LeaseObserver {
    /// Notes a record that a replica has accepted.
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

    /// Returns whether the record's lease has been seen without a renewal for longer than its length.
    pub(crate) fn is_expired(&self, now: Duration, key: RegisterKey, record: &Record) -> bool {
        let (_, length_us) = record.lease();
        let limit = expired_after(Duration::from_micros(length_us));
        self.observed.get(&key).is_some_and(|observed| {
            let seen_for = now.saturating_sub(observed.lease_seen_at);
            observed.lease == LeaseId::of(record) && seen_for > limit
        })
    }

    /// Returns how long ago this version was first seen, or zero if another version was seen last.
    pub(crate) fn unchanged(&self, now: Duration, key: RegisterKey, version: Version) -> Duration {
        match self.observed.get(&key) {
            Some(observed) if observed.version == version => {
                now.saturating_sub(observed.version_seen_at)
            }
            _ => Duration::ZERO,
        }
    }

    /// Drops the observation of a register that was deleted.
    pub(crate) fn forget(&mut self, key: RegisterKey) {
        self.observed.remove(&key);
    }
}
