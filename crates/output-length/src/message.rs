//! The encoding of messages between members and of the snapshot on disk: a version byte, followed by the value in postcard
//! format. A window holds the counts, by output length, of responses of one cell ([`crate::Cell`]) from one origin
//! ([`crate::Origin`]). The calibration holds the miss rates by model and class that adjust the estimated 90th percentile.

use bitternlatch_membership::NameKey;
use serde::{Deserialize, Serialize};

use crate::coverage::Calibration;
use crate::error::OutputLengthError;
use crate::ids::Origin;
use crate::windows::WindowRecord;

#[cfg(test)]
mod tests;

/// Version of the encoding; the first byte of each message and snapshot.
pub(crate) const FORMAT_VERSION: u8 = 1;
/// Limit of origins in a state request.
const MAX_REQUESTED_ORIGINS: usize = 4096;

/// Records of windows of one origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OriginRecords {
    pub origin: Origin,
    pub records: Vec<WindowRecord>,
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Windows that the sender itself counted and that have grown since it last sent them, with the sender's incarnation.
    #[serde(rename = "News")]
    Update {
        #[serde(rename = "generation")]
        incarnation: u64,
        records: Vec<WindowRecord>,
    },
    /// A request for the windows of all origins of which the receiver stores other windows than the sender. `digests` contains
    /// the digest of each origin of which the sender stores windows.
    #[serde(rename = "Want")]
    StateRequest {
        #[serde(rename = "have")]
        digests: Vec<(Origin, u64)>,
    },
    /// A part of the reply to a state request. The last part, and only that one, contains the sender's calibration.
    State {
        #[serde(rename = "told")]
        windows: Vec<OriginRecords>,
        #[serde(rename = "last")]
        calibration: Option<Calibration>,
    },
}

/// The snapshot on disk: all windows that a process stores, and its calibration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    /// When the snapshot was taken, milliseconds since the Unix epoch by the process's clock.
    #[serde(rename = "saved")]
    pub saved_at_ms: u64,
    #[serde(rename = "coverage")]
    pub calibration: Calibration,
    #[serde(rename = "told")]
    pub windows: Vec<OriginRecords>,
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    // Postcard fails only for sequences and maps of unknown length, which these types do not have. If it failed, the empty
    // message would be rejected by its receiver.
    postcard::to_extend(value, vec![FORMAT_VERSION]).unwrap_or_default()
}

impl Message {
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    pub fn decode(payload: &[u8]) -> Result<Message, OutputLengthError> {
        let (version, rest) = payload.split_first().ok_or(OutputLengthError::Unreadable)?;
        if *version != FORMAT_VERSION {
            return Err(OutputLengthError::UnsupportedVersion(*version));
        }
        let message: Message =
            postcard::from_bytes(rest).map_err(|_| OutputLengthError::Unreadable)?;
        let is_valid = match &message {
            Message::Update { records, .. } => records.iter().all(WindowRecord::is_valid),
            Message::StateRequest { digests } => digests.len() <= MAX_REQUESTED_ORIGINS,
            Message::State {
                windows,
                calibration,
            } => {
                let is_calibration_valid = calibration.as_ref().is_none_or(Calibration::is_valid);
                is_calibration_valid
                    && windows
                        .iter()
                        .all(|group| group.records.iter().all(WindowRecord::is_valid))
            }
        };
        is_valid
            .then_some(message)
            .ok_or(OutputLengthError::InvalidCounts)
    }
}

impl Snapshot {
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    pub fn decode(payload: &[u8]) -> Result<Snapshot, OutputLengthError> {
        let (version, rest) = payload
            .split_first()
            .ok_or(OutputLengthError::CorruptSnapshot)?;
        if *version != FORMAT_VERSION {
            return Err(OutputLengthError::UnsupportedVersion(*version));
        }
        let snapshot: Snapshot =
            postcard::from_bytes(rest).map_err(|_| OutputLengthError::CorruptSnapshot)?;
        let is_valid = snapshot
            .windows
            .iter()
            .all(|group| group.records.iter().all(WindowRecord::is_valid));
        (is_valid && snapshot.calibration.is_valid())
            .then_some(snapshot)
            .ok_or(OutputLengthError::CorruptSnapshot)
    }
}

/// The encoded length of a record, bytes.
pub(crate) fn encoded_len(record: &WindowRecord) -> usize {
    postcard::experimental::serialized_size(record).unwrap_or(usize::MAX)
}

/// Splits records, each with its origin, into parts of at most `max_bytes` encoded bytes, grouped by origin within a part. A
/// single record beyond the limit gets a part of its own.
pub(crate) fn split_into_parts(
    records: Vec<(Origin, WindowRecord)>,
    max_bytes: usize,
) -> Vec<Vec<OriginRecords>> {
    // Encoded length of a member name, an incarnation and the number of records, bytes.
    const ORIGIN_LEN: usize = 20;
    let mut parts: Vec<Vec<OriginRecords>> = vec![];
    let mut used = 0usize;
    for (origin, record) in records {
        let len = encoded_len(&record).saturating_add(ORIGIN_LEN);
        if parts.is_empty() || used.saturating_add(len) > max_bytes {
            parts.push(vec![]);
            used = 0;
        }
        used = used.saturating_add(len);
        let Some(part) = parts.last_mut() else {
            continue;
        };
        match part.last_mut().filter(|group| group.origin == origin) {
            Some(group) => group.records.push(record),
            None => part.push(OriginRecords {
                origin,
                records: vec![record],
            }),
        }
    }
    parts
}

/// A member's key as shown in logs, in hexadecimal.
pub(crate) fn display_member(name: NameKey) -> String {
    format!("{:08x}", name.0)
}
