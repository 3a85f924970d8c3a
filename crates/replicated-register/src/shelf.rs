//! The registers of which this member holds copies, within bounds of number and bytes, and when what is let go of is forgotten.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::register::{Ballot, Copy, RegisterKey, State, Version};

/// Registers of which one member holds copies, at the most; beyond it new ones are refused.
pub const REGISTERS_MOST: usize = 64 * 1024;
/// Bytes of their values at the most; beyond it longer values are refused.
pub const BYTES_MOST: usize = 256 << 20;
/// A gap that all copies hold, and a promise about a register that holds nothing, are forgotten after this: no message is older.
pub const GAP_LASTS: Duration = Duration::from_secs(600);
/// A gap that some copy may not hold. What a copy away for longer brings back is taken for the latest again.
pub const OPEN_GAP_LASTS: Duration = Duration::from_secs(24 * 3600);

/// There is no room.
#[derive(Debug)]
pub struct NoRoom;

#[derive(Default)]
pub struct Shelf {
    copies: BTreeMap<RegisterKey, Copy>,
    bytes: usize,
    ends: BTreeMap<RegisterKey, Duration>,
    /// The first of the ends.
    next_end: Option<Duration>,
}

impl Shelf {
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    pub fn get(&self, key: RegisterKey) -> Option<&Copy> {
        self.copies.get(&key)
    }

    /// All after a key, in order.
    pub fn after(&self, key: Option<RegisterKey>) -> impl Iterator<Item = (&RegisterKey, &Copy)> {
        use std::ops::Bound::{Excluded, Unbounded};
        self.copies
            .range((key.map_or(Unbounded, Excluded), Unbounded))
    }

    pub fn clear(&mut self) {
        *self = Shelf::default();
    }

    /// Changes one, or begins one, where there is room for a value of so many bytes.
    pub fn change<T>(
        &mut self,
        now: Duration,
        key: RegisterKey,
        bytes: usize,
        change: impl FnOnce(&mut Copy) -> T,
    ) -> Result<T, NoRoom> {
        let had = self.copies.get(&key).map(Copy::bytes);
        let version = |copy: &Copy| copy.accepted.as_ref().map(|a| a.state.version);
        let before = self.copies.get(&key).and_then(version);
        if (had.is_none() && self.copies.len() >= REGISTERS_MOST)
            || (bytes > had.unwrap_or(0) && self.bytes - had.unwrap_or(0) + bytes > BYTES_MOST)
        {
            return Err(NoRoom);
        }
        let copy = self.copies.entry(key).or_default();
        let done = change(copy);
        self.bytes = self.bytes - had.unwrap_or(0) + copy.bytes();
        let lasts = match &copy.accepted {
            Some(accepted) if accepted.state.body.is_some() => None,
            Some(accepted) if before != Some(accepted.state.version) => Some(now + OPEN_GAP_LASTS),
            // A promise has to be remembered for as long as what it forbids may be under way.
            _ => Some(
                self.ends
                    .get(&key)
                    .copied()
                    .unwrap_or_default()
                    .max(now + GAP_LASTS),
            ),
        };
        match lasts {
            None => drop(self.ends.remove(&key)),
            Some(end) => self.end(key, end),
        }
        Ok(done)
    }

    fn end(&mut self, key: RegisterKey, at: Duration) {
        self.ends.insert(key, at);
        self.next_end = Some(self.next_end.map_or(at, |next| next.min(at)));
    }

    pub fn prepare(
        &mut self,
        now: Duration,
        key: RegisterKey,
        ballot: Ballot,
    ) -> Result<Result<bool, Ballot>, NoRoom> {
        self.change(now, key, 0, |copy| copy.prepare(ballot))
    }

    pub fn accept(
        &mut self,
        now: Duration,
        key: RegisterKey,
        ballot: Ballot,
        state: &State,
    ) -> Result<Result<bool, Ballot>, NoRoom> {
        let bytes = state.body.as_ref().map_or(0, Vec::len);
        self.change(now, key, bytes, |copy| copy.accept(ballot, state))
    }

    /// All copies hold this gap.
    pub fn gone(&mut self, now: Duration, key: RegisterKey, version: Version) {
        let state = self
            .copies
            .get(&key)
            .and_then(|copy| copy.accepted.as_ref())
            .map(|a| &a.state);
        if state.is_some_and(|s| s.body.is_none() && s.version == version) {
            self.end(key, now + GAP_LASTS);
        }
    }

    pub fn next_end(&self) -> Option<Duration> {
        self.next_end
    }

    /// Forgets what has ended; those are gone from the disk too then.
    pub fn expire(&mut self, now: Duration) -> Vec<RegisterKey> {
        if self.next_end.is_none_or(|at| now < at) {
            return vec![];
        }
        let ended: Vec<RegisterKey> = self
            .ends
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(k, _)| *k)
            .collect();
        for key in &ended {
            self.ends.remove(key);
            self.copies.remove(key);
        }
        self.next_end = self.ends.values().min().copied();
        ended
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use bitternlatch_membership::NameKey;

    #[test]
    fn room_is_bounded_gaps_end_and_values_stay() {
        let (mut shelf, now) = (Shelf::default(), Duration::ZERO);
        let ballot = Ballot {
            round: 1,
            by: NameKey(1),
            start: 1,
        };
        let version = Version {
            epoch: 1,
            count: 1,
            writer: NameKey(1),
            start: 1,
        };
        let state = |body| State {
            version,
            before: None,
            body,
        };
        let key = |i: usize| RegisterKey((i as u128).to_le_bytes());
        for i in 0..REGISTERS_MOST {
            assert!(matches!(shelf.prepare(now, key(i), ballot), Ok(Ok(true))));
        }
        assert!(shelf.prepare(now, key(REGISTERS_MOST), ballot).is_err());
        let long = BYTES_MOST / crate::VALUE_MOST;
        for i in 0..long {
            assert!(shelf
                .accept(
                    now,
                    key(i),
                    ballot,
                    &state(Some(vec![0; crate::VALUE_MOST]))
                )
                .is_ok());
        }
        assert!(shelf
            .accept(
                now,
                key(long),
                ballot,
                &state(Some(vec![0; crate::VALUE_MOST]))
            )
            .is_err());
        assert!(matches!(
            shelf.accept(now, key(long), ballot, &state(None)),
            Ok(Ok(true))
        ));
        assert_eq!(shelf.expire(GAP_LASTS).len(), REGISTERS_MOST - long - 1);
        shelf.gone(now, key(long), version);
        shelf.gone(now, key(0), version);
        assert_eq!(shelf.expire(GAP_LASTS), vec![key(long)]);
        assert_eq!((shelf.len(), shelf.next_end()), (long, None));
    }
}
