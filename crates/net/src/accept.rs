//! Accepts connections: a WebSocket upgrade opens a socket, any other HTTP request gets a short response.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bitternlatch_connection_limits::{HandshakeId, Handshakes};
use bitternlatch_identity::Caller;
use tungstenite::protocol::Role;

use crate::http;
use crate::lock;
use crate::socket::{self, Limits, Outbox, ReadOutcome, READER_STACK};
use crate::tls;
use crate::wire::Transport;

/// Callbacks of an acceptor for its connections. Each connection calls them from its own thread.
pub trait Handler: Send + Sync + 'static {
    /// Authenticates a client by its `Authorization` header and its verified client certificate (DER). Called before the
    /// upgrade is answered. `None` admits the client without an identity.
    ///
    /// # Errors
    /// HTTP status and body of the response to a rejected client.
    fn authenticate(
        &self,
        _authorization: Option<&str>,
        _certificate: Option<&[u8]>,
    ) -> Result<Option<Caller>, (u16, String)> {
        Ok(None)
    }
    /// The WebSocket upgrade of a connection succeeded; `outbox` sends to the client.
    fn opened(&self, connection: u64, outbox: Outbox, caller: Option<Caller>);
    /// A text message arrived on an open connection.
    fn text(&self, connection: u64, text: String);
    /// An open connection ended, with the reason. Nothing follows for this connection.
    fn closed(&self, connection: u64, reason: String);
    /// Returns HTTP status and body for a GET request that is not a WebSocket upgrade.
    fn get(&self, path: &str) -> (u16, String);
}

/// Limits and TLS configuration of one listener.
#[derive(Clone)]
pub struct ListenerOptions {
    /// Maximum number of open connections, including those in their handshake.
    pub max_connections: usize,
    /// Longest time from accepting a connection to the answer to its upgrade request.
    pub handshake_timeout: Duration,
    /// Maximum number of handshakes in progress. When it is exceeded, the oldest handshake of the address with the most
    /// handshakes is aborted.
    pub max_handshakes: usize,
    /// TLS configuration; `None` accepts plaintext connections.
    pub tls: Option<Arc<tls::ServerTls>>,
    pub socket: Limits,
}

impl ListenerOptions {
    /// Options without TLS; handshakes are limited only by the number of connections.
    pub fn plaintext(
        max_connections: usize,
        handshake_timeout: Duration,
        socket: Limits,
    ) -> ListenerOptions {
        ListenerOptions {
            max_connections,
            handshake_timeout,
            max_handshakes: max_connections,
            tls: None,
            socket,
        }
    }
}

/// A running listener.
pub struct Acceptor {
    address: SocketAddr,
    stopping: Arc<AtomicBool>,
}

impl Acceptor {
    /// Starts a thread that accepts connections from the listener.
    ///
    /// # Errors
    /// If the listener's local address cannot be read or the thread cannot be started.
    pub fn start(
        listener: TcpListener,
        options: ListenerOptions,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Acceptor> {
        let address = listener.local_addr()?;
        let stopping = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&stopping);
        std::thread::Builder::new()
            .name("accept".into())
            .spawn(move || accept_loop(&listener, &options, &handler, &flag))?;
        Ok(Acceptor { address, stopping })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections; open connections stay open.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        // Connects to the listener to wake the accepting thread. If that fails, the thread keeps the listener open until
        // the process ends.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
    }
}

