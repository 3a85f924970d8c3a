//! What a register is called and holds.

use bitternlatch_membership::NameKey;
use serde::{Deserialize, Serialize};

/// 16-byte name of a register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RegisterKey(pub [u8; 16]);

/// Total order: epoch first. `count` rises with each write, by one or more. No two writes ever have the same one: a
/// process never uses a count twice, and `start` tells it from the earlier ones under its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    pub epoch: u64,
    pub count: u64,
    pub writer: NameKey,
    /// Of the writer's process.
    pub start: u64,
}
