//! The actions that a router gives.

use super::{RequestId, ServerId};

/// What is to be done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server that it goes to.
        server: ServerId,
        /// Time-out of the attempt, seconds; 0 = until the client gives up.
        timeout_s: f64,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number, from 0.
        attempt: u16,
    },
    /// Final answer: a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should stay away, seconds.
        retry_after_s: f64,
    },
    /// Final answer that promises nothing.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Release every KV state and slot held for the request.
    Release {
        /// The request.
        request: RequestId,
    },
    /// Probe a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Give an [`Event::Timer`](super::Event::Timer) at a time.
    SetTimer {
        /// Clock time, seconds.
        at: f64,
        /// The label to give back.
        label: u64,
    },
    /// Follow changes of the endpoint list.
    Subscribe,
    /// Follow them no longer.
    Unsubscribe,
    /// Ask for the complete endpoint list once.
    FetchList,
    /// Reserve a slot and memory at a decode server ahead of the prefill's end.
    ReserveSlot {
        /// The request.
        request: RequestId,
        /// The decode server.
        server: ServerId,
    },
    /// End a running stream in order, to go on elsewhere.
    Migrate {
        /// The request.
        request: RequestId,
    },
    /// Close idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Send a message to other dispatchers.
    SendToPeer {
        /// One of them, or all (`None`).
        peer: Option<u16>,
        /// At most 256 bytes.
        data: Vec<u8>,
    },
    /// Write a log line.
    Log {
        /// The line.
        text: String,
    },
    /// The decision code has failed; the dispatcher should stop.
    Fault {
        /// What has failed.
        text: String,
    },
}
