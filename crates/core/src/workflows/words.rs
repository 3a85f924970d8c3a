//! What the table tells and is told, in the protocol's words.

use bitternlatch_protocol::client::BadRequest;
use bitternlatch_protocol::workflow::{ClaimedStep, StepEffect, StepFate};
use bitternlatch_workflow::{Effect, Fate, Refusal};

use crate::settings;

pub(super) fn shown(step: bitternlatch_workflow::Step) -> ClaimedStep {
    let (fate, result) = match step.fate {
        None => (StepFate::Open, None),
        Some(Fate::MayHaveRun) => (StepFate::MayHaveRun, None),
        Some(Fate::NeverRan) => (StepFate::NeverRan, None),
        Some(Fate::Done { result, .. }) => (StepFate::Done, Some(result)),
    };
    let effect = match step.effect {
        Effect::Safe => StepEffect::Safe,
        Effect::Keyed => StepEffect::Keyed,
        Effect::Unsafe => StepEffect::Unsafe,
    };
    ClaimedStep { number: step.number, effect, key: step.key, fate, result }
}

pub(super) fn json(value: &impl serde::Serialize) -> String {
    // Strings and numbers under string keys always serialize.
    serde_json::to_string(value).unwrap_or_default()
}

pub(crate) fn effect(of: settings::Effect) -> Effect {
    match of {
        settings::Effect::Safe => Effect::Safe,
        settings::Effect::Keyed => Effect::Keyed,
        settings::Effect::Unsafe => Effect::Unsafe,
    }
}

/// A refusal in the words of the protocol; those of status 503 are worth another try.
pub(crate) fn refused(why: Refusal) -> BadRequest {
    let (status, code) = match why {
        Refusal::Fenced => (409, "workflow_fenced"),
        Refusal::Carried => (409, "workflow_carried"),
        Refusal::NoMajority => (503, "workflow_no_majority"),
        Refusal::Lost => (409, "workflow_lost"),
        Refusal::Unsettled => (409, "workflow_unsettled"),
        Refusal::Parked => (409, "workflow_parked"),
        Refusal::Ended => (409, "workflow_ended"),
        Refusal::Limit => (409, "workflow_limit"),
        Refusal::OtherRequest => (409, "workflow_other_request"),
        Refusal::Unknown => (409, "workflow_unknown"),
        Refusal::Busy => (503, "workflow_busy"),
        Refusal::NotKept => (503, "workflow_not_kept"),
    };
    BadRequest { status, code, message: why.to_string(), param: None }
}
