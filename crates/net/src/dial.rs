//! Connects to a WebSocket server as a client.

use std::io;
use std::net::{TcpStream, ToSocketAddrs};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustls::ClientConfig;
use tungstenite::protocol::Role;

use crate::http;
use crate::socket::{self, Limits, Outbox, Reader, Unsent};
use crate::wire::Wire;

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
    dial_as(endpoint, path, &Manner::default(), within, limits, unsent)
}

/// How to call a server.
#[derive(Clone, Default)]
pub struct Manner {
    /// Bearer token in the upgrade.
    pub token: Option<String>,
    /// With TLS, and the name that the server has to prove.
    pub tls: Option<(Arc<ClientConfig>, String)>,
}

/// As [`dial`], in a manner.
///
/// # Errors
/// As [`dial`]; a token that does not fit in a header; a server that does not prove its name.
pub fn dial_as(
    endpoint: &str,
    path: &str,
    manner: &Manner,
    within: Duration,
    limits: Limits,
    unsent: Option<Unsent>,
) -> io::Result<(Reader, Outbox)> {
    let (wire, left) = upgraded(endpoint, path, manner, within)?;
    socket::start(wire, left, Role::Client, limits, unsent)
}

/// Connects and upgrades, and leaves the rest to the caller: the connection, and bytes read beyond the upgrade.
///
/// # Errors
/// As [`dial_as`].
pub fn upgraded(
    endpoint: &str,
    path: &str,
    manner: &Manner,
    within: Duration,
) -> io::Result<(Wire, Vec<u8>)> {
    let deadline = Instant::now() + within;
    let wire = connect(endpoint, manner, within, deadline)?;
    let left = http::ask_upgrade(&wire, endpoint, path, manner.token.as_deref(), deadline)?;
    Ok((wire, left))
}

fn connect(
    endpoint: &str,
    manner: &Manner,
    within: Duration,
    deadline: Instant,
) -> io::Result<Wire> {
    let unknown = || {
        io::Error::new(
            io::ErrorKind::NotFound,
            format!("'{endpoint}' has no address"),
        )
    };
    let address = endpoint.to_socket_addrs()?.next().ok_or_else(unknown)?;
    let stream = TcpStream::connect_timeout(&address, within)?;
    stream.set_nodelay(true)?;
    match &manner.tls {
        None => Ok(stream.into()),
        Some((config, name)) => Wire::connect(stream, Arc::clone(config), name, deadline),
    }
}

/// A plain GET within a time and a bound of bytes; gives the body of a 200.
///
/// # Errors
/// As the socket's; an answer other than 200; a body that is too long or ends early.
pub fn get(
    endpoint: &str,
    path: &str,
    manner: &Manner,
    within: Duration,
    most: usize,
) -> io::Result<Vec<u8>> {
    let deadline = Instant::now() + within;
    http::get(
        &connect(endpoint, manner, within, deadline)?,
        endpoint,
        path,
        deadline,
        most,
    )
}
