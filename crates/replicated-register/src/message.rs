//! Messages between replicas: a version byte, then the message by postcard.

use bitternlatch_membership::NameKey;
use serde::{Deserialize, Serialize};

use crate::recovery::{Completeness, Incarnation};
use crate::register::{Accepted, Acceptor, Ballot, RegisterKey, State, Version};
use crate::RegisterError;

/// Version of the messages; those of another version are dropped and counted.
pub const MESSAGE_VERSION: u8 = 1;
/// Rounds and counts from here on are invalid: no process gets there by counting.
const MAX_NUMBER: u64 = 1 << 62;

/// The memory that a response rests on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Provenance {
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Its changes that are durable.
    pub count: u64,
    /// Incarnations that it knows of the register's other replicas.
    pub incarnations: Vec<(NameKey, u64)>,
}

/// Why a replica rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RejectReason {
    /// It has promised this higher ballot.
    HigherBallot(Ballot),
    /// It does not count for the register yet.
    CatchingUp,
    /// A majority of the replicas has lost the register.
    Lost,
    /// It holds too many registers or bytes.
    Full,
    /// Its disk is full.
    DiskFull,
    /// Its disk fails.
    DiskFault,
}

impl RejectReason {
    /// Whether the same request will be rejected again soon.
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

/// Identifies one transfer of all that another replica holds, by the receiver's process and a number of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferSession {
    /// Start number of the receiver's process.
    pub start: u64,
    /// Number of the transfer at that process.
    pub number: u64,
}

/// A part of what a replica holds, in the order of keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateChunk {
    /// The transfer.
    pub session: TransferSession,
    /// The request: registers after this key.
    pub after: Option<RegisterKey>,
    /// The last key that was looked at; none at the end.
    pub up_to: Option<RegisterKey>,
    /// How much of what it once held the sender holds.
    pub completeness: Completeness,
    /// Members that the sender has not caught up with.
    pub missing: Vec<NameKey>,
    /// Incarnations that the sender knows.
    pub incarnations: Vec<(NameKey, Incarnation)>,
    /// Pairs of key and acceptor, by postcard.
    pub items: Vec<u8>,
    /// CRC-32 of the items.
    pub sum: u32,
}

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for what was accepted, without a promise.
    Read {
        /// The register.
        key: RegisterKey,
        /// Identifies the request.
        ballot: Ballot,
    },
    /// Asks for a promise to accept nothing below the ballot.
    Prepare {
        /// The register.
        key: RegisterKey,
        /// The ballot.
        ballot: Ballot,
    },
    /// Asks to accept a state.
    Accept {
        /// The register.
        key: RegisterKey,
        /// The ballot.
        ballot: Ballot,
        /// The state.
        state: State,
    },
    /// Answers [`Message::Read`] and [`Message::Prepare`].
    Promise {
        /// The register.
        key: RegisterKey,
        /// The request's ballot.
        ballot: Ballot,
        /// What the answer rests on.
        provenance: Provenance,
        /// What the replica has accepted last.
        accepted: Option<Accepted>,
    },
    /// Answers [`Message::Accept`].
    Accepted {
        /// The register.
        key: RegisterKey,
        /// The request's ballot.
        ballot: Ballot,
        /// What the answer rests on.
        provenance: Provenance,
    },
    /// Answers a request that the replica does not do.
    Rejected {
        /// The register.
        key: RegisterKey,
        /// The request's ballot.
        ballot: Ballot,
        /// Why not.
        reason: RejectReason,
    },
    /// All replicas hold this tombstone.
    Forget {
        /// The register.
        key: RegisterKey,
        /// The tombstone's version.
        version: Version,
    },
    /// Asks for the registers that both members hold.
    FetchState {
        /// The transfer.
        session: TransferSession,
        /// The sender's incarnation.
        incarnation: u64,
        /// Its changes that are durable.
        count: u64,
        /// Registers after this key.
        after: Option<RegisterKey>,
    },
    /// Answers [`Message::FetchState`].
    StateChunk(Box<StateChunk>),
    /// Reports the sender's memory, for others to remember.
    Heartbeat {
        /// Its incarnation.
        incarnation: u64,
        /// Its changes that are durable.
        count: u64,
    },
}

impl Message {
    /// As a frame carries it.
    pub fn encode(&self) -> Vec<u8> {
        // A message of plain data cannot fail to be encoded; an empty frame would be dropped by its receiver.
        postcard::to_extend(self, vec![MESSAGE_VERSION]).unwrap_or_default()
    }

    /// Decodes a frame.
    ///
    /// # Errors
    /// [`RegisterError::UnsupportedVersion`], or [`RegisterError::Malformed`] where it is no valid message.
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

    /// Whether numbers and values are within their bounds.
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
    let is_short = |body: &Vec<u8>| body.len() <= crate::MAX_VALUE_BYTES;
    state.version.count < MAX_NUMBER && state.body.as_ref().is_none_or(is_short)
}

fn is_valid_accepted(accepted: &Accepted) -> bool {
    is_valid_ballot(&accepted.ballot) && is_valid_state(&accepted.state)
}

impl StateChunk {
    /// The registers in it; none where the checksum is wrong.
    pub fn open(&self) -> Option<Vec<(RegisterKey, Acceptor)>> {
        if crc32fast::hash(&self.items) != self.sum {
            return None;
        }
        postcard::from_bytes(&self.items).ok()
    }
}

#[cfg(test)]
mod tests;
