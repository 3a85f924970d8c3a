//! For tests alone: preloaded (`LD_PRELOAD`) into a process, this library lets some of its system calls fail, fall short
//! or be interrupted by a seeded schedule, and sets its wall clock off. It counts each injection in a file, so that a run
//! in which a fault was never injected can be told from one that stood it.
//!
//! `FAULT_SHIM` holds the plan, see [`plan::Plan`]; `FAULT_SHIM_COUNTS` names the file of counts. Without a plan nothing
//! is changed. A plan that cannot be read ends the process with status 2: a run without its faults would prove nothing.

pub mod calls;
pub mod plan;
