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

/// The limits that were already found passed, by node.
#[derive(Debug, Default)]
pub(super) struct PassedLimits(BTreeSet<(usize, Resource)>);

impl Checker<'_> {
    /// Checks what was seen of a node's processes.
    pub(super) fn observe_process(&mut self, t: Ms, event: &Event) {
        match event {
            Event::ResourceSample { node, memory_kb: rss_kb, descriptors: files, .. } => {
                self.check_limit(t, *node, Resource::Memory, *rss_kb, self.parameters.memory_kb);
                self.check_limit(t, *node, Resource::Descriptors, *files, self.parameters.descriptors);
            }
            Event::NodeDown { node, exit: way } => self.check_exit(t, *node, way),
            Event::InterpreterDied { node, cause: text } => {
                let text = format!("the interpreter of n{} has died: {text}", node + 1);
                self.breaches.record(t, Rule::LimitPassed, text);
            }
            Event::Corrupted { node, text } => {
                self.breaches.record(t, Rule::Spoilt, format!("n{}: {text}", node + 1));
            }
            _ => {}
        }
    }

    /// A limit that is passed is one breach, however long it stays passed.
    fn check_limit(&mut self, t: Ms, node: usize, resource: Resource, value: u64, limit: u64) {
        if value > limit && self.passed_limits.0.insert((node, resource)) {
            let text = format!("n{}: {}: {value} of {limit}", node + 1, resource.label());
            self.breaches.record(t, Rule::LimitPassed, text);
        }
    }

    fn check_exit(&mut self, t: Ms, node: usize, exit: &ProcessExit) {
        match exit {
            ProcessExit::Crashed(status) => {
                let text = format!("n{} ended by itself: {status}", node + 1);
                self.breaches.record(t, Rule::Crashed, text);
            }
            ProcessExit::ShutdownTimedOut => {
                let text = format!("n{} was still there when its time to leave was over", node + 1);
                self.breaches.record(t, Rule::LimitPassed, text);
            }
            ProcessExit::Killed | ProcessExit::ShutDown => {}
        }
    }
}
