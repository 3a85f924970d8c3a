//! What a caller wants done, and what it is answered.

use crate::register::Version;
use crate::RegisterError;

/// What a caller wants done with a register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Returns the value.
    Read,
    /// Replaces the value if its version is the expected one.
    Write(Write),
}

/// A compare-and-set.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    /// Version that the register has to have; none for one without a value.
    pub expected: Option<Version>,
    /// Epoch of the new version; not below the one of the value that it replaces.
    pub epoch: u64,
    /// The new value; none deletes the register.
    pub body: Option<Vec<u8>>,
}

/// What the caller is answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Version and value; none where the register holds no value.
    Read(Option<(Version, Vec<u8>)>),
    /// The version that was written.
    Written(Version),
    /// The call failed.
    Failed(RegisterError),
}
