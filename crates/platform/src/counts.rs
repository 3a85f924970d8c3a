//! Counters and table sizes of the node, for logs and tests.

use bitternlatch_core::Micros;

use crate::cold_servers::WarmUpCounts;

/// Shortest interval between two log lines with the counts, seconds.
const COUNTS_LOG_INTERVAL_SECS: f64 = 10.0;

/// Sizes of the node's tables at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Number of open requests.
    pub requests: usize,
    /// Number of client connections.
    pub clients: usize,
    /// Number of connections to model servers, including idle ones.
    pub server_connections: usize,
    /// Number of model servers in the endpoint list.
    pub servers: usize,
    /// Number of releases that no server has confirmed yet.
    pub releases: usize,
    /// Number of timers that are set.
    pub timers: usize,
    /// Bytes buffered for client requests that are not complete.
    pub unfinished_bytes: usize,
}

/// Totals since the node was created. The log line prints the fields in this order under their own names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests passed to the decision module.
    pub arrived: u64,
    /// Streams forwarded to their end.
    pub served: u64,
    /// Requests that the decision module rejected with 503.
    pub shed: u64,
    /// Requests answered with 504.
    pub failed: u64,
    /// Streams that ended before they were complete.
    pub broken: u64,
    /// Streams ended because no further event came in time.
    pub streams_stalled: u64,
    /// Attempts whose response could not be parsed.
    pub malformed_responses: u64,
    /// Attempts that the dispatcher ended before they had a whole answer.
    pub attempts_abandoned: u64,
    /// Attempts ended because their request had not reached the server when it was no longer needed.
    pub attempts_undelivered: u64,
    /// Clients that disconnected with a request open.
    pub disconnected: u64,
    /// Ids of disconnected clients' requests that were forgotten early, because too many were kept.
    pub ids_forgotten: u64,
    /// Client connections closed with an error response because a request was not acceptable.
    pub rejected: u64,
    /// Clients closed between two requests because no file descriptor was left.
    pub clients_evicted: u64,
    /// Attempts started at model servers.
    pub attempts: u64,
    /// Requests whose KV cache state was to be released.
    pub releases: u64,
    /// Calls made to model servers for releases.
    pub release_calls: u64,
    /// Confirmed calls after which the release is called again, because a state may still appear or was in use.
    pub release_repeats: u64,
    /// Releases that a model server has confirmed.
    pub releases_confirmed: u64,
    /// Releases confirmed later than the platform allows, counted from the start of the release.
    pub releases_late: u64,
    /// Releases whose repetition ended with the process, while an abandoned attempt could still leave a state.
    pub releases_cut_short: u64,
    /// Releases given up after their timeout, or dropped because the table of releases was full.
    pub releases_unconfirmed: u64,
}

/// Decides when the counts are logged.
#[derive(Debug)]
pub(crate) struct CountsLog {
    logged: (RequestCounts, WarmUpCounts),
    next_at: Micros,
}

impl CountsLog {
    pub(crate) fn new(now: Micros) -> CountsLog {
        CountsLog {
            logged: Default::default(),
            next_at: now.after(COUNTS_LOG_INTERVAL_SECS),
        }
    }

    /// Returns the log line if the counts have changed and the interval since the last line has passed. A killed
    /// process logs no final counts, so its log can be a few seconds out of date.
    pub(crate) fn line(
        &mut self,
        now: Micros,
        counts: RequestCounts,
        warm_ups: WarmUpCounts,
    ) -> Option<String> {
        if now < self.next_at || self.logged == (counts, warm_ups) {
            return None;
        }
        (self.logged, self.next_at) = ((counts, warm_ups), now.after(COUNTS_LOG_INTERVAL_SECS));
        Some(format!("counts {counts:?} {warm_ups:?}"))
    }
}
