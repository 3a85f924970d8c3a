//! Executes the commands of the node and reports their results to it.

use std::io;

use bitternlatch_platform::types::{Command, ConnId, Input, Level};
use mio::net::TcpStream;
use mio::{Interest, Token};

use crate::socket::{Socket, WriteResult};
use crate::{Driver, SocketEvent, ACCESS_LOG_TARGET};

impl Driver {
    pub(crate) fn step_node(&mut self, input: Input) {
        self.node.step(self.observed_at, input, &mut self.commands);
        self.run_commands();
    }

    /// Executes the commands of the node and passes the resulting socket events back to it, until neither is left.
    pub(crate) fn run_commands(&mut self) {
        loop {
            for decision in self.node.take_trace() {
                tracing::debug!(actions = ?decision.actions, "{:?}", decision.event);
            }
            for command in std::mem::take(&mut self.commands) {
                self.run_command(command);
            }
            let Some(event) = self.socket_events.pop_front() else {
                return;
            };
            let input = match event {
                SocketEvent::Wrote { conn, count } => Input::Wrote { conn, count },
                SocketEvent::Ended { conn } => Input::Ended { conn },
                SocketEvent::Undelivered { conn } => Input::Undelivered { conn },
                SocketEvent::Stale { conn } => Input::Stale { conn },
            };
            self.node.step(self.observed_at, input, &mut self.commands);
        }
    }

    pub(crate) fn run_command(&mut self, command: Command) {
        match command {
            Command::Connect { conn, to } => self.connect(conn, to),
            Command::Write { conn, bytes } => {
                if let Some(socket) = self.sockets.get_mut(&conn) {
                    socket.queue(bytes);
                    self.write(conn);
                }
            }
            Command::Reuse { conn, bytes } => self.reuse(conn, bytes),
            Command::Close { conn } => self.remove_socket(conn),
            Command::Abort { conn } => self.abort(conn),
            Command::AbortUndelivered { conn } => self.abort_undelivered(conn),
            Command::Finish { conn } => self.finish(conn),
            Command::Pause { conn, paused } => {
                if let Some(socket) = self.sockets.get_mut(&conn) {
                    socket.paused = paused;
                    if !paused && socket.readable {
                        self.ready_again.insert(conn);
                    }
                }
            }
            Command::Datagram { to, data } => {
                if let Some(peers) = &self.peers {
                    // Messages to peers may be lost, so an error is ignored.
                    let _ = peers.send_to(&data, to);
                }
            }
            Command::StopListening => self.acceptor.request_close(),
            Command::Stopped => self.stopped = true,
            Command::AccessLog { text } => tracing::debug!(target: ACCESS_LOG_TARGET, "{text}"),
            Command::Log {
                level: Level::Info,
                text,
            } => tracing::info!("{text}"),
            Command::Log {
                level: Level::Warn,
                text,
            } => tracing::warn!("{text}"),
        }
    }

    pub(crate) fn register_socket(
        &mut self,
        conn: ConnId,
        mut stream: TcpStream,
        accepted: bool,
    ) -> io::Result<()> {
        let token = Token(conn.0 as usize);
        self.poll.registry().register(
            &mut stream,
            token,
            Interest::READABLE | Interest::WRITABLE,
        )?;
        self.sockets.insert(conn, Socket::new(stream, accepted));
        Ok(())
    }

    pub(crate) fn remove_socket(&mut self, conn: ConnId) {
        if let Some(mut socket) = self.sockets.remove(&conn) {
            let _ = self.poll.registry().deregister(&mut socket.stream);
        }
        self.ready_again.remove(&conn);
        self.connect_retries.cancel(conn);
    }

    /// Closes a connection and drops what has not been delivered on it.
    fn abort(&mut self, conn: ConnId) {
        if let Some(socket) = self.sockets.get(&conn) {
            socket.drop_undelivered();
        }
        self.remove_socket(conn);
    }

    /// Aborts a connection if not all written bytes have been delivered, and reports that.
    fn abort_undelivered(&mut self, conn: ConnId) {
        let socket = self.sockets.get(&conn);
        if socket.is_some_and(Socket::has_undelivered) {
            self.abort(conn);
            self.socket_events
                .push_back(SocketEvent::Undelivered { conn });
        }
    }

    /// Writes a request to an idle connection, unless the other side has closed it or sent anything since. Unread bytes
    /// would be taken for the response, and for a request written after the close it is unknown whether it ran.
    fn reuse(&mut self, conn: ConnId, bytes: Vec<u8>) {
        let Some(socket) = self.sockets.get_mut(&conn) else {
            return;
        };
        if socket.is_open_without_input() {
            socket.queue(bytes);
            return self.write(conn);
        }
        self.remove_socket(conn);
        self.socket_events.push_back(SocketEvent::Stale { conn });
    }

    pub(crate) fn write(&mut self, conn: ConnId) {
        let Some(socket) = self.sockets.get_mut(&conn) else {
            return;
        };
        let WriteResult {
            bytes: count,
            is_open,
        } = socket.write();
        let is_serving = !socket.lingering();
        if count > 0 && !is_serving {
            socket.restart_linger(self.clock.now());
        }
        if count > 0 && is_serving {
            self.socket_events
                .push_back(SocketEvent::Wrote { conn, count });
        }
        if is_open {
            return;
        }
        if socket.accepted && is_serving {
            // A client that cannot be written to has disconnected; anything it sent before is ignored.
            self.remove_socket(conn);
            self.socket_events.push_back(SocketEvent::Ended { conn });
        } else {
            // Bytes that the other side sent before it disconnected are still read.
            self.ready_again.insert(conn);
        }
    }
}
