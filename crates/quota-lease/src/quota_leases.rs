//! Quota that a leader has leased, and how much it can grant to whom.
//!
//! All that may be in use is counted: each lease from its grant until it has certainly expired, [`LEASE_COUNTED_FOR`]
//! later, even where its holder has got a smaller one since, because a holder that is behind may still use the earlier
//! one. A holder that falls silent is counted until then, and only then do the others grow; a new one makes the others
//! shrink at their next requests, and grows itself when their earlier leases have expired.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{Process, RequestNumber};

/// How long a lease is counted after its grant. Its holder uses it a little less, from its request on.
pub const LEASE_COUNTED_FOR: Duration = Duration::from_millis(1500);
/// Lease holders that are counted at once; further ones are granted nothing.
const MAX_LEASE_HOLDERS: usize = 4096;

struct Grant {
    ppm: u32,
    until: Duration,
}

#[derive(Default)]
struct LeaseHolder {
    latest_request: RequestNumber,
    grants: Vec<Grant>,
}

impl LeaseHolder {
    /// The most that it may be using, millionths.
    fn max_in_use_ppm(&self) -> u32 {
        self.grants.iter().map(|grant| grant.ppm).max().unwrap_or(0)
    }
}

/// Leases of one quota, as the leader accounts for them. All quotas are leased in the same proportion.
pub struct QuotaLeases {
    /// All that may be leased, millionths of the quota.
    total_ppm: u32,
    /// Before this time leases of an earlier leader may be in use.
    grants_from: Duration,
    holders: BTreeMap<Process, LeaseHolder>,
}

impl QuotaLeases {
    /// For a leader since `leader_since`, by its own clock; `total_ppm` is what it may lease in all.
    pub fn new(total_ppm: u32, leader_since: Duration) -> QuotaLeases {
        QuotaLeases {
            total_ppm,
            grants_from: leader_since + LEASE_COUNTED_FOR,
            holders: BTreeMap::new(),
        }
    }

    /// Grants a lease for this request, in millionths of the quota; `None` where nothing may be granted yet, the request
    /// is not newer than the last one, or too many holders are counted.
    pub fn grant(&mut self, now: Duration, to: Process, number: RequestNumber) -> Option<u32> {
        self.expire(now);
        let has_capacity = self.holders.len() < MAX_LEASE_HOLDERS || self.holders.contains_key(&to);
        if now < self.grants_from || !has_capacity {
            return None;
        }
        let holder = self.holders.entry(to).or_default();
        if number <= holder.latest_request {
            return None;
        }
        holder.latest_request = number;
        let ppm = self.available_ppm(to);
        let until = now + LEASE_COUNTED_FOR;
        let holder = self.holders.entry(to).or_default();
        holder.grants.push(Grant { ppm, until });
        Some(ppm)
    }

    /// An even part, or less where others may still use more than theirs.
    fn available_ppm(&self, holder: Process) -> u32 {
        let others_ppm: u32 = self
            .holders
            .iter()
            .filter(|(process, _)| **process != holder)
            .map(|(_, other)| other.max_in_use_ppm())
            .sum();
        let even_ppm = self.total_ppm / self.holders.len() as u32;
        even_ppm.min(self.total_ppm.saturating_sub(others_ppm))
    }

    /// The holder no longer uses any lease and sends no more requests.
    pub fn release(&mut self, holder: Process) {
        self.holders.remove(&holder);
    }

    /// Whether this process may be using a lease.
    pub fn may_hold(&self, process: &Process) -> bool {
        self.holders.contains_key(process)
    }

    fn expire(&mut self, now: Duration) {
        self.holders.retain(|_, holder| {
            holder.grants.retain(|grant| now < grant.until);
            !holder.grants.is_empty()
        });
    }

    /// How many processes may be using a lease.
    pub fn holders(&self) -> usize {
        self.holders.len()
    }
}

#[cfg(test)]
mod tests;
