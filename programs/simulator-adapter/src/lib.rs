//! The decision module on the operators' simulator: the same module as in service, many instances in
//! one process. [`wire`] answers the simulator; [`encode`] plays its part in tests and programs.

pub mod encode;
pub mod wire;
