//! The rules about processes: limits hold, the program does not crash, and the interpreter gets what was sent.

use std::collections::BTreeSet;

use super::verdict::Rule;
use super::Checker;
use crate::history::{Event, ProcessExit};
use crate::model::Ms;

/// What a node's program is limited in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Resource {
    Memory,
    Descriptors,
}

impl Resource {
    fn label(self) -> &'static str {
        match self {
            Resource::Memory => "memory, KB",
            Resource::Descriptors => "descriptors",
        }
    }
}

/// The limits that were already found exceeded, by node.
#[derive(Debug, Default)]
pub(super) struct ExceededLimits(BTreeSet<(usize, Resource)>);

impl Checker<'_> {
    /// Checks what was seen of a node's processes.
    pub(super) fn observe_process(&mut self, at: Ms, event: &Event) {
        match event {
            Event::ResourceSample { node, memory_kb, descriptors, .. } => {
                self.check_limit(at, *node, Resource::Memory, *memory_kb, self.parameters.memory_kb);
                self.check_limit(at, *node, Resource::Descriptors, *descriptors, self.parameters.descriptors);
            }
            Event::NodeDown { node, exit } => self.check_exit(at, *node, exit),
            // The interpreter dies only of exceeding concurrency or memory.
            Event::InterpreterDied { node, cause } => {
                let text = format!("the interpreter of n{} has died: {cause}", node + 1);
                self.violations.record(at, Rule::LimitExceeded, text);
            }
            Event::Corrupted { node, text } => {
                self.violations.record(at, Rule::Corrupted, format!("n{}: {text}", node + 1));
            }
            _ => {}
        }
    }

    /// A limit that is exceeded is one violation, however long it stays so.
    fn check_limit(&mut self, at: Ms, node: usize, resource: Resource, value: u64, limit: u64) {
        if value > limit && self.exceeded_limits.0.insert((node, resource)) {
            let text = format!("n{}: {}: {value} of {limit}", node + 1, resource.label());
            self.violations.record(at, Rule::LimitExceeded, text);
        }
    }

    fn check_exit(&mut self, at: Ms, node: usize, exit: &ProcessExit) {
        match exit {
            ProcessExit::Crashed(status) => {
                let text = format!("n{} ended by itself: {status}", node + 1);
                self.violations.record(at, Rule::Crashed, text);
            }
            ProcessExit::ShutdownTimedOut => {
                let text =
                    format!("n{} was still running when its time for a graceful shutdown was over", node + 1);
                self.violations.record(at, Rule::LimitExceeded, text);
            }
            ProcessExit::Killed | ProcessExit::ShutDown => {}
        }
    }
}
