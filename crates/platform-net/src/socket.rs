//! One non-blocking connection: its bytes to be written, and its readiness as last reported by the operating system.

use std::io::{ErrorKind, Read as _, Write as _};
use std::net::Shutdown;
use std::time::Duration;

use bitternlatch_core::Micros;
use bitternlatch_platform::client::CLIENT_STALL_TIMEOUT_SECS;
use mio::event::Event;
use mio::net::TcpStream;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::SockRef;

use crate::write_queue::WriteQueue;

/// How long a lingering connection waits for the other side to close, in seconds, from the write of the last byte of
/// the response. Until that byte is written, `CLIENT_STALL_TIMEOUT_SECS` without progress applies instead.
const LINGER_SECS: f64 = 2.0;
/// Most bytes that a lingering connection reads and discards before it is closed.
const MAX_LINGER_DISCARD_BYTES: usize = 80 << 20;

/// Lifecycle stage of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Connecting,
    Open,
    /// The connection is being closed: queued bytes are written, then our side is shut down, and further input is
    /// discarded.
    Lingering {
        /// Time at which bytes of the last response were last written.
        since: Micros,
        /// Number of bytes that may still be read and discarded.
        discard_budget: usize,
        /// Whether our side is shut down.
        write_shutdown: bool,
    },
}

/// State of the connection after a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// The buffer is full, and there may be more bytes.
    More,
    /// There is nothing more to read for now, or reading is paused.
    Nothing,
    /// The other side has closed the connection, or the connection has failed.
    Ended,
}

/// Result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReadResult {
    pub(crate) bytes: usize,
    pub(crate) outcome: ReadOutcome,
}

/// Result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WriteResult {
    /// Bytes that were written to the socket.
    pub(crate) bytes: usize,
    /// Whether the connection can still be written to.
    pub(crate) is_open: bool,
}

/// Progress of an outbound connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectProgress {
    /// The connection is not established yet.
    Pending,
    /// The connection was established just now.
    JustConnected,
    /// The connection had been established before.
    Established,
}

/// A non-blocking TCP connection with its write buffer.
pub(crate) struct Socket {
    pub(crate) stream: TcpStream,
    /// True for a connection accepted from a client, false for an outbound connection.
    pub(crate) accepted: bool,
    pub(crate) readable: bool,
    /// Whether the node has paused reading.
    pub(crate) paused: bool,
    writable: bool,
    /// Whether a write has failed.
    broken: bool,
    /// Whether the operating system has reported that the other side closed the connection. Bytes sent before the close
    /// may still be unread.
    ended: bool,
    stage: Stage,
    /// Bytes to be written.
    queue: WriteQueue,
}

impl Socket {
    pub(crate) fn new(stream: TcpStream, accepted: bool) -> Socket {
        let stage = if accepted {
            Stage::Open
        } else {
            Stage::Connecting
        };
        Socket {
            stream,
            accepted,
            readable: false,
            paused: false,
            writable: accepted,
            broken: false,
            ended: false,
            stage,
            queue: WriteQueue::default(),
        }
    }

    /// Updates the readiness flags from a poll event.
    pub(crate) fn record_readiness(&mut self, event: &Event) {
        self.readable |= event.is_readable() || event.is_read_closed() || event.is_error();
        self.writable |= event.is_writable() || event.is_error();
        self.ended |= event.is_read_closed() || event.is_write_closed() || event.is_error();
    }

    /// Whether this is a client connection that the client has closed. This is known without reading the connection,
    /// which may be paused or hold many unread bytes.
    pub(crate) fn client_disconnected(&self) -> bool {
        self.accepted && self.ended && !self.lingering()
    }

