//! The command line of the fault harness.

mod commands;

use std::process::ExitCode;

use argh::FromArgs;
use commands::Command;

/// Starts fleets of the real program, injects faults, and reports violations of the rules.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match arguments.command.run() {
        Ok(status) => status,
        Err(error) => {
            for line in error.to_string().lines() {
                eprintln!("oakwind-fault-harness: {line}");
            }
            ExitCode::FAILURE
        }
    }
}
