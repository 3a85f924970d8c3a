//! Errors of the length estimation, with advice for operators.

use bitternlatch_quota_lease::StorageError;

/// Errors of the length estimation.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum OutputLengthError {
    #[error("the message does not have the format of the output length protocol")]
    Unreadable,
    #[error("unsupported format version {0}")]
    UnsupportedVersion(u8),
    #[error("the message has invalid counts")]
    InvalidCounts,
    #[error("the snapshot of output lengths is corrupt")]
    CorruptSnapshot,
    #[error("the snapshot of output lengths cannot be read: {0:?}")]
    SnapshotUnavailable(StorageError),
    #[error("the server reports an impossible number of output tokens")]
    ImplausibleReport,
}

impl OutputLengthError {
    pub(crate) fn snapshot_unavailable(error: StorageError) -> OutputLengthError {
        OutputLengthError::SnapshotUnavailable(error)
    }

    /// What an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            OutputLengthError::Unreadable | OutputLengthError::UnsupportedVersion(_) => {
                "run the same version on all dispatchers; until then each learns only from those whose messages it can read"
            }
            OutputLengthError::InvalidCounts => "check the version and the memory of the named peer, and restart it",
            OutputLengthError::CorruptSnapshot | OutputLengthError::SnapshotUnavailable(_) => {
                "no action is needed: the dispatcher learns from its peers and writes a new snapshot; check the disk if this recurs"
            }
            OutputLengthError::ImplausibleReport => {
                "check the engine of the named server: its usage must report the output tokens; implausible responses are not counted"
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_error_has_a_text_and_advice() {
        let all = [
            OutputLengthError::Unreadable,
            OutputLengthError::UnsupportedVersion(9),
            OutputLengthError::InvalidCounts,
            OutputLengthError::CorruptSnapshot,
            OutputLengthError::SnapshotUnavailable(StorageError::Full),
            OutputLengthError::ImplausibleReport,
        ];
        for error in all {
            // Fails to compile for a new variant, which is then to be added to the list above.
            match &error {
                OutputLengthError::Unreadable
                | OutputLengthError::UnsupportedVersion(_)
                | OutputLengthError::InvalidCounts
                | OutputLengthError::CorruptSnapshot
                | OutputLengthError::SnapshotUnavailable(_)
                | OutputLengthError::ImplausibleReport => {
                    assert!(error.advice().len() > 20 && !error.to_string().is_empty())
                }
            }
        }
    }
}
