//! What is asked of workflows, what waits for an answer, and what the machine is to do.

use bitternlatch_policy::interface::{RequestId, ServerId};
use bitternlatch_protocol::client::{Create, Response};
use bitternlatch_workflow::{AttemptOutcome, Call, Command, Effect, RejectReason};

use crate::load_shedding::AdmittedWork;
use crate::types::{Micros, SessionId};

/// What a step means to do. The same under each epoch, but for the epoch.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Intent {
    pub workflow: String,
    pub epoch: u64,
    pub step: u32,
    pub effect: Effect,
    pub key: String,
    /// Digest of what is asked.
    pub request_digest: u64,
}

/// What a session asks before there is a request, or without one.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum WorkflowQuery {
    Claim {
        workflow: String,
        worker: String,
    },
    RenewLease {
        workflow: String,
        epoch: u64,
    },
    Finish {
        workflow: String,
        epoch: u64,
        cancelled: bool,
    },
    Settle {
        workflow: String,
        step: u32,
        outcome: AttemptOutcome,
    },
    Step(Intent),
}

/// Who asked, and what.
#[derive(Clone, Debug)]
pub(crate) struct PendingQuery {
    pub session: SessionId,
    pub create: Box<Create>,
    pub received_at: Micros,
    /// What the fleet's shedding has taken of it, until it is a request or over.
    pub admitted_work: AdmittedWork,
    pub(super) query: WorkflowQuery,
    /// Its session has closed.
    pub(super) abandoned: bool,
}

impl WorkflowQuery {
    /// The command that asks the coordinator; the answer is of no use after `until`.
    pub(super) fn command(self, call: Call, until: Micros) -> Command {
        let until_us = until.0;
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
            WorkflowQuery::Step(intent) => intend_step(call, intent, until),
        }
    }
}

/// A send that waits for its permission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BlockedSend {
    pub server: ServerId,
    pub timeout_s: f64,
}

/// What the machine is to do.
#[derive(Debug)]
pub(crate) enum WorkflowAction {
    /// Answer a session without a server.
    Answer {
        query: PendingQuery,
        text: String,
        is_step_result: bool,
    },
    /// Refuse a session's request.
    Reject {
        query: PendingQuery,
        reason: RejectReason,
    },
    /// Take a step's request as any other. Its intent is held, and it may leave until then.
    Admit {
        query: PendingQuery,
        intent: Intent,
        until: Micros,
    },
    /// A send that waited may go, or may not.
    ResumeSend {
        request: RequestId,
        send: BlockedSend,
        permitted: bool,
    },
    /// Tell how a step ended once more, after [`STEP_END_RETRY_S`](super::STEP_END_RETRY_S).
    RetryStepEnd(RequestId),
    /// Give a request's final answer, or one that says why not; without a cause it was not held in time.
    Deliver {
        request: RequestId,
        answer: Box<Response>,
        durable: Result<(), Option<RejectReason>>,
    },
    /// Tell what nobody waits for.
    SendCommand(Command),
}

pub(super) fn intend_step(call: Call, intent: Intent, until: Micros) -> Command {
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
        until_us: until.0,
    }
}

pub(super) fn report_outcome(
    call: Call,
    intent: Intent,
    outcome: AttemptOutcome,
    until: Micros,
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
        until_us: until.0,
    }
}

/// Whether a refusal says nothing of the workflow itself.
pub(super) fn is_transient(reason: RejectReason) -> bool {
    matches!(
        reason,
        RejectReason::NoMajority | RejectReason::Busy | RejectReason::NotStored
    )
}
