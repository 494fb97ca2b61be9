//! Reports of plays: the violations as text, result files, an HTML page with charts, and the files of one play.

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

pub use table::{format_table, format_value, headings, plays_table, Column, COLUMNS};

/// Template of the HTML page.
const PAGE_TEMPLATE: &str = include_str!("../templates/report.html");
/// Maximum number of violations printed for a play.
const MAX_VIOLATIONS_PRINTED: usize = 12;
/// Maximum number of violations that the page lists for a play.
const MAX_VIOLATIONS_ON_PAGE: usize = 100;

/// The error of a report that cannot be written.
#[derive(Debug, Error)]
pub enum ReportError {
    /// A file or a directory cannot be written.
    #[error("{}: cannot be written: {source}", path.display())]
    Write {
        /// The file or directory.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// Results cannot be serialized as JSON.
    #[error("cannot serialize the results as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The HTML page cannot be rendered from its template.
    #[error("cannot render the HTML page from its template: {0}")]
    Template(#[from] minijinja::Error),
}

/// The result of a play.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Name of the play in tables. Repeated plays share it.
    pub label: String,
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the play's random numbers.
    pub seed: u64,
    /// The violations found by the checker.
    pub verdict: Verdict,
    /// The statistics computed from the history.
    pub statistics: Statistics,
    /// Lower bound of the seconds to full service that results from warm-up alone (see
    /// [`warm_up_bound`](crate::warm_up_bound::warm_up_bound)); `None` if there is no such bound.
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

/// Formats the violations of a play: the first ones with a line each, and the number of violations of each rule.
pub fn format_violations(verdict: &Verdict) -> String {
    let mut text = String::new();
    for violation in verdict.violations.iter().take(MAX_VIOLATIONS_PRINTED) {
        // Writing to a string cannot fail.
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

/// Writes the HTML page of these plays.
///
/// # Errors
///
/// If the page cannot be rendered or its file cannot be written.
pub fn write_page(outcomes: &[Outcome], path: &Path) -> Result<(), ReportError> {
    let mut environment = Environment::new();
    environment.set_auto_escape_callback(|_| minijinja::AutoEscape::Html);
    let plays: Vec<Value> = outcomes.iter().map(play_on_page).collect();
    let html = environment.render_str(PAGE_TEMPLATE, context! { plays => plays })?;
    write(path, &html)
}

/// The template's variables for a play.
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

/// Writes the results of several plays into a directory: `results.jsonl`, with one play per line, and the HTML page.
///
/// # Errors
///
/// If a file cannot be written.
pub fn store_results(outcomes: &[Outcome], directory: &Path) -> Result<(), ReportError> {
    write(&directory.join("results.jsonl"), &json_lines(outcomes)?)?;
    write_page(outcomes, &directory.join("report.html"))
}

/// Writes the files of one play into a directory: its history, the statistics of each second, its charts and its HTML
/// page.
///
/// # Errors
///
/// If the directory cannot be created or a file cannot be written.
pub fn store_play(outcome: &Outcome, history: &History, directory: &Path) -> Result<(), ReportError> {
    std::fs::create_dir_all(directory).map_err(|source| write_error(directory, source))?;
    let history_file = directory.join("history.jsonl");
    history.write(&history_file).map_err(|source| write_error(&history_file, source))?;
    write(&directory.join("seconds.jsonl"), &json_lines(&outcome.statistics.seconds)?)?;
    for chart in charts(&outcome.statistics) {
        write(&directory.join(format!("{}.svg", chart.name)), &chart.svg)?;
    }
    write_page(std::slice::from_ref(outcome), &directory.join("report.html"))
}

/// Formats each value as a line of JSON.
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
