//! The runtime between dispatchers: one socket for datagrams, one for TCP at the same address, a thread each.
//!
//! What is said and who is there is decided in `bitternlatch-membership`; here are sockets, the clock and files.

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
