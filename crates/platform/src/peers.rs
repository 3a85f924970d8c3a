//! Addresses of the other dispatchers, for datagrams between them.

use std::net::SocketAddr;

/// Longest datagram between dispatchers, bytes.
const MAX_DATAGRAM: usize = 256;

/// The other dispatchers, by their numbers in the settings.
#[derive(Debug)]
pub(crate) struct Peers {
    addresses: Vec<SocketAddr>,
    broadcast: Option<SocketAddr>,
    own_number: usize,
    enabled: bool,
}

impl Peers {
    /// `own_number` is this dispatcher's; `enabled` whether the settings allow datagrams.
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

    /// Takes over the addresses of a new configuration.
    pub(crate) fn replace(&mut self, addresses: Vec<SocketAddr>, broadcast: Option<SocketAddr>) {
        (self.addresses, self.broadcast) = (addresses, broadcast);
    }

    /// Where a datagram of `bytes` goes: to one peer, or to all where none is named. `None` where it may not be sent.
    pub(crate) fn destination(&self, peer: Option<u16>, bytes: usize) -> Option<SocketAddr> {
        let to = match peer {
            Some(number) => self.addresses.get(usize::from(number)).copied(),
            None => self.broadcast,
        };
        to.filter(|_| self.enabled && bytes <= MAX_DATAGRAM)
    }

    /// The number of the peer that a datagram of `bytes` came from. A broadcast comes back to its sender, so that
    /// datagrams of this dispatcher's own are dropped.
    pub(crate) fn sender(&self, from: SocketAddr, bytes: usize) -> Option<usize> {
        let number = self.addresses.iter().position(|p| *p == from)?;
        (number != self.own_number && bytes <= MAX_DATAGRAM).then_some(number)
    }
}
