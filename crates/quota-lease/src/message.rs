//! Encoding of the messages of leader election and quota leases: a kind byte, the request number, fixed fields and then a
//! list for some kinds. All integers are little-endian.

use bitternlatch_membership::{NameKey, MAX_PAYLOAD};

use crate::{Observation, PeerReport, RequestNumber, MAX_OBSERVATIONS, MAX_REPORTS};

/// Maximum length of an encoded message, bytes; it has to fit into the payload of a datagram.
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
    /// Requests a voter's promise for the time [`crate::VOTE_PROMISE`].
    VoteRequest {
        /// Identifies this vote request among those of the sender; the answer repeats the number.
        number: RequestNumber,
        /// Digest of the sender's configured roster.
        roster: u32,
    },
    /// The voter has promised its vote.
    VoteGranted {
        /// Number of the vote request that this message answers.
        number: RequestNumber,
    },
    /// The voter promises nothing: another process holds its promise, or it may not promise yet.
    VoteDenied {
        /// Number of the vote request that this message answers.
        number: RequestNumber,
        /// The process that holds the voter's promise, if there is one other than the candidate.
        leader: Option<NameKey>,
    },
    /// The candidate releases the promise that was granted for this request number or an earlier one.
    VoteReleased {
        /// Number of the vote request.
        number: RequestNumber,
    },
    /// Requests a lease from the leader, and reports the sender's observations of model servers.
    LeaseRequest {
        /// Identifies this lease request among those of the sender; the answer repeats the number.
        number: RequestNumber,
        /// Digest of the sender's configured roster.
        roster: u32,
        /// The sender's observations, at most [`MAX_OBSERVATIONS`].
        observations: Vec<Observation>,
    },
    /// Grants a lease, and reports the other members' observations of model servers.
    LeaseGranted {
        /// Number of the lease request that this message answers.
        number: RequestNumber,
        /// The leased fraction of each quota, in millionths.
        leased_ppm: u32,
        /// Number of members, without the receiver, that have reported to the leader, even without any observation.
        members: u16,
        /// Summaries of their observations, at most [`MAX_REPORTS`].
        reports: Vec<PeerReport>,
    },
    /// Answers a lease request where the sender of this message is not leader, or is leader but may not grant a lease yet.
    NotLeader {
        /// Number of the lease request that this message answers.
        number: RequestNumber,
        /// The leader, as far as the sender of this message knows.
        leader: Option<NameKey>,
    },
    /// The sender leaves the cluster and uses no lease any more.
    Leave,
}

/// The error for bytes that are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a message about leader election or quota leases")]
pub struct DecodeError;

/// Encodes an optional name, `None` as zero. A name that hashes to zero (one in 2^32) cannot be announced as leader.
fn encode_leader(leader: Option<NameKey>) -> [u8; 4] {
    leader.map_or(0, |name| name.0).to_le_bytes()
}

fn decode_leader(bytes: &[u8]) -> Result<Option<NameKey>, DecodeError> {
    let word = decode_u32(bytes)?;
    Ok((word != 0).then_some(NameKey(word)))
}

/// Decodes an integer; input of any length other than 4 bytes is an error.
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

    /// Encodes the message in at most [`MAX_MESSAGE`] bytes; lists that are too long are truncated.
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

    /// Decodes a message.
    ///
    /// # Errors
    /// Where the bytes are not a valid message of exactly their length.
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
