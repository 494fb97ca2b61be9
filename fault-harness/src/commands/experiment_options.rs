//! The options that all commands share which play scenarios with the real program.

use std::path::PathBuf;

use oakwind_fault_harness::experiment::{self, Job};
use oakwind_fault_harness::node::Programs;
use oakwind_fault_harness::report::Outcome;
use oakwind_fault_harness::scenario::Scenario;

use super::CommandError;

/// The name of the program's executable, which is beside that of the harness.
const PROGRAM_NAME: &str = "oakwind";
/// What file names of plays may have besides letters and digits.
const FILE_NAME_PUNCTUATION: &str = ".-=";

/// How often and how many at a time a command plays, and where it stores the results.
pub(crate) struct ExperimentOptions {
    /// Plays of each scenario, value or side.
    pub(crate) repeat: u64,
    /// Plays at a time.
    pub(crate) jobs: usize,
    /// The directory for all files.
    pub(crate) out: Option<PathBuf>,
}

impl ExperimentOptions {
    /// One play, whose files go to a directory named after it.
    pub(crate) fn job(&self, label: &str, scenario: &Scenario, seed: u64, programs: &Programs) -> Job {
        let out = self.out.as_ref().map(|out| out.join(format!("{}-{seed}", file_name(label))));
        Job { label: label.into(), scenario: scenario.clone(), seed, programs: programs.clone(), out }
    }

    /// Plays all, with progress on standard error if that is wanted.
    pub(crate) fn run(&self, jobs: Vec<Job>, progress: bool) -> Result<Vec<Outcome>, CommandError> {
        Ok(experiment::run(jobs, self.jobs, progress)?)
    }
}

/// A label as part of a file name.
fn file_name(label: &str) -> String {
    let is_allowed = |letter: char| letter.is_alphanumeric() || FILE_NAME_PUNCTUATION.contains(letter);
    label.chars().map(|letter| if is_allowed(letter) { letter } else { '_' }).collect()
}

/// The builds that options `--program` name. The default one is beside the harness unless they name another.
pub(crate) fn programs(options: &[String]) -> Result<Programs, CommandError> {
    let own_path = std::env::current_exe().map_err(CommandError::ExecutablePath)?;
    Ok(Programs::from_options(own_path.with_file_name(PROGRAM_NAME), options)?)
}

/// Defines a command that plays scenarios: its own options, and after them those of [`ExperimentOptions`]. A macro, as
/// argh has no options that several commands share. It has to see `Vec<String>` and the like as words, not as one type.
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
            /// plays of each scenario, value or side, with seeds that count up
            #[argh(option, default = $repeat)]
            repeat: u64,
            /// plays at a time
            #[argh(option, default = $jobs)]
            jobs: usize,
            /// a folder for results, histories, logs, charts and the page
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
