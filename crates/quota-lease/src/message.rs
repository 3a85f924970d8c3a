//! What members say about stewards and parts: a kind, then fixed fields, then a list where there is one; little-endian.

use bitternlatch_membership::{NameKey, SAID_MOST};

use crate::{Hearsay, Number, Sight, HEARSAY_MOST, SIGHTS_MOST};

/// Longest of all, bytes: what the membership's envelope has room for.
pub const MESSAGE_MOST: usize = SAID_MOST;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Let me be steward, for [`crate::LEASE`] from now on. With a short form of the roster that the sender was given.
    Vote {
        number: Number,
        roster: u32,
    },
    Granted {
        number: Number,
    },
    /// Another one has been promised it, or the voter must not promise yet (`None`).
    Refused {
        number: Number,
        holder: Option<NameKey>,
    },
    /// What was granted for this number, or an earlier one, is not wanted.
    Released {
        number: Number,
    },
    /// Lend me a part. With what the sender sees of hosts, all of it.
    Borrow {
        number: Number,
        roster: u32,
        seen: Vec<Sight>,
    },
    /// Millionths of the whole. With what others see of hosts, and how many of them tell anything.
    Lent {
        number: Number,
        millionths: u32,
        of: u16,
        heard: Vec<Hearsay>,
    },
    /// The one asked is not the steward; it may know who is.
    NotHere {
        number: Number,
        holder: Option<NameKey>,
    },
    /// Nothing that was lent to the sender is used any more.
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a message about stewards and parts")]
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
        let mut out = Vec::with_capacity(MESSAGE_MOST);
        let mut put = |kind: u8, number: Number, rest: &[u8]| {
            out.push(kind);
            out.extend(number.0.to_le_bytes());
            out.extend(rest);
        };
        match self {
            Message::Vote { number, roster } => put(0, *number, &roster.to_le_bytes()),
            Message::Granted { number } => put(1, *number, &[]),
            Message::Refused { number, holder } => put(2, *number, &named(*holder).to_le_bytes()),
            Message::Released { number } => put(3, *number, &[]),
            Message::Borrow {
                number,
                roster,
                seen,
            } => {
                let mut rest = roster.to_le_bytes().to_vec();
                seen.iter()
                    .take(SIGHTS_MOST)
                    .for_each(|s| s.write(&mut rest));
                put(4, *number, &rest);
            }
            Message::Lent {
                number,
                millionths,
                of,
                heard,
            } => {
                let mut rest = [&millionths.to_le_bytes()[..], &of.to_le_bytes()].concat();
                heard
                    .iter()
                    .take(HEARSAY_MOST)
                    .for_each(|h| h.write(&mut rest));
                put(5, *number, &rest);
            }
            Message::NotHere { number, holder } => put(6, *number, &named(*holder).to_le_bytes()),
            Message::Done => put(7, Number(0), &[]),
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
            (0, rest) => Ok(Message::Vote {
                number,
                roster: exactly(rest)?,
            }),
            (1, []) => Ok(Message::Granted { number }),
            (2, rest) => Ok(Message::Refused {
                number,
                holder: name(exactly(rest)?),
            }),
            (3, []) => Ok(Message::Released { number }),
            (4, rest) => {
                let (roster, seen) = rest.split_first_chunk::<4>().ok_or(Unreadable)?;
                let (seen, over) = seen.as_chunks::<6>();
                let seen: Option<Vec<Sight>> = seen.iter().map(Sight::read).collect();
                let seen = seen.filter(|_| over.is_empty()).ok_or(Unreadable)?;
                Ok(Message::Borrow {
                    number,
                    roster: u32::from_le_bytes(*roster),
                    seen,
                })
            }
            (5, rest) => {
                let (millionths, rest) = rest.split_first_chunk::<4>().ok_or(Unreadable)?;
                let (of, heard) = rest.split_first_chunk::<2>().ok_or(Unreadable)?;
                let (heard, over) = heard.as_chunks::<7>();
                let heard: Option<Vec<Hearsay>> = heard.iter().map(Hearsay::read).collect();
                let heard = heard.filter(|_| over.is_empty()).ok_or(Unreadable)?;
                let (millionths, of) = (u32::from_le_bytes(*millionths), u16::from_le_bytes(*of));
                Ok(Message::Lent {
                    number,
                    millionths,
                    of,
                    heard,
                })
            }
            (6, rest) => Ok(Message::NotHere {
                number,
                holder: name(exactly(rest)?),
            }),
            (7, []) => Ok(Message::Done),
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
    use crate::{Host, Trait};

    #[test]
    fn every_message_is_read_as_it_was_written_and_no_other_length_is() {
        let (number, holder) = (Number(1 << 40), Some(NameKey(7)));
        let (host, age) = (Host(1 << 31), Duration::from_millis(25_500));
        let sight = Sight {
            host,
            what: Trait::Draining,
            age,
        };
        let heard = Hearsay {
            host,
            what: Trait::Cold,
            voices: 255,
            age,
        };
        let all = [
            Message::Vote { number, roster: 9 },
            Message::Granted { number },
            Message::Refused { number, holder },
            Message::Refused {
                number,
                holder: None,
            },
            Message::Released { number },
            Message::Borrow {
                number,
                roster: 9,
                seen: vec![],
            },
            Message::Borrow {
                number,
                roster: 9,
                seen: vec![sight; SIGHTS_MOST],
            },
            Message::Lent {
                number,
                millionths: 166_666,
                of: 299,
                heard: vec![heard; HEARSAY_MOST],
            },
            Message::NotHere { number, holder },
            Message::Done,
        ];
        for message in all {
            let bytes = message.write();
            assert!(bytes.len() <= MESSAGE_MOST);
            assert_eq!(Message::read(&bytes), Ok(message.clone()));
            for n in 0..bytes.len() {
                assert_ne!(Message::read(&bytes[..n]), Ok(message.clone()));
            }
            assert_eq!(Message::read(&[&bytes[..], &[0]].concat()), Err(Unreadable));
        }
        assert_eq!(Message::read(&[8; 9]), Err(Unreadable));
    }
}
