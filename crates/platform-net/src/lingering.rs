//! Graceful close of connections: the last response is written, our side is shut down, and anything the other side
//! still sends is read and discarded. Closing a socket with unread bytes would reset the connection, and the response
//! could be lost.

use std::io;
use std::time::Duration;

use bitternlatch_core::Micros;
use bitternlatch_platform::client::SLOW_READER_SECS;
use bitternlatch_platform::types::ConnId;
use mio::Events;

use crate::socket::{ReadOutcome, Socket};
use crate::Driver;

/// Most lingering connections whose last response is completely written. Beyond this number the oldest is closed.
const MAX_LINGERING: usize = 16;
/// Most reads of a connection before it is closed, each of one read buffer: about 2 MiB in total.
const MAX_READS_BEFORE_CLOSE: u32 = 64;
/// At process exit, how long to wait for the other side to close after all responses are completely written.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);
/// At process exit, how long to wait for further progress while responses are not completely written.
const DRAIN_STALL_TIMEOUT: Duration = Duration::from_secs(2);

impl Driver {
    pub(crate) fn finish(&mut self, conn: ConnId) {
        let now = self.clock.now();
        let Some(socket) = self.sockets.get_mut(&conn) else {
            return;
        };
        socket.finish(now);
        self.ready_again.insert(conn);
        self.lingering.push_back(conn);
        self.write(conn);
        self.lingering.retain(|c| self.sockets.contains_key(c));
        if self.lingering.len() - self.unwritten_answers() > MAX_LINGERING {
            self.close_oldest_written();
        }
    }

    fn lingering_sockets(&self) -> impl Iterator<Item = &Socket> {
        self.lingering.iter().filter_map(|c| self.sockets.get(c))
    }

    /// Number of lingering connections whose last response is not completely written. Each still counts as a client.
    pub(crate) fn unwritten_answers(&self) -> usize {
        self.lingering_sockets()
            .filter(|s| !s.all_written())
            .count()
    }

    /// Closes the lingering connection that has made no write progress for longest, if that is at least
    /// `SLOW_READER_SECS`. Returns false if there is none.
    pub(crate) fn close_longest_stalled(&mut self) -> bool {
        let since = |c: &ConnId| Some((self.sockets.get(c)?.stalled_since()?, *c));
        let Some((since, conn)) = self.lingering.iter().filter_map(since).min() else {
            return false;
        };
        if self.clock.now().since(since) < SLOW_READER_SECS {
            return false;
        }
        self.lingering.retain(|c| *c != conn);
        self.drain_and_close(conn);
        true
    }

    /// Closes the oldest lingering connection whose response is completely written. Returns false if there is none.
    pub(crate) fn close_oldest_written(&mut self) -> bool {
        let written = |c: &ConnId| self.sockets.get(c).is_some_and(Socket::all_written);
        let Some(at) = self.lingering.iter().position(written) else {
            return false;
        };
        let Some(conn) = self.lingering.remove(at) else {
            return false;
        };
        self.drain_and_close(conn);
        true
    }

    pub(crate) fn close_expired_lingering(&mut self) {
        let now = self.clock.now();
        let due = |c: &ConnId| {
            self.sockets
                .get(c)
                .and_then(Socket::linger_deadline)
                .is_none_or(|at| at <= now)
        };
        let expired: Vec<ConnId> = self.lingering.iter().copied().filter(due).collect();
        self.lingering.retain(|c| !expired.contains(c));
        expired
            .into_iter()
            .for_each(|conn| self.drain_and_close(conn));
    }

    /// Earliest deadline of a lingering connection; `None` if there is no such connection.
    pub(crate) fn next_linger_deadline(&self) -> Option<Micros> {
        self.lingering_sockets()
            .filter_map(Socket::linger_deadline)
            .min()
    }

    /// Closes a lingering connection after reading the bytes that have arrived. Without unread bytes, the operating
    /// system still delivers the part of the response that is in its buffer.
    fn drain_and_close(&mut self, conn: ConnId) {
        if let Some(socket) = self.sockets.get_mut(&conn) {
            socket.readable = true;
            let mut reads = MAX_READS_BEFORE_CLOSE;
            while reads > 0 && socket.read(&mut self.buffer).outcome == ReadOutcome::More {
                reads -= 1;
            }
        }
        self.remove_socket(conn);
    }

    /// Bytes of last responses that are not written yet, over all lingering connections.
    fn unwritten(&self) -> usize {
        self.lingering_sockets().map(Socket::unwritten).sum()
    }

    /// At process exit, waits until the last responses are written, as unwritten bytes are lost with the process. The
    /// wait ends after `DRAIN_STALL_TIMEOUT` without progress, or `DRAIN_TIMEOUT` once everything is written.
    pub(crate) fn drain_lingering(&mut self, events: &mut Events) {
        let mut since = self.clock.now();
        let mut unwritten = self.unwritten();
        while !self.lingering.is_empty() {
            let wait = if unwritten > 0 {
                DRAIN_STALL_TIMEOUT
            } else {
                DRAIN_TIMEOUT
            };
            let until = since.after(wait.as_secs_f64());
            if self.clock.now() >= until {
                break;
            }
            match self.poll.poll(events, Some(self.clock.until(until))) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => break,
                Ok(()) => {}
            }
            for event in events.iter() {
                let conn = ConnId(event.token().0 as u64);
                if let Some(socket) = self.sockets.get_mut(&conn) {
                    socket.record_readiness(event);
                    self.serve_socket(conn);
                }
            }
            self.lingering.retain(|c| self.sockets.contains_key(c));
            let remaining = self.unwritten();
            if std::mem::replace(&mut unwritten, remaining) != remaining {
                since = self.clock.now();
            }
        }
        for conn in std::mem::take(&mut self.lingering) {
            self.drain_and_close(conn);
        }
    }
}
