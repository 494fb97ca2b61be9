//! Experiments: many plays side by side, one key varied or two builds compared in turns.

use std::collections::VecDeque;
use std::io;
use std::path::PathBuf;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, PoisonError};

use crate::node::Programs;
use crate::play::{play, Options};
use crate::report::{self, cell, Outcome, COLUMNS};
use crate::scenario::Scenario;
use crate::schedule::schedule;
use crate::warm_up_bound::warm_up_bound;

/// One play of an experiment.
#[derive(Debug, Clone)]
pub struct Job {
    /// What it is called.
    pub label: String,
    /// What is played.
    pub scenario: Scenario,
    /// Its seed.
    pub seed: u64,
    /// The program, and others.
    pub programs: Programs,
    /// Where its files are kept.
    pub out: Option<PathBuf>,
}

/// Plays them, so many at a time, and returns what came of each, in their order.
///
/// # Errors
///
/// The first that any of them met.
pub fn run(jobs: Vec<Job>, at_a_time: usize, progress: bool) -> io::Result<Vec<Outcome>> {
    let count = jobs.len();
    let waiting: Arc<Mutex<VecDeque<(usize, Job)>>> =
        Arc::new(Mutex::new(jobs.into_iter().enumerate().collect()));
    let (tell, told) = channel();
    std::thread::scope(|scope| {
        for _ in 0..at_a_time.clamp(1, count.max(1)) {
            let (waiting, tell) = (waiting.clone(), tell.clone());
            scope.spawn(move || loop {
                let next = waiting.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
                let Some((position, job)) = next else { return };
                let done = one(&job, progress && count == 1);
                let failed = done.is_err();
                if tell.send((position, done)).is_err() || failed {
                    waiting.lock().unwrap_or_else(PoisonError::into_inner).clear();
                    return;
                }
            });
        }
        drop(tell);
        let mut outcomes: Vec<Option<Outcome>> = vec![None; count];
        for (done, (position, outcome)) in told.iter().enumerate() {
            let outcome = outcome?;
            if progress && count > 1 {
                eprintln!(
                    "{} of {count}: {} with seed {}: {} broken",
                    done + 1,
                    outcome.label,
                    outcome.seed,
                    outcome.verdict.breaches.len()
                );
            }
            outcomes[position] = Some(outcome);
        }
        Ok(outcomes.into_iter().flatten().collect())
    })
}

fn one(job: &Job, progress: bool) -> io::Result<Outcome> {
    let options =
        Options { seed: Some(job.seed), programs: job.programs.clone(), out: job.out.clone(), progress };
    let history = play(&job.scenario, &options)?;
    let least = warm_up_bound(&job.scenario, &schedule(&job.scenario, job.seed));
    let outcome = Outcome::of(&job.label, &history, least);
    if let Some(out) = &job.out {
        report::keep(&outcome, &history, out)?;
    }
    Ok(outcome)
}

/// The figures of repeated plays: the mean of each and, behind it, the least and the most.
pub fn spread(outcomes: &[Outcome]) -> String {
    let mut labels: Vec<&str> = Vec::new();
    for outcome in outcomes {
        if !labels.contains(&outcome.label.as_str()) {
            labels.push(&outcome.label);
        }
    }
    let heads = ["play", "runs"]
        .map(String::from)
        .into_iter()
        .chain(COLUMNS.iter().map(|c| c.name.into()))
        .chain(["broken".into()]);
    let row = |label: &&str| {
        let mine: Vec<&Outcome> = outcomes.iter().filter(|o| o.label == *label).collect();
        let cells =
            COLUMNS.iter().map(|column| spread_of(mine.iter().map(|o| (column.of)(o)), column.digits));
        let broken: usize = mine.iter().map(|o| o.verdict.breaches.len()).sum();
        [label.to_string(), mine.len().to_string()]
            .into_iter()
            .chain(cells)
            .chain([broken.to_string()])
            .collect::<Vec<_>>()
    };
    report::table(&heads.collect::<Vec<_>>(), &labels.iter().map(row).collect::<Vec<_>>())
}

/// A mean with the least and the most; where some plays have none, how many.
fn spread_of(values: impl Iterator<Item = Option<f64>>, digits: usize) -> String {
    let all: Vec<Option<f64>> = values.collect();
    let some: Vec<f64> = all.iter().flatten().copied().collect();
    if some.is_empty() {
        return "-".into();
    }
    let mean = some.iter().sum::<f64>() / some.len() as f64;
    let (least, most) = (
        some.iter().copied().fold(f64::INFINITY, f64::min),
        some.iter().copied().fold(f64::NEG_INFINITY, f64::max),
    );
    let (shown, low, high) = (cell(Some(mean), digits), cell(Some(least), digits), cell(Some(most), digits));
    let range = if low == high { shown } else { format!("{shown} ({low}-{high})") };
    let none = all.len() - some.len();
    if none > 0 {
        format!("{range}, {none} never")
    } else {
        range
    }
}

/// Two sides played in turns, with the same seeds: for each figure the ratio of the second to the first, with its
/// spread over the pairs.
pub fn compared(first: &[Outcome], second: &[Outcome]) -> String {
    let rows: Vec<Vec<String>> = COLUMNS
        .iter()
        .map(|column| {
            let of = |side: &[Outcome]| side.iter().map(|o| (column.of)(o)).collect::<Vec<_>>();
            let (a, b) = (of(first), of(second));
            let ratios = a.iter().zip(&b).map(|(a, b)| match (a, b) {
                (Some(a), Some(b)) if *a != 0.0 => Some(b / a),
                _ => None,
            });
            let ratios = spread_of(ratios, 3);
            vec![
                column.name.into(),
                spread_of(a.into_iter(), column.digits),
                spread_of(b.into_iter(), column.digits),
                ratios,
            ]
        })
        .collect();
    let label = |side: &[Outcome]| side.first().map_or(String::new(), |o| o.label.clone());
    report::table(&["figure".into(), label(first), label(second), "ratio".into()], &rows)
}

#[cfg(test)]
mod tests;
