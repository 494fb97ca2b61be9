//! Reports of plays: a table and the rules broken for the terminal, an HTML page with charts, and the files of one play.

mod table;

use std::fmt::Write as _;
use std::io;
use std::path::{Path, PathBuf};

use minijinja::{context, Environment, Value};
use serde::Serialize;
use thiserror::Error;

use crate::charts::charts;
use crate::check::{check, Verdict};
use crate::history::History;
use crate::statistics::{statistics, Statistics};

pub use table::{format_value, headings, rows, table, Column, COLUMNS};

/// The template of the page.
const PAGE: &str = include_str!("../templates/report.html");
/// Violations that a terminal is shown.
const MAX_VIOLATIONS_PRINTED: usize = 12;
/// Violations that the page lists for a play.
const MAX_VIOLATIONS_ON_PAGE: usize = 100;

/// Why a report cannot be written.
#[derive(Debug, Error)]
pub enum ReportError {
    /// A file or a directory cannot be written.
    #[error("{}: {source}", path.display())]
    Write {
        /// The file or directory.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// Results cannot be written as JSON.
    #[error("results cannot be written as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The page cannot be made from its template.
    #[error("the page cannot be made from its template: {0}")]
    Template(#[from] minijinja::Error),
}

/// What a play resulted in.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// What the play is called among several.
    pub label: String,
    /// The scenario's name.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// The rules broken.
    pub verdict: Verdict,
    /// The statistics.
    pub statistics: Statistics,
    /// The seconds to full service that warming up alone would have needed; none without a fault.
    pub warm_up_bound_s: Option<f64>,
}

impl Outcome {
    /// Checks a history and computes its statistics.
    pub fn from_history(label: &str, history: &History, warm_up_bound_s: Option<f64>) -> Outcome {
        Outcome {
            label: label.into(),
            scenario: history.parameters.scenario.clone(),
            seed: history.parameters.seed,
            verdict: check(history),
            statistics: statistics(history),
            warm_up_bound_s,
        }
    }
}

/// The rules broken in a play for the terminal: the first violations, a line each, and how often each rule was broken.
pub fn violations(verdict: &Verdict) -> String {
    let mut text = String::new();
    for violation in verdict.violations.iter().take(MAX_VIOLATIONS_PRINTED) {
        // Writing to memory does not fail.
        let _ = writeln!(text, "{:>9.0} ms  {:?}: {}", violation.at, violation.rule, violation.text);
    }
    let not_printed = verdict.violations.len().saturating_sub(MAX_VIOLATIONS_PRINTED);
    if not_printed > 0 {
        let _ = writeln!(text, "and {not_printed} more; the history has them all");
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
/// If the page cannot be made or its file cannot be written.
pub fn page(outcomes: &[Outcome], path: &Path) -> Result<(), ReportError> {
    let mut environment = Environment::new();
    environment.set_auto_escape_callback(|_| minijinja::AutoEscape::Html);
    let plays: Vec<Value> = outcomes.iter().map(play_on_page).collect();
    let html = environment.render_str(PAGE, context! { plays => plays })?;
    write(path, &html)
}

/// The values of a play for the template.
fn play_on_page(outcome: &Outcome) -> Value {
    let Outcome { label, scenario, seed, verdict, statistics, .. } = outcome;
    let cells: Vec<[String; 2]> =
        COLUMNS.iter().map(|column| [column.heading.into(), column.cell(outcome)]).collect();
    let violations: Vec<_> = verdict.violations.iter().take(MAX_VIOLATIONS_ON_PAGE).collect();
    context! {
        label, scenario, seed, cells,
        breaches => violations,
        charts => charts(statistics),
        bands => statistics.bands,
        broken => verdict.violations.len(),
        written => verdict.written,
        excused => verdict.excused,
    }
}

/// Writes the results of several plays into a directory: `results.jsonl`, a play a line, and the page.
///
/// # Errors
///
/// If a file cannot be written.
pub fn store_results(outcomes: &[Outcome], directory: &Path) -> Result<(), ReportError> {
    write(&directory.join("results.jsonl"), &json_lines(outcomes)?)?;
    page(outcomes, &directory.join("report.html"))
}

/// Writes all files of one play into a directory: its history, its seconds, its charts and its page.
///
/// # Errors
///
/// If a file cannot be written.
pub fn store_play(outcome: &Outcome, history: &History, directory: &Path) -> Result<(), ReportError> {
    std::fs::create_dir_all(directory).map_err(|source| write_error(directory, source))?;
    let history_file = directory.join("history.jsonl");
    history.write(&history_file).map_err(|source| write_error(&history_file, source))?;
    write(&directory.join("seconds.jsonl"), &json_lines(&outcome.statistics.seconds)?)?;
    for chart in charts(&outcome.statistics) {
        write(&directory.join(format!("{}.svg", chart.name)), &chart.svg)?;
    }
    page(std::slice::from_ref(outcome), &directory.join("report.html"))
}

/// Each value as a line of JSON.
fn json_lines<T: Serialize>(values: &[T]) -> Result<String, serde_json::Error> {
    let lines = values.iter().map(serde_json::to_string).collect::<Result<Vec<_>, _>>()?;
    Ok(lines.join("\n") + "\n")
}

fn write(path: &Path, text: &str) -> Result<(), ReportError> {
    std::fs::write(path, text).map_err(|source| write_error(path, source))
}

fn write_error(path: &Path, source: io::Error) -> ReportError {
    ReportError::Write { path: path.to_path_buf(), source }
}

#[cfg(test)]
mod tests;
