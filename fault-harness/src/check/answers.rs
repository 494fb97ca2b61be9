//! The rules about answers: each attempt gets one, in time, and it agrees with what was run.

use super::attempts::Attempt;
use super::verdict::Rule;
use super::Checker;
use crate::history::{ConnectionLoss, Event, Response};
use crate::model::Ms;
use crate::scenario::RunScope;

impl Checker<'_> {
    /// Checks an answer, or what came in the place of one.
    pub(super) fn observe_answer(&mut self, t: Ms, event: &Event) {
        match event {
            Event::AttemptAnswered { attempt, response } => self.check_answer(t, *attempt, response),
            Event::UnexpectedLine { node, attempt: Some(attempt), .. } => {
                self.record_second_answer(t, *attempt, *node);
            }
            Event::UnexpectedLine { node, attempt: None, text } => {
                let text = format!("n{} says what is no answer: {text}", node + 1);
                self.breaches.record(t, Rule::Lost, text);
            }
            _ => {}
        }
    }

    fn check_answer(&mut self, t: Ms, id: u64, kind: &Response) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let node = attempt.node;
        if attempt.answered.is_some() {
            return self.record_second_answer(t, id, node);
        }
        match kind {
            Response::Rejected { .. } if attempt.has_run => {
                let text = format!("try {id:016x} at n{} had run when it was refused", node + 1);
                self.breaches.record(t, Rule::RefusedAndRan, text);
            }
            Response::Served(result) => self.check_result(t, id, node, result),
            Response::Rejected { .. } | Response::Failed => {}
        }
        self.attempts.update(id, |attempt| attempt.answered = Some((t, kind.clone())));
    }

    fn record_second_answer(&mut self, t: Ms, id: u64, node: usize) {
        let text = format!("try {id:016x} at n{} is answered again", node + 1);
        self.breaches.record(t, Rule::AnsweredTwice, text);
    }

    /// A result has to be that of a run of the same key, at the same node unless keys are the fleet's.
    fn check_result(&mut self, t: Ms, id: u64, node: usize, result: &str) {
        let results = self.attempts.key_of(id).map_or(&[][..], |key| self.runs.results_of(key));
        let is_valid_at = |at: usize| self.parameters.run_once_per == RunScope::Fleet || at == node;
        if results.iter().any(|made| made.result == result && is_valid_at(made.node)) {
            return;
        }
        let text =
            format!("try {id:016x} at n{} got {result:?}, which no run of its key made there", node + 1);
        self.breaches.record(t, Rule::ForeignResult, text);
    }

    /// Records every attempt that got no answer in time, and returns how many were excused.
    pub(super) fn check_lost(&mut self, end: Ms) -> usize {
        let mut excused = 0;
        for (id, attempt) in self.attempts.iter() {
            let answer_by = attempt.deadline + self.parameters.slack;
            if answer_by > end || needs_no_answer(attempt, answer_by) {
                continue;
            }
            let until = attempt.dropped.map_or(answer_by, |(at, _)| at.min(answer_by));
            if self.excuses.cover(attempt, until) {
                excused += 1;
            } else {
                self.breaches.record(answer_by, Rule::Lost, describe_loss(id, attempt));
            }
        }
        excused
    }
}

/// Whether an attempt was answered or cancelled in time, or its connection ended in a way that loses nothing.
fn needs_no_answer(attempt: &Attempt, answer_by: Ms) -> bool {
    let is_answered = attempt.answered.as_ref().is_some_and(|(at, _)| *at <= answer_by);
    let is_withdrawn = attempt.withdrawn_at.is_some_and(|at| at <= answer_by);
    let loses_nothing = match attempt.dropped {
        Some((_, ConnectionLoss::CrossedClose)) => true,
        // A new connection that is closed, having run nothing, has failed; nothing is lost.
        Some((_, ConnectionLoss::NewConnection)) => !attempt.has_run,
        Some((_, ConnectionLoss::UsedConnection)) | None => false,
    };
    is_answered || is_withdrawn || loses_nothing
}

fn describe_loss(id: u64, attempt: &Attempt) -> String {
    let lateness = match &attempt.answered {
        Some((at, _)) => format!("one came {:.0} ms late", at - attempt.deadline),
        None => "none ever came".into(),
    };
    format!(
        "try {id:016x} at n{}, written at {:.0} ms, got no answer by its due time: {lateness}",
        attempt.node + 1,
        attempt.written_at
    )
}
