//! Connections that end in order: the last answer leaves, our side is closed, and what the other side still says is
//! read and dropped. A close over unread bytes would reset the connection and take the answer with it.

use std::io;
use std::time::Duration;

use bitternlatch_core::Micros;
use bitternlatch_platform::client::SLOW_READER_SECS;
use bitternlatch_platform::types::ConnId;
use mio::Events;

use crate::socket::{ReadOutcome, Socket};
use crate::Driver;

/// Connections that still have to see their last answer, which has left; past them one is cut.
const MAX_LINGERING: usize = 16;
/// Reads of what has come on a connection that is cut: some MiB.
const MAX_LAST_READS: u32 = 64;
/// At the end of the process, the other sides of answers that have left have this long to end theirs.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);
/// The same for answers that have not left whole, from when anything last left.
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
            self.cut_written();
        }
    }

    fn lingering_sockets(&self) -> impl Iterator<Item = &Socket> {
        self.lingering.iter().filter_map(|c| self.sockets.get(c))
    }

    /// Connections that end and whose last answer has not left: each holds a client's place still.
    pub(crate) fn unwritten_answers(&self) -> usize {
        self.lingering_sockets()
            .filter(|s| !s.all_written())
            .count()
    }

    /// Cuts the one of those whose client has taken nothing for longest, if that is long; false where there is none.
    pub(crate) fn cut_stalled(&mut self) -> bool {
        let since = |c: &ConnId| Some((self.sockets.get(c)?.stalled_since()?, *c));
        let Some((since, conn)) = self.lingering.iter().filter_map(since).min() else {
            return false;
        };
        if self.clock.now().since(since) < SLOW_READER_SECS {
            return false;
        }
        self.lingering.retain(|c| *c != conn);
        self.cut(conn);
        true
    }

    /// Cuts the oldest connection whose answer has left; false where none has.
    pub(crate) fn cut_written(&mut self) -> bool {
        let written = |c: &ConnId| self.sockets.get(c).is_some_and(Socket::all_written);
        let Some(at) = self.lingering.iter().position(written) else {
            return false;
        };
        let Some(conn) = self.lingering.remove(at) else {
            return false;
        };
        self.cut(conn);
        true
    }

    pub(crate) fn cut_lingering(&mut self) {
        let now = self.clock.now();
        let due = |c: &ConnId| {
            self.sockets
                .get(c)
                .and_then(Socket::cut_at)
                .is_none_or(|at| at <= now)
        };
        let over: Vec<ConnId> = self.lingering.iter().copied().filter(due).collect();
        self.lingering.retain(|c| !over.contains(c));
        over.into_iter().for_each(|conn| self.cut(conn));
    }

    /// When the next one is cut.
    pub(crate) fn next_linger_deadline(&self) -> Option<Micros> {
        self.lingering_sockets().filter_map(Socket::cut_at).min()
    }

    /// Closes a connection that is not waited for any longer, over no byte that has come by now: the system then still
    /// delivers what it holds of the answer.
    fn cut(&mut self, conn: ConnId) {
        if let Some(socket) = self.sockets.get_mut(&conn) {
            socket.readable = true;
            let mut reads = MAX_LAST_READS;
            while reads > 0 && socket.read(&mut self.buffer).outcome == ReadOutcome::More {
                reads -= 1;
            }
        }
        self.forget(conn);
    }

    /// Bytes of last answers that have not left.
    fn unwritten(&self) -> usize {
        self.lingering_sockets().map(Socket::unwritten).sum()
    }

    /// Lets the last answers leave: what a client has not taken yet goes with the process.
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
            let left = self.unwritten();
            if std::mem::replace(&mut unwritten, left) != left {
                since = self.clock.now();
            }
        }
        for conn in std::mem::take(&mut self.lingering) {
            self.cut(conn);
        }
    }
}
