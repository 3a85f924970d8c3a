//! Overload handled by all dispatchers as one, without input or output.
//!
//! [`Overload`] runs beside the plane: what this dispatcher saw goes in, sums go round, and the cut, what may be repeated and what
//! was heard of hosts come out. [`Gate`] stands in the core and judges each request by what it was told last, at the act and by time.
//!
//! - [`order`]: one order for all requests; [`cut`]: the rank in it from which on they are taken.
//! - [`Word`]: what a member says of itself; [`Words`]: the latest of each, and their [`Sums`].
//! - [`Capacity`]: what the hosts do, from what is completed and what waits.
//! - [`Probes`]: who asks a host, and to whom its answer goes.
//! - [`Returns`]: when who is refused may come back; [`Repeats`]: what may be done again.

mod capacity;
mod cut;
mod error;
mod gate;
mod io;
mod machine;
pub mod order;
mod probes;
mod repeats;
mod returns;
mod sums;
mod trials;
mod window;
mod word;

pub use capacity::{Capacity, Takes};
pub use cut::{below, cut};
pub use error::OverloadError;
pub use gate::{Asked, Gate, Taken, Verdict};
pub use io::{Ask, Cut, Millionths, Seen, Settings, Told};
pub use machine::Overload;
pub use order::Spent;
pub use probes::{asker, Probes, Saying, PROBE_EVERY};
pub use repeats::Repeats;
pub use returns::Returns;
pub use sums::{Sums, Words};
pub use trials::{Leave, Trials};
pub use window::{Rate, Span};
pub use word::{Word, WORD_BYTES};
