//! Events that a dispatcher passes to its router.

use super::{ListForm, RequestId, ServerEntry, ServerId};

/// Distribution of the length of an answer in tokens, estimated from answers to similar requests
/// and capped by the request's output limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpectedTokens {
    /// Mean length of answers to such requests, tokens.
    pub mean: f64,
    /// 90th percentile of the length of answers to such requests, tokens.
    pub p90: f64,
}

/// A client request as it arrives at the dispatcher.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Identifier of the request, which no earlier request had.
    pub id: RequestId,
    /// Index of the request's class in [`Settings::classes`](super::Settings::classes).
    pub class: u16,
    /// Index of the request's tenant in [`Settings::tenants`](super::Settings::tenants).
    pub tenant: u32,
    /// Key of the session that the request belongs to; 0 means none.
    pub session: u64,
    /// Key of the prompt prefix that the request shares with others; 0 means none.
    pub prefix: u64,
    /// Length of the prompt, tokens.
    pub prompt_tokens: f64,
    /// Length of the shared prefix at the start of the prompt, tokens.
    pub prefix_tokens: f64,
    /// Limit on the length of the answer, tokens.
    pub max_output_tokens: f64,
    /// Expected length of the answer, learned from similar requests; if `None`, the router assumes
    /// a fraction of `max_output_tokens`.
    pub output_tokens: Option<ExpectedTokens>,
    /// Rough estimate of the time that generating the answer takes at the class's inter-token
    /// objective, seconds.
    pub output_hint_s: Option<f64>,
    /// Time from the arrival until the client gives up waiting, seconds.
    pub time_left_s: f64,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered the request in full.
    Served,
    /// The prompt is prefilled, and the prefill server holds its KV cache state.
    PrefillDone,
    /// The server answered with an error; the attempt may have run.
    Error,
    /// The server rejected the attempt, which therefore didn't run.
    Rejected {
        /// The reason was that the server found no KV cache state to fetch.
        state_missing: bool,
    },
    /// No answer came within the timeout; the attempt may have run.
    TimedOut,
    /// The connection to the server could not be established, so the attempt didn't run.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The dispatcher cancelled the attempt, which may have run.
    Cancelled,
    /// The dispatcher could not send the attempt.
    NotSent,
}

/// The end of one attempt, as the dispatcher observed it.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Index of the attempt among those of its request, from 0.
    pub attempt: u16,
    /// The server that the attempt was sent to.
    pub server: ServerId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from the sending of the attempt to its end, seconds.
    pub elapsed_s: f64,
    /// Whether the client has received the final answer to the request.
    pub finished: bool,
    /// Prompt tokens that the server found in its prefix cache; set with `Served` and
    /// `PrefillDone`.
    pub prefix_hit_tokens: f64,
    /// Length of the answer, tokens, if the server told it; set with `Served` alone.
    pub output_tokens: Option<f64>,
    /// Load report that came with the response, with its values in the order of
    /// [`Settings::report_fields`](super::Settings::report_fields); empty if there was none.
    pub report: Vec<f64>,
}

/// A condition of a server that other dispatchers have observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Observation {
    /// The latest attempts at the server failed, or it cannot be reached.
    Failing,
    /// The server started recently and is still in slow start.
    WarmingUp,
    /// The server is draining, by the other dispatchers' endpoint lists or its own response.
    Draining,
}

/// One event that a router reacts to.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// No endpoint list may be used yet; one is being fetched. New requests wait for it.
    EndpointListPending,
    /// The endpoint list was received, changed, or could not be fetched.
    Servers {
        /// How the entries relate to the endpoint list known so far.
        form: ListForm,
        /// The entries of the list, or of the change.
        entries: Vec<ServerEntry>,
    },
    /// A client request has arrived; it must get exactly one final answer.
    Arrival(Request),
    /// The first token of an answer was passed to the client, so that the request can't be retried
    /// from here on.
    FirstToken {
        /// The request that is being answered.
        request: RequestId,
        /// Index of the answered attempt among those of its request, from 0.
        attempt: u16,
        /// The server that generates the answer.
        server: ServerId,
        /// Time from the sending of the attempt to its first token, seconds.
        elapsed_s: f64,
    },
    /// The answer to an [`Action::ReserveSlot`](super::Action::ReserveSlot).
    ReservationAnswer {
        /// The request that the slot was requested for.
        request: RequestId,
        /// Index of the request's attempt in flight, from 0.
        attempt: u16,
        /// The decode server that was asked for the slot.
        server: ServerId,
        /// Whether the server holds the slot for the request.
        held: bool,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The client has disconnected, so that its request needs no answer any more.
    ClientDisconnected {
        /// The request of the client.
        request: RequestId,
    },
    /// A timer set by [`Action::SetTimer`](super::Action::SetTimer) has fired.
    Timer {
        /// The label that the timer was set with.
        label: u64,
    },
    /// A probe of a server has ended.
    ProbeEnded {
        /// The server that was probed.
        server: ServerId,
        /// How the probe ended.
        outcome: Outcome,
        /// Time from the sending of the probe to its end, seconds.
        elapsed_s: f64,
        /// Load report in the probe's response, in the form of [`AttemptEnd::report`].
        report: Vec<f64>,
    },
    /// A message of another dispatcher was received.
    PeerMessage {
        /// Index of the sending dispatcher.
        from: u32,
        /// Payload of the message.
        data: Vec<u8>,
    },
    /// Summary of what other dispatchers currently report about a server.
    PeerReport {
        /// The server that the report is about.
        server: ServerId,
        /// The condition that the other dispatchers observed.
        observation: Observation,
        /// Number of other dispatchers that report this condition.
        reporters: u32,
        /// Number of other dispatchers that send reports at all.
        peers: u32,
        /// Age of the newest report of this condition, seconds.
        age_s: f64,
    },
    /// Sets this router's fraction of the tenant quotas that all dispatchers share. Until the first
    /// such event the quotas are split evenly.
    QuotaFraction {
        /// Fraction of each quota, from 0 to 1.
        fraction: f64,
        /// Clock time from which the fraction applies, seconds; it may lie in the past.
        since: f64,
    },
}
