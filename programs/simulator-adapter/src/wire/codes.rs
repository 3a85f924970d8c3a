//! The numbers of the wire's page: codes of events and actions, outcomes, forms of a list, health.

use bitternlatch_policy::interface::{ListForm, Outcome, ServerStatus};

/// Codes of events and of the records that go with them, by the page's names.
pub mod event {
    pub const START: u8 = 1;
    pub const VIEW: u8 = 2;
    pub const ACCEPT: u8 = 3;
    pub const BEGUN: u8 = 4;
    pub const COMPLETED: u8 = 5;
    pub const HANGUP: u8 = 6;
    pub const ALARM: u8 = 7;
    pub const PROBE_DONE: u8 = 8;
    pub const INBOX: u8 = 9;
    pub const SHUTDOWN: u8 = 10;
    pub const RESERVED: u8 = 11;
    pub const INVENTORY: u8 = 12;
    pub const AT: u8 = 13;
}

/// Codes of actions, by the page's names.
pub mod action {
    pub const REMARK: u8 = 1;
    pub const RETRACT: u8 = 2;
    pub const FAIL: u8 = 3;
    pub const STREAM_CHANGES: u8 = 4;
    pub const LIST_ALL: u8 = 5;
    pub const RELEASE: u8 = 6;
    pub const TEST: u8 = 7;
    pub const MIGRATE: u8 = 8;
    pub const NOTIFY_ME: u8 = 9;
    pub const FATAL: u8 = 10;
    pub const SHED: u8 = 11;
    pub const WRITE_PEER: u8 = 12;
    pub const HANG_UP: u8 = 13;
    pub const FROM: u8 = 14;
    pub const PASS_ON: u8 = 15;
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
