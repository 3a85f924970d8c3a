//! Resource limits of the process, and how its file descriptors are divided.

/// File descriptors reserved for the process itself, the discovery watch, clients that are still reading their last
/// response, and descriptors that are open only briefly.
const RESERVED_DESCRIPTORS: usize = 40;
/// Descriptors, within the reserve, of the process itself: standard streams, readiness queue, listener, peers, signals.
const PROCESS_DESCRIPTORS: usize = 10;
/// Clients' share of the remaining descriptors, in twentieths; model servers get the rest. Clients get more because an
/// open request holds one connection of each kind: server connections run out first, and a new client still finds a
/// place and can be told that the dispatcher is ready or overloaded.
const CLIENT_SHARE_TWENTIETHS: usize = 11;
/// Smallest limit for client connections, however few descriptors there are.
const MIN_CLIENTS: usize = 8;
/// Smallest limit for connections to model servers, however few descriptors there are.
const MIN_SERVERS: usize = 4;
/// Bytes waiting to be sent to a client at which reading from its stream's server is paused, at most and at least.
const MAX_UNSENT_BYTES: usize = 128 * 1024;
const MIN_UNSENT_BYTES: usize = 8 * 1024;

/// Resources that the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory of the process, bytes.
    pub memory_bytes: usize,
    /// Number of file descriptors that the process may hold.
    pub descriptors: usize,
}

impl Limits {
    /// Lowers the descriptor limit to what the process actually has at startup. The system may allow fewer descriptors
    /// than configured (`allowed`), and some may have been inherited by the process (`held`).
    pub fn within(self, allowed: Option<usize>, held: usize) -> Limits {
        let free = allowed.map(|a| a.saturating_sub(held.saturating_sub(PROCESS_DESCRIPTORS)));
        Limits {
            descriptors: free.map_or(self.descriptors, |f| f.min(self.descriptors)),
            ..self
        }
    }

    /// Most bytes that the prompts of open requests may hold together: a quarter of the memory.
    pub(crate) fn max_prompt_bytes(&self) -> usize {
        self.memory_bytes / 4
    }

    /// Most bytes of a response that may wait for its client, where so many requests are open: a sixteenth of the
    /// memory in all, as buffers are larger than their content by what is read at once.
    pub(crate) fn max_unsent_bytes(&self, open_requests: usize) -> usize {
        let share = self.memory_bytes / 16 / open_requests.max(1);
        share.clamp(MIN_UNSENT_BYTES, MAX_UNSENT_BYTES)
    }

    /// Most bytes that incomplete requests may hold together: an eighth of the memory, because their buffers can be
    /// twice as large as their content.
    pub(crate) fn max_unfinished_bytes(&self) -> usize {
        self.memory_bytes / 8
    }
}

/// Connection limits derived from the descriptor limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Most client connections.
    pub clients: usize,
    /// Most connections to model servers.
    pub servers: usize,
}

impl ConnectionLimits {
    /// Most open requests. Each holds a client connection, even while it waits and holds no connection to a server; the
    /// other client connections are left for new clients.
    pub fn open_requests(&self) -> usize {
        self.servers
    }

    /// Divides the descriptors that are left after the reserve between clients and model servers.
    pub fn of(limits: &Limits) -> ConnectionLimits {
        let usable = limits.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let clients = (usable * CLIENT_SHARE_TWENTIETHS / 20).max(MIN_CLIENTS);
        ConnectionLimits {
            clients,
            servers: usable.saturating_sub(clients).max(MIN_SERVERS),
        }
    }
}
