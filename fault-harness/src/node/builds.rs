//! The builds of the program that nodes run.

use std::collections::BTreeMap;
use std::path::PathBuf;

use thiserror::Error;

use super::StartError;

/// The name of the build that nodes run unless the scenario says otherwise.
const DEFAULT_BUILD: &str = "default";

/// An option `--program` that is malformed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("--program {0}: is not NAME=PATH")]
pub struct ProgramOptionError(String);

/// A build of the program.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Build {
    /// The path of its executable.
    pub path: PathBuf,
    /// Arguments that it gets besides those of every node.
    pub arguments: Vec<String>,
}

/// The builds of the program.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Programs {
    /// The one that nodes run unless the scenario says otherwise.
    pub default: Build,
    /// Others by name.
    pub others: BTreeMap<String, Build>,
}

impl Programs {
    /// The builds that options NAME=PATH name, with arguments behind the path. The default build is at `default_path`
    /// unless one of them is named `default`.
    ///
    /// # Errors
    ///
    /// If an option does not have that form.
    pub fn from_options(default_path: PathBuf, options: &[String]) -> Result<Programs, ProgramOptionError> {
        let mut others = BTreeMap::new();
        for option in options {
            let (name, command) = option.split_once('=').ok_or_else(|| ProgramOptionError(option.clone()))?;
            let mut words = command.split_whitespace();
            let path = words.next().map(PathBuf::from).unwrap_or_default();
            let arguments = words.map(String::from).collect();
            others.insert(name.to_string(), Build { path, arguments });
        }
        let beside_harness = Build { path: default_path, arguments: Vec::new() };
        let default = others.get(DEFAULT_BUILD).cloned().unwrap_or(beside_harness);
        Ok(Programs { default, others })
    }

    /// The build with this name, or the default one.
    pub(super) fn named(&self, name: Option<&str>) -> Result<Build, StartError> {
        let Some(name) = name else { return Ok(self.default.clone()) };
        self.others.get(name).cloned().ok_or_else(|| StartError::UnknownBuild(name.into()))
    }
}

#[cfg(test)]
mod tests;
