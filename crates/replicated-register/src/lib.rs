//! Registers that are replicated on a few members and changed by compare-and-set, without input or output: messages, times, the
//! disk's answers and a seed go in; messages, records to store and answers come out.
//!
//! - `register`: one replica of one register, an acceptor whose value may change (CASPaxos: Rystsov, 2018).
//! - `proposal`: one call, the rounds of a proposer.
//! - `recovery`: how far a replica's memory can be trusted, and so whether it counts in a majority.
//! - [`Replica`]: one member's replicas and calls.

mod disk_records;
mod error;
#[cfg(test)]
mod golden;
mod ids;
mod io;
mod message;
#[cfg(test)]
mod model;
mod placement;
mod proposal;
mod quorum;
mod recovery;
mod register;
mod replica;
mod store;

pub use error::RegisterError;
pub use io::{CallId, Event, Input, Output, Settings};
pub use register::{RegisterKey, Version};
pub use replica::{Counters, Replica};
pub use store::{
    MAX_REGISTERS, MAX_STORED_BYTES, TOMBSTONE_RETENTION, UNSETTLED_TOMBSTONE_RETENTION,
};

/// Bytes of a value at most: with all that goes with it, it fits into one frame.
pub const MAX_VALUE_BYTES: usize = 48 * 1024;
