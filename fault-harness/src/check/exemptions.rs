//! Intervals in which an injected fault or a delay of the harness kept a node from answering; an attempt that overlaps one
//! is exempt from the rule that each gets an answer.

use std::collections::HashMap;

use super::attempts::Attempt;
use crate::history::{Event, ProcessExit};
use crate::model::Ms;

/// A stretch of time; it ends at infinity while its condition still holds.
#[derive(Debug, Clone, Copy)]
struct Interval {
    begin: Ms,
    end: Ms,
}

/// Intervals of time in which a condition held; the last may still be open.
#[derive(Debug, Default)]
struct Intervals(Vec<Interval>);

impl Intervals {
    /// Notes that the condition holds from now on, or no longer does.
    fn set(&mut self, at: Ms, holds: bool) {
        let open = self.0.last_mut().filter(|interval| interval.end.is_infinite());
        match (open, holds) {
            (Some(interval), false) => interval.end = at,
            (None, true) => self.0.push(Interval { begin: at, end: f64::INFINITY }),
            (Some(_), true) | (None, false) => {}
        }
    }

    fn overlaps(&self, from: Ms, to: Ms) -> bool {
        self.0.iter().any(|interval| interval.begin <= to && interval.end >= from)
    }
}

/// The link between a node and a frontend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ClientLink {
    node: usize,
    frontend: usize,
}

/// Where and when attempts are exempt from an answer.
#[derive(Debug, Default)]
pub(super) struct Exemptions {
    /// By node: its process was killed.
    killed: HashMap<usize, Intervals>,
    /// By node: its process was paused.
    paused: HashMap<usize, Intervals>,
    /// By node and frontend: the traffic between them suffered.
    disturbed_links: HashMap<ClientLink, Intervals>,
    /// By node: the traffic of all frontends with it suffered.
    disturbed_nodes: HashMap<usize, Intervals>,
    /// The harness itself was delayed.
    harness_delayed: Intervals,
}

impl Exemptions {
    /// Takes in the events that begin or end an interval.
    pub(super) fn observe(&mut self, at: Ms, event: &Event) {
        match event {
            Event::NodeUp { node, .. } => self.killed.entry(*node).or_default().set(at, false),
            // A node that is shut down must answer what it has read, and a crash is a violation of its own; only a kill by
            // the harness exempts.
            Event::NodeDown { node, exit: ProcessExit::Killed } => {
                self.killed.entry(*node).or_default().set(at, true);
            }
            Event::Paused { node, paused } => self.paused.entry(*node).or_default().set(at, *paused),
            Event::LinkDisturbed { node, frontend: Some(frontend), disturbed } => {
                let link = ClientLink { node: *node, frontend: *frontend };
                self.disturbed_links.entry(link).or_default().set(at, *disturbed);
            }
            Event::LinkDisturbed { node, frontend: None, disturbed } => {
                self.disturbed_nodes.entry(*node).or_default().set(at, *disturbed);
            }
            Event::HarnessDelayed { delay } => {
                self.harness_delayed.0.push(Interval { begin: at - delay, end: at });
            }
            _ => {}
        }
    }

    /// Whether an injected fault affected the attempt's node or link, or the harness was delayed, at some moment between the
    /// attempt's writing and `until`.
    pub(super) fn overlaps(&self, attempt: &Attempt, until: Ms) -> bool {
        let affected = |intervals: Option<&Intervals>| {
            intervals.is_some_and(|intervals| intervals.overlaps(attempt.written_at, until))
        };
        let node = attempt.node;
        let link = ClientLink { node, frontend: attempt.frontend };
        affected(self.killed.get(&node))
            || affected(self.paused.get(&node))
            || affected(self.disturbed_nodes.get(&node))
            || affected(self.disturbed_links.get(&link))
            || affected(Some(&self.harness_delayed))
    }
}
