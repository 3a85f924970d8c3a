//! Hashes used as pseudo-random draws, so that the same events give the same decisions.

/// Hashes two numbers so that each bit of the result depends on both.
pub(super) fn hash_pair(a: u64, b: u64) -> u64 {
    let mixed = (a ^ b.wrapping_mul(0x9E37_79B9_7F4A_7C15)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ (mixed >> 31)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 32)
}

/// Maps a hash to a number from 0 (inclusive) to 1 (exclusive) with 24 bits of resolution.
pub(super) fn unit_interval_24_bits(hash: u64) -> f64 {
    (hash >> 40) as f64 / (1u64 << 24) as f64
}

/// Maps a hash to a number from 0 (inclusive) to 1 (exclusive) with 53 bits of resolution.
pub(super) fn unit_interval_53_bits(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
