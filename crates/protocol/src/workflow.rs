//! Steps of workflows, by fields that a request has anyway: what `metadata` asks for, and what a claim is answered (*ours*).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::client::BadRequest;

/// Keys of `metadata`; read where workflows are switched on, else echoed alone.
pub const META_WORKFLOW: &str = "workflow";
pub const META_WORKER: &str = "workflow_worker";
pub const META_DO: &str = "workflow_do";
pub const META_EPOCH: &str = "workflow_epoch";
pub const META_STEP: &str = "workflow_step";
pub const META_FATE: &str = "workflow_fate";

/// Longest name of a workflow or worker, in characters.
pub const NAME_CHARS: usize = 64;

/// A request about a workflow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct About {
    /// The caller's name for it.
    pub workflow: String,
    pub does: Does,
}

/// What is wanted; all but a step is answered without a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Does {
    Claim {
        worker: String,
    },
    Step {
        epoch: u64,
        step: u32,
    },
    Carry {
        epoch: u64,
    },
    Finish {
        epoch: u64,
    },
    Cancel {
        epoch: u64,
    },
    /// A person has decided about a step whose fate nobody knows.
    Settle {
        step: u32,
        fate: Decided,
    },
}

/// What a person has decided of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decided {
    /// It ran; the request's input is its result.
    Done,
    NeverRan,
    /// The workflow goes on without it.
    LeftOut,
}

/// What a claim is answered, as the output text of its response. All else but a step is answered with [`Carried`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claimed {
    pub epoch: u64,
    /// Results of the steps that are no longer listed.
    pub context: String,
    /// Milliseconds for which the worker carries it without a word.
    pub lease_ms: u64,
    pub steps: Vec<ClaimedStep>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimedStep {
    pub number: u32,
    pub effect: StepEffect,
    pub key: String,
    pub fate: StepFate,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub result: Option<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepEffect {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepFate {
    Done,
    MayHaveRun,
    NeverRan,
    /// Its dispatcher has not said how it ended.
    Open,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Carried {
    /// Of the question; none where it named none.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub epoch: Option<u64>,
}

/// Reads what a request wants of a workflow; none where it names none.
///
/// # Errors
/// The first key of `metadata` at fault.
pub fn read(metadata: &BTreeMap<String, String>) -> Result<Option<About>, BadRequest> {
    let Some(workflow) = metadata.get(META_WORKFLOW) else {
        return Ok(None);
    };
    let does = match metadata.get(META_DO).map_or("step", String::as_str) {
        "claim" => Does::Claim {
            worker: named(metadata, META_WORKER)?,
        },
        "step" => Does::Step {
            epoch: number(metadata, META_EPOCH)?,
            step: number(metadata, META_STEP)?,
        },
        "carry" => Does::Carry {
            epoch: number(metadata, META_EPOCH)?,
        },
        "finish" => Does::Finish {
            epoch: number(metadata, META_EPOCH)?,
        },
        "cancel" => Does::Cancel {
            epoch: number(metadata, META_EPOCH)?,
        },
        "settle" => Does::Settle {
            step: number(metadata, META_STEP)?,
            fate: decided(metadata)?,
        },
        _ => {
            let why = "claim, step, carry, finish, cancel or settle is expected";
            return Err(wrong(META_DO, why.to_string()));
        }
    };
    let workflow = short(META_WORKFLOW, workflow)?;
    Ok(Some(About { workflow, does }))
}

fn decided(metadata: &BTreeMap<String, String>) -> Result<Decided, BadRequest> {
    match metadata.get(META_FATE).map(String::as_str) {
        Some("done") => Ok(Decided::Done),
        Some("never_ran") => Ok(Decided::NeverRan),
        Some("left_out") => Ok(Decided::LeftOut),
        _ => Err(wrong(
            META_FATE,
            "done, never_ran or left_out is expected".to_string(),
        )),
    }
}

fn wrong(key: &str, why: String) -> BadRequest {
    BadRequest::field(&format!("metadata.{key}"), why)
}

fn named(metadata: &BTreeMap<String, String>, key: &str) -> Result<String, BadRequest> {
    let value = metadata
        .get(key)
        .ok_or_else(|| wrong(key, "is missing".to_string()))?;
    short(key, value)
}

fn short(key: &str, value: &str) -> Result<String, BadRequest> {
    match value.chars().count() {
        1..=NAME_CHARS => Ok(value.to_string()),
        _ => Err(wrong(
            key,
            format!("a name of 1 to {NAME_CHARS} characters is expected"),
        )),
    }
}

/// A whole number from 1.
fn number<T>(metadata: &BTreeMap<String, String>, key: &str) -> Result<T, BadRequest>
where
    T: std::str::FromStr + PartialOrd + From<u8>,
{
    let value = metadata
        .get(key)
        .ok_or_else(|| wrong(key, "is missing".to_string()))?;
    let read = value.parse::<T>().ok().filter(|n| *n >= T::from(1));
    read.ok_or_else(|| wrong(key, "a whole number from 1 is expected".to_string()))
}

#[cfg(test)]
mod tests;
