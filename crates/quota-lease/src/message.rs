//! Messages of leader election and quota leases: a kind, then fixed fields, then a list where there is one; little-endian.

use bitternlatch_membership::{NameKey, MAX_PAYLOAD};

use crate::{Observation, PeerReport, RequestNumber, MAX_OBSERVATIONS, MAX_REPORTS};

/// Longest encoded message, bytes: the capacity of a datagram's payload.
pub const MAX_MESSAGE: usize = MAX_PAYLOAD;

const VOTE_REQUEST: u8 = 0;
const VOTE_GRANTED: u8 = 1;
const VOTE_DENIED: u8 = 2;
const VOTE_RELEASED: u8 = 3;
const LEASE_REQUEST: u8 = 4;
const LEASE_GRANTED: u8 = 5;
const NOT_LEADER: u8 = 6;
const LEAVE: u8 = 7;

/// One message between two members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks a voter for its promise, for [`crate::LEASE`] from now on.
    VoteRequest {
        /// Number of the request.
        number: RequestNumber,
        /// Digest of the roster that the sender was given.
        roster: u32,
    },
    /// The voter has promised its vote.
    VoteGranted {
        /// Number of the request.
        number: RequestNumber,
    },
    /// Another process has the promise, or the voter must not promise yet (`None`).
    VoteDenied {
        /// Number of the request.
        number: RequestNumber,
        /// The process that has the promise.
        leader: Option<NameKey>,
    },
    /// The candidate gives back what was granted for this number or an earlier one.
    VoteReleased {
        /// Number of the vote request.
        number: RequestNumber,
    },
    /// Asks the leader for a lease, with all that the sender observes of servers.
    LeaseRequest {
        /// Number of the request.
        number: RequestNumber,
        /// Digest of the roster that the sender was given.
        roster: u32,
        /// The sender's observations, at most [`MAX_OBSERVATIONS`].
        observations: Vec<Observation>,
    },
    /// A lease, with what others observe of servers.
    LeaseGranted {
        /// Number of the request.
        number: RequestNumber,
        /// Millionths of the quota.
        leased_ppm: u32,
        /// Members other than the receiver of which the leader has observations, or an empty list of them.
        members: u16,
        /// Their observations, at most [`MAX_REPORTS`].
        reports: Vec<PeerReport>,
    },
    /// The receiver of a lease request is not the leader, or grants nothing yet; it may know who is leader.
    NotLeader {
        /// Number of the request.
        number: RequestNumber,
        /// The leader that it knows of.
        leader: Option<NameKey>,
    },
    /// The sender uses no lease any more.
    Leave,
}

/// Bytes that are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a message about leader election or quota leases")]
pub struct DecodeError;

/// Zero stands for no name. One name in four thousand million hashes to zero; it would only not be found as leader.
fn encode_leader(leader: Option<NameKey>) -> [u8; 4] {
    leader.map_or(0, |name| name.0).to_le_bytes()
}

fn decode_leader(bytes: &[u8]) -> Result<Option<NameKey>, DecodeError> {
    let word = decode_u32(bytes)?;
    Ok((word != 0).then_some(NameKey(word)))
}

/// Every length but the exact one is refused.
fn decode_u32(bytes: &[u8]) -> Result<u32, DecodeError> {
    let bytes = bytes.try_into().map_err(|_| DecodeError)?;
    Ok(u32::from_le_bytes(bytes))
}

fn decode_list<const BYTES: usize, T>(
    bytes: &[u8],
    decode: impl Fn(&[u8; BYTES]) -> Option<T>,
) -> Result<Vec<T>, DecodeError> {
    let (items, rest) = bytes.as_chunks::<BYTES>();
    if !rest.is_empty() {
        return Err(DecodeError);
    }
    let items: Option<Vec<T>> = items.iter().map(decode).collect();
    items.ok_or(DecodeError)
}

fn decode_lease_request(number: RequestNumber, bytes: &[u8]) -> Result<Message, DecodeError> {
    let (roster, observations) = bytes.split_first_chunk::<4>().ok_or(DecodeError)?;
    Ok(Message::LeaseRequest {
        number,
        roster: u32::from_le_bytes(*roster),
        observations: decode_list(observations, Observation::decode)?,
    })
}

