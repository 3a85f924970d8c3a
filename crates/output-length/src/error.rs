//! What can be wrong, and what an operator can do.

use bitternlatch_quota_lease::StorageError;

/// Errors of lengths.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LengthsError {
    #[error("not a message about lengths of answers")]
    Unreadable,
    #[error("a message of version {0}")]
    OtherVersion(u8),
    #[error("counts that no dispatcher makes")]
    Unsound,
    #[error("what was kept of lengths is not readable")]
    BrokenSnapshot,
    #[error("what was kept of lengths cannot be read: {0:?}")]
    Unread(StorageError),
    #[error("a host reports lengths that cannot be")]
    OddHost,
}

impl LengthsError {
    pub(crate) fn unread(error: StorageError) -> LengthsError {
        LengthsError::Unread(error)
    }

    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        match self {
            LengthsError::Unreadable | LengthsError::OtherVersion(_) => {
                "bring all dispatchers to one version; until then each counts the others it can read"
            }
            LengthsError::Unsound => "look at the named peer's version and memory, and start it again",
            LengthsError::BrokenSnapshot | LengthsError::Unread(_) => {
                "nothing: it learns from its peers and writes a new one; look at the disk if it happens again"
            }
            LengthsError::OddHost => {
                "look at the named host's engine: usage must tell the tokens of its answers; it is not counted until then"
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_error_says_what_to_do() {
        let all = [
            LengthsError::Unreadable,
            LengthsError::OtherVersion(9),
            LengthsError::Unsound,
            LengthsError::BrokenSnapshot,
            LengthsError::Unread(StorageError::Full),
            LengthsError::OddHost,
        ];
        for error in all {
            // A new variant has to be added above.
            match &error {
                LengthsError::Unreadable
                | LengthsError::OtherVersion(_)
                | LengthsError::Unsound
                | LengthsError::BrokenSnapshot
                | LengthsError::Unread(_)
                | LengthsError::OddHost => {
                    assert!(error.advice().len() > 20 && !error.to_string().is_empty())
                }
            }
        }
    }
}
