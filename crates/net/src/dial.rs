//! Connects to a WebSocket server as a client.

use std::io;
use std::net::{TcpStream, ToSocketAddrs};
use std::time::{Duration, Instant};

use tungstenite::protocol::Role;

use crate::http;
use crate::socket::{self, Limits, Outbox, Reader, Unsent};

/// Connects and upgrades within a time.
///
/// # Errors
/// An address that is not found, a refused or late connection, an upgrade that is refused or late.
pub fn dial(
    endpoint: &str,
    path: &str,
    within: Duration,
    limits: Limits,
    unsent: Option<Unsent>,
) -> io::Result<(Reader, Outbox)> {
    dial_as(endpoint, path, None, within, limits, unsent)
}

/// As [`dial`], with a bearer token in the upgrade.
///
/// # Errors
/// As [`dial`]; a token that does not fit in a header.
pub fn dial_as(
    endpoint: &str,
    path: &str,
    token: Option<&str>,
    within: Duration,
    limits: Limits,
    unsent: Option<Unsent>,
) -> io::Result<(Reader, Outbox)> {
    let deadline = Instant::now() + within;
    let unknown = || io::Error::new(io::ErrorKind::NotFound, format!("'{endpoint}' has no address"));
    let address = endpoint.to_socket_addrs()?.next().ok_or_else(unknown)?;
    let mut stream = TcpStream::connect_timeout(&address, within)?;
    stream.set_nodelay(true)?;
    let left = http::ask_upgrade(&mut stream, endpoint, path, token, deadline)?;
    socket::start(stream, left, Role::Client, limits, unsent)
}
