//! The builds of the program that nodes run.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;

/// A build of the program.
#[derive(Debug, Clone, Default)]
pub struct Build {
    /// The path of its executable.
    pub path: PathBuf,
    /// Arguments that it gets besides those of every node.
    pub arguments: Vec<String>,
}

/// The builds of the program.
#[derive(Debug, Clone, Default)]
pub struct Programs {
    /// The one that nodes run unless the scenario says otherwise.
    pub default: Build,
    /// Others by name.
    pub others: BTreeMap<String, Build>,
}

impl Programs {
    /// The build with this name, or the default one.
    pub(super) fn named(&self, name: Option<&str>) -> io::Result<Build> {
        match name {
            None => Ok(self.default.clone()),
            Some(name) => self.others.get(name).cloned().ok_or_else(|| {
                io::Error::new(
                    io::ErrorKind::NotFound,
                    format!("no --program {name}=PATH names the build {name:?}"),
                )
            }),
        }
    }
}
