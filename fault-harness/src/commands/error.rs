//! The errors of subcommands.

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

/// Why a subcommand could not be run.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// `play` was given no file.
    #[error("name at least one scenario")]
    NoScenario,
    /// An assignment has no equals sign.
    #[error("{0}: is not KEY=VALUE")]
    NotAnAssignment(String),
    /// A scenario cannot be read, or has errors; a line for each.
    #[error("{}", errors_with_path(path, errors))]
    Scenario {
        /// The scenario's file.
        path: PathBuf,
        /// Its errors.
        errors: ScenarioErrors,
    },
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A history cannot be read.
    #[error("{}: {source}", path.display())]
    History {
        /// The history's file.
        path: PathBuf,
        /// Why.
        source: HistoryError,
    },
    /// A table cannot be drawn.
    #[error("{}: {source}", path.display())]
    Table {
        /// The table's file.
        path: PathBuf,
        /// Why.
        source: TableError,
    },
    /// An option `--program` is malformed.
    #[error(transparent)]
    Program(#[from] ProgramOptionError),
    /// The path of the harness itself, beside which the program is, is not known.
    #[error("the path of this executable is not known: {0}")]
    ExecutablePath(io::Error),
    /// An experiment did not reach its end.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// The results cannot be written.
    #[error(transparent)]
    Report(#[from] ReportError),
    /// The mutant could not serve.
    #[error(transparent)]
    Mutant(#[from] MutantError),
}

/// A line for each error, with the scenario's path before those that do not name it themselves.
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
