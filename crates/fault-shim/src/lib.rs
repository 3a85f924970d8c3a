//! System call fault injection for tests. Preloaded into a process with `LD_PRELOAD`, this library makes some system calls of
//! the process fail, transfer fewer bytes or be interrupted on a seeded schedule, and shifts its wall clock. Each kind of fault
//! that was injected is marked in a file, so that a run that tolerated a fault can be distinguished from a run in which the
//! fault was never injected.
//!
//! The environment variable `FAULT_SHIM` holds the fault plan, see [`plan::Plan`]; `FAULT_SHIM_COUNTS` names the file of marks.
//! Without a plan, system calls behave as usual. An invalid plan ends the process with status 2, because a test run without
//! the intended faults would prove nothing.

pub mod calls;
pub mod plan;
