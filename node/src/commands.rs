//! What operators ask of the records that nodes keep, on the command line.

use std::path::PathBuf;

use argh::FromArgs;
use oakwind_fleet::audit::{audit, explain, AuditOptions, Report};
use oakwind_fleet::decision_record::{Decision, Journal, Record};
use serde::Serialize;

use crate::decision_log;

/// Look into the records of a fleet's nodes.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
pub struct Fleet {
    #[argh(subcommand)]
    asked: Asked,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Asked {
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
    #[argh(positional)]
    about: String,
    /// folders of records, one a node
    #[argh(positional)]
    folders: Vec<PathBuf>,
    /// say it as JSON
    #[argh(switch)]
    json: bool,
}

/// Answers; whether all is well, or one line that says why there is no answer.
pub fn run(fleet: &Fleet) -> Result<bool, String> {
    match &fleet.asked {
        Asked::Audit(asked) => audited(asked),
        Asked::Explain(asked) => explained(asked),
    }
}

fn journals(folders: &[PathBuf]) -> Result<Vec<Journal>, String> {
    if folders.is_empty() {
        return Err("name at least one folder of records".into());
    }
    let read =
        |folder: &PathBuf| decision_log::read(folder).map_err(|e| format!("{}: {e}", folder.display()));
    folders.iter().map(read).collect()
}

fn audited(asked: &Audit) -> Result<bool, String> {
    let Audit { from, until, spread_ms, window_ms, .. } = *asked;
    let report = audit(&journals(&asked.folders)?, &AuditOptions { from, until, spread_ms, window_ms });
    if asked.json {
        println!("{}", json(&report)?);
    } else {
        print!("{}", tables(&report));
    }
    Ok(report.is_clean())
}

fn json(value: &impl Serialize) -> Result<String, String> {
    serde_json::to_string_pretty(value).map_err(|e| e.to_string())
}

fn tables(report: &Report) -> String {
    let mut text = String::new();
    let span =
        |span: Option<(u64, u64)>| span.map_or("-".into(), |(from, until)| format!("{from} to {until}"));
    text += &table(
        &["node", "records", "from, to (Unix ms)", "dropped", "ended without a word", "chain"],
        report.nodes.iter().map(|kept| {
            let chain = if kept.breaks.is_empty() { "whole".into() } else { kept.breaks.join("; ") };
            let counts = [kept.records as u64, kept.dropped, kept.unfinished as u64].map(|n| n.to_string());
            let [records, dropped, unfinished] = counts;
            [kept.node.clone(), records, span(kept.span), dropped, unfinished, chain]
        }),
    );
    text += "\n";
    text += &table(
        &["version", "id", "first used", "by", "nodes", "decisions", "replaced"],
        report.versions.iter().map(|version| {
            let replaced = version.replaced.as_ref().map_or("-".into(), |(at, by)| format!("{at} by {by}"));
            [
                version.kind.to_string().to_lowercase(),
                version.id.clone(),
                version.first.0.to_string(),
                version.first.1.clone(),
                version.nodes.len().to_string(),
                version.decisions.to_string(),
                replaced,
            ]
        }),
    );
    for late in &report.stragglers {
        let now = if late.has_updated { "level since" } else { "and has not come round" };
        text += &format!(
            "\n{} went on with {} {} for {} ms after it was replaced: {} decisions, {now}",
            late.node, late.kind, late.id, late.for_ms, late.decisions
        );
    }
    for twice in &report.duplicate_runs {
        let runs: Vec<String> =
            twice.runs.iter().map(|run| format!("{} at {}, {}", run.txn, run.node, run.at)).collect();
        text += &format!("\nkey {} ran {} times: {}", twice.key, runs.len(), runs.join("; "));
    }
    for refused in &report.rejected_after_run {
        text += &format!("\n{refused} was turned away though it had run");
    }
    text + if report.is_clean() { "\nnothing is wrong\n" } else { "\nsomething is wrong\n" }
}

/// Rows under their headings, each column as wide as it has to be.
fn table<const N: usize>(heads: &[&str; N], rows: impl Iterator<Item = [String; N]>) -> String {
    let rows: Vec<[String; N]> = rows.collect();
    let width = |i: usize| rows.iter().map(|row| row[i].len()).chain([heads[i].len()]).max().unwrap_or(0);
    let widths: [usize; N] = std::array::from_fn(width);
    let line = |cells: [&str; N]| {
        let cells = cells.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
        format!("{}\n", cells.collect::<Vec<_>>().join("  ").trim_end())
    };
    let rows = rows.iter().map(|row| line(std::array::from_fn(|i| row[i].as_str())));
    std::iter::once(line(*heads)).chain(rows).collect()
}

fn explained(asked: &Explain) -> Result<bool, String> {
    let journals = journals(&asked.folders)?;
    let told = explain(&journals, &asked.about);
    if asked.json {
        println!("{}", json(&told)?);
        return Ok(!told.is_empty());
    }
    let rows = told.iter().filter_map(|(node, record)| {
        let Record::Attempt { at, decision, txn, key, class, versions } = record else { return None };
        let did = match decision {
            Decision::Run => "runs",
            Decision::NeverStarted => "never ran",
            Decision::Served => "served",
            Decision::Rejected => "refused",
            Decision::Failed => "failed",
        };
        let list = if versions.config.0 == 0 { "-".into() } else { versions.config.to_string() };
        let key = key.clone().unwrap_or_else(|| "-".into());
        Some([
            at.to_string(),
            node.to_string(),
            did.into(),
            txn.clone(),
            key,
            class.clone(),
            versions.settings.clone(),
            list,
            versions.program.clone(),
        ])
    });
    print!(
        "{}",
        table(&["at (Unix ms)", "node", "did", "txn", "key", "class", "settings", "list", "program"], rows)
    );
    Ok(!told.is_empty())
}
