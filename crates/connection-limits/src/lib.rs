//! Which connections may be in their handshake at once. No I/O: the caller opens and closes the sockets.

use std::collections::BTreeMap;
use std::net::IpAddr;

/// One connection in its handshake; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HandshakeId(pub u64);

/// What became of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// Id of the new connection.
    pub admitted: HandshakeId,
    /// The connection that the caller has to close for it.
    pub evicted: Option<HandshakeId>,
}

/// Connections whose handshake is not complete, up to a capacity.
///
/// At the capacity a new connection evicts the oldest one of the address that has the most. So an address that opens
/// many connections and sends nothing evicts its own, and other addresses get their time. Where all are of one
/// address, the oldest goes, which has had the most time.
#[derive(Debug)]
pub struct Handshakes {
    capacity: usize,
    /// In order of arrival.
    pending: BTreeMap<HandshakeId, IpAddr>,
    by_address: BTreeMap<IpAddr, usize>,
    next_id: u64,
    evictions: u64,
}

impl Handshakes {
    /// For up to this many at once; one at the least.
    pub fn new(capacity: usize) -> Handshakes {
        Handshakes {
            capacity: capacity.max(1),
            pending: BTreeMap::new(),
            by_address: BTreeMap::new(),
            next_id: 0,
            evictions: 0,
        }
    }

    /// Admits a new connection, which may evict another.
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

    /// The oldest connection of the address that would have the most, the new one counted.
    fn eviction_candidate(&self, newcomer: IpAddr) -> Option<HandshakeId> {
        let weight = |(address, count): (&IpAddr, &usize)| {
            (count + usize::from(*address == newcomer), *address)
        };
        let (_, crowded) = self.by_address.iter().map(weight).max()?;
        self.pending
            .iter()
            .find(|(_, address)| **address == crowded)
            .map(|(id, _)| *id)
    }

    /// Removes a connection whose handshake is complete or has failed; false where it had been evicted before.
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

    /// Connections in their handshake now.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no connection is in its handshake.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Connections evicted since the start, for logs.
    pub fn evictions(&self) -> u64 {
        self.evictions
    }
}

#[cfg(test)]
mod tests;
