//! Numeric codes of the simulator's protocol: events, actions, outcomes, forms of a server list, and server health.

use bitternlatch_policy::interface::{ListForm, Outcome, ServerStatus};

/// Codes of the records that the simulator sends, under the names in its protocol description.
pub mod event {
    /// An instance starts.
    pub const START: u8 = 1;
    /// An instance receives the endpoint list, or an update of it.
    pub const VIEW: u8 = 2;
    /// A client request arrives.
    pub const ACCEPT: u8 = 3;
    /// A server has sent the first token of an attempt.
    pub const BEGUN: u8 = 4;
    /// An attempt has ended.
    pub const COMPLETED: u8 = 5;
    /// A client has disconnected.
    pub const HANGUP: u8 = 6;
    /// A timer has expired.
    pub const ALARM: u8 = 7;
    /// A probe has ended.
    pub const PROBE_DONE: u8 = 8;
    /// A message from another router instance.
    pub const INBOX: u8 = 9;
    /// An instance is stopped and its state dropped.
    pub const SHUTDOWN: u8 = 10;
    /// The answer to the reservation of a slot.
    pub const RESERVED: u8 = 11;
    /// A numbered list of servers.
    pub const INVENTORY: u8 = 12;
    /// Names the instance that the next events are for.
    pub const AT: u8 = 13;
}

/// Codes of the actions in a reply, under the names in the simulator's protocol description.
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
    /// Releases the KV cache state that is held for a request.
    pub const RELEASE: u8 = 6;
    /// Sends a health probe to a server.
    pub const TEST: u8 = 7;
    /// Migrates a response stream to another server.
    pub const MIGRATE: u8 = 8;
    /// Sets a timer.
    pub const NOTIFY_ME: u8 = 9;
    /// Reports an internal error of the decision module.
    pub const FATAL: u8 = 10;
    /// Rejects a request.
    pub const SHED: u8 = 11;
    /// Sends a message to one other instance, or to all.
    pub const WRITE_PEER: u8 = 12;
    /// Closes the idle connections to a server.
    pub const HANG_UP: u8 = 13;
    /// Names the instance that the next actions are from.
    pub const FROM: u8 = 14;
    /// Sends an attempt of a request to a server.
    pub const PASS_ON: u8 = 15;
    /// Reserves a slot at a server.
    pub const BOOK_SEAT: u8 = 16;
}

/// Value of `topic` in a `reserved` event if the server holds the slot.
pub const TOPIC_HELD: u8 = 1;
/// Bit in the `marks` of an `accept` event that is set if the cost hint is valid.
pub const MARK_HINT: u16 = 1;
/// Value of `info` in a `completed` event if the attempt was rejected because there was no KV cache state to fetch.
pub const INFO_STATE_MISSING: u32 = 1;

/// Returns the code of an outcome.
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

/// Returns the outcome with a code, if there is one. Whether a rejection is for missing KV cache state follows from `info`.
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

/// Returns the code of a list's form.
pub fn list_form_code(form: ListForm) -> u8 {
    match form {
        ListForm::Delta => 0,
        ListForm::Full => 1,
        ListForm::Cached => 2,
        ListForm::Failed => 3,
    }
}

/// Returns the list form with a code, if there is one.
pub fn list_form(code: u8) -> Option<ListForm> {
    Some(match code {
        0 => ListForm::Delta,
        1 => ListForm::Full,
        2 => ListForm::Cached,
        3 => ListForm::Failed,
        _ => return None,
    })
}

/// Returns the code of a server's status.
pub fn health_code(status: ServerStatus) -> u8 {
    match status {
        ServerStatus::Draining => 0,
        ServerStatus::Removed => 1,
        ServerStatus::Ready => 2,
    }
}

/// Returns the server status with a code, if there is one.
pub fn health(code: u8) -> Option<ServerStatus> {
    Some(match code {
        0 => ServerStatus::Draining,
        1 => ServerStatus::Removed,
        2 => ServerStatus::Ready,
        _ => return None,
    })
}
