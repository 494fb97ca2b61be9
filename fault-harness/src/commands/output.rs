//! The final output of commands that play or check: violations, result files and the exit status.

use std::path::Path;
use std::process::ExitCode;

use oakwind_fault_harness::report::{self, Outcome};

use super::CommandError;

/// Stores the results in `out`, if given, and prints the violations of all plays. The returned status is a failure if
/// there are any.
pub(crate) fn conclude(outcomes: &[Outcome], out: Option<&Path>) -> Result<ExitCode, CommandError> {
    if let Some(out) = out {
        report::store_results(outcomes, out)?;
    }
    for outcome in outcomes.iter().filter(|outcome| !outcome.verdict.violations.is_empty()) {
        println!("{} with seed {}:", outcome.label, outcome.seed);
        print!("{}", report::format_violations(&outcome.verdict));
    }
    let broken: usize = outcomes.iter().map(|outcome| outcome.verdict.violations.len()).sum();
    println!("{broken} rules broken");
    Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
