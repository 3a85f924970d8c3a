//! Bounds and permissions that the sockets' side keeps.

use crate::error::Result;
use crate::facts::Facts;

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
    pub idle_s: f64,
    /// Requests open at once.
    pub most_held: usize,
    /// Clients may be given a time to stay away.
    pub retry_after: bool,
    /// Dispatchers may send each other messages.
    pub peers: bool,
    /// Clients ask for the rest of a stream that broke.
    pub resumes: bool,
    /// This dispatcher's number among them.
    pub me: usize,
}

/// The bounds of the sockets' side.
///
/// # Errors
/// A value that cannot be read.
pub fn read_bounds(facts: &Facts) -> Result<Bounds> {
    Ok(Bounds {
        connect_timeout_s: connect_timeout_s(facts)?,
        idle_s: facts.number_or("limits.connIdleS", DEFAULT_IDLE_S)?,
        most_held: open_requests(facts)?,
        retry_after: facts.flag_or("limits.retryAfter", false)?,
        peers: facts.flag_or("limits.peers", false)?,
        resumes: facts.flag_or("extra.resume", false)?,
        me: facts.count_or_zero("me")? as usize,
    })
}

fn open_requests(facts: &Facts) -> Result<usize> {
    let requests = facts.number_or("limits.mostHeld", DEFAULT_OPEN_REQUESTS)?;
    Ok(requests.clamp(1.0, MAX_OPEN_REQUESTS) as usize)
}

pub(crate) fn connect_timeout_s(facts: &Facts) -> Result<f64> {
    facts.number_or("limits.connectTimeoutS", DEFAULT_CONNECT_TIMEOUT_S)
}
