//! Sockets and threads: WebSocket sessions, links to hosts, the list watched, and the loop that carries the core's
//! outputs out. Nothing here decides on requests.
//!
//! Two threads with small stacks serve one socket: one reads, one writes from a bounded queue, so that a peer that
//! does not read holds up nobody else.

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

/// Locks; a thread that panicked must not take the others with it.
pub fn lock<T>(shared: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    shared
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
