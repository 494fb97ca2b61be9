//! `serve`: a mutant in the program's place, started like the program.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use oakwind_fault_harness::mutant;

use super::CommandError;

/// Be a plain node in the program's place, with a fault that the checker has to find.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub(crate) struct Serve {
    /// the platform's configuration
    #[argh(option)]
    config: PathBuf,
    /// a folder of keys, which a plain node does not keep
    #[argh(option, long = "remembered")]
    result_store: Option<PathBuf>,
    /// the fault: runs-twice, loses-answers, answers-twice, refuses-what-ran, mixes-results or changes-bodies
    #[argh(option, default = "String::new()")]
    mutant: String,
}

impl Serve {
    pub(crate) fn run(self) -> Result<ExitCode, CommandError> {
        // Accepted, as nodes are started with it, but a plain node stores nothing.
        drop(self.result_store);
        mutant::serve(&self.config, &self.mutant)?;
        Ok(ExitCode::SUCCESS)
    }
}
