//! What goes in and out of the decision module: settings, events, actions and explanations.
//!
//! A dispatcher fills [`Settings`], feeds [`Event`]s with its clock and carries out [`Action`]s in
//! order. Times are seconds.

mod action;
mod event;
mod explanation;
mod server;
mod settings;

pub use self::action::Action;
pub use self::event::{AttemptEnd, Event, ExpectedTokens, Observation, Outcome, Request};
pub use self::explanation::{Cause, ChoiceExplanation, ExplainedChoice, FailedRequest};
pub use self::server::{ListForm, ServerEntry, ServerStatus};
pub use self::settings::{
    ClassSettings, Effect, KeyScope, KindSettings, Limits, ReportField, ReportMode, Role, Settings,
    SlowStart, TenantSettings,
};

/// A client request; never reused within one router's lifetime.
pub type RequestId = u32;
/// A model server; stable over restarts of its process.
pub type ServerId = u32;
