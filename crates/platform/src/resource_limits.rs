//! Resource limits: what the machine gives the process, and how its file descriptors are divided.

/// Descriptors kept back: the process's own, the watch, clients that still have to see their last answer, and spare
/// ones for what is open for a moment only.
const RESERVE: usize = 40;
/// The process's own within the reserve: standard streams, readiness queue, listener, peers, signals.
const OWN_DESCRIPTORS: usize = 10;
/// Clients' part of the rest, the other being model servers'. The greater part: a request in hand holds a connection of
/// either kind, so that servers' run out first, and a new client finds a client's place that no request holds. It can
/// be told that the dispatcher is ready, or that it takes no more.
const CLIENT_TWENTIETHS: usize = 11;
/// Fewest that clients and servers get, however few descriptors there are.
const MIN_CLIENTS: usize = 8;
const MIN_SERVERS: usize = 4;

/// What the machine gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory of the process, bytes.
    pub memory_bytes: usize,
    /// File descriptors that the process may hold.
    pub descriptors: usize,
}

impl Limits {
    /// As the process finds them before its first connection: the system may allow fewer descriptors than the
    /// configuration says, and some of those may be taken by what was handed to the process.
    pub fn within(self, allowed: Option<usize>, held: usize) -> Limits {
        let free = allowed.map(|a| a.saturating_sub(held.saturating_sub(OWN_DESCRIPTORS)));
        Limits {
            descriptors: free.map_or(self.descriptors, |f| f.min(self.descriptors)),
            ..self
        }
    }

    /// Bytes that prompts in hand may take together: a quarter of the memory.
    pub(crate) fn max_prompt_bytes(&self) -> usize {
        self.memory_bytes / 4
    }

    /// The same of requests that are not complete: an eighth, as their buffers may be twice as large as what they
    /// hold.
    pub(crate) fn max_unfinished_bytes(&self) -> usize {
        self.memory_bytes / 8
    }
}

/// How many connections there may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Of clients.
    pub clients: usize,
    /// To model servers.
    pub servers: usize,
}

impl ConnectionLimits {
    /// Divides the descriptors that are left after the reserve.
    pub fn of(limits: &Limits) -> ConnectionLimits {
        let usable = limits.descriptors.saturating_sub(RESERVE);
        let clients = (usable * CLIENT_TWENTIETHS / 20).max(MIN_CLIENTS);
        ConnectionLimits {
            clients,
            servers: usable.saturating_sub(clients).max(MIN_SERVERS),
        }
    }
}
