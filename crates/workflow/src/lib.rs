//! Workflows that another worker can resume, without input or output: steps, leases with epochs, outcomes of attempts, takeover; on
//! replicated registers.
//!
//! - [`Record`]: the value of one workflow's register, changed by pure transitions.
//! - [`Workflows`]: the machine beside the core. It takes a [`Command`], decides by the record, writes it by compare-and-set, and
//!   answers by an [`Event`], once and by its deadline.
//! - [`Settings`]: what an operator sets.

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
