//! Workflows that another worker can resume after the lease of the first one expires: steps, leases with epochs, attempt outcomes
//! and adoption. State is stored in replicated registers. The crate performs no I/O itself.
//!
//! - [`Record`]: the value of one workflow's register, changed only by pure transitions.
//! - [`Workflows`]: the state machine that the core sends commands to. It takes a [`Command`], applies a transition to the record,
//!   writes the record by compare-and-set, and answers with one [`Event`] before the deadline of the command.
//! - [`Settings`]: the operator's settings.

mod attempts;
mod cache;
mod context;
mod coordinator;
mod error;
#[cfg(test)]
mod golden;
mod io;
mod lease_observer;
mod machine;
mod operation;
mod queue;
mod record;
mod step;
mod step_transitions;
mod time;
mod timers;
mod transition;
mod workflow_transitions;

#[cfg(test)]
mod tests;

pub use error::WorkflowError;
pub use io::{AttemptOutcome, Call, Command, Effect, Event, RejectReason, Settings, Step};
pub use machine::Workflows;
pub use record::{Limits, Outcome, Record, State, MAX_RECORD_BYTES, MAX_UNCOMPACTED_STEPS};
pub use step::{Attempt, StepRecord, StepState, MAX_RESULT_BYTES};
pub use step_transitions::{Intent, LocalAttempt};
pub use transition::{Claim, Notice, Reply, SafetyChecks, Transition};
pub use workflow_transitions::MAX_WORKER_DEATHS;
