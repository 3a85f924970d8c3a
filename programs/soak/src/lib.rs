//! Seeded days of faults on the platform: dispatchers as processes between mock servers, discovery and clients, judged
//! from what those have seen.

pub mod clients;
pub mod discovery;
pub mod draw;
pub mod faults;
pub mod judge;
mod judge_streams;
mod machine_stalls;
mod outage_starts;
pub mod play;
pub mod process;
mod processor_wait;
pub mod record;
pub mod servers;
pub mod slow_start;
pub mod spoilt;
pub mod traffic;
