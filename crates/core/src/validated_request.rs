//! What a client's message comes to before it is a request, and how others are told of it.

use bitternlatch_overload::{Asked, Spent};
use bitternlatch_policy::interface::{Request as PolicyRequest, RequestId};
use bitternlatch_protocol::client::{self, BadRequest, Create};
use bitternlatch_protocol::tokens_of;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

use crate::idempotency::Key;
use crate::load_shedding::{AdmittedWork, EXPECTED_OUTPUT_SHARE};
use crate::machine::Machine;
use crate::settings::Class;
use crate::types::{Micros, SessionId};
use crate::workflows::Intent;

/// A step of a workflow whose intent is durable.
pub(crate) struct PermittedStep {
    pub intent: Intent,
    /// Until when it may be sent.
    pub permitted_until: Micros,
}

/// What of a message has been settled before the request is made.
pub(crate) struct ValidatedRequest {
    pub class: u16,
    pub tenant: u32,
    pub owner: String,
    pub time_left_s: f64,
    pub key: Option<Key>,
    /// The step of a workflow that it is.
    pub workflow_step: Option<PermittedStep>,
    /// What the fleet's shedding has taken of it already.
    pub admitted_work: Option<AdmittedWork>,
    pub conversation: u64,
    pub prompt: String,
    pub max_tokens: u32,
}

impl ValidatedRequest {
    pub(crate) fn prompt_tokens(&self) -> u32 {
        tokens_of(self.prompt.len())
    }

    /// What the decision module is told of a request. The shared prefix goes by the caller's own key where it gives one,
    /// else by the instructions; token counts are the text's bytes over four.
    pub(crate) fn to_policy_request(
        &self,
        id: RequestId,
        create: &Create,
        conversation: u64,
        left_s: f64,
    ) -> PolicyRequest {
        PolicyRequest {
            id,
            class: self.class,
            tenant: self.tenant,
            session: conversation,
            prefix: prefix_key(create),
            prompt_tokens: f64::from(self.prompt_tokens()),
            prefix_tokens: f64::from(tokens_of(create.instructions.len())),
            max_output_tokens: f64::from(self.max_tokens),
            output_tokens: None,
            output_hint_s: None,
            time_left_s: left_s,
        }
    }

    /// What the fleet's shedding is told, with its answer's mean length where that is known, and its tenant's requests a second.
    pub(crate) fn to_load_shedding_request(
        &self,
        create: &Create,
        class: &Class,
        answer_tokens: Option<f64>,
        quota_rps: f64,
    ) -> Asked {
        let prompt_tokens = f64::from(self.prompt_tokens());
        let words = fingerprint(create);
        let fingerprint = self
            .key
            .as_ref()
            .map_or(words, |k| xxh3_64(k.text.as_bytes()));
        let (spent, identity) = match &self.workflow_step {
            Some(PermittedStep { intent, .. }) if intent.step > 1 => {
                (Spent::Steps, xxh3_64(intent.workflow.as_bytes()))
            }
            Some(PermittedStep { intent, .. }) => {
                (Spent::Nothing, xxh3_64(intent.workflow.as_bytes()))
            }
            None if self.conversation == 0 => (Spent::Nothing, fingerprint),
            None => (Spent::Turns, self.conversation),
        };
        Asked {
            worth: class.priority_weight,
            prompt_tokens,
            prefix: prefix_key(create),
            prefix_tokens: f64::from(tokens_of(create.instructions.len())),
            answer_tokens: answer_tokens
                .unwrap_or(EXPECTED_OUTPUT_SHARE * f64::from(self.max_tokens)),
            spent,
            identity,
            fingerprint,
            tenant: self.tenant,
            quota_rps,
            aim_s: class.ttft_objective_s
                + class.ttft_objective_ms_per_1000_tokens * prompt_tokens / 1e6,
        }
    }
}

fn prefix_key(create: &Create) -> u64 {
    match (&create.prompt_cache_key, create.instructions.is_empty()) {
        (Some(key), _) => xxh3_64(key.as_bytes()),
        (None, false) => xxh3_64(create.instructions.as_bytes()),
        (None, true) => 0,
    }
}

/// Hash of what is asked, without what may differ between a first try and its repeat.
pub(crate) fn fingerprint(create: &Create) -> u64 {
    let mut hash = Xxh3::new();
    let previous = create.previous_response_id.as_deref().unwrap_or("");
    for part in [
        create.model.as_str(),
        &create.instructions,
        &create.input,
        previous,
    ] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(&create.max_output_tokens.unwrap_or(0).to_le_bytes());
    hash.digest()
}

