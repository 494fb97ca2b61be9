//! The rules about answers: each attempt gets exactly one, in time, and it agrees with the runs.

use super::attempts::{Answer, Attempt};
use super::verdict::Rule;
use super::Checker;
use crate::history::{ConnectionLoss, Event, Response};
use crate::model::Ms;
use crate::scenario::RunScope;

impl Checker<'_> {
    /// Checks an answer, or a line that came instead of one.
    pub(super) fn observe_answer(&mut self, at: Ms, event: &Event) {
        match event {
            Event::AttemptAnswered { attempt, response } => self.check_answer(at, *attempt, response),
            Event::UnexpectedLine { node, attempt: Some(attempt), .. } => {
                self.record_second_answer(at, *attempt, *node);
            }
            // The line may be a garbled answer to any open attempt, so it counts as an answer that cannot be
            // read.
            Event::UnexpectedLine { node, attempt: None, text } => {
                let text = format!("n{} sent a line that is not a valid answer: {text}", node + 1);
                self.violations.record(at, Rule::Unanswered, text);
            }
            _ => {}
        }
    }

    fn check_answer(&mut self, at: Ms, id: u64, response: &Response) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let node = attempt.node;
        if attempt.answer.is_some() {
            return self.record_second_answer(at, id, node);
        }
        match response {
            Response::Rejected { .. } if attempt.has_run => {
                let text = format!("attempt {id:016x} at n{} was rejected after it had run", node + 1);
                self.violations.record(at, Rule::RejectedAndRan, text);
            }
            Response::Served(result) => self.check_result(at, id, node, result),
            Response::Rejected { .. } | Response::Failed => {}
        }
        let answer = Answer { at, response: response.clone() };
        self.attempts.update(id, |attempt| attempt.answer = Some(answer));
    }

    fn record_second_answer(&mut self, at: Ms, id: u64, node: usize) {
        let text = format!("attempt {id:016x} at n{} was answered more than once", node + 1);
        self.violations.record(at, Rule::DuplicateAnswer, text);
    }

    /// A result must come from a run of the same key, at the same node unless the run scope is the fleet.
    fn check_result(&mut self, at: Ms, id: u64, node: usize, result: &str) {
        let results = self.attempts.key_of(id).map_or(&[][..], |key| self.runs.results_of(key));
        let is_valid_from =
            |producer_node: usize| self.parameters.run_once_per == RunScope::Fleet || producer_node == node;
        if results.iter().any(|produced| produced.result == result && is_valid_from(produced.node)) {
            return;
        }
        let text = format!(
            "attempt {id:016x} at n{} was served with {result:?}, a result that no run of its key made there",
            node + 1
        );
        self.violations.record(at, Rule::ForeignResult, text);
    }

    /// Records every attempt that got no answer in time, and returns how many others were exempt.
    pub(super) fn check_unanswered(&mut self, end: Ms) -> usize {
        let mut exempt = 0;
        for (id, attempt) in self.attempts.iter() {
            let answer_by = attempt.deadline + self.parameters.timing_tolerance;
            // An answer due after the end of the history might still have come.
            if answer_by > end || needs_no_answer(attempt, answer_by) {
                continue;
            }
            let until = attempt.loss.map_or(answer_by, |loss| loss.at.min(answer_by));
            if self.exemptions.overlaps(attempt, until) {
                exempt += 1;
            } else {
                self.violations.record(answer_by, Rule::Unanswered, describe_unanswered(id, attempt));
            }
        }
        exempt
    }
}

/// Whether an attempt was answered or cancelled in time, or its connection ended without the loss of an
/// answer.
fn needs_no_answer(attempt: &Attempt, answer_by: Ms) -> bool {
    let is_answered = attempt.answer.as_ref().is_some_and(|answer| answer.at <= answer_by);
    let is_cancelled = attempt.cancelled_at.is_some_and(|at| at <= answer_by);
    let loses_nothing = match attempt.loss.map(|loss| loss.kind) {
        // The node closed the idle connection while the attempt was written; the attempt is sent again.
        Some(ConnectionLoss::CrossedClose) => true,
        // Nothing was answered on the connection and the attempt did not run: a failed connect, not a lost
        // answer.
        Some(ConnectionLoss::NewConnection) => !attempt.has_run,
        Some(ConnectionLoss::UsedConnection) | None => false,
    };
    is_answered || is_cancelled || loses_nothing
}

fn describe_unanswered(id: u64, attempt: &Attempt) -> String {
    let lateness = match &attempt.answer {
        Some(answer) => format!("it came {:.0} ms after the deadline", answer.at - attempt.deadline),
        None => "it never came".into(),
    };
    format!(
        "attempt {id:016x} at n{}, written at {:.0} ms, got no answer by its deadline: {lateness}",
        attempt.node + 1,
        attempt.written_at
    )
}
