//! Why settings are rejected.

use crate::positions::MAX_NAMES;

/// The settings cannot be used; the message names the key.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON, a key is missing or has a value of the wrong type; the message of the JSON parser.
    #[error("settings: {0}")]
    InvalidJson(String),
    /// A key has a value that is not one of the known words.
    #[error("settings: {key} has the unknown value {value:?}")]
    UnknownValue {
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
    },
    /// Too many names of one kind have got a position since the process started.
    #[error("settings: {key}: over {max} names since the start", max = MAX_NAMES)]
    TooManyNames {
        /// The key under which the names are listed.
        key: &'static str,
    },
}
