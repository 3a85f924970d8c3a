//! Addresses of the other dispatchers, for datagrams between them.

use std::net::SocketAddr;

/// Longest datagram between dispatchers, bytes.
const MAX_DATAGRAM_BYTES: usize = 256;

/// Addresses of all dispatchers, indexed by their numbers in the settings.
#[derive(Debug)]
pub(crate) struct Peers {
    addresses: Vec<SocketAddr>,
    broadcast: Option<SocketAddr>,
    own_number: usize,
    enabled: bool,
}

impl Peers {
    /// `own_number` is this dispatcher's number; `enabled` tells whether the settings allow datagrams.
    pub(crate) fn new(
        addresses: Vec<SocketAddr>,
        broadcast: Option<SocketAddr>,
        own_number: usize,
        enabled: bool,
    ) -> Peers {
        Peers {
            addresses,
            broadcast,
            own_number,
            enabled,
        }
    }

    /// Replaces the addresses with those of a new configuration.
    pub(crate) fn replace(&mut self, addresses: Vec<SocketAddr>, broadcast: Option<SocketAddr>) {
        (self.addresses, self.broadcast) = (addresses, broadcast);
    }

    /// Returns the address for a datagram of `bytes` bytes: one peer's, or the broadcast address if `peer` is `None`.
    /// Returns `None` if the datagram may not be sent.
    pub(crate) fn destination(&self, peer: Option<u16>, bytes: usize) -> Option<SocketAddr> {
        let to = match peer {
            Some(number) => self.addresses.get(usize::from(number)).copied(),
            None => self.broadcast,
        };
        to.filter(|_| self.enabled && bytes <= MAX_DATAGRAM_BYTES)
    }

    /// Returns the number of the peer that sent a datagram of `bytes` bytes. Broadcasts come back to their sender, so
    /// datagrams from this dispatcher itself give `None`.
    pub(crate) fn sender(&self, from: SocketAddr, bytes: usize) -> Option<usize> {
        let number = self.addresses.iter().position(|p| *p == from)?;
        (number != self.own_number && bytes <= MAX_DATAGRAM_BYTES).then_some(number)
    }
}
