//! A register by quorum with epochs, without input or output: copies on a few members, compare-and-set, catch-up of a copy that
//! returns. Messages, clock, disk's answers and a seed go in; messages, what is to be kept, and answers come out.

mod error;
mod io;
mod placement;
mod register;
mod replica;

pub use error::ReplicaError;
pub use io::{Call, Event, Input, Output, Settings};
pub use register::{RegisterKey, Version};
pub use replica::Replica;

/// Longest value, bytes: with all around it it fits into one frame.
pub const VALUE_MOST: usize = 48 * 1024;
