//! Reads and writes connections that are ready, and reads datagrams from other dispatchers.

use bitternlatch_platform::types::{ConnId, Input};

use crate::socket::{ConnectProgress, ReadOutcome, ReadResult, Socket};
use crate::{Driver, READ_BUFFER_BYTES};

/// Most bytes that are read from one connection in one iteration of the event loop.
const MAX_READ_BYTES_PER_ITERATION: usize = 4 * READ_BUFFER_BYTES;
/// Most datagrams that are read in one iteration of the event loop.
const MAX_DATAGRAMS_PER_ITERATION: usize = 64;
/// Size of the receive buffer for a datagram. A longer datagram is truncated, and the node drops it.
const MAX_DATAGRAM_BYTES: usize = 512;

impl Driver {
    /// Completes a pending connect, then writes and reads as much as the connection is ready for.
    pub(crate) fn serve_socket(&mut self, conn: ConnId) {
        let Some(socket) = self.sockets.get_mut(&conn) else {
            return;
        };
        match socket.poll_connected() {
            Ok(ConnectProgress::Pending) => return,
            Ok(ConnectProgress::Established) => {}
            Ok(ConnectProgress::JustConnected) => self.step_node(Input::Connected { conn }),
            Err(_) => return self.handle_end(conn),
        }
        self.write(conn);
        self.run_commands();
        self.read_socket(conn);
    }

    /// Reads a connection, up to `MAX_READ_BYTES_PER_ITERATION`, so that one connection does not delay the others.
    fn read_socket(&mut self, conn: ConnId) {
        let mut left = MAX_READ_BYTES_PER_ITERATION;
        while left > 0 {
            let Some(read) = self.read_once(conn) else {
                return;
            };
            match read.outcome {
                ReadOutcome::Ended => return self.handle_end(conn),
                ReadOutcome::Nothing => return,
                ReadOutcome::More => left = left.saturating_sub(read.bytes),
            }
        }
        let socket = self.sockets.get(&conn);
        if socket.is_some_and(|s| s.readable && !s.paused) {
            self.ready_again.insert(conn);
        }
    }

    /// Reads up to one buffer from a connection and passes it to the node. Returns `None` if the connection is closed.
    fn read_once(&mut self, conn: ConnId) -> Option<ReadResult> {
        let socket = self.sockets.get_mut(&conn)?;
        let mut buffer = std::mem::take(&mut self.buffer);
        let read = socket.read(&mut buffer);
        // Bytes that a client sent just before it disconnected are dropped and start no request. Bytes that a server
        // sent before it closed are part of its response and are kept.
        let is_dropped =
            socket.lingering() || socket.accepted && read.outcome == ReadOutcome::Ended;
        if read.bytes > 0 && !is_dropped {
            let input = Input::Received {
                conn,
                bytes: &buffer[..read.bytes],
            };
            self.node.step(self.observed_at, input, &mut self.commands);
        }
        self.buffer = buffer;
        self.run_commands();
        Some(read)
    }

    fn handle_end(&mut self, conn: ConnId) {
        let lingering = self.sockets.get(&conn).is_none_or(Socket::lingering);
        self.remove_socket(conn);
        if !lingering {
            self.step_node(Input::Ended { conn });
        }
    }

    pub(crate) fn read_datagrams(&mut self) {
        let mut data = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            let Some(peers) = &self.peers else { return };
            match peers.recv_from(&mut data) {
                Ok((n, from)) => self.step_node(Input::Datagram {
                    from,
                    data: &data[..n],
                }),
                Err(_) => return,
            }
        }
    }
}
