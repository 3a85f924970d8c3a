//! What callers may do: a TOML policy, and the decision with its reason. What is not allowed is refused.

use std::collections::BTreeSet;

use serde::Deserialize;

use crate::Caller;

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rights {
    /// Rules in order; the first that names the caller counts, so that an exception stands above a group's rule.
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
    /// Models that may be asked; `*` is any.
    #[serde(default)]
    models: BTreeSet<String>,
    /// Highest output ceiling; a request without one is given this.
    max_output_tokens: u32,
    /// Idempotency keys and conversations are the rule's, not each caller's own.
    #[serde(default)]
    shared: bool,
}

/// What a caller wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wish<'a> {
    pub class: &'a str,
    pub model: &'a str,
    /// As the request names it.
    pub max_output_tokens: Option<u32>,
    /// The tenant that the request claims, where it claims one.
    pub tenant: Option<&'a str>,
}

/// What it may.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    pub tenant: String,
    pub max_output_tokens: u32,
    /// The rule that allows it.
    pub rule: String,
    /// Whose its idempotency keys and conversations are: the caller's own, or all whom a rule with `shared` names.
    pub owner: String,
}

/// Why not.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denial {
    #[error("no rule names the caller '{subject}'")]
    NoRule { subject: String },
    #[error("rule '{rule}' does not allow the class '{class}'")]
    Class { rule: String, class: String },
    #[error("rule '{rule}' does not allow the model '{model}'")]
    Model { rule: String, model: String },
    #[error("rule '{rule}' allows {most} output tokens at the most")]
    Output { rule: String, most: u32 },
    #[error("the caller's tenant is not '{claimed}'")]
    Tenant { claimed: String },
}

impl Denial {
    /// A short word for logs and clients.
    pub fn code(&self) -> &'static str {
        match self {
            Denial::NoRule { .. } => "caller_unknown",
            Denial::Class { .. } => "class_not_allowed",
            Denial::Model { .. } => "model_not_allowed",
            Denial::Output { .. } => "output_not_allowed",
            Denial::Tenant { .. } => "tenant_mismatch",
        }
    }

    /// The field at fault.
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

impl Rights {
    /// Reads a rights file.
    ///
    /// # Errors
    /// The first fault with line and column, or the rule at fault: one that names nobody or allows nothing, a name used
    /// twice, a ceiling of 0.
    pub fn parse(text: &str) -> Result<Rights, String> {
        let rights: Rights = toml::from_str(text).map_err(|e| {
            let at = e.span().map_or(0, |s| {
                text.get(..s.start).unwrap_or(text).matches('\n').count() + 1
            });
            format!("line {at}: {}", e.message().replace('\n', " "))
        })?;
        let mut names = BTreeSet::new();
        for rule in &rights.rules {
            let wrong = |why: &str| Err(format!("rule '{}': {why}", rule.name));
            if !names.insert(&rule.name) {
                return wrong("its name is used twice");
            }
            if rule.subjects.is_empty() && rule.groups.is_empty() {
                return wrong("names neither subjects nor groups");
            }
            if rule.classes.is_empty() || rule.models.is_empty() || rule.max_output_tokens == 0 {
                return wrong("allows nothing: classes, models and max_output_tokens are expected");
            }
        }
        Ok(rights)
    }

    /// Classes that rules name, for a check against the settings.
    pub fn classes(&self) -> impl Iterator<Item = &str> {
        self.rules
            .iter()
            .flat_map(|r| r.classes.iter().map(String::as_str))
    }

    /// Tenants that rules name.
    pub fn tenants(&self) -> impl Iterator<Item = &str> {
        self.rules.iter().map(|r| r.tenant.as_str())
    }

    /// Whether a caller may have its wish, and why not.
    ///
    /// # Errors
    /// The first [`Denial`] found.
    pub fn may(&self, caller: &Caller, wish: &Wish<'_>) -> Result<Grant, Denial> {
        let names = |r: &&Rule| {
            r.subjects.contains(&caller.subject)
                || caller.groups.iter().any(|g| r.groups.contains(g))
        };
        let Some(rule) = self.rules.iter().find(names) else {
            return Err(Denial::NoRule {
                subject: caller.subject.clone(),
            });
        };
        let name = || rule.name.clone();
        if let Some(claimed) = wish.tenant.filter(|t| *t != rule.tenant) {
            return Err(Denial::Tenant {
                claimed: claimed.to_string(),
            });
        }
        if !rule.classes.contains(wish.class) {
            return Err(Denial::Class {
                rule: name(),
                class: wish.class.to_string(),
            });
        }
        if !rule.models.contains("*") && !rule.models.contains(wish.model) {
            return Err(Denial::Model {
                rule: name(),
                model: wish.model.to_string(),
            });
        }
        if wish
            .max_output_tokens
            .is_some_and(|n| n > rule.max_output_tokens)
        {
            return Err(Denial::Output {
                rule: name(),
                most: rule.max_output_tokens,
            });
        }
        Ok(Grant {
            tenant: rule.tenant.clone(),
            max_output_tokens: wish.max_output_tokens.unwrap_or(rule.max_output_tokens),
            rule: name(),
            owner: match rule.shared {
                true => format!("rule:{}", rule.name),
                false => format!("caller:{}", caller.subject),
            },
        })
    }
}
