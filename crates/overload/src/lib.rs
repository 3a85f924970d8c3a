//! Load shedding coordinated between all dispatchers of a cluster; performs no I/O.
//!
//! [`OverloadControl`] runs in its own loop beside the dispatcher's main loop. It receives the load that this dispatcher measured,
//! exchanges load reports with the other dispatchers, and emits the admission threshold, the limits on attempts at failed servers and
//! the servers' reports. [`AdmissionController`] runs in the main loop and decides on each request by the threshold received last, for
//! as long as that is valid.
//!
//! - [`order`]: the priority order of all requests; [`admission_threshold`]: the rank in it from which on requests are admitted.
//! - [`LoadReport`]: the load of one dispatcher; [`LoadReports`]: the latest of each, and their [`ClusterTotals`].
//! - [`CapacityEstimator`]: what the servers can do, estimated from completed and from queued work.
//! - [`HealthChecks`]: which dispatcher sends a server's health checks, and who receives the result.
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
