//! Errors in scenarios. Every error is one line that names the key.

use std::fmt::{self, Display, Formatter};
use std::io;
use std::path::PathBuf;

/// A mistake in a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{}: the scenario cannot be read: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The text is not TOML.
    #[error("line {line}: {message}")]
    Syntax {
        /// The number of the line, from 1.
        line: usize,
        /// The parser's message.
        message: String,
    },
    /// A key is unknown, missing, given twice, or has a value of the wrong type.
    #[error("{key}: {message}")]
    Malformed {
        /// The table or the key.
        key: String,
        /// The parser's message.
        message: String,
    },
    /// The value of a key is out of its range.
    #[error("{key}: must be {requirement}, not {value}")]
    NotAllowed {
        /// The key, with the tables that it is in.
        key: String,
        /// The rejected value.
        value: String,
        /// The allowed values, completing the sentence "must be ...".
        requirement: &'static str,
    },
    /// A key is missing that another one requires, or is given together with one that excludes it.
    #[error("{key}: {requirement}")]
    Inconsistent {
        /// The key that is inconsistent with the rest of the scenario.
        key: String,
        /// The text that follows the key in the message.
        requirement: &'static str,
    },
    /// A key names a node that the fleet does not have.
    #[error("{key}: the fleet has no node {node:?}")]
    UnknownNode {
        /// The key that names the node.
        key: String,
        /// The name.
        node: String,
    },
    /// A key names a zone that the fleet does not have.
    #[error("{key}: the fleet has no zone {zone:?}")]
    UnknownZone {
        /// The key that names the zone.
        key: String,
        /// The name.
        zone: String,
    },
    /// A clock shift does not have the form AT:BY.
    #[error("{key}: must be AT:BY in milliseconds, not {value:?}")]
    InvalidClock {
        /// The key that holds the clock shift.
        key: String,
        /// The rejected clock shift, as written.
        value: String,
    },
    /// The load results in more requests than a history may hold.
    #[error("{key}: {count:.0} requests in total, more than the limit of {max:.0}")]
    TooManyRequests {
        /// The key whose value results in too many requests.
        key: &'static str,
        /// The number of requests at the highest rate of the scenario.
        count: f64,
        /// The maximum number of requests.
        max: f64,
    },
    /// An override names a position that the list does not have.
    #[error("{key}: the list has no such position")]
    NoSuchPosition {
        /// The key of the override.
        key: String,
    },
    /// An override names a key within a value that is not a table.
    #[error("{key}: {within} is not a table")]
    NotATable {
        /// The key of the override.
        key: String,
        /// The part of the key whose value is not a table.
        within: String,
    },
}

/// All mistakes in a scenario; never empty.
#[derive(Debug)]
pub struct ScenarioErrors(Vec<ScenarioError>);

impl ScenarioErrors {
    /// The mistakes in the order in which they were found.
    pub fn iter(&self) -> impl Iterator<Item = &ScenarioError> {
        self.0.iter()
    }
}

impl From<Vec<ScenarioError>> for ScenarioErrors {
    fn from(errors: Vec<ScenarioError>) -> Self {
        ScenarioErrors(errors)
    }
}

impl From<ScenarioError> for ScenarioErrors {
    fn from(error: ScenarioError) -> Self {
        ScenarioErrors(vec![error])
    }
}

impl Display for ScenarioErrors {
    /// Writes one line for each mistake.
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for ScenarioErrors {}
