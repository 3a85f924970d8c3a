//! Log lines about workflows.

use super::CoordinatorOutput;
use crate::error::WorkflowError;
use crate::transition::Notice;

fn line(warn: bool, text: String) -> CoordinatorOutput {
    CoordinatorOutput::Log { warn, text }
}

pub(super) fn queue_full() -> CoordinatorOutput {
    let text = "too many workflow operations pending: further ones are rejected as busy";
    line(true, text.to_string())
}

pub(super) fn unreadable(name: &str, error: WorkflowError) -> CoordinatorOutput {
    line(
        true,
        format!("workflow {name}: {error}; {}", error.advice()),
    )
}

pub(super) fn of_notice(name: &str, notice: &Notice) -> CoordinatorOutput {
    match notice {
        Notice::Unsettled { step, key } => line(
            true,
            format!(
                "workflow {name} is unsettled: its unsafe step {step} (key '{key}') may have run, outcome unknown: \
                 check whether it ran and settle the step"
            ),
        ),
        Notice::Parked { step } => line(
            true,
            format!("workflow {name} is parked: three workers died during its step {step}; settle it to continue"),
        ),
        Notice::Resolved { step } => line(
            false,
            format!("workflow {name}: the outcome of step {step} is now known"),
        ),
        Notice::DuplicateResult { step } => line(
            true,
            format!("workflow {name}: step {step} has a second result; the first one counts, both are stored"),
        ),
        Notice::Expired => line(
            true,
            format!("workflow {name} expired unfinished: it reached its maximum age"),
        ),
    }
}
