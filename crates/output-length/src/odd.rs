//! Hosts and peers that report what cannot be: they are not counted, and named.

use std::collections::BTreeMap;

use bitternlatch_membership::NameKey;

use crate::error::LengthsError;
use crate::io::{End, Ended};

/// Hosts and peers remembered; further ones are counted without a name.
const NAMED: usize = 64;
/// Reports of one host after which it is named: one may be a fault of the moment.
const NAME_AT: u32 = 3;

/// Whether a host's report of an answer can be true.
pub(crate) fn odd(ended: &Ended) -> bool {
    let none = ended.tokens == 0 && ended.bytes > 0 && ended.end != End::Left;
    none || ended.tokens > ended.ceiling && ended.end != End::Left
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Odd {
    hosts: BTreeMap<String, u32>,
    peers: BTreeMap<NameKey, u32>,
    pub count: u64,
}

impl Odd {
    /// Notes a host's odd report; true when it is to be named.
    pub fn host(&mut self, host: &str) -> bool {
        self.count += 1;
        if self.hosts.len() >= NAMED && !self.hosts.contains_key(host) {
            return false;
        }
        let seen = self.hosts.entry(host.to_string()).or_default();
        *seen = seen.saturating_add(1);
        *seen == NAME_AT
    }

    /// Notes what a peer said that cannot be read; true when it is to be named.
    pub fn peer(&mut self, name: NameKey, _error: &LengthsError) -> bool {
        self.count += 1;
        if self.peers.len() >= NAMED && !self.peers.contains_key(&name) {
            return false;
        }
        let seen = self.peers.entry(name).or_default();
        *seen = seen.saturating_add(1);
        *seen == 1
    }
}
