//! Estimates output lengths of responses from the responses that all dispatchers have observed. Performs no I/O itself.
//!
//! The terms of this crate:
//!
//! - Cell ([`Cell`]): the requests with the same model, the same request class and a similar prompt length. The output lengths of
//!   a cell are estimated together.
//! - Origin ([`Origin`]): one incarnation of a dispatcher process, as the source of counts. Peers exchange and store the counts of
//!   all origins.
//! - Window ([`Window`]): the counts, by output length in tokens, of the responses of one cell that one origin counted during a
//!   period of at most two minutes. The windows of an origin and cell are numbered. A window only grows, so merging two copies
//!   of a window means keeping the one with more responses.
//! - Calibration: the adjustment, after each response, of the estimated 90th percentile of a model and class, so that nine of ten
//!   responses are no longer than it.
//! - Coverage: the share of responses, from 0 to 1, that were no longer than the 90th percentile estimated when their requests
//!   arrived. The calibration aims at a coverage of 0.9.
//!
//! The estimate of a cell ([`QuantileCurve`]) is computed from the sum of the latest copies of the windows of all origins,
//! weighted by age. The sum of a cell is shrunk towards that of its class, and the sum of a class towards that of all requests.
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
