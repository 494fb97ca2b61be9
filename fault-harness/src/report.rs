//! What is told of a play: a table on the terminal, JSON lines, and one HTML page with charts.

use std::fmt::Write as _;
use std::io;
use std::path::Path;

use minijinja::{context, Environment};
use serde::Serialize;

use crate::charts::charts;
use crate::check::{check, Verdict};
use crate::history::History;
use crate::statistics::{statistics, Statistics};

const PAGE: &str = include_str!("../templates/report.html");
/// Breaches that a terminal is shown.
const MAX_SHOWN: usize = 12;

/// A play worked out.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// What it was, where several were played.
    pub label: String,
    /// The scenario's name.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// The rules.
    pub verdict: Verdict,
    /// The figures.
    pub figures: Statistics,
    /// The seconds that warm-up alone would have needed to be back.
    pub floor: Option<f64>,
}

impl Outcome {
    /// Works a history out.
    pub fn of(label: &str, history: &History, floor: Option<f64>) -> Outcome {
        Outcome {
            label: label.into(),
            scenario: history.parameters.scenario.clone(),
            seed: history.parameters.seed,
            verdict: check(history),
            figures: statistics(history),
            floor,
        }
    }
}

/// A figure that tables show: its heading, how to get it, and its digits.
pub struct Column {
    /// The heading.
    pub name: &'static str,
    /// The value, if there is one.
    pub of: fn(&Outcome) -> Option<f64>,
    /// Digits after the point.
    pub digits: usize,
}

/// What tables show, in order.
pub const COLUMNS: [Column; 14] = [
    Column {
        name: "asked/s",
        of: |o| Some(o.figures.requests as f64 / o.figures.seconds.len() as f64),
        digits: 0,
    },
    Column { name: "served", of: |o| Some(o.figures.served), digits: 3 },
    Column { name: "worst 10 s", of: |o| Some(o.figures.worst_stretch), digits: 3 },
    Column { name: "refused", of: |o| Some(o.figures.outcomes.rejected), digits: 3 },
    Column { name: "failed", of: |o| Some(o.figures.outcomes.failed), digits: 3 },
    Column { name: "median ms", of: |o| Some(o.figures.median_ms), digits: 0 },
    Column { name: "99% ms", of: |o| Some(o.figures.p99_ms), digits: 0 },
    Column { name: "tries", of: |o| Some(o.figures.attempts_per_request), digits: 2 },
    Column { name: "connections/s", of: |o| Some(o.figures.connections.mean), digits: 1 },
    Column { name: "most/s", of: |o| Some(o.figures.connections.busiest_second), digits: 0 },
    Column { name: "most/s a node", of: |o| Some(o.figures.connections.busiest_node), digits: 0 },
    Column { name: "back s", of: |o| o.figures.recovery.as_ref()?.from_start, digits: 0 },
    Column { name: "floor s", of: |o| o.floor, digits: 1 },
    Column { name: "twice", of: |o| Some(o.verdict.duplicate_runs_in_fleet as f64), digits: 0 },
];

/// A value as it stands in a table, and a dash where there is none.
pub fn cell(value: Option<f64>, digits: usize) -> String {
    value.map_or("-".into(), |value| format!("{value:.digits$}"))
}

/// A table in Markdown, which a terminal shows as well.
pub fn table(heads: &[String], rows: &[Vec<String>]) -> String {
    let width = |i: usize| {
        rows.iter().map(|row| row[i].chars().count()).chain([heads[i].chars().count()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..heads.len()).map(width).collect();
    let line = |cells: &[String]| {
        let padded: Vec<String> =
            cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        format!("| {} |\n", padded.join(" | "))
    };
    let rule: Vec<String> = widths.iter().map(|width| "-".repeat(*width)).collect();
    let mut text = line(heads) + &line(&rule);
    rows.iter().for_each(|row| text.push_str(&line(row)));
    text
}

/// The rows of some plays, one each.
pub fn rows(outcomes: &[Outcome]) -> String {
    let heads: Vec<String> = ["play", "seed"]
        .map(String::from)
        .into_iter()
        .chain(COLUMNS.iter().map(|c| c.name.into()))
        .chain(["broken".into()])
        .collect();
    let row = |outcome: &Outcome| {
        let cells = COLUMNS.iter().map(|column| cell((column.of)(outcome), column.digits));
        [outcome.label.clone(), outcome.seed.to_string()]
            .into_iter()
            .chain(cells)
            .chain([outcome.verdict.breaches.len().to_string()])
            .collect()
    };
    table(&heads, &outcomes.iter().map(row).collect::<Vec<_>>())
}

/// What broke, a line each, as far as a terminal is shown it.
pub fn breaches(verdict: &Verdict) -> String {
    let mut text = String::new();
    for breach in verdict.breaches.iter().take(MAX_SHOWN) {
        // Writing to memory does not fail.
        let _ = writeln!(text, "{:>9.0} ms  {:?}: {}", breach.at, breach.rule, breach.text);
    }
    if verdict.breaches.len() > MAX_SHOWN {
        let _ = writeln!(text, "and {} more; the history has them all", verdict.breaches.len() - MAX_SHOWN);
    }
    for (rule, count) in verdict.by_rule() {
        let _ = writeln!(text, "broken {count} times: {rule:?}");
    }
    text
}

/// Writes the HTML page of some plays.
///
/// # Errors
///
/// Where the file can't be written.
pub fn page(outcomes: &[Outcome], path: &Path) -> io::Result<()> {
    let mut environment = Environment::new();
    environment.set_auto_escape_callback(|_| minijinja::AutoEscape::Html);
    let plays: Vec<_> = outcomes
        .iter()
        .map(|outcome| {
            let cells: Vec<(&str, String)> =
                COLUMNS.iter().map(|c| (c.name, cell((c.of)(outcome), c.digits))).collect();
            context! {
                label => outcome.label, scenario => outcome.scenario, seed => outcome.seed, cells => cells,
                charts => charts(&outcome.figures), bands => outcome.figures.bands,
                breaches => outcome.verdict.breaches.iter().take(100).collect::<Vec<_>>(),
                broken => outcome.verdict.breaches.len(), written => outcome.verdict.written,
                excused => outcome.verdict.excused,
            }
        })
        .collect();
    let drawn = environment.render_str(PAGE, context! { plays => plays });
    std::fs::write(path, drawn.map_err(io::Error::other)?)
}

/// Writes all that is kept of one play into a folder: its history, its seconds, its charts.
///
/// # Errors
///
/// Where a file can't be written.
pub fn keep(outcome: &Outcome, history: &History, folder: &Path) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    history.write(&folder.join("history.jsonl"))?;
    let seconds = outcome.figures.seconds.iter().map(serde_json::to_string).collect::<Result<Vec<_>, _>>()?;
    std::fs::write(folder.join("seconds.jsonl"), seconds.join("\n") + "\n")?;
    for chart in charts(&outcome.figures) {
        std::fs::write(folder.join(format!("{}.svg", chart.name)), chart.svg)?;
    }
    page(std::slice::from_ref(outcome), &folder.join("report.html"))
}

#[cfg(test)]
mod tests;
