//! Load shedding coordinated between all dispatchers of a cluster; performs no I/O.
//!
//! [`OverloadControl`] runs in its own loop beside the dispatcher's main loop. It receives the load that this dispatcher measured,
//! exchanges load reports with the other dispatchers, and emits the admission threshold, the limits on attempts at failed servers and
//! the servers' reports. [`AdmissionController`] runs in the main loop and decides on each request by the threshold received last, for
//! as long as that is valid.
//!
//! Terms used in this crate:
//!
//! - Work: the time that a server of weight 1 is expected to need for a request, in seconds. Capacity and demand are work per second.
//! - Priority level and rank: the level is a whole number from 0 (lowest), by priority weight per unit of work; the rank adds a fraction
//!   that orders the requests of one level.
//! - Backlog: the admitted work that waits for its first token. New work: admitted work that is no retry.
//! - Retry: a request that was rejected lately and is sent again, or an attempt that repeats work of an earlier attempt.
//! - Recovery trial: attempts at a server that failed lately, which one dispatcher at a time makes to find out whether the server works
//!   again.
//!
//! Types:
//!
//! - [`order`]: the priority order of all requests; [`admission_threshold`]: the rank in it from which on requests are admitted.
//! - [`LoadReport`]: the load of one dispatcher; [`LoadReports`]: the latest of each, and their [`ClusterTotals`].
//! - [`CapacityEstimator`]: what the servers can do, estimated from completed and from queued work.
//! - [`HealthChecks`]: which dispatcher sends a server's health checks, and which dispatchers receive the result.
//! - [`RecoveryTrials`]: how many attempts a dispatcher may send to a server that has failed.
//! - [`RetryAfterSchedule`]: when the client of a rejected request may retry; [`RetryBudget`]: how much work may be retried.

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

pub use capacity::{AdmissibleLoad, CapacityEstimator};
pub use cut::{admission_threshold, fraction_below};
pub use error::OverloadError;
pub use gate::{AdmissionController, AdmissionDecision, AdmissionRequest, PendingWork};
pub use io::{AdmissionThreshold, Command, Event, LocalLoad, Millionths, Settings};
pub use machine::OverloadControl;
pub use order::SunkCost;
pub use probes::{responsible_member, HealthCheckMessage, HealthChecks, HEALTH_CHECK_INTERVAL};
pub use repeats::RetryBudget;
pub use returns::RetryAfterSchedule;
pub use sums::{ClusterTotals, LoadReports};
pub use trials::{RecoveryLimit, RecoveryTrials};
pub use window::{DecayingRate, SlidingSum};
pub use word::{LoadReport, LOAD_REPORT_BYTES};
