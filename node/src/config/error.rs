//! Errors in configuration files. The text of each is one line that names the key and, if there is one, its
//! value.

use std::fmt::Display;
use std::io;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// A configuration that cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigError {
    /// Neither the command line nor the environment names the platform's file.
    #[error("no configuration file given: use --config or set BALANCER_CONFIG")]
    NoFile,
    /// A file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The platform's JSON, its settings or a membership configuration is malformed. Holds the message of the
    /// parser.
    #[error("{0}")]
    Malformed(String),
    /// An operators' file has a TOML syntax error, or a key that is unknown, missing or of the wrong type.
    #[error("{file} file, line {line}{key}: {message}")]
    MalformedOperatorsFile {
        /// The kind of file, such as `uwsgi`.
        file: &'static str,
        /// The number of the line, from 1.
        line: usize,
        /// A comma and the key; empty if the file is not valid TOML.
        key: String,
        /// The message of the parser.
        message: String,
    },
    /// A number is outside its range.
    #[error("{key}: {value} is out of range, must be from {} to {}", range.start(), range.end())]
    OutOfRange {
        /// Configuration key that the error is about.
        key: String,
        /// Value of the configuration key.
        value: u64,
        /// The allowed values.
        range: RangeInclusive<u64>,
    },
    /// A string does not have the expected form.
    #[error("{key}: {value:?} is not {expected}")]
    Invalid {
        /// Configuration key that the error is about.
        key: String,
        /// Value of the configuration key.
        value: String,
        /// A description of the expected form.
        expected: &'static str,
    },
    /// A key is missing, or its value contradicts another one.
    #[error("{key}: {problem}")]
    Inconsistent {
        /// Configuration key that the error is about.
        key: String,
        /// A description of the problem.
        problem: String,
    },
}

impl ConfigError {
    /// Converts the error of a parser. Only its first line is kept, as further lines may quote the input.
    pub(super) fn malformed(error: &impl Display) -> ConfigError {
        ConfigError::Malformed(first_line(error))
    }

    /// Creates an error for a key that is missing, or whose value contradicts another one.
    pub(super) fn inconsistent(key: impl Into<String>, problem: impl Into<String>) -> ConfigError {
        ConfigError::Inconsistent { key: key.into(), problem: problem.into() }
    }
}

/// The first line of an error's text.
pub(super) fn first_line(error: &impl Display) -> String {
    error.to_string().lines().next().unwrap_or_default().to_string()
}
