//! Errors in the start settings.

use thiserror::Error;

/// An error in the start settings, with the key or line that has to be corrected at their source.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// A line of the settings is not of the form `key=value`.
    #[error("settings line {line} has no '='")]
    NoValue {
        /// Line number, from 1.
        line: usize,
    },
    /// The settings are a JSON list or plain value instead of an object.
    #[error("the settings are no object")]
    NotAnObject,
    /// A required key is missing.
    #[error("setting {key} is missing")]
    Missing {
        /// The missing key.
        key: String,
    },
    /// The value of a key is not a finite number.
    #[error("setting {key} is no number: {value}")]
    NotANumber {
        /// The key whose value is invalid.
        key: String,
        /// The invalid value.
        value: String,
    },
    /// The value of a key is not a whole number from 0 to 65,535.
    #[error("setting {key} is no small whole number: {value}")]
    NotACount {
        /// The key whose value is invalid.
        key: String,
        /// The invalid value.
        value: f64,
    },
    /// The value of a key is neither `true` nor `false`.
    #[error("setting {key} is neither true nor false: {value}")]
    NotAFlag {
        /// The key whose value is invalid.
        key: String,
        /// The invalid value.
        value: String,
    },
    /// The value of a key is none of the values that it can have.
    #[error("setting {key} is not known: {value}")]
    UnknownValue {
        /// The key whose value is invalid.
        key: String,
        /// The invalid value.
        value: String,
    },
    /// A count that must be at least 1 is 0.
    #[error("setting {key} is 0")]
    Zero {
        /// The key of the count.
        key: String,
    },
}

impl SettingsError {
    pub(crate) fn unknown_value(key: impl Into<String>, value: &str) -> Self {
        SettingsError::UnknownValue {
            key: key.into(),
            value: value.to_string(),
        }
    }
}

pub(crate) type Result<T> = std::result::Result<T, SettingsError>;
