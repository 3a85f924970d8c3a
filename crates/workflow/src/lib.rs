//! Workflows that another worker resumes, without input or output: steps, leases with epochs, fates, adoption; on `replica`.
//!
//! - [`Record`]: the value of one workflow's register, by pure transitions.
//! - [`Workflows`]: the machine beside the plane. It takes [`Command`], decides by the record, writes it by compare-and-set, and
//!   answers by [`Event`], once and in time.
//! - [`Settings`]: what an operator sets.

mod attempts;
mod cache;
mod context;
mod coordinator;
mod dispatch_permits;
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
mod timers;

#[cfg(test)]
mod tests;

pub use error::WorkflowError;
pub use io::{AttemptOutcome, Call, Command, Effect, Event, RejectReason, Settings, Step};
pub use machine::Workflows;
pub use record::{Claim, Limits, Notice, Outcome, Record, Reply, SafetyChecks, State, Transition};
pub use record::{MAX_RECORD_BYTES, MAX_UNCOMPACTED_STEPS, MAX_WORKER_DEATHS};
pub use step::{Attempt, StepRecord, StepState, MAX_RESULT_BYTES};
pub use step_transitions::{Intent, LocalAttempt};
