//! Actions that a router asks its dispatcher to carry out.

use super::{RequestId, ServerId};

/// Repetition of the last release of a request. An abandoned attempt may go on at its server, and
/// no answer shows when it has left a KV cache state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReleaseRepeat {
    /// Longest time from one release to the next, seconds.
    pub interval_s: f64,
    /// Clock time until which an abandoned attempt may leave a state, seconds.
    pub until: f64,
}

/// One action for the dispatcher; the actions of one event are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request's next attempt to a server.
    Send {
        /// The request to send.
        request: RequestId,
        /// The server that receives the attempt.
        server: ServerId,
        /// Timeout of the attempt in seconds; 0 means that only the client's deadline ends it.
        timeout_s: f64,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Index of the attempt among those of its request, from 0.
        attempt: u16,
    },
    /// Answer the client with a rejection, which tells the client that a retry is harmless; this
    /// ends the request.
    Reject {
        /// The rejected request.
        request: RequestId,
        /// Time that the client should wait before it retries, seconds.
        retry_after_s: f64,
    },
    /// Answer the client with an error that doesn't say whether the request has run; this ends the
    /// request.
    Fail {
        /// The failed request.
        request: RequestId,
    },
    /// Release all KV cache states and slots that servers hold for a request.
    Release {
        /// The request whose states and slots are released.
        request: RequestId,
        /// How the release is repeated, or `None` if one release is enough.
        repeat: Option<ReleaseRepeat>,
    },
    /// Send a probe to a server.
    Probe {
        /// The server to probe.
        server: ServerId,
    },
    /// Pass an [`Event::Timer`](super::Event::Timer) to the router at a given time.
    SetTimer {
        /// Clock time at which the timer fires, seconds.
        at: f64,
        /// Label to return in the timer event.
        label: u64,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Cancel the subscription to changes of the endpoint list.
    Unsubscribe,
    /// Fetch the complete endpoint list once.
    FetchList,
    /// Reserve a slot and memory for a request at a decode server before the request's prefill has
    /// ended.
    ReserveSlot {
        /// The request that the slot is for.
        request: RequestId,
        /// The decode server that is asked for the slot.
        server: ServerId,
    },
    /// Stop a running stream cleanly, so that it can continue at another server.
    Migrate {
        /// The request whose stream is moved.
        request: RequestId,
    },
    /// Close the idle connections to a server.
    CloseIdle {
        /// The server whose idle connections are closed.
        server: ServerId,
    },
    /// Send a message to other dispatchers.
    SendToPeer {
        /// Index of the receiving dispatcher; `None` sends to all others.
        peer: Option<u16>,
        /// Payload of the message, at most 256 bytes.
        data: Vec<u8>,
    },
    /// Write a log line.
    Log {
        /// Text of the log line.
        text: String,
    },
    /// Report an internal error of the decision module, after which the dispatcher should stop.
    Fault {
        /// Description of the error.
        text: String,
    },
}
