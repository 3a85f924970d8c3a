//! The platform's protocol and the dispatcher's node that speaks it, without I/O.
//!
//! [`node::Node::step`] takes one [`types::Input`] at a clock time and appends [`types::Command`]s, as
//! `bitternlatch_core::Machine` does for sessions. The sockets are in `bitternlatch-platform-net`.

mod abandoned_ids;
pub mod access_log;
pub mod client;
pub mod clients;
pub mod cold_servers;
pub mod config;
pub mod counts;
mod decisions;
pub mod discovery;
mod discovery_client;
pub mod discovery_watch;
pub mod event_stream;
mod health_checks;
pub mod http1;
mod line_splitter;
pub mod node;
mod peers;
pub mod pool;
pub mod releases;
pub mod requests;
pub mod resource_limits;
pub mod responses;
pub mod shutdown;
pub mod start_times;
mod timer;
pub mod types;
