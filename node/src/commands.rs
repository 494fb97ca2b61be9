//! The commands `oakwind fleet audit` and `oakwind fleet explain`, with which operators query the decision
//! logs of a fleet.

mod tables;

use std::io;
use std::path::PathBuf;

use argh::FromArgs;
use oakwind_fleet::audit::decision_record::Journal;
use oakwind_fleet::audit::{audit, explain, AuditOptions};
use serde::Serialize;

use crate::decision_log::read_journal;

/// Query the decision logs of a fleet's nodes.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
pub(crate) struct FleetCommand {
    #[argh(subcommand)]
    query: Query,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Query {
    Audit(Audit),
    Explain(Explain),
}

/// Verify the decision logs, and show which versions each node decided by. Exit status 1 if anything is
/// wrong.
#[derive(FromArgs)]
#[argh(subcommand, name = "audit")]
struct Audit {
    /// folders of decision logs, one for each node
    #[argh(positional)]
    folders: Vec<PathBuf>,
    /// start of the period to audit, in Unix milliseconds
    #[argh(option, default = "0")]
    from: u64,
    /// end of the period to audit, in Unix milliseconds
    #[argh(option, default = "u64::MAX")]
    until: u64,
    /// how long an old version may be used after it was replaced, in milliseconds (default: 2000)
    #[argh(option, default = "2000")]
    spread_ms: u64,
    /// idempotency window, in milliseconds (default: 130000)
    #[argh(option, default = "130000")]
    window_ms: u64,
    /// print the result as JSON
    #[argh(switch)]
    json: bool,
}

/// Show what each node did with an attempt or a key, in order. Exit status 1 if no node has a record of it.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// txn of the attempt, or the idempotency key
    #[argh(positional, arg_name = "about")]
    txn_or_key: String,
    /// folders of decision logs, one for each node
    #[argh(positional)]
    folders: Vec<PathBuf>,
    /// print the result as JSON
    #[argh(switch)]
    json: bool,
}

/// The finding of a command, which decides the exit status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// An audit found nothing wrong, or an attempt or key is known.
    Good,
    /// An audit found something wrong, or an attempt or key is not known.
    Bad,
}

impl Verdict {
    fn good_if(is_good: bool) -> Verdict {
        if is_good {
            Verdict::Good
        } else {
            Verdict::Bad
        }
    }
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// The command line names no folder.
    #[error("no folder of decision logs given")]
    NoFolder,
    /// A folder cannot be read.
    #[error("{}: {source}", folder.display())]
    Folder {
        /// The path of the folder.
        folder: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The result cannot be written as JSON.
    #[error("cannot write the result as JSON: {0}")]
    Json(#[from] serde_json::Error),
}

/// Runs a query and prints its result to standard output.
///
/// # Errors
///
/// If no folder is given, a folder cannot be read, or the result cannot be written as JSON.
pub(crate) fn run(command: &FleetCommand) -> Result<Verdict, CommandError> {
    match &command.query {
        Query::Audit(options) => run_audit(options),
        Query::Explain(options) => run_explain(options),
    }
}

fn run_audit(options: &Audit) -> Result<Verdict, CommandError> {
    let Audit { from, until, spread_ms, window_ms, .. } = *options;
    let journals = read_journals(&options.folders)?;
    let report = audit(&journals, &AuditOptions { from, until, spread_ms, window_ms });
    if options.json {
        print_json(&report)?;
    } else {
        print!("{}", tables::report(&report));
    }
    Ok(Verdict::good_if(report.is_clean()))
}

fn run_explain(options: &Explain) -> Result<Verdict, CommandError> {
    let journals = read_journals(&options.folders)?;
    let records = explain(&journals, &options.txn_or_key);
    if options.json {
        print_json(&records)?;
    } else {
        print!("{}", tables::explanation(&records));
    }
    Ok(Verdict::good_if(!records.is_empty()))
}

fn read_journals(folders: &[PathBuf]) -> Result<Vec<Journal>, CommandError> {
    if folders.is_empty() {
        return Err(CommandError::NoFolder);
    }
    let read = |folder: &PathBuf| {
        read_journal(folder).map_err(|source| CommandError::Folder { folder: folder.clone(), source })
    };
    folders.iter().map(read).collect()
}

fn print_json(value: &impl Serialize) -> Result<(), CommandError> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}
