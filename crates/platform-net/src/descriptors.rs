//! File descriptors: how many the process may hold and does hold, and what is done when there is none.

use std::io;

use bitternlatch_platform::resource_limits::Limits;
use rustix::io::Errno;
use rustix::process::{getrlimit, Resource};

use crate::Driver;

/// Clients heard out at the most before one is evicted.
const MAX_CLIENTS_READ: usize = 16;
/// Connections evicted at the most for one that needs a descriptor.
const MAX_EVICTIONS: usize = 4;

/// The limits as the process finds them. The system's is read, and left as it is.
pub(crate) fn effective_limits(limits: Limits) -> Limits {
    let allowed = getrlimit(Resource::Nofile)
        .current
        .and_then(|n| usize::try_from(n).ok());
    // The folder itself is open while it is read.
    let held = std::fs::read_dir("/proc/self/fd").map_or(0, |fds| fds.count().saturating_sub(1));
    let found = limits.within(allowed, held);
    if found.descriptors < limits.descriptors {
        let (left, said) = (found.descriptors, limits.descriptors);
        tracing::warn!(
            "the system leaves the process {left} file descriptors, fewer than limits.sockets, {said}"
        );
    }
    found
}

/// The process has no descriptor left.
pub(crate) fn is_exhausted(e: &io::Error) -> bool {
    e.raw_os_error()
        .is_some_and(|code| code == Errno::MFILE.raw_os_error())
}

impl Driver {
    /// Opens a connection of the dispatcher's own, to discovery or a server; where there is no descriptor for it, those
    /// that need theirs least are evicted. The server has done nothing, so this must not look like its failure.
    pub(crate) fn evicting_for_descriptor<T>(
        &mut self,
        open: impl Fn() -> io::Result<T>,
    ) -> io::Result<T> {
        for _ in 0..MAX_EVICTIONS {
            match open() {
                Err(e) if is_exhausted(&e) && self.evict_any() => {}
                other => return other,
            }
        }
        open()
    }

    /// Lets go of a client whose last answer has left, or that asks nothing, or of an idle connection to a server.
    fn evict_any(&mut self) -> bool {
        self.lingering.retain(|c| self.sockets.contains_key(c));
        self.cut_written()
            || self.evict_client()
            || self.cut_stalled()
            || self.evict_with(|driver, out| driver.node.evict_idle_connection(out))
    }

    /// The same for a new client, between two inputs of the node: a client is heard out before it is evicted, as it may have
    /// asked by now.
    pub(crate) fn evict_for_new_client(&mut self) -> bool {
        for _ in 0..MAX_CLIENTS_READ {
            let Some(conn) = self.node.client_eviction_candidate(self.clock.now()) else {
                break;
            };
            if let Some(socket) = self.sockets.get_mut(&conn) {
                socket.readable = true;
                self.serve_socket(conn);
            }
            if !self.sockets.contains_key(&conn) {
                // It has gone by itself.
                return true;
            }
            if self.node.client_eviction_candidate(self.clock.now()) == Some(conn) {
                break;
            }
        }
        self.evict_client() || self.cut_stalled()
    }

    /// Lets go of the client that is evicted first.
    pub(crate) fn evict_client(&mut self) -> bool {
        self.evict_with(|driver, out| driver.node.evict_client(driver.clock.now(), out))
    }

    fn evict_with(
        &mut self,
        shed: impl Fn(&mut Driver, &mut Vec<bitternlatch_platform::types::Command>) -> bool,
    ) -> bool {
        let mut closes = Vec::new();
        let found = shed(self, &mut closes);
        closes.into_iter().for_each(|close| self.run_command(close));
        found
    }
}
