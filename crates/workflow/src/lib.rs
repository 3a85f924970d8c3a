//! Workflows that another worker resumes, without input or output: steps, leases with epochs, fates, adoption; on `replica`.
//!
//! - [`Record`]: the value of one workflow's register, by pure transitions.
//! - [`Workflows`]: the machine beside the plane. It takes [`Ask`], decides by the record, writes it by compare-and-set, and
//!   answers by [`Told`], once and in time.
//! - [`Settings`]: what an operator sets.

mod attempts;
mod cache;
mod context;
mod desk;
mod error;
#[cfg(test)]
mod golden;
mod io;
mod job;
mod machine;
mod queue;
mod record;
mod sends;
mod step;
mod timers;
mod turns;
mod watch;

#[cfg(test)]
mod tests;

pub use error::WorkflowError;
pub use io::{Ask, Call, Effect, Fate, Refusal, Settings, Step, Told};
pub use machine::Workflows;
pub use record::{Answer, Claimant, Guards, Limits, Notice, Outcome, Record, State, Turn};
pub use record::{DEATHS_MOST, RECORD_MOST, WHOLE_MOST};
pub use step::{Attempt, Entry, Stage, RESULT_MOST};
pub use turns::{Intent, Mine};
