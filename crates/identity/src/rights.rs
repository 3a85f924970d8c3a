//! Access rights of callers: a TOML policy file, and authorization decisions. What no rule allows is denied.

use std::collections::BTreeSet;

use serde::Deserialize;

use crate::Caller;

/// The access rights policy.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccessRights {
    /// Rules in order. The first that matches the caller applies, so an exception is placed before a group's rule.
    #[serde(default, rename = "rule")]
    rules: Vec<Rule>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct Rule {
    name: String,
    #[serde(default)]
    subjects: BTreeSet<String>,
    #[serde(default)]
    groups: BTreeSet<String>,
    tenant: String,
    #[serde(default)]
    classes: BTreeSet<String>,
    /// Models that may be used; `*` allows any.
    #[serde(default)]
    models: BTreeSet<String>,
    /// Maximum output tokens that a request may ask for, and the limit of a request that sets none.
    max_output_tokens: u32,
    /// Idempotency keys and conversations are shared by all callers that the rule matches.
    #[serde(default)]
    shared: bool,
}

/// What a caller asks to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccessRequest<'a> {
    /// Name of the request class.
    pub class: &'a str,
    /// Name of the model.
    pub model: &'a str,
    /// Output token limit in the request; `None` if it sets none.
    pub max_output_tokens: Option<u32>,
    /// Tenant named in the request; `None` if it names none.
    pub tenant: Option<&'a str>,
}

/// What a caller is allowed to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The tenant that is charged.
    pub tenant: String,
    /// Output token limit of the request.
    pub max_output_tokens: u32,
    /// Name of the rule that applies.
    pub rule: String,
    /// Owner of the request's idempotency keys and conversations: the caller, or the rule if it is `shared`.
    pub owner: String,
}

/// Why a request is denied. The text is sent to the client.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denial {
    #[error("no rule names the caller '{subject}'")]
    NoRule { subject: String },
    #[error("rule '{rule}' does not allow the class '{class}'")]
    Class { rule: String, class: String },
    #[error("rule '{rule}' does not allow the model '{model}'")]
    Model { rule: String, model: String },
    #[error("rule '{rule}' allows {max} output tokens at the most")]
    Output { rule: String, max: u32 },
    #[error("the caller's tenant is not '{claimed}'")]
    Tenant { claimed: String },
}

impl Denial {
    /// Error code for logs and clients.
    pub fn code(&self) -> &'static str {
        match self {
            Denial::NoRule { .. } => "caller_unknown",
            Denial::Class { .. } => "class_not_allowed",
            Denial::Model { .. } => "model_not_allowed",
            Denial::Output { .. } => "output_not_allowed",
            Denial::Tenant { .. } => "tenant_mismatch",
        }
    }

    /// The request field that caused the denial.
    pub fn param(&self) -> Option<&'static str> {
        match self {
            Denial::NoRule { .. } => None,
            Denial::Class { .. } => Some("metadata.class"),
            Denial::Model { .. } => Some("model"),
            Denial::Output { .. } => Some("max_output_tokens"),
            Denial::Tenant { .. } => Some("metadata.tenant"),
        }
    }
}

impl AccessRights {
    /// Parses an access rights file.
    ///
    /// # Errors
    /// The first syntax error with its line, or the first invalid rule: one that matches no caller, allows nothing (also by
    /// an output limit of 0), or has the name of another rule.
    pub fn parse(text: &str) -> Result<AccessRights, String> {
        let rights: AccessRights = toml::from_str(text).map_err(|e| {
            let at = e.span().map_or(0, |s| {
                text.get(..s.start).unwrap_or(text).matches('\n').count() + 1
            });
            format!("line {at}: {}", e.message().replace('\n', " "))
        })?;
        let mut names = BTreeSet::new();
        for rule in &rights.rules {
            let invalid = |cause: &str| Err(format!("rule '{}': {cause}", rule.name));
            if !names.insert(&rule.name) {
                return invalid("its name is used twice");
            }
            if rule.subjects.is_empty() && rule.groups.is_empty() {
                return invalid("names neither subjects nor groups");
            }
            if rule.classes.is_empty() || rule.models.is_empty() || rule.max_output_tokens == 0 {
                return invalid(
                    "allows nothing: classes, models and max_output_tokens are expected",
                );
            }
        }
        Ok(rights)
    }

    /// The classes named in all rules, to be checked against the settings.
    pub fn classes(&self) -> impl Iterator<Item = &str> {
        self.rules
            .iter()
            .flat_map(|r| r.classes.iter().map(String::as_str))
    }

    /// The tenants named in all rules, to be checked against the settings.
    pub fn tenants(&self) -> impl Iterator<Item = &str> {
        self.rules.iter().map(|r| r.tenant.as_str())
    }

    /// Decides whether a caller may do what it requests.
    ///
    /// # Errors
    /// The first [`Denial`] found.
    pub fn authorize(&self, caller: &Caller, request: &AccessRequest<'_>) -> Result<Grant, Denial> {
        let matches = |r: &&Rule| {
            r.subjects.contains(&caller.subject)
                || caller.groups.iter().any(|g| r.groups.contains(g))
        };
        let Some(rule) = self.rules.iter().find(matches) else {
            return Err(Denial::NoRule {
                subject: caller.subject.clone(),
            });
        };
        let name = || rule.name.clone();
        if let Some(claimed) = request.tenant.filter(|t| *t != rule.tenant) {
            return Err(Denial::Tenant {
                claimed: claimed.to_string(),
            });
        }
        if !rule.classes.contains(request.class) {
            return Err(Denial::Class {
                rule: name(),
                class: request.class.to_string(),
            });
        }
        if !rule.models.contains("*") && !rule.models.contains(request.model) {
            return Err(Denial::Model {
                rule: name(),
                model: request.model.to_string(),
            });
        }
        if request
            .max_output_tokens
            .is_some_and(|n| n > rule.max_output_tokens)
        {
            return Err(Denial::Output {
                rule: name(),
                max: rule.max_output_tokens,
            });
        }
        Ok(Grant {
            tenant: rule.tenant.clone(),
            max_output_tokens: request.max_output_tokens.unwrap_or(rule.max_output_tokens),
            rule: name(),
            owner: match rule.shared {
                true => format!("rule:{}", rule.name),
                false => format!("caller:{}", caller.subject),
            },
        })
    }
}
