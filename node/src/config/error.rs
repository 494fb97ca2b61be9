//! What is wrong with a configuration. Every error is one line that names the key, and the value where it has one.

use std::fmt::Display;
use std::io;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// A configuration that cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigError {
    /// No file is named.
    #[error("no configuration: name one with --config or BALANCER_CONFIG")]
    NoFile,
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// The platform's JSON, its settings or a membership configuration is malformed, as their parsers say.
    #[error("{0}")]
    Malformed(String),
    /// An operators' file is malformed.
    #[error("{file} file, line {line}{key}: {message}")]
    MalformedOperatorsFile {
        /// Which file.
        file: &'static str,
        /// The line, from 1.
        line: usize,
        /// The key after a comma; empty if the file is no TOML.
        key: String,
        /// What is wrong.
        message: String,
    },
    /// A number is outside its range.
    #[error("{key}: {value} is out of range, {} to {} are possible", range.start(), range.end())]
    OutOfRange {
        /// The key.
        key: String,
        /// Its value.
        value: u64,
        /// What is possible.
        range: RangeInclusive<u64>,
    },
    /// A text is not what is needed.
    #[error("{key}: {value:?} is not {expected}")]
    Invalid {
        /// The key.
        key: String,
        /// Its value.
        value: String,
        /// What is needed.
        expected: &'static str,
    },
    /// A key is missing, or its value contradicts another one.
    #[error("{key}: {problem}")]
    Inconsistent {
        /// The key.
        key: String,
        /// What is wrong.
        problem: String,
    },
}

impl ConfigError {
    /// An error from a parser, which may put an excerpt of the text on lines of its own.
    pub(super) fn malformed(error: &impl Display) -> ConfigError {
        ConfigError::Malformed(first_line(error))
    }

    /// A key is missing, or its value contradicts another one.
    pub(super) fn inconsistent(key: impl Into<String>, problem: impl Into<String>) -> ConfigError {
        ConfigError::Inconsistent { key: key.into(), problem: problem.into() }
    }
}

/// The first line of an error's text.
pub(super) fn first_line(error: &impl Display) -> String {
    error.to_string().lines().next().unwrap_or_default().to_string()
}
