//! Decisions on connections that are not sessions yet. No I/O; ids and addresses are given.

use std::collections::BTreeMap;
use std::net::IpAddr;

/// One connection in its handshake; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Visitor(pub u64);

/// Connections whose handshake is not done, within a bound.
///
/// When the bound is met, a new one is let in for another that is sent away: the one that has waited longest of the address that
/// has the most here. So an address that opens many and says nothing displaces its own, and those of others get
/// their time; where one address alone comes, the oldest, which has had the most time, goes.
#[derive(Debug)]
pub struct Handshakes {
    most: usize,
    /// By order of coming.
    inside: BTreeMap<Visitor, IpAddr>,
    by_address: BTreeMap<IpAddr, usize>,
    next: u64,
    sent_away: u64,
}

impl Handshakes {
    /// With room for so many; one at the least.
    pub fn new(most: usize) -> Handshakes {
        Handshakes {
            most: most.max(1),
            inside: BTreeMap::new(),
            by_address: BTreeMap::new(),
            next: 0,
            sent_away: 0,
        }
    }

    /// Lets one in; also gives the one that has to go for it.
    pub fn enter(&mut self, address: IpAddr) -> (Visitor, Option<Visitor>) {
        let gone = if self.inside.len() >= self.most {
            self.displaced(address)
        } else {
            None
        };
        if let Some(gone) = gone {
            self.leave(gone);
            self.sent_away += 1;
        }
        let visitor = Visitor(self.next);
        self.next += 1;
        self.inside.insert(visitor, address);
        *self.by_address.entry(address).or_default() += 1;
        (visitor, gone)
    }

    /// The oldest of the address that would have the most, the newcomer counted.
    fn displaced(&self, newcomer: IpAddr) -> Option<Visitor> {
        let weight =
            |(address, n): (&IpAddr, &usize)| (n + usize::from(*address == newcomer), *address);
        let (_, crowd) = self.by_address.iter().map(weight).max()?;
        self.inside
            .iter()
            .find(|(_, a)| **a == crowd)
            .map(|(v, _)| *v)
    }

    /// Its handshake has ended, one way or another; false where it had been sent away before.
    pub fn leave(&mut self, visitor: Visitor) -> bool {
        let Some(address) = self.inside.remove(&visitor) else {
            return false;
        };
        if let Some(n) = self.by_address.get_mut(&address) {
            *n -= 1;
            if *n == 0 {
                self.by_address.remove(&address);
            }
        }
        true
    }

    pub fn len(&self) -> usize {
        self.inside.len()
    }

    pub fn is_empty(&self) -> bool {
        self.inside.is_empty()
    }

    /// Sent away since the start, for logs.
    pub fn sent_away(&self) -> u64 {
        self.sent_away
    }
}

#[cfg(test)]
mod tests;
