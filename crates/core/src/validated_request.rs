//! Validates a client's request against the settings, its caller's rights and its conversation, and converts it for the
//! decision module and for load shedding.

use bitternlatch_overload::{AdmissionRequest, SunkCost};
use bitternlatch_policy::interface::{Request as PolicyRequest, RequestId};
use bitternlatch_protocol::client::{self, BadRequest, Create};
use bitternlatch_protocol::estimate_tokens;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

use crate::idempotency::Key;
use crate::load_shedding::{AdmittedWork, EXPECTED_OUTPUT_SHARE};
use crate::machine::Machine;
use crate::settings::Class;
use crate::types::{Micros, SessionId};
use crate::workflows::Intent;

/// A workflow step whose intent is durably stored, so that it may be sent to a server.
pub(crate) struct PermittedStep {
    pub intent: Intent,
    /// When the permission to send the workflow step expires.
    pub permitted_until: Micros,
}

/// A client's request that passed validation and is not yet in the request table.
pub(crate) struct ValidatedRequest {
    pub class: u16,
    pub tenant: u32,
    /// Who may use the request's idempotency key and conversation, as for [`Key`].
    pub owner: String,
    /// Seconds until the client's deadline.
    pub time_left_s: f64,
    pub key: Option<Key>,
    /// The workflow step that the request carries out; `None` outside workflows.
    pub workflow_step: Option<PermittedStep>,
    /// The work that load shedding has already admitted, as it does for a step before its intent is stored; `None`
    /// where admission is still to be evaluated.
    pub admitted_work: Option<AdmittedWork>,
    /// Key of the conversation that the request continues; 0 where it begins one.
    pub conversation: u64,
    pub prompt: String,
    /// Limit on the output tokens of the request.
    pub max_tokens: u32,
}

impl ValidatedRequest {
    /// Estimated prompt length: one token for each four bytes of text.
    pub(crate) fn prompt_tokens(&self) -> u32 {
        estimate_tokens(self.prompt.len())
    }

    /// Converts the request for the decision module. The shared prefix is identified by the client's `prompt_cache_key`
    /// where it sets one, else by its instructions; token counts are estimated as one for each four bytes.
    pub(crate) fn to_policy_request(
        &self,
        id: RequestId,
        create: &Create,
        conversation: u64,
        time_left_s: f64,
    ) -> PolicyRequest {
        PolicyRequest {
            id,
            class: self.class,
            tenant: self.tenant,
            session: conversation,
            prefix: prefix_key(create),
            prompt_tokens: f64::from(self.prompt_tokens()),
            prefix_tokens: f64::from(estimate_tokens(create.instructions.len())),
            max_output_tokens: f64::from(self.max_tokens),
            output_tokens: None,
            output_hint_s: None,
            time_left_s,
        }
    }

    /// Converts the request for load shedding. `answer_tokens` is the expected output length where it is known, and
    /// `quota_rps` the tenant's quota in requests per second.
    pub(crate) fn to_load_shedding_request(
        &self,
        create: &Create,
        class: &Class,
        answer_tokens: Option<f64>,
        quota_rps: f64,
    ) -> AdmissionRequest {
        let prompt_tokens = f64::from(self.prompt_tokens());
        let content_hash = fingerprint(create);
        let fingerprint = self
            .key
            .as_ref()
            .map_or(content_hash, |k| xxh3_64(k.text.as_bytes()));
        let (sunk_cost, identity) = match &self.workflow_step {
            Some(PermittedStep { intent, .. }) if intent.step > 1 => {
                (SunkCost::EarlierSteps, xxh3_64(intent.workflow.as_bytes()))
            }
            Some(PermittedStep { intent, .. }) => {
                (SunkCost::Nothing, xxh3_64(intent.workflow.as_bytes()))
            }
            None if self.conversation == 0 => (SunkCost::Nothing, fingerprint),
            None => (SunkCost::EarlierTurns, self.conversation),
        };
        AdmissionRequest {
            priority_weight: class.priority_weight,
            prompt_tokens,
            prefix_hash: prefix_key(create),
            prefix_tokens: f64::from(estimate_tokens(create.instructions.len())),
            output_tokens: answer_tokens
                .unwrap_or(EXPECTED_OUTPUT_SHARE * f64::from(self.max_tokens)),
            sunk_cost,
            identity,
            fingerprint,
            tenant: self.tenant,
            quota_rps,
            ttft_objective_s: class.ttft_objective_s
                + class.ttft_objective_ms_per_1000_tokens * prompt_tokens / 1e6,
        }
    }
}

/// Hash that identifies a request's shared prompt prefix: of the client's `prompt_cache_key`, else of the instructions;
/// 0 without either.
fn prefix_key(create: &Create) -> u64 {
    match (&create.prompt_cache_key, create.instructions.is_empty()) {
        (Some(key), _) => xxh3_64(key.as_bytes()),
        (None, false) => xxh3_64(create.instructions.as_bytes()),
        (None, true) => 0,
    }
}

/// Hash of a request's model, texts and output limit, without the metadata, which may differ when a client repeats the
/// request.
pub(crate) fn fingerprint(create: &Create) -> u64 {
    let mut hash = Xxh3::new();
    let previous = create.previous_response_id.as_deref().unwrap_or("");
    for field in [
        create.model.as_str(),
        &create.instructions,
        &create.input,
        previous,
    ] {
        hash.update(&(field.len() as u64).to_le_bytes());
        hash.update(field.as_bytes());
    }
    hash.update(&create.max_output_tokens.unwrap_or(0).to_le_bytes());
    hash.digest()
}

