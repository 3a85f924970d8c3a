//! Workflows that another worker resumes, without input or output: steps, leases with epochs, fates, adoption; on `replica`.
//!
//! - [`Record`]: the value of one workflow's register, by pure transitions.
//! - [`Settings`], [`Ask`], [`Told`]: what the dispatcher's core tells and is told.

mod context;
mod error;
mod io;
mod record;
mod step;
mod turns;

pub use error::WorkflowError;
pub use io::{Ask, Call, Effect, Fate, Refusal, Settings, Step, Told};
pub use record::{Answer, Claimant, Guards, Limits, Notice, Outcome, Record, State, Turn};
pub use record::{DEATHS_MOST, RECORD_MOST, WHOLE_MOST};
pub use step::{Attempt, Entry, Stage, RESULT_MOST};
pub use turns::{Intent, Mine};
