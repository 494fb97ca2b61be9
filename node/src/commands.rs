//! The commands by which operators query the decision logs of a fleet: `oakwind fleet audit` and `oakwind fleet explain`.

mod tables;

use std::io;
use std::path::PathBuf;

use argh::FromArgs;
use oakwind_fleet::audit::decision_record::Journal;
use oakwind_fleet::audit::{audit, explain, AuditOptions};
use serde::Serialize;

use crate::decision_log::read_journal;

/// Look into the records of a fleet's nodes.
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

/// Check the chains of records, and say who decided by which version. Exit status 1 if anything is wrong.
#[derive(FromArgs)]
#[argh(subcommand, name = "audit")]
struct Audit {
    /// folders of records, one a node
    #[argh(positional)]
    folders: Vec<PathBuf>,
    /// from when, in Unix milliseconds
    #[argh(option, default = "0")]
    from: u64,
    /// until when, in Unix milliseconds
    #[argh(option, default = "u64::MAX")]
    until: u64,
    /// how long an old version may be used after it was replaced, in milliseconds (default: 2000)
    #[argh(option, default = "2000")]
    spread_ms: u64,
    /// how long a key may come again, in milliseconds (default: 130000)
    #[argh(option, default = "130000")]
    window_ms: u64,
    /// say it as JSON
    #[argh(switch)]
    json: bool,
}

/// Say what every node did with a try or a key, in order. Exit status 1 if nobody knows it.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// the try's txn, or the key
    #[argh(positional, arg_name = "about")]
    txn_or_key: String,
    /// folders of records, one a node
    #[argh(positional)]
    folders: Vec<PathBuf>,
    /// say it as JSON
    #[argh(switch)]
    json: bool,
}

/// What a command found.
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

/// Why a command has no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// The command line names no folder.
    #[error("name at least one folder of records")]
    NoFolder,
    /// A folder cannot be read.
    #[error("{}: {source}", folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// The answer cannot be written as JSON.
    #[error("no JSON: {0}")]
    Json(#[from] serde_json::Error),
}

/// Answers a query on standard output.
///
/// # Errors
///
/// If a folder cannot be read.
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
