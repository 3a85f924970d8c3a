//! Inputs and results of the transitions of a workflow record.

use bitternlatch_membership::NameKey;

use crate::io::RejectReason;
use crate::step_transitions::LocalAttempt;

/// Safety rules that are enforced. Production builds enforce all of them; tests turn one off to show that the violation is
/// detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[doc(hidden)]
pub struct SafetyChecks {
    /// Commands with an older epoch are rejected, and a dispatch permit expires.
    pub fencing: bool,
    /// A step is sent only after a majority has stored its intent.
    pub majority_first: bool,
}

impl SafetyChecks {
    /// The rules that the cargo features of this build leave on.
    pub const AS_BUILT: SafetyChecks = SafetyChecks {
        fencing: !cfg!(feature = "without-fencing"),
        majority_first: !cfg!(feature = "before-majority"),
    };
}

/// Answer to the caller: sent once the record is written, or at once if nothing has to be written.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The worker holds the workflow's lease.
    Claimed,
    /// The step's request may be sent.
    SendPermitted,
    /// The step was done before, with this result.
    AlreadyDone(String),
    /// The change or the reported outcome is in the record.
    Committed,
    /// The command was not carried out, for this reason.
    Rejected(RejectReason),
}

/// A change of the record that is logged once, when the record is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The workflow became unsettled: an unsafe step may have run.
    Unsettled {
        /// Number of the step within its workflow.
        step: u32,
        /// Idempotency key of the step.
        key: String,
    },
    /// The workflow became parked: too many workers died during this step.
    Parked {
        /// Number of the step within its workflow.
        step: u32,
    },
    /// The outcome of a step that may have run has become known.
    Resolved {
        /// Number of the step within its workflow.
        step: u32,
    },
    /// A second result of a step was reported.
    DuplicateResult {
        /// Number of the step within its workflow.
        step: u32,
    },
    /// The workflow reached its maximum age.
    Expired,
}

/// Result of one transition of a record.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// Whether the changed record has to be written.
    pub write: bool,
    /// Answer to send after the write, or at once if nothing is written.
    pub reply: Reply,
    /// Event to log after the write.
    pub notice: Option<Notice>,
}

impl Transition {
    pub(crate) fn write(reply: Reply) -> Transition {
        Transition {
            write: true,
            reply,
            notice: None,
        }
    }

    pub(crate) fn without_write(reply: Reply) -> Transition {
        Transition {
            write: false,
            reply,
            notice: None,
        }
    }

    pub(crate) fn rejected(reason: RejectReason) -> Transition {
        Transition::without_write(Reply::Rejected(reason))
    }

    pub(crate) fn with_notice(self, notice: Notice) -> Transition {
        Transition {
            notice: Some(notice),
            ..self
        }
    }
}

/// A worker's claim of a workflow's lease, with what the dispatcher knows about the previous lease and attempt.
#[derive(Clone, Debug)]
pub struct Claim<'a> {
    /// Name of the claiming worker.
    pub worker: &'a str,
    /// Dispatcher that makes the claim on behalf of the worker.
    pub holder: NameKey,
    /// Length of the claimed lease, microseconds.
    pub lease_us: u64,
    /// This dispatcher saw the recorded lease without a renewal for longer than its length.
    pub lease_expired: bool,
    /// What this process knows about the attempt at the open step.
    pub local_attempt: LocalAttempt,
}
