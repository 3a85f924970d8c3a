//! The discovery client: the address of discovery, the watch over it, and the endpoints that it lists.

use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::ServerEntry;

use crate::discovery::{AppliedList, EndpointList, Endpoints};
use crate::discovery_watch::{call, DiscoveryWatch, WatchProgress};
use crate::types::{Command, ConnId, Level};

/// Owner of the endpoint list.
#[derive(Debug)]
pub(crate) struct DiscoveryClient {
    address: SocketAddr,
    watch: DiscoveryWatch,
    endpoints: Endpoints,
    /// A list has been taken over, from the configuration or from discovery.
    known: bool,
}

impl DiscoveryClient {
    pub(crate) fn new(address: SocketAddr, watch: DiscoveryWatch) -> DiscoveryClient {
        DiscoveryClient {
            address,
            watch,
            endpoints: Endpoints::default(),
            known: false,
        }
    }

    /// Whether there is a list.
    pub(crate) fn is_known(&self) -> bool {
        self.known
    }

    pub(crate) fn endpoints(&self) -> &Endpoints {
        &self.endpoints
    }

    /// Whether a connection is that of the watch.
    pub(crate) fn owns_connection(&self, conn: ConnId) -> bool {
        self.watch.conn() == Some(conn)
    }

    /// Takes over the list that the configuration holds.
    pub(crate) fn load(&mut self, now: Micros, list: EndpointList) -> Vec<ServerEntry> {
        self.known = true;
        self.endpoints.apply(now, list).entries
    }

    /// Takes over a list from discovery.
    ///
    /// # Errors
    /// A version that goes back.
    pub(crate) fn apply(&mut self, now: Micros, list: EndpointList) -> Result<AppliedList, String> {
        if list.version < self.endpoints.version() {
            return Err(format!(
                "version {} comes after {}",
                list.version,
                self.endpoints.version()
            ));
        }
        self.known = true;
        Ok(self.endpoints.apply(now, list))
    }

    /// The request of the watch, for changes since the version at hand.
    pub(crate) fn watch_request(&self) -> Vec<u8> {
        call(self.endpoints.version())
    }

    /// Takes bytes of the watch's response.
    pub(crate) fn receive(&mut self, now: Micros, bytes: &[u8]) -> WatchProgress {
        self.watch.receive(now, bytes)
    }

    /// Discovery has sent a complete line, if only an empty one.
    pub(crate) fn record_notification(&mut self, now: Micros) {
        self.endpoints.record_notification(now);
    }

    /// Why the watch has to be restarted, where it has brought nothing in time.
    pub(crate) fn overdue_cause(&self, now: Micros) -> Option<&'static str> {
        self.watch.overdue_cause(now)
    }

    /// Whether the watch is to be begun.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        self.watch.is_due(now)
    }

    /// Begins the watch on a new connection.
    pub(crate) fn start_watch(&mut self, now: Micros, conn: ConnId, commands: &mut Vec<Command>) {
        self.watch.start(now, conn);
        commands.push(Command::Connect {
            conn,
            to: self.address,
        });
    }

    /// Ends the watch, to be begun again after a backoff; the list stays.
    pub(crate) fn restart_watch(&mut self, now: Micros, cause: &str, commands: &mut Vec<Command>) {
        let (at, rev) = (self.address, self.endpoints.version());
        let cause = format!("discovery at {at}, after version {rev}: {cause}");
        if let Some(text) = self.watch.rate_limited_log_line(now, &cause) {
            commands.push(Command::Log {
                level: Level::Warn,
                text: format!("{text}; the list stays and the watch is begun anew"),
            });
        }
        if let Some(conn) = self.watch.end(now) {
            commands.push(Command::Close { conn });
        }
    }

    /// Follows a new address; false where it is the same.
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
            text: format!("discovery is at {address} now"),
        });
        true
    }

    /// The time for which a timer has to be set, if none is set that is as early.
    pub(crate) fn next_timer(&mut self, now: Micros) -> Option<Micros> {
        self.watch.schedule_timer(now)
    }
}
