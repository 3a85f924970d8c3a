//! Records on disk: one for each register, and one for the replica's metadata. Each has a version and a checksum; records of an
//! earlier incarnation are of no use.

use std::collections::BTreeMap;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::StoredEntries;
use serde::{de::DeserializeOwned, Deserialize, Serialize};

use crate::recovery::{Completeness, Incarnation};
use crate::register::{Acceptor, RegisterKey};

/// Version of the encoding: the first byte of each record.
const RECORD_VERSION: u8 = 1;
/// Name of the metadata's record.
const METADATA_NAME: &[u8] = b"m";
/// First byte of the name of a register's record; its key follows.
const REGISTER_PREFIX: u8 = b'r';

/// What a replica remembers beside its registers.
#[derive(Serialize, Deserialize)]
pub struct ReplicaMetadata {
    /// Number of the current incarnation.
    pub incarnation: u64,
    /// How much of what it once held it holds.
    pub completeness: Completeness,
    /// Changes of the current incarnation.
    pub count: u64,
    /// The latest known incarnation of each other member.
    pub incarnations: BTreeMap<NameKey, Incarnation>,
}

#[derive(Serialize, Deserialize)]
struct RegisterRecord {
    incarnation: u64,
    count: u64,
    acceptor: Acceptor,
}

/// A record as it is stored.
pub struct DiskRecord {
    /// Its name.
    pub name: Vec<u8>,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// What was on disk.
pub enum StoredState {
    /// Nothing.
    Empty,
    /// Something that is not what was written.
    Corrupt,
    /// All that was written.
    Intact {
        /// The metadata; its count of changes is the highest of all records.
        metadata: ReplicaMetadata,
        /// The registers of the current incarnation.
        registers: Vec<(RegisterKey, Acceptor)>,
        /// Names of records of an earlier incarnation.
        stale: Vec<Vec<u8>>,
    },
}

fn encode(record: &impl Serialize) -> Vec<u8> {
    // Plain data cannot fail to be encoded; an empty record would be found corrupt.
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

/// Record of the metadata.
pub fn metadata(metadata: &ReplicaMetadata) -> DiskRecord {
    DiskRecord {
        name: METADATA_NAME.to_vec(),
        bytes: encode(metadata),
    }
}

/// Name of a register's record.
pub fn name(key: RegisterKey) -> Vec<u8> {
    [&[REGISTER_PREFIX][..], &key.0].concat()
}

/// Record of a register, with the incarnation that writes it and its changes so far.
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

/// The key in the name of a register's record.
fn key_of(name: &[u8]) -> Option<RegisterKey> {
    let (prefix, key) = name.split_first()?;
    let key = <[u8; 16]>::try_from(key).ok()?;
    (*prefix == REGISTER_PREFIX).then_some(RegisterKey(key))
}

/// Decodes what was on disk.
pub fn open(found: StoredEntries) -> StoredState {
    if found.is_empty() {
        return StoredState::Empty;
    }
    open_records(found).unwrap_or(StoredState::Corrupt)
}

/// None where any record is corrupt.
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
