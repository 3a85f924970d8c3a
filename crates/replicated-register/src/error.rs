//! What can be wrong, and what an operator can do.

use bitternlatch_quota_lease::KeepError;

use crate::Version;

/// Errors of registers.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegisterError {
    #[error("not a message about registers")]
    Malformed,
    #[error("a message of another version: {0}")]
    UnsupportedVersion(u8),
    /// Certainly not written.
    #[error("the register holds another version")]
    Conflict { latest: Option<Version> },
    /// Certainly not written.
    #[error("the register is at epoch {epoch} already")]
    StaleEpoch { epoch: u64 },
    /// Certainly not written.
    #[error("a majority of the copies cannot be reached")]
    NoMajority,
    /// Certainly not written.
    #[error("too many copies are still catching up")]
    CatchingUp,
    /// Certainly not written.
    #[error(
        "a majority of the copies has lost what it held; what the register held cannot be known"
    )]
    Lost,
    /// May or may not be written, as with [`RegisterError::TimedOut`].
    #[error("a majority of the copies cannot keep it: {0}")]
    NotStored(KeepError),
    /// Certainly not written.
    #[error("a value of {bytes} bytes is longer than {most}")]
    TooLong { bytes: usize, most: usize },
    /// Certainly not written.
    #[error("too many questions in hand")]
    Busy,
    /// May or may not be written.
    #[error("too many registers at a majority of the copies")]
    Full,
    /// May or may not be written.
    #[error("no majority answered in time; whether it is written is not known")]
    TimedOut,
}

/// Equal ones hash alike, which is all that is asked of it.
impl std::hash::Hash for RegisterError {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        std::mem::discriminant(self).hash(state);
    }
}

impl RegisterError {
    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        match self {
            RegisterError::Malformed => "find out who sends it: the link is proven, so it is one of the roster",
            RegisterError::UnsupportedVersion(_) => {
                "bring all dispatchers to one version; until then each counts the others it can read"
            }
            RegisterError::Conflict { .. } => "nothing: another one wrote first; the caller reads and decides anew",
            RegisterError::StaleEpoch { .. } => "nothing: another one has taken over; the caller has to stop",
            RegisterError::NoMajority => {
                "look at the view of members for who is away, and at the network between them"
            }
            RegisterError::CatchingUp => {
                "wait some seconds; if it stays so, start the copies that are away, as those that lost their memory need them"
            }
            RegisterError::Lost => {
                "start the lost copies with the folders they had, if there are any; otherwise a person has to decide what \
                 was done"
            }
            RegisterError::NotStored(fault) => fault.advice(),
            RegisterError::TooLong { .. } => "lower the limit of bytes of whoever writes it",
            RegisterError::Busy => "give callers less at a time, or more dispatchers",
            RegisterError::Full => "let finished work be let go of, or run more dispatchers",
            RegisterError::TimedOut => "nothing: the caller reads the register, which tells whether it was written",
        }
    }
}

#[cfg(test)]
mod tests;
