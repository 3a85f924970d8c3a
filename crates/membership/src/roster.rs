//! The roster: the configured members of the cluster.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use crate::member::NameKey;

/// Maximum number of members in a roster.
const MAX_ROSTER: usize = 1000;

/// One configured member of the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The member's name, 1 to 100 bytes.
    pub name: String,
    /// Address at which the member receives datagrams and connections.
    pub address: SocketAddrV4,
}

/// Why a roster is rejected. An operator has to correct it in the settings of all members.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RosterError {
    /// The name of this process is not in the roster.
    #[error("'{0}' is not in the roster")]
    OwnNameMissing(String),
    /// A name is in the roster more than once.
    #[error("'{0}' is in the roster more than once")]
    DuplicateName(String),
    /// Two names have the same short form ([`NameKey`]).
    #[error("the names '{0}' and '{1}' have the same 32-bit hash; rename one of the two members")]
    KeyCollision(String, String),
    /// The roster is empty or has more than 1000 members.
    #[error("a roster of {0} members; expected 1 to {MAX_ROSTER}")]
    Size(usize),
}

/// The configured members of the cluster, by the short form of their names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster(pub(crate) BTreeMap<NameKey, Peer>);

impl Roster {
    /// Checks the members that were configured for the process named `own`.
    ///
    /// # Errors
    /// Where the roster is empty or too large, `own` is missing, a name occurs more than once, or two names have the same
    /// short form.
    pub fn new(own: &str, peers: &[Peer]) -> Result<Roster, RosterError> {
        if peers.is_empty() || peers.len() > MAX_ROSTER {
            return Err(RosterError::Size(peers.len()));
        }
        let mut by_key: BTreeMap<NameKey, Peer> = BTreeMap::new();
        for peer in peers {
            match by_key.insert(NameKey::of(&peer.name), peer.clone()) {
                Some(other) if other.name == peer.name => {
                    return Err(RosterError::DuplicateName(other.name))
                }
                Some(other) => {
                    return Err(RosterError::KeyCollision(other.name, peer.name.clone()))
                }
                None => {}
            }
        }
        match by_key.contains_key(&NameKey::of(own)) {
            true => Ok(Roster(by_key)),
            false => Err(RosterError::OwnNameMissing(own.to_string())),
        }
    }
}
