//! What members say about leaders and parts: a kind, then fixed fields, then a list where there is one; little-endian.

use bitternlatch_membership::{NameKey, MAX_PAYLOAD};

use crate::{Number, Observation, PeerReport, MAX_OBSERVATIONS, MAX_REPORTS};

/// Longest of all, bytes: what the membership's envelope has room for.
pub const MAX_MESSAGE: usize = MAX_PAYLOAD;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Let me be leader, for [`crate::LEASE`] from now on. With a short form of the roster that the sender was given.
    VoteRequest {
        number: Number,
        roster: u32,
    },
    VoteGranted {
        number: Number,
    },
    /// Another one has been promised it, or the voter must not promise yet (`None`).
    VoteDenied {
        number: Number,
        holder: Option<NameKey>,
    },
    /// What was granted for this number, or an earlier one, is not wanted.
    VoteReleased {
        number: Number,
    },
    /// Lend me a part. With what the sender sees of servers, all of it.
    LeaseRequest {
        number: Number,
        roster: u32,
        seen: Vec<Observation>,
    },
    /// Millionths of the whole. With what others see of servers, and how many of them tell anything.
    LeaseGranted {
        number: Number,
        millionths: u32,
        of: u16,
        heard: Vec<PeerReport>,
    },
    /// The one asked is not the leader; it may know who is.
    NotLeader {
        number: Number,
        holder: Option<NameKey>,
    },
    /// Nothing that was lent to the sender is used any more.
    Leave,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a message about leader election or quota leases")]
pub struct Unreadable;

/// No name has it but by a chance of one in four milliards; that one would be looked for in vain, no more.
fn named(holder: Option<NameKey>) -> u32 {
    holder.map_or(0, |name| name.0)
}

fn name(word: u32) -> Option<NameKey> {
    (word != 0).then_some(NameKey(word))
}

impl Message {
    pub fn write(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(MAX_MESSAGE);
        let mut put = |kind: u8, number: Number, rest: &[u8]| {
            out.push(kind);
            out.extend(number.0.to_le_bytes());
            out.extend(rest);
        };
        match self {
            Message::VoteRequest { number, roster } => put(0, *number, &roster.to_le_bytes()),
            Message::VoteGranted { number } => put(1, *number, &[]),
            Message::VoteDenied { number, holder } => {
                put(2, *number, &named(*holder).to_le_bytes())
            }
            Message::VoteReleased { number } => put(3, *number, &[]),
            Message::LeaseRequest {
                number,
                roster,
                seen,
            } => {
                let mut rest = roster.to_le_bytes().to_vec();
                seen.iter()
                    .take(MAX_OBSERVATIONS)
                    .for_each(|s| s.write(&mut rest));
                put(4, *number, &rest);
            }
            Message::LeaseGranted {
                number,
                millionths,
                of,
                heard,
            } => {
                let mut rest = [&millionths.to_le_bytes()[..], &of.to_le_bytes()].concat();
                heard
                    .iter()
                    .take(MAX_REPORTS)
                    .for_each(|h| h.write(&mut rest));
                put(5, *number, &rest);
            }
            Message::NotLeader { number, holder } => put(6, *number, &named(*holder).to_le_bytes()),
            Message::Leave => put(7, Number(0), &[]),
        }
        out
    }

    /// # Errors
    /// Where the bytes are none of these; every length but the exact one is refused.
    pub fn read(bytes: &[u8]) -> Result<Message, Unreadable> {
        let (kind, rest) = bytes.split_first().ok_or(Unreadable)?;
        let (number, rest) = rest.split_first_chunk::<8>().ok_or(Unreadable)?;
        let number = Number(u64::from_le_bytes(*number));
        match (kind, rest) {
            (0, rest) => Ok(Message::VoteRequest {
                number,
                roster: exactly(rest)?,
            }),
            (1, []) => Ok(Message::VoteGranted { number }),
            (2, rest) => Ok(Message::VoteDenied {
                number,
                holder: name(exactly(rest)?),
            }),
            (3, []) => Ok(Message::VoteReleased { number }),
            (4, rest) => {
                let (roster, seen) = rest.split_first_chunk::<4>().ok_or(Unreadable)?;
                let (seen, over) = seen.as_chunks::<6>();
                let seen: Option<Vec<Observation>> = seen.iter().map(Observation::read).collect();
                let seen = seen.filter(|_| over.is_empty()).ok_or(Unreadable)?;
                Ok(Message::LeaseRequest {
                    number,
                    roster: u32::from_le_bytes(*roster),
                    seen,
                })
            }
            (5, rest) => {
                let (millionths, rest) = rest.split_first_chunk::<4>().ok_or(Unreadable)?;
                let (of, heard) = rest.split_first_chunk::<2>().ok_or(Unreadable)?;
                let (heard, over) = heard.as_chunks::<7>();
                let heard: Option<Vec<PeerReport>> = heard.iter().map(PeerReport::read).collect();
                let heard = heard.filter(|_| over.is_empty()).ok_or(Unreadable)?;
                let (millionths, of) = (u32::from_le_bytes(*millionths), u16::from_le_bytes(*of));
                Ok(Message::LeaseGranted {
                    number,
                    millionths,
                    of,
                    heard,
                })
            }
            (6, rest) => Ok(Message::NotLeader {
                number,
                holder: name(exactly(rest)?),
            }),
            (7, []) => Ok(Message::Leave),
            _ => Err(Unreadable),
        }
    }
}

fn exactly(bytes: &[u8]) -> Result<u32, Unreadable> {
    Ok(u32::from_le_bytes(
        bytes.try_into().map_err(|_| Unreadable)?,
    ))
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;
    use crate::{ServerCondition, ServerNumber};

    #[test]
    fn every_message_is_read_as_it_was_written_and_no_other_length_is() {
        let (number, holder) = (Number(1 << 40), Some(NameKey(7)));
        let (server, age) = (ServerNumber(1 << 31), Duration::from_millis(25_500));
        let observation = Observation {
            server,
            condition: ServerCondition::Draining,
            age,
        };
        let heard = PeerReport {
            server,
            condition: ServerCondition::WarmingUp,
            reporters: 255,
            age,
        };
        let all = [
            Message::VoteRequest { number, roster: 9 },
            Message::VoteGranted { number },
            Message::VoteDenied { number, holder },
            Message::VoteDenied {
                number,
                holder: None,
            },
            Message::VoteReleased { number },
            Message::LeaseRequest {
                number,
                roster: 9,
                seen: vec![],
            },
            Message::LeaseRequest {
                number,
                roster: 9,
                seen: vec![observation; MAX_OBSERVATIONS],
            },
            Message::LeaseGranted {
                number,
                millionths: 166_666,
                of: 299,
                heard: vec![heard; MAX_REPORTS],
            },
            Message::NotLeader { number, holder },
            Message::Leave,
        ];
        for message in all {
            let bytes = message.write();
            assert!(bytes.len() <= MAX_MESSAGE);
            assert_eq!(Message::read(&bytes), Ok(message.clone()));
            for n in 0..bytes.len() {
                assert_ne!(Message::read(&bytes[..n]), Ok(message.clone()));
            }
            assert_eq!(Message::read(&[&bytes[..], &[0]].concat()), Err(Unreadable));
        }
        assert_eq!(Message::read(&[8; 9]), Err(Unreadable));
    }
}
