//! What replicas say to each other: a version, then the message by postcard.

use bitternlatch_membership::NameKey;
use serde::{Deserialize, Serialize};

use crate::recovery::{Completeness, Incarnation};
use crate::register::{Accepted, Acceptor, Ballot, RegisterKey, State, Version};
use crate::RegisterError;

/// Of the messages; another one's are dropped and counted.
pub const MESSAGE_VERSION: u8 = 1;
/// Rounds and counts beyond it are nonsense: nobody gets there by ones.
const MAX_NUMBER: u64 = 1 << 62;

/// Who says it: the life of its memory, and which lives of the key's other copies it knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Provenance {
    pub incarnation: u64,
    pub count: u64,
    pub incarnations: Vec<(NameKey, u64)>,
}

/// Why a copy does not do it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RejectReason {
    HigherBallot(Ballot),
    CatchingUp,
    Lost,
    Full,
    DiskFull,
    DiskFault,
}

/// One fetching of all that another copy holds, by the asker's start and a number of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferSession {
    pub start: u64,
    pub number: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateChunk {
    pub session: TransferSession,
    /// What was asked for: all after this key.
    pub after: Option<RegisterKey>,
    /// Looked through up to there; none at the end.
    pub up_to: Option<RegisterKey>,
    pub completeness: Completeness,
    /// Whom the teller itself has not caught up with.
    pub missing: Vec<NameKey>,
    pub incarnations: Vec<(NameKey, Incarnation)>,
    /// Pairs of key and copy, by postcard.
    pub items: Vec<u8>,
    /// CRC-32 over the items.
    pub sum: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Tell what you took; promise nothing.
    Read {
        key: RegisterKey,
        ballot: Ballot,
    },
    Prepare {
        key: RegisterKey,
        ballot: Ballot,
    },
    Accept {
        key: RegisterKey,
        ballot: Ballot,
        state: State,
    },
    /// Answers `Read` and `Prepare`.
    Promise {
        key: RegisterKey,
        ballot: Ballot,
        provenance: Provenance,
        accepted: Option<Accepted>,
    },
    Accepted {
        key: RegisterKey,
        ballot: Ballot,
        provenance: Provenance,
    },
    Rejected {
        key: RegisterKey,
        ballot: Ballot,
        reason: RejectReason,
    },
    /// All copies hold this gap.
    Forget {
        key: RegisterKey,
        version: Version,
    },
    /// Tell what you hold of registers of which I hold copies.
    FetchState {
        session: TransferSession,
        incarnation: u64,
        count: u64,
        after: Option<RegisterKey>,
    },
    StateChunk(Box<StateChunk>),
    /// How far my memory goes, for others to remember.
    Heartbeat {
        incarnation: u64,
        count: u64,
    },
}

impl Message {
    pub fn write(&self) -> Vec<u8> {
        // A message of plain data cannot fail to be written; an empty frame would be dropped by whoever reads it.
        postcard::to_extend(self, vec![MESSAGE_VERSION]).unwrap_or_default()
    }

    /// # Errors
    /// Where it is of another version, or none of these.
    pub fn read(bytes: &[u8]) -> Result<Message, RegisterError> {
        match bytes.split_first() {
            Some((&MESSAGE_VERSION, rest)) => {
                let message: Message =
                    postcard::from_bytes(rest).map_err(|_| RegisterError::Malformed)?;
                message
                    .sound()
                    .then_some(message)
                    .ok_or(RegisterError::Malformed)
            }
            Some((&version, _)) => Err(RegisterError::UnsupportedVersion(version)),
            None => Err(RegisterError::Malformed),
        }
    }

    fn sound(&self) -> bool {
        let ballot = |b: &Ballot| b.round < MAX_NUMBER;
        let state = |s: &State| {
            s.version.count < MAX_NUMBER
                && s.body
                    .as_ref()
                    .is_none_or(|b| b.len() <= crate::MAX_VALUE_BYTES)
        };
        match self {
            Message::Read { ballot: b, .. }
            | Message::Prepare { ballot: b, .. }
            | Message::Accepted { ballot: b, .. } => ballot(b),
            Message::Accept {
                ballot: b,
                state: s,
                ..
            } => ballot(b) && state(s),
            Message::Promise {
                ballot: b,
                accepted,
                ..
            } => {
                ballot(b)
                    && accepted
                        .as_ref()
                        .is_none_or(|a| ballot(&a.ballot) && state(&a.state))
            }
            Message::Rejected {
                ballot: b,
                reason: RejectReason::HigherBallot(p),
                ..
            } => ballot(b) && ballot(p),
            Message::Rejected { ballot: b, .. } => ballot(b),
            Message::Forget { .. }
            | Message::FetchState { .. }
            | Message::StateChunk(_)
            | Message::Heartbeat { .. } => true,
        }
    }
}

impl StateChunk {
    /// What it holds, if that arrived whole.
    pub fn open(&self) -> Option<Vec<(RegisterKey, Acceptor)>> {
        if crc32fast::hash(&self.items) != self.sum {
            return None;
        }
        postcard::from_bytes(&self.items).ok()
    }
}

#[cfg(test)]
mod tests;
