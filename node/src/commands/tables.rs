//! Formats the results of the commands as text tables.

use std::iter;

use oakwind_fleet::audit::decision_record::{Decision, Record};
use oakwind_fleet::audit::{DuplicateRun, JournalSummary, NodeRecord, Report, Straggler, VersionUse};

/// The text of a cell without a value.
const NO_VALUE: &str = "-";
/// The gap between two columns.
const COLUMN_GAP: &str = "  ";

const NODE_COLUMNS: usize = 6;
const NODE_HEADINGS: [&str; NODE_COLUMNS] =
    ["node", "records", "from, to (Unix ms)", "dropped", "ended without a word", "chain"];
const VERSION_COLUMNS: usize = 7;
const VERSION_HEADINGS: [&str; VERSION_COLUMNS] =
    ["version", "id", "first used", "by", "nodes", "decisions", "replaced"];
const ATTEMPT_COLUMNS: usize = 9;
const ATTEMPT_HEADINGS: [&str; ATTEMPT_COLUMNS] =
    ["at (Unix ms)", "node", "did", "txn", "key", "class", "settings", "list", "program"];

/// Formats the report of an audit: a table of nodes, a table of versions, a line for each finding, and the
/// verdict.
pub(super) fn report(report: &Report) -> String {
    let findings = report
        .stragglers
        .iter()
        .map(straggler)
        .chain(report.duplicate_runs.iter().map(duplicate_run))
        .chain(report.rejected_after_run.iter().map(|attempt| rejected_after_run(attempt)));
    let verdict = if report.is_clean() { "nothing is wrong" } else { "something is wrong" };
    let mut text = table(&NODE_HEADINGS, report.nodes.iter().map(node_row));
    text += "\n";
    text += &table(&VERSION_HEADINGS, report.versions.iter().map(version_row));
    for line in findings.chain(iter::once(verdict.to_string())) {
        text += "\n";
        text += &line;
    }
    text + "\n"
}

fn node_row(node: &JournalSummary) -> [String; NODE_COLUMNS] {
    let span = node.span.map(|span| format!("{} to {}", span.first, span.last));
    let chain = if node.breaks.is_empty() { "whole".into() } else { node.breaks.join("; ") };
    [
        node.node.clone(),
        node.records.to_string(),
        span.unwrap_or_else(|| NO_VALUE.into()),
        node.dropped.to_string(),
        node.unfinished.to_string(),
        chain,
    ]
}

fn version_row(version: &VersionUse) -> [String; VERSION_COLUMNS] {
    let replaced =
        version.replaced.as_ref().map(|replacement| format!("{} by {}", replacement.at, replacement.id));
    [
        version.kind.to_string().to_lowercase(),
        version.id.clone(),
        version.first.at.to_string(),
        version.first.node.clone(),
        version.nodes.len().to_string(),
        version.decisions.to_string(),
        replaced.unwrap_or_else(|| NO_VALUE.into()),
    ]
}

fn straggler(straggler: &Straggler) -> String {
    let Straggler { node, kind, id, for_ms, decisions, has_updated } = straggler;
    let state = if *has_updated { "level since" } else { "and has not come round" };
    format!(
        "{node} went on with {kind} {id} for {for_ms} ms after it was replaced: {decisions} decisions, {state}"
    )
}

fn duplicate_run(duplicate: &DuplicateRun) -> String {
    let runs: Vec<String> =
        duplicate.runs.iter().map(|run| format!("{} at {}, {}", run.txn, run.node, run.at)).collect();
    format!("key {} ran {} times: {}", duplicate.key, runs.len(), runs.join("; "))
}

fn rejected_after_run(attempt: &str) -> String {
    format!("{attempt} was turned away though it had run")
}

/// Formats what the nodes did with an attempt or a key, with a row for each decision.
pub(super) fn explanation(records: &[NodeRecord<'_>]) -> String {
    table(&ATTEMPT_HEADINGS, records.iter().filter_map(attempt_row))
}

/// The row of a decision; none if the record is not a decision.
fn attempt_row(found: &NodeRecord<'_>) -> Option<[String; ATTEMPT_COLUMNS]> {
    let NodeRecord { node, record } = *found;
    let Record::Attempt { at, decision, txn, key, class, versions } = record else { return None };
    let has_membership = versions.config.0 != 0;
    let membership = if has_membership { versions.config.to_string() } else { NO_VALUE.into() };
    Some([
        at.to_string(),
        node.to_string(),
        decision_name(*decision).into(),
        txn.clone(),
        key.clone().unwrap_or_else(|| NO_VALUE.into()),
        class.clone(),
        versions.settings.clone(),
        membership,
        versions.program.clone(),
    ])
}

fn decision_name(decision: Decision) -> &'static str {
    match decision {
        Decision::Run => "runs",
        Decision::NeverStarted => "never ran",
        Decision::Served => "served",
        Decision::Rejected => "refused",
        Decision::Failed => "failed",
    }
}

/// Formats rows under their headings. Each column is as wide as its longest cell.
fn table<const N: usize>(headings: &[&str; N], rows: impl Iterator<Item = [String; N]>) -> String {
    let rows: Vec<[String; N]> = rows.collect();
    let widths: [usize; N] = std::array::from_fn(|column| {
        let cells = rows.iter().map(|row| row[column].len());
        cells.chain(iter::once(headings[column].len())).max().unwrap_or(0)
    });
    let mut text = line(headings, &widths);
    for row in &rows {
        text += &line(&std::array::from_fn(|column| row[column].as_str()), &widths);
    }
    text
}

/// Formats the cells of a row, padded to the widths of their columns.
fn line<const N: usize>(cells: &[&str; N], widths: &[usize; N]) -> String {
    let padded = cells.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
    let line = padded.collect::<Vec<_>>().join(COLUMN_GAP);
    format!("{}\n", line.trim_end())
}
