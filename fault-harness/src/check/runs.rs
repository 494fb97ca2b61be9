//! The rules about runs: an attempt that was rejected or came too late must not run, and a key runs only once
//! within its idempotency window.

use std::collections::HashMap;

use super::verdict::Rule;
use super::Checker;
use crate::history::Event;
use crate::model::Ms;
use crate::scenario::RunScope;

/// A run of a request that has an idempotency key.
#[derive(Debug, Clone, Copy)]
struct Run {
    /// Id of the attempt that was run.
    attempt: u64,
    node: usize,
    /// Generation of the stored state of the node; each loss of that state begins a new one.
    generation: usize,
    /// Time at which the attempt was written, from which the idempotency window counts.
    written_at: Ms,
    started_at: Ms,
}

/// A result that a run computed.
#[derive(Debug)]
pub(super) struct RunResult {
    /// Position of the node that ran it.
    pub(super) node: usize,
    pub(super) result: String,
}

/// Known runs and results, by idempotency key.
#[derive(Debug, Default)]
pub(super) struct Runs {
    by_key: HashMap<usize, Vec<Run>>,
    /// Results stay valid after a node lost its stored state: a truncated store, or an old backup that was
    /// restored, may still contain one.
    results: HashMap<usize, Vec<RunResult>>,
    /// Generation of the stored state of each node; none for the first.
    generations: HashMap<usize, usize>,
    /// Time of the shutdown notice of each node.
    shutdown_notices: HashMap<usize, Ms>,
    /// Number of runs of a key that had already run within its window, at any node.
    pub(super) duplicate_runs_in_fleet: usize,
}

impl Runs {
    /// The results that the runs of a key computed.
    pub(super) fn results_of(&self, key: usize) -> &[RunResult] {
        self.results.get(&key).map_or(&[], Vec::as_slice)
    }

    fn generation(&self, node: usize) -> usize {
        self.generations.get(&node).copied().unwrap_or(0)
    }

    /// The runs of a key whose idempotency window is still open at `written_at`.
    fn within_window(&self, key: usize, written_at: Ms, window: Ms) -> impl Iterator<Item = &Run> {
        let runs = self.by_key.get(&key).into_iter().flatten();
        runs.filter(move |run| written_at <= run.written_at + window)
    }
}

impl Checker<'_> {
    /// Handles the events that concern runs, and checks each run that starts.
    pub(super) fn observe_run(&mut self, at: Ms, event: &Event) {
        match event {
            Event::RunStarted { attempt, node } => self.check_run(at, *attempt, *node),
            Event::RunEnded { attempt, node, result: Some(result) } => {
                let Some(key) = self.attempts.key_of(*attempt) else { return };
                let made = RunResult { node: *node, result: result.clone() };
                self.runs.results.entry(key).or_default().push(made);
            }
            Event::StateLost { node } => *self.runs.generations.entry(*node).or_default() += 1,
            Event::ShutdownNotice { node } => drop(self.runs.shutdown_notices.insert(*node, at)),
            Event::NodeUp { node, .. } => drop(self.runs.shutdown_notices.remove(node)),
            _ => {}
        }
    }

    fn check_run(&mut self, at: Ms, id: u64, node: usize) {
        self.attempts.update(id, |attempt| attempt.has_run = true);
        let Some(attempt) = self.attempts.get(id) else {
            // No frontend sent this id, so the node corrupted it on the way to the interpreter.
            let text = format!("n{} ran attempt {id:016x}, which no frontend sent", node + 1);
            return self.violations.record(at, Rule::Corrupted, text);
        };
        let written_at = attempt.written_at;
        let request = attempt.request;
        if attempt.is_rejected() {
            let text = format!("attempt {id:016x} at n{} ran after it had been rejected", node + 1);
            self.violations.record(at, Rule::RejectedAndRan, text);
        }
        let grace = self.parameters.drain_grace + self.parameters.timing_tolerance;
        if self.runs.shutdown_notices.get(&node).is_some_and(|notice| written_at > notice + grace) {
            let text = format!(
                "attempt {id:016x} was written to n{} after the grace period of its shutdown notice, and ran",
                node + 1
            );
            self.violations.record(at, Rule::RunAfterShutdownNotice, text);
        }
        let generation = self.runs.generation(node);
        self.check_key(request, Run { attempt: id, node, generation, written_at, started_at: at });
    }

    /// Checks a run against earlier runs of its key, if its class has keys.
    fn check_key(&mut self, request: usize, run: Run) {
        let Some(request) = self.attempts.request(request) else { return };
        let Some(class) = self.parameters.classes.get(request.class) else { return };
        if class.idempotency_window <= 0.0 {
            return;
        }
        let open_runs =
            self.runs.within_window(request.original_request, run.written_at, class.idempotency_window);
        let earlier: Vec<Run> = open_runs.copied().collect();
        let is_same_state = |other: &Run| other.node == run.node && other.generation == run.generation;
        let first_in_fleet = earlier.first().copied();
        let first_at_node = earlier.into_iter().find(is_same_state);
        self.runs.by_key.entry(request.original_request).or_default().push(run);
        if let Some(first) = first_at_node {
            self.record_second_run(request.original_request, &first, &run);
        }
        if let Some(first) = first_in_fleet {
            self.runs.duplicate_runs_in_fleet += 1;
            self.record_second_run_in_fleet(request.original_request, &first, &run);
        }
    }

    fn record_second_run(&mut self, key: usize, first: &Run, second: &Run) {
        let text = format!(
            "the idempotency key of request {key} ran twice at n{}: attempts {:016x} and {:016x}",
            second.node + 1,
            first.attempt,
            second.attempt
        );
        self.violations.record(second.started_at, Rule::DuplicateRun, text);
    }

    fn record_second_run_in_fleet(&mut self, key: usize, first: &Run, second: &Run) {
        if self.parameters.run_once_per != RunScope::Fleet {
            return;
        }
        let text = format!(
            "the idempotency key of request {key} ran at n{} (attempt {:016x}) \
             after it had run at n{} at {:.0} ms (attempt {:016x})",
            second.node + 1,
            second.attempt,
            first.node + 1,
            first.started_at,
            first.attempt
        );
        self.violations.record(second.started_at, Rule::DuplicateRunInFleet, text);
    }
}
