//! Errors of register calls and messages, each with advice for operators.

use bitternlatch_quota_lease::StorageError;

use crate::Version;

/// Why a call failed or a received message was dropped. The documentation of each call error states whether the value may have been
/// written all the same.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegisterError {
    /// A received message cannot be decoded.
    #[error("malformed register message")]
    Malformed,
    /// A received message has this protocol version, which is not supported.
    #[error("unsupported version of the register protocol: {0}")]
    UnsupportedVersion(u8),
    /// The register has another version than the call expected. The value was not written.
    #[error("the register has another version than expected")]
    Conflict {
        /// Version of the current value; `None` if the register has no value.
        latest: Option<Version>,
    },
    /// The epoch of the write is below that of the register. The value was not written.
    #[error("the register already has epoch {epoch}")]
    StaleEpoch {
        /// Epoch of the register's latest version.
        epoch: u64,
    },
    /// Fewer than a majority of the replicas responded or are reachable. The value was not written.
    #[error("a majority of the replicas cannot be reached")]
    NoMajority,
    /// Too few replicas count toward a majority until others have caught up. The value was not written.
    #[error("too many replicas are still catching up")]
    CatchingUp,
    /// A majority of the replicas has lost its state. The value was not written.
    #[error(
        "a majority of the replicas has lost its state; the value of the register cannot be determined"
    )]
    Lost,
    /// The disks of too many replicas are full or faulty. The value may or may not have been written, as with
    /// [`RegisterError::TimedOut`].
    #[error("a majority of the replicas cannot store it: {0}")]
    NotStored(StorageError),
    /// The value exceeds the maximum length. The value was not written.
    #[error("the value has {bytes} bytes; at most {max} are allowed")]
    TooLong {
        /// Length of the value in bytes.
        bytes: usize,
        /// Maximum length of a value in bytes.
        max: usize,
    },
    /// This process has too many calls in progress or queued, or the call did not leave its queue in time. The value was not
    /// written.
    #[error("too many calls in progress")]
    Busy,
    /// Too many replicas have reached their limit of registers or bytes. The value may or may not have been written.
    #[error("too many registers or bytes at a majority of the replicas")]
    Full,
    /// No majority responded by the deadline. The value may or may not have been written.
    #[error("no majority responded in time; whether the value was written is not known")]
    TimedOut,
}

/// Hashes the variant only. Equal errors have equal hashes, as `Hash` requires.
impl std::hash::Hash for RegisterError {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        std::mem::discriminant(self).hash(state);
    }
}

impl RegisterError {
    /// Advice for the operator that is logged with the error.
    pub fn advice(&self) -> &'static str {
        match self {
            RegisterError::Malformed => {
                "find the sender of the message: connections are authenticated, so it is a member of the roster"
            }
            RegisterError::UnsupportedVersion(_) => {
                "run one version on all dispatchers; until then messages of other versions are dropped and counted"
            }
            RegisterError::Conflict { .. } => {
                "nothing: another writer was first; the caller reads the register and decides again"
            }
            RegisterError::StaleEpoch { .. } => {
                "nothing: another writer has taken over under a higher epoch; the caller has to stop"
            }
            RegisterError::NoMajority => {
                "check the membership view for unreachable members, and the network between the members"
            }
            RegisterError::CatchingUp => {
                "wait some seconds; if it persists, start the replicas that are down: replicas that lost their state need \
                 them to catch up"
            }
            RegisterError::Lost => {
                "start the lost replicas with their former data folders, if these still exist; otherwise determine by hand \
                 what was done"
            }
            RegisterError::NotStored(fault) => fault.advice(),
            RegisterError::TooLong { .. } => "lower the size limit at the writer of the value",
            RegisterError::Busy => "reduce the concurrency of the callers, or run more dispatchers",
            RegisterError::Full => "delete finished work, or run more dispatchers",
            RegisterError::TimedOut => {
                "nothing: the caller reads the register, which shows whether the value was written"
            }
        }
    }
}

#[cfg(test)]
mod tests;
