//! Reads and writes connections that are ready, and datagrams of other dispatchers.

use bitternlatch_platform::types::{ConnId, Input};

use crate::socket::{ConnectProgress, ReadOutcome, ReadResult, Socket};
use crate::{Driver, READ_BYTES};

const TURN_BYTES: usize = 4 * READ_BYTES;
/// Datagrams read in one turn.
const TURN_DATAGRAMS: usize = 64;
/// Room for a datagram; longer ones are cut, and dropped by the node.
const DATAGRAM_BYTES: usize = 512;

impl Driver {
    /// Reads and writes what a connection is ready for.
    pub(crate) fn serve_socket(&mut self, conn: ConnId) {
        let Some(socket) = self.sockets.get_mut(&conn) else {
            return;
        };
        match socket.poll_connected() {
            Ok(ConnectProgress::Pending) => return,
            Ok(ConnectProgress::Established) => {}
            Ok(ConnectProgress::JustConnected) => self.input(Input::Connected { conn }),
            Err(_) => return self.ended(conn),
        }
        self.write(conn);
        self.run_commands();
        self.read_socket(conn);
    }

    /// Reads a connection, but no more than a turn's share of it.
    fn read_socket(&mut self, conn: ConnId) {
        let mut left = TURN_BYTES;
        while left > 0 {
            let Some(read) = self.read_once(conn) else {
                return;
            };
            match read.outcome {
                ReadOutcome::Ended => return self.ended(conn),
                ReadOutcome::Nothing => return,
                ReadOutcome::More => left = left.saturating_sub(read.bytes),
            }
        }
        let socket = self.sockets.get(&conn);
        if socket.is_some_and(|s| s.readable && !s.paused) {
            self.ready_again.insert(conn);
        }
    }

    /// Reads a buffer's worth and gives it to the node; `None` where the connection is closed.
    fn read_once(&mut self, conn: ConnId) -> Option<ReadResult> {
        let socket = self.sockets.get_mut(&conn)?;
        let mut buffer = std::mem::take(&mut self.buffer);
        let read = socket.read(&mut buffer);
        // What a client said just before it went begins nothing; what a server said is its answer.
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

    fn ended(&mut self, conn: ConnId) {
        let lingering = self.sockets.get(&conn).is_none_or(Socket::lingering);
        self.forget(conn);
        if !lingering {
            self.input(Input::Ended { conn });
        }
    }

    pub(crate) fn read_datagrams(&mut self) {
        let mut data = [0; DATAGRAM_BYTES];
        for _ in 0..TURN_DATAGRAMS {
            let Some(peers) = &self.peers else { return };
            match peers.recv_from(&mut data) {
                Ok((n, from)) => self.input(Input::Datagram {
                    from,
                    data: &data[..n],
                }),
                Err(_) => return,
            }
        }
    }
}
