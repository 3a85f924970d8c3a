//! Connects the decision module to the operators' simulator. It is the same module that runs in production; one process
//! runs many instances of it. [`wire`] answers the simulator; [`encode`] writes what the simulator sends, for tests and tools.

pub mod encode;
pub mod wire;
