//! `check`: checks a recorded history against the rules.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use oakwind_fault_harness::history::History;
use oakwind_fault_harness::report::{self, Outcome};

use super::output::conclude;
use super::CommandError;

/// Check the recorded history of a play against the rules.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// the history.jsonl of a play
    #[argh(positional)]
    history: PathBuf,
}

impl Check {
    pub(crate) fn run(&self) -> Result<ExitCode, CommandError> {
        let history = History::read(&self.history)
            .map_err(|source| CommandError::History { path: self.history.clone(), source })?;
        let outcomes = [Outcome::from_history(&history.parameters.scenario, &history, None)];
        print!("{}", report::plays_table(&outcomes));
        conclude(&outcomes, None)
    }
}
