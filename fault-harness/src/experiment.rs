//! Experiments: repeated plays, plays with several values of one key, and alternating plays of two builds, run
//! concurrently.

mod comparison;

use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Mutex, MutexGuard, PoisonError};

use thiserror::Error;

use crate::node::Programs;
use crate::play::{play, Options, PlayError};
use crate::report::{self, Outcome, ReportError};
use crate::scenario::Scenario;
use crate::schedule::schedule;
use crate::warm_up_bound::warm_up_bound;

pub use comparison::{comparison_table, spread_table};

/// The error that ended an experiment before all its jobs were played.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// A play was not completed.
    #[error(transparent)]
    Play(#[from] PlayError),
    /// The files of a play cannot be written.
    #[error(transparent)]
    Report(#[from] ReportError),
}

/// One play of an experiment.
#[derive(Debug, Clone)]
pub struct Job {
    /// Name of the row in tables. Repeated plays share it.
    pub label: String,
    /// The scenario to play.
    pub scenario: Scenario,
    /// Seed of the play's random numbers.
    pub seed: u64,
    /// The builds of the program that nodes run.
    pub programs: Programs,
    /// Directory for the files of the play; nothing is stored without it.
    pub out: Option<PathBuf>,
}

/// A queued job, with its position in the experiment.
struct QueuedJob {
    position: usize,
    job: Job,
}

/// The result of a job, with its position in the experiment.
struct FinishedJob {
    position: usize,
    result: Result<Outcome, ExperimentError>,
}

/// The jobs that no worker has started yet.
struct JobQueue(Mutex<VecDeque<QueuedJob>>);

impl JobQueue {
    fn new(jobs: Vec<Job>) -> JobQueue {
        let queued = jobs.into_iter().enumerate().map(|(position, job)| QueuedJob { position, job });
        JobQueue(Mutex::new(queued.collect()))
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<QueuedJob>> {
        // Each operation under the lock is atomic, so a worker that panicked left the queue consistent.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self) -> Option<QueuedJob> {
        self.lock().pop_front()
    }

    fn cancel_all(&self) {
        self.lock().clear();
    }
}

/// Plays all jobs, at most `max_parallel` at a time, and returns their outcomes in the order of the jobs.
///
/// # Errors
///
/// The first error of any job. Queued jobs are cancelled then.
pub fn run(jobs: Vec<Job>, max_parallel: usize, progress: bool) -> Result<Vec<Outcome>, ExperimentError> {
    let count = jobs.len();
    // A single play shows its own progress.
    let progress_of_play = progress && count == 1;
    let queue = JobQueue::new(jobs);
    let (sender, finished) = channel();
    std::thread::scope(|scope| {
        for _ in 0..max_parallel.clamp(1, count.max(1)) {
            let sender = sender.clone();
            scope.spawn(|| run_worker(&queue, sender, progress_of_play));
        }
        // The channel closes when the last worker drops its sender.
        drop(sender);
        collect_outcomes(&finished, count, progress && count > 1)
    })
}

/// Plays queued jobs until none is left. A failed job, or a receiver that is gone, cancels all queued jobs.
fn run_worker(queue: &JobQueue, finished: Sender<FinishedJob>, progress: bool) {
    while let Some(QueuedJob { position, job }) = queue.take() {
        let result = play_job(&job, progress);
        let has_failed = result.is_err();
        let is_stopped = finished.send(FinishedJob { position, result }).is_err();
        if has_failed || is_stopped {
            queue.cancel_all();
        }
    }
}

/// Receives the outcomes of all jobs and returns them in the order of the jobs; prints a line for each if `progress`
/// is set.
fn collect_outcomes(
    finished: &Receiver<FinishedJob>,
    count: usize,
    progress: bool,
) -> Result<Vec<Outcome>, ExperimentError> {
    let mut outcomes: Vec<Option<Outcome>> = vec![None; count];
    for (done, job) in finished.iter().enumerate() {
        let outcome = job.result?;
        if progress {
            print_progress(done + 1, count, &outcome);
        }
        outcomes[job.position] = Some(outcome);
    }
    Ok(outcomes.into_iter().flatten().collect())
}

fn print_progress(done: usize, count: usize, outcome: &Outcome) {
    let Outcome { label, seed, verdict, .. } = outcome;
    eprintln!(
        "{done} of {count} plays finished: {label} with seed {seed}: {} violations",
        verdict.violations.len()
    );
}

fn play_job(job: &Job, progress: bool) -> Result<Outcome, ExperimentError> {
    let options =
        Options { seed: Some(job.seed), programs: job.programs.clone(), out: job.out.clone(), progress };
    let history = play(&job.scenario, &options)?;
    let warm_up_bound_s = warm_up_bound(&job.scenario, &schedule(&job.scenario, job.seed));
    let outcome = Outcome::from_history(&job.label, &history, warm_up_bound_s);
    if let Some(directory) = &job.out {
        report::store_play(&outcome, &history, directory)?;
    }
    Ok(outcome)
}
