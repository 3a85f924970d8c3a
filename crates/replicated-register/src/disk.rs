//! What a copy keeps on disk: one record a register, and one about its memory. Each bears a checksum; those of an earlier life are
//! worth nothing.

use std::collections::BTreeMap;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::Found;
use serde::{de::DeserializeOwned, Deserialize, Serialize};

use crate::memory::{Kind, Life};
use crate::register::{Copy, RegisterKey};

const RECORDS: u8 = 1;
const META: &[u8] = b"m";
const REGISTER: u8 = b'r';

#[derive(Serialize, Deserialize)]
pub struct Meta {
    pub life: u64,
    pub kind: Kind,
    pub count: u64,
    pub lives: BTreeMap<NameKey, Life>,
}

#[derive(Serialize, Deserialize)]
struct Record {
    life: u64,
    count: u64,
    copy: Copy,
}

/// What was found.
pub enum Disk {
    /// Nothing at all.
    Empty,
    Torn,
    Whole {
        meta: Meta,
        registers: Vec<(RegisterKey, Copy)>,
        /// Names of an earlier life.
        stale: Vec<Vec<u8>>,
    },
}

fn write(what: &impl Serialize) -> Vec<u8> {
    // Plain data cannot fail to be written; an empty record would be found torn.
    let mut bytes = postcard::to_extend(what, vec![RECORDS]).unwrap_or_default();
    let sum = crc32fast::hash(&bytes);
    bytes.extend(sum.to_le_bytes());
    bytes
}

fn read<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (body, sum) = bytes.split_last_chunk::<4>()?;
    let (version, rest) = body.split_first()?;
    let whole = *version == RECORDS && crc32fast::hash(body) == u32::from_le_bytes(*sum);
    whole.then(|| postcard::from_bytes(rest).ok()).flatten()
}

pub fn meta(meta: &Meta) -> (Vec<u8>, Vec<u8>) {
    (META.to_vec(), write(meta))
}

pub fn name(key: RegisterKey) -> Vec<u8> {
    [&[REGISTER][..], &key.0].concat()
}

pub fn register(key: RegisterKey, life: u64, count: u64, copy: &Copy) -> (Vec<u8>, Vec<u8>) {
    (
        name(key),
        write(&Record {
            life,
            count,
            copy: copy.clone(),
        }),
    )
}

pub fn open(found: Found) -> Disk {
    if found.is_empty() {
        return Disk::Empty;
    }
    let Some(mut meta) = found
        .iter()
        .find(|(name, _)| name == META)
        .and_then(|(_, b)| read::<Meta>(b))
    else {
        return Disk::Torn;
    };
    let (mut registers, mut stale) = (Vec::new(), Vec::new());
    for (name, bytes) in found.into_iter().filter(|(name, _)| name != META) {
        let key = name
            .split_first()
            .filter(|(kind, _)| **kind == REGISTER)
            .map(|(_, key)| key);
        let Some(key) = key.and_then(|key| <[u8; 16]>::try_from(key).ok()) else {
            return Disk::Torn;
        };
        match read::<Record>(&bytes) {
            None => return Disk::Torn,
            Some(record) if record.life != meta.life => stale.push(name),
            Some(record) => {
                meta.count = meta.count.max(record.count);
                registers.push((RegisterKey(key), record.copy));
            }
        }
    }
    Disk::Whole {
        meta,
        registers,
        stale,
    }
}