fn decode_lease_granted(number: RequestNumber, bytes: &[u8]) -> Result<Message, DecodeError> {
    let (leased_ppm, rest) = bytes.split_first_chunk::<4>().ok_or(DecodeError)?;
    let (members, reports) = rest.split_first_chunk::<2>().ok_or(DecodeError)?;
    Ok(Message::LeaseGranted {
        number,
        leased_ppm: u32::from_le_bytes(*leased_ppm),
        members: u16::from_le_bytes(*members),
        reports: decode_list(reports, PeerReport::decode)?,
    })
}

impl Message {
    fn kind(&self) -> u8 {
        match self {
            Message::VoteRequest { .. } => VOTE_REQUEST,
            Message::VoteGranted { .. } => VOTE_GRANTED,
            Message::VoteDenied { .. } => VOTE_DENIED,
            Message::VoteReleased { .. } => VOTE_RELEASED,
            Message::LeaseRequest { .. } => LEASE_REQUEST,
            Message::LeaseGranted { .. } => LEASE_GRANTED,
            Message::NotLeader { .. } => NOT_LEADER,
            Message::Leave => LEAVE,
        }
    }

    fn number(&self) -> RequestNumber {
        match self {
            Message::VoteRequest { number, .. }
            | Message::VoteGranted { number }
            | Message::VoteDenied { number, .. }
            | Message::VoteReleased { number }
            | Message::LeaseRequest { number, .. }
            | Message::LeaseGranted { number, .. }
            | Message::NotLeader { number, .. } => *number,
            Message::Leave => RequestNumber(0),
        }
    }

    /// The message as bytes, at most [`MAX_MESSAGE`]; longer lists are cut.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(MAX_MESSAGE);
        out.push(self.kind());
        out.extend(self.number().0.to_le_bytes());
        match self {
            Message::VoteRequest { roster, .. } => out.extend(roster.to_le_bytes()),
            Message::VoteDenied { leader, .. } | Message::NotLeader { leader, .. } => {
                out.extend(encode_leader(*leader));
            }
            Message::LeaseRequest {
                roster,
                observations,
                ..
            } => {
                out.extend(roster.to_le_bytes());
                let sent = observations.iter().take(MAX_OBSERVATIONS);
                sent.for_each(|observation| observation.encode(&mut out));
            }
            Message::LeaseGranted {
                leased_ppm,
                members,
                reports,
                ..
            } => {
                out.extend(leased_ppm.to_le_bytes());
                out.extend(members.to_le_bytes());
                let sent = reports.iter().take(MAX_REPORTS);
                sent.for_each(|report| report.encode(&mut out));
            }
            Message::VoteGranted { .. } | Message::VoteReleased { .. } | Message::Leave => {}
        }
        out
    }

    /// Reads a message.
    ///
    /// # Errors
    /// Where the bytes are no message; every length but the exact one is refused.
    pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
        let (kind, rest) = bytes.split_first().ok_or(DecodeError)?;
        let (number, rest) = rest.split_first_chunk::<8>().ok_or(DecodeError)?;
        let number = RequestNumber(u64::from_le_bytes(*number));
        match (*kind, rest) {
            (VOTE_REQUEST, rest) => Ok(Message::VoteRequest {
                number,
                roster: decode_u32(rest)?,
            }),
            (VOTE_GRANTED, []) => Ok(Message::VoteGranted { number }),
            (VOTE_DENIED, rest) => Ok(Message::VoteDenied {
                number,
                leader: decode_leader(rest)?,
            }),
            (VOTE_RELEASED, []) => Ok(Message::VoteReleased { number }),
            (LEASE_REQUEST, rest) => decode_lease_request(number, rest),
            (LEASE_GRANTED, rest) => decode_lease_granted(number, rest),
            (NOT_LEADER, rest) => Ok(Message::NotLeader {
                number,
                leader: decode_leader(rest)?,
            }),
            (LEAVE, []) => Ok(Message::Leave),
            _ => Err(DecodeError),
        }
    }
}

#[cfg(test)]
mod tests;
