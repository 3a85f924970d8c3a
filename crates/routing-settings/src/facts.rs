//! Settings as pairs of a path and a value, whatever form they came in.

use std::collections::BTreeMap;

use crate::error::{Result, SettingsError};
use serde_json::Value;

/// Largest number that [`RawSettings::count`] takes.
const MAX_COUNT: f64 = 65_535.0;

/// The start settings as pairs of a path and a value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawSettings(BTreeMap<String, String>);

impl RawSettings {
    /// From lines of `path=value`; empty lines are skipped.
    ///
    /// # Errors
    /// A line without `=`.
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

    /// From nested JSON, flattened to the names that the wire uses: lists of plain values are joined by commas,
    /// lists of objects give their length under `.count` and their items under `.0`, `.1` and on.
    ///
    /// # Errors
    /// Settings that are no object.
    pub fn from_json(value: &Value) -> Result<Self> {
        let Value::Object(fields) = value else {
            return Err(SettingsError::NotAnObject);
        };
        let mut facts = RawSettings::default();
        for (key, value) in fields {
            facts.flatten(key, value);
        }
        Ok(facts)
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
                let joined: Vec<String> = items.iter().map(plain_value).collect();
                self.insert(path.to_string(), joined.join(","));
            }
            other => self.insert(path.to_string(), plain_value(other)),
        }
    }

    fn insert(&mut self, key: String, value: String) {
        self.0.insert(key, value);
    }

    /// The value of a key.
    pub(crate) fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    /// The value of a key that has no default.
    pub(crate) fn text(&self, key: &str) -> Result<&str> {
        self.get(key).ok_or_else(|| SettingsError::Missing {
            key: key.to_string(),
        })
    }

    /// A finite number, or its default.
    pub(crate) fn number_or(&self, key: &str, default: f64) -> Result<f64> {
        self.get(key)
            .map_or(Ok(default), |value| parse_number(key, value))
    }

    /// A finite number.
    pub(crate) fn number(&self, key: &str) -> Result<f64> {
        parse_number(key, self.text(key)?)
    }

    /// A whole number from 0 to [`MAX_COUNT`].
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

    /// The same, or 0 where the key is missing.
    pub(crate) fn count_or_zero(&self, key: &str) -> Result<u32> {
        if self.get(key).is_some() {
            self.count(key)
        } else {
            Ok(0)
        }
    }

    /// `true` or `false`, or the default.
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

    /// The values that commas separate; empty where the key is missing.
    pub(crate) fn list(&self, key: &str) -> Vec<&str> {
        let values = self.get(key).unwrap_or_default().split(',');
        values.filter(|value| !value.is_empty()).collect()
    }

    /// The same as finite numbers.
    pub(crate) fn numbers(&self, key: &str) -> Result<Vec<f64>> {
        self.list(key)
            .into_iter()
            .map(|value| parse_number(key, value))
            .collect()
    }
}

/// One value as the wire writes it; spaces and commas in it become `_`.
fn plain_value(value: &Value) -> String {
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
