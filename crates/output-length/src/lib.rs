//! Lengths of answers, learnt by all dispatchers together, without input or output.
//!
//! Answers are counted by model, class and length of prompt ([`Cell`]) in windows that only grow, each known by its origin,
//! the origin's start and a number, so that merging is to keep the later copy. Estimates ([`Curve`]) are sums over the latest
//! windows, weighed by age, shrunk towards the class and then towards all, calibrated online. [`Lengths`] is the machine beside
//! the plane; [`Local`] the same without peers.

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

pub use curve::{Curve, Curves, Expected, CURVES_MOST};
pub use error::LengthsError;
pub use ids::{Cell, ClassKey, ModelKey, Number, Origin, PromptBin, TenantKey};
pub use io::{Ask, End, Ended, Settings, Told};
pub use learner::Learner;
pub use local::Local;
pub use machine::Lengths;
pub use sketch::{Counts, BINS};
pub use timed::Timed;
pub use windows::{Record, Window, Windows, CELLS_MOST, WINDOWS_MOST};
