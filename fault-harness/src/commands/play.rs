//! `play`: plays scenarios with the real program.

use std::path::PathBuf;
use std::process::ExitCode;

use oakwind_fault_harness::{experiment, report};

use super::experiment_options::{experiment_command, programs};
use super::output::conclude;
use super::scenario_file::{parse_assignments, read_scenario};
use super::CommandError;

experiment_command! {
    /// Play scenarios with the real program and check the rules.
    Play, "play", repeat = "1", jobs = "1" {
        /// scenario files
        #[argh(positional)]
        scenarios: Vec<PathBuf>,
        /// seed of the first play, in place of the scenario's own
        #[argh(option)]
        seed: Option<u64>,
        /// a build of the program as NAME=PATH, followed by further arguments; nodes run `default` unless a scenario
        /// names another
        #[argh(option)]
        program: Vec<String>,
        /// set a key of all scenarios, as KEY=VALUE
        #[argh(option)]
        set: Vec<String>,
        /// do not report progress
        #[argh(switch)]
        quiet: bool,
    }
}

impl Play {
    pub(crate) fn run(&self) -> Result<ExitCode, CommandError> {
        let changes = parse_assignments(&self.set)?;
        let programs = programs(&self.program)?;
        if self.scenarios.is_empty() {
            return Err(CommandError::NoScenario);
        }
        let options = self.experiment_options();
        let mut jobs = Vec::new();
        for path in &self.scenarios {
            let scenario = read_scenario(path, &changes)?;
            let first_seed = self.seed.unwrap_or(scenario.seed);
            for repeat in 0..options.repeat {
                jobs.push(options.job(&scenario.name, &scenario, first_seed + repeat, &programs));
            }
        }
        let outcomes = options.run(jobs, !self.quiet)?;
        let table = if options.repeat > 1 {
            experiment::spread_table(&outcomes)
        } else {
            report::plays_table(&outcomes)
        };
        print!("{table}");
        conclude(&outcomes, options.out.as_deref())
    }
}
