//! Agents of a day: workers as processes that carry workflows of steps over any dispatcher, and take over from each other.

mod field;
mod plan;
mod troubles;
mod worker;

pub use field::Field;
pub use plan::{workflows, Agents, Planned, Step};
pub use troubles::{draw, Drawn, WorkerFault};
pub use worker::{carry_all, work, Brief, AS_WORKER};
