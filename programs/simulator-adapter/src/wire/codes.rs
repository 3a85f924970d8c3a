//! The numbers of the wire's page: codes of events and actions, outcomes, forms of a list, health.

use bitternlatch_policy::interface::{ListForm, Outcome, ServerStatus};

/// Codes of events and of the records that go with them, by the page's names.
pub mod event {
    /// An instance starts.
    pub const START: u8 = 1;
    /// The endpoint list as an instance sees it.
    pub const VIEW: u8 = 2;
    /// A client request arrives.
    pub const ACCEPT: u8 = 3;
    /// An answer has begun.
    pub const BEGUN: u8 = 4;
    /// An attempt has ended.
    pub const COMPLETED: u8 = 5;
    /// A client has left.
    pub const HANGUP: u8 = 6;
    /// A timer has come due.
    pub const ALARM: u8 = 7;
    /// A probe has ended.
    pub const PROBE_DONE: u8 = 8;
    /// A message of a peer.
    pub const INBOX: u8 = 9;
    /// An instance is killed.
    pub const SHUTDOWN: u8 = 10;
    /// The answer to a reservation.
    pub const RESERVED: u8 = 11;
    /// A numbered list of servers.
    pub const INVENTORY: u8 = 12;
    /// The instance that the next events are for.
    pub const AT: u8 = 13;
}

/// Codes of actions, by the page's names.
pub mod action {
    /// A log line.
    pub const REMARK: u8 = 1;
    /// Cancels an attempt.
    pub const RETRACT: u8 = 2;
    /// Fails a request.
    pub const FAIL: u8 = 3;
    /// Subscribes to the endpoint list, or unsubscribes.
    pub const STREAM_CHANGES: u8 = 4;
    /// Fetches the endpoint list once.
    pub const LIST_ALL: u8 = 5;
    /// Releases what is held for a request.
    pub const RELEASE: u8 = 6;
    /// Probes a server.
    pub const TEST: u8 = 7;
    /// Migrates a stream.
    pub const MIGRATE: u8 = 8;
    /// Sets a timer.
    pub const NOTIFY_ME: u8 = 9;
    /// The decision code has failed.
    pub const FATAL: u8 = 10;
    /// Rejects a request.
    pub const SHED: u8 = 11;
    /// Sends a message to a peer, or to all.
    pub const WRITE_PEER: u8 = 12;
    /// Closes idle connections.
    pub const HANG_UP: u8 = 13;
    /// The instance that the next actions are from.
    pub const FROM: u8 = 14;
    /// Sends an attempt.
    pub const PASS_ON: u8 = 15;
    /// Reserves a slot.
    pub const BOOK_SEAT: u8 = 16;
}

/// `topic` of a `reserved` event: the place is held.
pub const TOPIC_HELD: u8 = 1;
/// Bit of an `accept` event's `marks`: the cost hint is valid.
pub const MARK_HINT: u16 = 1;
/// `info` of a `completed` event that was rejected: there was no KV state to fetch.
pub const INFO_STATE_MISSING: u32 = 1;

/// The number of an outcome.
pub fn outcome_code(outcome: Outcome) -> u8 {
    match outcome {
        Outcome::Served => 0,
        Outcome::PrefillDone => 202,
        Outcome::Error => 255,
        Outcome::Rejected { .. } => 254,
        Outcome::TimedOut => 253,
        Outcome::ConnectFailed => 252,
        Outcome::Reset => 251,
        Outcome::Cancelled => 250,
        Outcome::NotSent => 249,
    }
}

/// The outcome with a number; a rejection's `state_missing` stands elsewhere.
pub fn outcome(code: u8) -> Option<Outcome> {
    Some(match code {
        0 => Outcome::Served,
        202 => Outcome::PrefillDone,
        255 => Outcome::Error,
        254 => Outcome::Rejected {
            state_missing: false,
        },
        253 => Outcome::TimedOut,
        252 => Outcome::ConnectFailed,
        251 => Outcome::Reset,
        250 => Outcome::Cancelled,
        249 => Outcome::NotSent,
        _ => return None,
    })
}

/// The number of a list's form.
pub fn list_form_code(form: ListForm) -> u8 {
    match form {
        ListForm::Delta => 0,
        ListForm::Full => 1,
        ListForm::Cached => 2,
        ListForm::Failed => 3,
    }
}

/// The form with a number.
pub fn list_form(code: u8) -> Option<ListForm> {
    Some(match code {
        0 => ListForm::Delta,
        1 => ListForm::Full,
        2 => ListForm::Cached,
        3 => ListForm::Failed,
        _ => return None,
    })
}

/// The number of a server's health.
pub fn health_code(status: ServerStatus) -> u8 {
    match status {
        ServerStatus::Draining => 0,
        ServerStatus::Removed => 1,
        ServerStatus::Ready => 2,
    }
}

/// The health with a number.
pub fn health(code: u8) -> Option<ServerStatus> {
    Some(match code {
        0 => ServerStatus::Draining,
        1 => ServerStatus::Removed,
        2 => ServerStatus::Ready,
        _ => return None,
    })
}
