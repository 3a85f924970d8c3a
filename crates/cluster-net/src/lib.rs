//! The network runtime between dispatchers: a UDP socket and a TCP listener at the same address, with one thread each.
//!
//! The membership protocol is in `bitternlatch-membership`; this crate owns the sockets, the clock and the files.

mod durable_store;
mod error;
mod links;
mod routes;
mod runtime;
mod seeds;
mod service;
mod snapshot;
mod start;
mod status;

pub use durable_store::DurableStore;
pub use error::{ClusterNetError, EndpointKind, SeedError, SeedErrors};
pub use runtime::{ClusterEvent, ClusterRuntime};
pub use seeds::fetch_roster;
pub use service::{Batch, RequestError, ServiceHandle, Store};
pub use snapshot::SnapshotStore;
pub use status::{fetch_status, ClusterStatus, MemberStatus};
