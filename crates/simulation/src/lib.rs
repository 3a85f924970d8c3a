//! Network in simulated time for tests and measurements of state machines without I/O: message delay, loss and duplicates,
//! partitions, paused and killed processes, and clock offsets. A run is determined by its seed.
//!
//! [`Network`] holds the messages in flight and delays, loses or duplicates them at random; [`World`] steps state machines
//! over the network in order of simulated time. Messages for a paused machine are delivered when it resumes, as the socket
//! buffers of a suspended process would deliver them.

mod network;
mod world;

pub use network::Network;
pub use world::{Node, Place, Sent, World};

use std::time::Duration;

/// Duration of `n` milliseconds.
pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}
