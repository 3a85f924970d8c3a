//! What a copy keeps on disk: one record a register, and one about its memory. Each bears a checksum; those of an earlier life are
//! worth nothing.

use std::collections::BTreeMap;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::Found;
use serde::{de::DeserializeOwned, Deserialize, Serialize};

use crate::recovery::{Completeness, Incarnation};
use crate::register::{Acceptor, RegisterKey};

const RECORD_VERSION: u8 = 1;
const META: &[u8] = b"m";
const REGISTER: u8 = b'r';

#[derive(Serialize, Deserialize)]
pub struct ReplicaMetadata {
    pub incarnation: u64,
    pub completeness: Completeness,
    pub count: u64,
    pub incarnations: BTreeMap<NameKey, Incarnation>,
}

#[derive(Serialize, Deserialize)]
struct Record {
    incarnation: u64,
    count: u64,
    acceptor: Acceptor,
}

/// What was found.
pub enum StoredState {
    /// Nothing at all.
    Empty,
    Corrupt,
    Intact {
        meta: ReplicaMetadata,
        registers: Vec<(RegisterKey, Acceptor)>,
        /// Names of an earlier life.
        stale: Vec<Vec<u8>>,
    },
}

fn write(what: &impl Serialize) -> Vec<u8> {
    // Plain data cannot fail to be written; an empty record would be found torn.
    let mut bytes = postcard::to_extend(what, vec![RECORD_VERSION]).unwrap_or_default();
    let sum = crc32fast::hash(&bytes);
    bytes.extend(sum.to_le_bytes());
    bytes
}

fn read<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (body, sum) = bytes.split_last_chunk::<4>()?;
    let (version, rest) = body.split_first()?;
    let whole = *version == RECORD_VERSION && crc32fast::hash(body) == u32::from_le_bytes(*sum);
    whole.then(|| postcard::from_bytes(rest).ok()).flatten()
}

pub fn meta(meta: &ReplicaMetadata) -> (Vec<u8>, Vec<u8>) {
    (META.to_vec(), write(meta))
}

pub fn name(key: RegisterKey) -> Vec<u8> {
    [&[REGISTER][..], &key.0].concat()
}

pub fn register(
    key: RegisterKey,
    incarnation: u64,
    count: u64,
    acceptor: &Acceptor,
) -> (Vec<u8>, Vec<u8>) {
    (
        name(key),
        write(&Record {
            incarnation,
            count,
            acceptor: acceptor.clone(),
        }),
    )
}

pub fn open(found: Found) -> StoredState {
    if found.is_empty() {
        return StoredState::Empty;
    }
    let Some(mut meta) = found
        .iter()
        .find(|(name, _)| name == META)
        .and_then(|(_, b)| read::<ReplicaMetadata>(b))
    else {
        return StoredState::Corrupt;
    };
    let (mut registers, mut stale) = (Vec::new(), Vec::new());
    for (name, bytes) in found.into_iter().filter(|(name, _)| name != META) {
        let key = name
            .split_first()
            .filter(|(completeness, _)| **completeness == REGISTER)
            .map(|(_, key)| key);
        let Some(key) = key.and_then(|key| <[u8; 16]>::try_from(key).ok()) else {
            return StoredState::Corrupt;
        };
        match read::<Record>(&bytes) {
            None => return StoredState::Corrupt,
            Some(record) if record.incarnation != meta.incarnation => stale.push(name),
            Some(record) => {
                meta.count = meta.count.max(record.count);
                registers.push((RegisterKey(key), record.acceptor));
            }
        }
    }
    StoredState::Intact {
        meta,
        registers,
        stale,
    }
}
