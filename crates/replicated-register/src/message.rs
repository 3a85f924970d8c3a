//! Messages between replicas. A frame consists of a version byte and the message in the postcard encoding.

use bitternlatch_membership::NameKey;
use serde::{Deserialize, Serialize};

use crate::recovery::{Completeness, Incarnation};
use crate::register::{Accepted, Acceptor, Ballot, RegisterKey, State, Version};
use crate::RegisterError;

/// Version of the message encoding. Messages of another version are dropped and counted.
pub const MESSAGE_VERSION: u8 = 1;
/// Exclusive upper bound of valid ballot rounds and version counts. They rise by one at a time, so no correct process reaches it;
/// the bound keeps a malformed message from raising them to the point of overflow.
const MAX_NUMBER: u64 = 1 << 62;

/// The replica state on which a response is based.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Provenance {
    /// Number of the sender's incarnation.
    pub incarnation: u64,
    /// Number of durable changes that the sender made in its incarnation.
    pub count: u64,
    /// The latest incarnation of each other replica of the register, as far as the sender knows; 0 if it knows none.
    pub incarnations: Vec<(NameKey, u64)>,
}

/// Why a replica rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RejectReason {
    /// The replica has promised this higher ballot.
    HigherBallot(Ballot),
    /// The replica has restarted and does not count toward a majority of the register yet.
    CatchingUp,
    /// A majority of the replicas has lost the register.
    Lost,
    /// The replica has reached its limit of registers or bytes.
    Full,
    /// The disk of the replica is full.
    DiskFull,
    /// The disk of the replica cannot be read or written.
    DiskFault,
}

impl RejectReason {
    /// Whether the replica would reject the same request again if it were retried soon.
    pub fn is_permanent(&self) -> bool {
        match self {
            RejectReason::Lost
            | RejectReason::Full
            | RejectReason::DiskFull
            | RejectReason::DiskFault => true,
            RejectReason::HigherBallot(_) | RejectReason::CatchingUp => false,
        }
    }
}

/// Identifies one state transfer, by the process that receives the state and a number that this process allocated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferSession {
    /// Start number of the process that receives the state.
    pub start: u64,
    /// Number of the transfer, unique within the receiving process.
    pub number: u64,
}

/// A chunk of a state transfer: some of the registers that a replica holds, in the order of keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateChunk {
    /// The transfer that the chunk belongs to.
    pub session: TransferSession,
    /// Key after which the chunk starts, as requested; `None` for the first chunk.
    pub after: Option<RegisterKey>,
    /// Last key that the sender scanned for the chunk; `None` if the chunk is the last one.
    pub up_to: Option<RegisterKey>,
    /// Whether the sender still holds all registers that it once held.
    pub completeness: Completeness,
    /// Members that the sender has not caught up with.
    pub missing: Vec<NameKey>,
    /// The latest incarnation of each member that the sender knows.
    pub incarnations: Vec<(NameKey, Incarnation)>,
    /// Pairs of register key and acceptor in the postcard encoding.
    pub items: Vec<u8>,
    /// CRC-32 checksum of `items`.
    pub sum: u32,
}

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks a replica for the state that it has accepted, without a promise.
    Read {
        /// Key of the register.
        key: RegisterKey,
        /// Ballot that identifies the request and is not promised.
        ballot: Ballot,
    },
    /// Asks a replica to promise that it accepts nothing below the ballot.
    Prepare {
        /// Key of the register.
        key: RegisterKey,
        /// The ballot to promise.
        ballot: Ballot,
    },
    /// Asks a replica to accept a state.
    Accept {
        /// Key of the register.
        key: RegisterKey,
        /// The ballot under which the state is proposed.
        ballot: Ballot,
        /// The proposed state.
        state: State,
    },
    /// Answers [`Message::Read`] and [`Message::Prepare`].
    Promise {
        /// Key of the register.
        key: RegisterKey,
        /// Ballot of the request that is answered.
        ballot: Ballot,
        /// The replica state on which the answer is based.
        provenance: Provenance,
        /// The state that the replica accepted last, if any.
        accepted: Option<Accepted>,
    },
    /// Answers [`Message::Accept`].
    Accepted {
        /// Key of the register.
        key: RegisterKey,
        /// Ballot of the request that is answered.
        ballot: Ballot,
        /// The replica state on which the answer is based.
        provenance: Provenance,
    },
    /// Answers a request that the replica rejects.
    Rejected {
        /// Key of the register.
        key: RegisterKey,
        /// Ballot of the request that is answered.
        ballot: Ballot,
        /// Why the request is rejected.
        reason: RejectReason,
    },
    /// Reports that all replicas hold this tombstone, so that the receiver may forget it soon.
    Forget {
        /// Key of the register.
        key: RegisterKey,
        /// Version of the tombstone.
        version: Version,
    },
    /// Asks for a chunk of the registers that both the sender and the receiver of this message hold.
    FetchState {
        /// The transfer that the request belongs to.
        session: TransferSession,
        /// Number of the sender's incarnation.
        incarnation: u64,
        /// Number of durable changes that the sender made in its incarnation.
        count: u64,
        /// Key after which the requested chunk starts; `None` for the first chunk.
        after: Option<RegisterKey>,
    },
    /// Answers [`Message::FetchState`].
    StateChunk(Box<StateChunk>),
    /// Reports the sender's incarnation and number of changes. The receiver remembers them, so that it can notify a sender that
    /// later restarts with less.
    Heartbeat {
        /// Number of the sender's incarnation.
        incarnation: u64,
        /// Number of durable changes that the sender made in its incarnation.
        count: u64,
    },
}

