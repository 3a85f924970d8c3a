//! Errors in stored workflow records, with advice to the operator for each.

/// Why a stored workflow record cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WorkflowError {
    /// The stored bytes cannot be decoded as a workflow record.
    #[error("the stored bytes are not a workflow record")]
    Unreadable,
    /// The record has a format version that this build does not support.
    #[error("the workflow record was written by another version")]
    OtherVersion,
    /// The encoded record exceeds [`crate::MAX_RECORD_BYTES`].
    #[error("the workflow record exceeds the maximum size")]
    TooLong,
}

impl WorkflowError {
    /// Every variant of the error.
    pub const ALL: [WorkflowError; 3] = [
        WorkflowError::Unreadable,
        WorkflowError::OtherVersion,
        WorkflowError::TooLong,
    ];

    /// What an operator can do about this error; appended to the log line.
    pub fn advice(&self) -> &'static str {
        match self {
            WorkflowError::Unreadable => {
                "check the disks of the dispatchers that hold its replicas; the workflow is rejected until it can be read"
            }
            WorkflowError::OtherVersion => {
                "upgrade all dispatchers to the same version; until then the older ones reject this workflow"
            }
            WorkflowError::TooLong => {
                "cancel the workflow and report it: its results should have been truncated"
            }
        }
    }
}
