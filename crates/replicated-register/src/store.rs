//! The registers of which this member holds copies, within bounds of number and bytes, and when what is let go of is forgotten.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::register::{Acceptor, Ballot, RegisterKey, State, Version};

/// Registers of which one member holds copies, at the most; beyond it new ones are refused.
pub const MAX_REGISTERS: usize = 64 * 1024;
/// Bytes of their values at the most; beyond it longer values are refused.
pub const MAX_STORED_BYTES: usize = 256 << 20;
/// A gap that all copies hold, and a promise about a register that holds nothing, are forgotten after this: no message is older.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(600);
/// A gap that some copy may not hold. What a copy away for longer brings back is taken for the latest again.
pub const UNSETTLED_TOMBSTONE_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// There is no room.
#[derive(Debug)]
pub struct CapacityError;

#[derive(Default)]
pub struct RegisterStore {
    replicas: BTreeMap<RegisterKey, Acceptor>,
    bytes: usize,
    expiries: BTreeMap<RegisterKey, Duration>,
    /// The first of the ends.
    next_expiry: Option<Duration>,
}

impl RegisterStore {
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    pub fn get(&self, key: RegisterKey) -> Option<&Acceptor> {
        self.replicas.get(&key)
    }

    /// All after a key, in order.
    pub fn iter_after(
        &self,
        key: Option<RegisterKey>,
    ) -> impl Iterator<Item = (&RegisterKey, &Acceptor)> {
        use std::ops::Bound::{Excluded, Unbounded};
        self.replicas
            .range((key.map_or(Unbounded, Excluded), Unbounded))
    }

    pub fn clear(&mut self) {
        *self = RegisterStore::default();
    }

    /// Changes one, or begins one, where there is room for a value of so many bytes.
    pub fn update<T>(
        &mut self,
        now: Duration,
        key: RegisterKey,
        bytes: usize,
        change: impl FnOnce(&mut Acceptor) -> T,
    ) -> Result<T, CapacityError> {
        let had = self.replicas.get(&key).map(Acceptor::bytes);
        let version = |acceptor: &Acceptor| acceptor.accepted.as_ref().map(|a| a.state.version);
        let before = self.replicas.get(&key).and_then(version);
        if (had.is_none() && self.replicas.len() >= MAX_REGISTERS)
            || (bytes > had.unwrap_or(0)
                && self.bytes - had.unwrap_or(0) + bytes > MAX_STORED_BYTES)
        {
            return Err(CapacityError);
        }
        let acceptor = self.replicas.entry(key).or_default();
        let done = change(acceptor);
        self.bytes = self.bytes - had.unwrap_or(0) + acceptor.bytes();
        let lasts = match &acceptor.accepted {
            Some(accepted) if accepted.state.body.is_some() => None,
            Some(accepted) if before != Some(accepted.state.version) => {
                Some(now + UNSETTLED_TOMBSTONE_RETENTION)
            }
            // A promise has to be remembered for as long as what it forbids may be under way.
            _ => Some(
                self.expiries
                    .get(&key)
                    .copied()
                    .unwrap_or_default()
                    .max(now + TOMBSTONE_RETENTION),
            ),
        };
        match lasts {
            None => drop(self.expiries.remove(&key)),
            Some(end) => self.set_expiry(key, end),
        }
        Ok(done)
    }

    fn set_expiry(&mut self, key: RegisterKey, at: Duration) {
        self.expiries.insert(key, at);
        self.next_expiry = Some(self.next_expiry.map_or(at, |next| next.min(at)));
    }

    pub fn prepare(
        &mut self,
        now: Duration,
        key: RegisterKey,
        ballot: Ballot,
    ) -> Result<Result<bool, Ballot>, CapacityError> {
        self.update(now, key, 0, |acceptor| acceptor.prepare(ballot))
    }

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

    /// All copies hold this gap.
    pub fn settle_tombstone(&mut self, now: Duration, key: RegisterKey, version: Version) {
        let state = self
            .replicas
            .get(&key)
            .and_then(|acceptor| acceptor.accepted.as_ref())
            .map(|a| &a.state);
        if state.is_some_and(|s| s.body.is_none() && s.version == version) {
            self.set_expiry(key, now + TOMBSTONE_RETENTION);
        }
    }

    pub fn next_expiry(&self) -> Option<Duration> {
        self.next_expiry
    }

    /// Forgets what has ended; those are gone from the disk too then.
    pub fn expire(&mut self, now: Duration) -> Vec<RegisterKey> {
        if self.next_expiry.is_none_or(|at| now < at) {
            return vec![];
        }
        let ended: Vec<RegisterKey> = self
            .expiries
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(k, _)| *k)
            .collect();
        for key in &ended {
            self.expiries.remove(key);
            self.replicas.remove(key);
        }
        self.next_expiry = self.expiries.values().min().copied();
        ended
    }
}

#[cfg(test)]
mod tests;
