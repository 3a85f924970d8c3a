//! The leader's accounting of quota leases: how much is leased, and how much can be granted to which holder.
//!
//! Each lease is counted for [`LEASE_COUNTED_FOR`] after its grant, when it has certainly expired, even where its holder has
//! been granted a smaller one since: a holder that is late in reading may still use the earlier lease. The quota of a holder
//! that stops sending requests is therefore granted to others only after that time. A new holder reduces the leases of the
//! others at their next requests, and its own lease grows when their earlier leases have expired.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{Process, RequestNumber};

/// Time for which a lease is counted after its grant. Its holder uses it for a shorter time, which begins with the request.
pub const LEASE_COUNTED_FOR: Duration = Duration::from_millis(1500);
/// Maximum number of lease holders counted at the same time. Further processes are granted nothing.
const MAX_LEASE_HOLDERS: usize = 4096;

/// One granted lease.
struct Grant {
    /// The leased fraction, in millionths.
    ppm: u32,
    /// Time until which the lease is counted.
    until: Duration,
}

/// A process and the leases that it may still be using.
#[derive(Default)]
struct LeaseHolder {
    latest_request: RequestNumber,
    grants: Vec<Grant>,
}

impl LeaseHolder {
    /// The largest fraction that the holder may be using, in millionths.
    fn max_in_use_ppm(&self) -> u32 {
        self.grants.iter().map(|grant| grant.ppm).max().unwrap_or(0)
    }
}

/// The leader's accounting of leases. A lease covers the same fraction of every quota.
pub struct QuotaLeases {
    /// Total fraction that may be leased, in millionths.
    total_ppm: u32,
    /// Time from which leases are granted. Before it, leases of an earlier leader may be in use.
    grants_from: Duration,
    holders: BTreeMap<Process, LeaseHolder>,
}

impl QuotaLeases {
    /// Creates the accounting of a process that became leader at `leader_since`, by its own clock. `total_ppm` is the total
    /// fraction that it may lease, in millionths.
    pub fn new(total_ppm: u32, leader_since: Duration) -> QuotaLeases {
        QuotaLeases {
            total_ppm,
            grants_from: leader_since + LEASE_COUNTED_FOR,
            holders: BTreeMap::new(),
        }
    }

    /// Grants a lease for a request, and returns its fraction in millionths. Returns `None` where nothing may be granted yet,
    /// the request is not later than the last one of this process, or there are too many holders.
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

    /// The fraction that can be granted to a holder, in millionths: an equal part of the total, or less while other holders may
    /// still be using more than an equal part.
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

    /// Removes a holder that no longer uses any lease and sends no more requests.
    pub fn release(&mut self, holder: Process) {
        self.holders.remove(&holder);
    }

    /// Whether this process may be using a lease.
    pub fn may_hold(&self, process: &Process) -> bool {
        self.holders.contains_key(process)
    }

    /// Removes expired leases, and holders without any lease.
    fn expire(&mut self, now: Duration) {
        self.holders.retain(|_, holder| {
            holder.grants.retain(|grant| now < grant.until);
            !holder.grants.is_empty()
        });
    }

    /// Number of processes that may be using a lease.
    pub fn holders(&self) -> usize {
        self.holders.len()
    }
}

#[cfg(test)]
mod tests;
