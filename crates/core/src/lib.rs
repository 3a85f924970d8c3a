//! One dispatcher as a deterministic state machine without I/O.
//!
//! [`Machine::step`] takes one [`Input`] at a clock time and appends [`Output`]s. It owns the decision module's
//! `Router`, the request table, the sessions, the links to model servers and the timers. It reads no clock, opens no
//! file or socket and draws random numbers from its seed alone, so that the same inputs give the same outputs in
//! every program; [`record`] writes both to a file and replays them.
//!
//! The design follows sans-I/O libraries such as `quinn-proto` and `rustls`.

mod actions;
mod answers;
mod attempts;
mod blocked_sends;
mod budget_leases;
mod budgets;
mod callers;
mod cluster_mode;
mod contexts;
mod engine_messages;
mod health_checks;
mod idempotency;
mod intake;
mod link_events;
mod links;
mod load_shedding;
mod machine;
mod observations;
mod output_lengths;
mod quota;
pub mod record;
mod request_start;
mod requests;
mod response_ids;
mod servers;
mod sessions;
pub mod settings;
mod timers;
mod types;
mod validated_request;
mod workflow_steps;
mod workflows;

pub use callers::CLOSE_CREDENTIAL_EXPIRED;
pub use machine::{decide, Counts, Machine, TracedDecision};
pub use observations::ServerObservation;
pub use settings::{Settings, SettingsError};
pub use timers::Timers;
pub use types::{Input, Level, LinkId, Micros, Output, SendDeadline, SessionId};
