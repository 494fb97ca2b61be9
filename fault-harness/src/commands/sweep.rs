//! `sweep`: plays a scenario with several values of one key.

use std::path::PathBuf;
use std::process::ExitCode;

use oakwind_fault_harness::experiment;

use super::experiment_options::{experiment_command, programs};
use super::output::conclude;
use super::scenario_file::{parse_assignment, read_scenario};
use super::CommandError;

experiment_command! {
    /// Play a scenario with several values of one key.
    Sweep, "sweep", repeat = "1", jobs = "1" {
        /// scenario file
        #[argh(positional)]
        scenario: PathBuf,
        /// the key to vary and its values, as KEY=a,b,c
        #[argh(option)]
        vary: String,
        /// a build of the program as NAME=PATH, followed by further arguments
        #[argh(option)]
        program: Vec<String>,
    }
}

impl Sweep {
    pub(crate) fn run(&self) -> Result<ExitCode, CommandError> {
        let (key, values) = parse_assignment(&self.vary)?;
        let programs = programs(&self.program)?;
        let options = self.experiment_options();
        let mut jobs = Vec::new();
        for value in values.split(',') {
            let scenario = read_scenario(&self.scenario, &[(key.clone(), value.into())])?;
            let label = format!("{key}={value}");
            for repeat in 0..options.repeat {
                jobs.push(options.job(&label, &scenario, scenario.seed + repeat, &programs));
            }
        }
        let outcomes = options.run(jobs, true)?;
        print!("{}", experiment::spread_table(&outcomes));
        conclude(&outcomes, options.out.as_deref())
    }
}
