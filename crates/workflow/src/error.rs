//! What can be wrong, and what an operator can do.

/// Errors of workflows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WorkflowError {
    #[error("not a workflow's record")]
    Unreadable,
    #[error("a workflow's record of another version")]
    OtherVersion,
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
                "look at the disks of the dispatchers that hold its copies; the workflow is refused until it can be read"
            }
            WorkflowError::OtherVersion => {
                "bring all dispatchers to one version; until then the older ones refuse this workflow"
            }
            WorkflowError::TooLong => "cancel the workflow and report it: its results should have been cut",
        }
    }
}
