//! Settings of overload control, and the commands and events that it exchanges with the dispatcher's core. Commands and events are
//! recorded as JSON under their serialized names, and later versions have to read them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::OverloadError;

/// The settings table `[cluster.overload]`; overload control is enabled if the table is present.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Prompt tokens that a server of weight 1 prefills per second. An initial estimate: the capacity is corrected by what servers
    /// complete.
    pub read_tokens_per_s: f64,
    /// Output tokens that a server of weight 1 generates per second. An initial estimate like `read_tokens_per_s`.
    pub write_tokens_per_s: f64,
    /// Fraction of the shortest time-to-first-token objective for which work may wait at servers.
    pub wait_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            read_tokens_per_s: 18_000.0,
            write_tokens_per_s: 3_200.0,
            wait_share: 0.2,
        }
    }
}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    /// Names the first value that is out of range.
    pub fn check(&self) -> Result<(), OverloadError> {
        let is_rate = |v: f64| v.is_finite() && (1.0..=1e9).contains(&v);
        match self {
            s if !is_rate(s.read_tokens_per_s) || !is_rate(s.write_tokens_per_s) => {
                Err(OverloadError::InvalidTokenRate)
            }
            s if !(0.02..=1.0).contains(&s.wait_share) => Err(OverloadError::InvalidWaitShare),
            _ => Ok(()),
        }
    }
}

/// A non-negative number stored as an integer number of millionths, so that a recorded value is read back exactly. NaN and negative
/// numbers become 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Millionths(u64);

impl Millionths {
    pub fn of(value: f64) -> Millionths {
        // A float-to-integer cast saturates at the integer's bounds.
        Millionths((value * 1e6).round() as u64)
    }

    pub fn get(self) -> f64 {
        self.0 as f64 / 1e6
    }

    pub(crate) fn raw(self) -> u64 {
        self.0
    }

    pub(crate) fn from_raw(raw: u64) -> Millionths {
        Millionths(raw)
    }
}

/// The load that this dispatcher measured lately: the values of its next [`crate::LoadReport`], and counters for the log.
///
/// Work is in seconds of a server of weight 1.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LocalLoad {
    /// Work, per second, of all requests that are not retries, whether admitted or not, by priority level.
    pub demand: Vec<Millionths>,
    /// Work of admitted requests per second.
    #[serde(rename = "taken")]
    pub admitted: Millionths,
    /// Work of requests whose first token was received, per second.
    pub completed: Millionths,
    /// Work of admitted requests that wait for their first token.
    pub backlog: Millionths,
    /// Mean work of the requests in `backlog`; 0 without any.
    #[serde(rename = "each")]
    pub mean_request_work: Millionths,
    /// Work queued at all servers according to the servers' own load reports.
    #[serde(rename = "waits")]
    pub queued_at_servers: Millionths,
    /// Total weight of the ready servers that can prefill.
    #[serde(rename = "hosts")]
    pub server_weight: Millionths,
    /// Mean time to first token as a fraction of the latency objective, weighted by the requests' work.
    #[serde(rename = "delay")]
    pub ttft_ratio: Millionths,
    /// Admitted work of the last 5 s that retries nothing.
    #[serde(rename = "fresh")]
    pub new_work: Millionths,
    /// Work of the last 5 s that was charged to the retry budget.
    #[serde(rename = "repeats")]
    pub retry_work: Millionths,
    /// Requests rejected since the previous measurement, for the log.
    #[serde(rename = "refused_count")]
    pub rejected_count: u32,
    /// Requests admitted since the previous measurement, for the log.
    #[serde(rename = "taken_count")]
    pub admitted_count: u32,
    /// Retries admitted since the previous measurement, for the log.
    #[serde(rename = "repeat_count")]
    pub retry_count: u32,
}

/// From the core to overload control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// The load measured by this dispatcher, sent several times per second.
    #[serde(rename = "Seen")]
    LocalLoad(LocalLoad),
    /// A server answered a health check that was sent because of [`Event::SendHealthCheck`].
    #[serde(rename = "Probed")]
    HealthCheckAnswered {
        #[serde(rename = "host")]
        server: u32,
        report: Vec<Millionths>,
    },
    /// This dispatcher needs a current report of a server.
    #[serde(rename = "Probe")]
    RequestHealthCheck {
        #[serde(rename = "host")]
        server: u32,
    },
    /// Several consecutive attempts of this dispatcher at a server failed, or a server whose attempts in flight are limited by
    /// [`Event::RecoveryLimit`] answered one.
    #[serde(rename = "Tried")]
    AttemptEnded {
        #[serde(rename = "host")]
        server: u32,
        #[serde(rename = "well")]
        succeeded: bool,
    },
}

/// The admission threshold of the cluster and this dispatcher's part of the shared limits. Times are of the process's own clock, work
/// is in seconds of a server of weight 1.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdmissionThreshold {
    /// When the threshold expires.
    #[serde(rename = "until")]
    pub valid_until: Duration,
    /// Requests below this rank of the priority order are rejected; 0 admits all.
    pub rank: Millionths,
    /// Work that the servers can do for the whole cluster, per second.
    pub capacity: Millionths,
    /// The part of `capacity` that is reserved for retries of rejected requests, per second.
    #[serde(rename = "free")]
    pub retry_capacity: Millionths,
    /// Most work of this dispatcher's admitted requests that may wait at servers for the first token.
    #[serde(rename = "room")]
    pub max_backlog: Millionths,
    /// Work admitted by all dispatchers in the last 5 s that retries nothing.
    #[serde(rename = "fresh")]
    pub new_work: Millionths,
    /// Fraction of the cluster's retry budget that is leased to this dispatcher, on top of its unleased minimum.
    #[serde(rename = "part")]
    pub budget_share: Millionths,
    /// When the lease on `budget_share` expires.
    #[serde(rename = "part_until")]
    pub budget_share_until: Duration,
    /// Number of reachable dispatchers, including this one.
    pub members: u32,
    /// Whether this dispatcher belongs to a majority of the cluster.
    #[serde(rename = "together")]
    pub has_quorum: bool,
}

/// From overload control to the core. Times are of the process's own clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Replaces the admission threshold.
    #[serde(rename = "Cut")]
    Threshold(AdmissionThreshold),
    /// Limits this dispatcher's attempts in flight at a server that failed, until a time.
    #[serde(rename = "Trial")]
    RecoveryLimit {
        #[serde(rename = "host")]
        server: u32,
        #[serde(rename = "many")]
        max_in_flight: u32,
        until: Duration,
    },
    /// This dispatcher has to send a health check to a server on behalf of the whole cluster.
    #[serde(rename = "Probe")]
    SendHealthCheck {
        #[serde(rename = "host")]
        server: u32,
    },
    /// The report with which a server answered a health check of any dispatcher, and its age.
    #[serde(rename = "Report")]
    ServerReport {
        #[serde(rename = "host")]
        server: u32,
        age: Duration,
        report: Vec<Millionths>,
    },
}
