//! Operations of callers on a register, and their outcomes.

use crate::register::Version;
use crate::RegisterError;

/// Operation of a call on a register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Returns the value.
    Read,
    /// Replaces or deletes the value if its version is the expected one.
    Write(Write),
}

/// A compare-and-set write or deletion.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    /// Version that the register has to have; `None` if it has to have no value.
    pub expected: Option<Version>,
    /// Epoch of the new version. The write fails if it is below the epoch of the version that it replaces.
    pub epoch: u64,
    /// The new value; `None` deletes the register.
    pub body: Option<Vec<u8>>,
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Version and value that a read found; `None` if the register has no value.
    Read(Option<(Version, Vec<u8>)>),
    /// Version that the call wrote.
    Written(Version),
    /// Error with which the call failed.
    Failed(RegisterError),
}
