//! Log of the model servers that are warming up: what each of them was sent by this node, by kind, and how much in one
//! window. One line is logged when a start is received and one when the server is warm or its process has ended.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{ServerId, ServerStatus, SlowStart, SlowStartStatus};

use crate::discovery::{Endpoint, Endpoints};

/// Most servers whose warm-up is followed at a time; the others are counted.
const MAX_SERVERS: usize = 1024;
/// Most requests of one window whose times are kept for one server.
const MAX_WINDOW_REQUESTS: usize = 4096;

/// What was sent to a warming server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SentKind {
    /// The first attempt of a request.
    First,
    /// A further attempt at a prefill server.
    Retry,
    /// An attempt at a decode server.
    Decode,
    HealthCheck,
    Release,
}

/// Requests sent to a warming server, by kind.
#[derive(Clone, Copy, Debug, Default)]
struct SentCounts {
    first: u64,
    retry: u64,
    decode: u64,
    health_checks: u64,
    releases: u64,
}

/// How a warm-up ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WarmUpEnd {
    Warm,
    Draining,
    Removed,
    Restarted,
}

impl fmt::Display for WarmUpEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WarmUpEnd::Warm => "warm",
            WarmUpEnd::Draining => "draining",
            WarmUpEnd::Removed => "removed",
            WarmUpEnd::Restarted => "restarted",
        })
    }
}

#[derive(Debug)]
struct ColdServer {
    uid: String,
    start_s: f64,
    notified_at: Micros,
    sent: SentCounts,
    /// Attempts of which the last byte was written, and the longest time from the choice of the server until then.
    written: u64,
    slowest_write_s: f64,
    /// Times of the attempts in the present window.
    window: VecDeque<Micros>,
    max_in_window: usize,
}

/// Totals over all warm-ups since the node was created. The log line prints the fields under their own names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WarmUpCounts {
    /// Starts of model servers that were received.
    pub starts: u64,
    /// Warm-ups that ended with a warm server.
    pub warm: u64,
    /// Warm-ups that ended with another start, a drain or a removal.
    pub interrupted: u64,
    /// Attempts sent to warming servers.
    pub attempts: u64,
    /// Warm-ups that were not followed because too many servers were warming up.
    pub not_followed: u64,
}

/// Follows the warm-up of model servers.
#[derive(Debug)]
pub(crate) struct ColdServers {
    settings: SlowStart,
    servers: BTreeMap<ServerId, ColdServer>,
    counts: WarmUpCounts,
}

impl ColdServers {
    pub(crate) fn new(settings: SlowStart) -> ColdServers {
        ColdServers {
            settings,
            servers: BTreeMap::new(),
            counts: WarmUpCounts::default(),
        }
    }

    pub(crate) fn counts(&self) -> WarmUpCounts {
        self.counts
    }

    fn is_warming(&self, now: Micros, endpoint: &Endpoint) -> bool {
        endpoint.start_s > 0.0 && now.seconds() < endpoint.start_s + self.settings.warm_after_s
    }

    /// Compares the followed servers with the endpoint list and returns the log lines for warm-ups that have begun or
    /// ended. `status` returns what slow start assumes of a server.
    pub(crate) fn update(
        &mut self,
        now: Micros,
        endpoints: &Endpoints,
        status: impl Fn(ServerId) -> Option<SlowStartStatus>,
    ) -> Vec<String> {
        let mut lines = Vec::new();
        let ended: Vec<(ServerId, WarmUpEnd)> = self
            .servers
            .iter()
            .filter_map(|(id, cold)| Some((*id, self.end_reason(now, cold, endpoints.get(*id))?)))
            .collect();
        for (id, reason) in ended {
            if let Some(cold) = self.servers.remove(&id) {
                if reason == WarmUpEnd::Warm {
                    self.counts.warm += 1;
                } else {
                    self.counts.interrupted += 1;
                }
                lines.push(cold.end_line(now, reason, status(id)));
            }
        }
        let is_new = |(id, endpoint): &(ServerId, &Endpoint)| {
            self.is_warming(now, endpoint)
                && endpoint.status == ServerStatus::Ready
                && !self.servers.contains_key(id)
        };
        let started: Vec<_> = endpoints.iter().filter(is_new).collect();
        for (id, endpoint) in started {
            self.counts.starts += 1;
            if self.servers.len() >= MAX_SERVERS {
                self.counts.not_followed += 1;
                continue;
            }
            let cold = ColdServer::new(now, endpoint);
            lines.push(cold.start_line(id));
            self.servers.insert(id, cold);
        }
        lines
    }

