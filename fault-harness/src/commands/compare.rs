//! `compare`: plays a scenario alternately with two builds or two values of its keys.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use oakwind_fault_harness::experiment;
use oakwind_fault_harness::node::Programs;
use oakwind_fault_harness::report::Outcome;
use oakwind_fault_harness::scenario::Scenario;

use super::experiment_options::{experiment_command, programs};
use super::output::conclude;
use super::scenario_file::{parse_assignment, read_scenario};
use super::CommandError;

/// The key that selects the build of a side. Every other key is a key of the scenario.
const PROGRAM_KEY: &str = "program";

experiment_command! {
    /// Play a scenario alternately with two builds or two values of its keys.
    Compare, "compare", repeat = "3", jobs = "2" {
        /// scenario file
        #[argh(positional)]
        scenario: PathBuf,
        /// the first side: program=PATH or KEY=VALUE, several separated by spaces
        #[argh(option)]
        a: String,
        /// the second side, in the same form
        #[argh(option)]
        b: String,
    }
}

/// One of the two sides of the comparison.
struct Side {
    label: String,
    scenario: Scenario,
    programs: Programs,
}

impl Side {
    /// Parses the space-separated assignments of a side and reads the scenario with them.
    fn read(path: &Path, assignments: &str) -> Result<Side, CommandError> {
        let mut changes = Vec::new();
        let mut program_options = Vec::new();
        for word in assignments.split_whitespace() {
            let (key, value) = parse_assignment(word)?;
            if key == PROGRAM_KEY {
                program_options.push(format!("default={value}"));
            } else {
                changes.push((key, value));
            }
        }
        let scenario = read_scenario(path, &changes)?;
        Ok(Side { label: assignments.into(), scenario, programs: programs(&program_options)? })
    }
}

impl Compare {
    pub(crate) fn run(&self) -> Result<ExitCode, CommandError> {
        let first = Side::read(&self.scenario, &self.a)?;
        let second = Side::read(&self.scenario, &self.b)?;
        let options = self.experiment_options();
        let mut jobs = Vec::new();
        for repeat in 0..options.repeat {
            for side in [&first, &second] {
                let seed = side.scenario.seed + repeat;
                jobs.push(options.job(&side.label, &side.scenario, seed, &side.programs));
            }
        }
        let outcomes = options.run(jobs, true)?;
        let (first_outcomes, second_outcomes): (Vec<Outcome>, Vec<Outcome>) =
            outcomes.iter().cloned().partition(|outcome| outcome.label == first.label);
        print!("{}", experiment::comparison_table(&first_outcomes, &second_outcomes));
        conclude(&outcomes, options.out.as_deref())
    }
}

#[cfg(test)]
mod tests;
