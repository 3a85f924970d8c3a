//! The operators' simulator met on its wire: the same module as in service, many instances in one process.

pub mod encode;
pub mod wire;
