//! Accepts connections: an upgrade becomes a session, any other request gets a short answer.

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
use crate::socket::{self, Heard, Limits, Outbox, READER_STACK};
use crate::tls;
use crate::wire::Wire;

/// What is done with connections. Called from each connection's own thread.
pub trait Handler: Send + Sync + 'static {
    /// Whose a connection is, by its `Authorization` header and the certificate that it has proven; called before the
    /// upgrade is answered.
    ///
    /// # Errors
    /// Status and text of the answer to one that is not let in.
    fn admit(
        &self,
        _authorization: Option<&str>,
        _certificate: Option<&[u8]>,
    ) -> Result<Option<Caller>, (u16, String)> {
        Ok(None)
    }
    fn opened(&self, connection: u64, outbox: Outbox, caller: Option<Caller>);
    fn text(&self, connection: u64, text: String);
    fn closed(&self, connection: u64, why: String);
    /// Status and body for a plain GET.
    fn plain(&self, path: &str) -> (u16, String);
}

/// Bounds of one listener.
#[derive(Clone)]
pub struct Door {
    /// Connections at once, handshakes included.
    pub connections: usize,
    /// Longest time from the accept to the upgrade.
    pub handshake: Duration,
    /// Handshakes at once; past it the oldest of the most crowded address is cut.
    pub handshakes: usize,
    pub tls: Option<Arc<tls::Server>>,
    pub socket: Limits,
}

impl Door {
    /// Without TLS, and with no bound of its own on handshakes.
    pub fn plain(connections: usize, handshake: Duration, socket: Limits) -> Door {
        Door {
            connections,
            handshake,
            handshakes: connections,
            tls: None,
            socket,
        }
    }
}

/// A listener at work.
pub struct Acceptor {
    address: SocketAddr,
    ending: Arc<AtomicBool>,
}

