//! What members say about stewards and parts: a kind, then fixed fields, little-endian.

use bitternlatch_membership::NameKey;

use crate::Number;

/// Longest of all, bytes.
pub const MESSAGE_MOST: usize = 13;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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
    /// Lend me a part.
    Borrow {
        number: Number,
        roster: u32,
    },
    /// Millionths of the whole.
    Lent {
        number: Number,
        millionths: u32,
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
    pub fn write(self) -> Vec<u8> {
        let mut out = Vec::with_capacity(MESSAGE_MOST);
        let mut put = |kind: u8, number: Number, rest: &[u8]| {
            out.push(kind);
            out.extend(number.0.to_le_bytes());
            out.extend(rest);
        };
        match self {
            Message::Vote { number, roster } => put(0, number, &roster.to_le_bytes()),
            Message::Granted { number } => put(1, number, &[]),
            Message::Refused { number, holder } => put(2, number, &named(holder).to_le_bytes()),
            Message::Released { number } => put(3, number, &[]),
            Message::Borrow { number, roster } => put(4, number, &roster.to_le_bytes()),
            Message::Lent { number, millionths } => put(5, number, &millionths.to_le_bytes()),
            Message::NotHere { number, holder } => put(6, number, &named(holder).to_le_bytes()),
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
        let words: Vec<u32> =
            rest.chunks_exact(4).map(|w| w.iter().rev().fold(0, |all, b| all << 8 | u32::from(*b))).collect();
        match (kind, &words[..], rest.len() % 4) {
            (0, [roster], 0) => Ok(Message::Vote { number, roster: *roster }),
            (1, [], 0) => Ok(Message::Granted { number }),
            (2, [holder], 0) => Ok(Message::Refused { number, holder: name(*holder) }),
            (3, [], 0) => Ok(Message::Released { number }),
            (4, [roster], 0) => Ok(Message::Borrow { number, roster: *roster }),
            (5, [millionths], 0) => Ok(Message::Lent { number, millionths: *millionths }),
            (6, [holder], 0) => Ok(Message::NotHere { number, holder: name(*holder) }),
            (7, [], 0) => Ok(Message::Done),
            _ => Err(Unreadable),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_message_is_read_as_it_was_written_and_no_other_length_is() {
        let (number, holder) = (Number(1 << 40), Some(NameKey(7)));
        let all = [
            Message::Vote { number, roster: 9 },
            Message::Granted { number },
            Message::Refused { number, holder },
            Message::Refused { number, holder: None },
            Message::Released { number },
            Message::Borrow { number, roster: 9 },
            Message::Lent { number, millionths: 166_666 },
            Message::NotHere { number, holder },
            Message::Done,
        ];
        for message in all {
            let bytes = message.write();
            assert!(bytes.len() <= MESSAGE_MOST);
            assert_eq!(Message::read(&bytes), Ok(message));
            for n in 0..bytes.len() {
                assert_ne!(Message::read(&bytes[..n]), Ok(message));
            }
            assert_eq!(Message::read(&[&bytes[..], &[0]].concat()), Err(Unreadable));
        }
        assert_eq!(Message::read(&[8; 9]), Err(Unreadable));
    }
}
