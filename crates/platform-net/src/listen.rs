//! Opens the listening addresses, also while a previous process still holds them.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use mio::net::TcpListener;
use socket2::{Domain, Socket, Type};

use crate::transient_errors::{is_transient, retry_while};

/// Length of the listener's accept queue. Connections that arrive while the process starts or is delayed wait there.
/// Beyond it connection attempts are dropped, and TCP retries them only after 1, 3 and 7 s. The operating system may
/// cap the length.
const LISTEN_BACKLOG: i32 = 1024;
/// How long to retry an address that is in use: a previous process that is stopping, or that has just been killed, may
/// still hold it.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(5);

/// Opens a listener with an accept queue of `LISTEN_BACKLOG` connections. Address reuse is enabled, so that connections
/// of a previous process that are still closing do not block the address.
///
/// # Errors
/// The error of the system call that failed.
pub(crate) fn listener(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Opens a socket at an address, and retries for up to `ADDRESS_IN_USE_TIMEOUT` while the address is in use or the
/// error is transient.
///
/// # Errors
/// The last error of `open`.
pub(crate) fn retry_address_in_use<T>(
    at: SocketAddr,
    open: impl Fn(SocketAddr) -> io::Result<T>,
) -> io::Result<T> {
    let mut is_logged = false;
    let is_retryable = |e: &io::Error| {
        // `is_transient` does not include addresses that are in use.
        let in_use = e.kind() == io::ErrorKind::AddrInUse;
        if in_use && !std::mem::replace(&mut is_logged, true) {
            tracing::warn!(
                "{at} is in use, possibly by the previous process; retrying for up to {ADDRESS_IN_USE_TIMEOUT:?}"
            );
        }
        in_use || is_transient(e)
    };
    retry_while(ADDRESS_IN_USE_TIMEOUT, is_retryable, || open(at))
}
