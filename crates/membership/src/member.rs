//! Identity of a member: its name, its address, and one start of its process.

use std::net::SocketAddrV4;

use foca::Identity;
use serde::{Deserialize, Serialize};

/// A name of 1 to 100 bytes stands in datagrams as the first 32 bits of its BLAKE3 hash; a roster whose names
/// meet there is refused at the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NameKey(pub u32);

impl NameKey {
    /// The short form of a name.
    pub fn of(name: &str) -> NameKey {
        let hash = blake3::hash(name.as_bytes());
        let [a, b, c, d, ..] = *hash.as_bytes();
        NameKey(u32::from_le_bytes([a, b, c, d]))
    }
}

/// One start of a process, and how often it has rejoined under it after others had given it up.
///
/// Later starts are larger: Unix milliseconds of the start, or one more than the last start that the process's
/// folder tells of, whichever is later, so that a clock set back does not make a restart look older.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Start {
    /// Number of the start of the process.
    pub process: u64,
    /// How often it has rejoined under this start.
    pub comeback: u16,
}

/// One member as peers know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Short form of its name.
    pub name: NameKey,
    /// Where it receives datagrams and connections.
    pub address: SocketAddrV4,
    /// Which start of its process this is.
    pub start: Start,
}

impl Identity for Id {
    type Addr = NameKey;

    /// Given up by others though alive, as after a pause: it comes back under the same start of its process.
    fn renew(&self) -> Option<Id> {
        let comeback = self.start.comeback.checked_add(1)?;
        Some(Id {
            start: Start {
                comeback,
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
