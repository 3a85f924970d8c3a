//! The discovery client: the address of the discovery agent, the watch on it and the endpoint list it delivers.

use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::ServerEntry;

use crate::discovery::{AppliedList, EndpointList, Endpoints};
use crate::discovery_watch::{watch_request, DiscoveryWatch, WatchProgress};
use crate::types::{Command, ConnId, Level};

/// Owns the endpoint list and keeps it up to date.
#[derive(Debug)]
pub(crate) struct DiscoveryClient {
    address: SocketAddr,
    watch: DiscoveryWatch,
    endpoints: Endpoints,
    /// Whether an endpoint list has been applied, from the configuration or from discovery.
    has_list: bool,
}

impl DiscoveryClient {
    pub(crate) fn new(address: SocketAddr, watch: DiscoveryWatch) -> DiscoveryClient {
        DiscoveryClient {
            address,
            watch,
            endpoints: Endpoints::default(),
            has_list: false,
        }
    }

    /// Whether an endpoint list is known.
    pub(crate) fn has_list(&self) -> bool {
        self.has_list
    }

    pub(crate) fn endpoints(&self) -> &Endpoints {
        &self.endpoints
    }

    /// Whether this connection is the watch's.
    pub(crate) fn owns_connection(&self, conn: ConnId) -> bool {
        self.watch.conn() == Some(conn)
    }

    /// Applies the endpoint list cached in the configuration.
    pub(crate) fn load(&mut self, now: Micros, list: EndpointList) -> Vec<ServerEntry> {
        self.has_list = true;
        self.endpoints.apply(now, list).entries
    }

    /// Applies an endpoint list from discovery.
    ///
    /// # Errors
    /// A list whose version is older than the current one.
    pub(crate) fn apply(&mut self, now: Micros, list: EndpointList) -> Result<AppliedList, String> {
        if list.version < self.endpoints.version() {
            return Err(format!(
                "version {} is older than the current version {}",
                list.version,
                self.endpoints.version()
            ));
        }
        self.has_list = true;
        Ok(self.endpoints.apply(now, list))
    }

    /// Returns the watch request, which asks for changes since the current version.
    pub(crate) fn watch_request(&self) -> Vec<u8> {
        watch_request(self.endpoints.version())
    }

    /// Parses received bytes of the watch's response.
    pub(crate) fn receive(&mut self, now: Micros, bytes: &[u8]) -> WatchProgress {
        self.watch.receive(now, bytes)
    }

    /// Records that discovery has sent a complete line, even an empty one.
    pub(crate) fn record_notification(&mut self, now: Micros) {
        self.endpoints.record_notification(now);
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
        if let Some(text) = self.watch.rate_limited_log_line(now, &cause) {
            commands.push(Command::Log {
                level: Level::Warn,
                text: format!("{text}; the endpoint list is kept and the watch is restarted"),
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
