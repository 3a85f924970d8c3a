//! Bounds and permissions that the sockets' side keeps.

use crate::error::Result;
use crate::facts::RawSettings;

/// Seconds after which a connection that has not come up never does, where the settings do not say.
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 0.25;
/// Seconds after which an idle connection is closed, where the settings do not say.
const DEFAULT_IDLE_S: f64 = 15.0;
/// Requests open at once, where the settings do not say.
const DEFAULT_OPEN_REQUESTS: f64 = 20_000.0;
/// The most requests open at once that the settings may ask for.
const MAX_OPEN_REQUESTS: f64 = 1e6;

/// Bounds and permissions that the sockets' side keeps.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// A connection that has not come up after this never does, seconds.
    pub connect_timeout_s: f64,
    /// A connection idle for this is closed by the other side, seconds.
    pub idle_timeout_s: f64,
    /// Requests open at once.
    pub max_open_requests: usize,
    /// Clients may be given a time to stay away.
    pub sends_retry_after: bool,
    /// Dispatchers may send each other messages.
    pub allows_peer_messages: bool,
    /// Clients ask for the rest of a stream that broke.
    pub clients_resume: bool,
    /// This dispatcher's number among them.
    pub dispatcher_index: usize,
}

/// The bounds of the sockets' side.
///
/// # Errors
/// A value that cannot be read.
pub fn read_bounds(facts: &RawSettings) -> Result<Bounds> {
    Ok(Bounds {
        connect_timeout_s: connect_timeout_s(facts)?,
        idle_timeout_s: facts.number_or("limits.connIdleS", DEFAULT_IDLE_S)?,
        max_open_requests: open_requests(facts)?,
        sends_retry_after: facts.flag_or("limits.retryAfter", false)?,
        allows_peer_messages: facts.flag_or("limits.peers", false)?,
        clients_resume: facts.flag_or("extra.resume", false)?,
        dispatcher_index: facts.count_or_zero("me")? as usize,
    })
}

fn open_requests(facts: &RawSettings) -> Result<usize> {
    let requests = facts.number_or("limits.mostHeld", DEFAULT_OPEN_REQUESTS)?;
    Ok(requests.clamp(1.0, MAX_OPEN_REQUESTS) as usize)
}

pub(crate) fn connect_timeout_s(facts: &RawSettings) -> Result<f64> {
    facts.number_or("limits.connectTimeoutS", DEFAULT_CONNECT_TIMEOUT_S)
}