    /// Checks the progress of an outbound connect.
    ///
    /// # Errors
    /// The error with which the connect failed.
    pub(crate) fn poll_connected(&mut self) -> std::io::Result<ConnectProgress> {
        if self.stage != Stage::Connecting {
            return Ok(ConnectProgress::Established);
        }
        if let Some(e) = self.stream.take_error()? {
            return Err(e);
        }
        if !self.writable {
            return Ok(ConnectProgress::Pending);
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                self.stage = Stage::Open;
                self.stream.set_nodelay(true)?;
                Ok(ConnectProgress::JustConnected)
            }
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(ConnectProgress::Pending),
            Err(e) => Err(e),
        }
    }

    pub(crate) fn queue(&mut self, bytes: Vec<u8>) {
        self.queue.push(bytes);
    }

    pub(crate) fn finish(&mut self, now: Micros) {
        self.paused = false;
        self.stage = Stage::Lingering {
            since: now,
            discard_budget: MAX_LINGER_DISCARD_BYTES,
            write_shutdown: false,
        };
    }

    /// Restarts the linger timeout after bytes of the last response were written.
    pub(crate) fn restart_linger(&mut self, now: Micros) {
        if let Stage::Lingering { since, .. } = &mut self.stage {
            *since = now;
        }
    }

    /// Since when the other side has taken nothing of its last answer, where some of that has not left.
    pub(crate) fn stalled_since(&self) -> Option<Micros> {
        match self.stage {
            Stage::Lingering { since, .. } if !self.all_written() => Some(since),
            _ => None,
        }
    }

    pub(crate) fn lingering(&self) -> bool {
        matches!(self.stage, Stage::Lingering { .. })
    }

    /// Time at which a lingering connection is closed even if bytes are unwritten; `None` for other connections.
    pub(crate) fn linger_deadline(&self) -> Option<Micros> {
        match self.stage {
            Stage::Lingering { since, .. } => Some(since.after(if self.all_written() {
                LINGER_SECS
            } else {
                CLIENT_STALL_TIMEOUT_SECS
            })),
            _ => None,
        }
    }

    /// Writes queued bytes until the socket takes no more. Shuts down our side of a lingering connection once
    /// everything is written.
    pub(crate) fn write(&mut self) -> WriteResult {
        if self.stage == Stage::Connecting {
            return WriteResult {
                bytes: 0,
                is_open: true,
            };
        }
        let mut count = 0;
        while self.writable && !self.broken && !self.all_written() {
            match self.stream.write(self.queue.unwritten()) {
                Ok(n) => {
                    self.queue.record_written(n);
                    count += n;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.writable = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.broken = true,
            }
        }
        if self.all_written() {
            if let Stage::Lingering { write_shutdown, .. } = &mut self.stage {
                if !std::mem::replace(write_shutdown, true) {
                    let _ = self.stream.shutdown(Shutdown::Write);
                }
            }
        }
        WriteResult {
            bytes: count,
            is_open: !self.broken,
        }
    }

    /// Reads until the buffer is full, no more bytes are available, or the connection has ended.
    pub(crate) fn read(&mut self, buffer: &mut [u8]) -> ReadResult {
        let mut bytes = 0;
        let outcome = loop {
            if bytes == buffer.len() {
                break ReadOutcome::More;
            }
            if !self.broken && (self.paused || !self.readable) {
                break ReadOutcome::Nothing;
            }
            match self.stream.read(&mut buffer[bytes..]) {
                Ok(0) => break ReadOutcome::Ended,
                Ok(n) if self.count_discarded(n) => break ReadOutcome::Ended,
                Ok(n) => bytes += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock && self.broken => {
                    break ReadOutcome::Ended
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.readable = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break ReadOutcome::Ended,
            }
        };
        ReadResult { bytes, outcome }
    }

    /// Whether the connection is open and has no unread bytes. Attempts a read even if no readiness event has arrived.
    pub(crate) fn is_open_without_input(&mut self) -> bool {
        if self.broken || self.ended {
            return false;
        }
        loop {
            match self.stream.read(&mut [0]) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.readable = false;
                    return true;
                }
                Ok(_) | Err(_) => return false,
            }
        }
    }

    /// Counts `n` discarded bytes of a lingering connection. Returns true once `MAX_LINGER_DISCARD_BYTES` is reached.
    fn count_discarded(&mut self, n: usize) -> bool {
        let Stage::Lingering { discard_budget, .. } = &mut self.stage else {
            return false;
        };
        *discard_budget = discard_budget.saturating_sub(n);
        *discard_budget == 0
    }

    /// Whether bytes are queued that the operating system has not sent to the other side. It sends no more than the other
    /// side has room for, so what it has sent has been delivered. If this cannot be determined, everything counts as
    /// delivered.
    pub(crate) fn has_undelivered(&self) -> bool {
        if !self.all_written() {
            return true;
        }
        let options = SockRef::from(&self.stream);
        // With a low-water mark of one byte, the socket is writable only if nothing is unsent.
        if options.set_tcp_notsent_lowat(1).is_err() {
            return false;
        }
        let mut polled = [PollFd::new(&self.stream, PollFlags::OUT)];
        let writable = poll(&mut polled, Some(&Timespec::default()));
        // Zero restores the default of the system.
        let _ = options.set_tcp_notsent_lowat(0);
        writable == Ok(0)
    }

    /// Makes the close of this connection drop what has not been delivered: it then resets the connection. A connection
    /// without such bytes is closed in order.
    pub(crate) fn drop_undelivered(&self) {
        if self.stage != Stage::Connecting && self.has_undelivered() {
            // If the option is not available, the close sends the rest first.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// Whether all queued bytes are written to the socket.
    pub(crate) fn all_written(&self) -> bool {
        self.unwritten() == 0
    }

    /// Number of queued bytes that are not written to the socket yet.
    pub(crate) fn unwritten(&self) -> usize {
        self.queue.unwritten().len()
    }
}
