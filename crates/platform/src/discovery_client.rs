//! The discovery client: the address of the discovery agent, the watch on it and the endpoint list it delivers.
//!
//! A dispatcher counts as notified of all that its agent has, from the first moment of a new process. The list cached in
//! the configuration may be older than that, so it is not used until the agent has sent a line to this process. Until
//! then the watch asks for the full list, which the agent sends at once even if nothing has changed.

use std::net::SocketAddr;

use bitternlatch_core::Micros;

use crate::discovery::{AppliedList, EndpointList, Endpoints};
use crate::discovery_watch::{watch_request, DiscoveryWatch, WatchProgress};
use crate::types::{Command, ConnId, Level};

/// Longest time from the start until the node reports ready, seconds, whether or not discovery has answered by then.
/// A restarted dispatcher has to be ready within 6 s.
const READINESS_TIMEOUT_SECS: f64 = 5.0;

/// Owns the endpoint list and keeps it up to date.
#[derive(Debug)]
pub(crate) struct DiscoveryClient {
    address: SocketAddr,
    watch: DiscoveryWatch,
    endpoints: Endpoints,
    /// List of the configuration, until an endpoint list is confirmed.
    cached_list: Option<EndpointList>,
    /// Whether an endpoint list has been applied that discovery has sent or confirmed.
    has_list: bool,
    /// When the client was created.
    started_at: Micros,
}

impl DiscoveryClient {
    pub(crate) fn new(
        now: Micros,
        address: SocketAddr,
        watch: DiscoveryWatch,
        cached_list: Option<EndpointList>,
    ) -> DiscoveryClient {
        DiscoveryClient {
            address,
            watch,
            endpoints: Endpoints::default(),
            cached_list,
            has_list: false,
            started_at: now,
        }
    }

    /// Whether an endpoint list is known that discovery has sent or confirmed.
    pub(crate) fn has_list(&self) -> bool {
        self.has_list
    }

    /// When the node reports ready at the latest.
    pub(crate) fn readiness_deadline(&self) -> Micros {
        self.started_at.after(READINESS_TIMEOUT_SECS)
    }

    pub(crate) fn endpoints(&self) -> &Endpoints {
        &self.endpoints
    }

    /// Whether this connection is the watch's.
    pub(crate) fn owns_connection(&self, conn: ConnId) -> bool {
        self.watch.conn() == Some(conn)
    }

    /// Applies an endpoint list from discovery. The first one is combined with the list of the configuration.
    ///
    /// # Errors
    /// A list whose version is older than the current one.
    pub(crate) fn apply(&mut self, now: Micros, list: EndpointList) -> Result<AppliedList, String> {
        let list = match &self.cached_list {
            Some(cached) => list.after_cached(cached)?,
            None => list.not_older_than(self.endpoints.version())?,
        };
        Ok(self.apply_confirmed(now, list))
    }

    /// Records that discovery has sent a complete line, even an empty one that reports no change. If no list has come
    /// before, the line confirms the list of the configuration, which is applied and returned.
    pub(crate) fn record_notification(&mut self, now: Micros) -> Option<AppliedList> {
        let cached = self.cached_list.take();
        let applied = cached.map(|list| self.apply_confirmed(now, list));
        self.endpoints.record_notification(now);
        applied
    }

    fn apply_confirmed(&mut self, now: Micros, list: EndpointList) -> AppliedList {
        (self.cached_list, self.has_list) = (None, true);
        self.endpoints.apply(now, list)
    }

    /// Describes the first endpoint list after the start, for the log.
    pub(crate) fn first_list_line(&self, now: Micros) -> String {
        let after_s = now.since(self.started_at);
        format!(
            "discovery at {} sent its first line {after_s:.3} s after the start: {}",
            self.address, self.endpoints
        )
    }

    /// Returns the watch request, which asks for changes since the current version, or for the full list if none is
    /// confirmed yet.
    pub(crate) fn watch_request(&self) -> Vec<u8> {
        watch_request(self.endpoints.version())
    }

    /// Parses received bytes of the watch's response.
    pub(crate) fn receive(&mut self, now: Micros, bytes: &[u8]) -> WatchProgress {
        self.watch.receive(now, bytes)
    }

    /// Returns why the watch has to be restarted if it has missed a timeout.
    pub(crate) fn overdue_cause(&self, now: Micros) -> Option<&'static str> {
        self.watch.overdue_cause(now)
    }

    /// Whether it is time to start the watch.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        self.watch.is_due(now)
    }

    /// Starts the watch on a new connection.
    pub(crate) fn start_watch(&mut self, now: Micros, conn: ConnId, commands: &mut Vec<Command>) {
        self.watch.start(now, conn);
        commands.push(Command::Connect {
            conn,
            to: self.address,
        });
    }

    /// Ends the watch and logs the cause. It starts again after a back-off; the endpoint list is kept.
    pub(crate) fn restart_watch(&mut self, now: Micros, cause: &str, commands: &mut Vec<Command>) {
        let (at, rev) = (self.address, self.endpoints.version());
        let cause = format!("discovery at {at}, after version {rev}: {cause}");
        let consequence = if self.has_list {
            "the endpoint list is kept and the watch is restarted"
        } else {
            "no endpoint list is confirmed and the watch is restarted"
        };
        if let Some(text) = self.watch.rate_limited_log_line(now, &cause) {
            commands.push(Command::Log {
                level: Level::Warn,
                text: format!("{text}; {consequence}"),
            });
        }
        if let Some(conn) = self.watch.end(now) {
            commands.push(Command::Close { conn });
        }
    }

    /// Changes the discovery address and closes the watch on the old one; returns false if the address is the same.
    pub(crate) fn set_address(
        &mut self,
        now: Micros,
        address: SocketAddr,
        commands: &mut Vec<Command>,
    ) -> bool {
        if address == self.address {
            return false;
        }
        self.address = address;
        if let Some(conn) = self.watch.address_changed(now) {
            commands.push(Command::Close { conn });
        }
        commands.push(Command::Log {
            level: Level::Info,
            text: format!("discovery address changed to {address}"),
        });
        true
    }

    /// Returns the time for which a timer has to be set, or `None` if one is set that is early enough.
    pub(crate) fn next_timer(&mut self, now: Micros) -> Option<Micros> {
        self.watch.schedule_timer(now)
    }
}
