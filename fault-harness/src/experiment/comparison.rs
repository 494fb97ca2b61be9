//! Tables of repeated plays: the mean, minimum and maximum of each figure, and the ratios between two sides.

use crate::report::{format_table, format_value, headings, Column, Outcome, COLUMNS};

/// Digits after the decimal point of ratios.
const RATIO_DIGITS: usize = 3;

/// A table of repeated plays with a row for each label: the mean of each figure, followed by its minimum and maximum.
pub fn spread_table(outcomes: &[Outcome]) -> String {
    let mut labels: Vec<&str> = Vec::new();
    for outcome in outcomes {
        if !labels.contains(&outcome.label.as_str()) {
            labels.push(&outcome.label);
        }
    }
    let rows: Vec<Vec<String>> = labels.iter().map(|label| spread_row(label, outcomes)).collect();
    format_table(&headings(["play", "runs"]), &rows)
}

/// The row that summarizes the plays with this label.
fn spread_row(label: &str, outcomes: &[Outcome]) -> Vec<String> {
    let plays: Vec<Outcome> = outcomes.iter().filter(|outcome| outcome.label == label).cloned().collect();
    let broken: usize = plays.iter().map(|outcome| outcome.verdict.violations.len()).sum();
    let mut cells = vec![label.to_string(), plays.len().to_string()];
    cells.extend(
        COLUMNS.iter().map(|column| format_spread(values(column, &plays).into_iter(), column.digits)),
    );
    cells.push(broken.to_string());
    cells
}

/// The values of a column in all plays; `None` for a play without a value.
fn values(column: &Column, outcomes: &[Outcome]) -> Vec<Option<f64>> {
    outcomes.iter().map(column.value).collect()
}

/// Formats the mean with the minimum and maximum of the values, and the number of plays without a value as `never`.
fn format_spread(values: impl Iterator<Item = Option<f64>>, digits: usize) -> String {
    let values: Vec<Option<f64>> = values.collect();
    let present: Vec<f64> = values.iter().flatten().copied().collect();
    if present.is_empty() {
        return format_value(None, digits);
    }
    let format = |value: f64| format_value(Some(value), digits);
    let mean = format(present.iter().sum::<f64>() / present.len() as f64);
    let minimum = format(present.iter().copied().fold(f64::INFINITY, f64::min));
    let maximum = format(present.iter().copied().fold(f64::NEG_INFINITY, f64::max));
    let range = if minimum == maximum { mean } else { format!("{mean} ({minimum}-{maximum})") };
    let missing = values.len() - present.len();
    if missing > 0 {
        format!("{range}, {missing} never")
    } else {
        range
    }
}

/// A table that compares two sides played with the same seeds: each figure of both sides, and the ratio of the second
/// to the first, with its spread over the pairs of plays with the same seed.
pub fn comparison_table(first: &[Outcome], second: &[Outcome]) -> String {
    let label = |side: &[Outcome]| side.first().map_or(String::new(), |outcome| outcome.label.clone());
    let headings = ["figure".into(), label(first), label(second), "ratio".into()];
    let rows: Vec<Vec<String>> = COLUMNS.iter().map(|column| comparison_row(column, first, second)).collect();
    format_table(&headings, &rows)
}

fn comparison_row(column: &Column, first: &[Outcome], second: &[Outcome]) -> Vec<String> {
    let first_values = values(column, first);
    let second_values = values(column, second);
    let ratios: Vec<Option<f64>> =
        first_values.iter().zip(&second_values).map(|(first, second)| ratio(*first, *second)).collect();
    vec![
        column.heading.into(),
        format_spread(first_values.into_iter(), column.digits),
        format_spread(second_values.into_iter(), column.digits),
        format_spread(ratios.into_iter(), RATIO_DIGITS),
    ]
}

/// The ratio of the second value to the first; `None` if a value is missing or the first is zero.
fn ratio(first: Option<f64>, second: Option<f64>) -> Option<f64> {
    let first = first.filter(|first| *first != 0.0)?;
    Some(second? / first)
}

#[cfg(test)]
mod tests;
