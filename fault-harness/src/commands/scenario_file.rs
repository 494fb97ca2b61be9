//! Reading of scenarios, with keys set to other values by options of the form KEY=VALUE.

use std::path::Path;

use oakwind_fault_harness::scenario::Scenario;

use super::CommandError;

/// A key and its value.
pub(crate) type Assignment = (String, String);

/// Splits KEY=VALUE at its first equals sign.
pub(crate) fn parse_assignment(text: &str) -> Result<Assignment, CommandError> {
    match text.split_once('=') {
        Some((key, value)) => Ok((key.into(), value.into())),
        None => Err(CommandError::NotAnAssignment(text.into())),
    }
}

/// Splits each of several options KEY=VALUE.
pub(crate) fn parse_assignments(options: &[String]) -> Result<Vec<Assignment>, CommandError> {
    options.iter().map(|option| parse_assignment(option)).collect()
}

/// Reads and checks a scenario, with these keys set to other values.
pub(crate) fn read_scenario(path: &Path, changes: &[Assignment]) -> Result<Scenario, CommandError> {
    Scenario::read(path, changes)
        .map_err(|errors| CommandError::Scenario { path: path.to_path_buf(), errors })
}

#[cfg(test)]
mod tests;
