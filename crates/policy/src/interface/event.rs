//! The events that a router takes.

use super::{ListForm, RequestId, ServerEntry, ServerId};

/// How long an answer is expected to be, tokens, its limit regarded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpectedTokens {
    /// The mean.
    pub mean: f64,
    /// Nine answers of ten are no longer.
    pub p90: f64,
}

/// A client request as it arrives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id, never used before.
    pub id: RequestId,
    /// Index in [`Settings::classes`](super::Settings::classes).
    pub class: u16,
    /// Index in [`Settings::tenants`](super::Settings::tenants).
    pub tenant: u32,
    /// Session key; 0 = none.
    pub session: u64,
    /// Key of the shared prefix; 0 = none.
    pub prefix: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: f64,
    /// Those of them in the shared prefix.
    pub prefix_tokens: f64,
    /// Limit on the answer's tokens.
    pub max_output_tokens: f64,
    /// Where anything is known of its like; without it a share of the limit stands for it.
    pub output_tokens: Option<ExpectedTokens>,
    /// Rough guess of the time that the answer takes at the class's time between tokens, seconds.
    pub output_hint_s: Option<f64>,
    /// Time until the client gives this attempt of its own up, seconds.
    pub time_left_s: f64,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Served,
    /// The prompt is prefilled; its KV state waits at the prefill server.
    PrefillDone,
    /// An error answer; it may have run.
    Error,
    /// Rejected. It never ran.
    Rejected {
        /// There was no KV state to fetch.
        state_missing: bool,
    },
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// The end of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The attempt's number, from 0.
    pub attempt: u16,
    /// The server that it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent, seconds.
    pub elapsed_s: f64,
    /// The request has its final answer.
    pub finished: bool,
    /// Prompt tokens that the server had cached (with `Served` and `PrefillDone`).
    pub prefix_hit_tokens: f64,
    /// Values in the order of [`Settings::report_fields`](super::Settings::report_fields); empty =
    /// none.
    pub report: Vec<f64>,
}

/// What other dispatchers have seen of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Observation {
    /// Its last attempts failed, or it cannot be reached.
    Failing,
    /// It was started lately.
    WarmingUp,
    /// Their list has it draining, or it said so itself.
    Draining,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list, or a change of it.
    Servers {
        /// How it relates to the one before.
        form: ListForm,
        /// Its entries.
        entries: Vec<ServerEntry>,
    },
    /// A client request, which is owed one final answer.
    Arrival(Request),
    /// An answer has begun; it belongs to the client from now on.
    FirstToken {
        /// The request.
        request: RequestId,
        /// The attempt's number, from 0.
        attempt: u16,
        /// The server that answers.
        server: ServerId,
        /// Time since the attempt was sent, seconds.
        elapsed_s: f64,
    },
    /// The answer to an [`Action::ReserveSlot`](super::Action::ReserveSlot).
    ReservationAnswer {
        /// The request.
        request: RequestId,
        /// The number of the attempt in flight.
        attempt: u16,
        /// The server that was asked.
        server: ServerId,
        /// The slot is reserved.
        held: bool,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The client has left; nothing more is owed.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer has come due.
    Timer {
        /// The label that it was set with.
        label: u64,
    },
    /// A probe has ended.
    ProbeEnded {
        /// The server that was probed.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent, seconds.
        elapsed_s: f64,
        /// As in [`AttemptEnd::report`].
        report: Vec<f64>,
    },
    /// A message of another dispatcher.
    PeerMessage {
        /// Its number.
        from: u32,
        /// The payload.
        data: Vec<u8>,
    },
    /// What other dispatchers have seen of a server.
    PeerReport {
        /// The server.
        server: ServerId,
        /// What they have seen.
        observation: Observation,
        /// How many have seen it.
        reporters: u32,
        /// How many report anything.
        peers: u32,
        /// Age of the latest of the reports, seconds.
        age_s: f64,
    },
    /// This router's fraction of the quotas that all dispatchers share; before the first, an even one.
    QuotaFraction {
        /// From 0 to 1.
        fraction: f64,
        /// Clock time from which it counts, seconds.
        since: f64,
    },
}
