//! The members that there should be.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use crate::member::NameKey;

/// Members that a roster may name.
const ROSTER_MOST: usize = 1000;

/// One line of the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    pub name: String,
    pub address: SocketAddrV4,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RosterError {
    #[error("'{0}' is not in the roster")]
    Missing(String),
    #[error("'{0}' stands in the roster twice")]
    Twice(String),
    #[error("the names '{0}' and '{1}' have the same short form; change one")]
    Alike(String, String),
    #[error("{0} members; 1 to {ROSTER_MOST} are expected")]
    Size(usize),
}

/// The members that there should be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster(pub(crate) BTreeMap<NameKey, Peer>);

impl Roster {
    /// # Errors
    /// Where names are missing, double, or meet in their short form.
    pub fn new(own: &str, peers: &[Peer]) -> Result<Roster, RosterError> {
        if peers.is_empty() || peers.len() > ROSTER_MOST {
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
