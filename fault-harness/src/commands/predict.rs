//! `predict`: simulates scenarios in virtual time.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use oakwind_fault_harness::predict::predict;
use oakwind_fault_harness::report::{self, Outcome};
use oakwind_fault_harness::schedule::schedule;
use oakwind_fault_harness::warm_up_bound::warm_up_bound;

use super::output::conclude;
use super::scenario_file::{parse_assignments, read_scenario};
use super::CommandError;

/// Simulate scenarios in virtual time, without sockets and without the program.
#[derive(FromArgs)]
#[argh(subcommand, name = "predict")]
pub(crate) struct Predict {
    /// scenario files
    #[argh(positional)]
    scenarios: Vec<PathBuf>,
    /// seed of the random numbers, in place of the scenario's own
    #[argh(option)]
    seed: Option<u64>,
    /// set a key of all scenarios, as KEY=VALUE
    #[argh(option)]
    set: Vec<String>,
}

impl Predict {
    pub(crate) fn run(&self) -> Result<ExitCode, CommandError> {
        let changes = parse_assignments(&self.set)?;
        let mut outcomes = Vec::new();
        for path in &self.scenarios {
            let scenario = read_scenario(path, &changes)?;
            let seed = self.seed.unwrap_or(scenario.seed);
            let history = predict(&scenario, Some(seed));
            let bound = warm_up_bound(&scenario, &schedule(&scenario, seed));
            outcomes.push(Outcome::from_history(&scenario.name, &history, bound));
        }
        print!("{}", report::plays_table(&outcomes));
        conclude(&outcomes, None)
    }
}
