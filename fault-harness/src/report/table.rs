//! Markdown tables of plays, aligned so that they are readable on a terminal.

use super::Outcome;

/// Digits after the decimal point of fractions.
const FRACTION_DIGITS: usize = 3;

/// A column of a table of plays.
pub struct Column {
    /// Heading of the column, with its unit.
    pub heading: &'static str,
    /// Digits after the decimal point of its values.
    pub digits: usize,
    /// Returns the value of a play; `None` if the play has none.
    pub value: fn(&Outcome) -> Option<f64>,
}

impl Column {
    const fn new(heading: &'static str, digits: usize, value: fn(&Outcome) -> Option<f64>) -> Column {
        Column { heading, digits, value }
    }

    /// Formats the value of a play.
    pub fn cell(&self, outcome: &Outcome) -> String {
        format_value((self.value)(outcome), self.digits)
    }
}

/// The columns of tables of plays, in order.
pub const COLUMNS: [Column; 14] = [
    Column::new("requests/s", 0, |outcome| {
        Some(outcome.statistics.requests as f64 / outcome.statistics.seconds.len() as f64)
    }),
    Column::new("served", FRACTION_DIGITS, |outcome| Some(outcome.statistics.served)),
    Column::new("worst 10 s", FRACTION_DIGITS, |outcome| Some(outcome.statistics.lowest_served)),
    Column::new("rejected", FRACTION_DIGITS, |outcome| Some(outcome.statistics.outcomes.rejected)),
    Column::new("failed", FRACTION_DIGITS, |outcome| Some(outcome.statistics.outcomes.failed)),
    Column::new("median ms", 0, |outcome| Some(outcome.statistics.median_ms)),
    Column::new("p99 ms", 0, |outcome| Some(outcome.statistics.p99_ms)),
    Column::new("attempts", 2, |outcome| Some(outcome.statistics.attempts_per_request)),
    Column::new("connections/s", 1, |outcome| Some(outcome.statistics.connections.mean)),
    Column::new("peak connections/s", 0, |outcome| Some(outcome.statistics.connections.busiest_second)),
    Column::new("peak connections/s of a node", 0, |outcome| {
        Some(outcome.statistics.connections.busiest_node)
    }),
    Column::new("time to full service s", 0, |outcome| outcome.statistics.recovery.as_ref()?.from_start),
    Column::new("warm-up bound s", 1, |outcome| outcome.warm_up_bound_s),
    Column::new("duplicate runs", 0, |outcome| Some(outcome.verdict.duplicate_runs_in_fleet as f64)),
];

/// Formats a value with this many digits after the decimal point, and a missing value as a dash.
pub fn format_value(value: Option<f64>, digits: usize) -> String {
    value.map_or("-".into(), |value| format!("{value:.digits$}"))
}

/// Formats a Markdown table with aligned columns.
pub fn format_table(headings: &[String], rows: &[Vec<String>]) -> String {
    let widths: Vec<usize> = (0..headings.len()).map(|column| column_width(headings, rows, column)).collect();
    let separator: Vec<String> = widths.iter().map(|width| "-".repeat(*width)).collect();
    let mut text = format_line(headings, &widths) + &format_line(&separator, &widths);
    for row in rows {
        text.push_str(&format_line(row, &widths));
    }
    text
}

/// The width of a column's longest cell, in characters.
fn column_width(headings: &[String], rows: &[Vec<String>], column: usize) -> usize {
    let cells = rows.iter().map(|row| row[column].chars().count());
    cells.fold(headings[column].chars().count(), usize::max)
}

fn format_line(cells: &[String], widths: &[usize]) -> String {
    let padded: Vec<String> =
        cells.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
    format!("| {} |\n", padded.join(" | "))
}

/// The headings of a table of plays: two given headings, those of [`COLUMNS`], and `broken`, the number of violations.
pub fn headings(own: [&str; 2]) -> Vec<String> {
    let figures = COLUMNS.iter().map(|column| column.heading);
    own.into_iter().chain(figures).chain(["broken"]).map(String::from).collect()
}

/// Formats a table with a row for each play.
pub fn plays_table(outcomes: &[Outcome]) -> String {
    let rows: Vec<Vec<String>> = outcomes.iter().map(play_row).collect();
    format_table(&headings(["play", "seed"]), &rows)
}

fn play_row(outcome: &Outcome) -> Vec<String> {
    let mut cells = vec![outcome.label.clone(), outcome.seed.to_string()];
    cells.extend(COLUMNS.iter().map(|column| column.cell(outcome)));
    cells.push(outcome.verdict.violations.len().to_string());
    cells
}
