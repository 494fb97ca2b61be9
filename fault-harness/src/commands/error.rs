//! The errors that end a subcommand.

use std::io;
use std::path::{Path, PathBuf};

use oakwind_fault_harness::charts::TableError;
use oakwind_fault_harness::experiment::ExperimentError;
use oakwind_fault_harness::history::HistoryError;
use oakwind_fault_harness::mutant::MutantError;
use oakwind_fault_harness::node::ProgramOptionError;
use oakwind_fault_harness::report::ReportError;
use oakwind_fault_harness::scenario::{ScenarioError, ScenarioErrors};
use thiserror::Error;

/// The error of a subcommand that could not be completed.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// `play` was given no scenario file.
    #[error("no scenario file given; name at least one")]
    NoScenario,
    /// An assignment has no equals sign.
    #[error("{0}: is not KEY=VALUE")]
    NotAnAssignment(String),
    /// A scenario cannot be read or is invalid. The message has one line per error.
    #[error("{}", errors_with_path(path, errors))]
    Scenario {
        /// The scenario's file.
        path: PathBuf,
        /// All errors found.
        errors: ScenarioErrors,
    },
    /// A file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A history cannot be read.
    #[error("{}: {source}", path.display())]
    History {
        /// The history's file.
        path: PathBuf,
        /// The error of reading it.
        source: HistoryError,
    },
    /// A table cannot be drawn.
    #[error("{}: {source}", path.display())]
    Table {
        /// The table's file.
        path: PathBuf,
        /// The error of drawing it.
        source: TableError,
    },
    /// An option `--program` is malformed.
    #[error(transparent)]
    Program(#[from] ProgramOptionError),
    /// The path of the harness's executable, beside which the default program is expected, cannot be determined.
    #[error("cannot determine the path of the harness's executable: {0}")]
    ExecutablePath(io::Error),
    /// An experiment was not completed.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// The results cannot be written.
    #[error(transparent)]
    Report(#[from] ReportError),
    /// The mutant node could not start or serve.
    #[error(transparent)]
    Mutant(#[from] MutantError),
}

/// Formats one line per error, prefixed with the scenario's path unless the error's own text has the path.
fn errors_with_path(path: &Path, errors: &ScenarioErrors) -> String {
    let lines: Vec<String> = errors
        .iter()
        .map(|error| match error {
            ScenarioError::Unreadable { .. } => error.to_string(),
            _ => format!("{}: {error}", path.display()),
        })
        .collect();
    lines.join("\n")
}
