//! Client side of connections: WebSocket connections and plain HTTP GET requests, with or without TLS.

use std::io;
use std::net::{TcpStream, ToSocketAddrs};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustls::ClientConfig;
use tungstenite::protocol::Role;

use crate::http;
use crate::socket::{self, Limits, Outbox, Reader, UnsentCallback};
use crate::wire::Transport;

/// Opens a plaintext WebSocket connection within `timeout`. `unsent` is called for messages that expire in the send queue.
///
/// # Errors
/// If the address cannot be resolved, the server refuses the connection or the upgrade, or the timeout expires.
pub fn dial(
    endpoint: &str,
    path: &str,
    timeout: Duration,
    limits: Limits,
    unsent: Option<UnsentCallback>,
) -> io::Result<(Reader, Outbox)> {
    dial_with_options(
        endpoint,
        path,
        &DialOptions::default(),
        timeout,
        limits,
        unsent,
    )
}

/// Authentication and encryption of a connection.
#[derive(Clone, Default)]
pub struct DialOptions {
    /// Bearer token sent with the upgrade request.
    pub token: Option<String>,
    /// TLS configuration and the name that the server's certificate must be valid for; `None` connects without TLS.
    pub tls: Option<(Arc<ClientConfig>, String)>,
}

/// Opens a WebSocket connection like [`dial`], with a token or TLS.
///
/// # Errors
/// As for [`dial`]; also if the token cannot be sent in a header or the server's certificate is not valid for its name.
pub fn dial_with_options(
    endpoint: &str,
    path: &str,
    options: &DialOptions,
    timeout: Duration,
    limits: Limits,
    unsent: Option<UnsentCallback>,
) -> io::Result<(Reader, Outbox)> {
    let (transport, left) = connect_and_upgrade(endpoint, path, options, timeout)?;
    socket::start(transport, left, Role::Client, limits, unsent)
}

/// Connects and performs the WebSocket upgrade without starting a socket's threads. Returns the transport and the bytes
/// read beyond the upgrade response.
///
/// # Errors
/// As for [`dial_with_options`].
pub fn connect_and_upgrade(
    endpoint: &str,
    path: &str,
    options: &DialOptions,
    timeout: Duration,
) -> io::Result<(Transport, Vec<u8>)> {
    let deadline = Instant::now() + timeout;
    let transport = connect(endpoint, options, timeout, deadline)?;
    let left = http::request_upgrade(
        &transport,
        endpoint,
        path,
        options.token.as_deref(),
        deadline,
    )?;
    Ok((transport, left))
}

fn connect(
    endpoint: &str,
    options: &DialOptions,
    timeout: Duration,
    deadline: Instant,
) -> io::Result<Transport> {
    let no_address = || {
        io::Error::new(
            io::ErrorKind::NotFound,
            format!("'{endpoint}' resolves to no address"),
        )
    };
    let address = endpoint.to_socket_addrs()?.next().ok_or_else(no_address)?;
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    match &options.tls {
        None => Ok(stream.into()),
        Some((config, name)) => Transport::connect(stream, Arc::clone(config), name, deadline),
    }
}

/// Sends an HTTP GET request and returns the body of the response. The whole exchange takes at most `timeout`, the body at
/// most `max_bytes` bytes.
///
/// # Errors
/// On a socket error, a status other than 200, or a body that is too long or incomplete.
pub fn get(
    endpoint: &str,
    path: &str,
    options: &DialOptions,
    timeout: Duration,
    max_bytes: usize,
) -> io::Result<Vec<u8>> {
    let deadline = Instant::now() + timeout;
    http::get(
        &connect(endpoint, options, timeout, deadline)?,
        endpoint,
        path,
        deadline,
        max_bytes,
    )
}