fn accept_loop(
    listener: &TcpListener,
    options: &ListenerOptions,
    handler: &Arc<dyn Handler>,
    stopping: &AtomicBool,
) {
    let connection_count = Arc::new(AtomicUsize::new(0));
    let next_id = Arc::new(AtomicU64::new(1));
    let handshakes = Arc::new(HandshakeRegistry::new(options.max_handshakes));
    loop {
        let accepted = listener.accept();
        if stopping.load(Ordering::SeqCst) {
            return;
        }
        let (stream, address) = match accepted {
            Ok(accepted) => accepted,
            Err(e) => {
                tracing::warn!(error = %e, "cannot accept a connection; trying again in 20 ms");
                // When the process is out of file descriptors, accept fails immediately until a session closes. The
                // pause prevents a busy loop.
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
        };
        if connection_count.load(Ordering::SeqCst) >= options.max_connections {
            if options.tls.is_none() {
                http::respond(
                    &stream.into(),
                    503,
                    "as many connections as there may be; come back later\n",
                );
            }
            continue;
        }
        let Ok(handle) = stream.try_clone() else {
            tracing::warn!("connection dropped: no file descriptor left for its handshake");
            continue;
        };
        connection_count.fetch_add(1, Ordering::SeqCst);
        let handshake = handshakes.add(address, handle);
        let (options, handler, open_connections, next_id) = (
            options.clone(),
            Arc::clone(handler),
            Arc::clone(&connection_count),
            Arc::clone(&next_id),
        );
        let pending = Arc::clone(&handshakes);
        let serve = move || {
            serve(stream, &options, &*handler, &next_id, &|| {
                pending.remove(handshake)
            });
            pending.remove(handshake);
            open_connections.fetch_sub(1, Ordering::SeqCst);
        };
        let thread = std::thread::Builder::new()
            .stack_size(READER_STACK)
            .name("ws-read".into());
        if let Err(e) = thread.spawn(serve) {
            connection_count.fetch_sub(1, Ordering::SeqCst);
            handshakes.remove(handshake);
            tracing::warn!(error = %e, "connection dropped: cannot start its thread");
        }
    }
}

/// The handshakes in progress, with the streams to shut down when one is aborted.
struct HandshakeRegistry {
    state: Mutex<(Handshakes, BTreeMap<HandshakeId, TcpStream>)>,
}

impl HandshakeRegistry {
    fn new(max_handshakes: usize) -> HandshakeRegistry {
        HandshakeRegistry {
            state: Mutex::new((Handshakes::new(max_handshakes), BTreeMap::new())),
        }
    }

    /// Adds a handshake; if there are too many, aborts the one that the limits choose.
    fn add(&self, address: SocketAddr, handle: TcpStream) -> HandshakeId {
        let mut state = lock(&self.state);
        let admission = state.0.admit(address.ip());
        if let Some(stream) = admission.evicted.and_then(|id| state.1.remove(&id)) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
            let aborted = state.0.evictions();
            // Logs at 1, 2, 4, 8... so that a flood of connections does not flood the log.
            if aborted.is_power_of_two() {
                tracing::warn!(
                    aborted,
                    "a handshake was aborted: too many handshakes in progress"
                );
            }
        }
        state.1.insert(admission.admitted, handle);
        admission.admitted
    }

    /// Removes a handshake that has ended; does nothing if it was removed already.
    fn remove(&self, handshake: HandshakeId) {
        let mut state = lock(&self.state);
        state.0.remove(handshake);
        state.1.remove(&handshake);
    }
}

/// Performs the TLS handshake, if configured, and the WebSocket upgrade of one connection. Returns the transport, the bytes
/// read beyond the upgrade request and the caller; `None` if the connection did not become a WebSocket.
fn handshake(
    stream: TcpStream,
    options: &ListenerOptions,
    handler: &dyn Handler,
) -> Option<(Transport, Vec<u8>, Option<Caller>)> {
    let deadline = Instant::now() + options.handshake_timeout;
    let transport = match &options.tls {
        None => Transport::from(stream),
        Some(tls) => match Transport::accept(stream, tls.config(), deadline) {
            Ok(transport) => transport,
            Err(e) => {
                tracing::info!(error = %e, "TLS handshake with a client failed");
                return None;
            }
        },
    };
    let respond = |status, body: &str| {
        http::respond(&transport, status, body);
        transport.finish();
    };
    let head = match http::read_request(&transport, deadline) {
        Ok(head) => head,
        Err(e) => {
            if e.kind() == io::ErrorKind::InvalidData {
                respond(400, &format!("{e}\n"));
            }
            return None;
        }
    };
    let reply = match head.upgrade() {
        Some(Ok(reply)) => reply,
        Some(Err((status, reason))) => {
            respond(status, &format!("{reason}\n"));
            return None;
        }
        None if head.method == "GET" => {
            let (status, body) = handler.get(&head.path);
            respond(status, &body);
            return None;
        }
        None => {
            respond(405, "only GET is served here\n");
            return None;
        }
    };
    let caller = match handler.authenticate(
        head.header("authorization"),
        transport.peer_certificate().as_deref(),
    ) {
        Ok(caller) => caller,
        Err((status, reason)) => {
            respond(status, &format!("{reason}\n"));
            return None;
        }
    };
    let _ = transport.set_write_timeout(Some(options.handshake_timeout));
    transport.send(reply.as_bytes()).ok()?;
    Some((transport, head.left, caller))
}

/// Serves one connection until it ends. Calls `handshake_done` once the upgrade has succeeded.
fn serve(
    stream: TcpStream,
    options: &ListenerOptions,
    handler: &dyn Handler,
    next_id: &AtomicU64,
    handshake_done: &dyn Fn(),
) {
    let Some((transport, left, caller)) = handshake(stream, options, handler) else {
        return;
    };
    handshake_done();
    let Ok((mut reader, outbox)) =
        socket::start(transport, left, Role::Server, options.socket.clone(), None)
    else {
        return tracing::warn!("connection dropped: cannot start its writer thread");
    };
    let connection = next_id.fetch_add(1, Ordering::SeqCst);
    handler.opened(connection, outbox, caller);
    loop {
        match reader.read() {
            ReadOutcome::Text(text) => handler.text(connection, text),
            ReadOutcome::Ended(reason) => return handler.closed(connection, reason),
        }
    }
}
