//! A dispatch node: one program on real sockets round the decisions of `oakwind_admission`.

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
mod uwsgi;
mod vrrp;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
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
    Check(Check),
    Fleet(commands::Fleet),
    Version(Version),
}

/// Serve until SIGTERM or SIGINT, and drain then. SIGHUP makes it read its files again.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the node's configuration in JSON (default: the file that BALANCER_CONFIG names)
    #[argh(option)]
    config: Option<PathBuf>,
    /// a file that switches the uwsgi front on, such as deploy/uwsgi.toml
    #[argh(option)]
    uwsgi: Option<PathBuf>,
    /// a file that makes keys and results outlast the process, such as deploy/remembered.toml
    #[argh(option)]
    remembered: Option<PathBuf>,
    /// a file that makes the node one of a fleet whose nodes talk, such as deploy/fleet.toml
    #[argh(option)]
    fleet: Option<PathBuf>,
    /// a file that makes the node keep records of what it decides, such as deploy/records.toml
    #[argh(option)]
    records: Option<PathBuf>,
}

/// Read the configuration and say whether it can be served.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct Check {
    /// the node's configuration in JSON (default: the file that BALANCER_CONFIG names)
    #[argh(option)]
    config: Option<PathBuf>,
    /// a file that switches the uwsgi front on, such as deploy/uwsgi.toml
    #[argh(option)]
    uwsgi: Option<PathBuf>,
    /// a file that makes keys and results outlast the process, such as deploy/remembered.toml
    #[argh(option)]
    remembered: Option<PathBuf>,
    /// a file that makes the node one of a fleet whose nodes talk, such as deploy/fleet.toml
    #[argh(option)]
    fleet: Option<PathBuf>,
    /// a file that makes the node keep records of what it decides, such as deploy/records.toml
    #[argh(option)]
    records: Option<PathBuf>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let done = match arguments.command {
        Command::Serve(Serve { config, uwsgi, remembered, fleet, records }) => {
            server::serve(&ConfigFiles { config, uwsgi, remembered, fleet, records })
                .map(|()| true)
                .map_err(|e| e.to_string())
        }
        Command::Check(Check { config, uwsgi, remembered, fleet, records }) => {
            let checked = ConfigFiles { config, uwsgi, remembered, fleet, records }.load_for_startup();
            let told = checked.map(|told| println!("{}: can be served", told.config.name));
            told.map(|()| true).map_err(|e| e.to_string())
        }
        Command::Fleet(asked) => commands::run(&asked),
        Command::Version(Version {}) => {
            println!("oakwind {}", env!("CARGO_PKG_VERSION"));
            Ok(true)
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(problem) => {
            eprintln!("oakwind: {problem}");
            ExitCode::FAILURE
        }
    }
}
