//! The address that clients come to, also while the process before this one still holds it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use mio::net::TcpListener;
use socket2::{Domain, Socket, Type};

use crate::transient_errors::{is_transient, retry_while};

/// The accept queue's length (the listener's backlog). What comes while the process starts or is held up waits there;
/// past it connections are dropped, and tried again only after 1, 3 and 7 s. The system may cap it.
const ACCEPT_QUEUE: i32 = 1024;
/// A predecessor that was told to stop, or has just been killed, may hold its addresses for this long.
const ADDRESS_WAIT: Duration = Duration::from_secs(5);

/// A listener whose accept queue holds hundreds. Connections of a predecessor that linger do not keep it from the
/// address.
///
/// # Errors
/// As the system's.
pub(crate) fn listener(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(ACCEPT_QUEUE)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Opens what needs an address, and waits for a bounded time where it is still in use.
///
/// # Errors
/// As the system's; that it is in use still.
pub(crate) fn retry_address_in_use<T>(
    at: SocketAddr,
    open: impl Fn(SocketAddr) -> io::Result<T>,
) -> io::Result<T> {
    let mut is_logged = false;
    let is_retryable = |e: &io::Error| {
        // An address in use is no transient error.
        let in_use = e.kind() == io::ErrorKind::AddrInUse;
        if in_use && !std::mem::replace(&mut is_logged, true) {
            tracing::warn!(
                "{at} is in use, by the process before perhaps: tried for {ADDRESS_WAIT:?}"
            );
        }
        in_use || is_transient(e)
    };
    retry_while(ADDRESS_WAIT, is_retryable, || open(at))
}
