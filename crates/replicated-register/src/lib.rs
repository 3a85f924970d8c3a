//! A register by quorum with epochs, without input or output: copies on a few members, compare-and-set, catch-up of a copy that
//! returns. Messages, clock, disk's answers and a seed go in; messages, what is to be kept, and answers come out.
//!
//! - `register`: one copy of one register, an acceptor whose value may change (CASPaxos: Rystsov, 2018).
//! - `proposal`: one call, the rounds of a proposer.
//! - `recovery`: how far a copy's memory can be trusted, and so whether it counts in a majority.
//! - [`Replica`]: one member's part in all of it.

mod disk_records;
mod error;
#[cfg(test)]
mod golden;
mod io;
mod message;
#[cfg(test)]
mod model;
mod placement;
mod proposal;
mod recovery;
mod register;
mod replica;
mod store;

pub use error::RegisterError;
pub use io::{Call, Event, Input, Output, Settings};
pub use register::{RegisterKey, Version};
pub use replica::{Counters, Replica};
pub use store::{
    MAX_REGISTERS, MAX_STORED_BYTES, TOMBSTONE_RETENTION, UNSETTLED_TOMBSTONE_RETENTION,
};

/// Longest value, bytes: with all around it it fits into one frame.
pub const MAX_VALUE_BYTES: usize = 48 * 1024;
