//! What can be wrong with a scenario. Every error is one line that names the key.

use std::fmt::{self, Display, Formatter};
use std::io;
use std::path::PathBuf;

/// One mistake in a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The text is not TOML.
    #[error("line {line}: {message}")]
    Syntax {
        /// The line, from 1.
        line: usize,
        /// The parser's message.
        message: String,
    },
    /// A key is unknown, missing, given twice, or has a value of another type.
    #[error("{key}: {message}")]
    Malformed {
        /// The table or the key.
        key: String,
        /// The parser's message.
        message: String,
    },
    /// A value is not among those allowed.
    #[error("{key}: {requirement}, not {value}")]
    NotAllowed {
        /// The key.
        key: String,
        /// Its value.
        value: String,
        /// What is allowed.
        requirement: &'static str,
    },
    /// A key is missing that others make necessary, or given together with one that excludes it.
    #[error("{key}: {requirement}")]
    Inconsistent {
        /// The key.
        key: String,
        /// What has to hold.
        requirement: &'static str,
    },
    /// A node is named that the fleet does not have.
    #[error("{key}: there is no node {node:?}")]
    UnknownNode {
        /// The key that names it.
        key: String,
        /// Its name.
        node: String,
    },
    /// A zone is named that the fleet does not have.
    #[error("{key}: there is no zone {zone:?}")]
    UnknownZone {
        /// The key that names it.
        key: String,
        /// Its name.
        zone: String,
    },
    /// A clock is not given as AT:BY.
    #[error("{key}: {value:?} is not AT:BY in milliseconds")]
    InvalidClock {
        /// The key.
        key: String,
        /// Its value.
        value: String,
    },
    /// The load comes to more requests than a history may hold.
    #[error("{key}: {count:.0} requests in all, over {max:.0}")]
    TooManyRequests {
        /// The key.
        key: &'static str,
        /// How many there would be.
        count: f64,
        /// How many there may be.
        max: f64,
    },
    /// An override names a position that a list does not have.
    #[error("{key}: no such position")]
    NoSuchPosition {
        /// The key of the override.
        key: String,
    },
    /// An override names a key within a value that is no table.
    #[error("{key}: {within} is no table")]
    NotATable {
        /// The key of the override.
        key: String,
        /// The part of it that is no table.
        within: String,
    },
}

/// All mistakes of a scenario, one at least.
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
    /// A line for each mistake.
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for ScenarioErrors {}
