//! A dispatch node: the program that serves clients and backends over the network, with the decisions of
//! `oakwind_admission`.

mod admin;
mod backend;
mod class_registry;
mod clock;
mod commands;
mod config;
mod decision_log;
mod dispatcher;
mod exchange;
mod frontend;
mod handover;
mod heartbeat;
mod hexadecimal;
mod http;
mod line_codec;
mod log;
mod metrics;
mod outcome;
mod peers;
mod result_store;
mod run_gate;
mod server;
mod sockets;
#[cfg(test)]
mod test_support;
mod uwsgi;
mod vrrp;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use commands::{FleetCommand, Verdict};
use config::ConfigFiles;

/// A dispatch node for JSON-RPC and uwsgi clients.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    CheckConfig(CheckConfig),
    Fleet(FleetCommand),
    Version(Version),
}

/// Defines a command with the options that name the configuration files. This is a macro because argh can't
/// share options between commands.
macro_rules! configured_command {
    ($(#[doc = $doc:literal])* $command:ident, $name:literal) => {
        #[allow(clippy::doc_markdown, reason = "the comments are what `--help` prints")]
        $(#[doc = $doc])*
        #[derive(FromArgs)]
        #[argh(subcommand, name = $name)]
        struct $command {
            /// the node's configuration in JSON (default: the file that BALANCER_CONFIG names)
            #[argh(option)]
            config: Option<PathBuf>,
            /// a file that enables the uwsgi frontend, such as deploy/uwsgi.toml
            #[argh(option)]
            uwsgi: Option<PathBuf>,
            /// a file that makes keys and results survive a restart, such as deploy/remembered.toml
            #[argh(option, long = "remembered")]
            result_store: Option<PathBuf>,
            /// a file that makes the node a member of a fleet, such as deploy/fleet.toml
            #[argh(option)]
            fleet: Option<PathBuf>,
            /// a file that makes the node log its decisions, such as deploy/records.toml
            #[argh(option, long = "records")]
            decision_log: Option<PathBuf>,
        }

        impl From<$command> for ConfigFiles {
            fn from(command: $command) -> ConfigFiles {
                let $command { config, uwsgi, result_store, fleet, decision_log } = command;
                ConfigFiles { config, uwsgi, result_store, fleet, decision_log }
            }
        }
    };
}

configured_command! {
    /// Serve until SIGTERM or SIGINT, then drain. SIGHUP reloads the configuration files.
    Serve, "serve"
}

configured_command! {
    /// Read the configuration files and report whether a node can serve with them.
    CheckConfig, "check-config"
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(arguments.command) {
        Ok(Verdict::Good) => ExitCode::SUCCESS,
        Ok(Verdict::Bad) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("oakwind: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum ProgramError {
    /// The node did not start.
    #[error("{0}")]
    Startup(#[from] server::StartupError),
    /// The configuration is not valid.
    #[error("{0}")]
    Config(#[from] config::ConfigError),
    /// The decision logs can't be queried.
    #[error("{0}")]
    Query(#[from] commands::CommandError),
}

fn run(command: Command) -> Result<Verdict, ProgramError> {
    match command {
        Command::Serve(command) => server::serve(&command.into())?,
        Command::CheckConfig(command) => check_config(&command.into())?,
        Command::Fleet(command) => return Ok(commands::run(&command)?),
        Command::Version(Version {}) => println!("oakwind {}", env!("CARGO_PKG_VERSION")),
    }
    Ok(Verdict::Good)
}

fn check_config(files: &ConfigFiles) -> Result<(), config::ConfigError> {
    let configuration = files.load_for_startup()?;
    println!("{}: can be served", configuration.node.name);
    Ok(())
}
