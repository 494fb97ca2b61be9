//! Intervals in which an injected fault or a delay of the harness may have kept a node from answering. An
//! attempt that overlaps one is exempt from the rule that each attempt gets an answer.

use std::collections::HashMap;

use super::attempts::Attempt;
use crate::history::{Event, ProcessExit};
use crate::model::Ms;

/// An interval of time; its end is infinite while its condition still holds.
#[derive(Debug, Clone, Copy)]
struct Interval {
    begin: Ms,
    end: Ms,
}

/// The intervals in which a condition held; the last one may still be open.
#[derive(Debug, Default)]
struct Intervals(Vec<Interval>);

impl Intervals {
    /// Records that the condition holds from `at` on, or no longer holds.
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

/// The nodes, links and times at which attempts are exempt from an answer.
#[derive(Debug, Default)]
pub(super) struct Exemptions {
    /// Intervals in which the process of each node was down after the harness killed it.
    killed: HashMap<usize, Intervals>,
    /// Intervals in which the process of each node was paused.
    paused: HashMap<usize, Intervals>,
    /// Intervals in which the traffic of each link was disturbed.
    disturbed_links: HashMap<ClientLink, Intervals>,
    /// Intervals in which the traffic of each node with all frontends was disturbed.
    disturbed_nodes: HashMap<usize, Intervals>,
    /// Intervals in which the harness itself ran late.
    harness_delayed: Intervals,
}

impl Exemptions {
    /// Handles the events that begin or end an interval.
    pub(super) fn observe(&mut self, at: Ms, event: &Event) {
        match event {
            Event::NodeUp { node, .. } => self.killed.entry(*node).or_default().set(at, false),
            // A node that shuts down must answer what it has read, and a crash is a violation of its own; so
            // only a kill by the harness makes attempts exempt.
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

    /// Whether an injected fault affected the node or link of the attempt, or the harness ran late, at some
    /// moment between the writing of the attempt and `until`.
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
