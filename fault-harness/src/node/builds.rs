//! The builds of the program that nodes run.

use std::collections::BTreeMap;
use std::path::PathBuf;

use thiserror::Error;

use super::StartError;

/// The name under which `--program` replaces the build that nodes run by default.
const DEFAULT_BUILD: &str = "default";

/// A malformed `--program` option; holds the option's value.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("--program {0}: expected NAME=PATH")]
pub struct ProgramOptionError(String);

/// A build of the node program that a node can run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Build {
    /// The path of its executable.
    pub path: PathBuf,
    /// Additional arguments, after those that every node gets.
    pub arguments: Vec<String>,
}

/// The builds that the nodes of a play can run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Programs {
    /// The build that nodes run unless the scenario names another one.
    pub default: Build,
    /// The builds that `--program` options name, by name.
    pub others: BTreeMap<String, Build>,
}

impl Programs {
    /// Parses options of the form `NAME=PATH ARGUMENTS...`. The default build is the one at `default_path`
    /// unless an option names a build `default`.
    ///
    /// # Errors
    ///
    /// If an option has no `=`.
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

    /// The build with this name, or the default build if no name is given.
    pub(super) fn named(&self, name: Option<&str>) -> Result<Build, StartError> {
        let Some(name) = name else { return Ok(self.default.clone()) };
        self.others.get(name).cloned().ok_or_else(|| StartError::UnknownBuild(name.into()))
    }
}

#[cfg(test)]
mod tests;
