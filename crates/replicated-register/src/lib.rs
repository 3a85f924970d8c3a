//! Registers that are replicated on a few members and changed by compare-and-set. The crate is a deterministic state machine that
//! performs no I/O: its inputs are messages, the current time, results of disk writes and a seed; its outputs are messages,
//! records to store and results of calls.
//!
//! - `register`: one replica of one register, an acceptor whose value may change (CASPaxos: Rystsov, 2018).
//! - `proposal`: one call and the message rounds of its proposer.
//! - `recovery`: how complete a replica's state is after a restart, and so whether it counts toward a majority.
//! - [`Replica`]: all replicas that one member holds, and the calls that it makes.

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

/// Maximum length of a value in bytes. A message that carries such a value still fits into one network frame.
pub const MAX_VALUE_BYTES: usize = 48 * 1024;
