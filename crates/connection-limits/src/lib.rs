//! Limits how many connections may be in their handshake at once. Performs no I/O: the code that uses it opens and
//! closes the sockets.

use std::collections::BTreeMap;
use std::net::IpAddr;

/// Identifies a connection whose handshake is pending; ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HandshakeId(pub u64);

/// Result of admitting a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// Id of the new connection.
    pub admitted: HandshakeId,
    /// The connection that was evicted to make room, which the calling code has to close.
    pub evicted: Option<HandshakeId>,
}

/// Connections whose handshake is not complete, up to a capacity.
///
/// At capacity, a new connection evicts the oldest connection of the client address that has the most pending
/// handshakes. An address that opens many connections without sending anything therefore evicts its own connections,
/// and handshakes from other addresses keep their time. If all connections come from one address, the oldest one is
/// evicted, because it has had the most time to complete.
#[derive(Debug)]
pub struct Handshakes {
    capacity: usize,
    /// Client address of each pending connection, in order of arrival.
    pending: BTreeMap<HandshakeId, IpAddr>,
    /// Number of pending connections per client address.
    by_address: BTreeMap<IpAddr, usize>,
    next_id: u64,
    evictions: u64,
}

impl Handshakes {
    /// Creates a set for at most `capacity` pending handshakes; a capacity of 0 is raised to 1.
    pub fn new(capacity: usize) -> Handshakes {
        Handshakes {
            capacity: capacity.max(1),
            pending: BTreeMap::new(),
            by_address: BTreeMap::new(),
            next_id: 0,
            evictions: 0,
        }
    }

    /// Admits a new connection from `address`, evicting another one if the capacity is reached.
    pub fn admit(&mut self, address: IpAddr) -> Admission {
        let evicted = if self.pending.len() >= self.capacity {
            self.eviction_candidate(address)
        } else {
            None
        };
        if let Some(evicted) = evicted {
            self.remove(evicted);
            self.evictions += 1;
        }
        let admitted = HandshakeId(self.next_id);
        self.next_id += 1;
        self.pending.insert(admitted, address);
        *self.by_address.entry(address).or_default() += 1;
        Admission { admitted, evicted }
    }

    /// Returns the oldest connection of the address that would have the most pending handshakes once the new connection
    /// from `new_address` is counted.
    fn eviction_candidate(&self, new_address: IpAddr) -> Option<HandshakeId> {
        let count_with_new = |(address, count): (&IpAddr, &usize)| {
            (count + usize::from(*address == new_address), *address)
        };
        let (_, busiest) = self.by_address.iter().map(count_with_new).max()?;
        self.pending
            .iter()
            .find(|(_, address)| **address == busiest)
            .map(|(id, _)| *id)
    }

    /// Removes a connection whose handshake completed or failed. Returns false if it had already been evicted.
    pub fn remove(&mut self, id: HandshakeId) -> bool {
        let Some(address) = self.pending.remove(&id) else {
            return false;
        };
        if let Some(count) = self.by_address.get_mut(&address) {
            *count -= 1;
            if *count == 0 {
                self.by_address.remove(&address);
            }
        }
        true
    }

    /// Number of pending handshakes.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no handshake is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Number of connections evicted since the set was created, for logs.
    pub fn evictions(&self) -> u64 {
        self.evictions
    }
}

#[cfg(test)]
mod tests;
