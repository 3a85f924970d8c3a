//! The members that there should be.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use crate::member::NameKey;

/// Members that a roster may name.
const MAX_ROSTER: usize = 1000;

/// One line of the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name, 1 to 100 bytes.
    pub name: String,
    /// Where it receives datagrams and connections.
    pub address: SocketAddrV4,
}

/// Why a roster cannot be used; an operator mends the settings of all members alike.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RosterError {
    /// This process is not in the roster.
    #[error("'{0}' is not in the roster")]
    Missing(String),
    /// A name is in the roster more than once.
    #[error("'{0}' stands in the roster twice")]
    Twice(String),
    /// Two names have the same short form.
    #[error("the names '{0}' and '{1}' have the same short form; change one")]
    Alike(String, String),
    /// The roster is empty or too large.
    #[error("{0} members; 1 to {MAX_ROSTER} are expected")]
    Size(usize),
}

/// The members that there should be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster(pub(crate) BTreeMap<NameKey, Peer>);

impl Roster {
    /// # Errors
    /// Where names are missing, double, or meet in their short form.
    pub fn new(own: &str, peers: &[Peer]) -> Result<Roster, RosterError> {
        if peers.is_empty() || peers.len() > MAX_ROSTER {
            return Err(RosterError::Size(peers.len()));
        }
        let mut by_key: BTreeMap<NameKey, Peer> = BTreeMap::new();
        for peer in peers {
            match by_key.insert(NameKey::of(&peer.name), peer.clone()) {
                Some(other) if other.name == peer.name => {
                    return Err(RosterError::Twice(other.name))
                }
                Some(other) => return Err(RosterError::Alike(other.name, peer.name.clone())),
                None => {}
            }
        }
        match by_key.contains_key(&NameKey::of(own)) {
            true => Ok(Roster(by_key)),
            false => Err(RosterError::Missing(own.to_string())),
        }
    }
}