/// A complete prompt.
struct Prompt {
    /// Key of the conversation that it continues; 0 where it begins one.
    conversation: u64,
    text: String,
}

fn metadata<'a>(create: &'a Create, name: &str) -> Option<&'a str> {
    create.metadata.get(name).map(String::as_str)
}

fn bad_metadata(name: &str, why: String) -> BadRequest {
    BadRequest::field(&format!("metadata.{name}"), why)
}

/// Seconds until the client's deadline; at most those of its class.
fn time_left_s(create: &Create, class_s: f64) -> Result<f64, BadRequest> {
    match metadata(create, client::META_DEADLINE_MS).map(str::parse::<f64>) {
        None => Ok(class_s),
        Some(Ok(ms)) if ms > 0.0 && ms.is_finite() => Ok(class_s.min(ms / 1000.0)),
        Some(_) => {
            let why = "a number of milliseconds above 0 is expected";
            Err(bad_metadata(client::META_DEADLINE_MS, why.to_string()))
        }
    }
}

impl Machine {
    /// Checks a request against the settings, its caller's rights and the conversation that it continues.
    ///
    /// # Errors
    /// The first field at fault.
    pub(crate) fn validate(
        &self,
        now: Micros,
        session: SessionId,
        create: &Create,
    ) -> Result<ValidatedRequest, BadRequest> {
        let class = self.class_index(create)?;
        let grant = self.check_rights(now, session, create, &self.settings.classes[class].name)?;
        // With callers known the tenant is the caller's; what the request claims has been held against it.
        let tenant = self.tenant_index(create, grant.as_ref().map(|g| g.tenant.as_str()))?;
        let time_left_s = time_left_s(create, self.settings.classes[class].deadline_s)?;
        let (class, tenant) = (class as u16, tenant as u32);
        let owner = grant.as_ref().map(|g| g.owner.clone()).unwrap_or_default();
        let key = metadata(create, client::META_KEY).filter(|k| !k.is_empty());
        let key = key.map(|text| Key {
            tenant,
            class,
            owner: owner.clone(),
            text: text.to_string(),
        });
        let Prompt { conversation, text } = self.build_prompt(create, tenant, &owner)?;
        let most = self.settings.requests.max_output_tokens;
        let allowed = grant.map_or(most, |g| most.min(g.max_output_tokens));
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

    /// The class that a request names, else the first.
    fn class_index(&self, create: &Create) -> Result<usize, BadRequest> {
        let Some(name) = metadata(create, client::META_CLASS) else {
            return Ok(0);
        };
        let found = self.settings.classes.iter().position(|c| c.name == name);
        found.ok_or_else(|| bad_metadata(client::META_CLASS, format!("'{name}' is no class here")))
    }

    /// The caller's tenant, else the one that a request names, else the first.
    fn tenant_index(&self, create: &Create, granted: Option<&str>) -> Result<usize, BadRequest> {
        let tenants = &self.settings.tenants;
        match granted.or(metadata(create, client::META_TENANT)) {
            None => Ok(0),
            Some(_) if tenants.is_empty() => Ok(0),
            Some(name) => {
                let found = tenants.iter().position(|t| t.name == name);
                let why = || format!("'{name}' is no tenant here");
                found.ok_or_else(|| bad_metadata(client::META_TENANT, why()))
            }
        }
    }

    /// The complete prompt, with the conversation that it continues.
    fn build_prompt(
        &self,
        create: &Create,
        tenant: u32,
        owner: &str,
    ) -> Result<Prompt, BadRequest> {
        let (conversation, head) = match &create.previous_response_id {
            None => (0, create.instructions.as_str()),
            Some(id) => match self.contexts.find(id, tenant, owner) {
                Some(context) => (context.conversation, context.text.as_str()),
                None => {
                    let bad =
                        BadRequest::field("previous_response_id", "is not known here any more");
                    return Err(BadRequest {
                        code: "previous_response_not_found",
                        ..bad
                    });
                }
            },
        };
        let bytes = head.len() + 1 + create.input.len();
        let most = self.settings.requests.prompt_bytes;
        if bytes > most {
            return Err(BadRequest::field(
                "input",
                format!("makes a prompt of {bytes} bytes, more than {most}"),
            ));
        }
        let separator = if head.is_empty() { "" } else { "\n" };
        Ok(Prompt {
            conversation,
            text: format!("{head}{separator}{}", create.input),
        })
    }
}
