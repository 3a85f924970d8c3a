//! Settings as path=value pairs, whatever form they came in.

use std::collections::BTreeMap;

use serde_json::Value;
use thiserror::Error;

/// What is wrong with the settings, and where.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct SettingsError(pub String);

pub(crate) type Result<T> = std::result::Result<T, SettingsError>;

pub(crate) fn bad<T>(what: impl Into<String>) -> Result<T> {
    Err(SettingsError(what.into()))
}

/// The start settings as path=value pairs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts(BTreeMap<String, String>);

impl Facts {
    /// From lines of `path=value`; empty lines are skipped.
    ///
    /// # Errors
    /// A line without `=`.
    pub fn from_lines(text: &str) -> Result<Self> {
        let mut map = BTreeMap::new();
        for (i, line) in text
            .lines()
            .enumerate()
            .filter(|(_, l)| !l.trim().is_empty())
        {
            match line.split_once('=') {
                Some((k, v)) => map.insert(k.trim().to_string(), v.trim().to_string()),
                None => return bad(format!("settings line {} has no '='", i + 1)),
            };
        }
        Ok(Facts(map))
    }

    /// From nested JSON, flattened to the names that the wire uses: lists of plain values are joined by commas,
    /// lists of objects give their length under `.count` and their items under `.0`, `.1` and on.
    ///
    /// # Errors
    /// Settings that are no object.
    pub fn from_json(value: &Value) -> Result<Self> {
        let Value::Object(fields) = value else {
            return bad("the settings are no object");
        };
        let mut facts = Facts::default();
        for (key, value) in fields {
            facts.flatten(key, value);
        }
        Ok(facts)
    }

    fn flatten(&mut self, path: &str, value: &Value) {
        match value {
            Value::Null => {}
            Value::Object(fields) => {
                fields
                    .iter()
                    .for_each(|(key, v)| self.flatten(&format!("{path}.{key}"), v));
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0
                    .insert(format!("{path}.count"), items.len().to_string());
                items
                    .iter()
                    .enumerate()
                    .for_each(|(i, v)| self.flatten(&format!("{path}.{i}"), v));
            }
            Value::Array(items) => {
                let joined: Vec<String> = items.iter().map(plain).collect();
                self.0.insert(path.to_string(), joined.join(","));
            }
            other => {
                self.0.insert(path.to_string(), plain(other));
            }
        }
    }

    pub(crate) fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    pub(crate) fn text(&self, key: &str) -> Result<&str> {
        self.get(key)
            .ok_or_else(|| SettingsError(format!("setting {key} is missing")))
    }

    pub(crate) fn number_or(&self, key: &str, default: f64) -> Result<f64> {
        self.get(key).map_or(Ok(default), |v| number(key, v))
    }

    pub(crate) fn number(&self, key: &str) -> Result<f64> {
        number(key, self.text(key)?)
    }

    pub(crate) fn count(&self, key: &str) -> Result<u32> {
        let v = self.number(key)?;
        if (0.0..=65_535.0).contains(&v) && v.fract() == 0.0 {
            Ok(v as u32)
        } else {
            bad(format!("setting {key} is no small whole number: {v}"))
        }
    }

    pub(crate) fn flag_or(&self, key: &str, default: bool) -> Result<bool> {
        match self.get(key) {
            None => Ok(default),
            Some("true") => Ok(true),
            Some("false") => Ok(false),
            Some(v) => bad(format!("setting {key} is neither true nor false: {v}")),
        }
    }

    pub(crate) fn list(&self, key: &str) -> Vec<&str> {
        self.get(key)
            .map(|v| v.split(',').filter(|s| !s.is_empty()).collect())
            .unwrap_or_default()
    }

    pub(crate) fn numbers(&self, key: &str) -> Result<Vec<f64>> {
        self.list(key).into_iter().map(|v| number(key, v)).collect()
    }
}

/// One value as the wire writes it; spaces and commas in it become `_`.
fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        other => other.to_string(),
    }
}

fn number(key: &str, value: &str) -> Result<f64> {
    match value.parse::<f64>() {
        Ok(v) if v.is_finite() => Ok(v),
        _ => bad(format!("setting {key} is no number: {value}")),
    }
}
