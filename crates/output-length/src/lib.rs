//! Estimates output lengths of responses from the responses that all dispatchers have observed. Performs no I/O itself.
//!
//! Responses are counted by model, request class and prompt length ([`Cell`]). Each process (an [`Origin`]) counts into numbered
//! windows that only grow, so merging two copies of a window means keeping the later one. A cell's estimate
//! ([`QuantileCurve`]) is a sum over the latest windows of all origins, weighted by age, shrunk towards the estimate of its
//! class and that towards the estimate of all requests; its 90th percentile is calibrated online against the observed lengths.
//! [`OutputLengths`] is the state machine that runs in each dispatcher and exchanges windows with its peers;
//! [`LocalLearner`] learns without peers.

mod change;
mod coverage;
mod curve;
mod error;
mod ids;
mod io;
mod learner;
mod local;
mod machine;
mod message;
mod odd;
mod own;
pub mod simulated;
mod sketch;
mod timed;
mod windows;

pub use curve::{CurveTable, LengthEstimate, QuantileCurve, MAX_CURVES};
pub use error::OutputLengthError;
pub use ids::{Cell, ClassKey, ModelKey, Origin, PromptBin, TenantKey, WindowNumber};
pub use io::{Command, Event, FinishedResponse, ResponseEnd, Settings};
pub use learner::Learner;
pub use local::LocalLearner;
pub use machine::OutputLengths;
pub use sketch::{Counts, BINS};
pub use timed::DurationBasedLearner;
pub use windows::{Window, WindowRecord, WindowStore, MAX_CELLS, MAX_WINDOWS};