impl Acceptor {
    /// Serves a listener from a thread of its own.
    ///
    /// # Errors
    /// Where the listener has no address or the system gives no thread.
    pub fn start(
        listener: TcpListener,
        door: Door,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Acceptor> {
        let address = listener.local_addr()?;
        let ending = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&ending);
        std::thread::Builder::new()
            .name("accept".into())
            .spawn(move || accept_loop(&listener, &door, &handler, &flag))?;
        Ok(Acceptor { address, ending })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting; sessions stay.
    pub fn stop(&self) {
        self.ending.store(true, Ordering::SeqCst);
        // Wakes the accepting thread; should that fail, its listener is closed at the process's end.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
    }
}

fn accept_loop(
    listener: &TcpListener,
    door: &Door,
    handler: &Arc<dyn Handler>,
    ending: &AtomicBool,
) {
    let count = Arc::new(AtomicUsize::new(0));
    let next = Arc::new(AtomicU64::new(1));
    let room = Arc::new(Room::new(door.handshakes));
    loop {
        let accepted = listener.accept();
        if ending.load(Ordering::SeqCst) {
            return;
        }
        let (stream, address) = match accepted {
            Ok(accepted) => accepted,
            Err(e) => {
                tracing::warn!(error = %e, "a connection could not be accepted");
                // Out of descriptors: closing sessions give some back; without a pause this would spin.
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
        };
        if count.load(Ordering::SeqCst) >= door.connections {
            if door.tls.is_none() {
                http::answer(
                    &stream.into(),
                    503,
                    "as many connections as there may be; come back later\n",
                );
            }
            continue;
        }
        let Ok(handle) = stream.try_clone() else {
            tracing::warn!("no descriptor for a connection's handshake");
            continue;
        };
        count.fetch_add(1, Ordering::SeqCst);
        let visitor = room.enter(address, handle);
        let (door, handler, held, next) = (
            door.clone(),
            Arc::clone(handler),
            Arc::clone(&count),
            Arc::clone(&next),
        );
        let waits = Arc::clone(&room);
        let serve = move || {
            serve(stream, &door, &*handler, &next, &|| waits.leave(visitor));
            waits.leave(visitor);
            held.fetch_sub(1, Ordering::SeqCst);
        };
        let thread = std::thread::Builder::new()
            .stack_size(READER_STACK)
            .name("ws-read".into());
        if let Err(e) = thread.spawn(serve) {
            count.fetch_sub(1, Ordering::SeqCst);
            room.leave(visitor);
            tracing::warn!(error = %e, "no thread for a connection");
        }
    }
}

/// Connections in their handshake, and how to cut them.
struct Room {
    inside: Mutex<(Handshakes, BTreeMap<HandshakeId, TcpStream>)>,
}

impl Room {
    fn new(most: usize) -> Room {
        Room {
            inside: Mutex::new((Handshakes::new(most), BTreeMap::new())),
        }
    }

    fn enter(&self, address: SocketAddr, handle: TcpStream) -> HandshakeId {
        let mut inside = lock(&self.inside);
        let admission = inside.0.admit(address.ip());
        if let Some(stream) = admission.evicted.and_then(|id| inside.1.remove(&id)) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
            let sent_away = inside.0.evictions();
            if sent_away.is_power_of_two() {
                tracing::warn!(sent_away, "handshakes are cut: more at once than may be");
            }
        }
        inside.1.insert(admission.admitted, handle);
        admission.admitted
    }

    fn leave(&self, handshake: HandshakeId) {
        let mut inside = lock(&self.inside);
        inside.0.remove(handshake);
        inside.1.remove(&handshake);
    }
}

/// The handshakes of one connection: TLS where it is asked for, then the upgrade. `None` where there is no session.
fn greet(
    stream: TcpStream,
    door: &Door,
    handler: &dyn Handler,
) -> Option<(Wire, Vec<u8>, Option<Caller>)> {
    let deadline = Instant::now() + door.handshake;
    let wire = match &door.tls {
        None => Wire::from(stream),
        Some(tls) => match Wire::accept(stream, tls.config(), deadline) {
            Ok(wire) => wire,
            Err(e) => {
                tracing::info!(error = %e, "a TLS handshake has failed");
                return None;
            }
        },
    };
    let refuse = |status, why: &str| {
        http::answer(&wire, status, why);
        wire.finish();
    };
    let head = match http::read_request(&wire, deadline) {
        Ok(head) => head,
        Err(e) => {
            if e.kind() == io::ErrorKind::InvalidData {
                refuse(400, &format!("{e}\n"));
            }
            return None;
        }
    };
    let reply = match head.upgrade() {
        Some(Ok(reply)) => reply,
        Some(Err((status, why))) => {
            refuse(status, &format!("{why}\n"));
            return None;
        }
        None if head.method == "GET" => {
            let (status, body) = handler.plain(&head.path);
            refuse(status, &body);
            return None;
        }
        None => {
            refuse(405, "only GET is served here\n");
            return None;
        }
    };
    let caller = match handler.admit(
        head.header("authorization"),
        wire.peer_certificate().as_deref(),
    ) {
        Ok(caller) => caller,
        Err((status, why)) => {
            refuse(status, &format!("{why}\n"));
            return None;
        }
    };
    let _ = wire.set_write_timeout(Some(door.handshake));
    wire.send(reply.as_bytes()).ok()?;
    Some((wire, head.left, caller))
}

fn serve(
    stream: TcpStream,
    door: &Door,
    handler: &dyn Handler,
    next: &AtomicU64,
    greeted: &dyn Fn(),
) {
    let Some((wire, left, caller)) = greet(stream, door, handler) else {
        return;
    };
    greeted();
    let Ok((mut reader, outbox)) =
        socket::start(wire, left, Role::Server, door.socket.clone(), None)
    else {
        return tracing::warn!("no thread to write to a connection");
    };
    let connection = next.fetch_add(1, Ordering::SeqCst);
    handler.opened(connection, outbox, caller);
    loop {
        match reader.hear() {
            Heard::Text(text) => handler.text(connection, text),
            Heard::Ended(why) => return handler.closed(connection, why),
        }
    }
}
