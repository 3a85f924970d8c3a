//! I/O around the core: WebSocket sessions of clients, links to model servers, the watcher of the server list, and the
//! event loop that executes the core's outputs. No decision on a request is made in this crate.
//!
//! Two threads with small stacks serve each socket: one reads, one writes from a bounded queue, so that a peer that
//! does not read blocks no other connection.

pub mod accept;
pub mod charges;
pub mod clock;
pub mod dial;
pub mod driver;
pub mod guard;
mod http;
pub mod ledger;
pub mod logs;
pub mod socket;
pub mod tls;
pub mod watch;
pub mod wire;

/// Locks a mutex. A poisoned mutex is locked all the same, so that a panic in one thread does not spread to the others.
pub fn lock<T>(shared: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    shared
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
