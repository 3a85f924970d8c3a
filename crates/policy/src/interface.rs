//! Input and output types of the decision module: settings, events, actions and explanations.
//!
//! A dispatcher creates a router from [`Settings`], passes it each [`Event`] with the current clock
//! time and carries out the resulting [`Action`]s in order. All times are in seconds.

mod action;
mod event;
mod explanation;
mod server;
mod settings;

pub use self::action::{Action, ReleaseRepeat};
pub use self::event::{AttemptEnd, Event, ExpectedTokens, Observation, Outcome, Request};
pub use self::explanation::{
    Cause, ChoiceExplanation, ExplainedChoice, FailedRequest, SlowStartStatus,
};
pub use self::server::{ListForm, ServerEntry, ServerStatus};
pub use self::settings::{
    ClassSettings, Effect, KeyScope, KindSettings, Limits, ReportField, ReportMode, Role, Settings,
    SlowStart, TenantSettings,
};

/// Identifies a client request; an id is never reused within one router's lifetime.
pub type RequestId = u32;
/// Identifies a model server; the id stays the same when the server's process restarts.
pub type ServerId = u32;
