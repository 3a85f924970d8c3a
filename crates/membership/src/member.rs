//! Identity of a member: its name, its address and the start of its process.

use std::net::SocketAddrV4;

use foca::Identity;
use serde::{Deserialize, Serialize};

/// The short form of a member's name in datagrams: the first 32 bits of the name's BLAKE3 hash.
///
/// Names have 1 to 100 bytes. A roster in which two names have the same short form is rejected at startup.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NameKey(pub u32);

impl NameKey {
    /// Computes the short form of a name.
    pub fn of(name: &str) -> NameKey {
        let hash = blake3::hash(name.as_bytes());
        let [a, b, c, d, ..] = *hash.as_bytes();
        NameKey(u32::from_le_bytes([a, b, c, d]))
    }
}

/// One start of a process, and how often the process has rejoined since then after peers declared it down.
///
/// Later starts compare greater. The number of a start is its time in Unix milliseconds, or the last start stored in
/// the process's data directory plus one, whichever is greater, so that a restart does not look older than the start
/// before it when the clock was set back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Start {
    /// Number of the start; greater for later starts.
    pub process: u64,
    /// How often the process has rejoined the cluster since this start.
    #[serde(rename = "comeback")]
    pub rejoins: u16,
}

/// The identity under which peers know a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Short form of the member's name.
    pub name: NameKey,
    /// Address at which the member receives datagrams and connections.
    pub address: SocketAddrV4,
    /// The start of the member's process.
    pub start: Start,
}

impl Identity for Id {
    type Addr = NameKey;

    /// Returns the identity for a rejoin after peers declared this live process down, as they do when it was paused. The
    /// start of the process stays the same, and the count of rejoins increases.
    fn renew(&self) -> Option<Id> {
        let rejoins = self.start.rejoins.checked_add(1)?;
        Some(Id {
            start: Start {
                rejoins,
                ..self.start
            },
            ..*self
        })
    }

    fn addr(&self) -> NameKey {
        self.name
    }

    fn win_addr_conflict(&self, other: &Id) -> bool {
        self.start > other.start
    }
}
