//! Errors of stored records, and what an operator can do about each.

/// Why a stored record cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WorkflowError {
    /// It cannot be decoded.
    #[error("not a workflow's record")]
    Unreadable,
    /// It was written by another version.
    #[error("a workflow's record of another version")]
    OtherVersion,
    /// It exceeds [`crate::MAX_RECORD_BYTES`].
    #[error("a workflow's record is longer than any may be")]
    TooLong,
}

impl WorkflowError {
    /// All of them.
    pub const ALL: [WorkflowError; 3] = [
        WorkflowError::Unreadable,
        WorkflowError::OtherVersion,
        WorkflowError::TooLong,
    ];

    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        match self {
            WorkflowError::Unreadable => {
                "look at the disks of the dispatchers that hold its replicas; the workflow is rejected until it can be read"
            }
            WorkflowError::OtherVersion => {
                "bring all dispatchers to one version; until then the older ones reject this workflow"
            }
            WorkflowError::TooLong => {
                "cancel the workflow and report it: its results should have been truncated"
            }
        }
    }
}
