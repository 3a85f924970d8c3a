//! Which members hold a register: rendezvous hashing (Thaler and Ravishankar, 1998) over the roster, so that nothing moves when
//! members come and go, and all that share a roster agree without messages.

use std::collections::BTreeSet;

use bitternlatch_membership::NameKey;

use crate::RegisterKey;

/// The members of the roster with the highest scores for this key, the highest first: `count` of them, or all.
pub fn replicas(roster: &BTreeSet<NameKey>, count: usize, key: RegisterKey) -> Vec<NameKey> {
    let mut scored: Vec<(u64, NameKey)> = roster
        .iter()
        .map(|name| (score(key, *name), *name))
        .collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored
        .into_iter()
        .take(count.max(1))
        .map(|(_, name)| name)
        .collect()
}

/// FNV-1a over key and name, mixed at the end as in SplitMix64 (Steele and others, 2014).
fn score(key: RegisterKey, name: NameKey) -> u64 {
    let bytes = key.0.iter().copied().chain(name.0.to_le_bytes());
    let sum = bytes.fold(0xCBF2_9CE4_8422_2325u64, |sum, b| {
        (sum ^ u64::from(b)).wrapping_mul(0x0100_0000_01B3)
    });
    let z = (sum ^ (sum >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

#[cfg(test)]
mod tests;
