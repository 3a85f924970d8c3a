//! The plane between dispatchers: one socket for datagrams, one for TCP at the same address, a thread each.
//!
//! What is said and who is there is decided in `bitternlatch-membership`; here are sockets, the clock and files.

mod beside;
mod error;
mod kept;
mod links;
mod plane;
mod routes;
mod seeds;
mod snapshot;
mod start;
mod views;

pub use beside::{AskError, Asker, Batch, Store};
pub use error::{NoRoster, Opened, PeerNetError, SeedFaults};
pub use kept::Kept;
pub use plane::{Plane, Told};
pub use seeds::roster;
pub use snapshot::Snapshot;
pub use views::{ask, Line, Shown};
