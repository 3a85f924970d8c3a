//! Errors of calls and messages, and what an operator can do about each.

use bitternlatch_quota_lease::StorageError;

use crate::Version;

/// Why a call failed, or a message was dropped. Each error of a call states whether the value may have been written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegisterError {
    /// The message cannot be decoded.
    #[error("not a message about registers")]
    Malformed,
    /// The message is of this version.
    #[error("a message of another version: {0}")]
    UnsupportedVersion(u8),
    /// Certainly not written.
    #[error("the register holds another version")]
    Conflict {
        /// The version that it holds; none where it holds no value.
        latest: Option<Version>,
    },
    /// Certainly not written.
    #[error("the register is at epoch {epoch} already")]
    StaleEpoch {
        /// Epoch of the latest version.
        epoch: u64,
    },
    /// Certainly not written.
    #[error("a majority of the replicas cannot be reached")]
    NoMajority,
    /// Certainly not written.
    #[error("too many replicas are still catching up")]
    CatchingUp,
    /// Certainly not written.
    #[error(
        "a majority of the replicas has lost what it held; what the register held cannot be known"
    )]
    Lost,
    /// May or may not be written, as with [`RegisterError::TimedOut`].
    #[error("a majority of the replicas cannot store it: {0}")]
    NotStored(StorageError),
    /// Certainly not written.
    #[error("a value of {bytes} bytes is longer than {max}")]
    TooLong {
        /// Length of the value.
        bytes: usize,
        /// Length that is allowed.
        max: usize,
    },
    /// Certainly not written.
    #[error("too many calls in progress")]
    Busy,
    /// May or may not be written.
    #[error("too many registers at a majority of the replicas")]
    Full,
    /// May or may not be written.
    #[error("no majority answered in time; whether it is written is not known")]
    TimedOut,
}

/// By the variant alone: equal errors have the same hash, which is all that `Hash` requires.
impl std::hash::Hash for RegisterError {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        std::mem::discriminant(self).hash(state);
    }
}

impl RegisterError {
    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        match self {
            RegisterError::Malformed => {
                "find out who sends it: the link is authenticated, so it is one of the roster"
            }
            RegisterError::UnsupportedVersion(_) => {
                "bring all dispatchers to one version; until then each counts the others it can read"
            }
            RegisterError::Conflict { .. } => {
                "nothing: another one wrote first; the caller reads and decides anew"
            }
            RegisterError::StaleEpoch { .. } => {
                "nothing: another one has taken over; the caller has to stop"
            }
            RegisterError::NoMajority => {
                "look at the view of members for who is away, and at the network between them"
            }
            RegisterError::CatchingUp => {
                "wait some seconds; if it stays so, start the replicas that are away, as those that lost their memory need \
                 them"
            }
            RegisterError::Lost => {
                "start the lost replicas with the folders they had, if there are any; otherwise a person has to decide what \
                 was done"
            }
            RegisterError::NotStored(fault) => fault.advice(),
            RegisterError::TooLong { .. } => "lower the limit of bytes of whoever writes it",
            RegisterError::Busy => "give callers less at a time, or more dispatchers",
            RegisterError::Full => "let finished work be deleted, or run more dispatchers",
            RegisterError::TimedOut => {
                "nothing: the caller reads the register, which tells whether it was written"
            }
        }
    }
}

#[cfg(test)]
mod tests;
