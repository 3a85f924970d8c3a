//! Accepts clients, also where descriptors run out, until the listener is closed.

use std::io;

use bitternlatch_core::Micros;
use bitternlatch_platform::types::Input;
use mio::net::{TcpListener, TcpStream};

use crate::{descriptors, Driver};

/// Connections taken in one turn.
const TURN_ACCEPTS: usize = 64;
/// Turns of accepting before the listener is closed: more than its queue holds.
const MAX_LAST_ACCEPTS: usize = 32;
/// Pause after a connection could not be taken.
const ACCEPT_PAUSE_SECS: f64 = 0.02;
/// Descriptors that are wanting a second time within this, seconds, are not wanting for a moment alone.
const EXHAUSTED_AGAIN_SECS: f64 = 0.1;
/// Connections that could not be taken are logged this often, seconds.
const ACCEPT_FAILURE_LOG_SECS: f64 = 1.0;

/// The listener, and when it may be asked for clients.
pub(crate) struct Acceptor {
    listener: Option<TcpListener>,
    /// Connections wait to be taken, not before this time.
    accept_at: Option<Micros>,
    /// When there was no descriptor for a client last.
    exhausted_at: Option<Micros>,
    failures: AcceptFailures,
    /// The listener is to be closed at the end of this turn.
    close_requested: bool,
}

/// Connections that could not be taken.
struct AcceptFailures {
    /// Since they were logged.
    count: u64,
    logged_at: Micros,
}

impl Acceptor {
    pub(crate) fn new(listener: TcpListener) -> Acceptor {
        Acceptor {
            listener: Some(listener),
            accept_at: None,
            exhausted_at: None,
            failures: AcceptFailures {
                count: 0,
                logged_at: Micros(0),
            },
            close_requested: false,
        }
    }

    /// The system has said that connections wait.
    pub(crate) fn set_ready(&mut self) {
        self.accept_at = Some(Micros(0));
    }

    /// When connections that wait are to be taken.
    pub(crate) fn next(&self) -> Option<Micros> {
        self.accept_at
    }

    /// Closes the listener at the end of this turn.
    pub(crate) fn request_close(&mut self) {
        self.close_requested = true;
    }

    /// Whether the listener is to be closed; asked once.
    pub(crate) fn take_close_request(&mut self) -> bool {
        std::mem::take(&mut self.close_requested)
    }

    fn log_failure(&mut self, now: Micros, error: &io::Error) {
        let AcceptFailures { count, logged_at } = &mut self.failures;
        *count += 1;
        if now.since(*logged_at) >= ACCEPT_FAILURE_LOG_SECS {
            tracing::warn!(
                "a connection could not be taken: {error}; {count} tries since the last such line"
            );
            (*count, *logged_at) = (0, now);
        }
    }

    /// There was no descriptor, as a moment ago: then it is no passing want.
    fn is_exhausted_again(&mut self, now: Micros) -> bool {
        let before = self.exhausted_at.replace(now);
        before.is_some_and(|at| now.since(at) < EXHAUSTED_AGAIN_SECS)
    }
}

impl Driver {
    /// Takes clients that wait, so many in a turn.
    pub(crate) fn accept(&mut self) {
        if self
            .acceptor
            .accept_at
            .is_none_or(|at| at > self.clock.now())
        {
            return;
        }
        for _ in 0..TURN_ACCEPTS {
            let Some(listener) = &self.acceptor.listener else {
                return self.acceptor.accept_at = None;
            };
            match listener.accept() {
                Ok((stream, _)) => self.admit(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    return self.acceptor.accept_at = None
                }
                Err(e) if is_connection_lost(&e) => {}
                // As at the clients' bound: a new client displaces.
                Err(e)
                    if descriptors::is_exhausted(&e)
                        && self.acceptor.is_exhausted_again(self.clock.now())
                        && self.evict_for_new_client() => {}
                Err(e) => {
                    // Without descriptors an accept fails at once: asking again and again would spin.
                    let now = self.clock.now();
                    self.acceptor.log_failure(now, &e);
                    return self.acceptor.accept_at = Some(now.after(ACCEPT_PAUSE_SECS));
                }
            }
        }
    }

    /// Takes a connection, and hears what it has said already before the next one, which may displace it: the front's
    /// call may stand among hundreds in the accept queue.
    fn admit(&mut self, stream: TcpStream) {
        let conn = self.node.next_conn();
        let _ = stream.set_nodelay(true);
        if self.put(conn, stream, true).is_err() {
            return;
        }
        if self.node.client_limit_reached(self.unwritten_answers()) {
            self.evict_for_new_client();
        }
        self.input(Input::Accepted { conn });
        if let Some(socket) = self.sockets.get_mut(&conn) {
            socket.readable = true;
            self.serve_socket(conn);
        }
    }

    /// Takes whoever has connected by now, and nobody after that.
    pub(crate) fn stop_listening(&mut self) {
        for _ in 0..MAX_LAST_ACCEPTS {
            self.acceptor.set_ready();
            self.accept();
            if self.acceptor.accept_at.is_none() {
                break;
            }
        }
        if let Some(mut listener) = self.acceptor.listener.take() {
            let _ = self.poll.registry().deregister(&mut listener);
        }
        self.input(Input::NotListening);
    }
}

/// The connection that was to be taken has gone already.
fn is_connection_lost(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted
    )
}
