//! Intervals in which the harness itself kept a node from answering; an attempt that falls into one is not lost.

use std::collections::HashMap;

use super::attempts::Attempt;
use crate::history::{Event, ProcessExit};
use crate::model::Ms;

/// Intervals of time in which a condition held; the last may still be open.
#[derive(Debug, Default)]
struct Intervals(Vec<(Ms, Ms)>);

impl Intervals {
    /// Notes that the condition holds from now on, or no longer does.
    fn set(&mut self, t: Ms, on: bool) {
        let open_end = self.0.last_mut().map(|(_, end)| end).filter(|end| end.is_infinite());
        match (open_end, on) {
            (Some(end), false) => *end = t,
            (None, true) => self.0.push((t, f64::INFINITY)),
            (Some(_), true) | (None, false) => {}
        }
    }

    fn overlap(&self, from: Ms, to: Ms) -> bool {
        self.0.iter().any(|(begin, end)| *begin <= to && *end >= from)
    }
}

/// Where and when the harness was in the way.
#[derive(Debug, Default)]
pub(super) struct Excuses {
    /// By node: its process was killed.
    killed: HashMap<usize, Intervals>,
    /// By node: its process was paused.
    paused: HashMap<usize, Intervals>,
    /// By node and frontend, or by node alone where the traffic of all frontends suffered.
    disturbed: HashMap<(usize, Option<usize>), Intervals>,
    /// The harness itself ran late.
    harness_late: Intervals,
}

impl Excuses {
    /// Takes in the events that begin or end an interval.
    pub(super) fn observe(&mut self, t: Ms, event: &Event) {
        match event {
            Event::NodeUp { node, .. } => self.killed.entry(*node).or_default().set(t, false),
            // A program that exits by itself answers first what it has read: only a kill is an excuse.
            Event::NodeDown { node, exit: ProcessExit::Killed } => {
                self.killed.entry(*node).or_default().set(t, true);
            }
            Event::Paused { node, paused: still } => self.paused.entry(*node).or_default().set(t, *still),
            Event::LinkDisturbed { node, frontend: front, disturbed: on } => {
                self.disturbed.entry((*node, *front)).or_default().set(t, *on);
            }
            Event::HarnessDelayed { delay: by } => self.harness_late.0.push((t - by, t)),
            _ => {}
        }
    }

    /// Whether the harness was in the way of an attempt at some moment between its writing and then.
    pub(super) fn cover(&self, attempt: &Attempt, until: Ms) -> bool {
        let overlap = |intervals: Option<&Intervals>| {
            intervals.is_some_and(|intervals| intervals.overlap(attempt.written_at, until))
        };
        overlap(self.killed.get(&attempt.node))
            || overlap(self.paused.get(&attempt.node))
            || overlap(self.disturbed.get(&(attempt.node, None)))
            || overlap(self.disturbed.get(&(attempt.node, Some(attempt.frontend))))
            || self.harness_late.overlap(attempt.written_at, until)
    }
}
