//! The platform's protocol and the dispatcher's node on it, without I/O.
//!
//! [`node::Node::step`] takes one [`types::Input`] at a clock time and appends [`types::Command`]s, as
//! `bitternlatch_core::Machine` does for sessions. The sockets are in `bitternlatch-platform-net`.

pub mod answers;
mod attempts;
pub mod clients;
pub mod config;
pub mod discovery;
mod discovery_client;
pub mod events;
pub mod explain;
pub mod http1;
mod intake;
mod lines;
pub mod node;
pub mod pool;
pub mod releases;
pub mod requests;
pub mod resource_limits;
pub mod shutdown;
pub mod start_times;
pub mod types;
pub mod watch;
