//! What is wrong with the start settings.

use thiserror::Error;

/// What is wrong with the settings, and at which key: to be mended where the settings are written.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// A line is not of the form `key=value`.
    #[error("settings line {line} has no '='")]
    NoValue {
        /// The line's number, from 1.
        line: usize,
    },
    /// The JSON of the settings is a list or a plain value.
    #[error("the settings are no object")]
    NotAnObject,
    /// A key without a default is missing: add it.
    #[error("setting {key} is missing")]
    Missing {
        /// The key.
        key: String,
    },
    /// The value has to be a finite number.
    #[error("setting {key} is no number: {value}")]
    NotANumber {
        /// The key.
        key: String,
        /// Its value.
        value: String,
    },
    /// The value has to be a whole number from 0 to 65,535.
    #[error("setting {key} is no small whole number: {value}")]
    NotACount {
        /// The key.
        key: String,
        /// Its value.
        value: f64,
    },
    /// The value has to be `true` or `false`.
    #[error("setting {key} is neither true nor false: {value}")]
    NotAFlag {
        /// The key.
        key: String,
        /// Its value.
        value: String,
    },
    /// The value is none of those that the key may have.
    #[error("setting {key} is not known: {value}")]
    UnknownValue {
        /// The key.
        key: String,
        /// Its value.
        value: String,
    },
    /// There has to be at least one.
    #[error("setting {key} is 0")]
    Zero {
        /// The key.
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
