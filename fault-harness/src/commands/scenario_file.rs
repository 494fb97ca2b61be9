//! Reading of scenario files, with values overridden by options of the form KEY=VALUE.

use std::path::Path;

use oakwind_fault_harness::scenario::Scenario;

use super::CommandError;

/// A scenario key and the value that overrides the file's.
pub(crate) type Assignment = (String, String);

/// Splits KEY=VALUE at its first equals sign.
pub(crate) fn parse_assignment(text: &str) -> Result<Assignment, CommandError> {
    match text.split_once('=') {
        Some((key, value)) => Ok((key.into(), value.into())),
        None => Err(CommandError::NotAnAssignment(text.into())),
    }
}

/// Parses each option with [`parse_assignment`].
pub(crate) fn parse_assignments(options: &[String]) -> Result<Vec<Assignment>, CommandError> {
    options.iter().map(|option| parse_assignment(option)).collect()
}

/// Reads and validates a scenario with the values in `changes` in place of the file's.
pub(crate) fn read_scenario(path: &Path, changes: &[Assignment]) -> Result<Scenario, CommandError> {
    Scenario::read(path, changes)
        .map_err(|errors| CommandError::Scenario { path: path.to_path_buf(), errors })
}

#[cfg(test)]
mod tests;