impl Message {
    /// Encodes the message as the payload of a frame.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding plain data into a vector cannot fail. An empty frame would be dropped by its receiver.
        postcard::to_extend(self, vec![MESSAGE_VERSION]).unwrap_or_default()
    }

    /// Decodes the payload of a frame.
    ///
    /// # Errors
    /// [`RegisterError::UnsupportedVersion`] if the version byte differs, [`RegisterError::Malformed`] if the payload is not a valid
    /// message.
    pub fn decode(bytes: &[u8]) -> Result<Message, RegisterError> {
        match bytes.split_first() {
            Some((&MESSAGE_VERSION, rest)) => {
                let message: Message =
                    postcard::from_bytes(rest).map_err(|_| RegisterError::Malformed)?;
                match message.is_valid() {
                    true => Ok(message),
                    false => Err(RegisterError::Malformed),
                }
            }
            Some((&version, _)) => Err(RegisterError::UnsupportedVersion(version)),
            None => Err(RegisterError::Malformed),
        }
    }

    /// Whether ballot rounds, version counts and value lengths are within their bounds.
    fn is_valid(&self) -> bool {
        match self {
            Message::Read { ballot, .. }
            | Message::Prepare { ballot, .. }
            | Message::Accepted { ballot, .. } => is_valid_ballot(ballot),
            Message::Accept { ballot, state, .. } => {
                is_valid_ballot(ballot) && is_valid_state(state)
            }
            Message::Promise {
                ballot, accepted, ..
            } => is_valid_ballot(ballot) && accepted.as_ref().is_none_or(is_valid_accepted),
            Message::Rejected {
                ballot,
                reason: RejectReason::HigherBallot(promised),
                ..
            } => is_valid_ballot(ballot) && is_valid_ballot(promised),
            Message::Rejected { ballot, .. } => is_valid_ballot(ballot),
            Message::Forget { .. }
            | Message::FetchState { .. }
            | Message::StateChunk(_)
            | Message::Heartbeat { .. } => true,
        }
    }
}

fn is_valid_ballot(ballot: &Ballot) -> bool {
    ballot.round < MAX_NUMBER
}

fn is_valid_state(state: &State) -> bool {
    let is_within_limit = |body: &Vec<u8>| body.len() <= crate::MAX_VALUE_BYTES;
    state.version.count < MAX_NUMBER && state.body.as_ref().is_none_or(is_within_limit)
}

fn is_valid_accepted(accepted: &Accepted) -> bool {
    is_valid_ballot(&accepted.ballot) && is_valid_state(&accepted.state)
}

impl StateChunk {
    /// Decodes the registers of the chunk. Returns `None` if the checksum does not match or the items cannot be decoded.
    pub fn decode_items(&self) -> Option<Vec<(RegisterKey, Acceptor)>> {
        if crc32fast::hash(&self.items) != self.sum {
            return None;
        }
        postcard::from_bytes(&self.items).ok()
    }
}

#[cfg(test)]
mod tests;
