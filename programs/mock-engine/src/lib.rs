//! Stand-in model hosts on real sockets: they read prompts and write answers with an engine that fills, start
//! cold, fall over when pushed, and fail by script. They stand in for engines in tests and bad days; they are no model
//! of any real engine's speed.

pub mod capture;
pub mod config;
mod host;

mod serve;
mod signed;
mod world;

pub use config::Config;
pub use host::answer_len;
pub use world::Standins;
