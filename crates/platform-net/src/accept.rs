//! Accepts client connections until the listener is closed, and handles accepts that fail because file descriptors are
//! exhausted.

use std::io;

use bitternlatch_core::Micros;
use bitternlatch_platform::types::Input;
use mio::net::{TcpListener, TcpStream};

use crate::{descriptors, Driver};

/// Connections accepted in one iteration of the event loop.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;
/// Rounds of up to `MAX_ACCEPTS_PER_ITERATION` accepts before the listener is closed; together they cover more
/// connections than the accept queue holds.
const MAX_FINAL_ACCEPT_ROUNDS: usize = 32;
/// Delay before the next accept after one has failed, in seconds.
const ACCEPT_RETRY_DELAY_SECS: f64 = 0.02;
/// If an accept fails for lack of a file descriptor twice within this time, in seconds, the shortage counts as
/// persistent.
const PERSISTENT_EXHAUSTION_SECS: f64 = 0.1;
/// Minimum interval between log lines about failed accepts, in seconds.
const ACCEPT_FAILURE_LOG_INTERVAL_SECS: f64 = 1.0;

/// The listener and the time of its next accept.
pub(crate) struct Acceptor {
    listener: Option<TcpListener>,
    /// Earliest time of the next accept; `None` while no connection is waiting.
    accept_at: Option<Micros>,
    /// Time of the last accept that failed for lack of a file descriptor.
    exhausted_at: Option<Micros>,
    failures: AcceptFailures,
    /// Whether the listener is to be closed at the end of this iteration of the event loop.
    close_requested: bool,
}

/// Failed accepts, for the rate-limited log line.
struct AcceptFailures {
    /// Failures since the last log line.
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

    /// Records that the listener is readable, so that connections may be waiting.
    pub(crate) fn set_ready(&mut self) {
        self.accept_at = Some(Micros(0));
    }

    /// Time of the next accept; `None` while no connection is waiting.
    pub(crate) fn next_accept_at(&self) -> Option<Micros> {
        self.accept_at
    }

    /// Requests that the listener be closed at the end of this iteration of the event loop.
    pub(crate) fn request_close(&mut self) {
        self.close_requested = true;
    }

    /// Returns whether a close of the listener was requested, and clears the request.
    pub(crate) fn take_close_request(&mut self) -> bool {
        std::mem::take(&mut self.close_requested)
    }

    fn log_failure(&mut self, now: Micros, error: &io::Error) {
        let AcceptFailures { count, logged_at } = &mut self.failures;
        *count += 1;
        if now.since(*logged_at) >= ACCEPT_FAILURE_LOG_INTERVAL_SECS {
            tracing::warn!(
                "cannot accept a connection: {error}; {count} failed accepts since the last such line"
            );
            (*count, *logged_at) = (0, now);
        }
    }

    /// Records that an accept failed for lack of a file descriptor. Returns true if the previous such failure was less
    /// than `PERSISTENT_EXHAUSTION_SECS` ago, which means that the shortage is persistent.
    fn is_exhaustion_persistent(&mut self, now: Micros) -> bool {
        let previous = self.exhausted_at.replace(now);
        previous.is_some_and(|at| now.since(at) < PERSISTENT_EXHAUSTION_SECS)
    }
}

impl Driver {
    /// Accepts waiting clients, up to `MAX_ACCEPTS_PER_ITERATION` of them.
    pub(crate) fn accept(&mut self) {
        if self
            .acceptor
            .accept_at
            .is_none_or(|at| at > self.clock.now())
        {
            return;
        }
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            let Some(listener) = &self.acceptor.listener else {
                return self.acceptor.accept_at = None;
            };
            match listener.accept() {
                Ok((stream, _)) => self.admit(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    return self.acceptor.accept_at = None
                }
                Err(e) if is_connection_lost(&e) => {}
                // With descriptors exhausted, a new client evicts one that rests.
                Err(e)
                    if descriptors::is_exhausted(&e)
                        && self.acceptor.is_exhaustion_persistent(self.clock.now())
                        && self.evict_for_waiting_client() => {}
                Err(e) => {
                    // While descriptors are exhausted, accept fails at once, and retrying without a delay would
                    // busy-loop.
                    let now = self.clock.now();
                    self.acceptor.log_failure(now, &e);
                    return self.acceptor.accept_at = Some(now.after(ACCEPT_RETRY_DELAY_SECS));
                }
            }
        }
    }

    /// Registers an accepted connection and reads what it has already sent before the next connection is accepted,
    /// which may evict it: a connection with a request may be queued among hundreds of others without one.
    fn admit(&mut self, stream: TcpStream) {
        let conn = self.node.next_conn();
        let _ = stream.set_nodelay(true);
        if self.register_socket(conn, stream, true).is_err() {
            return;
        }
        if self.node.client_limit_reached(self.unwritten_answers()) {
            self.evict_for_new_client();
        }
        self.step_node(Input::Accepted { conn });
        if let Some(socket) = self.sockets.get_mut(&conn) {
            socket.readable = true;
            self.serve_socket(conn);
        }
    }

    /// Accepts the clients that have connected so far, then closes the listener.
    pub(crate) fn stop_listening(&mut self) {
        for _ in 0..MAX_FINAL_ACCEPT_ROUNDS {
            self.acceptor.set_ready();
            self.accept();
            if self.acceptor.accept_at.is_none() {
                break;
            }
        }
        if let Some(mut listener) = self.acceptor.listener.take() {
            let _ = self.poll.registry().deregister(&mut listener);
        }
        self.step_node(Input::NotListening);
    }
}

/// Whether an accept failed only because the waiting connection was aborted or the call was interrupted.
fn is_connection_lost(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted
    )
}
