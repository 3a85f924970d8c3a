//! Types of the workflow table: queries and commands to the workflow coordinator, and actions of the machine.

use bitternlatch_policy::interface::{RequestId, ServerId};
use bitternlatch_protocol::client::{Create, Response};
use bitternlatch_workflow::{AttemptOutcome, Call, Command, Effect, RejectReason};

use crate::load_shedding::AdmittedWork;
use crate::types::{Micros, SessionId};

/// What a workflow step is about to do, stored before it is sent. A worker that resumes the workflow under a later epoch
/// requests the step with an otherwise equal intent.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Intent {
    /// Qualified name of the workflow, see [`qualified_name`](super::qualified_name).
    pub workflow: String,
    /// Epoch of the claim of the worker that requests the step.
    pub epoch: u64,
    /// Number of the step in its workflow, from 1.
    pub step: u32,
    pub effect: Effect,
    /// Idempotency key of the step.
    pub key: String,
    /// Hash of the request, which detects another request under the same step number.
    pub request_digest: u64,
}

/// A query of a session to the workflow coordinator. A step becomes a request once the query is answered; all others are
/// answered without one.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum WorkflowQuery {
    /// A worker starts a workflow, resumes it after the failure of another worker, or returns to its own.
    Claim { workflow: String, worker: String },
    /// A worker renews its lease on a workflow.
    RenewLease { workflow: String, epoch: u64 },
    /// A worker ends its workflow, as finished or as cancelled.
    Finish {
        workflow: String,
        epoch: u64,
        cancelled: bool,
    },
    /// A person decides the outcome of a step for which it is unknown.
    Settle {
        workflow: String,
        step: u32,
        outcome: AttemptOutcome,
    },
    /// Store the intent of a step and permit to send it.
    Step(Intent),
}

/// A query that waits for the coordinator, with the session and the client request that it belongs to.
#[derive(Clone, Debug)]
pub(crate) struct PendingQuery {
    pub session: SessionId,
    pub create: Box<Create>,
    /// When the client request was received.
    pub received_at: Micros,
    /// The work that load shedding has admitted for the query, until it becomes a request or ends.
    pub admitted_work: AdmittedWork,
    pub(super) query: WorkflowQuery,
    /// No client waits for the answer any more: the session closed or the query timed out.
    pub(super) abandoned: bool,
}

impl WorkflowQuery {
    /// The command for the coordinator; its answer is of no use after the deadline.
    pub(super) fn command(self, call: Call, deadline: Micros) -> Command {
        let until_us = deadline.0;
        match self {
            WorkflowQuery::Claim { workflow, worker } => Command::Claim {
                call,
                workflow,
                worker,
                until_us,
            },
            WorkflowQuery::RenewLease { workflow, epoch } => Command::RenewLease {
                call,
                workflow,
                epoch,
                until_us,
            },
            WorkflowQuery::Finish {
                workflow,
                epoch,
                cancelled,
            } => Command::Finish {
                call,
                workflow,
                epoch,
                cancelled,
                until_us,
            },
            WorkflowQuery::Settle {
                workflow,
                step,
                outcome,
            } => Command::Settle {
                call,
                workflow,
                step,
                outcome,
                until_us,
            },
            WorkflowQuery::Step(intent) => intend_step(call, intent, deadline),
        }
    }
}

/// A send to a model server that waits for a new permission of its workflow step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BlockedSend {
    pub server: ServerId,
    /// Time limit of the attempt, seconds.
    pub timeout_s: f64,
}

/// What the machine has to do after an event or a time-out of a query.
#[derive(Debug)]
pub(crate) enum WorkflowAction {
    /// Answer a query without a model server.
    Answer {
        query: PendingQuery,
        text: String,
        /// The text is the stored result of a completed step, so that a later request may continue its conversation.
        is_step_result: bool,
    },
    /// Reject a query of a session.
    Reject {
        query: PendingQuery,
        reason: RejectReason,
    },
    /// Admit the request of a step, whose intent is durably stored.
    Admit {
        query: PendingQuery,
        intent: Intent,
        /// When the permission to send the step expires.
        permitted_until: Micros,
    },
    /// Carry out a blocked send if it is permitted, or drop it.
    ResumeSend {
        request: RequestId,
        send: BlockedSend,
        permitted: bool,
    },
    /// Report the outcome of a step again after [`STEP_END_RETRY_S`](super::STEP_END_RETRY_S).
    RetryStepEnd(RequestId),
    /// Deliver the final answer of a step.
    Deliver {
        request: RequestId,
        answer: Box<Response>,
        /// Whether the outcome is durable; the error is why it was rejected, or `None` where the coordinator did not confirm
        /// it.
        durable: Result<(), Option<RejectReason>>,
    },
    /// Send a command whose answer no client waits for.
    SendCommand(Command),
}

/// The command that stores the intent of a step and requests the permission to send it.
pub(super) fn intend_step(call: Call, intent: Intent, deadline: Micros) -> Command {
    let Intent {
        workflow,
        epoch,
        step,
        effect,
        key,
        request_digest,
    } = intent;
    Command::Intend {
        call,
        workflow,
        epoch,
        step,
        effect,
        key,
        request_digest,
        until_us: deadline.0,
    }
}

/// The command that reports the outcome of a step.
pub(super) fn report_outcome(
    call: Call,
    intent: Intent,
    outcome: AttemptOutcome,
    deadline: Micros,
) -> Command {
    let Intent {
        workflow,
        epoch,
        step,
        ..
    } = intent;
    Command::ReportOutcome {
        call,
        workflow,
        epoch,
        step,
        outcome,
        until_us: deadline.0,
    }
}

/// Whether a rejection is due to the state of the coordinator and not to the workflow, so that a retry may succeed.
pub(super) fn is_transient(reason: RejectReason) -> bool {
    matches!(
        reason,
        RejectReason::NoMajority | RejectReason::Busy | RejectReason::NotStored
    )
}