/// A prompt with the text of the conversation that it continues.
struct Prompt {
    /// Key of the conversation that the prompt continues; 0 where it begins one.
    conversation: u64,
    text: String,
}

fn metadata<'a>(create: &'a Create, name: &str) -> Option<&'a str> {
    create.metadata.get(name).map(String::as_str)
}

fn invalid_metadata(name: &str, message: String) -> BadRequest {
    BadRequest::field(&format!("metadata.{name}"), message)
}

/// Seconds until the client's deadline, at most the deadline of the request's class (`class_deadline_s`).
fn time_left_s(create: &Create, class_deadline_s: f64) -> Result<f64, BadRequest> {
    match metadata(create, client::META_DEADLINE_MS).map(str::parse::<f64>) {
        None => Ok(class_deadline_s),
        Some(Ok(ms)) if ms > 0.0 && ms.is_finite() => Ok(class_deadline_s.min(ms / 1000.0)),
        Some(_) => {
            let message = "a number of milliseconds above 0 is expected";
            Err(invalid_metadata(
                client::META_DEADLINE_MS,
                message.to_string(),
            ))
        }
    }
}

impl Machine {
    /// Validates a request against the settings, its caller's rights and the conversation that it continues.
    ///
    /// # Errors
    /// The first invalid field, or the right that the caller lacks.
    pub(crate) fn validate(
        &self,
        now: Micros,
        session: SessionId,
        create: &Create,
    ) -> Result<ValidatedRequest, BadRequest> {
        let class = self.class_index(create)?;
        let grant = self.check_rights(now, session, create, &self.settings.classes[class].name)?;
        // For an authenticated caller the tenant comes from its rights, which reject a request that names another
        // tenant.
        let tenant = self.tenant_index(create, grant.as_ref().map(|g| g.tenant.as_str()))?;
        let time_left_s = time_left_s(create, self.settings.classes[class].deadline_s)?;
        let (class, tenant) = (class as u16, tenant as u32);
        let owner = grant.as_ref().map(|g| g.owner.clone()).unwrap_or_default();
        let key = metadata(create, client::META_IDEMPOTENCY_KEY).filter(|k| !k.is_empty());
        let key = key.map(|text| Key {
            tenant,
            class,
            owner: owner.clone(),
            text: text.to_string(),
        });
        let Prompt { conversation, text } = self.build_prompt(create, tenant, &owner)?;
        let max_tokens = self.settings.requests.max_output_tokens;
        let allowed = grant.map_or(max_tokens, |g| max_tokens.min(g.max_output_tokens));
        Ok(ValidatedRequest {
            class,
            tenant,
            owner,
            time_left_s,
            key,
            workflow_step: None,
            admitted_work: None,
            conversation,
            prompt: text,
            max_tokens: create.max_output_tokens.unwrap_or(allowed),
        })
    }

    /// Index of the class that the request names, or of the first class where it names none.
    fn class_index(&self, create: &Create) -> Result<usize, BadRequest> {
        let Some(name) = metadata(create, client::META_CLASS) else {
            return Ok(0);
        };
        let found = self.settings.classes.iter().position(|c| c.name == name);
        found.ok_or_else(|| {
            invalid_metadata(client::META_CLASS, format!("'{name}' is no class here"))
        })
    }

    /// Index of the caller's tenant, else of the tenant that the request names, else of the first tenant.
    fn tenant_index(&self, create: &Create, granted: Option<&str>) -> Result<usize, BadRequest> {
        let tenants = &self.settings.tenants;
        match granted.or(metadata(create, client::META_TENANT)) {
            None => Ok(0),
            Some(_) if tenants.is_empty() => Ok(0),
            Some(name) => {
                let found = tenants.iter().position(|t| t.name == name);
                let message = || format!("'{name}' is no tenant here");
                found.ok_or_else(|| invalid_metadata(client::META_TENANT, message()))
            }
        }
    }

    /// Builds the complete prompt: the text of the conversation that the request continues, or its instructions,
    /// followed by its input.
    fn build_prompt(
        &self,
        create: &Create,
        tenant: u32,
        owner: &str,
    ) -> Result<Prompt, BadRequest> {
        let (conversation, preceding) = match &create.previous_response_id {
            None => (0, create.instructions.as_str()),
            Some(id) => match self.contexts.find(id, tenant, owner) {
                Some(context) => (context.conversation, context.text.as_str()),
                None => {
                    let error =
                        BadRequest::field("previous_response_id", "is not known here any more");
                    return Err(BadRequest {
                        code: "previous_response_not_found",
                        ..error
                    });
                }
            },
        };
        let bytes = preceding.len() + 1 + create.input.len();
        let max_bytes = self.settings.requests.max_prompt_bytes;
        if bytes > max_bytes {
            return Err(BadRequest::field(
                "input",
                format!("makes a prompt of {bytes} bytes, more than {max_bytes}"),
            ));
        }
        let separator = if preceding.is_empty() { "" } else { "\n" };
        Ok(Prompt {
            conversation,
            text: format!("{preceding}{separator}{}", create.input),
        })
    }
}
