//! The registers that this member holds: limits on their number and size, and expiry of tombstones and promises.

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Duration;

use crate::register::{Acceptor, Ballot, RegisterKey, State, Version};

/// Maximum number of registers that one member holds. Requests for further registers are rejected.
pub const MAX_REGISTERS: usize = 64 * 1024;
/// Maximum total size in bytes of the values that one member holds. A value that would exceed it is rejected.
pub const MAX_STORED_BYTES: usize = 256 << 20;
/// Time after which a replica forgets a tombstone that all replicas hold, or a promise for a register without a state. No message
/// stays in the network for as long, so none that the tombstone or the promise should stop can still arrive.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(600);
/// Time after which a replica forgets a tombstone that some other replica may not hold. If a replica that was down for longer
/// returns with the deleted value, that value becomes the latest state again.
pub const UNSETTLED_TOMBSTONE_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// The limit of registers or of bytes is reached.
#[derive(Debug)]
pub struct CapacityError;

/// Acceptors of the registers that this member holds, by key.
#[derive(Default)]
pub struct RegisterStore {
    acceptors: BTreeMap<RegisterKey, Acceptor>,
    /// Total size of all values in bytes.
    bytes: usize,
    /// Time at which each register without a value is removed.
    expiries: BTreeMap<RegisterKey, Duration>,
    /// Lower bound of all times in `expiries`; `None` only if there are none.
    next_expiry: Option<Duration>,
}

impl RegisterStore {
    /// Number of registers held, including tombstones and registers with only a promise.
    pub fn len(&self) -> usize {
        self.acceptors.len()
    }

    /// The acceptor of a register; `None` if this member has no state for it.
    pub fn get(&self, key: RegisterKey) -> Option<&Acceptor> {
        self.acceptors.get(&key)
    }

    /// Iterates over the registers with keys greater than `key`, or over all if it is `None`, in the order of keys.
    pub fn iter_after(
        &self,
        key: Option<RegisterKey>,
    ) -> impl Iterator<Item = (&RegisterKey, &Acceptor)> {
        let from = key.map_or(Unbounded, Excluded);
        self.acceptors.range((from, Unbounded))
    }

    /// Removes all registers.
    pub fn clear(&mut self) {
        *self = RegisterStore::default();
    }

    /// Applies `change` to a register, which is created first if it does not exist. `bytes` is the maximum length in bytes of the
    /// value after the change.
    ///
    /// # Errors
    /// Returns [`CapacityError`] if a limit would be exceeded; nothing is changed then.
    pub fn update<T>(
        &mut self,
        now: Duration,
        key: RegisterKey,
        bytes: usize,
        change: impl FnOnce(&mut Acceptor) -> T,
    ) -> Result<T, CapacityError> {
        let before = self.acceptors.get(&key);
        let old_bytes = before.map_or(0, Acceptor::value_bytes);
        let old_version = before.and_then(version_of);
        let exceeds_registers = before.is_none() && self.len() >= MAX_REGISTERS;
        let exceeds_bytes = bytes > old_bytes && self.bytes - old_bytes + bytes > MAX_STORED_BYTES;
        if exceeds_registers || exceeds_bytes {
            return Err(CapacityError);
        }
        let acceptor = self.acceptors.entry(key).or_default();
        let result = change(acceptor);
        self.bytes = self.bytes - old_bytes + acceptor.value_bytes();
        let has_value = acceptor
            .accepted
            .as_ref()
            .is_some_and(|accepted| accepted.state.body.is_some());
        let new_version = version_of(acceptor);
        if has_value {
            self.expiries.remove(&key);
        } else if new_version.is_some() && new_version != old_version {
            self.set_expiry(key, now + UNSETTLED_TOMBSTONE_RETENTION);
        } else {
            // The promise has to outlive the messages that it forbids accepting and that may still be in the network.
            let current = self.expiries.get(&key).copied().unwrap_or_default();
            self.set_expiry(key, current.max(now + TOMBSTONE_RETENTION));
        }
        Ok(result)
    }

    fn set_expiry(&mut self, key: RegisterKey, at: Duration) {
        self.expiries.insert(key, at);
        self.next_expiry = Some(self.next_expiry.map_or(at, |next| next.min(at)));
    }

    /// Calls [`Acceptor::prepare`] for a register.
    ///
    /// # Errors
    /// Returns [`CapacityError`] if a limit would be exceeded; nothing is changed then.
    pub fn prepare(
        &mut self,
        now: Duration,
        key: RegisterKey,
        ballot: Ballot,
    ) -> Result<Result<bool, Ballot>, CapacityError> {
        self.update(now, key, 0, |acceptor| acceptor.prepare(ballot))
    }

    /// Calls [`Acceptor::accept`] for a register.
    ///
    /// # Errors
    /// Returns [`CapacityError`] if a limit would be exceeded; nothing is changed then.
    pub fn accept(
        &mut self,
        now: Duration,
        key: RegisterKey,
        ballot: Ballot,
        state: &State,
    ) -> Result<Result<bool, Ballot>, CapacityError> {
        let bytes = state.body.as_ref().map_or(0, Vec::len);
        self.update(now, key, bytes, |acceptor| acceptor.accept(ballot, state))
    }

    /// Notes that all replicas hold a tombstone, which shortens its retention to [`TOMBSTONE_RETENTION`]. Has no effect if the
    /// register no longer holds this tombstone.
    pub fn settle_tombstone(&mut self, now: Duration, key: RegisterKey, version: Version) {
        let accepted = self
            .get(key)
            .and_then(|acceptor| acceptor.accepted.as_ref());
        let holds_tombstone = accepted.is_some_and(|accepted| {
            accepted.state.body.is_none() && accepted.state.version == version
        });
        if holds_tombstone {
            self.set_expiry(key, now + TOMBSTONE_RETENTION);
        }
    }

    /// Time at which [`RegisterStore::expire`] is due; `None` if no register expires.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.next_expiry
    }

    /// Removes expired registers and returns their keys, so that the caller also removes their records on disk.
    pub fn expire(&mut self, now: Duration) -> Vec<RegisterKey> {
        if self.next_expiry.is_none_or(|at| now < at) {
            return vec![];
        }
        let expired: Vec<RegisterKey> = self
            .expiries
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in &expired {
            self.expiries.remove(key);
            self.acceptors.remove(key);
        }
        self.next_expiry = self.expiries.values().min().copied();
        expired
    }
}

fn version_of(acceptor: &Acceptor) -> Option<Version> {
    let accepted = acceptor.accepted.as_ref()?;
    Some(accepted.state.version)
}

#[cfg(test)]
mod tests;
