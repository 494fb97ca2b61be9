//! The subcommands, one per module, and the modules that they share: options, reading of scenarios, output and errors.

mod check;
mod compare;
mod draw;
mod error;
mod experiment_options;
mod output;
mod play;
mod predict;
mod scenario_file;
mod serve;
mod sweep;

use std::process::ExitCode;

use argh::FromArgs;
pub(crate) use error::CommandError;

/// A subcommand with its options.
#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Play(play::Play),
    Predict(predict::Predict),
    Check(check::Check),
    Sweep(sweep::Sweep),
    Compare(compare::Compare),
    Serve(serve::Serve),
    Draw(draw::Draw),
}

impl Command {
    /// Runs the subcommand and returns the exit status, which is a failure if a play violated a rule.
    ///
    /// # Errors
    ///
    /// If an option is invalid, a file cannot be read or written, or a play cannot be completed.
    pub(crate) fn run(self) -> Result<ExitCode, CommandError> {
        match self {
            Command::Play(play) => play.run(),
            Command::Predict(predict) => predict.run(),
            Command::Check(check) => check.run(),
            Command::Sweep(sweep) => sweep.run(),
            Command::Compare(compare) => compare.run(),
            Command::Serve(serve) => serve.run(),
            Command::Draw(draw) => draw.run(),
        }
    }
}
