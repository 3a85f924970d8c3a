//! Carries out the commands of the node and gives it what comes of them.

use std::io;

use bitternlatch_platform::types::{Command, ConnId, Input, Level};
use mio::net::TcpStream;
use mio::{Interest, Token};

use crate::socket::{Socket, WriteResult};
use crate::{Driver, SocketEvent, ACCESS_LOG_TARGET};

impl Driver {
    pub(crate) fn input(&mut self, input: Input) {
        self.node.step(self.observed_at, input, &mut self.commands);
        self.run_commands();
    }

    /// Carries out what the node says, and tells it what comes of it, until nothing is left.
    pub(crate) fn run_commands(&mut self) {
        loop {
            for one in self.node.take_trace() {
                tracing::debug!(actions = ?one.actions, "{:?}", one.event);
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
            Command::Close { conn } => self.forget(conn),
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
                    // Messages to peers may be lost; nothing waits for them.
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

    pub(crate) fn put(
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

    pub(crate) fn forget(&mut self, conn: ConnId) {
        if let Some(mut socket) = self.sockets.remove(&conn) {
            let _ = self.poll.registry().deregister(&mut socket.stream);
        }
        self.ready_again.remove(&conn);
        self.connect_retries.forget(conn);
    }

    /// Writes to a connection that stood idle, if it still does: what came on it since would be taken for the answer, and
    /// what is written behind its end may have run or not.
    fn reuse(&mut self, conn: ConnId, bytes: Vec<u8>) {
        let Some(socket) = self.sockets.get_mut(&conn) else {
            return;
        };
        if socket.is_silent() {
            socket.queue(bytes);
            return self.write(conn);
        }
        self.forget(conn);
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
            // A client that cannot be written to has gone, whatever it still had to say.
            self.forget(conn);
            self.socket_events.push_back(SocketEvent::Ended { conn });
        } else {
            // What the other side said before it went is still read.
            self.ready_again.insert(conn);
        }
    }
}
