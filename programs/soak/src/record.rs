//! What clients and servers have seen, by monotonic time. The dispatcher's own word is not in it.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole stream.
    Served,
    /// The stream ended before its last chunk.
    Broken,
    /// 429 or 503.
    Refused,
    /// Any other answer.
    Failed,
    /// The connection ended with no answer.
    Closed,
    /// The client left.
    Left,
    /// No answer within the client's patience.
    Nothing,
}

/// One thing seen.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A client has written the last byte of a request.
    Asked {
        id: String,
        process: usize,
        deadline_s: f64,
        is_unsafe: bool,
    },
    Ended {
        id: String,
        end: End,
    },
    /// A client that stopped within a request: its connection was ended, or was not in time.
    HalfRequest {
        id: String,
        ended: bool,
    },
    /// An attempt's last byte has reached a running server.
    Arrived {
        id: String,
        server: usize,
        decode: bool,
        told_ms: u64,
        /// In requests of mean work.
        work: f64,
        /// How long the machine kept the threads of the mock that read it from running, up to now.
        held_up_s: f64,
    },
    /// It has its answer, or its connection has ended. `declined`: it never ran.
    Over {
        id: String,
        server: usize,
        decode: bool,
        declined: bool,
    },
    /// A prefill has ended, and its state is held.
    Held {
        id: String,
    },
    /// The state is handed over, and the answer begins.
    Taken {
        id: String,
    },
    /// A release has reached a running server, and the state was let go of.
    Released {
        id: String,
    },
    /// The last byte of a whole event was written.
    Event {
        id: String,
    },
    /// The answer is spoilt from here on; no event follows.
    Spoilt {
        id: String,
    },
    /// The server has broken the connection of an attempt itself.
    BrokenByServer {
        id: String,
    },
    /// The last byte of a stream was written.
    StreamWhole {
        id: String,
    },
    /// A server's process has started anew, and is cold.
    ColdStart {
        server: usize,
        /// As a multiple of the mean server of its role.
        speed: f64,
    },
    /// A cold server got more than it could bear, and stays down.
    Fell {
        server: usize,
    },
    /// A process counts as notified of a change of a server.
    Listed {
        process: usize,
        server: usize,
        ready: bool,
        /// The list gives the start of the process that runs, which is not that of the day's begin.
        tells_start: bool,
    },
    /// Discovery has told a process that a server drains.
    Drained {
        process: usize,
        server: usize,
    },
    /// A process was told to end.
    Told {
        process: usize,
    },
    /// It has ended: by a signal that it cannot heed, by itself after it was told, or without.
    Gone {
        process: usize,
        killed: bool,
        expected: bool,
    },
    Ready {
        process: usize,
        after_s: f64,
    },
    /// The mock itself was held up by the machine for so long, up to now.
    HeldUp {
        seconds: f64,
    },
    /// A process was ready to run for so long, up to now, while the machine ran others.
    WaitedForProcessor {
        process: usize,
        seconds: f64,
    },
}

/// One thing and its time.
#[derive(Clone, Debug)]
pub struct Entry {
    pub at: Instant,
    pub seen: Seen,
}

/// What the mock does at once takes longer than that only where the machine holds it up.
pub const MIN_HELD_UP: Duration = Duration::from_millis(30);

/// The record of one day, shared by all that write it.
#[derive(Clone, Default)]
pub struct Record(Arc<Mutex<Vec<Entry>>>);

impl Record {
    /// Notes one thing; returns the time under which it stands.
    pub fn note(&self, seen: Seen) -> Instant {
        let asked_at = Instant::now();
        // The time is taken under the lock, so that entries stand in order of time.
        let mut entries = self.0.lock().unwrap_or_else(|e| e.into_inner());
        let at = Instant::now();
        let waited = at.saturating_duration_since(asked_at);
        if waited > MIN_HELD_UP {
            // A thread that held the lock was kept from running.
            entries.push(Entry {
                at,
                seen: Seen::HeldUp {
                    seconds: waited.as_secs_f64(),
                },
            });
        }
        entries.push(Entry { at, seen });
        at
    }

    pub fn take(&self) -> Vec<Entry> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(|e| e.into_inner()))
    }
}
