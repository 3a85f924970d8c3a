//! Start settings as a flat map from key to text value, whichever format they were read from.

use std::collections::BTreeMap;

use crate::error::{Result, SettingsError};
use serde_json::Value;

/// Largest value that [`RawSettings::count`] accepts.
const MAX_COUNT: f64 = 65_535.0;

/// Start settings as a flat map from a dotted key, such as `limits.cancel`, to its text value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawSettings(BTreeMap<String, String>);

impl RawSettings {
    /// Parses lines of the form `key=value`; empty lines are skipped.
    ///
    /// # Errors
    /// Fails on a line without `=`.
    pub fn from_lines(text: &str) -> Result<Self> {
        let mut values = BTreeMap::new();
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() {
                continue;
            }
            let Some((key, value)) = line.split_once('=') else {
                return Err(SettingsError::NoValue { line: index + 1 });
            };
            values.insert(key.trim().to_string(), value.trim().to_string());
        }
        Ok(RawSettings(values))
    }

    /// Flattens nested JSON to the keys of the line format. Lists of plain values are joined by
    /// commas; a list of objects is stored as its length under `.count` and its items under `.0`,
    /// `.1` and so on.
    ///
    /// # Errors
    /// Fails if the value is not a JSON object.
    pub fn from_json(value: &Value) -> Result<Self> {
        let Value::Object(fields) = value else {
            return Err(SettingsError::NotAnObject);
        };
        let mut settings = RawSettings::default();
        for (key, value) in fields {
            settings.flatten(key, value);
        }
        Ok(settings)
    }

    fn flatten(&mut self, path: &str, value: &Value) {
        match value {
            Value::Null => {}
            Value::Object(fields) => {
                for (key, value) in fields {
                    self.flatten(&format!("{path}.{key}"), value);
                }
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.insert(format!("{path}.count"), items.len().to_string());
                for (index, item) in items.iter().enumerate() {
                    self.flatten(&format!("{path}.{index}"), item);
                }
            }
            Value::Array(items) => {
                let joined: Vec<String> = items.iter().map(format_plain_value).collect();
                self.insert(path.to_string(), joined.join(","));
            }
            other => self.insert(path.to_string(), format_plain_value(other)),
        }
    }

    fn insert(&mut self, key: String, value: String) {
        self.0.insert(key, value);
    }

    /// Returns the value of a key, or `None` if the key is missing.
    pub(crate) fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    /// Returns the value of a required key.
    pub(crate) fn text(&self, key: &str) -> Result<&str> {
        self.get(key).ok_or_else(|| SettingsError::Missing {
            key: key.to_string(),
        })
    }

    /// Returns a key's value as a finite number, or the default if the key is missing.
    pub(crate) fn number_or(&self, key: &str, default: f64) -> Result<f64> {
        self.get(key)
            .map_or(Ok(default), |value| parse_number(key, value))
    }

    /// Returns the value of a required key as a finite number.
    pub(crate) fn number(&self, key: &str) -> Result<f64> {
        parse_number(key, self.text(key)?)
    }

    /// Returns the value of a required key as a whole number from 0 to [`MAX_COUNT`].
    pub(crate) fn count(&self, key: &str) -> Result<u32> {
        let value = self.number(key)?;
        if (0.0..=MAX_COUNT).contains(&value) && value.fract() == 0.0 {
            Ok(value as u32)
        } else {
            Err(SettingsError::NotACount {
                key: key.to_string(),
                value,
            })
        }
    }

    /// Returns a key's value as a whole number from 0 to [`MAX_COUNT`], or 0 if the key is missing.
    pub(crate) fn count_or_zero(&self, key: &str) -> Result<u32> {
        if self.get(key).is_some() {
            self.count(key)
        } else {
            Ok(0)
        }
    }

    /// Returns a key's value as a boolean, or the default if the key is missing.
    pub(crate) fn flag_or(&self, key: &str, default: bool) -> Result<bool> {
        match self.get(key) {
            None => Ok(default),
            Some("true") => Ok(true),
            Some("false") => Ok(false),
            Some(value) => Err(SettingsError::NotAFlag {
                key: key.to_string(),
                value: value.to_string(),
            }),
        }
    }

    /// Returns the comma-separated values of a key; empty if the key is missing.
    pub(crate) fn list(&self, key: &str) -> Vec<&str> {
        let values = self.get(key).unwrap_or_default().split(',');
        values.filter(|value| !value.is_empty()).collect()
    }

    /// Returns the comma-separated values of a key as finite numbers; empty if the key is missing.
    pub(crate) fn numbers(&self, key: &str) -> Result<Vec<f64>> {
        self.list(key)
            .into_iter()
            .map(|value| parse_number(key, value))
            .collect()
    }
}

/// Writes one JSON value as in the line format, where spaces and commas in a text become `_`.
fn format_plain_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        other => other.to_string(),
    }
}

fn parse_number(key: &str, value: &str) -> Result<f64> {
    match value.parse::<f64>() {
        Ok(number) if number.is_finite() => Ok(number),
        _ => Err(SettingsError::NotANumber {
            key: key.to_string(),
            value: value.to_string(),
        }),
    }
}
