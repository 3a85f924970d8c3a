//! What members say to each other, and what is kept: a version, then the library's compact form.

use bitternlatch_membership::NameKey;
use serde::{Deserialize, Serialize};

use crate::coverage::Coverage;
use crate::error::LengthsError;
use crate::ids::Origin;
use crate::windows::Record;

#[cfg(test)]
mod tests;

/// First byte of each message and snapshot.
pub(crate) const VERSION: u8 = 1;
/// Origins that a question may name.
const ORIGINS_MOST: usize = 4096;

/// Windows of one origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Told {
    pub origin: Origin,
    pub records: Vec<Record>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// The sender's own latest.
    News {
        generation: u64,
        records: Vec<Record>,
    },
    /// All that differs from what the asker has.
    Want { have: Vec<(Origin, u64)> },
    /// An answer's part; the last one, after which no more follows, tells how its sender's estimates are calibrated.
    State {
        told: Vec<Told>,
        last: Option<Coverage>,
    },
}

/// On disk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    /// Milliseconds by the process's clock, which starts at the Unix time.
    pub saved: u64,
    pub coverage: Coverage,
    pub told: Vec<Told>,
}

fn bytes(of: &impl Serialize) -> Vec<u8> {
    // The library fails on maps of unknown length alone, and there are none; an empty message is unreadable, and dropped.
    postcard::to_extend(of, vec![VERSION]).unwrap_or_default()
}

impl Message {
    pub fn encode(&self) -> Vec<u8> {
        bytes(self)
    }

    pub fn decode(said: &[u8]) -> Result<Message, LengthsError> {
        let (version, rest) = said.split_first().ok_or(LengthsError::Unreadable)?;
        if *version != VERSION {
            return Err(LengthsError::OtherVersion(*version));
        }
        let message: Message = postcard::from_bytes(rest).map_err(|_| LengthsError::Unreadable)?;
        let sound = match &message {
            Message::News { records, .. } => records.iter().all(Record::sound),
            Message::Want { have } => have.len() <= ORIGINS_MOST,
            Message::State { told, last } => {
                let calibrated = last.as_ref().is_none_or(Coverage::sound);
                calibrated && told.iter().all(|t| t.records.iter().all(Record::sound))
            }
        };
        sound.then_some(message).ok_or(LengthsError::Unsound)
    }
}

impl Snapshot {
    pub fn encode(&self) -> Vec<u8> {
        bytes(self)
    }

    pub fn decode(kept: &[u8]) -> Result<Snapshot, LengthsError> {
        let (version, rest) = kept.split_first().ok_or(LengthsError::BrokenSnapshot)?;
        if *version != VERSION {
            return Err(LengthsError::OtherVersion(*version));
        }
        let snapshot: Snapshot =
            postcard::from_bytes(rest).map_err(|_| LengthsError::BrokenSnapshot)?;
        let sound = snapshot
            .told
            .iter()
            .all(|t| t.records.iter().all(Record::sound));
        (sound && snapshot.coverage.sound())
            .then_some(snapshot)
            .ok_or(LengthsError::BrokenSnapshot)
    }
}

/// Bytes of a record in a message.
pub(crate) fn size(record: &Record) -> usize {
    postcard::experimental::serialized_size(record).unwrap_or(usize::MAX)
}

/// Records by origin in pieces of so many bytes at the most, each with its origin.
pub(crate) fn pieces(of: Vec<(Origin, Record)>, most: usize) -> Vec<Vec<Told>> {
    // A name and a generation, a length.
    const ORIGIN: usize = 20;
    let mut pieces: Vec<Vec<Told>> = vec![];
    let mut used = 0usize;
    for (origin, record) in of {
        let needs = size(&record).saturating_add(ORIGIN);
        if pieces.is_empty() || used.saturating_add(needs) > most {
            pieces.push(vec![]);
            used = 0;
        }
        used = used.saturating_add(needs);
        let Some(piece) = pieces.last_mut() else {
            continue;
        };
        match piece.last_mut().filter(|told| told.origin == origin) {
            Some(told) => told.records.push(record),
            None => piece.push(Told {
                origin,
                records: vec![record],
            }),
        }
    }
    pieces
}

/// For logs.
pub(crate) fn shown(name: NameKey) -> String {
    format!("{:08x}", name.0)
}
