//! What replicas say to each other: a version, then the message by postcard.

use bitternlatch_membership::NameKey;
use serde::{Deserialize, Serialize};

use crate::memory::{Kind, Life};
use crate::register::{Accepted, Ballot, Copy, RegisterKey, State, Version};
use crate::ReplicaError;

/// Of the messages; another one's are dropped and counted.
pub const WORDS: u8 = 1;
/// Rounds and counts beyond it are nonsense: nobody gets there by ones.
const NUMBER_MOST: u64 = 1 << 62;

/// Who says it: the life of its memory, and which lives of the key's other copies it knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stamp {
    pub life: u64,
    pub count: u64,
    pub lives: Vec<(NameKey, u64)>,
}

/// Why a copy does not do it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Why {
    Passed(Ballot),
    CatchingUp,
    Lost,
    Full,
    DiskFull,
    DiskFault,
}

/// One fetching of all that another copy holds, by the asker's start and a number of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    pub start: u64,
    pub number: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    pub session: Session,
    /// What was asked for: all after this key.
    pub after: Option<RegisterKey>,
    /// Looked through up to there; none at the end.
    pub upto: Option<RegisterKey>,
    pub kind: Kind,
    /// Whom the teller itself has not caught up with.
    pub miss: Vec<NameKey>,
    pub lives: Vec<(NameKey, Life)>,
    /// Pairs of key and copy, by postcard.
    pub items: Vec<u8>,
    /// CRC-32 over the items.
    pub sum: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Said {
    /// Tell what you took; promise nothing.
    Look {
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
    /// Answers `Look` and `Prepare`.
    Promised {
        key: RegisterKey,
        ballot: Ballot,
        stamp: Stamp,
        accepted: Option<Accepted>,
    },
    Took {
        key: RegisterKey,
        ballot: Ballot,
        stamp: Stamp,
    },
    Refused {
        key: RegisterKey,
        ballot: Ballot,
        why: Why,
    },
    /// All copies hold this gap.
    Gone {
        key: RegisterKey,
        version: Version,
    },
    /// Tell what you hold of registers of which I hold copies.
    CatchUp {
        session: Session,
        life: u64,
        count: u64,
        after: Option<RegisterKey>,
    },
    Chunk(Box<Chunk>),
    /// How far my memory goes, for others to remember.
    Beat {
        life: u64,
        count: u64,
    },
}

impl Said {
    pub fn write(&self) -> Vec<u8> {
        // A message of plain data cannot fail to be written; an empty frame would be dropped by whoever reads it.
        postcard::to_extend(self, vec![WORDS]).unwrap_or_default()
    }

    /// # Errors
    /// Where it is of another version, or none of these.
    pub fn read(bytes: &[u8]) -> Result<Said, ReplicaError> {
        match bytes.split_first() {
            Some((&WORDS, rest)) => {
                let said: Said =
                    postcard::from_bytes(rest).map_err(|_| ReplicaError::Unreadable)?;
                said.sound().then_some(said).ok_or(ReplicaError::Unreadable)
            }
            Some((&version, _)) => Err(ReplicaError::OtherVersion(version)),
            None => Err(ReplicaError::Unreadable),
        }
    }

    fn sound(&self) -> bool {
        let ballot = |b: &Ballot| b.round < NUMBER_MOST;
        let state = |s: &State| {
            s.version.count < NUMBER_MOST
                && s.body.as_ref().is_none_or(|b| b.len() <= crate::VALUE_MOST)
        };
        match self {
            Said::Look { ballot: b, .. }
            | Said::Prepare { ballot: b, .. }
            | Said::Took { ballot: b, .. } => ballot(b),
            Said::Accept {
                ballot: b,
                state: s,
                ..
            } => ballot(b) && state(s),
            Said::Promised {
                ballot: b,
                accepted,
                ..
            } => {
                ballot(b)
                    && accepted
                        .as_ref()
                        .is_none_or(|a| ballot(&a.ballot) && state(&a.state))
            }
            Said::Refused {
                ballot: b,
                why: Why::Passed(p),
                ..
            } => ballot(b) && ballot(p),
            Said::Refused { ballot: b, .. } => ballot(b),
            Said::Gone { .. } | Said::CatchUp { .. } | Said::Chunk(_) | Said::Beat { .. } => true,
        }
    }
}

impl Chunk {
    /// What it holds, if that arrived whole.
    pub fn open(&self) -> Option<Vec<(RegisterKey, Copy)>> {
        if crc32fast::hash(&self.items) != self.sum {
            return None;
        }
        postcard::from_bytes(&self.items).ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn ballots() -> impl Strategy<Value = Ballot> {
        (0..1u64 << 62, any::<u32>(), any::<u64>()).prop_map(|(round, by, start)| Ballot {
            round,
            by: NameKey(by),
            start,
        })
    }

    fn states() -> impl Strategy<Value = State> {
        let version = (any::<u64>(), 0..1u64 << 62, any::<u32>(), any::<u64>());
        let body = proptest::option::of(proptest::collection::vec(any::<u8>(), 0..300));
        (version, body).prop_map(|((epoch, count, writer, start), body)| {
            let version = Version {
                epoch,
                count,
                writer: NameKey(writer),
                start,
            };
            State {
                version,
                before: (count % 2 == 0).then_some(version),
                body,
            }
        })
    }

    fn said() -> impl Strategy<Value = Said> {
        let key = any::<[u8; 16]>().prop_map(RegisterKey);
        (0..8, key, ballots(), states(), any::<u64>()).prop_map(|(kind, key, ballot, state, n)| {
            let stamp = Stamp {
                life: n,
                count: n / 2,
                lives: vec![(ballot.by, n)],
            };
            let session = Session {
                start: n,
                number: n / 3,
            };
            match kind {
                0 => Said::Look { key, ballot },
                1 => Said::Accept { key, ballot, state },
                2 => Said::Promised {
                    key,
                    ballot,
                    stamp,
                    accepted: Some(Accepted {
                        ballot,
                        state,
                        own: true,
                    }),
                },
                3 => Said::Took { key, ballot, stamp },
                4 => Said::Refused {
                    key,
                    ballot,
                    why: Why::Passed(ballot),
                },
                5 => Said::CatchUp {
                    session,
                    life: n,
                    count: n,
                    after: Some(key),
                },
                6 => Said::Gone {
                    key,
                    version: state.version,
                },
                _ => Said::Chunk(Box::new(Chunk {
                    session,
                    after: None,
                    upto: Some(key),
                    kind: Kind::Lost,
                    miss: vec![ballot.by],
                    lives: vec![(
                        ballot.by,
                        Life {
                            life: n,
                            count: n,
                            lost: true,
                        },
                    )],
                    items: vec![1, 2, 3],
                    sum: 0,
                })),
            }
        })
    }

    proptest! {
        #[test]
        fn what_is_written_is_read_and_no_bytes_do_harm(said in said(), cut in 0usize..400, flip in any::<u8>()) {
            let bytes = said.write();
            prop_assert_eq!(Said::read(&bytes), Ok(said));
            let mut broken = bytes.clone();
            let at = cut % bytes.len();
            broken[at] ^= flip | 1;
            if at == 0 {
                prop_assert_eq!(Said::read(&broken), Err(ReplicaError::OtherVersion(broken[0])));
            } else if let Ok(Said::Chunk(chunk)) = Said::read(&broken) {
                prop_assert!(chunk.open().is_none());
            }
            let _ = Said::read(&bytes[..at]);
        }
    }
}
