//! Accepts connections: an upgrade becomes a session, any other request gets a short answer.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternlatch_identity::Caller;
use tungstenite::protocol::Role;

use crate::http;
use crate::socket::{self, Heard, Limits, Outbox, READER_STACK};

/// What is done with connections. Called from each connection's own thread.
pub trait Handler: Send + Sync + 'static {
    /// Whose a connection is, by its `Authorization` header; called before the upgrade is answered.
    ///
    /// # Errors
    /// Status and text of the answer to one that is not let in.
    fn admit(&self, _authorization: Option<&str>) -> Result<Option<Caller>, (u16, String)> {
        Ok(None)
    }
    fn opened(&self, connection: u64, outbox: Outbox, caller: Option<Caller>);
    fn text(&self, connection: u64, text: String);
    fn closed(&self, connection: u64, why: String);
    /// Status and body for a plain GET.
    fn plain(&self, path: &str) -> (u16, String);
}

/// Bounds of one listener.
#[derive(Clone, Debug)]
pub struct Door {
    /// Connections at once, handshakes included.
    pub connections: usize,
    /// Longest time from the accept to the upgrade.
    pub handshake: Duration,
    pub socket: Limits,
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
    pub fn start(listener: TcpListener, door: Door, handler: Arc<dyn Handler>) -> io::Result<Acceptor> {
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

fn accept_loop(listener: &TcpListener, door: &Door, handler: &Arc<dyn Handler>, ending: &AtomicBool) {
    let count = Arc::new(AtomicUsize::new(0));
    let next = Arc::new(AtomicU64::new(1));
    loop {
        let accepted = listener.accept();
        if ending.load(Ordering::SeqCst) {
            return;
        }
        let mut stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!(error = %e, "a connection could not be accepted");
                // Out of descriptors: closing sessions give some back; without a pause this would spin.
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
        };
        if count.load(Ordering::SeqCst) >= door.connections {
            http::answer(&mut stream, 503, "as many connections as there may be; come back later\n");
            continue;
        }
        count.fetch_add(1, Ordering::SeqCst);
        let (door, handler, held, next) =
            (door.clone(), Arc::clone(handler), Arc::clone(&count), Arc::clone(&next));
        let serve = move || {
            serve(stream, &door, &*handler, &next);
            held.fetch_sub(1, Ordering::SeqCst);
        };
        let thread = std::thread::Builder::new().stack_size(READER_STACK).name("ws-read".into());
        if let Err(e) = thread.spawn(serve) {
            count.fetch_sub(1, Ordering::SeqCst);
            tracing::warn!(error = %e, "no thread for a connection");
        }
    }
}

fn serve(mut stream: TcpStream, door: &Door, handler: &dyn Handler, next: &AtomicU64) {
    let deadline = Instant::now() + door.handshake;
    let head = match http::read_request(&mut stream, deadline) {
        Ok(head) => head,
        Err(e) => {
            if e.kind() == io::ErrorKind::InvalidData {
                http::answer(&mut stream, 400, &format!("{e}\n"));
            }
            return;
        }
    };
    let reply = match head.upgrade() {
        Some(Ok(reply)) => reply,
        Some(Err((status, why))) => return http::answer(&mut stream, status, &format!("{why}\n")),
        None if head.method == "GET" => {
            let (status, body) = handler.plain(&head.path);
            return http::answer(&mut stream, status, &body);
        }
        None => return http::answer(&mut stream, 405, "only GET is served here\n"),
    };
    let caller = match handler.admit(head.header("authorization")) {
        Ok(caller) => caller,
        Err((status, why)) => return http::answer(&mut stream, status, &format!("{why}\n")),
    };
    let _ = stream.set_write_timeout(Some(door.handshake));
    if io::Write::write_all(&mut stream, reply.as_bytes()).is_err() {
        return;
    }
    let Ok((mut reader, outbox)) = socket::start(stream, head.left, Role::Server, door.socket.clone(), None)
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
