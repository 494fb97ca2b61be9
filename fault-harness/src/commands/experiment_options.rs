//! The options shared by all commands that play scenarios with the real program.

use std::path::PathBuf;

use oakwind_fault_harness::experiment::{self, Job};
use oakwind_fault_harness::node::Programs;
use oakwind_fault_harness::report::Outcome;
use oakwind_fault_harness::scenario::Scenario;

use super::CommandError;

/// File name of the program's executable, which is expected in the directory of the harness's executable.
const PROGRAM_NAME: &str = "oakwind";
/// Characters allowed in directory names of plays besides letters and digits.
const FILE_NAME_PUNCTUATION: &str = ".-=";

/// The number of plays, their concurrency, and where results are stored.
pub(crate) struct ExperimentOptions {
    /// Number of plays of each scenario, value or side.
    pub(crate) repeat: u64,
    /// Maximum number of concurrent plays.
    pub(crate) jobs: usize,
    /// Directory for results and the files of each play; nothing is stored without it.
    pub(crate) out: Option<PathBuf>,
}

impl ExperimentOptions {
    /// Returns the job of one play, whose files go to a subdirectory named after its label and seed.
    pub(crate) fn job(&self, label: &str, scenario: &Scenario, seed: u64, programs: &Programs) -> Job {
        let out = self.out.as_ref().map(|out| out.join(format!("{}-{seed}", file_name(label))));
        Job { label: label.into(), scenario: scenario.clone(), seed, programs: programs.clone(), out }
    }

    /// Plays all jobs and returns their outcomes; reports progress on standard error if `progress` is set.
    pub(crate) fn run(&self, jobs: Vec<Job>, progress: bool) -> Result<Vec<Outcome>, CommandError> {
        Ok(experiment::run(jobs, self.jobs, progress)?)
    }
}

/// Converts a label to part of a file name: every character that is not allowed becomes an underscore.
fn file_name(label: &str) -> String {
    let is_allowed = |letter: char| letter.is_alphanumeric() || FILE_NAME_PUNCTUATION.contains(letter);
    label.chars().map(|letter| if is_allowed(letter) { letter } else { '_' }).collect()
}

/// Returns the builds that the `--program` options name. Unless an option names `default`, it is the executable beside
/// the harness.
pub(crate) fn programs(options: &[String]) -> Result<Programs, CommandError> {
    let own_path = std::env::current_exe().map_err(CommandError::ExecutablePath)?;
    Ok(Programs::from_options(own_path.with_file_name(PROGRAM_NAME), options)?)
}

/// Defines a command that plays scenarios, with its own options followed by those of [`ExperimentOptions`]. This is a
/// macro because argh cannot share options among commands. Option types are matched as separate tokens instead of
/// `ty` fragments because argh's derive has to recognize `Vec<...>` and `Option<...>`.
macro_rules! experiment_command {
    (
        $(#[doc = $doc:literal])*
        $command:ident, $name:literal, repeat = $repeat:literal, jobs = $jobs:literal {
            $($(#[$($attribute:tt)*])* $option:ident: $type:ident $(<$parameter:ident>)?,)*
        }
    ) => {
        $(#[doc = $doc])*
        #[derive(argh::FromArgs)]
        #[argh(subcommand, name = $name)]
        pub(crate) struct $command {
            $($(#[$($attribute)*])* $option: $type $(<$parameter>)?,)*
            /// number of plays of each scenario, value or side, with consecutive seeds
            #[argh(option, default = $repeat)]
            repeat: u64,
            /// maximum number of concurrent plays
            #[argh(option, default = $jobs)]
            jobs: usize,
            /// a folder for results, histories, logs, charts and the report page
            #[argh(option)]
            out: Option<std::path::PathBuf>,
        }

        impl $command {
            fn experiment_options(&self) -> crate::commands::experiment_options::ExperimentOptions {
                crate::commands::experiment_options::ExperimentOptions {
                    repeat: self.repeat,
                    jobs: self.jobs,
                    out: self.out.clone(),
                }
            }
        }
    };
}
pub(crate) use experiment_command;

#[cfg(test)]
mod tests;
