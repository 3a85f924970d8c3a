//! Placement of registers on members by rendezvous hashing (Thaler and Ravishankar, 1998) over the roster. Registers do not move
//! when members become unreachable or return, and members with the same roster agree on the placement without messages.

use std::collections::BTreeSet;

use bitternlatch_membership::NameKey;

use crate::RegisterKey;

/// Returns the `count` members of the roster with the highest scores for the key, in descending order of score. Returns the whole
/// roster if it has fewer members, and at least one member if `count` is 0.
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

/// FNV-1a hash of key and member name, followed by the output mixing of SplitMix64 (Steele et al., 2014).
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
