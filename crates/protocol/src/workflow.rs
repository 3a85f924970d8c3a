//! Workflow operations, an extension of the published API: clients request them by `metadata` fields of a `response.create`,
//! and the results are the output text of the response.
//!
//! - Workflow: a sequence of numbered steps under a name that the client chose. Another worker can resume the workflow
//!   after the lease of the first one expires.
//! - Step: a unit of work of the workflow, identified by its number, that the worker requests and a model server runs. A
//!   repeated request for a step that is done gets the stored result, and the step is not run again.
//! - Claim: takes the workflow for one worker, under a lease and a new epoch. The worker gives the epoch in its later operations;
//!   those with the epoch of an earlier claim are rejected. Settling a step needs no epoch.
//! - Operation: what a request does with a workflow ([`Operation`]): claim it, run a step, renew the lease, finish the workflow,
//!   cancel it, or settle a step, which records a person's decision about a step whose outcome is unknown.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::client::BadRequest;

// Keys of `metadata` that select a workflow operation. If workflows are disabled, they are only echoed.

/// `metadata` key of the workflow's name.
pub const META_WORKFLOW: &str = "workflow";
/// `metadata` key of the name of the worker that claims the workflow.
pub const META_WORKER: &str = "workflow_worker";
/// `metadata` key of the kind of operation: `claim`, `step`, `carry`, `finish`, `cancel` or `settle`. Without this key, the
/// request runs a step.
pub const META_DO: &str = "workflow_do";
/// `metadata` key of the epoch of the worker's claim.
pub const META_EPOCH: &str = "workflow_epoch";
/// `metadata` key of the step number.
pub const META_STEP: &str = "workflow_step";
/// `metadata` key of the decision about a step whose outcome is unknown.
pub const META_FATE: &str = "workflow_fate";

/// Longest name of a workflow or worker, in characters.
pub const MAX_NAME_CHARS: usize = 64;

/// A requested operation on a workflow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkflowRequest {
    /// The workflow's name, chosen by the client.
    pub workflow: String,
    pub operation: Operation,
}

/// An operation on a workflow. Only a step runs on a model server; the dispatcher answers the others itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Claims the workflow for a worker.
    Claim { worker: String },
    /// Runs a step on a model server.
    Step { epoch: u64, step: u32 },
    /// Renews the worker's lease on the workflow. On the wire: `carry`.
    RenewLease { epoch: u64 },
    /// Ends the workflow as finished.
    Finish { epoch: u64 },
    /// Ends the workflow as cancelled.
    Cancel { epoch: u64 },
    /// Records a person's decision about a step whose outcome is unknown.
    Settle { step: u32, decision: StepDecision },
}

/// A person's decision about a step whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepDecision {
    /// The step ran; the input of the settling request is its result.
    Done,
    /// The step did not run.
    NeverRan,
    /// The workflow continues without the step. On the wire: `left_out`.
    Skipped,
}

/// The result of a claim, sent as the output text of its response. Operations other than claims and steps are answered with
/// [`OperationResult`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claimed {
    pub epoch: u64,
    /// Results of earlier steps that are no longer listed in `steps`.
    pub context: String,
    /// Duration of the worker's lease on the workflow, milliseconds. The lease ends unless the worker renews it by a request.
    pub lease_ms: u64,
    pub steps: Vec<ClaimedStep>,
}

/// An earlier step of a claimed workflow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimedStep {
    pub number: u32,
    pub effect: StepEffect,
    pub key: String,
    pub fate: StepFate,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub result: Option<String>,
}

/// Whether a step may be repeated: always (`Safe`), with its idempotency key (`Keyed`), or not (`Unsafe`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepEffect {
    Safe,
    Keyed,
    Unsafe,
}

/// The known outcome of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepFate {
    Done,
    MayHaveRun,
    NeverRan,
    /// The dispatcher that runs the step has not reported its outcome yet.
    Open,
}

/// The result of renewing a lease, finishing or cancelling a workflow, or settling a step, sent as the output text of the
/// response. A claim is answered with [`Claimed`], a step with the output of the model server or the stored result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationResult {
    /// The epoch given in the request; absent if the request gave none.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub epoch: Option<u64>,
}

/// Parses the workflow operation that a request's `metadata` asks for; `None` if it names no workflow.
///
/// # Errors
/// An error for the first missing or invalid key of `metadata`.
pub fn parse(metadata: &BTreeMap<String, String>) -> Result<Option<WorkflowRequest>, BadRequest> {
    let Some(workflow) = metadata.get(META_WORKFLOW) else {
        return Ok(None);
    };
    let operation = match metadata.get(META_DO).map_or("step", String::as_str) {
        "claim" => Operation::Claim {
            worker: name(metadata, META_WORKER)?,
        },
        "step" => Operation::Step {
            epoch: number(metadata, META_EPOCH)?,
            step: number(metadata, META_STEP)?,
        },
        "carry" => Operation::RenewLease {
            epoch: number(metadata, META_EPOCH)?,
        },
        "finish" => Operation::Finish {
            epoch: number(metadata, META_EPOCH)?,
        },
        "cancel" => Operation::Cancel {
            epoch: number(metadata, META_EPOCH)?,
        },
        "settle" => Operation::Settle {
            step: number(metadata, META_STEP)?,
            decision: decision(metadata)?,
        },
        _ => {
            let expected = "claim, step, carry, finish, cancel or settle is expected";
            return Err(invalid(META_DO, expected.to_string()));
        }
    };
    let workflow = check_name(META_WORKFLOW, workflow)?;
    Ok(Some(WorkflowRequest {
        workflow,
        operation,
    }))
}

/// Parses the decision of a settling request.
fn decision(metadata: &BTreeMap<String, String>) -> Result<StepDecision, BadRequest> {
    match metadata.get(META_FATE).map(String::as_str) {
        Some("done") => Ok(StepDecision::Done),
        Some("never_ran") => Ok(StepDecision::NeverRan),
        Some("left_out") => Ok(StepDecision::Skipped),
        _ => Err(invalid(
            META_FATE,
            "done, never_ran or left_out is expected".to_string(),
        )),
    }
}

/// An error for one key of `metadata`.
fn invalid(key: &str, message: String) -> BadRequest {
    BadRequest::field(&format!("metadata.{key}"), message)
}

/// Returns the name stored under a required key.
fn name(metadata: &BTreeMap<String, String>, key: &str) -> Result<String, BadRequest> {
    let value = metadata
        .get(key)
        .ok_or_else(|| invalid(key, "is missing".to_string()))?;
    check_name(key, value)
}

/// Checks that a name has 1 to [`MAX_NAME_CHARS`] characters.
fn check_name(key: &str, value: &str) -> Result<String, BadRequest> {
    match value.chars().count() {
        1..=MAX_NAME_CHARS => Ok(value.to_string()),
        _ => Err(invalid(
            key,
            format!("a name of 1 to {MAX_NAME_CHARS} characters is expected"),
        )),
    }
}

/// Parses the whole number, 1 or more, stored under a required key.
fn number<T>(metadata: &BTreeMap<String, String>, key: &str) -> Result<T, BadRequest>
where
    T: std::str::FromStr + PartialOrd + From<u8>,
{
    let value = metadata
        .get(key)
        .ok_or_else(|| invalid(key, "is missing".to_string()))?;
    let parsed = value.parse::<T>().ok().filter(|n| *n >= T::from(1));
    parsed.ok_or_else(|| invalid(key, "a whole number from 1 is expected".to_string()))
}

#[cfg(test)]
mod tests;
