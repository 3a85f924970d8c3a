//! What a transition of a record is given and gives back.

use bitternlatch_membership::NameKey;

use crate::io::RejectReason;
use crate::step_transitions::LocalAttempt;

/// Which safety rules hold. All of them in service; tests leave one out to show that the violation is noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[doc(hidden)]
pub struct SafetyChecks {
    /// Older epochs are rejected, and a permission to send ends by time.
    pub fencing: bool,
    /// An effect is sent when a majority holds its intent, not before.
    pub majority_first: bool,
}

impl SafetyChecks {
    /// As this crate is built.
    pub const AS_BUILT: SafetyChecks = SafetyChecks {
        fencing: !cfg!(feature = "without-fencing"),
        majority_first: !cfg!(feature = "before-majority"),
    };
}

/// What the caller is answered once the record is written, or at once where nothing is to be written.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The worker holds the workflow's lease.
    Claimed,
    /// The effect may be sent.
    SendPermitted,
    /// The step has this result already.
    AlreadyDone(String),
    /// What was reported is in the record.
    Committed,
    /// It is not done.
    Rejected(RejectReason),
}

/// What is logged once, when the record that states it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// An unsafe step may have run.
    Unsettled {
        /// Number of the step.
        step: u32,
        /// Its idempotency key.
        key: String,
    },
    /// The workflow killed too many workers over this step.
    Parked {
        /// Number of the step.
        step: u32,
    },
    /// It has become known what happened to a step that may have run.
    Resolved {
        /// Number of the step.
        step: u32,
    },
    /// A second result of a step was reported.
    DuplicateResult {
        /// Number of the step.
        step: u32,
    },
    /// The workflow's time is over.
    Expired,
}

/// What one transition decides.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// Whether the record is to be written.
    pub write: bool,
    /// The answer once it is, or at once.
    pub reply: Reply,
    /// What is to be logged once it is written.
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

/// Who wants to hold a workflow's lease, and what its dispatcher knows.
#[derive(Clone, Debug)]
pub struct Claim<'a> {
    /// Name of the worker.
    pub worker: &'a str,
    /// The dispatcher.
    pub holder: NameKey,
    /// Length of the lease, microseconds.
    pub lease_us: u64,
    /// The lease in the record has been seen here, without a renewal, for longer than it lasts.
    pub lease_expired: bool,
    /// What this process knows of the open step's attempt.
    pub local_attempt: LocalAttempt,
}
