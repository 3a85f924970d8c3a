//! Conversion between the client protocol and the types of the workflow coordinator.

use bitternlatch_protocol::client::{BadRequest, Create};
use bitternlatch_protocol::workflow::{ClaimedStep, Operation, StepDecision, StepEffect, StepFate};
use bitternlatch_workflow::{AttemptOutcome, Effect, RejectReason};
use xxhash_rust::xxh3::Xxh3;

use super::{Intent, WorkflowQuery};
use crate::settings::{self, Class};

/// A step as reported to the worker that claims its workflow.
pub(super) fn to_claimed_step(step: bitternlatch_workflow::Step) -> ClaimedStep {
    let (fate, result) = match step.outcome {
        None => (StepFate::Open, None),
        Some(AttemptOutcome::MayHaveRun) => (StepFate::MayHaveRun, None),
        Some(AttemptOutcome::NeverRan) => (StepFate::NeverRan, None),
        Some(AttemptOutcome::Done { result, .. }) => (StepFate::Done, Some(result)),
    };
    let effect = match step.effect {
        Effect::Safe => StepEffect::Safe,
        Effect::Keyed => StepEffect::Keyed,
        Effect::Unsafe => StepEffect::Unsafe,
    };
    ClaimedStep {
        number: step.number,
        effect,
        key: step.key,
        fate,
        result,
    }
}

/// Serializes the text of an answer.
pub(super) fn to_json(value: &impl serde::Serialize) -> String {
    // The values consist of strings and numbers under string keys, whose serialization cannot fail.
    serde_json::to_string(value).unwrap_or_default()
}

/// The name of a workflow that is unique among all callers: its tenant, its owner and the name that the caller gave it.
pub(crate) fn qualified_name(tenant: &str, owner: &str, own_name: &str) -> String {
    // Slashes within a part are escaped, so that different names cannot be joined to the same qualified name.
    let escape = |part: &str| part.replace('%', "%25").replace('/', "%2f");
    format!("{}/{}/{}", escape(tenant), escape(owner), escape(own_name))
}

/// Converts a request about a workflow to a query. `key` is the idempotency key of the client, empty where it sent none.
pub(crate) fn to_query(
    workflow: String,
    operation: Operation,
    create: &Create,
    class: &Class,
    key: &str,
) -> WorkflowQuery {
    match operation {
        Operation::Claim { worker } => WorkflowQuery::Claim { workflow, worker },
        Operation::RenewLease { epoch } => WorkflowQuery::RenewLease { workflow, epoch },
        Operation::Finish { epoch } => WorkflowQuery::Finish {
            workflow,
            epoch,
            cancelled: false,
        },
        Operation::Cancel { epoch } => WorkflowQuery::Finish {
            workflow,
            epoch,
            cancelled: true,
        },
        Operation::Settle { step, decision } => {
            let outcome = match decision {
                StepDecision::Done => AttemptOutcome::Done {
                    result: create.input.clone(),
                    tokens: 0,
                },
                StepDecision::NeverRan => AttemptOutcome::NeverRan,
                StepDecision::Skipped => AttemptOutcome::MayHaveRun,
            };
            WorkflowQuery::Settle {
                workflow,
                step,
                outcome,
            }
        }
        Operation::Step { epoch, step } => {
            let effect = match class.effect {
                settings::Effect::Safe => Effect::Safe,
                settings::Effect::Keyed => Effect::Keyed,
                settings::Effect::Unsafe => Effect::Unsafe,
            };
            let request_digest = digest_request(create, &class.name, key);
            // A client may send no key; a repeated step must be recognized nevertheless.
            let key = if key.is_empty() {
                format!("{workflow}/{step}")
            } else {
                key.to_string()
            };
            WorkflowQuery::Step(Intent {
                workflow,
                epoch,
                step,
                effect,
                key,
                request_digest,
            })
        }
    }
}

/// Hash of the request of a step, equal for each worker that requests it. It leaves out the conversation context, which
/// workers may pass in different ways.
fn digest_request(create: &Create, class: &str, key: &str) -> u64 {
    let mut hash = Xxh3::new();
    for part in [create.model.as_str(), class, &create.input, key] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.digest()
}

/// A rejection as an error of the client protocol. Errors of status 503 may succeed on a retry, those of 409 do not.
pub(crate) fn to_bad_request(reason: RejectReason) -> BadRequest {
    let (status, code) = match reason {
        RejectReason::Fenced => (409, "workflow_fenced"),
        RejectReason::LeaseHeld => (409, "workflow_carried"),
        RejectReason::NoMajority => (503, "workflow_no_majority"),
        RejectReason::Lost => (409, "workflow_lost"),
        RejectReason::Unsettled => (409, "workflow_unsettled"),
        RejectReason::Parked => (409, "workflow_parked"),
        RejectReason::Ended => (409, "workflow_ended"),
        RejectReason::Limit => (409, "workflow_limit"),
        RejectReason::OtherRequest => (409, "workflow_other_request"),
        RejectReason::Unknown => (409, "workflow_unknown"),
        RejectReason::Busy => (503, "workflow_busy"),
        RejectReason::NotStored => (503, "workflow_not_kept"),
    };
    BadRequest {
        status,
        code,
        message: reason.to_string(),
        param: None,
    }
}
