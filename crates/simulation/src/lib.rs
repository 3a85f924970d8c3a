//! A network in simulated time, for tests and measurements of machines without I/O: loss, delay, duplicates, cuts, pauses,
//! kills, and clocks that differ. One seed, one course of events.
//!
//! [`Network`] holds what is under way and the chance that it is late, lost or doubled; [`World`] steps machines over it in
//! order of time. A machine that is paused hears what waited for it when it goes on, as a process does.

mod network;
mod world;

pub use network::Network;
pub use world::{Node, Place, Sent, World};

use std::time::Duration;

/// Milliseconds.
pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}
