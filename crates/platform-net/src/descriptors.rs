//! File descriptors: the limit of the process, the number in use, and the eviction of connections when none is left.

use std::io;

use bitternlatch_core::Micros;
use bitternlatch_platform::node::Node;
use bitternlatch_platform::resource_limits::Limits;
use bitternlatch_platform::types::ConnId;
use rustix::io::Errno;
use rustix::process::{getrlimit, Resource};

use crate::Driver;

/// Most clients whose pending input is read before one of them is evicted.
const MAX_READS_BEFORE_EVICTION: usize = 16;
/// Most connections that are evicted to open a single new one.
const MAX_EVICTIONS: usize = 4;

/// The configured limits, reduced to the file descriptors that the operating system leaves to this process. The limit
/// of the operating system is read and not changed.
pub(crate) fn effective_limits(limits: Limits) -> Limits {
    let allowed = getrlimit(Resource::Nofile)
        .current
        .and_then(|n| usize::try_from(n).ok());
    // The directory itself is open while it is read, so it is not counted.
    let open_descriptors =
        std::fs::read_dir("/proc/self/fd").map_or(0, |fds| fds.count().saturating_sub(1));
    let effective = limits.within(allowed, open_descriptors);
    if effective.descriptors < limits.descriptors {
        let (available, configured) = (effective.descriptors, limits.descriptors);
        tracing::warn!(
            "only {available} file descriptors are available to the process, fewer than the {configured} of limits.sockets"
        );
    }
    effective
}

/// Whether an error means that the process has no file descriptor left.
pub(crate) fn is_exhausted(e: &io::Error) -> bool {
    e.raw_os_error()
        .is_some_and(|code| code == Errno::MFILE.raw_os_error())
}

/// Which clients may be evicted for a connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EvictionReach {
    /// Those that rest.
    Resting,
    /// Also those that have just connected or have sent a part of a request.
    Any,
}

/// Result of reading the clients that would be evicted.
enum ReadCandidates {
    /// One of them has disconnected, which has freed its descriptor.
    Disconnected,
    /// The first one has nothing more to read.
    Settled,
    /// There is none, or too many of them have sent something.
    None,
}

impl Driver {
    /// Opens an outbound connection to discovery or a server. If no file descriptor is left, evicts the connections
    /// that are needed least, up to `MAX_EVICTIONS`, because a local shortage must not count as a failure of the
    /// server.
    pub(crate) fn open_with_eviction<T>(
        &mut self,
        reach: EvictionReach,
        open: impl Fn() -> io::Result<T>,
    ) -> io::Result<T> {
        for _ in 0..MAX_EVICTIONS {
            match open() {
                Err(e) if is_exhausted(&e) && self.evict_any(reach) => {}
                other => return other,
            }
        }
        open()
    }

    /// Frees one file descriptor for a connection to a server; called between two inputs of the node. In this order, closes
    /// a lingering connection whose response is written, an idle connection to a server, a client whose pending input has
    /// been read, or a lingering connection whose client has stalled. Returns false if there is none.
    fn evict_any(&mut self, reach: EvictionReach) -> bool {
        self.lingering.retain(|c| self.sockets.contains_key(c));
        self.close_oldest_written()
            || self.evict_with(|driver, out| driver.node.evict_idle_connection(out))
            || self.evict_resting_client()
            || match reach {
                EvictionReach::Resting => self.close_longest_stalled(),
                EvictionReach::Any => self.evict_for_new_client(),
            }
    }

    /// Frees one file descriptor for a client that waits to be accepted: a client that has just connected is not closed
    /// for another one.
    pub(crate) fn evict_for_waiting_client(&mut self) -> bool {
        self.evict_resting_client() || self.close_longest_stalled()
    }

    /// Evicts a client that rests, after its pending input has been read.
    fn evict_resting_client(&mut self) -> bool {
        match self.read_candidates(Node::resting_client) {
            ReadCandidates::Disconnected => true,
            ReadCandidates::Settled => self.evict_with(|driver, out| {
                let now = driver.clock.now();
                driver.node.evict_resting_client(now, out)
            }),
            ReadCandidates::None => false,
        }
    }

    /// Frees one file descriptor for a new client; called between two inputs of the node. The pending input of a client
    /// is read before the client is evicted, because it may contain a request by now.
    pub(crate) fn evict_for_new_client(&mut self) -> bool {
        match self.read_candidates(Node::client_eviction_candidate) {
            ReadCandidates::Disconnected => true,
            _ => self.evict_client() || self.close_longest_stalled(),
        }
    }

    /// Reads the pending input of the clients that would be evicted, until that changes nothing of which is the first.
    fn read_candidates(
        &mut self,
        candidate: fn(&Node, Micros) -> Option<ConnId>,
    ) -> ReadCandidates {
        for _ in 0..MAX_READS_BEFORE_EVICTION {
            let Some(conn) = candidate(&self.node, self.clock.now()) else {
                return ReadCandidates::None;
            };
            if let Some(socket) = self.sockets.get_mut(&conn) {
                socket.readable = true;
                self.serve_socket(conn);
            }
            if !self.sockets.contains_key(&conn) {
                return ReadCandidates::Disconnected;
            }
            if candidate(&self.node, self.clock.now()) == Some(conn) {
                return ReadCandidates::Settled;
            }
        }
        ReadCandidates::None
    }

    /// Evicts the client that the node ranks first for eviction. Returns false if there is none.
    pub(crate) fn evict_client(&mut self) -> bool {
        self.evict_with(|driver, out| driver.node.evict_client(driver.clock.now(), out))
    }

    fn evict_with(
        &mut self,
        evict: impl Fn(&mut Driver, &mut Vec<bitternlatch_platform::types::Command>) -> bool,
    ) -> bool {
        let mut commands = Vec::new();
        let is_evicted = evict(self, &mut commands);
        commands
            .into_iter()
            .for_each(|command| self.run_command(command));
        is_evicted
    }
}
