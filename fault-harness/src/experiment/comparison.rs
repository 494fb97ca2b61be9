//! Tables of repeated plays: each figure's mean with its least and its greatest value, and the ratios of two sides.

use crate::report::{format_value, headings, table, Column, Outcome, COLUMNS};

/// Digits of ratios after the decimal point.
const RATIO_DIGITS: usize = 3;

/// The figures of repeated plays, a row for each label: the mean, and behind it the least and the greatest value.
pub fn spread(outcomes: &[Outcome]) -> String {
    let mut labels: Vec<&str> = Vec::new();
    for outcome in outcomes {
        if !labels.contains(&outcome.label.as_str()) {
            labels.push(&outcome.label);
        }
    }
    let rows: Vec<Vec<String>> = labels.iter().map(|label| spread_row(label, outcomes)).collect();
    table(&headings(["play", "runs"]), &rows)
}

/// The row of the plays with this label.
fn spread_row(label: &str, outcomes: &[Outcome]) -> Vec<String> {
    let plays: Vec<Outcome> = outcomes.iter().filter(|outcome| outcome.label == label).cloned().collect();
    let broken: usize = plays.iter().map(|outcome| outcome.verdict.violations.len()).sum();
    let mut cells = vec![label.to_string(), plays.len().to_string()];
    cells.extend(COLUMNS.iter().map(|column| spread_of(values(column, &plays).into_iter(), column.digits)));
    cells.push(broken.to_string());
    cells
}

/// The values of a column.
fn values(column: &Column, outcomes: &[Outcome]) -> Vec<Option<f64>> {
    outcomes.iter().map(column.value).collect()
}

/// A mean with the least and the greatest value; where some plays have none, how many.
fn spread_of(values: impl Iterator<Item = Option<f64>>, digits: usize) -> String {
    let values: Vec<Option<f64>> = values.collect();
    let present: Vec<f64> = values.iter().flatten().copied().collect();
    if present.is_empty() {
        return format_value(None, digits);
    }
    let format = |value: f64| format_value(Some(value), digits);
    let mean = format(present.iter().sum::<f64>() / present.len() as f64);
    let least = format(present.iter().copied().fold(f64::INFINITY, f64::min));
    let greatest = format(present.iter().copied().fold(f64::NEG_INFINITY, f64::max));
    let range = if least == greatest { mean } else { format!("{mean} ({least}-{greatest})") };
    let missing = values.len() - present.len();
    if missing > 0 {
        format!("{range}, {missing} never")
    } else {
        range
    }
}

/// Two sides played in turns, with the same seeds: for each figure the ratio of the second to the first, with its
/// spread over the pairs.
pub fn compared(first: &[Outcome], second: &[Outcome]) -> String {
    let label = |side: &[Outcome]| side.first().map_or(String::new(), |outcome| outcome.label.clone());
    let headings = ["figure".into(), label(first), label(second), "ratio".into()];
    let rows: Vec<Vec<String>> = COLUMNS.iter().map(|column| comparison_row(column, first, second)).collect();
    table(&headings, &rows)
}

fn comparison_row(column: &Column, first: &[Outcome], second: &[Outcome]) -> Vec<String> {
    let of_first = values(column, first);
    let of_second = values(column, second);
    let ratios: Vec<Option<f64>> =
        of_first.iter().zip(&of_second).map(|(before, after)| ratio(*before, *after)).collect();
    vec![
        column.heading.into(),
        spread_of(of_first.into_iter(), column.digits),
        spread_of(of_second.into_iter(), column.digits),
        spread_of(ratios.into_iter(), RATIO_DIGITS),
    ]
}

/// None where one is missing, or there is nothing to divide by.
fn ratio(before: Option<f64>, after: Option<f64>) -> Option<f64> {
    let before = before.filter(|before| *before != 0.0)?;
    Some(after? / before)
}

#[cfg(test)]
mod tests;
