//! What this process has done, in figures. Each is counted where it happens and read by operators.

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use crate::fate::Outcome;
use crate::remembered::Tally;

/// Every name begins with this.
const PREFIX: &str = "svc";

/// What became of a class's requests.
#[derive(Debug, Clone, Default, PartialEq)]
struct Counts {
    answered: u64,
    deferred: u64,
    errored: u64,
    sends: u64,
}

/// The figures of a process, all from 0 at its start.
#[derive(Debug, Default)]
pub struct Figures {
    /// By the position of the class.
    classes: RefCell<Vec<Counts>>,
    current: Cell<u64>,
    loaded: Cell<u64>,
    invalid: Cell<u64>,
    /// Of the folder that outlasts the process, if there is one.
    remembered: RefCell<Option<Arc<Tally>>>,
}

impl Figures {
    /// A request was taken on; it counts as current until it has ended.
    pub fn taken(&self) {
        self.current.set(self.current.get() + 1);
    }

    /// A request has ended: by its answer, or because its client has left.
    pub fn ended(&self) {
        self.current.set(self.current.get().saturating_sub(1));
    }

    /// A request got its answer.
    pub fn answered(&self, class: u16, outcome: &Outcome) {
        self.count(class, |counts| match outcome {
            Outcome::Served(_) => counts.answered += 1,
            Outcome::Refused { .. } => counts.deferred += 1,
            Outcome::Failed { .. } | Outcome::Mismatched => counts.errored += 1,
        });
    }

    /// A run was handed to what runs requests.
    pub fn sent(&self, class: u16) {
        self.count(class, |counts| counts.sends += 1);
    }

    /// A file was taken, or turned down, at SIGHUP.
    pub fn reloaded(&self, taken: bool) {
        let counted = if taken { &self.loaded } else { &self.invalid };
        counted.set(counted.get() + 1);
    }

    /// Keys outlast the process from now on.
    pub fn remembers(&self, tally: Arc<Tally>) {
        *self.remembered.borrow_mut() = Some(tally);
    }

    fn count(&self, class: u16, change: impl FnOnce(&mut Counts)) {
        let (mut classes, class) = (self.classes.borrow_mut(), usize::from(class));
        if classes.len() <= class {
            classes.resize(class + 1, Counts::default());
        }
        change(&mut classes[class]);
    }

    /// All figures as text, a line each, for classes of these names.
    pub fn text(&self, names: &[String]) -> String {
        let mut text = String::new();
        let mut line = |name: &str, class: Option<&String>, value: u64| {
            let group = class.map_or(String::new(), |class| format!("{{group=\"{class}\"}}"));
            // Writing to memory does not fail.
            let _ = writeln!(text, "{PREFIX}_{name}{group} {value}");
        };
        let classes = self.classes.borrow();
        for (i, name) in names.iter().enumerate() {
            let counts = classes.get(i).cloned().unwrap_or_default();
            line("answered", Some(name), counts.answered);
            line("deferred", Some(name), counts.deferred);
            line("errored", Some(name), counts.errored);
            line("sends", Some(name), counts.sends);
        }
        line("current", None, self.current.get());
        line("conf_loaded", None, self.loaded.get());
        line("conf_invalid", None, self.invalid.get());
        if let Some(tally) = &*self.remembered.borrow() {
            let mut line = |name: &str, value: &AtomicU64| line(name, None, value.load(Ordering::Relaxed));
            line("remembered_keys", &tally.keys);
            line("remembered_bytes", &tally.bytes);
            line("remembered_written", &tally.written);
            line("remembered_refused", &tally.refused);
            line("remembered_syncs", &tally.syncs);
            line("remembered_damaged", &tally.damaged);
            line("remembered_noise_bytes", &tally.noise);
        }
        text
    }
}
