//! `serve`: a mutant, a minimal node with a deliberate bug, that takes the same options as the program.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use oakwind_fault_harness::mutant;

use super::CommandError;

/// Run a minimal node in the program's place, with a deliberate bug that the checker must detect.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub(crate) struct Serve {
    /// the node's configuration file
    #[argh(option)]
    config: PathBuf,
    /// the settings of the result store; accepted but ignored
    #[argh(option, long = "remembered")]
    result_store: Option<PathBuf>,
    /// the bug: runs-twice, loses-answers, answers-twice, refuses-what-ran, mixes-results or changes-bodies
    #[argh(option, default = "String::new()")]
    mutant: String,
}

impl Serve {
    pub(crate) fn run(self) -> Result<ExitCode, CommandError> {
        // The harness starts every node with this option, but a mutant stores nothing.
        drop(self.result_store);
        mutant::serve(&self.config, &self.mutant)?;
        Ok(ExitCode::SUCCESS)
    }
}
