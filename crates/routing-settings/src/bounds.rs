//! Connection limits and permissions, which apply outside the decision module.

use crate::error::Result;
use crate::facts::RawSettings;

/// Seconds after which a connection that is not established counts as failed, unless configured.
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 0.25;
/// Seconds after which the server closes an idle connection, unless configured.
const DEFAULT_IDLE_TIMEOUT_S: f64 = 15.0;
/// Maximum number of concurrently open requests, unless configured.
const DEFAULT_MAX_OPEN_REQUESTS: f64 = 20_000.0;
/// Largest configurable maximum of concurrently open requests; larger values are reduced to it.
const MAX_OPEN_REQUESTS: f64 = 1e6;

/// Connection limits and permissions of a dispatcher, as opposed to the settings of its routing
/// decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time after which a connection that is not established counts as failed, seconds.
    pub connect_timeout_s: f64,
    /// Time after which a server closes an idle connection, seconds.
    pub idle_timeout_s: f64,
    /// Maximum number of concurrently open requests; further ones are rejected.
    pub max_open_requests: usize,
    /// Whether rejections may tell clients how long to wait before a retry.
    pub sends_retry_after: bool,
    /// Whether dispatchers may send each other messages.
    pub allows_peer_messages: bool,
    /// Whether clients resume a stream that broke by requesting the rest of it.
    pub clients_resume: bool,
    /// Index of this dispatcher among all dispatchers, from 0.
    pub dispatcher_index: usize,
}

/// Reads the connection limits and permissions of a dispatcher.
///
/// # Errors
/// Fails on a value that cannot be parsed.
pub fn read_bounds(settings: &RawSettings) -> Result<Bounds> {
    Ok(Bounds {
        connect_timeout_s: connect_timeout_s(settings)?,
        idle_timeout_s: settings.number_or("limits.connIdleS", DEFAULT_IDLE_TIMEOUT_S)?,
        max_open_requests: max_open_requests(settings)?,
        sends_retry_after: settings.flag_or("limits.retryAfter", false)?,
        allows_peer_messages: settings.flag_or("limits.peers", false)?,
        clients_resume: settings.flag_or("extra.resume", false)?,
        dispatcher_index: settings.count_or_zero("me")? as usize,
    })
}

fn max_open_requests(settings: &RawSettings) -> Result<usize> {
    let requests = settings.number_or("limits.mostHeld", DEFAULT_MAX_OPEN_REQUESTS)?;
    Ok(requests.clamp(1.0, MAX_OPEN_REQUESTS) as usize)
}

pub(crate) fn connect_timeout_s(settings: &RawSettings) -> Result<f64> {
    settings.number_or("limits.connectTimeoutS", DEFAULT_CONNECT_TIMEOUT_S)
}