    fn end_reason(
        &self,
        now: Micros,
        cold: &ColdServer,
        endpoint: Option<&Endpoint>,
    ) -> Option<WarmUpEnd> {
        let Some(endpoint) = endpoint else {
            return Some(WarmUpEnd::Removed);
        };
        if endpoint.start_s != cold.start_s {
            return Some(WarmUpEnd::Restarted);
        }
        if endpoint.status != ServerStatus::Ready {
            return Some(WarmUpEnd::Draining);
        }
        (!self.is_warming(now, endpoint)).then_some(WarmUpEnd::Warm)
    }

    /// Counts what is sent to a server, if the server is followed.
    pub(crate) fn record_sent(&mut self, now: Micros, server: ServerId, kind: SentKind) {
        let window_s = self.settings.window_s;
        let Some(cold) = self.servers.get_mut(&server) else {
            return;
        };
        match kind {
            SentKind::First => cold.sent.first += 1,
            SentKind::Retry => cold.sent.retry += 1,
            SentKind::Decode => cold.sent.decode += 1,
            SentKind::HealthCheck => return cold.sent.health_checks += 1,
            SentKind::Release => return cold.sent.releases += 1,
        }
        self.counts.attempts += 1;
        cold.count_in_window(now, window_s);
    }

    /// Counts an attempt of which the last byte was written, if its server is followed.
    pub(crate) fn record_written(&mut self, now: Micros, server: ServerId, chosen_at: Micros) {
        if let Some(cold) = self.servers.get_mut(&server) {
            cold.written += 1;
            cold.slowest_write_s = cold.slowest_write_s.max(now.since(chosen_at));
        }
    }
}

impl ColdServer {
    fn new(now: Micros, endpoint: &Endpoint) -> ColdServer {
        ColdServer {
            uid: endpoint.uid.clone(),
            start_s: endpoint.start_s,
            notified_at: now,
            sent: SentCounts::default(),
            written: 0,
            slowest_write_s: 0.0,
            window: VecDeque::new(),
            max_in_window: 0,
        }
    }

    fn count_in_window(&mut self, now: Micros, window_s: f64) {
        while self
            .window
            .front()
            .is_some_and(|at| now.since(*at) >= window_s)
        {
            self.window.pop_front();
        }
        if self.window.len() < MAX_WINDOW_REQUESTS {
            self.window.push_back(now);
        }
        self.max_in_window = self.max_in_window.max(self.window.len());
    }

    fn notified_after_s(&self) -> f64 {
        self.notified_at.seconds() - self.start_s
    }

    fn start_line(&self, id: ServerId) -> String {
        let (uid, start_s, notified_after_s) = (&self.uid, self.start_s, self.notified_after_s());
        format!("server {uid} is warming up: id={id} start={start_s:.3} notified_after_s={notified_after_s:.3}")
    }

    fn end_line(&self, now: Micros, reason: WarmUpEnd, status: Option<SlowStartStatus>) -> String {
        let (uid, start_s, sent) = (&self.uid, self.start_s, self.sent);
        let age_s = now.seconds() - start_s;
        let notified_after_s = self.notified_after_s();
        let limit = status.map_or_else(String::new, |status| format!(" {status}"));
        format!(
            "warm-up of server {uid} ended: reason={reason} start={start_s:.3} age_s={age_s:.3} \
             notified_after_s={notified_after_s:.3} first={} retry={} decode={} health_checks={} releases={} \
             written={} slowest_write_s={:.3} max_in_window={}{limit}",
            sent.first,
            sent.retry,
            sent.decode,
            sent.health_checks,
            sent.releases,
            self.written,
            self.slowest_write_s,
            self.max_in_window,
        )
    }
}
