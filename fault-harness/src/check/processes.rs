//! The rules about processes: resource limits hold, the node process does not crash, and the interpreter
//! receives bodies, classes and replies unchanged.

use std::collections::BTreeSet;

use super::verdict::Rule;
use super::Checker;
use crate::history::{Event, ProcessExit};
use crate::model::Ms;

/// A resource of the node process that has a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Resource {
    Memory,
    Descriptors,
}

impl Resource {
    fn label(self) -> &'static str {
        match self {
            Resource::Memory => "resident memory in KB",
            Resource::Descriptors => "open file descriptors",
        }
    }
}

/// Limits that were already reported as exceeded, by node.
#[derive(Debug, Default)]
pub(super) struct ExceededLimits(BTreeSet<(usize, Resource)>);

impl Checker<'_> {
    /// Checks an event about the processes of a node.
    pub(super) fn observe_process(&mut self, at: Ms, event: &Event) {
        match event {
            Event::ResourceSample { node, memory_kb, descriptors, .. } => {
                self.check_limit(at, *node, Resource::Memory, *memory_kb, self.parameters.memory_kb);
                self.check_limit(at, *node, Resource::Descriptors, *descriptors, self.parameters.descriptors);
            }
            Event::NodeDown { node, exit } => self.check_exit(at, *node, exit),
            // An interpreter dies only of too much concurrency or memory, both of which are limits.
            Event::InterpreterDied { node, cause } => {
                let text = format!("the interpreter of n{} died: {cause}", node + 1);
                self.violations.record(at, Rule::LimitExceeded, text);
            }
            Event::Corrupted { node, text } => {
                self.violations.record(at, Rule::Corrupted, format!("n{}: {text}", node + 1));
            }
            _ => {}
        }
    }

    /// Checks one limit. A limit that is exceeded is one violation, however long it stays exceeded.
    fn check_limit(&mut self, at: Ms, node: usize, resource: Resource, value: u64, limit: u64) {
        if value > limit && self.exceeded_limits.0.insert((node, resource)) {
            let text = format!("n{}: {} is {value}, above the limit of {limit}", node + 1, resource.label());
            self.violations.record(at, Rule::LimitExceeded, text);
        }
    }

    fn check_exit(&mut self, at: Ms, node: usize, exit: &ProcessExit) {
        match exit {
            ProcessExit::Crashed(status) => {
                let text = format!("the process of n{} exited without a shutdown notice: {status}", node + 1);
                self.violations.record(at, Rule::Crashed, text);
            }
            ProcessExit::ShutdownTimedOut => {
                let text = format!(
                    "the process of n{} was still running when its time for a graceful shutdown had passed",
                    node + 1
                );
                self.violations.record(at, Rule::LimitExceeded, text);
            }
            ProcessExit::Killed | ProcessExit::ShutDown => {}
        }
    }
}
