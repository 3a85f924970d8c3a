//! One non-blocking connection: what waits to be written, and what its readiness was last said to be.

use std::io::{ErrorKind, Read as _, Write as _};
use std::net::Shutdown;

use bitternlatch_core::Micros;
use bitternlatch_platform::client::CLIENT_STALL_TIMEOUT_SECS;
use mio::event::Event;
use mio::net::TcpStream;

/// A connection that ends waits this long for the other side to have read its last answer, seconds, from when the last
/// byte of it left; until then it waits for the other side to take more of it.
const LINGER_SECS: f64 = 2.0;
/// Bytes that it takes in and drops meanwhile.
const LINGER_BYTES: usize = 80 << 20;
/// Room kept for the next writes once all is written.
const RETAINED_CAPACITY: usize = 8 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Connecting,
    Open,
    /// What is queued is written, then our side is closed, and the rest of theirs is dropped.
    Lingering {
        /// When something of the last answer last left.
        since: Micros,
        left: usize,
        shut: bool,
    },
}

/// What stands behind the bytes that a read has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// There may be more than the buffer took.
    More,
    Nothing,
    Ended,
}

/// What a read has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReadResult {
    pub(crate) bytes: usize,
    pub(crate) outcome: ReadOutcome,
}

/// What a write has done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WriteResult {
    /// Bytes that have gone to the system.
    pub(crate) bytes: usize,
    /// Whether the connection still takes any.
    pub(crate) is_open: bool,
}

/// How far a connect has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectProgress {
    Pending,
    JustConnected,
    /// It was up before.
    Established,
}

/// One connection.
pub(crate) struct Socket {
    pub(crate) stream: TcpStream,
    /// A client's; otherwise one that was dialled.
    pub(crate) accepted: bool,
    pub(crate) readable: bool,
    pub(crate) paused: bool,
    writable: bool,
    broken: bool,
    /// The system has told that the other side has ended it, whether or not what it said before is read.
    ended: bool,
    stage: Stage,
    queue: Vec<u8>,
    at: usize,
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
            queue: Vec::new(),
            at: 0,
        }
    }

    /// Takes a readiness event in.
    pub(crate) fn record_readiness(&mut self, event: &Event) {
        self.readable |= event.is_readable() || event.is_read_closed() || event.is_error();
        self.writable |= event.is_writable() || event.is_error();
        self.ended |= event.is_read_closed() || event.is_write_closed() || event.is_error();
    }

    /// A client that has gone. It need not be read for that: it may be paused, or have said much before its end.
    pub(crate) fn client_gone(&self) -> bool {
        self.accepted && self.ended && !self.lingering()
    }

    /// Whether a dialled connection is up.
    ///
    /// # Errors
    /// It never came up.
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
        if self.queue.is_empty() {
            self.queue = bytes;
        } else {
            self.queue.extend_from_slice(&bytes);
        }
    }

    pub(crate) fn finish(&mut self, now: Micros) {
        self.paused = false;
        self.stage = Stage::Lingering {
            since: now,
            left: LINGER_BYTES,
            shut: false,
        };
    }

    /// Something of its last answer has just left: waits for the other side once more.
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

    /// When it is cut, whatever is left.
    pub(crate) fn cut_at(&self) -> Option<Micros> {
        match self.stage {
            Stage::Lingering { since, .. } => Some(since.after(if self.all_written() {
                LINGER_SECS
            } else {
                CLIENT_STALL_TIMEOUT_SECS
            })),
            _ => None,
        }
    }

    /// Writes what it can.
    pub(crate) fn write(&mut self) -> WriteResult {
        if self.stage == Stage::Connecting {
            return WriteResult {
                bytes: 0,
                is_open: true,
            };
        }
        let from = self.at;
        while self.writable && !self.broken && self.at < self.queue.len() {
            match self.stream.write(&self.queue[self.at..]) {
                Ok(n) => self.at += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.writable = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.broken = true,
            }
        }
        let count = self.at - from;
        if self.at == self.queue.len() {
            self.at = 0;
            self.queue.clear();
            if self.queue.capacity() > RETAINED_CAPACITY {
                // Hundreds of connections that once carried much must not keep room for it.
                self.queue = Vec::new();
            }
            if let Stage::Lingering { shut, .. } = &mut self.stage {
                if !std::mem::replace(shut, true) {
                    let _ = self.stream.shutdown(Shutdown::Write);
                }
            }
        }
        WriteResult {
            bytes: count,
            is_open: !self.broken,
        }
    }

    /// Reads as much as there is and the buffer takes.
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
                Ok(n) if self.drop_rest(n) => break ReadOutcome::Ended,
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

    /// Nothing has come that was not read, its end included; asks the system, whatever it has told.
    pub(crate) fn is_silent(&mut self) -> bool {
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

    /// Counts bytes that are dropped before the end; true once they are too many.
    fn drop_rest(&mut self, n: usize) -> bool {
        let Stage::Lingering { left, .. } = &mut self.stage else {
            return false;
        };
        *left = left.saturating_sub(n);
        *left == 0
    }

    /// All that was queued has gone to the system.
    pub(crate) fn all_written(&self) -> bool {
        self.unwritten() == 0
    }

    /// Bytes that are queued and have not gone to the system.
    pub(crate) fn unwritten(&self) -> usize {
        self.queue.len() - self.at
    }
}
