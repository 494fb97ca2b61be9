//! A dispatch node: one program on real sockets round the decisions of `swiftwinch`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backends;
mod clock;
mod config;
mod core;
mod exchange;
mod fronts;
mod log;
mod membership;
mod serve;
mod uwsgi;
mod vrrp;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use config::{BadConfig, Config, Uwsgi};

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
    Version(Version),
}

/// Serve until SIGTERM or SIGINT, and drain then.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the node's configuration in JSON (default: the file that BALANCER_CONFIG names)
    #[argh(option)]
    config: Option<PathBuf>,
    /// a file that switches the uwsgi front on, such as deploy/uwsgi.toml
    #[argh(option)]
    uwsgi: Option<PathBuf>,
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
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn read(config: Option<PathBuf>, uwsgi: Option<&Path>) -> Result<(Config, Option<Uwsgi>), BadConfig> {
    let named = config.or_else(|| std::env::var_os("BALANCER_CONFIG").map(PathBuf::from));
    let path = named
        .ok_or_else(|| BadConfig("no configuration: name one with --config or BALANCER_CONFIG".into()))?;
    let config = Config::read(&path)?;
    let uwsgi = uwsgi.map(Uwsgi::read).transpose()?;
    if config.vm.is_none() && uwsgi.as_ref().is_none_or(|u| u.runs.is_empty()) {
        return Err(BadConfig("vm: missing, and no uwsgi servers run the requests in its place".into()));
    }
    Ok((config, uwsgi))
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let done = match arguments.command {
        Command::Serve(Serve { config, uwsgi }) => read(config, uwsgi.as_deref())
            .map_err(|e| e.to_string())
            .and_then(|(config, uwsgi)| serve::serve(config, uwsgi)),
        Command::Check(Check { config, uwsgi }) => read(config, uwsgi.as_deref())
            .map(|(config, _)| println!("{}: can be served", config.name))
            .map_err(|e| e.to_string()),
        Command::Version(Version {}) => {
            println!("oakwind {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("oakwind: {problem}");
            ExitCode::FAILURE
        }
    }
}
