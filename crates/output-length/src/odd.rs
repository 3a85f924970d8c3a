//! Detects implausible reports of model servers and peers. They are not learnt from, and their senders are named in the log.

use std::collections::BTreeMap;

use bitternlatch_membership::NameKey;

use crate::error::OutputLengthError;
use crate::io::{FinishedResponse, ResponseEnd};

/// Limit of model servers, and of peers, whose reports are counted individually; further ones are never named in the log.
const MAX_SENDERS: usize = 64;
/// Number of implausible reports at which a model server is named in the log: a single one may be a transient fault.
const LOG_SERVER_AT: u32 = 3;

/// Whether a model server's report of a response is impossible: no tokens despite text, or more tokens than the limit of the
/// request. A response whose client disconnected is never implausible, as the dispatcher estimates the tokens of such a response.
pub(crate) fn is_implausible(response: &FinishedResponse) -> bool {
    let no_tokens = response.output_tokens == 0
        && response.text_bytes > 0
        && response.end != ResponseEnd::ClientDisconnected;
    no_tokens
        || response.output_tokens > response.max_output_tokens
            && response.end != ResponseEnd::ClientDisconnected
}

/// Numbers of implausible reports by sender.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutlierReports {
    servers: BTreeMap<String, u32>,
    peers: BTreeMap<NameKey, u32>,
    /// Number of implausible reports from all senders.
    pub total: u64,
}

impl OutlierReports {
    /// Counts an implausible report of a model server; returns whether the server is to be named in the log now.
    pub fn add_server(&mut self, server: &str) -> bool {
        self.total += 1;
        if self.servers.len() >= MAX_SENDERS && !self.servers.contains_key(server) {
            return false;
        }
        let reports = self.servers.entry(server.to_string()).or_default();
        *reports = reports.saturating_add(1);
        *reports == LOG_SERVER_AT
    }

    /// Counts an invalid message of a peer; returns whether the peer is to be named in the log, as it is for the first one.
    pub fn add_peer(&mut self, name: NameKey, _error: &OutputLengthError) -> bool {
        self.total += 1;
        if self.peers.len() >= MAX_SENDERS && !self.peers.contains_key(&name) {
            return false;
        }
        let reports = self.peers.entry(name).or_default();
        *reports = reports.saturating_add(1);
        *reports == 1
    }
}
