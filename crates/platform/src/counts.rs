//! What the node counts and holds, for logs and tests.

use bitternlatch_core::Micros;

/// Counts that have changed are logged this often, seconds.
const COUNTS_EVERY_SECS: f64 = 10.0;

/// What the node's tables hold at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Requests that are open.
    pub requests: usize,
    /// Client connections.
    pub clients: usize,
    /// Connections to model servers, idle ones included.
    pub server_connections: usize,
    /// Model servers that are listed.
    pub servers: usize,
    /// Releases that are not confirmed.
    pub releases: usize,
    /// Timers that are set.
    pub timers: usize,
    /// Bytes of requests that are not complete.
    pub unfinished_bytes: usize,
}

/// What has happened since the start. The order of the fields is that of the log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests given to the decision module.
    pub arrived: u64,
    /// Streams passed on to their end.
    pub served: u64,
    /// Requests answered 503 by a decision.
    pub shed: u64,
    /// Requests answered 504.
    pub failed: u64,
    /// Streams that broke.
    pub broken: u64,
    /// Clients that disconnected with a request open.
    pub disconnected: u64,
    /// Connections ended with an error, as their requests could not be taken.
    pub rejected: u64,
    /// Attempts sent to model servers.
    pub attempts: u64,
    /// Requests whose state was to be released.
    pub releases: u64,
    /// Calls made for releases.
    pub release_calls: u64,
    /// Releases that a model server has confirmed.
    pub releases_confirmed: u64,
    /// Releases confirmed later than the platform allows, counted from their begin.
    pub releases_late: u64,
    /// Releases given up without a response, or dropped at the table's bound.
    pub releases_unconfirmed: u64,
}

/// When the counts are logged.
#[derive(Debug)]
pub(crate) struct CountsLog {
    logged: RequestCounts,
    next_at: Micros,
}

impl CountsLog {
    pub(crate) fn new(now: Micros) -> CountsLog {
        CountsLog {
            logged: RequestCounts::default(),
            next_at: now.after(COUNTS_EVERY_SECS),
        }
    }

    /// The line to log, where counts have changed and the last line is old enough. A process that is killed has no
    /// last word, so that its log holds counts a few seconds old.
    pub(crate) fn line(&mut self, now: Micros, counts: RequestCounts) -> Option<String> {
        if now < self.next_at || self.logged == counts {
            return None;
        }
        (self.logged, self.next_at) = (counts, now.after(COUNTS_EVERY_SECS));
        Some(format!("counts {counts:?}"))
    }
}
