//! The errors of reading and reloading settings.

use crate::positions::MAX_NAMES;

/// Settings that are rejected; the message names the key.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON, a key is missing or has a value of the wrong type; holds the message of the JSON parser.
    #[error("settings: {0}")]
    InvalidJson(String),
    /// The value of a key is not one of its keywords.
    #[error("settings: {key} has the unknown value {value:?}")]
    UnknownValue {
        /// The key whose value is rejected.
        key: &'static str,
        /// The value as given.
        value: String,
    },
    /// The classes or the tenants have had more than 1,000 different names since the process started.
    #[error("settings: {key}: more than {max} different names since the process started", max = MAX_NAMES)]
    TooManyNames {
        /// The key under which the names are listed.
        key: &'static str,
    },
}
