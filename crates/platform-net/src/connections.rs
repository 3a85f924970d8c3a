//! Reads and writes connections that are ready, and datagrams of other dispatchers.

use bitternlatch_platform::types::{ConnId, Input};

use crate::socket::{ReadOutcome, Socket};
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
            Ok(None) => return,
            Ok(Some(false)) => {}
            Ok(Some(true)) => self.input(Input::Connected { conn }),
            Err(_) => return self.ended(conn),
        }
        self.write(conn);
        self.run_commands();
        let mut left = TURN_BYTES;
        while left > 0 {
            let Some(socket) = self.sockets.get_mut(&conn) else {
                return;
            };
            let mut buffer = std::mem::take(&mut self.buffer);
            let (n, outcome) = socket.read(&mut buffer);
            // What a client said just before it went begins nothing; what a server said is its answer.
            let is_dropped = socket.lingering() || socket.accepted && outcome == ReadOutcome::Ended;
            if n > 0 && !is_dropped {
                let input = Input::Received {
                    conn,
                    bytes: &buffer[..n],
                };
                self.node.step(self.observed_at, input, &mut self.commands);
            }
            self.buffer = buffer;
            self.run_commands();
            match outcome {
                ReadOutcome::Ended => return self.ended(conn),
                ReadOutcome::Nothing => return,
                ReadOutcome::More => left = left.saturating_sub(n),
            }
        }
        if self
            .sockets
            .get(&conn)
            .is_some_and(|s| s.readable && !s.paused)
        {
            self.ready_again.insert(conn);
        }
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
