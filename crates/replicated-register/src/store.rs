//! The registers that this member holds, within bounds of number and bytes, and when tombstones and promises are forgotten.

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Duration;

use crate::register::{Acceptor, Ballot, RegisterKey, State, Version};

/// Registers that one member holds at most; further ones are refused.
pub const MAX_REGISTERS: usize = 64 * 1024;
/// Bytes of their values at most; longer values are refused beyond it.
pub const MAX_STORED_BYTES: usize = 256 << 20;
/// A tombstone that all replicas hold, and a promise about a register without a state, are forgotten after this: no message is
/// older.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(600);
/// A tombstone that some replica may not hold is forgotten after this. What a replica that was away for longer brings back is taken
/// for the latest state again.
pub const UNSETTLED_TOMBSTONE_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// The bound of registers or bytes is reached.
#[derive(Debug)]
pub struct CapacityError;

/// Acceptors by register.
#[derive(Default)]
pub struct RegisterStore {
    acceptors: BTreeMap<RegisterKey, Acceptor>,
    /// Bytes of all values.
    bytes: usize,
    expiries: BTreeMap<RegisterKey, Duration>,
    /// The first of the expiries, or an earlier time.
    next_expiry: Option<Duration>,
}

impl RegisterStore {
    /// Number of registers.
    pub fn len(&self) -> usize {
        self.acceptors.len()
    }

    /// The acceptor of a register, if it is held.
    pub fn get(&self, key: RegisterKey) -> Option<&Acceptor> {
        self.acceptors.get(&key)
    }

    /// All registers after a key, in the order of keys.
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

    /// Changes a register, or creates it first. `bytes` is the length of the value that it may hold then.
    ///
    /// # Errors
    /// [`CapacityError`]: nothing is changed.
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
            // A promise has to be remembered for as long as what it forbids may be on its way.
            let current = self.expiries.get(&key).copied().unwrap_or_default();
            self.set_expiry(key, current.max(now + TOMBSTONE_RETENTION));
        }
        Ok(result)
    }

    fn set_expiry(&mut self, key: RegisterKey, at: Duration) {
        self.expiries.insert(key, at);
        self.next_expiry = Some(self.next_expiry.map_or(at, |next| next.min(at)));
    }

    /// [`Acceptor::prepare`] of a register.
    ///
    /// # Errors
    /// [`CapacityError`]: nothing is changed.
    pub fn prepare(
        &mut self,
        now: Duration,
        key: RegisterKey,
        ballot: Ballot,
    ) -> Result<Result<bool, Ballot>, CapacityError> {
        self.update(now, key, 0, |acceptor| acceptor.prepare(ballot))
    }

    /// [`Acceptor::accept`] of a register.
    ///
    /// # Errors
    /// [`CapacityError`]: nothing is changed.
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

    /// All replicas hold this tombstone: it is forgotten soon.
    pub fn settle_tombstone(&mut self, now: Duration, key: RegisterKey, version: Version) {
        let accepted = self
            .get(key)
            .and_then(|acceptor| acceptor.accepted.as_ref());
        let is_held = accepted.is_some_and(|accepted| {
            accepted.state.body.is_none() && accepted.state.version == version
        });
        if is_held {
            self.set_expiry(key, now + TOMBSTONE_RETENTION);
        }
    }

    /// When [`RegisterStore::expire`] is due.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.next_expiry
    }

    /// Forgets registers that have expired, and returns them: their records have to be removed too.
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
