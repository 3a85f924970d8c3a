//! Encoding of the records on disk: one for each register and one for the replica's metadata. Each record starts with a version
//! byte and ends with a CRC-32 checksum. Records that an earlier incarnation wrote are stale.

use std::collections::BTreeMap;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::StoredEntries;
use serde::{de::DeserializeOwned, Deserialize, Serialize};

use crate::recovery::{Completeness, Incarnation};
use crate::register::{Acceptor, RegisterKey};

/// Version of the record encoding, the first byte of each record.
const RECORD_VERSION: u8 = 1;
/// Name of the record with the replica's metadata.
const METADATA_NAME: &[u8] = b"m";
/// First byte of the name of a register's record. The 16 bytes of the register's key follow it.
const REGISTER_PREFIX: u8 = b'r';

/// What a replica stores in addition to its registers.
#[derive(Serialize, Deserialize)]
pub struct ReplicaMetadata {
    /// Number of the current incarnation.
    pub incarnation: u64,
    /// Whether the replica still holds all registers that it once held.
    pub completeness: Completeness,
    /// Number of changes in the current incarnation.
    pub count: u64,
    /// The latest known incarnation of each other member.
    pub incarnations: BTreeMap<NameKey, Incarnation>,
}

/// Content of the record of one register.
#[derive(Serialize, Deserialize)]
struct RegisterRecord {
    /// Number of the incarnation that wrote the record.
    incarnation: u64,
    /// Number of changes in that incarnation when the record was written.
    count: u64,
    acceptor: Acceptor,
}

/// An encoded record.
pub struct DiskRecord {
    /// Name of the record, unique on the disk of a replica.
    pub name: Vec<u8>,
    /// Encoded content, with version byte and checksum.
    pub bytes: Vec<u8>,
}

/// State that was found on disk at the start.
pub enum StoredState {
    /// There are no records on disk.
    Empty,
    /// The metadata are missing, or the name, checksum or content of a record is invalid.
    Corrupt,
    /// All records are valid.
    Intact {
        /// The metadata, with `count` raised to the highest number of changes in any record of the current incarnation.
        metadata: ReplicaMetadata,
        /// The registers whose records the current incarnation wrote.
        registers: Vec<(RegisterKey, Acceptor)>,
        /// Names of records that an earlier incarnation wrote.
        stale: Vec<Vec<u8>>,
    },
}

fn encode(record: &impl Serialize) -> Vec<u8> {
    // Encoding plain data into a vector cannot fail. An empty record would be reported as corrupt when it is read.
    let mut bytes = postcard::to_extend(record, vec![RECORD_VERSION]).unwrap_or_default();
    let sum = crc32fast::hash(&bytes);
    bytes.extend(sum.to_le_bytes());
    bytes
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (body, sum) = bytes.split_last_chunk::<4>()?;
    let (version, rest) = body.split_first()?;
    let is_intact = *version == RECORD_VERSION && crc32fast::hash(body) == u32::from_le_bytes(*sum);
    is_intact.then(|| postcard::from_bytes(rest).ok()).flatten()
}

/// Encodes the record of the metadata.
pub fn metadata(metadata: &ReplicaMetadata) -> DiskRecord {
    DiskRecord {
        name: METADATA_NAME.to_vec(),
        bytes: encode(metadata),
    }
}

/// Returns the name of a register's record.
pub fn name(key: RegisterKey) -> Vec<u8> {
    [&[REGISTER_PREFIX][..], &key.0].concat()
}

/// Encodes the record of a register. `incarnation` is the one that writes it, `count` the number of its changes so far.
pub fn register(key: RegisterKey, incarnation: u64, count: u64, acceptor: &Acceptor) -> DiskRecord {
    let record = RegisterRecord {
        incarnation,
        count,
        acceptor: acceptor.clone(),
    };
    DiskRecord {
        name: name(key),
        bytes: encode(&record),
    }
}

/// Parses the register's key from the name of a record; `None` if it is not the name of a register's record.
fn key_of(name: &[u8]) -> Option<RegisterKey> {
    let (prefix, key) = name.split_first()?;
    let key = <[u8; 16]>::try_from(key).ok()?;
    (*prefix == REGISTER_PREFIX).then_some(RegisterKey(key))
}

/// Decodes the records that were found on disk.
pub fn open(found: StoredEntries) -> StoredState {
    if found.is_empty() {
        return StoredState::Empty;
    }
    open_records(found).unwrap_or(StoredState::Corrupt)
}

/// Decodes the records that were found on disk; returns `None` if the metadata are missing or any record is corrupt.
fn open_records(found: StoredEntries) -> Option<StoredState> {
    let (_, bytes) = found.iter().find(|(name, _)| name == METADATA_NAME)?;
    let mut metadata: ReplicaMetadata = decode(bytes)?;
    let (mut registers, mut stale) = (Vec::new(), Vec::new());
    for (name, bytes) in found {
        if name == METADATA_NAME {
            continue;
        }
        let key = key_of(&name)?;
        let record: RegisterRecord = decode(&bytes)?;
        if record.incarnation != metadata.incarnation {
            stale.push(name);
            continue;
        }
        metadata.count = metadata.count.max(record.count);
        registers.push((key, record.acceptor));
    }
    Some(StoredState::Intact {
        metadata,
        registers,
        stale,
    })
}
